//! Membership state of one daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lavenderhatch_core::member::{Members, ReportedVersion};
use lavenderhatch_core::{
    Digest, Incarnation, MemberRecord, MemberState, NodeId, Timestamp, Version,
};

use super::detector::Detector;
use super::gossip::{GossipBudget, Outbox};
use super::join::JoinSchedule;
use super::link::Link;
use super::table::{MemberEvent, MemberTable};
use super::version_reports::VersionReports;
use crate::message::{HeldReport, Hello, Suspicion};
use crate::stable_hash::stable_hash;

/// The configuration version in force on a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldVersion {
    /// Version in force; zero if there is none.
    pub version: Version,
    /// Digest of the mesh of that version.
    pub digest: Digest,
}

/// The members as one daemon knows them, and its state in the membership protocol.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) own: MemberRecord,
    pub(super) table: MemberTable,
    /// Ring neighbours of this daemon.
    pub(super) links: BTreeMap<NodeId, Link>,
    pub(super) links_changed_at: Timestamp,
    pub(super) detector: Detector,
    pub(super) budget: GossipBudget,
    pub(super) reports: VersionReports,
    pub(super) join: JoinSchedule,
    pub(super) last_tick: Timestamp,
    pub(super) last_report: Timestamp,
    pub(super) last_status: Timestamp,
    /// The aggregator that has got a full heartbeat. Later reports to it can be shorter messages.
    pub(super) reported_to: Option<NodeId>,
    pub(super) last_probe: Timestamp,
    pub(super) reported_versions: BTreeMap<NodeId, ReportedVersion>,
    /// Members whose last message was of a lower incarnation than their record: their clock was set
    /// back before they restarted.
    pub(super) behind_their_record: BTreeSet<NodeId>,
    /// Highest version that each member is known to have held. Kept when the member restarts.
    pub(super) highest_held: BTreeMap<NodeId, Version>,
    /// Highest version that other members know this daemon to have held, in this or an earlier
    /// incarnation.
    floor: Version,
    /// Whether the first peers have answered, so that `floor` is complete.
    pub(super) is_joined: bool,
    /// Suspicions to send, by the observer that they are sent to.
    pub(super) pending_suspicions: BTreeMap<NodeId, Vec<Suspicion>>,
}

impl Membership {
    /// Creates the state of a starting daemon that knows no other member.
    ///
    /// `random` is uniform over all `u64` values.
    pub fn new(own: MemberRecord, now: Timestamp, random: u64) -> Self {
        let mut table = MemberTable::default();
        table.apply(own.clone(), now);
        Self {
            own,
            table,
            links: BTreeMap::new(),
            links_changed_at: now,
            detector: Detector::default(),
            budget: GossipBudget::new(now),
            reports: VersionReports::default(),
            join: JoinSchedule::new(now, random),
            last_tick: now,
            last_report: now,
            last_status: now,
            reported_to: None,
            last_probe: now,
            reported_versions: BTreeMap::new(),
            behind_their_record: BTreeSet::new(),
            highest_held: BTreeMap::new(),
            floor: Version::NONE,
            is_joined: false,
            pending_suspicions: BTreeMap::new(),
        }
    }

    /// The member record of this daemon.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Updates the state and slots in the record of this daemon. Returns whether they changed.
    pub fn update_own_record(&mut self, state: MemberState, slots: u32, now: Timestamp) -> bool {
        if self.own.state == state && self.own.slots == slots {
            return false;
        }
        self.own.state = state;
        self.own.slots = slots;
        self.supersede_own_record(self.own.seq, self.own.incarnation, now);
        true
    }

    /// Merges the records of members that the platform lists as contacts.
    pub fn merge_contacts(&mut self, records: &[MemberRecord], now: Timestamp) -> Vec<MemberEvent> {
        self.merge_records(records, None, now)
    }

    /// Handles a heartbeat or the answer to one.
    pub fn receive(&mut self, hello: &Hello, now: Timestamp) -> Vec<MemberEvent> {
        if hello.node == self.own.id {
            return Vec::new();
        }
        let events = self.merge_records(&hello.records, Some(&hello.node), now);
        self.record_sender_state(hello, now);
        for suspicion in &hello.suspects {
            if suspicion.node != self.own.id {
                self.detector.record_suspicion(suspicion, now);
            }
        }
        events
    }

    fn record_sender_state(&mut self, hello: &Hello, now: Timestamp) {
        self.detector.record_message(&hello.node);
        let record = self.table.by_id.get(&hello.node);
        match record.is_some_and(|record| record.incarnation > hello.incarnation) {
            true => self.behind_their_record.insert(hello.node.clone()),
            false => self.behind_their_record.remove(&hello.node),
        };
        self.floor = self.floor.max(hello.held_by_receiver);
        if !self.is_joined {
            // Before a restart, this daemon may have got its version from the sender and may not
            // have reported it to any member.
            self.floor = self.floor.max(hello.version);
        }
        let reported = ReportedVersion {
            version: hello.version,
            digest: hello.digest,
            at: now,
        };
        self.reported_versions.insert(hello.node.clone(), reported);
        self.record_held_version(&hello.node, hello.version, now);
        for report in &hello.reports {
            self.reports.record_group(&hello.node, report, now);
        }
        if let Some(link) = self.links.get_mut(&hello.node) {
            link.last_message_at = Some(now);
        }
        self.withdraw_suspicion(&hello.node, hello.incarnation, now);
    }

    /// Records the version that a member holds or is about to put in force.
    pub fn record_held_version(&mut self, id: &NodeId, version: Version, now: Timestamp) {
        self.reports.record_member(id, version, now);
        let highest = self.highest_held.entry(id.clone()).or_default();
        *highest = version.max(*highest);
    }

    /// Records that a version report could not be delivered.
    pub fn record_report_failure(&mut self) {
        self.reported_to = None;
    }

    /// Records that a member did not answer, and refills the outbox of its link, if it has one.
    pub fn record_no_answer(&mut self, id: &NodeId, now: Timestamp) {
        self.detector.record_no_answer(id, now);
        let outbox = self.new_outbox(id);
        if let Some(link) = self.links.get_mut(id) {
            link.outbox = outbox;
        }
    }

    /// Members that have left, failed or become unreachable, or that recently did not answer this
    /// daemon.
    pub fn failed_members(&self) -> BTreeSet<NodeId> {
        let has_failed = |record: &&Arc<MemberRecord>| {
            record.state >= MemberState::Left || self.detector.is_unresponsive(&record.id)
        };
        let failed = self.table.by_id.values().filter(has_failed);
        failed.map(|record| record.id.clone()).collect()
    }

    /// The record of a member.
    pub fn record(&self, id: &NodeId) -> Option<&MemberRecord> {
        self.table.by_id.get(id).map(Arc::as_ref)
    }

    /// Whether the first peers have answered, so that the floor is complete.
    pub fn is_joined(&self) -> bool {
        self.is_joined
    }

    fn merge_records(
        &mut self,
        records: &[MemberRecord],
        from: Option<&NodeId>,
        now: Timestamp,
    ) -> Vec<MemberEvent> {
        let mut events = Vec::new();
        for record in records {
            if record.id == self.own.id {
                self.refute(record, now);
                continue;
            }
            let event = self.apply(record.clone(), from, now);
            self.mark_known(record, from);
            events.extend(event);
        }
        events.extend(self.mark_cut_off_zones(&events.clone(), now));
        self.refresh_links(now);
        events
    }

    /// Applies a record and queues it for all links except its sender and the member itself.
    pub(super) fn apply(
        &mut self,
        record: MemberRecord,
        from: Option<&NodeId>,
        now: Timestamp,
    ) -> Option<MemberEvent> {
        let id = record.id.clone();
        let event = self.table.apply(record, now)?;
        self.detector.clear_suspicions(&id);
        for (peer, link) in &mut self.links {
            if Some(peer) != from && *peer != id {
                link.outbox.push_record(&id);
            }
        }
        Some(event)
    }

    fn mark_known(&mut self, record: &MemberRecord, from: Option<&NodeId>) {
        let is_same = self.table.by_id.get(&record.id).map(AsRef::as_ref) == Some(record);
        let link = from.and_then(|from| self.links.get_mut(from));
        if let Some(link) = link.filter(|_| is_same) {
            link.outbox.mark_known(&record.id);
        }
    }

    /// Refutes a record of this daemon that another member made or that an earlier incarnation
    /// left.
    fn refute(&mut self, record: &MemberRecord, now: Timestamp) {
        if !record.supersedes(&self.own) {
            return;
        }
        let incarnation = match record.incarnation > self.own.incarnation {
            // The clock went back between two starts. The incarnation of this start has to be
            // higher than that of the earlier one.
            true => Incarnation(record.incarnation.0 + 1),
            false => self.own.incarnation,
        };
        self.supersede_own_record(record.seq, incarnation, now);
    }

    fn supersede_own_record(&mut self, seq: u64, incarnation: Incarnation, now: Timestamp) {
        self.own.incarnation = incarnation;
        self.own.seq = seq.max(self.own.seq) + 1;
        self.apply(self.own.clone(), None, now);
        // Makes a heartbeat to every link due at the next tick instead of after its interval.
        self.links.values_mut().for_each(|link| link.sent_at = None);
    }

    /// Marks the failed members of a zone as unreachable if so many failed together that the zone
    /// counts as cut off.
    pub(super) fn mark_cut_off_zones(
        &mut self,
        events: &[MemberEvent],
        now: Timestamp,
    ) -> Vec<MemberEvent> {
        let mut marked = Vec::new();
        let failed = events
            .iter()
            .filter(|event| event.is_failure() && event.record.state == MemberState::Failed);
        for event in failed {
            let on_rings = self.table.rings.zone_len(&event.record.zone);
            let table = &self.table;
            let size = |failures: &BTreeMap<NodeId, Timestamp>| {
                let is_failed = |id: &&NodeId| {
                    table
                        .by_id
                        .get(*id)
                        .is_some_and(|r| r.state == MemberState::Failed)
                };
                on_rings + failures.keys().filter(is_failed).count()
            };
            for id in self.detector.record_failure(&event.record, size, now) {
                marked.extend(self.raise_state(&id, MemberState::Unreachable, now));
            }
        }
        marked
    }

    /// Moves another member to a higher state.
    pub(super) fn raise_state(
        &mut self,
        id: &NodeId,
        state: MemberState,
        now: Timestamp,
    ) -> Option<MemberEvent> {
        let record = self.table.by_id.get(id)?;
        if record.state >= state {
            return None;
        }
        let record = MemberRecord {
            state,
            ..MemberRecord::clone(record)
        };
        self.apply(record, None, now)
    }

    /// Declares an unreachable member failed. This raises the sequence number of its record,
    /// because `failed` does not supersede `unreachable` under the same number.
    pub(super) fn fail_unreachable(&mut self, id: &NodeId, now: Timestamp) -> Option<MemberEvent> {
        let record = self.table.by_id.get(id)?;
        let record = MemberRecord {
            state: MemberState::Failed,
            seq: record.seq + 1,
            ..MemberRecord::clone(record)
        };
        self.apply(record, None, now)
    }

    /// Creates links to new ring neighbours and drops those to former ones.
    pub(super) fn refresh_links(&mut self, now: Timestamp) {
        let neighbours = self.table.rings.neighbours(&self.own.id, &self.own.zone);
        let before = self.links.len();
        self.links.retain(|id, _| neighbours.contains(id));
        let mut has_changed = self.links.len() != before;
        for id in neighbours {
            let Some(record) = self.table.by_id.get(&id) else {
                continue;
            };
            if self.links.get(&id).is_some_and(|link| link.matches(record)) {
                continue;
            }
            has_changed = true;
            let link = Link::new(record, self.new_outbox(&id), now);
            self.links.insert(id, link);
        }
        if has_changed {
            self.links_changed_at = now;
        }
    }

    /// The outbox of a new link: the record of this daemon, those of the link's ring neighbours,
    /// and then the whole table.
    fn new_outbox(&self, id: &NodeId) -> Outbox {
        let mut outbox = Outbox::default();
        let zone = self.table.by_id.get(id).map_or(&self.own.zone, |r| &r.zone);
        outbox.push_record(&self.own.id);
        for neighbour in self.table.rings.neighbours(id, zone) {
            outbox.push_record(&neighbour);
        }
        // Each daemon starts at a different member, so that a new member gets different parts of
        // the table from its links.
        let hash = stable_hash(0, self.own.id.as_str());
        let at = hash as usize % self.table.by_id.len().max(1);
        if let Some(start) = self.table.by_id.keys().nth(at) {
            outbox.start_sync(start.clone());
        }
        outbox
    }

    /// The report of this daemon's group, which it sends as an aggregator.
    pub(super) fn group_report(&self, held: HeldVersion, leaders: &[&NodeId]) -> HeldReport {
        let own = &self.own.id;
        let is_of_zone = |id: &NodeId| {
            let record = self.table.by_id.get(id);
            record.is_some_and(|r| r.zone == self.own.zone && r.state <= MemberState::Leaving)
        };
        let covers = |id: &NodeId| {
            let is_member = is_of_zone(id) && !leaders.contains(&id);
            is_member && super::aggregator_of(leaders, id) == Some(own)
        };
        self.reports.report(held.version, covers)
    }

    /// Removes members that left or failed long ago.
    pub(super) fn evict_departed(&mut self, now: Timestamp) {
        for id in self.table.evict_departed(now) {
            self.reported_versions.remove(&id);
            self.behind_their_record.remove(&id);
            self.highest_held.remove(&id);
        }
    }

    /// Versions that members reported within the last [`SUSPECT_AFTER`](super::SUSPECT_AFTER).
    pub fn recent_versions(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&NodeId, &ReportedVersion)> {
        let is_recent =
            move |reported: &ReportedVersion| now.since(reported.at) < super::SUSPECT_AFTER;
        self.reported_versions
            .iter()
            .filter(move |(_, reported)| is_recent(reported))
    }

    /// The membership as other controllers read it.
    pub fn view(&self, now: Timestamp) -> Members {
        let recent = self.recent_versions(now);
        Members {
            by_id: Arc::clone(&self.table.by_id),
            linked_peers: self.links.keys().cloned().collect(),
            reported_versions: recent
                .map(|(id, reported)| (id.clone(), *reported))
                .collect(),
            version_floor: self.floor,
            is_joined: self.is_joined,
        }
    }

    /// Highest version that other members know this daemon to have held.
    pub fn floor(&self) -> Version {
        self.floor
    }
}
