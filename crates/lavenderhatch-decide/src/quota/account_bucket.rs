//! The tokens of an account at a coordinator.

use std::collections::VecDeque;

use lavenderhatch_core::Timestamp;
use lavenderhatch_core::routing::AccountLimit;

use super::message::ReturnedTokens;
use super::{BURST_SLACK, TOKEN_LIFETIME};

/// The token bucket of an account. Starts empty, because an earlier process may have granted a full
/// bucket.
#[derive(Clone, Debug)]
pub(super) struct AccountBucket {
    limit: AccountLimit,
    tokens: f64,
    updated_at: Timestamp,
    /// Grants that may still be used or returned: time and number of tokens, oldest first.
    outstanding: VecDeque<(Timestamp, u32)>,
    /// Sum of the numbers in `outstanding`.
    outstanding_count: u64,
}

impl AccountBucket {
    pub(super) fn new(limit: AccountLimit, now: Timestamp) -> Self {
        Self {
            limit,
            tokens: 0.0,
            updated_at: now,
            outstanding: VecDeque::new(),
            outstanding_count: 0,
        }
    }

    /// Changes the limit, while the coordinator has `share`.
    pub(super) fn set_limit(&mut self, limit: AccountLimit, share: f64, now: Timestamp) {
        self.advance(share, now);
        self.limit = limit;
        self.clamp(share);
    }

    /// Adds the tokens gained since the last call. `share` must not have been lower in between.
    pub(super) fn advance(&mut self, share: f64, now: Timestamp) {
        while let Some((at, count)) = self.outstanding.front().copied()
            && now.since(at) >= TOKEN_LIFETIME
        {
            self.outstanding.pop_front();
            self.outstanding_count -= u64::from(count);
        }
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.tokens += elapsed * self.limit.rate * share;
        self.clamp(share);
    }

    /// Drops tokens beyond what the bucket may hold with `share`.
    pub(super) fn clamp(&mut self, share: f64) {
        let capacity = (self.limit.burst + BURST_SLACK) * share;
        let in_lifetime = self.limit.rate * TOKEN_LIFETIME.as_secs_f64() * share;
        let potential = capacity + in_lifetime - self.outstanding_count as f64;
        self.tokens = self.tokens.min(capacity).min(potential).max(0.0);
    }

    /// Takes back tokens that are still valid.
    pub(super) fn take_back(&mut self, returned: ReturnedTokens, share: f64) {
        let mut grants = self.outstanding.iter_mut();
        let Some((_, granted)) = grants.find(|(at, _)| *at == returned.granted_at) else {
            return;
        };
        let count = returned.count.min(*granted);
        *granted -= count;
        self.outstanding_count -= u64::from(count);
        self.tokens += f64::from(count);
        self.clamp(share);
    }

    /// Grants tokens: all that are needed, as far as there are any, and of those wanted in advance
    /// at most half of the remaining ones, so that later requests of other daemons find some.
    pub(super) fn grant(&mut self, needed: u32, wanted: u32, now: Timestamp) -> u32 {
        let available = self.tokens.floor() as u32;
        let mut count = needed.min(available);
        let rest = available - count;
        if rest > 0 {
            count += wanted.min((rest / 2).max(1));
        }
        if count == 0 {
            return 0;
        }
        self.tokens -= f64::from(count);
        self.outstanding_count += u64::from(count);
        match self.outstanding.back_mut() {
            Some((at, granted)) if *at == now => *granted += count,
            _ => self.outstanding.push_back((now, count)),
        }
        count
    }

    /// Returns the time until `count` tokens are expected, in milliseconds.
    pub(super) fn time_to_ms(&self, count: u32, share: f64) -> u32 {
        let missing = (f64::from(count) - self.tokens).max(0.0);
        let rate = self.limit.rate * share;
        match rate > 0.0 {
            true => (missing / rate * 1000.0).ceil().clamp(1.0, 10_000.0) as u32,
            false => 1000,
        }
    }
}
