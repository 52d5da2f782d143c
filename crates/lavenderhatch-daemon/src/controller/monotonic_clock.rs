//! A monotonic clock that yields timestamps.

use std::time::Instant;

use lavenderhatch_core::Timestamp;

/// Monotonic clock that starts at the system time.
///
/// With the system clock itself, a daemon whose clock is set back would send no heartbeat until the
/// clock reaches the earlier time again.
#[derive(Clone, Copy, Debug)]
pub(super) struct MonotonicClock {
    start_time: Timestamp,
    start_instant: Instant,
}

impl MonotonicClock {
    pub(super) fn start() -> Self {
        Self {
            start_time: Timestamp::from_system_clock(),
            start_instant: Instant::now(),
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        self.start_time + self.start_instant.elapsed()
    }
}
