//! The state of one daemon's membership.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lavenderhatch_core::member::{Members, ReportedVersion};
use lavenderhatch_core::{
    Digest, Incarnation, MemberRecord, MemberState, NodeId, Timestamp, Version,
};

use super::detector::Detector;
use super::gossip::{GossipBudget, Outbox};
use super::held::HeldVersions;
use super::join::Join;
use super::link::Link;
use super::table::{MemberEvent, MemberTable};
use crate::message::{HeldReport, Hello, Suspicion};
use crate::stable_hash::stable_hash;

/// What a daemon has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldVersion {
    /// Version, zero if there is none.
    pub version: Version,
    /// Digest of its mesh.
    pub digest: Digest,
}

/// What one daemon knows of the members.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) own: MemberRecord,
    pub(super) table: MemberTable,
    /// Ring neighbours of this daemon.
    pub(super) links: BTreeMap<NodeId, Link>,
    pub(super) links_changed: Timestamp,
    pub(super) detector: Detector,
    pub(super) budget: GossipBudget,
    pub(super) reports: HeldVersions,
    pub(super) join: Join,
    pub(super) last_tick: Timestamp,
    pub(super) last_report: Timestamp,
    pub(super) last_status: Timestamp,
    /// The aggregator that has had a heartbeat, after which shorter messages do.
    pub(super) reported_to: Option<NodeId>,
    pub(super) last_probe: Timestamp,
    pub(super) heard: BTreeMap<NodeId, ReportedVersion>,
    /// Highest version that each member heard from has held. Outlives its restarts.
    pub(super) highest: BTreeMap<NodeId, Version>,
    /// Highest version that others have seen this daemon hold.
    floor: Version,
    /// Whether the first peers have answered.
    pub(super) is_settled: bool,
    /// Suspicions to send, by the observer who gets them.
    pub(super) words: BTreeMap<NodeId, Vec<Suspicion>>,
}

impl Membership {
    /// A daemon that starts and knows nobody. `random` is uniform over all values.
    pub fn new(own: MemberRecord, now: Timestamp, random: u64) -> Self {
        let mut table = MemberTable::default();
        table.apply(own.clone(), now);
        Self {
            own,
            table,
            links: BTreeMap::new(),
            links_changed: now,
            detector: Detector::default(),
            budget: GossipBudget::new(now),
            reports: HeldVersions::default(),
            join: Join::new(now, random),
            last_tick: now,
            last_report: now,
            last_status: now,
            reported_to: None,
            last_probe: now,
            heard: BTreeMap::new(),
            highest: BTreeMap::new(),
            floor: Version::NONE,
            is_settled: false,
            words: BTreeMap::new(),
        }
    }

    /// The record of this daemon.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Changes what this daemon says about itself.
    ///
    /// Returns whether that is a change.
    pub fn set_own(&mut self, state: MemberState, slots: u32, now: Timestamp) -> bool {
        if self.own.state == state && self.own.slots == slots {
            return false;
        }
        self.own.state = state;
        self.own.slots = slots;
        self.raise_own(self.own.seq, self.own.incarnation, now);
        true
    }

    /// Takes in members that the platform names as contacts.
    pub fn learn(&mut self, records: &[MemberRecord], now: Timestamp) -> Vec<MemberEvent> {
        self.merge(records, None, now)
    }

    /// Takes in a heartbeat or the answer to one.
    pub fn receive(&mut self, hello: &Hello, now: Timestamp) -> Vec<MemberEvent> {
        if hello.node == self.own.id {
            return Vec::new();
        }
        let events = self.merge(&hello.records, Some(&hello.node), now);
        self.note_heard(hello, now);
        for suspicion in &hello.suspects {
            if suspicion.node != self.own.id {
                self.detector.note(suspicion, now);
            }
        }
        events
    }

    fn note_heard(&mut self, hello: &Hello, now: Timestamp) {
        self.detector.note_heard(&hello.node);
        self.floor = self.floor.max(hello.held_by_receiver);
        if !self.is_settled {
            // This daemon may have got the version from the sender, whose heartbeats have not yet
            // shown that to anyone else, and restarted.
            self.floor = self.floor.max(hello.version);
        }
        let heard = ReportedVersion {
            version: hello.version,
            digest: hello.digest,
            at: now,
        };
        self.heard.insert(hello.node.clone(), heard);
        self.note_held(&hello.node, hello.version, now);
        for report in &hello.reports {
            self.reports.note_group(&hello.node, report, now);
        }
        if let Some(link) = self.links.get_mut(&hello.node) {
            link.heard = Some(now);
        }
        self.withdraw(&hello.node, hello.incarnation, now);
    }

    /// Notes the version that a member holds or is about to put in force.
    pub fn note_held(&mut self, id: &NodeId, version: Version, now: Timestamp) {
        self.reports.note_member(id, version, now);
        let highest = self.highest.entry(id.clone()).or_default();
        *highest = version.max(*highest);
    }

    /// Notes that a report of the version held did not arrive.
    pub fn report_failed(&mut self) {
        self.reported_to = None;
    }

    /// Notes that a member did not answer.
    pub fn no_answer(&mut self, id: &NodeId, now: Timestamp) {
        self.detector.note_silent(id, now);
        let outbox = self.new_outbox(id);
        if let Some(link) = self.links.get_mut(id) {
            link.outbox = outbox;
        }
    }

    /// Members that this daemon takes for failed, or that have not answered it lately.
    pub fn failed(&self) -> BTreeSet<NodeId> {
        let has_failed = |record: &&Arc<MemberRecord>| {
            record.state >= MemberState::Left || self.detector.is_silent(&record.id)
        };
        let failed = self.table.by_id.values().filter(has_failed);
        failed.map(|record| record.id.clone()).collect()
    }

    /// The record of a member.
    pub fn record(&self, id: &NodeId) -> Option<&MemberRecord> {
        self.table.by_id.get(id).map(Arc::as_ref)
    }

    /// Whether the first peers have answered, so that the floor is known.
    pub fn is_joined(&self) -> bool {
        self.is_settled
    }

    fn merge(
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
            self.note_known(record, from);
            events.extend(event);
        }
        events.extend(self.mark_cut_off(&events.clone(), now));
        self.refresh_links(now);
        events
    }

    /// Puts a record in place and passes it on.
    pub(super) fn apply(
        &mut self,
        record: MemberRecord,
        from: Option<&NodeId>,
        now: Timestamp,
    ) -> Option<MemberEvent> {
        let id = record.id.clone();
        let event = self.table.apply(record, now)?;
        self.detector.clear(&id);
        for (peer, link) in &mut self.links {
            if Some(peer) != from && *peer != id {
                link.outbox.push_record(&id);
            }
        }
        Some(event)
    }

    fn note_known(&mut self, record: &MemberRecord, from: Option<&NodeId>) {
        let is_same = self.table.by_id.get(&record.id).map(AsRef::as_ref) == Some(record);
        let link = from.and_then(|from| self.links.get_mut(from));
        if let Some(link) = link.filter(|_| is_same) {
            link.outbox.note_known(&record.id);
        }
    }

    /// Answers a record of this daemon that another has made or that an earlier start has left.
    fn refute(&mut self, record: &MemberRecord, now: Timestamp) {
        if !record.supersedes(&self.own) {
            return;
        }
        let incarnation = match record.incarnation > self.own.incarnation {
            // The clock went back between two starts; this start has to come after the earlier one.
            true => Incarnation(record.incarnation.0 + 1),
            false => self.own.incarnation,
        };
        self.raise_own(record.seq, incarnation, now);
    }

    fn raise_own(&mut self, seq: u64, incarnation: Incarnation, now: Timestamp) {
        self.own.incarnation = incarnation;
        self.own.seq = seq.max(self.own.seq) + 1;
        self.apply(self.own.clone(), None, now);
        // The next tick tells all links, rather than the next heartbeats.
        self.links.values_mut().for_each(|link| link.sent = None);
    }

    /// Marks the members of a zone as unreachable if so many failed together that it is cut off.
    pub(super) fn mark_cut_off(
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
                let is_off = |id: &&NodeId| {
                    table
                        .by_id
                        .get(*id)
                        .is_some_and(|r| r.state == MemberState::Failed)
                };
                on_rings + failures.keys().filter(is_off).count()
            };
            for id in self.detector.note_failure(&event.record, size, now) {
                marked.extend(self.mark(&id, MemberState::Unreachable, now));
            }
        }
        marked
    }

    /// Sets the state of another member.
    pub(super) fn mark(
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

    /// Declares a member failed that was unreachable. The sequence number is raised on its behalf,
    /// because `failed` does not outrank `unreachable` under the same one.
    pub(super) fn fail_unreachable(&mut self, id: &NodeId, now: Timestamp) -> Option<MemberEvent> {
        let record = self.table.by_id.get(id)?;
        let record = MemberRecord {
            state: MemberState::Failed,
            seq: record.seq + 1,
            ..MemberRecord::clone(record)
        };
        self.apply(record, None, now)
    }

    /// Makes links to new ring neighbours and ends those to others.
    pub(super) fn refresh_links(&mut self, now: Timestamp) {
        let neighbours = self.table.rings.neighbours(&self.own.id, &self.own.zone);
        let before = self.links.len();
        self.links.retain(|id, _| neighbours.contains(id));
        let mut has_changed = self.links.len() != before;
        for id in neighbours {
            let Some(record) = self.table.by_id.get(&id) else {
                continue;
            };
            if self.links.get(&id).is_some_and(|link| link.is_to(record)) {
                continue;
            }
            has_changed = true;
            let link = Link::new(record, self.new_outbox(&id), now);
            self.links.insert(id, link);
        }
        if has_changed {
            self.links_changed = now;
        }
    }

    /// What a new link is told: this daemon, the link's ring neighbours, and then the whole table.
    fn new_outbox(&self, id: &NodeId) -> Outbox {
        let mut outbox = Outbox::default();
        let zone = self.table.by_id.get(id).map_or(&self.own.zone, |r| &r.zone);
        outbox.push_record(&self.own.id);
        for neighbour in self.table.rings.neighbours(id, zone) {
            outbox.push_record(&neighbour);
        }
        // Each daemon starts elsewhere, so that a new member gets different parts from its links.
        let hash = stable_hash(0, self.own.id.as_str());
        let at = hash as usize % self.table.by_id.len().max(1);
        if let Some(start) = self.table.by_id.keys().nth(at) {
            outbox.start_sync(start.clone());
        }
        outbox
    }

    /// The report that this daemon sends as an aggregator.
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

    /// Forgets members that have gone long ago.
    pub(super) fn forget(&mut self, now: Timestamp) {
        for id in self.table.forget(now) {
            self.heard.remove(&id);
            self.highest.remove(&id);
        }
    }

    /// Members that were heard not long ago, with their versions.
    pub fn heard_lately(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&NodeId, &ReportedVersion)> {
        let is_recent = move |heard: &ReportedVersion| now.since(heard.at) < super::SUSPECT_AFTER;
        self.heard.iter().filter(move |(_, heard)| is_recent(heard))
    }

    /// What other controllers see.
    pub fn view(&self, now: Timestamp) -> Members {
        let recent = self.heard_lately(now);
        Members {
            by_id: Arc::clone(&self.table.by_id),
            links: self.links.keys().cloned().collect(),
            reported_versions: recent.map(|(id, heard)| (id.clone(), *heard)).collect(),
            version_floor: self.floor,
            is_joined: self.is_settled,
        }
    }

    /// Highest version that others have seen this daemon hold.
    pub fn floor(&self) -> Version {
        self.floor
    }
}
