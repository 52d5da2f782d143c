//! Retry budget: a token bucket that calls fill.

/// Thousandths of a token in one token.
const MILLI_TOKENS: u64 = 1000;
/// Maximum number of tokens in the bucket.
const MAX_TOKENS: u64 = 100;
/// Initial number of tokens, so that a daemon with few calls can retry at all.
const INITIAL_TOKENS: u64 = 10;

/// Tokens in a retry budget, in thousandths of a token, so that an atomic can hold them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryTokens(pub u64);

impl Default for RetryTokens {
    fn default() -> Self {
        Self(INITIAL_TOKENS * MILLI_TOKENS)
    }
}

impl RetryTokens {
    /// Returns the tokens after one more call. `ratio` is the number of retries allowed per call.
    pub fn deposit(self, ratio: f64) -> Self {
        let added = (ratio * MILLI_TOKENS as f64) as u64;
        Self((self.0 + added).min(MAX_TOKENS * MILLI_TOKENS))
    }

    /// Returns the tokens after one more retry, or `None` if the budget is exhausted.
    pub fn withdraw(self) -> Option<Self> {
        self.0.checked_sub(MILLI_TOKENS).map(Self)
    }
}
