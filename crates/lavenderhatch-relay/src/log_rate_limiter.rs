//! Rate limit for log lines.

use lavenderhatch_core::Timestamp;

/// Lines per second that a port writes to the log in each category.
const LINES_PER_SECOND: f64 = 50.0;
/// Lines that may be written in one burst.
const BURST: f64 = 100.0;

/// A token bucket for log lines about requests. It counts the lines that it drops.
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
    /// Takes a token for a line and returns the number of lines dropped since the last one. `None`
    /// if the line must be dropped.
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
