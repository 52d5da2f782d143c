//! Retry budget of a daemon on the event-driven request path.

/// Token bucket that limits retries.
///
/// All daemons share one budget without communication: each daemon applies the common ratio to its
/// own requests and gets an equal part of the common capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Tokens added by each first attempt.
    ratio: f64,
    /// Tokens in the bucket. Invariant: not above `capacity`.
    tokens: f64,
    /// Maximum number of tokens. Invariant: above zero.
    capacity: f64,
}

impl RetryBudget {
    /// Creates a full bucket of `capacity` tokens.
    pub fn new(ratio: f64, capacity: f64) -> Self {
        Self {
            ratio,
            tokens: capacity,
            capacity,
        }
    }

    /// Changes the capacity when the number of daemons changes. The tokens are scaled with it.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.tokens *= capacity / self.capacity;
        self.capacity = capacity;
    }

    /// Adds the tokens of a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Takes the token for a retry. Returns whether one was available.
    pub fn withdraw(&mut self) -> bool {
        let is_granted = self.tokens >= 1.0;
        if is_granted {
            self.tokens -= 1.0;
        }
        is_granted
    }
}
