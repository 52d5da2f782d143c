//! Tests of encoding and decoding messages between daemons.

#![allow(clippy::unwrap_used)]

mod malformed;
