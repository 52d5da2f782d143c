//! Table of the records of all known members, and the rings that they form.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use lavenderhatch_core::{MemberRecord, MemberState, NodeId, Timestamp};

use super::gossip::RecordLookup;
use super::rings::Rings;

/// How long the record of a member that left or failed is kept, so that older records of it that
/// are still being gossiped do not bring it back.
const DEPARTED_RETENTION: Duration = Duration::from_secs(3600);

/// Time after which an unreachable member of a live zone counts as failed.
///
/// This does not apply when regions lose contact with each other, which may last an hour, because
/// then whole zones are unreachable.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(600);

/// A change of a member's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEvent {
    /// The new record.
    pub record: Arc<MemberRecord>,
    /// State before the change; `None` for a member that was not known.
    pub before: Option<MemberState>,
}

impl MemberEvent {
    /// Whether the change declares the member failed or unreachable.
    pub fn is_failure(&self) -> bool {
        self.record.state >= MemberState::Failed && self.before < Some(MemberState::Failed)
    }

    /// Whether the member was failed or unreachable and is back.
    pub fn is_return(&self) -> bool {
        self.record.state < MemberState::Failed && self.before >= Some(MemberState::Failed)
    }
}

/// Member records by id, with derived indexes.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    /// Shared with published views, and copied on the first change after a publication.
    pub(super) by_id: Arc<BTreeMap<NodeId, Arc<MemberRecord>>>,
    /// Invariant: holds exactly the members of `by_id` that are neither left nor failed.
    pub(super) rings: Rings,
    /// Members that have left or failed, with the time since when.
    departed: BTreeMap<NodeId, Timestamp>,
    /// Members that are unreachable, with the time since when.
    unreachable: BTreeMap<NodeId, Timestamp>,
}

impl MemberTable {
    /// Stores a record if it supersedes the present one.
    pub(super) fn apply(&mut self, record: MemberRecord, now: Timestamp) -> Option<MemberEvent> {
        let present = self.by_id.get(&record.id);
        if present.is_some_and(|present| !record.supersedes(present)) {
            return None;
        }
        let before = present.map(|present| present.state);
        let record = Arc::new(record);
        let keeps_position =
            present.is_some_and(|present| has_same_ring_position(present, &record));
        if let Some(present) = present.filter(|present| is_on_rings(present) && !keeps_position) {
            self.rings.remove(present);
        }
        match record.state {
            MemberState::Unreachable => {
                self.unreachable.entry(record.id.clone()).or_insert(now);
            }
            _ => drop(self.unreachable.remove(&record.id)),
        }
        if is_on_rings(&record) {
            if !keeps_position {
                self.rings.insert(&record);
            }
            self.departed.remove(&record.id);
        } else {
            self.departed.entry(record.id.clone()).or_insert(now);
        }
        let by_id = Arc::make_mut(&mut self.by_id);
        by_id.insert(record.id.clone(), Arc::clone(&record));
        Some(MemberEvent { record, before })
    }

    /// Members that have been unreachable for [`UNREACHABLE_TIMEOUT`] although most of their zone
    /// is live. The members of a zone that is cut off stay unreachable.
    pub(super) fn unreachable_in_live_zone(&self, now: Timestamp) -> Vec<NodeId> {
        let is_old = |at: &Timestamp| now.since(*at) >= UNREACHABLE_TIMEOUT;
        let old = self.unreachable.iter().filter(|(_, at)| is_old(at));
        let is_in_live_zone = |id: &&NodeId| {
            let record = self.by_id.get(*id);
            record.is_some_and(|record| {
                let live = self.live_in_zone_of(record).count();
                live * 2 > self.rings.zone_len(&record.zone)
            })
        };
        old.map(|(id, _)| id)
            .filter(is_in_live_zone)
            .cloned()
            .collect()
    }

    /// Removes members that left or failed [`DEPARTED_RETENTION`] ago or earlier, and returns their
    /// ids.
    pub(super) fn evict_departed(&mut self, now: Timestamp) -> Vec<NodeId> {
        let is_old = |at: &Timestamp| now.since(*at) >= DEPARTED_RETENTION;
        let old = self.departed.iter().filter(|(_, at)| is_old(at));
        let old: Vec<NodeId> = old.map(|(id, _)| id.clone()).collect();
        for id in &old {
            self.departed.remove(id);
            Arc::make_mut(&mut self.by_id).remove(id);
        }
        old
    }

    /// A failed member, picked at random among those that have left or failed. `None` if the pick
    /// is one that has left.
    pub(super) fn random_failed(&self, random: u64) -> Option<&MemberRecord> {
        if self.departed.is_empty() {
            return None;
        }
        let at = random as usize % self.departed.len();
        let record = self
            .departed
            .keys()
            .nth(at)
            .and_then(|id| self.by_id.get(id))?;
        (record.state == MemberState::Failed).then_some(record.as_ref())
    }

    /// Live members in the zone of `record`, in the order of its first ring.
    pub(super) fn live_in_zone_of(&self, record: &MemberRecord) -> impl Iterator<Item = &NodeId> {
        let is_live = |id: &&NodeId| {
            let record = self.by_id.get(*id);
            record.is_some_and(|record| record.state <= MemberState::Leaving)
        };
        self.rings.zone_members(&record.zone).filter(is_live)
    }
}

/// Whether a member belongs on the rings. Unreachable members stay on them, so that their
/// neighbours notice when they come back.
fn is_on_rings(record: &MemberRecord) -> bool {
    !matches!(record.state, MemberState::Left | MemberState::Failed)
}

fn has_same_ring_position(a: &MemberRecord, b: &MemberRecord) -> bool {
    is_on_rings(a) && is_on_rings(b) && a.zone == b.zone
}

impl RecordLookup for MemberTable {
    fn at_or_after(&self, id: &NodeId) -> Option<&MemberRecord> {
        self.by_id
            .range::<NodeId, _>(id..)
            .next()
            .map(|(_, record)| record.as_ref())
    }

    fn after(&self, id: &NodeId) -> Option<&MemberRecord> {
        let range = (Bound::Excluded(id), Bound::Unbounded);
        let next = self.by_id.range::<NodeId, _>(range).next();
        next.map(|(_, record)| record.as_ref())
    }

    fn first(&self) -> Option<&MemberRecord> {
        self.by_id
            .first_key_value()
            .map(|(_, record)| record.as_ref())
    }

    fn find(&self, id: &NodeId) -> Option<&MemberRecord> {
        self.by_id.get(id).map(Arc::as_ref)
    }
}
