//! Tests of the messages between daemons.

#![allow(clippy::unwrap_used)]

mod malformed;
