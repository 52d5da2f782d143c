//! Bounds the log under load.

use lavenderhatch_core::Timestamp;

/// Lines of one sort that a port writes in a second.
const LINES_PER_SECOND: f64 = 50.0;
/// Lines that may follow each other at once.
const BURST: f64 = 100.0;

/// A token bucket for lines about requests. Those beyond it are counted.
#[derive(Debug)]
pub(crate) struct LogRateLimiter {
    /// Invariant: at most [`BURST`].
    tokens: f64,
    refilled_at: Timestamp,
    dropped: u64,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        Self {
            tokens: BURST,
            refilled_at: Timestamp::default(),
            dropped: 0,
        }
    }
}

impl LogRateLimiter {
    /// Whether a line may be written. Gives the number of lines dropped before it.
    pub(crate) fn admit(&mut self, now: Timestamp) -> Option<u64> {
        let added = now.since(self.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        self.tokens = (self.tokens + added).min(BURST);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}
