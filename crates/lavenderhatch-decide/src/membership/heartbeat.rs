//! Content of heartbeats and of the answers to them.

use std::collections::BTreeSet;

use lavenderhatch_core::{MemberRecord, MemberState, NodeId, Timestamp, Version};

use super::detector::SUSPECT_AFTER;
use super::gossip::MAX_GOSSIP_RECORDS;
use super::state::{HeldVersion, Membership};
use crate::message::Hello;

impl Membership {
    /// Builds the heartbeat for a member, or the answer to its heartbeat.
    ///
    /// `peer` is `None` if the member at the address is not known yet.
    pub fn hello_for(&mut self, peer: Option<&NodeId>, held: HeldVersion, now: Timestamp) -> Hello {
        self.budget.refill(now);
        let mut hello = self.empty_hello(held);
        let Some(peer) = peer else {
            hello.records.push(self.own.clone());
            return hello;
        };
        hello.held_by_receiver = self.highest_held.get(peer).copied().unwrap_or_default();
        hello.suspects = self.pending_suspicions.remove(peer).unwrap_or_default();
        self.budget.charge_suspicions(hello.suspects.len());
        // Records leave the outbox when they are sent, so a link that does not answer gets only the
        // record that introduces this daemon.
        let is_known = self.is_known_to(peer, now);
        match self
            .links
            .get_mut(peer)
            .filter(|link| link.has_recent_message(now))
        {
            Some(link) => {
                hello.records = link.outbox.take_records(&self.table, &mut self.budget);
            }
            None if !is_known => hello.records.push(self.own.clone()),
            None => {}
        }
        let record = self.table.by_id.get(peer);
        // All others ignore the records of a member that is behind its own record, until it has
        // taken a later incarnation.
        let is_behind = self.behind_their_record.contains(peer);
        let refutable = record.filter(|record| is_behind || record.state >= MemberState::Failed);
        hello
            .records
            .extend(refutable.map(|record| MemberRecord::clone(record)));
        hello
    }

    /// Builds the answer to the heartbeat of a member to which this daemon has no link.
    ///
    /// The answer also holds the records of the member's ring neighbours, to which it should have
    /// links.
    pub fn introduction_for(&mut self, peer: &NodeId, held: HeldVersion, now: Timestamp) -> Hello {
        let mut hello = self.hello_for(Some(peer), held, now);
        let zone = self
            .table
            .by_id
            .get(peer)
            .map_or(&self.own.zone, |r| &r.zone);
        let neighbours = self.table.rings.neighbours(peer, zone);
        let known: BTreeSet<NodeId> = hello.records.iter().map(|r| r.id.clone()).collect();
        for id in neighbours.iter().filter(|id| !known.contains(*id)) {
            let Some(record) = self.table.by_id.get(id) else {
                continue;
            };
            if hello.records.len() >= MAX_GOSSIP_RECORDS || !self.budget.try_spend_record(record) {
                break;
            }
            hello.records.push(MemberRecord::clone(record));
        }
        hello
    }

    /// Whether a message of a member arrived recently, which shows that it has the record of this
    /// daemon.
    ///
    /// A member of which this daemon has no record knows at most an earlier start of this daemon: it
    /// has sent a heartbeat between whose predecessor and itself this daemon has restarted.
    fn is_known_to(&self, peer: &NodeId, now: Timestamp) -> bool {
        let reported = self.reported_versions.get(peer);
        self.table.by_id.contains_key(peer)
            && reported.is_some_and(|reported| now.since(reported.at) < SUSPECT_AFTER)
    }

    /// Whether this daemon has a link to a member.
    pub fn is_linked(&self, id: &NodeId) -> bool {
        self.links.contains_key(id)
    }

    fn empty_hello(&self, held: HeldVersion) -> Hello {
        Hello {
            node: self.own.id.clone(),
            incarnation: self.own.incarnation,
            version: held.version,
            digest: held.digest,
            records: Vec::new(),
            suspects: Vec::new(),
            held_by_receiver: Version::NONE,
            in_flight: 0,
            limit: 0,
            reports: Vec::new(),
        }
    }
}
