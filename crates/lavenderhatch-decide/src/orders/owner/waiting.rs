//! Claims that wait for a verdict.

use lavenderhatch_core::Timestamp;

use super::super::range_log::Attempt;
use crate::message::{Claim, OutcomeRecord};

/// A claim that waits for a verdict.
#[derive(Clone, Debug)]
pub(super) struct Waiting<W> {
    pub(super) claim: Claim,
    /// Those who asked. More than one if the message arrived more than once.
    pub(super) waiters: Vec<W>,
    pub(super) since: Timestamp,
    /// Whether a write that holds the claim may have taken effect, or may still do so.
    pub(super) is_maybe_written: bool,
}

impl<W> Waiting<W> {
    pub(super) fn is_same_attempt(&self, claim: &Claim) -> bool {
        self.claim.key_hash == claim.key_hash && Attempt::of_claim(&self.claim).is_of(claim)
    }

    pub(super) fn is_for(&self, record: &OutcomeRecord) -> bool {
        self.claim.key_hash == record.key_hash && Attempt::of_outcome(record).is_of(&self.claim)
    }
}
