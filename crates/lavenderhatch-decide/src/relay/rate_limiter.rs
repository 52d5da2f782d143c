//! Limit on the requests that start at a backend server in a second.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Time whose requests may start at once after a pause.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Minimum rate in requests per second. The limit is named in answers, so a backend server that
/// gets no requests could never lift it.
const MIN_RATE: f64 = 0.5;

/// A token bucket that limits the rate at which requests start.
///
/// A backend server in need names the requests per second that it takes from all daemons together.
/// All its requests pass the gate of its own daemon, so this is the only place that has to count
/// them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimiter {
    /// Requests per second, at least [`MIN_RATE`].
    rate: f64,
    /// Requests that may start at `updated_at`. Negative if several threads started requests at the
    /// same time.
    tokens: f64,
    updated_at: Timestamp,
}

impl RateLimiter {
    /// Creates a limiter of `rate` requests per second. The bucket is empty, because the backend
    /// server has just run requests.
    pub fn new(rate: f64, now: Timestamp) -> Self {
        Self {
            rate: rate.max(MIN_RATE),
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Changes the rate to `rate` requests per second.
    pub fn set_rate(&mut self, rate: f64, now: Timestamp) {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
        self.rate = rate.max(MIN_RATE);
    }

    /// Whether a request may start.
    pub fn has_token(&self, now: Timestamp) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: Timestamp) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.updated_at = now;
    }

    /// Returns the time until `count` more requests may have started.
    pub fn time_to_start(&self, count: u32, now: Timestamp) -> Duration {
        let missing = f64::from(count) - self.tokens_at(now);
        // Timestamps have millisecond resolution.
        Duration::from_millis((missing.max(0.0) / self.rate * 1000.0).ceil() as u64)
    }

    fn tokens_at(&self, now: Timestamp) -> f64 {
        let burst = (self.rate * BURST_TIME.as_secs_f64()).max(1.0);
        let added = now.since(self.updated_at).as_secs_f64() * self.rate;
        (self.tokens + added).min(burst)
    }
}
