//! The range owner under test, optionally with a seeded fault.

use lavenderhatch_core::{Incarnation, NodeId};
use lavenderhatch_decide::message::{Claim, ClaimVerdict, OutcomeRecord};
use lavenderhatch_decide::orders::{
    CommitResult, LogRecord, OwnerView, RangeOwner, RangeSnapshot, RangeStep,
};

/// A fault that the simulation has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SeededFault {
    None,
    /// A claim is granted when its write is sent, not when it is confirmed.
    GrantBeforeWrite,
    /// A write whose answer was lost is treated as one that had no effect.
    NotRunAfterLostAnswer,
}

/// Number of records at which the head is sealed. Low, so that short runs have many segments.
const SEAL_THRESHOLD: usize = 5;

/// A range owner whose behaviour can be changed by a seeded fault.
pub(super) struct OwnerUnderTest<W> {
    inner: RangeOwner<W>,
    fault: SeededFault,
    waiting: Vec<(Claim, W)>,
    early_verdicts: Vec<(W, ClaimVerdict)>,
}

impl<W: Clone> OwnerUnderTest<W> {
    pub(super) fn open(node: NodeId, incarnation: Incarnation, fault: SeededFault) -> Self {
        Self {
            inner: RangeOwner::new(node, incarnation, 0).with_seal_threshold(SEAL_THRESHOLD),
            fault,
            waiting: Vec::new(),
            early_verdicts: Vec::new(),
        }
    }

    pub(super) fn claim(&mut self, claim: Claim, waiter: W, cx: &OwnerView<'_>) {
        if self.fault == SeededFault::GrantBeforeWrite {
            self.waiting.push((claim.clone(), waiter.clone()));
        }
        self.inner.claim(claim, waiter, cx);
    }

    pub(super) fn record_outcome(&mut self, record: &OutcomeRecord, cx: &OwnerView<'_>) {
        self.inner.record_outcome(record, cx);
    }

    pub(super) fn next_step(&mut self, cx: &OwnerView<'_>) -> Option<RangeStep> {
        let step = self.inner.next_step(cx);
        if let Some(RangeStep::Commit(commit)) = &step {
            let written = |claim: &Claim| {
                let mut records = commit.head.records.iter();
                records.any(|record| {
                    matches!(record, LogRecord::Claim { by, .. }
                    if by.node == claim.executor && by.number == claim.attempt)
                })
            };
            for (claim, waiter) in self.waiting.drain(..) {
                if written(&claim) {
                    self.early_verdicts.push((waiter, ClaimVerdict::Granted));
                }
            }
        }
        step
    }

    pub(super) fn handle_commit_result(&mut self, result: CommitResult, cx: &OwnerView<'_>) {
        let result = match (self.fault, result) {
            (SeededFault::NotRunAfterLostAnswer, CommitResult::AnswerLost) => {
                CommitResult::Unavailable
            }
            (_, result) => result,
        };
        self.inner.handle_commit_result(result, cx);
    }

    pub(super) fn handle_load_result(
        &mut self,
        snapshot: Option<RangeSnapshot>,
        cx: &OwnerView<'_>,
    ) {
        self.inner.handle_load_result(snapshot, cx);
    }

    pub(super) fn take_verdicts(&mut self) -> Vec<(W, ClaimVerdict)> {
        let mut verdicts = std::mem::take(&mut self.early_verdicts);
        verdicts.extend(self.inner.take_verdicts());
        verdicts
    }
}
