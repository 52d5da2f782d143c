//! A clock that never goes back.

use std::time::Instant;

use lavenderhatch_core::Timestamp;

/// Counts on from the system time at its start.
///
/// A system clock that is set back would make a daemon wait for the old time to come round before
/// it sends its next heartbeat.
#[derive(Clone, Copy, Debug)]
pub(super) struct SteadyClock {
    start: Timestamp,
    since: Instant,
}

impl SteadyClock {
    pub(super) fn start() -> Self {
        Self {
            start: Timestamp::from_system_clock(),
            since: Instant::now(),
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        self.start + self.since.elapsed()
    }
}
