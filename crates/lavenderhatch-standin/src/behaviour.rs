//! How a stand-in behaves.

use serde::{Deserialize, Serialize};

/// Behaviour of a stand-in. It can be changed while the stand-in runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Requests that run at the same time. Others wait.
    pub slots: u32,
    /// Time that one request takes, in milliseconds.
    pub service_ms: u64,
    /// Added to the time of each of the first requests after the start, in milliseconds.
    pub cold_extra_ms: u64,
    /// Number of requests that are slowed by the cold start.
    pub cold_requests: u64,
    /// Requests of which each n-th fails with 500; zero for none.
    pub fail_every: u64,
    /// What `GET /health` says, whatever the truth is.
    pub claims_healthy: bool,
    /// What `GET /load` says, in requests in flight; the truth if absent.
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
