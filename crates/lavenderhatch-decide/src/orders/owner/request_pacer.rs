//! Rate limit for the platform requests of a range.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Mean time between two commits of a range that always has claims.
pub const COMMIT_INTERVAL: Duration = Duration::from_millis(250);
/// How far ahead of its regular time a commit may be sent. After an idle period two commits may
/// follow each other immediately, so that the second order of a range with few orders does not
/// wait.
const COMMIT_BURST_TOLERANCE: Duration = Duration::from_millis(250);
/// Delay after a failed request before the next one that no claim is waiting for.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Limits how often a range sends requests to the platform.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestPacer {
    /// Theoretical arrival time of the next commit in the generic cell rate algorithm (GCRA).
    next_commit: Timestamp,
    last_load: Option<Timestamp>,
    /// Earliest time of a request that no claim is waiting for.
    pub(super) earliest_retry: Timestamp,
}

impl RequestPacer {
    /// Earliest time of the next commit.
    pub(super) fn earliest_commit(&self) -> Timestamp {
        self.next_commit - COMMIT_BURST_TOLERANCE
    }

    /// Earliest time at which the log may be read again.
    pub(super) fn earliest_load(&self) -> Timestamp {
        let last = self.last_load;
        last.map_or(Timestamp::default(), |last| last + COMMIT_INTERVAL)
    }

    pub(super) fn record_commit(&mut self, now: Timestamp) {
        self.next_commit = self.next_commit.max(now) + COMMIT_INTERVAL;
    }

    pub(super) fn record_load(&mut self, now: Timestamp) {
        self.last_load = Some(now);
    }

    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.earliest_retry = now + RETRY_DELAY;
    }
}
