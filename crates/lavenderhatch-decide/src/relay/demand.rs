//! What a request asks of a backend server.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// What a request asks of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Kind of the request, for its service time: a hash of the route's name.
    pub class: u64,
    /// Rank of the request. Zero is the most urgent.
    pub priority: u8,
    /// When the request came to this daemon.
    pub arrived: Timestamp,
    /// Until when an answer has its full worth, counted from the caller's first attempt. May have
    /// passed.
    pub target_at: Timestamp,
    /// Until when an answer is of use.
    pub expires_at: Timestamp,
}

impl Demand {
    /// Part of the time to the target that a request may wait although it will be late.
    const MIN_WAIT_DIVISOR: u32 = 4;

    /// Until when the request is worth waiting for a slot, if it then takes `service`.
    pub fn latest_start(&self, service: Duration) -> Timestamp {
        let span = self.target_at.since(self.arrived);
        let on_time = before(self.target_at, service);
        let minimum_wait_end = self.arrived + span / Self::MIN_WAIT_DIVISOR;
        on_time
            .max(minimum_wait_end)
            .min(before(self.expires_at, service))
    }

    /// Whether a request that starts now meets its target.
    pub fn is_on_time(&self, service: Duration, now: Timestamp) -> bool {
        now + service <= self.target_at
    }
}

fn before(at: Timestamp, span: Duration) -> Timestamp {
    Timestamp(at.0.saturating_sub(span.as_millis() as u64))
}
