//! What the log of a range says about each key.

use std::collections::HashMap;
use std::time::Duration;

use lavenderhatch_core::{Digest, Timestamp};

use super::range_log::{Attempt, LogRecord};
use crate::message::RecordedOutcome;

/// What is known of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimState {
    /// Digest of the request.
    pub request: Digest,
    /// Who may run it, or has run it.
    pub by: Attempt,
    /// When it was claimed.
    pub at: Timestamp,
    /// The outcome, once it is known.
    pub outcome: Option<RecordedOutcome>,
}

/// Claimed keys of a range.
///
/// Applying a log again from any of its records on gives the same table, because a later claim of a
/// key replaces an earlier one and outcomes count only for the attempt that they name. A merge
/// therefore applies the head that was read to the table as it is.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    claims: HashMap<Digest, ClaimState>,
}

impl ClaimTable {
    /// Applies records in their order.
    pub fn apply<'r>(&mut self, records: impl IntoIterator<Item = &'r LogRecord>) {
        records
            .into_iter()
            .for_each(|record| self.apply_one(record));
    }

    fn apply_one(&mut self, record: &LogRecord) {
        match record {
            LogRecord::Claim {
                key,
                request,
                by,
                at,
            } => self.claim(*key, *request, by, *at),
            LogRecord::Ran {
                key,
                by,
                status,
                body,
            } => {
                if let Some(claim) = self.of_attempt(key, by) {
                    claim.outcome = Some(RecordedOutcome {
                        status: *status,
                        body_digest: *body,
                    });
                }
            }
            LogRecord::Released { key, by } => {
                if self
                    .of_attempt(key, by)
                    .is_some_and(|claim| claim.outcome.is_none())
                {
                    self.claims.remove(key);
                }
            }
        }
    }

    fn claim(&mut self, key: Digest, request: Digest, by: &Attempt, at: Timestamp) {
        if self.of_attempt(&key, by).is_some() {
            return;
        }
        let state = ClaimState {
            request,
            by: by.clone(),
            at,
            outcome: None,
        };
        self.claims.insert(key, state);
    }

    fn of_attempt(&mut self, key: &Digest, by: &Attempt) -> Option<&mut ClaimState> {
        self.claims.get_mut(key).filter(|claim| claim.by == *by)
    }

    /// The claim of a key, unless it is older than `retention`.
    pub fn get(&self, key: &Digest, now: Timestamp, retention: Duration) -> Option<&ClaimState> {
        let claim = self.claims.get(key)?;
        (now.since(claim.at) < retention).then_some(claim)
    }

    /// Whether a key is claimed by this attempt and has no outcome.
    pub(super) fn is_open(&self, key: &Digest, by: &Attempt) -> bool {
        let claim = self.claims.get(key);
        claim.is_some_and(|claim| claim.by == *by && claim.outcome.is_none())
    }

    /// Whether a record ends a claim that is open.
    pub(super) fn is_ended_by(&self, record: &LogRecord) -> bool {
        match record {
            LogRecord::Ran { key, by, .. } | LogRecord::Released { key, by } => {
                self.is_open(key, by)
            }
            LogRecord::Claim { .. } => false,
        }
    }

    /// Whether this attempt has claimed a key and its outcome is known.
    pub(super) fn has_outcome(&self, key: &Digest, by: &Attempt) -> bool {
        let claim = self.claims.get(key);
        claim.is_some_and(|claim| claim.by == *by && claim.outcome.is_some())
    }

    /// Forgets claims older than `retention`.
    pub fn forget(&mut self, now: Timestamp, retention: Duration) {
        self.claims
            .retain(|_, claim| now.since(claim.at) < retention);
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
