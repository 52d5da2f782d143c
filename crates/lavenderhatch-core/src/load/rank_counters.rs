//! Counters of a rank, written by the request path and read by the load controller.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::names::RankName;

/// Requests of one rank, counted since the start of the daemon.
#[derive(Debug)]
pub struct RankCounters {
    name: RankName,
    immediate_admissions: AtomicU64,
    finished: AtomicU64,
    failed: AtomicU64,
    latency_sum_us: AtomicU64,
}

impl RankCounters {
    /// Creates the counters of the rank named `name`.
    pub fn new(name: RankName) -> Self {
        Self {
            name,
            immediate_admissions: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            latency_sum_us: AtomicU64::new(0),
        }
    }

    /// Name of the rank.
    pub fn name(&self) -> &RankName {
        &self.name
    }

    /// Counts a request that got a slot without waiting.
    pub fn record_immediate_admission(&self) {
        self.immediate_admissions.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that released its slot after `latency_us` microseconds.
    pub fn finish(&self, latency_us: u64, is_failure: bool) {
        self.latency_sum_us.fetch_add(latency_us, Ordering::Relaxed);
        if is_failure {
            self.failed.fetch_add(1, Ordering::Relaxed);
        }
        self.finished.fetch_add(1, Ordering::Relaxed);
    }

    /// Requests that got a slot without waiting.
    pub fn immediate_admissions(&self) -> u64 {
        self.immediate_admissions.load(Ordering::Relaxed)
    }

    /// Requests that have released their slot.
    pub fn finished(&self) -> u64 {
        self.finished.load(Ordering::Relaxed)
    }

    /// Requests that ended with a failure of the back end.
    pub fn failed(&self) -> u64 {
        self.failed.load(Ordering::Relaxed)
    }

    /// Sum of the times that requests held their slots, in microseconds.
    pub fn latency_sum_us(&self) -> u64 {
        self.latency_sum_us.load(Ordering::Relaxed)
    }
}

/// The counters of all ranks, shared by successive snapshots of the section.
#[derive(Clone, Debug, Default)]
pub struct SharedCounters(pub BTreeMap<RankName, Arc<RankCounters>>);

/// Compares only the names of the ranks, because the counts change at any time.
impl PartialEq for SharedCounters {
    fn eq(&self, other: &Self) -> bool {
        self.0.keys().eq(other.0.keys())
    }
}

impl Eq for SharedCounters {}
