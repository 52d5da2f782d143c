//! The requests and tokens of an account at a daemon.

use std::collections::VecDeque;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_core::routing::AccountLimit;

use super::account_id::AccountId;
use super::daemon_set::FleetView;
use super::decision::{Ticket, TicketOutcome};
use super::link::INTERVAL;
use super::local_bucket::LocalBucket;
use super::message::{AccountAsk, AccountGrant, ReturnedTokens};
use super::token::{Grant, Token, TokenBatch, TokenSource};
use super::{BURST_SLACK, TOKEN_LIFETIME, message};

/// Time over which the rate of requests is averaged.
const AVERAGING_TIME: Duration = Duration::from_millis(3000);
/// Number of expected requests from which tokens are fetched in advance. Fewer would mostly come
/// back unused, and small accounts have too few tokens for that.
const MIN_EXPECTED: f64 = 0.7;
/// Shortest time without another question after tokens were denied to an account with many requests
/// at this daemon. Its regular messages ask as well.
const DENIAL_OF_BUSY: Duration = Duration::from_millis(250);
/// Longest time without another question after a denial.
const MAX_DENIAL: Duration = Duration::from_millis(450);

/// The requests and tokens of an account.
#[derive(Clone, Debug)]
pub(super) struct AccountDemand {
    pub(super) account: AccountId,
    pub(super) limit: AccountLimit,
    pub(super) local: LocalBucket,
    /// Number of the view and burst that the capacity of `local` was computed for, and the
    /// capacity. It takes a hash for each daemon.
    local_capacity: Option<(u64, f64, f64)>,
    /// Requests that wait for a token, oldest first.
    pub(super) waiting: VecDeque<Ticket>,
    /// Requests in `waiting` that an unanswered message has asked for.
    asked: u32,
    /// Time until which no token is expected.
    denied_until: Timestamp,
    /// Requests per second at `updated_at`.
    rate: f64,
    updated_at: Timestamp,
    batches: Vec<TokenBatch>,
}

impl AccountDemand {
    pub(super) fn new(account: AccountId, limit: AccountLimit) -> Self {
        Self {
            account,
            limit,
            local: LocalBucket::default(),
            local_capacity: None,
            waiting: VecDeque::new(),
            asked: 0,
            denied_until: Timestamp::default(),
            rate: 0.0,
            updated_at: Timestamp::default(),
            batches: Vec::new(),
        }
    }

    /// Returns how many tokens of the own share the daemon may hold in `view`, whose number is
    /// `generation`.
    pub(super) fn local_capacity(&mut self, view: &FleetView, generation: u64) -> f64 {
        let burst = self.limit.burst;
        match self.local_capacity {
            Some((known, of_burst, capacity)) if (known, of_burst) == (generation, burst) => {
                capacity
            }
            _ => {
                let capacity = view.whole_share(self.account, burst + BURST_SLACK);
                self.local_capacity = Some((generation, burst, capacity));
                capacity
            }
        }
    }

    /// Records the arrival of a request.
    pub(super) fn record_arrival(&mut self, now: Timestamp) {
        self.rate = self.rate_at(now) + 1.0 / AVERAGING_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// Takes a valid token of a coordinator, the one that ends first.
    pub(super) fn take(&mut self, now: Timestamp) -> Option<Token> {
        self.drop_expired(now);
        let batch = self
            .batches
            .iter_mut()
            .min_by_key(|batch| batch.grant.expires_at)?;
        batch.count -= 1;
        let source = TokenSource::Coordinator(batch.grant);
        self.batches.retain(|batch| batch.count > 0);
        Some(Token {
            account: self.account,
            source,
        })
    }

    /// Takes back a token whose request did not run.
    pub(super) fn give_back(&mut self, token: Token, now: Timestamp) {
        match token.source {
            TokenSource::Local => self.local.give_back(),
            TokenSource::Coordinator(grant) if now < grant.expires_at => self.add_batch(grant, 1),
            TokenSource::Coordinator(_) => {}
        }
    }

    /// Returns the time for which no token is expected; `None` if one may be asked for.
    pub(super) fn denied_for(&self, now: Timestamp) -> Option<Duration> {
        (now < self.denied_until).then(|| self.denied_until.since(now))
    }

    /// Whether no token is left although further requests are expected soon.
    pub(super) fn is_short(&self, now: Timestamp) -> bool {
        self.batches.is_empty() && self.expected(now) >= 1.0 && self.denied_for(now).is_none()
    }

    /// Whether nothing needs to be remembered of the account.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        self.waiting.is_empty() && self.batches.is_empty() && self.rate_at(now) < 0.001
    }

    /// Builds the question for a message to the process `epoch` of a coordinator. `is_regular` is
    /// whether the message is sent because of the interval. `None` if there is nothing to ask.
    pub(super) fn ask(
        &mut self,
        epoch: u32,
        is_regular: bool,
        now: Timestamp,
    ) -> Option<AccountAsk> {
        self.drop_expired(now);
        let returned = self.take_unused(epoch, now);
        let held: u32 = self.batches.iter().map(|batch| batch.count).sum();
        let target = self.target(now);
        let needed = (self.waiting.len() as u32).saturating_sub(self.asked);
        let mut wanted = target.saturating_sub(held);
        if !is_regular && (wanted < target.div_ceil(2) || self.denied_for(now).is_some()) {
            wanted = 0;
        }
        if needed == 0 && wanted == 0 && returned.is_empty() {
            return None;
        }
        self.asked += needed;
        Some(AccountAsk {
            account: self.account,
            needed,
            wanted,
            returned,
        })
    }

    /// Records that a message with `ask` is no longer on its way.
    pub(super) fn end_ask(&mut self, ask: &AccountAsk) {
        self.asked = self.asked.saturating_sub(ask.needed);
    }

    /// Adds the tokens that a message sent at `sent_at` has brought.
    pub(super) fn add_grant(
        &mut self,
        grant: &AccountGrant,
        response: &message::QuotaResponse,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        if grant.count > 0 {
            let tokens = Grant {
                epoch: response.epoch,
                granted_at: response.now,
                expires_at: sent_at + TOKEN_LIFETIME,
            };
            self.add_batch(tokens, grant.count);
        }
        if grant.retry_after_ms > 0 {
            let hint = Duration::from_millis(grant.retry_after_ms.into());
            let shortest = match self.expected(now) >= MIN_EXPECTED {
                true => DENIAL_OF_BUSY,
                false => Duration::ZERO,
            };
            self.denied_until = now + hint.max(shortest).min(MAX_DENIAL);
        }
    }

    /// Hands tokens to waiting requests. If `denied_for` is given, the rest is refused.
    pub(super) fn serve_waiting(
        &mut self,
        denied_for: Option<Duration>,
        now: Timestamp,
    ) -> Vec<TicketOutcome> {
        let mut outcomes = Vec::new();
        while let Some(ticket) = self.waiting.front().copied() {
            let result = match (self.take(now), denied_for) {
                (Some(token), _) => Ok(token),
                (None, Some(denied_for)) => Err(denied_for),
                (None, None) => break,
            };
            self.waiting.pop_front();
            outcomes.push(TicketOutcome { ticket, result });
        }
        outcomes
    }

    fn add_batch(&mut self, grant: Grant, count: u32) {
        let mut known = self.batches.iter_mut();
        match known.find(|known| known.grant == grant) {
            Some(same) => same.count += count,
            None => self.batches.push(TokenBatch { grant, count }),
        }
    }

    fn drop_expired(&mut self, now: Timestamp) {
        self.batches.retain(|batch| now < batch.grant.expires_at);
    }

    /// Removes the tokens that will probably not be used before they end, and that end before the
    /// next message.
    fn take_unused(&mut self, epoch: u32, now: Timestamp) -> Vec<ReturnedTokens> {
        let rate = self.rate_at(now);
        let waiting = self.waiting.len() as f64;
        let mut returned = Vec::new();
        for batch in &mut self.batches {
            let left = batch.grant.expires_at.since(now);
            if batch.grant.epoch != epoch || left > INTERVAL {
                continue;
            }
            let kept = (waiting + (rate * left.as_secs_f64()).floor()) as u32;
            let count = batch.count.saturating_sub(kept);
            if count > 0 {
                batch.count -= count;
                returned.push(ReturnedTokens {
                    granted_at: batch.grant.granted_at,
                    count,
                });
            }
        }
        self.batches.retain(|batch| batch.count > 0);
        returned
    }

    /// Returns the number of requests that are expected within the life of a token.
    fn expected(&self, now: Timestamp) -> f64 {
        self.rate_at(now) * TOKEN_LIFETIME.as_secs_f64()
    }

    /// Returns the number of tokens that the daemon should have after a message. The square root
    /// covers a part of the variance of requests that arrive independently.
    fn target(&self, now: Timestamp) -> u32 {
        let expected = self.expected(now);
        match expected < MIN_EXPECTED {
            true => 0,
            false => (expected + expected.sqrt() / 2.0).ceil() as u32,
        }
    }

    fn rate_at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
