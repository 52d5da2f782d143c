//! Configuration of a stand-in's behaviour.

use serde::{Deserialize, Serialize};

/// Behaviour of a stand-in, which can be changed while it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Maximum number of requests that run at the same time. Further requests wait for a slot.
    pub slots: u32,
    /// Service time of one request, in milliseconds.
    pub service_ms: u64,
    /// Extra service time of each request during the cold start, in milliseconds.
    pub cold_extra_ms: u64,
    /// Number of requests after the start that are slowed by the cold start.
    pub cold_requests: u64,
    /// Every n-th request fails with status 500. Zero disables failures.
    pub fail_every: u64,
    /// Whether `GET /health` reports a healthy back end, regardless of its real state.
    pub claims_healthy: bool,
    /// Number of requests in flight that `GET /load` reports. `None` reports the real number.
    pub claimed_load: Option<u32>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 12,
            service_ms: 0,
            cold_extra_ms: 0,
            cold_requests: 0,
            fail_every: 0,
            claims_healthy: true,
            claimed_load: None,
        }
    }
}
