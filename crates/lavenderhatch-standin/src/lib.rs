//! A back-end stand-in for tests, the demonstration and measurements.
//!
//! It runs each request in a slot for a configured time and counts the requests that ran. It can
//! simulate a cold start, fail requests, and report a false health or load.

mod backend;
mod behaviour;
mod loopback;
mod slots;

pub use backend::{BackendStandin, REQUEST_ID_HEADER, RunCounts, SIGNATURE_HEADER};
pub use behaviour::Behaviour;
pub use loopback::next_loopback_ip;
