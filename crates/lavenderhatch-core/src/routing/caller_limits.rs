//! Limits on requests and connections of callers.

use std::time::Duration;

/// Limits on the size of requests and on the time that a caller may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of the body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time after which an idle connection, or one whose request has not arrived, may be
    /// closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
