//! The retry budget of this daemon, shared by the threads of all calls.

use std::sync::atomic::{AtomicU64, Ordering};

use lavenderhatch_decide::retry::RetryTokens;

/// The level of the budget in an atomic.
#[derive(Debug)]
pub(super) struct SharedRetryBudget(AtomicU64);

impl Default for SharedRetryBudget {
    fn default() -> Self {
        Self(AtomicU64::new(RetryTokens::default().0))
    }
}

impl SharedRetryBudget {
    /// Counts a call, of which `ratio` may be retried.
    pub(super) fn deposit(&self, ratio: f64) {
        let add = |level| {
            let after = RetryTokens(level).deposit(ratio).0;
            // A full bucket is left alone, so that calls without retries do not contend for it.
            (after != level).then_some(after)
        };
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry. Returns whether the budget allows it.
    pub(super) fn withdraw(&self) -> bool {
        let take = |level| RetryTokens(level).withdraw().map(|tokens| tokens.0);
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}
