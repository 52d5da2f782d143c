//! Failure detection: who is silent, who says so, and whether a whole zone is cut off.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lavenderhatch_core::{Incarnation, MemberRecord, NodeId, Timestamp, Zone};

use crate::message::Suspicion;

/// Silence after which an observer suspects a member.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Observers that have to suspect a member before it counts as failed.
pub const MIN_OBSERVERS: usize = 4;
/// Time between enough suspicions and the verdict, in which a withdrawal may still arrive.
pub const CONFIRM_TIME: Duration = Duration::from_millis(500);
/// Time in which the failures of a zone are counted together.
pub const ZONE_WINDOW: Duration = Duration::from_secs(10);
/// Part of a zone, in percent, whose failure within the window means that the zone is cut off.
const ZONE_PERCENT: usize = 30;
/// Fewest failures that mean that a zone is cut off. One member of a zone of three is more than
/// 30%, and its failure says nothing about the zone.
const MIN_ZONE_FAILURES: usize = 2;
/// Age at which a suspicion no longer counts. Its observer repeats it more often than that.
const SUSPICION_AGE: Duration = Duration::from_secs(6);
/// Time for which a member that did not answer does not count as an observer.
const SILENT_AGE: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug)]
struct Word {
    incarnation: Incarnation,
    at: Timestamp,
}

/// Suspicions and failures that a daemon knows of.
#[derive(Clone, Debug, Default)]
pub(super) struct Detector {
    /// By member and observer.
    words: BTreeMap<NodeId, BTreeMap<NodeId, Word>>,
    /// Members that did not answer, and when.
    silent: BTreeMap<NodeId, Timestamp>,
    /// Since when enough observers suspect a member.
    enough_since: BTreeMap<NodeId, Timestamp>,
    /// Failures of the last [`ZONE_WINDOW`].
    failures: BTreeMap<Zone, BTreeMap<NodeId, Timestamp>>,
}

impl Detector {
    /// Notes a suspicion or its withdrawal.
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

    /// Notes that a member did not answer.
    pub(super) fn note_silent(&mut self, id: &NodeId, now: Timestamp) {
        self.silent.insert(id.clone(), now);
    }

    /// Whether a member did not answer lately.
    pub(super) fn is_silent(&self, id: &NodeId) -> bool {
        self.silent.contains_key(id)
    }

    /// Notes that a member was heard.
    pub(super) fn note_heard(&mut self, id: &NodeId) {
        self.silent.remove(id);
    }

    /// Forgets what was said about a member.
    pub(super) fn clear(&mut self, id: &NodeId) {
        self.words.remove(id);
        self.enough_since.remove(id);
    }

    /// Whether `observer` suspects a member since less than `age`.
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

    /// Whether `observer` suspects a member.
    pub(super) fn has_any_word(&self, id: &NodeId, observer: &NodeId) -> bool {
        let words = self.words.get(id);
        words.is_some_and(|words| words.contains_key(observer))
    }

    /// Drops what no longer counts.
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

    /// Members that someone suspects.
    pub(super) fn suspects(&self) -> Vec<NodeId> {
        self.words.keys().cloned().collect()
    }

    /// Whether a member is to be declared failed.
    ///
    /// Observers that do not answer or are themselves suspect are left out: behind a cut, only the
    /// observers on this side can be asked.
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
        now.since(*since) >= CONFIRM_TIME
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

    /// Notes a failure and returns the members of its zone that are cut off rather than failed:
    /// none, or all that failed within the window.
    ///
    /// `zone_size` is the number of members that the zone has with those that failed.
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
