//! Tests of the daemon's parts.

#![allow(clippy::unwrap_used)]

mod audit_publisher;
mod backend;
mod gate;
mod headers;
mod leaving;
mod metrics;
mod packed_gate;
