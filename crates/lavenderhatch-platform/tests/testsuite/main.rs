//! Tests of the platform's client, of acceptance and of audit trails.

#![allow(clippy::unwrap_used)]

mod accept_parts;
mod audit;
mod malformed;
