//! Gossip of member records, and its rate limit.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use lavenderhatch_core::{MemberRecord, NodeId, Timestamp};

/// Maximum number of member records in one message.
pub const MAX_GOSSIP_RECORDS: usize = 60;
/// Rate limit for the records and suspicions that a daemon sends, in bytes per second.
pub const GOSSIP_BYTES_PER_SECOND: u64 = 10_000;
/// Maximum number of records in one message that belong to the table transfer to a new link. Kept
/// low so that all links of a daemon get a share of its gossip budget.
const MAX_SYNC_RECORDS: usize = 12;
/// Approximate size of a suspicion in a message, in bytes.
const SUSPICION_BYTES: u64 = 80;
/// Approximate size of a record in a message without its texts, in bytes.
const RECORD_BASE_BYTES: u64 = 80;
/// Approximate size of the text of an address with padding, in bytes.
const ADDRESS_BYTES: u64 = 24;

/// Token bucket that limits gossip to [`GOSSIP_BYTES_PER_SECOND`].
#[derive(Clone, Debug)]
pub(super) struct GossipBudget {
    /// Bytes that may be sent now. Invariant: at most [`GOSSIP_BYTES_PER_SECOND`].
    bytes: u64,
    refilled_at: Timestamp,
}

impl GossipBudget {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            bytes: GOSSIP_BYTES_PER_SECOND,
            refilled_at: now,
        }
    }

    /// Adds the bytes earned since the last refill.
    pub(super) fn refill(&mut self, now: Timestamp) {
        let passed = now.since(self.refilled_at).min(Duration::from_secs(1));
        let earned = GOSSIP_BYTES_PER_SECOND * passed.as_millis() as u64 / 1000;
        self.bytes = (self.bytes + earned).min(GOSSIP_BYTES_PER_SECOND);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes `bytes` from the budget if it has as many. Returns whether it did.
    pub(super) fn try_spend(&mut self, bytes: u64) -> bool {
        let left = self.bytes.checked_sub(bytes);
        self.bytes = left.unwrap_or(self.bytes);
        left.is_some()
    }

    pub(super) fn try_spend_record(&mut self, record: &MemberRecord) -> bool {
        self.try_spend(record_bytes(record))
    }

    /// Charges for suspicions, which are sent even if the budget is used up.
    pub(super) fn charge_suspicions(&mut self, count: usize) {
        self.bytes = self.bytes.saturating_sub(SUSPICION_BYTES * count as u64);
    }
}

fn record_bytes(record: &MemberRecord) -> u64 {
    let names = [
        record.id.as_str(),
        record.zone.as_str(),
        record.region.as_str(),
        record.service.as_str(),
    ];
    let padded = |text: &&str| (text.len() as u64 + 8) & !7;
    RECORD_BASE_BYTES + 2 * ADDRESS_BYTES + names.iter().map(padded).sum::<u64>()
}

/// Member records that are to be sent to one link.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    /// Queue of members whose records have changed, oldest first. May hold members whose record the
    /// link has sent itself in the meantime.
    queue: VecDeque<NodeId>,
    /// Members whose records still have to be sent. Invariant: all are in `queue`.
    pending: BTreeSet<NodeId>,
    sync: Option<TableSync>,
}

/// Progress of a transfer of the whole table, in the order of member ids with wrap-around.
#[derive(Clone, Debug)]
struct TableSync {
    start: NodeId,
    next: NodeId,
    has_wrapped: bool,
    /// Members whose current records the link has sent itself, so they can be skipped.
    known: BTreeSet<NodeId>,
}

/// Ordered access to member records, as a table transfer needs it.
pub(super) trait RecordLookup {
    /// The first record at or after `id`.
    fn at_or_after(&self, id: &NodeId) -> Option<&MemberRecord>;
    /// The first record after `id`.
    fn after(&self, id: &NodeId) -> Option<&MemberRecord>;
    /// The first record.
    fn first(&self) -> Option<&MemberRecord>;
    /// The record of a member.
    fn find(&self, id: &NodeId) -> Option<&MemberRecord>;
}

impl Outbox {
    /// Queues the record of a member.
    pub(super) fn push_record(&mut self, id: &NodeId) {
        if self.pending.insert(id.clone()) {
            self.queue.push_back(id.clone());
        }
    }

    /// Starts a transfer of the whole table from the first member at or after `start`.
    pub(super) fn start_sync(&mut self, start: NodeId) {
        self.sync = Some(TableSync {
            next: start.clone(),
            start,
            has_wrapped: false,
            known: BTreeSet::new(),
        });
    }

    /// Records that the link has sent the current record of a member, so it is not sent back.
    pub(super) fn mark_known(&mut self, id: &NodeId) {
        self.pending.remove(id);
        if let Some(sync) = &mut self.sync {
            sync.known.insert(id.clone());
        }
    }

    /// Takes the records for the next message: changed ones first, then a part of the table.
    pub(super) fn take_records(
        &mut self,
        table: &impl RecordLookup,
        budget: &mut GossipBudget,
    ) -> Vec<MemberRecord> {
        let mut taken = Vec::new();
        while taken.len() < MAX_GOSSIP_RECORDS {
            let Some(id) = self.queue.front() else { break };
            let record = table.find(id).filter(|_| self.pending.contains(id));
            if record.is_some_and(|record| !budget.try_spend_record(record)) {
                return taken;
            }
            taken.extend(record.cloned());
            self.pending.remove(id);
            self.queue.pop_front();
        }
        let room = MAX_SYNC_RECORDS.min(MAX_GOSSIP_RECORDS - taken.len());
        self.take_sync(table, budget, room, &mut taken);
        taken
    }

    fn take_sync(
        &mut self,
        table: &impl RecordLookup,
        budget: &mut GossipBudget,
        room: usize,
        taken: &mut Vec<MemberRecord>,
    ) {
        let Some(sync) = &mut self.sync else { return };
        let limit = taken.len() + room;
        while taken.len() < limit {
            let Some(record) = sync.next_record(table) else {
                self.sync = None;
                return;
            };
            if !sync.known.contains(&record.id) {
                if !budget.try_spend_record(record) {
                    return;
                }
                taken.push(record.clone());
            }
            sync.advance_past(&record.id, table);
        }
    }
}

impl TableSync {
    /// The next record of the transfer, or `None` if the transfer is complete.
    fn next_record<'t>(&self, table: &'t impl RecordLookup) -> Option<&'t MemberRecord> {
        let record = table.at_or_after(&self.next);
        record.filter(|record| !self.has_wrapped || record.id < self.start)
    }

    fn advance_past(&mut self, id: &NodeId, table: &impl RecordLookup) {
        let next = table.after(id);
        self.has_wrapped |= next.is_none();
        if let Some(next) = next.or_else(|| table.first()) {
            self.next = next.id.clone();
        }
    }
}
