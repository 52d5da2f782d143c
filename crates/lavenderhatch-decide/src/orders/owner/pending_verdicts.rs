//! Verdicts that have not been sent to their waiters yet.

use super::step::OwnerCounts;
use super::waiting::WaitingClaim;
use crate::message::ClaimVerdict;

/// Verdicts that have not been taken yet, and counters of all verdicts.
#[derive(Debug)]
pub(super) struct PendingVerdicts<W> {
    given: Vec<(W, ClaimVerdict)>,
    pub(super) counts: OwnerCounts,
}

impl<W> PendingVerdicts<W> {
    pub(super) fn new() -> Self {
        Self {
            given: Vec::new(),
            counts: OwnerCounts::default(),
        }
    }

    pub(super) fn give(&mut self, wait: WaitingClaim<W>, verdict: &ClaimVerdict) {
        for waiter in wait.waiters {
            self.give_one(waiter, verdict.clone());
        }
    }

    pub(super) fn give_one(&mut self, waiter: W, verdict: ClaimVerdict) {
        match verdict {
            ClaimVerdict::Granted => self.counts.granted += 1,
            _ => self.counts.refused += 1,
        }
        self.given.push((waiter, verdict));
    }

    /// Refuses a claim that could not be written.
    ///
    /// The verdict is `Unavailable`, which means "not run", only if no write that holds the claim
    /// can take effect any more and the log is known to hold no earlier claim of the key. Otherwise
    /// it is `Unknown`.
    pub(super) fn refuse(&mut self, wait: WaitingClaim<W>, is_table_complete: bool) {
        let verdict = match is_table_complete && !wait.is_maybe_written {
            true => ClaimVerdict::Unavailable,
            false => ClaimVerdict::Unknown,
        };
        self.give(wait, &verdict);
    }

    pub(super) fn take(&mut self) -> Vec<(W, ClaimVerdict)> {
        std::mem::take(&mut self.given)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.given.is_empty()
    }
}
