//! Group commit for one claim range, as a state machine.
//!
//! The owner of a range asks for one platform request at a time ([`RangeOwner::next_step`]), is
//! given its result, and returns verdicts on claims. It grants a claim only after the claim is
//! known to be in the log, either because its own write was confirmed or because it read the log
//! back. Safety does not depend on which daemon runs this code: a write against an outdated version
//! of the head has no effect.

mod in_flight;
mod pending_outcomes;
mod pending_verdicts;
mod request_pacer;
mod step;
mod waiting;

use lavenderhatch_core::{Incarnation, NodeId, Timestamp};

use in_flight::{Batch, InFlight};
use pending_outcomes::PendingOutcomes;
use pending_verdicts::PendingVerdicts;
pub use request_pacer::COMMIT_INTERVAL;
use request_pacer::RequestPacer;
pub use step::{Commit, CommitResult, OwnerCounts, OwnerView, RangeStep};
use waiting::{JoinResult, WaitingList};

use super::claim_table::ClaimTable;
use super::range_log::{Attempt, BatchId, Head, LogRecord, RangeSnapshot, SEAL_THRESHOLD};
use crate::message::{Claim, ClaimVerdict, OutcomeRecord};

/// One claim range on the daemon that commits its claims.
///
/// `W` identifies a waiter, to which the verdict on its claim is sent.
#[derive(Debug)]
pub struct RangeOwner<W> {
    node: NodeId,
    incarnation: Incarnation,
    next_batch: u64,
    seal_threshold: usize,
    version: Option<u64>,
    head: Head,
    table: ClaimTable,
    /// Whether `head` and `table` match `version` and no later version is known to exist.
    is_current: bool,
    /// Whether the log has to be read even if no claim is waiting.
    is_load_due: bool,
    loaded_at: Timestamp,
    in_flight: InFlight<W>,
    waiting: WaitingList<W>,
    /// Outcomes that are not in the log yet. Invariant: applied to `table` while it is current.
    outcomes: PendingOutcomes,
    /// Expected version of a write whose answer was lost. The write may still take effect as long
    /// as the head has this version.
    uncertain_write: Option<Option<u64>>,
    pacer: RequestPacer,
    verdicts: PendingVerdicts<W>,
}

impl<W> RangeOwner<W> {
    /// Creates the state of a range whose log has not been read yet. The first step is to read it.
    ///
    /// `first_batch` must be greater than the number of any earlier batch of this incarnation.
    pub fn new(node: NodeId, incarnation: Incarnation, first_batch: u64) -> Self {
        Self {
            node,
            incarnation,
            next_batch: first_batch,
            seal_threshold: SEAL_THRESHOLD,
            version: None,
            head: Head::default(),
            table: ClaimTable::default(),
            is_current: false,
            is_load_due: true,
            loaded_at: Timestamp::default(),
            in_flight: InFlight::None,
            waiting: WaitingList::new(),
            outcomes: PendingOutcomes::default(),
            uncertain_write: None,
            pacer: RequestPacer::default(),
            verdicts: PendingVerdicts::new(),
        }
    }

    /// Sets the number of records at which the head is sealed.
    pub fn with_seal_threshold(mut self, records: usize) -> Self {
        self.seal_threshold = records;
        self
    }

    /// Handles a claim. The verdict is returned by [`RangeOwner::take_verdicts`], possibly after a
    /// commit.
    pub fn claim(&mut self, claim: Claim, waiter: W, cx: &OwnerView<'_>) {
        let joined = match &mut self.in_flight {
            InFlight::Committing(batch) => batch.claims.join(&claim, waiter),
            _ => JoinResult::None(waiter),
        };
        let joined = match joined {
            JoinResult::None(waiter) => self.waiting.join(&claim, waiter),
            joined => joined,
        };
        match joined {
            JoinResult::Same => {}
            JoinResult::KeyTaken(waiter) => self.verdicts.give_one(waiter, ClaimVerdict::InFlight),
            JoinResult::None(waiter) => match self.verdict_for(&claim, cx) {
                Some(verdict) if self.is_current => self.verdicts.give_one(waiter, verdict),
                _ => self.waiting.push(claim, waiter, cx.now),
            },
        }
    }

    /// Handles the outcome of a granted claim.
    pub fn record_outcome(&mut self, record: &OutcomeRecord, cx: &OwnerView<'_>) {
        let by = Attempt::from_outcome(record);
        if self.table.has_outcome(&record.key_hash, &by) {
            return;
        }
        if let Some(abandoned) = self.waiting.take_claim_of(record) {
            self.verdicts.refuse(abandoned, false);
        }
        if self.table.is_open(&record.key_hash, &by) || self.may_be_in_log(record) {
            let record = LogRecord::from_outcome(record);
            self.table.apply([&record]);
            self.outcomes.push(record, cx.now);
        }
    }

    /// Whether the claim that a record ends may be in the log although the table does not have it.
    fn may_be_in_log(&self, record: &OutcomeRecord) -> bool {
        self.in_flight.holds(record) || !self.is_current || self.uncertain_write.is_some()
    }

    /// The next platform request, if one is due and none is in flight.
    pub fn next_step(&mut self, cx: &OwnerView<'_>) -> Option<RangeStep> {
        if !self.in_flight.is_none() {
            return None;
        }
        self.refuse_timed_out(cx);
        let is_due = self.wake_at().is_some_and(|at| cx.now >= at);
        is_due.then(|| match self.is_current {
            true => self.commit(cx),
            false => self.load(cx.now),
        })
    }

    /// When the next platform request is due, unless a message arrives earlier. `None` while a
    /// request is in flight or if there is nothing to do.
    pub fn wake_at(&self) -> Option<Timestamp> {
        if !self.in_flight.is_none() {
            return None;
        }
        let has_claims = !self.waiting.is_empty();
        if !self.is_current {
            let is_wanted = self.is_load_due || !self.outcomes.is_empty();
            let for_claims = has_claims.then(|| self.pacer.earliest_load());
            let for_rest = is_wanted.then_some(self.pacer.earliest_retry);
            return for_claims.into_iter().chain(for_rest).min();
        }
        let slot = self.pacer.earliest_commit();
        let due = self.outcomes.due_at();
        let for_outcomes = due.map(|due| due.max(self.pacer.earliest_retry).max(slot));
        let for_claims = has_claims.then_some(slot);
        for_claims.into_iter().chain(for_outcomes).min()
    }

    fn load(&mut self, now: Timestamp) -> RangeStep {
        self.pacer.record_load(now);
        self.in_flight = InFlight::Loading;
        let held = self.head.segments.iter();
        RangeStep::Load {
            held: held.map(|segment| segment.name.clone()).collect(),
        }
    }

    fn commit(&mut self, cx: &OwnerView<'_>) -> RangeStep {
        self.pacer.record_commit(cx.now);
        let id = self.new_batch();
        let mut head = self.head.clone();
        let oldest = cx.now.since(Timestamp::default() + cx.retention);
        let dropped = head.remove_segments_before(Timestamp::default() + oldest);
        if !dropped.is_empty() {
            self.table.remove_expired(cx.now, cx.retention);
        }
        let sealed = head.seal(&id, cx.now, self.seal_threshold);
        head.push_batch(id);
        let records = self.outcomes.take_batch();
        let claims = self.waiting.take_batch();
        let claimed = |claim| LogRecord::from_claim(claim, cx.now);
        head.records.extend(records.iter().cloned());
        head.records
            .extend(claims.iter().map(|wait| claimed(&wait.claim)));
        let commit = Commit {
            sealed,
            head: head.clone(),
            expected: self.version,
            dropped,
        };
        self.in_flight = InFlight::Committing(Box::new(Batch {
            head,
            expected: self.version,
            claims,
            records,
        }));
        RangeStep::Commit(Box::new(commit))
    }

    fn new_batch(&mut self) -> BatchId {
        let number = self.next_batch;
        self.next_batch += 1;
        BatchId {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number,
        }
    }

    /// Handles the result of a commit.
    pub fn handle_commit_result(&mut self, result: CommitResult, cx: &OwnerView<'_>) {
        let Some(mut batch) = self.in_flight.take_batch() else {
            return;
        };
        match result {
            CommitResult::Written(version) => self.finish_commit(batch, version, cx),
            CommitResult::RateLimited => self.return_batch(batch),
            CommitResult::Conflict => {
                self.verdicts.counts.conflicts += 1;
                self.is_current = false;
                self.return_batch(batch);
            }
            CommitResult::AnswerLost => {
                self.is_current = false;
                self.uncertain_write = Some(batch.expected);
                batch.claims.set_maybe_written(true);
                self.return_batch(batch);
            }
            CommitResult::Unavailable => {
                self.pacer.record_failure(cx.now);
                let is_table_complete = self.is_table_complete(cx);
                for wait in batch.claims.take_all() {
                    self.verdicts.refuse(wait, is_table_complete);
                }
                self.return_batch(batch);
            }
        }
        if self.is_current {
            self.resolve_waiting(cx);
        }
    }

    fn finish_commit(&mut self, mut batch: Batch<W>, version: u64, cx: &OwnerView<'_>) {
        self.version = Some(version);
        self.head = batch.head;
        self.clear_uncertain_write();
        self.table.apply(&batch.records);
        for wait in batch.claims.take_all() {
            self.table
                .apply([&LogRecord::from_claim(&wait.claim, cx.now)]);
            self.verdicts.give(wait, &ClaimVerdict::Granted);
        }
        self.table.apply(self.outcomes.iter());
    }

    /// Records that no earlier write can take effect any more, because the head has a new version.
    fn clear_uncertain_write(&mut self) {
        self.uncertain_write = None;
        self.waiting.set_maybe_written(false);
    }

    fn return_batch(&mut self, batch: Batch<W>) {
        self.waiting.return_batch(batch.claims);
        self.outcomes.return_batch(batch.records);
    }

    /// Handles the result of reading the log, which is `None` if it could not be read.
    pub fn handle_load_result(&mut self, snapshot: Option<RangeSnapshot>, cx: &OwnerView<'_>) {
        if !matches!(self.in_flight, InFlight::Loading) {
            return;
        }
        self.in_flight = InFlight::None;
        match snapshot {
            Some(snapshot) => {
                self.merge_snapshot(snapshot);
                self.loaded_at = cx.now;
                self.resolve_waiting(cx);
            }
            None => {
                self.pacer.record_failure(cx.now);
                for wait in self.waiting.take_all() {
                    self.verdicts.refuse(wait, false);
                }
            }
        }
    }

    /// Merges the log as written by all owners, which also shows whether a write of this owner with
    /// a lost answer took effect.
    fn merge_snapshot(&mut self, snapshot: RangeSnapshot) {
        if self
            .uncertain_write
            .is_some_and(|at| at != snapshot.version)
        {
            self.clear_uncertain_write();
        }
        for segment in &snapshot.segments {
            self.table.apply(&segment.records);
        }
        self.table.apply(&snapshot.head.records);
        if self.uncertain_write.is_none() {
            // Each outcome that is dropped here is in the log, or the claim that it ends is not.
            let table = &self.table;
            self.outcomes
                .retain(|record| table.is_open_claim_ended_by(record));
        }
        self.table.apply(self.outcomes.iter());
        self.version = snapshot.version;
        self.head = snapshot.head;
        self.is_current = true;
        self.is_load_due = false;
    }

    /// Answers the waiting claims whose keys are in the table.
    fn resolve_waiting(&mut self, cx: &OwnerView<'_>) {
        for wait in self.waiting.take_all() {
            match self.verdict_for(&wait.claim, cx) {
                Some(verdict) => self.verdicts.give(wait, &verdict),
                None => self.waiting.push_back(wait),
            }
        }
    }

    fn verdict_for(&self, claim: &Claim, cx: &OwnerView<'_>) -> Option<ClaimVerdict> {
        let present = self.table.get(&claim.key_hash, cx.now, cx.retention)?;
        if present.request != claim.request_digest {
            return Some(ClaimVerdict::Conflict);
        }
        if let Some(outcome) = present.outcome {
            return Some(ClaimVerdict::Recorded(outcome));
        }
        if present.by.matches_claim(claim) {
            return Some(ClaimVerdict::Granted);
        }
        Some(
            match cx.is_running(&present.by.node, present.by.incarnation) {
                true => ClaimVerdict::InFlight,
                false => ClaimVerdict::Unknown,
            },
        )
    }

    fn refuse_timed_out(&mut self, cx: &OwnerView<'_>) {
        let is_table_complete = self.is_table_complete(cx);
        for wait in self.waiting.take_timed_out(cx.now) {
            self.verdicts.refuse(wait, is_table_complete);
        }
    }

    /// Whether the table can be relied on to hold all earlier claims.
    ///
    /// This requires that the log was read since this daemon became the owner: a daemon that is not
    /// the owner may have missed claims that the owner has written since.
    fn is_table_complete(&self, cx: &OwnerView<'_>) -> bool {
        let is_read = |since| self.loaded_at >= since;
        self.is_current && cx.owned_since.is_some_and(is_read)
    }

    /// Whether the log was read and no later version of it is known to exist.
    pub fn is_current(&self) -> bool {
        self.is_current
    }

    /// When the log was read last.
    pub fn loaded_at(&self) -> Timestamp {
        self.loaded_at
    }

    /// Takes the verdicts given since the last call.
    pub fn take_verdicts(&mut self) -> Vec<(W, ClaimVerdict)> {
        self.verdicts.take()
    }

    /// Whether no work is pending, so that the range can be handed over to another owner.
    pub fn is_idle(&self) -> bool {
        let is_quiet = self.in_flight.is_none() && self.verdicts.is_empty();
        is_quiet && self.waiting.is_empty() && self.outcomes.is_empty()
    }

    /// Number of claims that are waiting for a verdict.
    pub fn pending_claims(&self) -> usize {
        self.in_flight.claims().map_or(0, WaitingList::len) + self.waiting.len()
    }

    /// Counters of this owner.
    pub fn counts(&self) -> OwnerCounts {
        self.verdicts.counts
    }

    /// Number of claims held in memory.
    pub fn claim_count(&self) -> usize {
        self.table.len()
    }
}
