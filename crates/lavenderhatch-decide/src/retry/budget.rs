//! The retry budget, a token bucket that calls fill.

/// Thousandths of a token in one token.
const MILLI_TOKENS: u64 = 1000;
/// Most tokens that are kept.
const MAX_TOKENS: u64 = 100;
/// Tokens at the start, so that a daemon with few calls can retry at all.
const INITIAL_TOKENS: u64 = 10;

/// Level of a retry budget, in thousandths of a token. Fits an atomic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryTokens(pub u64);

impl Default for RetryTokens {
    fn default() -> Self {
        Self(INITIAL_TOKENS * MILLI_TOKENS)
    }
}

impl RetryTokens {
    /// The level after one more call, of which `ratio` may be retried.
    pub fn deposit(self, ratio: f64) -> Self {
        let added = (ratio * MILLI_TOKENS as f64) as u64;
        Self((self.0 + added).min(MAX_TOKENS * MILLI_TOKENS))
    }

    /// The level after one more retry, or `None` if the budget is used up.
    pub fn withdraw(self) -> Option<Self> {
        self.0.checked_sub(MILLI_TOKENS).map(Self)
    }
}
