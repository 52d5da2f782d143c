//! What this daemon observed of the calls to one backend server.

use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::endpoint::EndpointCounters;

/// Calls that ended within some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallStats {
    /// Calls.
    pub calls: u64,
    /// Calls that ended in failure.
    pub failures: u64,
    /// Sum of their latencies, in microseconds.
    pub latency_us: u64,
}

impl CallStats {
    /// All calls that a set of counters has seen.
    pub fn from_counters(counters: &EndpointCounters) -> Self {
        Self {
            calls: counters.calls(),
            failures: counters.failures(),
            latency_us: counters.latency_sum_us(),
        }
    }

    /// The calls that were seen after `earlier`.
    pub fn since(self, earlier: CallStats) -> Self {
        Self {
            calls: self.calls.saturating_sub(earlier.calls),
            failures: self.failures.saturating_sub(earlier.failures),
            latency_us: self.latency_us.saturating_sub(earlier.latency_us),
        }
    }

    /// Failures for each call, 0 to 1.
    pub fn failure_rate(self) -> f64 {
        self.failures as f64 / self.calls.max(1) as f64
    }

    /// Mean latency in microseconds.
    pub fn mean_latency_us(self) -> f64 {
        self.latency_us as f64 / self.calls.max(1) as f64
    }
}

/// Whether a call that ended with this status and error speaks against the backend server.
///
/// A refusal of a backend server that leaves, is full or has no configuration yet is its regular
/// answer, and a request that is at fault says nothing about it.
pub fn counts_as_failure(status: u16, error: Option<ErrorKind>) -> bool {
    match error {
        None => status >= 500,
        Some(kind) => matches!(
            kind,
            ErrorKind::NoBackend
                | ErrorKind::DeadlinePassed
                | ErrorKind::OutcomeUnknown
                | ErrorKind::BackendFailed
                | ErrorKind::Internal
        ),
    }
}
