//! Tests of parts of the daemon without sockets.

#![allow(clippy::unwrap_used)]

mod leaving;
