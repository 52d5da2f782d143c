//! A request that waits for its answer.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

use crate::blackboard::Endpoint;
use crate::monotonic_clock::MonotonicClock;

/// Counts a request as outstanding at its endpoint until dropped.
pub(super) struct OutstandingRequest<'a> {
    endpoint: &'a Endpoint,
    clock: MonotonicClock,
    since: Timestamp,
    /// Whether the attempt has ended. If it is cancelled first, the time so far is recorded as its
    /// delay, because the attempt would have taken at least that long.
    pub(super) is_finished: bool,
}

impl<'a> OutstandingRequest<'a> {
    pub(super) fn begin(endpoint: &'a Endpoint, clock: MonotonicClock) -> Self {
        endpoint.stats.begin_request();
        Self {
            endpoint,
            clock,
            since: clock.now(),
            is_finished: false,
        }
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.clock.now().since(self.since)
    }
}

impl Drop for OutstandingRequest<'_> {
    fn drop(&mut self) {
        self.endpoint.stats.end_request();
        if !self.is_finished {
            let now = self.clock.now();
            self.endpoint.stats.record_delay(self.elapsed(), now);
        }
    }
}
