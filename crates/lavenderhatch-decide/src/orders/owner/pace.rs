//! When a range may exchange with the platform.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Least time between two commits of a range.
pub const COMMIT_INTERVAL: Duration = Duration::from_millis(250);
/// Wait after a failed exchange before the next one that no claim asks for.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Times of the last exchanges of a range.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    last_commit: Option<Timestamp>,
    last_load: Option<Timestamp>,
    /// When an exchange that no claim asks for may be made.
    pub(super) retry_at: Timestamp,
}

impl Pace {
    /// When the next commit may be sent.
    pub(super) fn commit_slot(&self) -> Timestamp {
        slot_after(self.last_commit)
    }

    /// When the log may be read again.
    pub(super) fn load_slot(&self) -> Timestamp {
        slot_after(self.last_load)
    }

    pub(super) fn commit_sent(&mut self, now: Timestamp) {
        self.last_commit = Some(now);
    }

    pub(super) fn load_sent(&mut self, now: Timestamp) {
        self.last_load = Some(now);
    }

    pub(super) fn failed(&mut self, now: Timestamp) {
        self.retry_at = now + RETRY_DELAY;
    }
}

fn slot_after(last: Option<Timestamp>) -> Timestamp {
    last.map_or(Timestamp::default(), |last| last + COMMIT_INTERVAL)
}
