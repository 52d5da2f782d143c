//! How many requests may be sent once more.

/// A token bucket for requests that are sent once more.
///
/// All daemons share one budget without talking to each other: each spends a part of the common
/// ratio on its own requests, and an equal part of the common allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Tokens that each first request adds.
    ratio: f64,
    /// Invariant: not above `capacity`.
    tokens: f64,
    /// Invariant: above zero.
    capacity: f64,
}

impl RetryBudget {
    /// A full bucket that holds `capacity` tokens.
    pub fn new(ratio: f64, capacity: f64) -> Self {
        Self {
            ratio,
            tokens: capacity,
            capacity,
        }
    }

    /// Changes the capacity, as the number of daemons changes. The level stays the same part of it.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.tokens *= capacity / self.capacity;
        self.capacity = capacity;
    }

    /// Counts a request that is sent for the first time.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Whether a request may be sent once more. Takes the token for it.
    pub fn withdraw(&mut self) -> bool {
        let is_granted = self.tokens >= 1.0;
        if is_granted {
            self.tokens -= 1.0;
        }
        is_granted
    }
}
