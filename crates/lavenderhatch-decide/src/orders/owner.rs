//! Group commit for one claim range, as a state machine.
//!
//! The owner of a range asks for one platform request at a time ([`RangeOwner::next_step`]), is
//! given its result, and returns verdicts on claims. It grants a claim only after the claim is known
//! to be in the log, either because its own write was confirmed or because it read the log back.
//! Safety does not depend on which daemon runs this code: a write against an outdated version of
//! the head has no effect.

mod exchange;
mod outcomes;
mod pace;
mod step;
mod verdicts;
mod waiting;

use lavenderhatch_core::{Incarnation, NodeId, Timestamp};

use exchange::{Batch, Exchange};
use outcomes::Outcomes;
pub use pace::COMMIT_INTERVAL;
use pace::Pace;
pub use step::{Commit, CommitResult, OwnerCounts, OwnerView, RangeStep};
use verdicts::Verdicts;
use waiting::{Joined, WaitingList};

use super::claim_table::ClaimTable;
use super::range_log::{Attempt, BatchId, Head, LogRecord, RangeSnapshot, SEAL_RECORDS};
use crate::message::{Claim, ClaimVerdict, OutcomeRecord};

/// One claim range on the daemon that commits its claims.
///
/// `W` identifies a waiter, to which the verdict on its claim is sent.
#[derive(Debug)]
pub struct RangeOwner<W> {
    node: NodeId,
    incarnation: Incarnation,
    next_batch: u64,
    seal_after: usize,
    version: Option<u64>,
    head: Head,
    table: ClaimTable,
    /// Whether `head` and `table` match `version` and no later version is known to exist.
    is_current: bool,
    /// Whether the log has to be read even if no claim is waiting.
    is_load_due: bool,
    loaded_at: Timestamp,
    exchange: Exchange<W>,
    waiting: WaitingList<W>,
    /// Outcomes that are not in the log yet. Invariant: applied to `table` while it is current.
    outcomes: Outcomes,
    /// Expected version of a write whose answer was lost. The write may still take effect as long
    /// as the head has this version.
    uncertain: Option<Option<u64>>,
    pace: Pace,
    verdicts: Verdicts<W>,
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
            seal_after: SEAL_RECORDS,
            version: None,
            head: Head::default(),
            table: ClaimTable::default(),
            is_current: false,
            is_load_due: true,
            loaded_at: Timestamp::default(),
            exchange: Exchange::None,
            waiting: WaitingList::new(),
            outcomes: Outcomes::default(),
            uncertain: None,
            pace: Pace::default(),
            verdicts: Verdicts::new(),
        }
    }

    /// Sets the number of records at which the head is sealed.
    pub fn seal_after(mut self, records: usize) -> Self {
        self.seal_after = records;
        self
    }

    /// Handles a claim. The verdict is returned by [`RangeOwner::take_verdicts`], possibly after a
    /// commit.
    pub fn claim(&mut self, claim: Claim, waiter: W, cx: &OwnerView<'_>) {
        let joined = match &mut self.exchange {
            Exchange::Committing(batch) => batch.claims.join(&claim, waiter),
            _ => Joined::None(waiter),
        };
        let joined = match joined {
            Joined::None(waiter) => self.waiting.join(&claim, waiter),
            joined => joined,
        };
        match joined {
            Joined::Same => {}
            Joined::KeyTaken(waiter) => self.verdicts.give_one(waiter, ClaimVerdict::InFlight),
            Joined::None(waiter) => match self.verdict_on(&claim, cx) {
                Some(verdict) if self.is_current => self.verdicts.give_one(waiter, verdict),
                _ => self.waiting.push(claim, waiter, cx.now),
            },
        }
    }

    /// Handles the outcome of a granted claim.
    pub fn record_outcome(&mut self, record: &OutcomeRecord, cx: &OwnerView<'_>) {
        let by = Attempt::of_outcome(record);
        if self.table.has_outcome(&record.key_hash, &by) {
            return;
        }
        if let Some(given_up) = self.waiting.take_ended(record) {
            self.verdicts.refuse(given_up, false);
        }
        if self.table.is_open(&record.key_hash, &by) || self.may_appear(record) {
            let record = LogRecord::of_outcome(record);
            self.table.apply([&record]);
            self.outcomes.push(record, cx.now);
        }
    }

    /// Whether the claim that a record ends may be in the log although the table does not have it.
    fn may_appear(&self, record: &OutcomeRecord) -> bool {
        self.exchange.holds(record) || !self.is_current || self.uncertain.is_some()
    }

    /// The next platform request, if one is due and none is in flight.
    pub fn next_step(&mut self, cx: &OwnerView<'_>) -> Option<RangeStep> {
        if !self.exchange.is_none() {
            return None;
        }
        self.expire(cx);
        let is_due = self.wake_at().is_some_and(|at| cx.now >= at);
        is_due.then(|| match self.is_current {
            true => self.commit(cx),
            false => self.load(cx.now),
        })
    }

    /// When the next platform request is due, unless a message arrives earlier. `None` while a
    /// request is in flight or if there is nothing to do.
    pub fn wake_at(&self) -> Option<Timestamp> {
        if !self.exchange.is_none() {
            return None;
        }
        let has_claims = !self.waiting.is_empty();
        if !self.is_current {
            let is_wanted = self.is_load_due || !self.outcomes.is_empty();
            let for_claims = has_claims.then(|| self.pace.load_slot());
            let for_rest = is_wanted.then_some(self.pace.retry_at);
            return for_claims.into_iter().chain(for_rest).min();
        }
        let slot = self.pace.commit_slot();
        let due = self.outcomes.due_at();
        let for_outcomes = due.map(|due| due.max(self.pace.retry_at).max(slot));
        let for_claims = has_claims.then_some(slot);
        for_claims.into_iter().chain(for_outcomes).min()
    }

    fn load(&mut self, now: Timestamp) -> RangeStep {
        self.pace.load_sent(now);
        self.exchange = Exchange::Loading;
        let held = self.head.segments.iter();
        RangeStep::Load {
            held: held.map(|segment| segment.name.clone()).collect(),
        }
    }

    fn commit(&mut self, cx: &OwnerView<'_>) -> RangeStep {
        self.pace.commit_sent(cx.now);
        let id = self.new_batch();
        let mut head = self.head.clone();
        let oldest = cx.now.since(Timestamp::default() + cx.retention);
        let dropped = head.drop_segments(Timestamp::default() + oldest);
        if !dropped.is_empty() {
            self.table.forget(cx.now, cx.retention);
        }
        let sealed = head.seal(&id, cx.now, self.seal_after);
        head.push_batch(id);
        let records = self.outcomes.take_batch();
        let claims = self.waiting.take_batch();
        let claimed = |claim| LogRecord::of_claim(claim, cx.now);
        head.records.extend(records.iter().cloned());
        head.records
            .extend(claims.iter().map(|wait| claimed(&wait.claim)));
        let commit = Commit {
            sealed,
            head: head.clone(),
            expected: self.version,
            dropped,
        };
        self.exchange = Exchange::Committing(Box::new(Batch {
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
        let Some(mut batch) = self.exchange.take_batch() else {
            return;
        };
        match result {
            CommitResult::Written(version) => self.written(batch, version, cx),
            CommitResult::RateLimited => self.put_back(batch),
            CommitResult::Conflict => {
                self.verdicts.counts.conflicts += 1;
                self.is_current = false;
                self.put_back(batch);
            }
            CommitResult::AnswerLost => {
                self.is_current = false;
                self.uncertain = Some(batch.expected);
                batch.claims.set_maybe_written(true);
                self.put_back(batch);
            }
            CommitResult::Unavailable => {
                self.pace.failed(cx.now);
                let is_log_known = self.is_log_known(cx);
                for wait in batch.claims.take_all() {
                    self.verdicts.refuse(wait, is_log_known);
                }
                self.put_back(batch);
            }
        }
        if self.is_current {
            self.settle(cx);
        }
    }

    fn written(&mut self, mut batch: Batch<W>, version: u64, cx: &OwnerView<'_>) {
        self.version = Some(version);
        self.head = batch.head;
        self.forget_uncertain();
        self.table.apply(&batch.records);
        for wait in batch.claims.take_all() {
            self.table
                .apply([&LogRecord::of_claim(&wait.claim, cx.now)]);
            self.verdicts.give(wait, &ClaimVerdict::Granted);
        }
        self.table.apply(self.outcomes.iter());
    }

    /// Marks earlier writes as settled: the head has a new version, so none of them can take effect
    /// any more.
    fn forget_uncertain(&mut self) {
        self.uncertain = None;
        self.waiting.set_maybe_written(false);
    }

    fn put_back(&mut self, batch: Batch<W>) {
        self.waiting.put_back(batch.claims);
        self.outcomes.put_back(batch.records);
    }

    /// Handles the result of reading the log, which is `None` if it could not be read.
    pub fn handle_load_result(&mut self, image: Option<RangeSnapshot>, cx: &OwnerView<'_>) {
        if !matches!(self.exchange, Exchange::Loading) {
            return;
        }
        self.exchange = Exchange::None;
        match image {
            Some(image) => {
                self.merge(image);
                self.loaded_at = cx.now;
                self.settle(cx);
            }
            None => {
                self.pace.failed(cx.now);
                for wait in self.waiting.take_all() {
                    self.verdicts.refuse(wait, false);
                }
            }
        }
    }

    /// Merges the log as written by all owners, which also shows whether a write of this owner with
    /// a lost answer took effect.
    fn merge(&mut self, image: RangeSnapshot) {
        if self.uncertain.is_some_and(|at| at != image.version) {
            self.forget_uncertain();
        }
        for segment in &image.segments {
            self.table.apply(&segment.records);
        }
        self.table.apply(&image.head.records);
        if self.uncertain.is_none() {
            // The log has the outcomes that are dropped here, or it lacks the claims that they end.
            let table = &self.table;
            self.outcomes.retain(|record| table.is_ended_by(record));
        }
        self.table.apply(self.outcomes.iter());
        self.version = image.version;
        self.head = image.head;
        self.is_current = true;
        self.is_load_due = false;
    }

    /// Answers the waiting claims whose keys are in the table.
    fn settle(&mut self, cx: &OwnerView<'_>) {
        for wait in self.waiting.take_all() {
            match self.verdict_on(&wait.claim, cx) {
                Some(verdict) => self.verdicts.give(wait, &verdict),
                None => self.waiting.keep(wait),
            }
        }
    }

    fn verdict_on(&self, claim: &Claim, cx: &OwnerView<'_>) -> Option<ClaimVerdict> {
        let present = self.table.get(&claim.key_hash, cx.now, cx.retention)?;
        if present.request != claim.request_digest {
            return Some(ClaimVerdict::Conflict);
        }
        if let Some(outcome) = present.outcome {
            return Some(ClaimVerdict::Recorded(outcome));
        }
        if present.by.is_of(claim) {
            return Some(ClaimVerdict::Granted);
        }
        Some(
            match cx.is_running(&present.by.node, present.by.incarnation) {
                true => ClaimVerdict::InFlight,
                false => ClaimVerdict::Unknown,
            },
        )
    }

    fn expire(&mut self, cx: &OwnerView<'_>) {
        let is_log_known = self.is_log_known(cx);
        for wait in self.waiting.take_late(cx.now) {
            self.verdicts.refuse(wait, is_log_known);
        }
    }

    /// Whether the table can be relied on to hold all earlier claims.
    ///
    /// This requires that the log was read since this daemon became the owner: a daemon that is not
    /// the owner may have missed claims that the owner has written since.
    fn is_log_known(&self, cx: &OwnerView<'_>) -> bool {
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
        let is_quiet = self.exchange.is_none() && self.verdicts.is_empty();
        is_quiet && self.waiting.is_empty() && self.outcomes.is_empty()
    }

    /// Number of claims that are waiting for a verdict.
    pub fn pending_claims(&self) -> usize {
        self.exchange.claims().map_or(0, WaitingList::len) + self.waiting.len()
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
