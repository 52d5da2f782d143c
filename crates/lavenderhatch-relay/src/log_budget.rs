//! Bounds the log under load.

use lavenderhatch_core::Timestamp;

/// Lines of one sort that a port writes in a second.
const LINES_PER_S: f64 = 50.0;
/// Lines that may follow each other at once.
const BURST: f64 = 100.0;

/// A token bucket for lines about requests. Those beyond it are counted.
#[derive(Debug)]
pub(crate) struct LogBudget {
    /// Invariant: at most [`BURST`].
    tokens: f64,
    at: Timestamp,
    dropped: u64,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self {
            tokens: BURST,
            at: Timestamp::default(),
            dropped: 0,
        }
    }
}

impl LogBudget {
    /// Whether a line may be written. Gives the number of lines dropped before it.
    pub(crate) fn admit(&mut self, now: Timestamp) -> Option<u64> {
        let added = now.since(self.at).as_secs_f64() * LINES_PER_S;
        self.tokens = (self.tokens + added).min(BURST);
        self.at = now;
        if self.tokens < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}
