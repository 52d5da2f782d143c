//! Tests of the parts of a daemon.

#![allow(clippy::unwrap_used)]

mod admission_gate;
mod audit_publisher;
mod backend;
mod forwarding;
mod headers;
mod leaving;
mod metrics;
mod slot_semaphore;
