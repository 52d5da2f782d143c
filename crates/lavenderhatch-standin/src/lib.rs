//! A back end for tests, the demonstration and measurements.
//!
//! It runs a request in one of its slots for a set time, counts what it ran, and can start cold,
//! fail, or say something misleading about its health and load.

mod backend;
mod behaviour;
mod loopback;
mod slots;

pub use backend::{BackendStandin, REQUEST_ID_HEADER, RunCounts, SIGNATURE_HEADER};
pub use behaviour::Behaviour;
pub use loopback::next_loopback_ip;
