//! Failure detection from the suspicions of several observers.
//!
//! Also detects whether a whole zone is cut off, so that its members do not count as failed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lavenderhatch_core::{Incarnation, MemberRecord, NodeId, Timestamp, Zone};

use crate::message::Suspicion;

/// Time without a message after which an observer suspects a member.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Number of observers that have to suspect a member before it is declared failed. Fewer suffice if
/// fewer observers are available.
pub const MIN_OBSERVERS: usize = 4;
/// Delay between enough suspicions and the declaration of a failure, in which an observer may still
/// withdraw its suspicion.
pub const CONFIRM_DELAY: Duration = Duration::from_millis(500);
/// Time window in which the failures of a zone are counted together.
pub const ZONE_WINDOW: Duration = Duration::from_secs(10);
/// If more than this percentage of a zone fails within the window, the zone counts as cut off.
const ZONE_PERCENT: usize = 30;
/// Minimum number of failures for a zone to count as cut off. In a zone of three members a single
/// failure is more than 30%, but does not indicate that the zone is cut off.
const MIN_ZONE_FAILURES: usize = 2;
/// Age at which a suspicion expires. Observers repeat theirs more often than that.
const MAX_SUSPICION_AGE: Duration = Duration::from_secs(6);
/// How long a member that did not answer is not counted as an observer.
const MAX_NO_ANSWER_AGE: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug)]
struct SuspicionEntry {
    incarnation: Incarnation,
    at: Timestamp,
}

/// Suspicions and failures known to a daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct Detector {
    /// Suspicions by suspected member and observer.
    suspicions: BTreeMap<NodeId, BTreeMap<NodeId, SuspicionEntry>>,
    /// Members that did not answer, with the time of the last failed call.
    no_answer: BTreeMap<NodeId, Timestamp>,
    /// Members that enough observers suspect, with the time since when this is so.
    quorum_since: BTreeMap<NodeId, Timestamp>,
    /// Failures within the last [`ZONE_WINDOW`], by zone.
    failures: BTreeMap<Zone, BTreeMap<NodeId, Timestamp>>,
}

impl Detector {
    /// Records a suspicion or its withdrawal.
    pub(super) fn record_suspicion(&mut self, suspicion: &Suspicion, now: Timestamp) {
        let suspicions = self.suspicions.entry(suspicion.node.clone()).or_default();
        let present = suspicions.get(&suspicion.observer);
        if present.is_some_and(|entry| entry.incarnation > suspicion.incarnation) {
            return;
        }
        if suspicion.is_withdrawn {
            suspicions.remove(&suspicion.observer);
            if suspicions.is_empty() {
                self.suspicions.remove(&suspicion.node);
            }
            return;
        }
        let entry = SuspicionEntry {
            incarnation: suspicion.incarnation,
            at: now,
        };
        suspicions.insert(suspicion.observer.clone(), entry);
    }

    /// Records that a member did not answer.
    pub(super) fn record_no_answer(&mut self, id: &NodeId, now: Timestamp) {
        self.no_answer.insert(id.clone(), now);
    }

    /// Whether a member recently failed to answer and no message of it has arrived since.
    pub(super) fn is_unresponsive(&self, id: &NodeId) -> bool {
        self.no_answer.contains_key(id)
    }

    /// Records that a message of a member arrived.
    pub(super) fn record_message(&mut self, id: &NodeId) {
        self.no_answer.remove(id);
    }

    /// Removes all suspicions of a member.
    pub(super) fn clear_suspicions(&mut self, id: &NodeId) {
        self.suspicions.remove(id);
        self.quorum_since.remove(id);
    }

    /// Whether `observer` has suspected a member within the last `age`.
    pub(super) fn has_recent_suspicion(
        &self,
        id: &NodeId,
        observer: &NodeId,
        age: Duration,
        now: Timestamp,
    ) -> bool {
        let entry = self
            .suspicions
            .get(id)
            .and_then(|suspicions| suspicions.get(observer));
        entry.is_some_and(|entry| now.since(entry.at) < age)
    }

    /// Whether a suspicion of a member by `observer` is known, whatever its age.
    pub(super) fn has_suspicion(&self, id: &NodeId, observer: &NodeId) -> bool {
        let suspicions = self.suspicions.get(id);
        suspicions.is_some_and(|suspicions| suspicions.contains_key(observer))
    }

    /// Removes expired suspicions, unanswered calls and failures.
    pub(super) fn expire(&mut self, now: Timestamp) {
        for suspicions in self.suspicions.values_mut() {
            suspicions.retain(|_, entry| now.since(entry.at) < MAX_SUSPICION_AGE);
        }
        self.suspicions
            .retain(|_, suspicions| !suspicions.is_empty());
        self.no_answer
            .retain(|_, at| now.since(*at) < MAX_NO_ANSWER_AGE);
        for failures in self.failures.values_mut() {
            failures.retain(|_, at| now.since(*at) < ZONE_WINDOW);
        }
        self.failures.retain(|_, failures| !failures.is_empty());
    }

    /// Members that at least one observer suspects.
    pub(super) fn suspected_members(&self) -> Vec<NodeId> {
        self.suspicions.keys().cloned().collect()
    }

    /// Whether a member is to be declared failed.
    ///
    /// Observers that do not answer or are themselves suspected are not counted: in a network
    /// partition only the observers on this side are available.
    pub(super) fn is_failure_confirmed(
        &mut self,
        record: &MemberRecord,
        observers: &BTreeSet<NodeId>,
        now: Timestamp,
    ) -> bool {
        let has_quorum = self.has_quorum(record, observers);
        if !has_quorum {
            self.quorum_since.remove(&record.id);
            return false;
        }
        let since = self.quorum_since.entry(record.id.clone()).or_insert(now);
        now.since(*since) >= CONFIRM_DELAY
    }

    fn has_quorum(&self, record: &MemberRecord, observers: &BTreeSet<NodeId>) -> bool {
        let Some(suspicions) = self.suspicions.get(&record.id) else {
            return false;
        };
        let is_suspecting = |id: &&NodeId| {
            let entry = suspicions.get(*id);
            entry.is_some_and(|entry| entry.incarnation >= record.incarnation)
        };
        let is_available =
            |id: &&NodeId| !self.suspicions.contains_key(*id) && !self.no_answer.contains_key(*id);
        let suspecting = observers.iter().filter(is_suspecting).count();
        let eligible = observers
            .iter()
            .filter(|id| is_suspecting(id) || is_available(id))
            .count();
        suspecting >= MIN_OBSERVERS.min(eligible).max(1)
    }

    /// Records a failure and returns the members of its zone that are cut off rather than failed.
    ///
    /// These are either none or all members that failed within [`ZONE_WINDOW`]. `zone_size` returns
    /// the number of members of the zone, including the failed ones.
    pub(super) fn record_failure(
        &mut self,
        record: &MemberRecord,
        zone_size: impl Fn(&BTreeMap<NodeId, Timestamp>) -> usize,
        now: Timestamp,
    ) -> Vec<NodeId> {
        let failures = self.failures.entry(record.zone.clone()).or_default();
        failures.insert(record.id.clone(), now);
        failures.retain(|_, at| now.since(*at) < ZONE_WINDOW);
        let is_cut_off = failures.len() >= MIN_ZONE_FAILURES
            && failures.len() * 100 > zone_size(failures) * ZONE_PERCENT;
        match is_cut_off {
            true => failures.keys().cloned().collect(),
            false => Vec::new(),
        }
    }
}
