//! Tests of the platform's client and of acceptance.

#![allow(clippy::unwrap_used)]

mod accept_parts;
mod audit;
mod malformed;
