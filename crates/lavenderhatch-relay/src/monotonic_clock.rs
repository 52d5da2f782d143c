//! The steady clock of the daemon.

use std::time::Instant;

use lavenderhatch_core::Timestamp;

/// A clock that no change of the time of day moves.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started_at: Instant,
}

/// Reading of a clock that has just been opened. Zero is kept for "never".
const FIRST_READING_MS: u64 = 1_000;

impl MonotonicClock {
    /// Opens a clock.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    /// The present time. Its origin is the start of the process.
    pub fn now(&self) -> Timestamp {
        Timestamp(FIRST_READING_MS + self.started_at.elapsed().as_millis() as u64)
    }
}
