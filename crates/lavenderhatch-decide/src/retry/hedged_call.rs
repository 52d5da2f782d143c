//! Decision when a call without a response is repeated.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Maximum number of copies of one call that are in progress at the same time.
const MAX_CALLS: u32 = 6;

/// A call that is repeated on another connection while none of its copies makes progress.
///
/// The earlier copies stay in progress, so a slow server still answers. The first response counts.
/// The call may take effect more than once, so it is a read or a write with a precondition that the
/// first effect ends.
/// While a response arrives, no further call starts, because on a small link the calls would slow
/// each other down.
#[derive(Clone, Copy, Debug)]
pub struct HedgedCall {
    /// Time without progress after which the next call starts.
    delay: Duration,
    /// Calls in progress, at most [`MAX_CALLS`].
    calls: u32,
    /// When the last call started or a part of a response arrived.
    last_progress: Timestamp,
}

impl HedgedCall {
    /// Starts the first copy.
    pub fn start(delay: Duration, now: Timestamp) -> Self {
        Self {
            delay,
            calls: 1,
            last_progress: now,
        }
    }

    /// Records that a part of a response has arrived.
    pub fn record_progress(&mut self, now: Timestamp) {
        self.last_progress = now;
    }

    /// Records the failure of a call. Returns whether others are in progress.
    pub fn end_call(&mut self) -> bool {
        self.calls -= 1;
        self.calls > 0
    }

    /// Returns the time until the next call is due; `None` while as many as possible are in
    /// progress.
    pub fn time_to_next_call(&self, now: Timestamp) -> Option<Duration> {
        let due = self.last_progress + self.delay;
        (self.calls < MAX_CALLS).then(|| due.since(now))
    }

    /// Starts the next call if it is due. Returns whether it was.
    pub fn start_next_call(&mut self, now: Timestamp) -> bool {
        let is_due = self.time_to_next_call(now) == Some(Duration::ZERO);
        if is_due {
            self.calls += 1;
            self.last_progress = now;
        }
        is_due
    }
}
