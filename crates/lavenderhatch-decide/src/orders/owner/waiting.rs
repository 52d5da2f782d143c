//! Claims that are waiting for a verdict.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::super::range_log::Attempt;
use crate::message::{Claim, OutcomeRecord};

/// Time after which a claim without a verdict is refused.
const CLAIM_WAIT: Duration = Duration::from_secs(10);
/// Maximum number of claims in one commit. Keeps the head below the platform's limit for the size
/// of a value.
const MAX_BATCH: usize = 1000;

/// A claim that is waiting for a verdict.
#[derive(Clone, Debug)]
pub(super) struct Waiting<W> {
    pub(super) claim: Claim,
    /// Waiters for the verdict. More than one if the claim message arrived more than once.
    pub(super) waiters: Vec<W>,
    since: Timestamp,
    /// Whether an unconfirmed write that holds the claim may have taken effect or may still do so.
    pub(super) is_maybe_written: bool,
}

impl<W> Waiting<W> {
    pub(super) fn is_for(&self, record: &OutcomeRecord) -> bool {
        self.claim.key_hash == record.key_hash && Attempt::of_outcome(record).is_of(&self.claim)
    }
}

/// Result of adding a waiter to a claim in a [`WaitingList`].
pub(super) enum Joined<W> {
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
    claims: Vec<Waiting<W>>,
}

impl<W> WaitingList<W> {
    pub(super) fn new() -> Self {
        Self { claims: Vec::new() }
    }

    pub(super) fn join(&mut self, claim: &Claim, waiter: W) -> Joined<W> {
        let mut claims = self.claims.iter_mut();
        let present = claims.find(|present| present.claim.key_hash == claim.key_hash);
        match present {
            None => Joined::None(waiter),
            Some(present) if Attempt::of_claim(&present.claim).is_of(claim) => {
                present.waiters.push(waiter);
                Joined::Same
            }
            Some(_) => Joined::KeyTaken(waiter),
        }
    }

    pub(super) fn push(&mut self, claim: Claim, waiter: W, now: Timestamp) {
        self.claims.push(Waiting {
            claim,
            waiters: vec![waiter],
            since: now,
            is_maybe_written: false,
        });
    }

    pub(super) fn take_batch(&mut self) -> Self {
        let claims = drain_front(&mut self.claims, MAX_BATCH);
        Self { claims }
    }

    /// Returns a batch that was not confirmed to the front of the list.
    pub(super) fn put_back(&mut self, mut batch: Self) {
        batch.claims.append(&mut self.claims);
        self.claims = batch.claims;
    }

    pub(super) fn set_maybe_written(&mut self, is_maybe_written: bool) {
        for wait in &mut self.claims {
            wait.is_maybe_written = is_maybe_written;
        }
    }

    /// Removes and returns the claim that a record ends.
    pub(super) fn take_ended(&mut self, record: &OutcomeRecord) -> Option<Waiting<W>> {
        let at = self.claims.iter().position(|wait| wait.is_for(record))?;
        Some(self.claims.remove(at))
    }

    /// Removes and returns the claims that have waited for [`CLAIM_WAIT`] or longer.
    pub(super) fn take_late(&mut self, now: Timestamp) -> Vec<Waiting<W>> {
        let is_late = |wait: &mut Waiting<W>| now.since(wait.since) >= CLAIM_WAIT;
        self.claims.extract_if(.., is_late).collect()
    }

    pub(super) fn take_all(&mut self) -> Vec<Waiting<W>> {
        std::mem::take(&mut self.claims)
    }

    pub(super) fn keep(&mut self, wait: Waiting<W>) {
        self.claims.push(wait);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting<W>> {
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
