//! Tests of the daemon's parts.

#![allow(clippy::unwrap_used)]

mod backend;
mod gate;
mod leaving;
mod packed_gate;
