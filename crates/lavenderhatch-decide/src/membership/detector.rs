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
/// fewer observers can be asked.
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
const SUSPICION_AGE: Duration = Duration::from_secs(6);
/// How long a member that did not answer is not counted as an observer.
const SILENT_AGE: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug)]
struct Word {
    incarnation: Incarnation,
    at: Timestamp,
}

/// Suspicions and failures known to a daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct Detector {
    /// Suspicions by suspected member and observer.
    words: BTreeMap<NodeId, BTreeMap<NodeId, Word>>,
    /// Members that did not answer, with the time of the last failed call.
    silent: BTreeMap<NodeId, Timestamp>,
    /// Members that enough observers suspect, with the time since when this is so.
    enough_since: BTreeMap<NodeId, Timestamp>,
    /// Failures within the last [`ZONE_WINDOW`], by zone.
    failures: BTreeMap<Zone, BTreeMap<NodeId, Timestamp>>,
}

impl Detector {
    /// Records a suspicion or its withdrawal.
    pub(super) fn note(&mut self, suspicion: &Suspicion, now: Timestamp) {
        let words = self.words.entry(suspicion.node.clone()).or_default();
        let present = words.get(&suspicion.observer);
        if present.is_some_and(|word| word.incarnation > suspicion.incarnation) {
            return;
        }
        if suspicion.is_withdrawn {
            words.remove(&suspicion.observer);
            if words.is_empty() {
                self.words.remove(&suspicion.node);
            }
            return;
        }
        let word = Word {
            incarnation: suspicion.incarnation,
            at: now,
        };
        words.insert(suspicion.observer.clone(), word);
    }

    /// Records that a member did not answer.
    pub(super) fn note_silent(&mut self, id: &NodeId, now: Timestamp) {
        self.silent.insert(id.clone(), now);
    }

    /// Whether a member recently failed to answer and has not been heard from since.
    pub(super) fn is_silent(&self, id: &NodeId) -> bool {
        self.silent.contains_key(id)
    }

    /// Records that a message of a member arrived.
    pub(super) fn note_heard(&mut self, id: &NodeId) {
        self.silent.remove(id);
    }

    /// Removes all suspicions of a member.
    pub(super) fn clear(&mut self, id: &NodeId) {
        self.words.remove(id);
        self.enough_since.remove(id);
    }

    /// Whether `observer` has suspected a member within the last `age`.
    pub(super) fn has_word(
        &self,
        id: &NodeId,
        observer: &NodeId,
        age: Duration,
        now: Timestamp,
    ) -> bool {
        let word = self.words.get(id).and_then(|words| words.get(observer));
        word.is_some_and(|word| now.since(word.at) < age)
    }

    /// Whether `observer` suspects a member, however long ago it said so.
    pub(super) fn has_any_word(&self, id: &NodeId, observer: &NodeId) -> bool {
        let words = self.words.get(id);
        words.is_some_and(|words| words.contains_key(observer))
    }

    /// Removes expired suspicions, silences and failures.
    pub(super) fn expire(&mut self, now: Timestamp) {
        for words in self.words.values_mut() {
            words.retain(|_, word| now.since(word.at) < SUSPICION_AGE);
        }
        self.words.retain(|_, words| !words.is_empty());
        self.silent.retain(|_, at| now.since(*at) < SILENT_AGE);
        for failures in self.failures.values_mut() {
            failures.retain(|_, at| now.since(*at) < ZONE_WINDOW);
        }
        self.failures.retain(|_, failures| !failures.is_empty());
    }

    /// Members that at least one observer suspects.
    pub(super) fn suspects(&self) -> Vec<NodeId> {
        self.words.keys().cloned().collect()
    }

    /// Whether a member is to be declared failed.
    ///
    /// Observers that do not answer or are themselves suspected are not counted: in a network
    /// partition only the observers on this side can be asked.
    pub(super) fn is_verdict_due(
        &mut self,
        record: &MemberRecord,
        observers: &BTreeSet<NodeId>,
        now: Timestamp,
    ) -> bool {
        let has_enough = self.has_enough(record, observers);
        if !has_enough {
            self.enough_since.remove(&record.id);
            return false;
        }
        let since = self.enough_since.entry(record.id.clone()).or_insert(now);
        now.since(*since) >= CONFIRM_DELAY
    }

    fn has_enough(&self, record: &MemberRecord, observers: &BTreeSet<NodeId>) -> bool {
        let Some(words) = self.words.get(&record.id) else {
            return false;
        };
        let speaks = |id: &&NodeId| {
            let word = words.get(*id);
            word.is_some_and(|word| word.incarnation >= record.incarnation)
        };
        let can_speak =
            |id: &&NodeId| !self.words.contains_key(*id) && !self.silent.contains_key(*id);
        let speaking = observers.iter().filter(speaks).count();
        let able = observers
            .iter()
            .filter(|id| speaks(id) || can_speak(id))
            .count();
        speaking >= MIN_OBSERVERS.min(able).max(1)
    }

    /// Records a failure and returns the members of its zone that are cut off rather than failed.
    ///
    /// These are either none or all members that failed within [`ZONE_WINDOW`]. `zone_size` returns
    /// the number of members of the zone, including the failed ones.
    pub(super) fn note_failure(
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
