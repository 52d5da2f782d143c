//! The monotonic clock of the daemon.

use std::time::Instant;

use lavenderhatch_core::Timestamp;

/// A clock that is unaffected by changes of the system time.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started_at: Instant,
}

/// Reading of a clock that has just been started, in milliseconds. Zero is reserved for "never".
const FIRST_READING_MS: u64 = 1_000;

impl MonotonicClock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    /// Returns the current time, relative to the start of the clock.
    pub fn now(&self) -> Timestamp {
        Timestamp(FIRST_READING_MS + self.started_at.elapsed().as_millis() as u64)
    }
}
