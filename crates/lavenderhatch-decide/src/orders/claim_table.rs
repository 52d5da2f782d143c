//! The claimed keys of a range, built from its log.

use std::collections::HashMap;
use std::time::Duration;

use lavenderhatch_core::{Digest, Timestamp};

use super::range_log::{Attempt, LogRecord};
use crate::message::RecordedOutcome;

/// State of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimState {
    /// Digest of the request.
    pub request: Digest,
    /// The attempt that may run the order or has run it.
    pub by: Attempt,
    /// When the key was claimed.
    pub at: Timestamp,
    /// Outcome of the order, once it is in the log.
    pub outcome: Option<RecordedOutcome>,
}

/// Claimed keys of a range.
///
/// Replaying a log from any of its records on gives the same table, because a later claim of a key
/// replaces an earlier one and an outcome only affects the attempt that it names. A newly read head
/// can therefore be applied to an existing table.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    claims: HashMap<Digest, ClaimState>,
}

impl ClaimTable {
    /// Applies log records, oldest first.
    pub fn apply<'r>(&mut self, records: impl IntoIterator<Item = &'r LogRecord>) {
        records
            .into_iter()
            .for_each(|record| self.apply_record(record));
    }

    fn apply_record(&mut self, record: &LogRecord) {
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
                if let Some(claim) = self.claim_of_attempt(key, by) {
                    claim.outcome = Some(RecordedOutcome {
                        status: *status,
                        body_digest: *body,
                    });
                }
            }
            LogRecord::Released { key, by } => {
                if self
                    .claim_of_attempt(key, by)
                    .is_some_and(|claim| claim.outcome.is_none())
                {
                    self.claims.remove(key);
                }
            }
        }
    }

    fn claim(&mut self, key: Digest, request: Digest, by: &Attempt, at: Timestamp) {
        if self.claim_of_attempt(&key, by).is_some() {
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

    fn claim_of_attempt(&mut self, key: &Digest, by: &Attempt) -> Option<&mut ClaimState> {
        self.claims.get_mut(key).filter(|claim| claim.by == *by)
    }

    /// The claim of a key, unless its age has reached `retention`.
    pub fn get(&self, key: &Digest, now: Timestamp, retention: Duration) -> Option<&ClaimState> {
        let claim = self.claims.get(key)?;
        (now.since(claim.at) < retention).then_some(claim)
    }

    /// Whether this attempt holds the claim of a key and its outcome is not known yet.
    pub(super) fn is_open(&self, key: &Digest, by: &Attempt) -> bool {
        let claim = self.claims.get(key);
        claim.is_some_and(|claim| claim.by == *by && claim.outcome.is_none())
    }

    /// Whether a record ends an open claim.
    pub(super) fn is_open_claim_ended_by(&self, record: &LogRecord) -> bool {
        match record {
            LogRecord::Ran { key, by, .. } | LogRecord::Released { key, by } => {
                self.is_open(key, by)
            }
            LogRecord::Claim { .. } => false,
        }
    }

    /// Whether this attempt holds the claim of a key and its outcome is known.
    pub(super) fn has_outcome(&self, key: &Digest, by: &Attempt) -> bool {
        let claim = self.claims.get(key);
        claim.is_some_and(|claim| claim.by == *by && claim.outcome.is_some())
    }

    /// Removes claims whose age has reached `retention`.
    pub fn remove_expired(&mut self, now: Timestamp, retention: Duration) {
        self.claims
            .retain(|_, claim| now.since(claim.at) < retention);
    }

    /// Number of claimed keys.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
