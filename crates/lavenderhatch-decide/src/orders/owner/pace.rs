//! When a range may exchange with the platform.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Mean time between two commits of a range that has claims all the time.
pub const COMMIT_INTERVAL: Duration = Duration::from_millis(250);
/// How far a commit may come before its regular time after a quiet spell. Lets two commits follow
/// each other at once, so that the second order of a range with few orders does not wait.
const COMMIT_TOLERANCE: Duration = Duration::from_millis(250);
/// Wait after a failed exchange before the next one that no claim asks for.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Times of the last exchanges of a range.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    /// Regular time of the next commit, as in the generic cell rate algorithm.
    next_commit: Timestamp,
    last_load: Option<Timestamp>,
    /// When an exchange that no claim asks for may be made.
    pub(super) retry_at: Timestamp,
}

impl Pace {
    /// When the next commit may be sent.
    pub(super) fn commit_slot(&self) -> Timestamp {
        let early = self.next_commit.as_millis();
        Timestamp(early.saturating_sub(COMMIT_TOLERANCE.as_millis() as u64))
    }

    /// When the log may be read again.
    pub(super) fn load_slot(&self) -> Timestamp {
        let last = self.last_load;
        last.map_or(Timestamp::default(), |last| last + COMMIT_INTERVAL)
    }

    pub(super) fn commit_sent(&mut self, now: Timestamp) {
        self.next_commit = self.next_commit.max(now) + COMMIT_INTERVAL;
    }

    pub(super) fn load_sent(&mut self, now: Timestamp) {
        self.last_load = Some(now);
    }

    pub(super) fn failed(&mut self, now: Timestamp) {
        self.retry_at = now + RETRY_DELAY;
    }
}
