//! The largest number of daemons that was recently heard of.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Time for which a number is remembered.
const MEMORY: Duration = Duration::from_secs(3);

/// Remembers the largest of the numbers that were reported in the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentMax {
    value: u32,
    reported_at: Timestamp,
}

impl RecentMax {
    /// Reports a number.
    pub(super) fn report(&mut self, value: u32, now: Timestamp) {
        if value >= self.get(now) {
            self.value = value;
            self.reported_at = now;
        }
    }

    /// Returns the largest number, zero if there is none.
    pub(super) fn get(&self, now: Timestamp) -> u32 {
        match now.since(self.reported_at) < MEMORY {
            true => self.value,
            false => 0,
        }
    }
}
