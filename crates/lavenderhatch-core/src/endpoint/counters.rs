//! Counters of a backend server, written by the request path and read by the endpoint controller.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Calls to a backend server, as counted by this daemon and as reported by the backend server.
///
/// The counters outlive the snapshots of the section: each new snapshot shares them.
#[derive(Debug, Default)]
pub struct EndpointCounters {
    outstanding: AtomicU32,
    reported_calls: AtomicU32,
    calls: AtomicU64,
    failures: AtomicU64,
    latency_sum_us: AtomicU64,
}

impl EndpointCounters {
    /// Counts the start of a call.
    pub fn start(&self) {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a call that took `latency_us` microseconds.
    pub fn finish(&self, latency_us: u64, is_failure: bool) {
        self.outstanding.fetch_sub(1, Ordering::Relaxed);
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.latency_sum_us.fetch_add(latency_us, Ordering::Relaxed);
        if is_failure {
            self.failures.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Calls from this daemon that are in flight.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Relaxed)
    }

    /// Stores the number of calls from other daemons that the backend server reports as in flight.
    pub fn set_reported_calls(&self, in_flight: u32) {
        self.reported_calls.store(in_flight, Ordering::Relaxed);
    }

    /// Calls from other daemons that were in flight at the last report.
    pub fn reported_calls(&self) -> u32 {
        self.reported_calls.load(Ordering::Relaxed)
    }

    /// Calls that have ended since the counters were created.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Calls that ended in failure.
    pub fn failures(&self) -> u64 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Sum of the latencies of all calls that have ended, in microseconds.
    pub fn latency_sum_us(&self) -> u64 {
        self.latency_sum_us.load(Ordering::Relaxed)
    }
}
