//! The retry budget of this daemon, which all threads share.

use std::sync::atomic::{AtomicU64, Ordering};

use lavenderhatch_decide::retry::RetryTokens;

/// The level of the token bucket for retries.
#[derive(Debug)]
pub(super) struct SharedRetryBudget(AtomicU64);

impl Default for SharedRetryBudget {
    fn default() -> Self {
        Self(AtomicU64::new(RetryTokens::default().0))
    }
}

impl SharedRetryBudget {
    /// Adds the tokens that one call earns. `ratio` is the fraction of calls that may be retried.
    pub(super) fn deposit(&self, ratio: f64) {
        let add = |level| {
            let after = RetryTokens(level).deposit(ratio).0;
            // A full bucket is not written, so that calls without retries do not contend for it.
            (after != level).then_some(after)
        };
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes the tokens for one retry. Returns whether the budget allows it.
    pub(super) fn withdraw(&self) -> bool {
        let take = |level| RetryTokens(level).withdraw().map(|tokens| tokens.0);
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}
