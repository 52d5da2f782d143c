//! The owner of a claim range: group commit as a state machine.
//!
//! The owner asks for one exchange with the platform at a time ([`RangeOwner::next_step`]), is told
//! how it ended, and gives verdicts. It grants a claim only after it has seen it in the log, either
//! because its own write was confirmed or because it read the log. Whether the node that runs this
//! code is the rightful owner does not matter: a write against an outdated version has no effect.

mod step;
mod waiting;

use std::time::Duration;

use lavenderhatch_core::{Incarnation, NodeId, Timestamp};

pub use step::{Commit, CommitResult, OwnerCounts, OwnerView, RangeStep};
use waiting::Waiting;

use super::claim_table::ClaimTable;
use super::range_log::{Attempt, BatchId, Head, LogRecord, RangeImage, SEAL_RECORDS};
use crate::message::{Claim, ClaimVerdict, OutcomeRecord};

/// Least time between two commits of a range.
pub const COMMIT_INTERVAL: Duration = Duration::from_millis(250);
/// Time that outcomes wait for a commit that holds claims.
const OUTCOME_DELAY: Duration = Duration::from_secs(1);
/// Wait after a failed exchange before the next one that no claim asks for.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest wait of a claim for a verdict.
const CLAIM_WAIT: Duration = Duration::from_secs(10);
/// Most claims in one commit. Keeps the head below the largest value of the platform.
const MAX_BATCH: usize = 1000;
/// Most outcomes in one commit.
const MAX_OUTCOMES: usize = 1000;

/// A commit under way.
#[derive(Debug)]
struct Batch<W> {
    head: Head,
    expected: Option<u64>,
    claims: Vec<Waiting<W>>,
    records: Vec<LogRecord>,
}

#[derive(Debug)]
enum Exchange<W> {
    None,
    Loading,
    Committing(Box<Batch<W>>),
}

/// One claim range on the daemon that commits its claims. `W` stands for whoever waits for a
/// verdict.
#[derive(Debug)]
pub struct RangeOwner<W> {
    node: NodeId,
    incarnation: Incarnation,
    next_batch: u64,
    seal_after: usize,
    version: Option<u64>,
    head: Head,
    table: ClaimTable,
    /// Whether head and table are those of `version`, and no later version is known of.
    is_current: bool,
    /// Whether the log is to be read although no claim waits.
    is_load_due: bool,
    exchange: Exchange<W>,
    waiting: Vec<Waiting<W>>,
    /// Outcomes that are not in the log yet. Invariant: applied to `table` while it is current.
    records: Vec<LogRecord>,
    records_since: Timestamp,
    /// Version against which a write was sent whose answer was lost. Until the head has another
    /// version, that write may still take effect.
    uncertain: Option<Option<u64>>,
    last_commit: Option<Timestamp>,
    last_load: Option<Timestamp>,
    retry_at: Timestamp,
    verdicts: Vec<(W, ClaimVerdict)>,
    counts: OwnerCounts,
}

impl<W> RangeOwner<W> {
    /// A range whose log was not read yet, on this incarnation of `node`. Asks to read it.
    ///
    /// `first_batch` must be greater than the number of each batch of this incarnation before.
    pub fn open(node: NodeId, incarnation: Incarnation, first_batch: u64) -> Self {
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
            exchange: Exchange::None,
            waiting: Vec::new(),
            records: Vec::new(),
            records_since: Timestamp::default(),
            uncertain: None,
            last_commit: None,
            last_load: None,
            retry_at: Timestamp::default(),
            verdicts: Vec::new(),
            counts: OwnerCounts::default(),
        }
    }

    /// Seals the head at this number of records instead of the default.
    pub fn seal_after(mut self, records: usize) -> Self {
        self.seal_after = records;
        self
    }

    /// Takes a claim.
    pub fn claim(&mut self, claim: Claim, waiter: W, cx: &OwnerView<'_>) {
        let mut open: Vec<&mut Waiting<W>> = match &mut self.exchange {
            Exchange::Committing(batch) => batch.claims.iter_mut().collect(),
            _ => Vec::new(),
        };
        open.extend(self.waiting.iter_mut());
        let same_key = open
            .into_iter()
            .find(|present| present.claim.key_hash == claim.key_hash);
        if let Some(present) = same_key {
            match present.is_same_attempt(&claim) {
                true => present.waiters.push(waiter),
                false => self.verdicts.push((waiter, ClaimVerdict::InFlight)),
            }
            return;
        }
        self.waiting.push(Waiting {
            claim,
            waiters: vec![waiter],
            since: cx.now,
            is_maybe_written: false,
        });
        if self.is_current {
            self.settle(cx);
        }
    }

    /// Takes what became of a granted claim.
    pub fn record(&mut self, record: &OutcomeRecord, cx: &OwnerView<'_>) {
        let by = Attempt::of_outcome(record);
        if self.table.has_outcome(&record.key_hash, &by) {
            return;
        }
        let given_up = self.waiting.iter().position(|wait| wait.is_for(record));
        if let Some(at) = given_up {
            let wait = self.waiting.remove(at);
            self.refuse(wait);
        }
        if self.table.is_open(&record.key_hash, &by) || self.may_appear(record) {
            self.keep_record(LogRecord::of_outcome(record), cx.now);
        }
    }

    /// Whether the log may hold a claim of which the table says nothing.
    fn may_appear(&self, record: &OutcomeRecord) -> bool {
        let is_committing = match &self.exchange {
            Exchange::Committing(batch) => batch.claims.iter().any(|wait| wait.is_for(record)),
            _ => false,
        };
        is_committing || !self.is_current || self.uncertain.is_some()
    }

    fn keep_record(&mut self, record: LogRecord, now: Timestamp) {
        if self.records.contains(&record) {
            return;
        }
        if self.records.is_empty() {
            self.records_since = now;
        }
        self.table.apply([&record]);
        self.records.push(record);
    }

    /// The next exchange with the platform, if one is due.
    pub fn next_step(&mut self, cx: &OwnerView<'_>) -> Option<RangeStep> {
        if !matches!(self.exchange, Exchange::None) {
            return None;
        }
        self.expire(cx.now);
        let has_claims = !self.waiting.is_empty();
        if !self.is_current {
            let is_retry_due = cx.now >= self.retry_at;
            let is_wanted = self.is_load_due || !self.records.is_empty();
            let is_slot = is_after_interval(self.last_load, cx.now);
            let is_due = (has_claims && is_slot) || (is_wanted && is_retry_due);
            return is_due.then(|| self.load(cx.now));
        }
        let is_slot = is_after_interval(self.last_commit, cx.now);
        let is_due = has_claims || self.is_outcome_due(cx.now);
        (is_slot && is_due).then(|| self.commit(cx))
    }

    fn is_outcome_due(&self, now: Timestamp) -> bool {
        let is_ripe = now >= self.records_since + OUTCOME_DELAY;
        !self.records.is_empty() && is_ripe && now >= self.retry_at
    }

    fn load(&mut self, now: Timestamp) -> RangeStep {
        self.last_load = Some(now);
        self.exchange = Exchange::Loading;
        let held = self.head.segments.iter();
        RangeStep::Load {
            held: held.map(|segment| segment.name.clone()).collect(),
        }
    }

    fn commit(&mut self, cx: &OwnerView<'_>) -> RangeStep {
        let id = BatchId {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number: self.next_batch,
        };
        self.next_batch += 1;
        self.last_commit = Some(cx.now);
        let mut head = self.head.clone();
        let oldest = cx.now.as_millis();
        let oldest = Timestamp(oldest.saturating_sub(cx.retention.as_millis() as u64));
        let dropped = head.drop_segments(oldest);
        if !dropped.is_empty() {
            self.table.forget(cx.now, cx.retention);
        }
        let archive = head.seal(&id, cx.now, self.seal_after);
        head.push_batch(id);
        let records: Vec<LogRecord> = drain_front(&mut self.records, MAX_OUTCOMES);
        let claims = drain_front(&mut self.waiting, MAX_BATCH);
        head.records.extend(records.iter().cloned());
        let claimed = claims
            .iter()
            .map(|wait| LogRecord::of_claim(&wait.claim, cx.now));
        head.records.extend(claimed);
        let commit = Commit {
            archive,
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

    /// Takes the end of a commit.
    pub fn committed(&mut self, result: CommitResult, cx: &OwnerView<'_>) {
        let Exchange::Committing(batch) = std::mem::replace(&mut self.exchange, Exchange::None)
        else {
            return;
        };
        match result {
            CommitResult::Written(version) => self.written(*batch, version, cx),
            CommitResult::Conflict => {
                self.counts.conflicts += 1;
                self.is_current = false;
                self.put_back(*batch, false);
            }
            CommitResult::AnswerLost => {
                self.is_current = false;
                self.uncertain = Some(batch.expected);
                self.put_back(*batch, true);
            }
            CommitResult::RateLimited => self.put_back(*batch, false),
            CommitResult::Unavailable => {
                self.retry_at = cx.now + RETRY_DELAY;
                let mut batch = *batch;
                let claims = std::mem::take(&mut batch.claims);
                self.put_back(batch, false);
                claims.into_iter().for_each(|wait| self.refuse(wait));
            }
        }
        if self.is_current {
            self.settle(cx);
        }
    }

    fn written(&mut self, batch: Batch<W>, version: u64, cx: &OwnerView<'_>) {
        let Batch {
            head,
            claims,
            records,
            ..
        } = batch;
        self.version = Some(version);
        self.uncertain = None;
        self.waiting
            .iter_mut()
            .for_each(|wait| wait.is_maybe_written = false);
        self.table.apply(&records);
        for wait in claims {
            self.table
                .apply([&LogRecord::of_claim(&wait.claim, cx.now)]);
            self.give(wait, &ClaimVerdict::Granted);
        }
        self.head = head;
        self.table.apply(&self.records);
    }

    fn put_back(&mut self, batch: Batch<W>, is_maybe_written: bool) {
        let Batch {
            mut claims,
            mut records,
            ..
        } = batch;
        for wait in &mut claims {
            wait.is_maybe_written |= is_maybe_written;
        }
        claims.append(&mut self.waiting);
        self.waiting = claims;
        records.append(&mut self.records);
        self.records = records;
    }

    /// Takes the log as it was read, or `None` if it could not be read.
    pub fn loaded(&mut self, image: Option<RangeImage>, cx: &OwnerView<'_>) {
        if !matches!(self.exchange, Exchange::Loading) {
            return;
        }
        self.exchange = Exchange::None;
        let Some(image) = image else {
            self.retry_at = cx.now + RETRY_DELAY;
            return self.answer_unknown();
        };
        self.merge(image);
        self.settle(cx);
    }

    /// Takes over what other owners have written, and finds in it what became of own writes.
    fn merge(&mut self, image: RangeImage) {
        if self
            .uncertain
            .is_some_and(|expected| expected != image.version)
        {
            self.uncertain = None;
            self.waiting
                .iter_mut()
                .for_each(|wait| wait.is_maybe_written = false);
        }
        for segment in &image.segments {
            self.table.apply(&segment.records);
        }
        self.table.apply(&image.head.records);
        if self.uncertain.is_none() {
            // The log holds the others already, or the claim that they end was never written.
            let table = &self.table;
            self.records.retain(|record| table.is_ended_by(record));
        }
        self.table.apply(&self.records);
        self.version = image.version;
        self.head = image.head;
        self.is_current = true;
        self.is_load_due = false;
    }

    /// Answers each waiting claim about which the table says something.
    fn settle(&mut self, cx: &OwnerView<'_>) {
        for wait in std::mem::take(&mut self.waiting) {
            match self.verdict_on(&wait.claim, cx) {
                Some(verdict) => self.give(wait, &verdict),
                None => self.waiting.push(wait),
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

    /// Refuses a claim. "Not run" is said only if no write that holds it can take effect any more.
    fn refuse(&mut self, wait: Waiting<W>) {
        let verdict = match wait.is_maybe_written {
            true => ClaimVerdict::Unknown,
            false => ClaimVerdict::Unavailable,
        };
        self.give(wait, &verdict);
    }

    /// Without the log it cannot be told whether an earlier call with the same key ran.
    fn answer_unknown(&mut self) {
        for wait in std::mem::take(&mut self.waiting) {
            self.give(wait, &ClaimVerdict::Unknown);
        }
    }

    fn expire(&mut self, now: Timestamp) {
        let is_late = |wait: &mut Waiting<W>| now.since(wait.since) >= CLAIM_WAIT;
        let late: Vec<Waiting<W>> = self.waiting.extract_if(.., is_late).collect();
        for wait in late {
            match self.is_current {
                true => self.refuse(wait),
                false => self.give(wait, &ClaimVerdict::Unknown),
            }
        }
    }

    fn give(&mut self, wait: Waiting<W>, verdict: &ClaimVerdict) {
        match verdict {
            ClaimVerdict::Granted => self.counts.granted += 1,
            _ => self.counts.refused += 1,
        }
        let given = wait
            .waiters
            .into_iter()
            .map(|waiter| (waiter, verdict.clone()));
        self.verdicts.extend(given);
    }

    /// When the next exchange may be due although nothing arrives.
    pub fn wake_at(&self) -> Option<Timestamp> {
        if !matches!(self.exchange, Exchange::None) {
            return None;
        }
        let after = |last: Option<Timestamp>| {
            last.map_or(Timestamp::default(), |last| last + COMMIT_INTERVAL)
        };
        let has_claims = !self.waiting.is_empty();
        let has_records = !self.records.is_empty();
        if !self.is_current {
            let for_claims = has_claims.then(|| after(self.last_load));
            let for_rest = (self.is_load_due || has_records).then_some(self.retry_at);
            return for_claims.into_iter().chain(for_rest).min();
        }
        let slot = after(self.last_commit);
        let ripe = (self.records_since + OUTCOME_DELAY).max(self.retry_at);
        let for_records = has_records.then(|| slot.max(ripe));
        has_claims
            .then_some(slot)
            .into_iter()
            .chain(for_records)
            .min()
    }

    /// Whether the log was read and no later version is known of.
    pub fn is_current(&self) -> bool {
        self.is_current
    }

    /// Verdicts since the last call.
    pub fn take_verdicts(&mut self) -> Vec<(W, ClaimVerdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Whether nothing waits, so that the range can be left to another owner.
    pub fn is_idle(&self) -> bool {
        let is_quiet = matches!(self.exchange, Exchange::None) && self.verdicts.is_empty();
        is_quiet && self.waiting.is_empty() && self.records.is_empty()
    }

    /// Claims that wait for a verdict.
    pub fn pending(&self) -> usize {
        let committing = match &self.exchange {
            Exchange::Committing(batch) => batch.claims.len(),
            _ => 0,
        };
        committing + self.waiting.len()
    }

    /// What was done so far.
    pub fn counts(&self) -> OwnerCounts {
        self.counts
    }

    /// Claims that are held in memory.
    pub fn held_claims(&self) -> usize {
        self.table.len()
    }
}

fn is_after_interval(last: Option<Timestamp>, now: Timestamp) -> bool {
    last.is_none_or(|last| now >= last + COMMIT_INTERVAL)
}

fn drain_front<T>(items: &mut Vec<T>, most: usize) -> Vec<T> {
    let rest = items.split_off(items.len().min(most));
    std::mem::replace(items, rest)
}
