//! Waits between failed calls to the store.

use std::time::Duration;

/// Wait after the first failed call, before jitter. Doubles with each consecutive failure.
const INITIAL_WAIT: Duration = Duration::from_millis(100);
/// Maximum wait after a failed call, before jitter. It bounds how long a daemon that can reach the
/// store again keeps an old version in force.
const MAX_WAIT: Duration = Duration::from_millis(650);

/// Exponential backoff after failed calls, with jitter so that daemons do not retry at the same
/// time.
#[derive(Debug, Default)]
pub struct Backoff {
    /// Number of consecutive failures.
    failures: u32,
}

impl Backoff {
    /// Records a call that has succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call and returns the wait before the next one. `random` is between 0 and 1.
    pub fn next_wait(&mut self, random: f64) -> Duration {
        let wait = (INITIAL_WAIT * (1 << self.failures.min(8))).min(MAX_WAIT);
        self.failures += 1;
        wait.mul_f64(0.5 + random)
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the last call has failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}
