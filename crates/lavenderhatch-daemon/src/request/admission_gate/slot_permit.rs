//! The right to run one request on the back end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lavenderhatch_core::Timestamp;
use lavenderhatch_core::load::RankCounters;

use super::AdmissionGate;

/// A slot of the back end. It is freed when the permit is dropped, wherever that happens: a thread
/// that has given up waiting drops the permit together with its channel.
#[derive(Debug)]
pub struct SlotPermit {
    gate: Arc<AdmissionGate>,
    counters: Arc<RankCounters>,
    deadline: Timestamp,
    acquired_at: Instant,
}

impl SlotPermit {
    /// Invariant: the caller has counted the request as in flight.
    pub(super) fn new(
        gate: Arc<AdmissionGate>,
        counters: Arc<RankCounters>,
        deadline: Timestamp,
    ) -> Self {
        Self {
            gate,
            counters,
            deadline,
            acquired_at: Instant::now(),
        }
    }

    /// Time until the deadline of the request.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.gate.now())
    }

    /// Frees the slot and counts the time for which it was held.
    pub fn finish(self, is_failure: bool) {
        let held = self.acquired_at.elapsed().as_micros() as u64;
        self.counters.finish(held, is_failure);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.gate.release();
    }
}
