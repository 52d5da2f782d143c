//! Tests of the daemon's parts.

#![allow(clippy::unwrap_used)]

mod admission_gate;
mod audit_publisher;
mod backend;
mod headers;
mod leaving;
mod metrics;
mod slot_semaphore;
