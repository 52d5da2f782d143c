//! The endpoints of all services over time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lavenderhatch_core::drain::Drains;
use lavenderhatch_core::endpoint::{Endpoint, EndpointCounters, Endpoints};
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{MemberRecord, MemberState, NodeId, ServiceName, Timestamp};

use super::ejection::Ejection;
use super::observed::Observed;
use super::outlier::{MIN_CALLS, find_outliers};
use super::weight::{SLOW_START, slow_start_weight};

/// Longest time over which calls are collected before a backend server is judged.
const MAX_WINDOW: Duration = Duration::from_secs(10);
/// Of this many backend servers of a service at most one is ejected.
const SERVERS_PER_EJECTION: usize = 3;

/// Time between two steps of a weight in slow start.
const WEIGHT_STEP: Duration = Duration::from_millis(500);

/// A backend server that was ejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// The backend server.
    pub node: NodeId,
    /// What was observed of it.
    pub observed: Observed,
    /// For how long it is ejected.
    pub time: Duration,
}

/// What is kept of one backend server.
#[derive(Debug, Default)]
struct Tracked {
    /// The record that was followed last.
    record: Option<Arc<MemberRecord>>,
    counters: Arc<EndpointCounters>,
    /// When it began to serve.
    since: Timestamp,
    ejection: Ejection,
    /// Counters at the start of the window.
    base: Observed,
    window_start: Timestamp,
}

/// Derives the endpoints from members, drains and own observations.
#[derive(Debug, Default)]
pub struct EndpointTracker {
    tracked: BTreeMap<NodeId, Tracked>,
    /// Backend servers that a stop in force keeps new work from.
    stopping: BTreeSet<NodeId>,
    /// Time from which no weight and no ejection changes by itself.
    settled_at: Timestamp,
    /// Time of the last derivation, `None` if it is out of date.
    derived_at: Option<Timestamp>,
}

impl EndpointTracker {
    /// Whether the backend servers that may be chosen differ from those derived last. Compares the
    /// shared records by address, which is cheap enough for each publication of the members.
    pub fn is_outdated(&self, members: &Members, drains: &Drains, now: Timestamp) -> bool {
        let is_same = |(node, record): (&NodeId, &Arc<MemberRecord>)| {
            let tracked = self.tracked.get(node);
            let followed = tracked.and_then(|tracked| tracked.record.as_ref());
            followed.is_some_and(|followed| Arc::ptr_eq(followed, record))
        };
        let is_settling = self.derived_at.is_none_or(|derived_at| {
            derived_at < self.settled_at && now.since(derived_at) >= WEIGHT_STEP
        });
        is_settling
            || members.by_id.len() != self.tracked.len()
            || !members.by_id.iter().all(is_same)
            || !drains
                .stopping_nodes()
                .all(|node| self.stopping.contains(node))
            || drains.stopping_nodes().collect::<BTreeSet<_>>().len() != self.stopping.len()
    }

    /// The backend servers that may be chosen at `now`.
    ///
    /// Members that serve are regular choices unless they are ejected or a stop in force keeps new
    /// work from them. Those, and members that others see as failed or unreachable, are a last
    /// resort, so that a wrong verdict never leaves a service without a backend server.
    pub fn derive(&mut self, members: &Members, drains: &Drains, now: Timestamp) -> Endpoints {
        self.tracked.retain(|id, _| members.by_id.contains_key(id));
        self.stopping = drains.stopping_nodes().cloned().collect();
        self.derived_at = Some(now);
        let mut endpoints = Endpoints::default();
        for record in members.by_id.values() {
            let tracked = self.tracked.entry(record.id.clone()).or_default();
            tracked.follow(record, now);
            self.settled_at = self.settled_at.max(tracked.since + SLOW_START);
            let is_serving = record.state == MemberState::Serving;
            let is_lost = matches!(record.state, MemberState::Failed | MemberState::Unreachable);
            if !is_serving && !is_lost {
                continue;
            }
            let is_avoided = tracked.ejection.is_ejected(now) || self.stopping.contains(&record.id);
            let endpoint = tracked.endpoint(record, is_lost || is_avoided, now);
            let service = endpoints.by_service.entry(record.service.clone());
            service.or_default().endpoints.push(endpoint);
        }
        endpoints
    }

    /// Judges the backend servers by the calls since they were judged last, and ejects outliers. To
    /// be called about once a second.
    pub fn judge(&mut self, members: &Members, now: Timestamp) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        for nodes in self.judged_services(members) {
            self.judge_service(&nodes, now, &mut changes);
        }
        for tracked in self.tracked.values_mut() {
            tracked.close_window(now);
        }
        if !changes.is_empty() {
            self.derived_at = None;
        }
        changes
    }

    /// Serving backend servers of each service of which one has enough calls to be judged.
    fn judged_services<'a>(&self, members: &'a Members) -> Vec<Vec<&'a NodeId>> {
        let is_judged = |record: &&Arc<MemberRecord>| {
            let tracked = self.tracked.get(&record.id);
            tracked.is_some_and(|tracked| tracked.observed().calls >= MIN_CALLS)
        };
        let judged = members.by_id.values().filter(is_judged);
        let mut services: BTreeMap<&ServiceName, Vec<&NodeId>> =
            judged.map(|record| (&record.service, Vec::new())).collect();
        if services.is_empty() {
            return Vec::new();
        }
        let serving = members.by_id.values();
        for record in serving.filter(|record| record.state == MemberState::Serving) {
            if let Some(nodes) = services.get_mut(&record.service) {
                nodes.push(&record.id);
            }
        }
        services.into_values().collect()
    }

    fn judge_service(
        &mut self,
        nodes: &[&NodeId],
        now: Timestamp,
        changes: &mut Vec<EndpointChange>,
    ) {
        let observe = |node: &&NodeId| {
            let tracked = self.tracked.get(*node);
            tracked.map_or(Observed::default(), Tracked::observed)
        };
        let observed: Vec<Observed> = nodes.iter().map(observe).collect();
        let is_ejected = |tracked: &Tracked| tracked.ejection.is_ejected(now);
        let ejected = nodes.iter().filter_map(|node| self.tracked.get(*node));
        let ejected = ejected.filter(|tracked| is_ejected(tracked)).count();
        let mut allowed = (nodes.len() / SERVERS_PER_EJECTION).saturating_sub(ejected);
        for at in find_outliers(&observed) {
            let Some(tracked) = self.tracked.get_mut(nodes[at]) else {
                continue;
            };
            if allowed == 0 || is_ejected(tracked) {
                continue;
            }
            allowed -= 1;
            changes.push(EndpointChange {
                node: nodes[at].clone(),
                observed: observed[at],
                time: tracked.eject(now),
            });
        }
    }
}

impl Tracked {
    /// Takes over the record's incarnation and state.
    fn follow(&mut self, record: &Arc<MemberRecord>, now: Timestamp) {
        let previous = self.record.replace(Arc::clone(record));
        let is_serving = |record: &MemberRecord| record.state == MemberState::Serving;
        let same_run = previous.filter(|previous| previous.incarnation == record.incarnation);
        match same_run {
            Some(previous) if is_serving(record) && !is_serving(&previous) => self.since = now,
            Some(_) => {}
            None => {
                // The start of the daemon is known, so that a daemon that meets long-running
                // members for the first time gives them their full weight.
                self.since = now.min(Timestamp(record.incarnation.0));
                self.ejection = Ejection::default();
                self.restart_window(now);
            }
        }
    }

    fn endpoint(&self, record: &MemberRecord, is_last_resort: bool, now: Timestamp) -> Endpoint {
        Endpoint {
            node: record.id.clone(),
            incarnation: record.incarnation,
            zone: record.zone.clone(),
            peer_addr: record.peer_addr,
            slots: record.slots.max(1),
            weight: slow_start_weight(now.since(self.since)),
            is_last_resort,
            counters: Arc::clone(&self.counters),
        }
    }

    fn observed(&self) -> Observed {
        Observed::total(&self.counters).after(self.base)
    }

    fn eject(&mut self, now: Timestamp) -> Duration {
        let time = self.ejection.eject(now);
        self.since = self.ejection.until();
        self.restart_window(now);
        time
    }

    fn close_window(&mut self, now: Timestamp) {
        let is_judged = self.observed().calls >= MIN_CALLS;
        if is_judged || now.since(self.window_start) >= MAX_WINDOW {
            self.restart_window(now);
        }
    }

    fn restart_window(&mut self, now: Timestamp) {
        self.base = Observed::total(&self.counters);
        self.window_start = now;
    }
}
