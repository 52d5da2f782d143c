//! The tokens of a daemon's own share of an account.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// The daemon's own share of an account's limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalShare {
    /// Tokens per second.
    pub(super) rate: f64,
    /// Tokens that the daemon may hold, a whole number.
    pub(super) capacity: f64,
    /// Time from which the share is not delegated.
    pub(super) free_since: Timestamp,
}

/// A token bucket that is in use while the share is not delegated.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LocalBucket {
    tokens: f64,
    updated_at: Timestamp,
}

impl LocalBucket {
    /// Takes a token. Fails with the time until there is one.
    pub(super) fn take(&mut self, share: &LocalShare, now: Timestamp) -> Result<(), Duration> {
        if self.updated_at < share.free_since {
            // The coordinator has used the share in the meantime.
            self.tokens = 0.0;
            self.updated_at = share.free_since;
        }
        self.tokens += now.since(self.updated_at).as_secs_f64() * share.rate;
        self.tokens = self.tokens.min(share.capacity);
        self.updated_at = self.updated_at.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / share.rate;
        Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX))
    }

    /// Takes back a token whose request did not run.
    pub(super) fn give_back(&mut self) {
        self.tokens += 1.0;
    }
}
