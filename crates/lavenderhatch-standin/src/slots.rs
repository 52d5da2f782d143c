//! Slots in which requests run.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A count of taken slots, and the wait for a free one.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    in_use: Mutex<u32>,
    released: Condvar,
}

impl Slots {
    /// Waits for a slot until `deadline`, and says whether there was one.
    pub(crate) fn acquire(&self, limit: u32, deadline: Instant) -> bool {
        let wait = deadline.saturating_duration_since(Instant::now());
        let in_use = self.lock();
        let result = self
            .released
            .wait_timeout_while(in_use, wait, |in_use| *in_use >= limit);
        let (mut in_use, timeout) = result.unwrap_or_else(PoisonError::into_inner);
        if timeout.timed_out() {
            return false;
        }
        *in_use += 1;
        true
    }

    /// Frees a slot.
    pub(crate) fn release(&self) {
        *self.lock() -= 1;
        self.released.notify_one();
    }

    /// Slots that are taken.
    pub(crate) fn in_use(&self) -> u32 {
        *self.lock()
    }

    /// Waits for a time without a slot being of use to anyone.
    pub(crate) fn simulate_work(&self, time: Duration) {
        if !time.is_zero() {
            let never_notified = Condvar::new();
            let mutex = Mutex::new(());
            let start = Instant::now();
            let guard = mutex.lock().unwrap_or_else(PoisonError::into_inner);
            let _ = never_notified.wait_timeout_while(guard, time, |()| start.elapsed() < time);
        }
    }

    fn lock(&self) -> MutexGuard<'_, u32> {
        self.in_use.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
