//! Slots in which requests run.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A count of taken slots, and the wait for a free one.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    taken: Mutex<u32>,
    freed: Condvar,
}

impl Slots {
    /// Waits for a slot until `deadline`, and says whether there was one.
    pub(crate) fn take(&self, limit: u32, deadline: Instant) -> bool {
        let wait = deadline.saturating_duration_since(Instant::now());
        let taken = self.lock();
        let result = self
            .freed
            .wait_timeout_while(taken, wait, |taken| *taken >= limit);
        let (mut taken, timeout) = result.unwrap_or_else(PoisonError::into_inner);
        if timeout.timed_out() {
            return false;
        }
        *taken += 1;
        true
    }

    /// Frees a slot.
    pub(crate) fn free(&self) {
        *self.lock() -= 1;
        self.freed.notify_one();
    }

    /// Slots that are taken.
    pub(crate) fn taken(&self) -> u32 {
        *self.lock()
    }

    /// Waits for a time without a slot being of use to anyone.
    pub(crate) fn work(&self, time: Duration) {
        if !time.is_zero() {
            let never = Condvar::new();
            let guard = Mutex::new(());
            let start = Instant::now();
            let lock = guard.lock().unwrap_or_else(PoisonError::into_inner);
            let _ = never.wait_timeout_while(lock, time, |()| start.elapsed() < time);
        }
    }

    fn lock(&self) -> MutexGuard<'_, u32> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
