//! Claims that are waiting for a verdict.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::super::range_log::Attempt;
use crate::message::{Claim, OutcomeRecord};

/// Time after which a claim without a verdict is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of claims in one commit. Keeps the head below the platform's limit for the size
/// of a value.
const MAX_BATCH_CLAIMS: usize = 1000;

/// A claim that is waiting for a verdict.
#[derive(Clone, Debug)]
pub(super) struct WaitingClaim<W> {
    pub(super) claim: Claim,
    /// Waiters for the verdict. More than one if the claim message arrived more than once.
    pub(super) waiters: Vec<W>,
    since: Timestamp,
    /// Whether an unconfirmed write that holds the claim may have taken effect or may still do so.
    pub(super) is_maybe_written: bool,
}

impl<W> WaitingClaim<W> {
    pub(super) fn is_for(&self, record: &OutcomeRecord) -> bool {
        self.claim.key_hash == record.key_hash
            && Attempt::from_outcome(record).matches_claim(&self.claim)
    }
}

/// Result of adding a waiter to a claim in a [`WaitingList`].
pub(super) enum JoinResult<W> {
    /// The same claim is already waiting; the verdict goes to both waiters.
    Same,
    /// Another attempt with the same key is waiting.
    KeyTaken(W),
    /// No claim with the same key is waiting.
    None(W),
}

/// Claims in order of arrival. Invariant: at most one for each key.
#[derive(Debug)]
pub(super) struct WaitingList<W> {
    claims: Vec<WaitingClaim<W>>,
}

impl<W> WaitingList<W> {
    pub(super) fn new() -> Self {
        Self { claims: Vec::new() }
    }

    pub(super) fn join(&mut self, claim: &Claim, waiter: W) -> JoinResult<W> {
        let mut claims = self.claims.iter_mut();
        let present = claims.find(|present| present.claim.key_hash == claim.key_hash);
        match present {
            None => JoinResult::None(waiter),
            Some(present) if Attempt::from_claim(&present.claim).matches_claim(claim) => {
                present.waiters.push(waiter);
                JoinResult::Same
            }
            Some(_) => JoinResult::KeyTaken(waiter),
        }
    }

    pub(super) fn push(&mut self, claim: Claim, waiter: W, now: Timestamp) {
        self.claims.push(WaitingClaim {
            claim,
            waiters: vec![waiter],
            since: now,
            is_maybe_written: false,
        });
    }

    pub(super) fn take_batch(&mut self) -> Self {
        let claims = drain_front(&mut self.claims, MAX_BATCH_CLAIMS);
        Self { claims }
    }

    /// Returns a batch that was not confirmed to the front of the list.
    pub(super) fn return_batch(&mut self, mut batch: Self) {
        batch.claims.append(&mut self.claims);
        self.claims = batch.claims;
    }

    pub(super) fn set_maybe_written(&mut self, is_maybe_written: bool) {
        for wait in &mut self.claims {
            wait.is_maybe_written = is_maybe_written;
        }
    }

    /// Removes and returns the claim that a record ends.
    pub(super) fn take_claim_of(&mut self, record: &OutcomeRecord) -> Option<WaitingClaim<W>> {
        let at = self.claims.iter().position(|wait| wait.is_for(record))?;
        Some(self.claims.remove(at))
    }

    /// Removes and returns the claims that have waited for [`CLAIM_TIMEOUT`] or longer.
    pub(super) fn take_timed_out(&mut self, now: Timestamp) -> Vec<WaitingClaim<W>> {
        let is_timed_out = |wait: &mut WaitingClaim<W>| now.since(wait.since) >= CLAIM_TIMEOUT;
        self.claims.extract_if(.., is_timed_out).collect()
    }

    pub(super) fn take_all(&mut self) -> Vec<WaitingClaim<W>> {
        std::mem::take(&mut self.claims)
    }

    pub(super) fn push_back(&mut self, wait: WaitingClaim<W>) {
        self.claims.push(wait);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitingClaim<W>> {
        self.claims.iter()
    }

    pub(super) fn len(&self) -> usize {
        self.claims.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}

pub(super) fn drain_front<T>(items: &mut Vec<T>, most: usize) -> Vec<T> {
    let rest = items.split_off(items.len().min(most));
    std::mem::replace(items, rest)
}
