//! Scheduling parameters of a request.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Class, rank and times by which a request is scheduled on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Class of the request, by which service times are estimated: a hash of the route's name.
    pub class: u64,
    /// Rank of the request. Zero is the most urgent.
    pub priority: u8,
    /// When the request arrived at this daemon.
    pub arrived: Timestamp,
    /// Time of the latency target, counted from the caller's first attempt. An answer after it has
    /// less than its full worth. May lie in the past.
    pub target_at: Timestamp,
    /// Time after which an answer is useless.
    pub deadline: Timestamp,
}

impl Demand {
    /// A request may wait for at least the time to its target divided by this, even if its answer
    /// will then be late.
    const MIN_WAIT_DIVISOR: u32 = 4;

    /// Returns the latest time at which the request may start, if it holds its slot for `service`.
    pub fn latest_start(&self, service: Duration) -> Timestamp {
        let span = self.target_at.since(self.arrived);
        let on_time = self.target_at - service;
        let minimum_wait_end = self.arrived + span / Self::MIN_WAIT_DIVISOR;
        on_time.max(minimum_wait_end).min(self.deadline - service)
    }

    /// Whether the request meets its target if it starts now and holds its slot for `service`.
    pub fn is_on_time(&self, service: Duration, now: Timestamp) -> bool {
        now + service <= self.target_at
    }
}
