//! Calls to one backend server that this daemon has observed.

use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::endpoint::EndpointCounters;

/// Statistics of the calls that ended in an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallStats {
    /// Number of calls that ended.
    pub calls: u64,
    /// Number of calls that failed.
    pub failures: u64,
    /// Sum of the latencies of the calls, in microseconds.
    pub latency_us: u64,
}

impl CallStats {
    /// Returns the statistics of all calls counted so far.
    pub fn from_counters(counters: &EndpointCounters) -> Self {
        Self {
            calls: counters.calls(),
            failures: counters.failures(),
            latency_us: counters.latency_sum_us(),
        }
    }

    /// Returns the statistics of the calls that ended after `earlier` was taken.
    pub fn since(self, earlier: CallStats) -> Self {
        Self {
            calls: self.calls.saturating_sub(earlier.calls),
            failures: self.failures.saturating_sub(earlier.failures),
            latency_us: self.latency_us.saturating_sub(earlier.latency_us),
        }
    }

    /// Returns the fraction of calls that failed, 0 to 1.
    pub fn failure_rate(self) -> f64 {
        self.failures as f64 / self.calls.max(1) as f64
    }

    /// Returns the mean latency, in microseconds.
    pub fn mean_latency_us(self) -> f64 {
        self.latency_us as f64 / self.calls.max(1) as f64
    }
}

/// Whether a call that ended with this status and error counts as a failure of the backend server.
///
/// A backend server that is leaving, is full or has no configuration yet refuses calls as it
/// should, and an invalid request is not its fault.
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
