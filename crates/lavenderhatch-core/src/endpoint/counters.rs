//! Counters that the request path writes and the endpoint controller reads.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// What this daemon has itself observed of a backend server.
///
/// The counters outlive a snapshot of the section: each new snapshot shares them.
#[derive(Debug, Default)]
pub struct EndpointCounters {
    outstanding: AtomicU32,
    reported: AtomicU32,
    calls: AtomicU64,
    failures: AtomicU64,
    latency_us: AtomicU64,
}

impl EndpointCounters {
    /// Counts a call that starts.
    pub fn start(&self) {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that ended after `latency_us` microseconds.
    pub fn finish(&self, latency_us: u64, is_failure: bool) {
        self.outstanding.fetch_sub(1, Ordering::Relaxed);
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.latency_us.fetch_add(latency_us, Ordering::Relaxed);
        if is_failure {
            self.failures.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Calls in flight from this daemon.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Relaxed)
    }

    /// Takes in the calls of other daemons that the backend server has reported.
    pub fn set_reported_calls(&self, in_flight: u32) {
        self.reported.store(in_flight, Ordering::Relaxed);
    }

    /// Calls of other daemons at the last report.
    pub fn reported_calls(&self) -> u32 {
        self.reported.load(Ordering::Relaxed)
    }

    /// Calls that have ended.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Calls that ended in failure.
    pub fn failures(&self) -> u64 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Sum of the latencies of all calls that have ended, in microseconds.
    pub fn latency_sum_us(&self) -> u64 {
        self.latency_us.load(Ordering::Relaxed)
    }
}
