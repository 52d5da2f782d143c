//! A permit to run one request on the local back end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lavenderhatch_core::Timestamp;
use lavenderhatch_core::load::RankCounters;

use super::AdmissionGate;

/// A slot of the local back end, which is released when the permit is dropped.
///
/// If a thread has stopped waiting, its permit is dropped together with the channel.
#[derive(Debug)]
pub struct SlotPermit {
    gate: Arc<AdmissionGate>,
    counters: Arc<RankCounters>,
    deadline: Timestamp,
    acquired_at: Instant,
}

impl SlotPermit {
    /// Creates the permit for an acquired slot.
    ///
    /// Invariant: the slot semaphore already counts the request as in flight.
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

    /// Returns the time until the deadline of the request.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.gate.now())
    }

    /// Releases the slot and records for how long it was held.
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
