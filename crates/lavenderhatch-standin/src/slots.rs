//! A counting semaphore that limits how many requests run at once.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Slots in which requests run. The limit is passed to [`Slots::acquire`] because it can change.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    in_use: Mutex<u32>,
    released: Condvar,
}

impl Slots {
    /// Waits until `deadline` for a free slot and returns whether it was acquired.
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

    /// Releases a slot and wakes one waiting request.
    pub(crate) fn release(&self) {
        *self.lock() -= 1;
        self.released.notify_one();
    }

    /// Returns the number of slots in use.
    pub(crate) fn in_use(&self) -> u32 {
        *self.lock()
    }

    /// Blocks the calling thread for `time`, which stands for the work of a request.
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
