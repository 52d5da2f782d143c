//! The endpoints of all services over time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lavenderhatch_core::drain::Drains;
use lavenderhatch_core::endpoint::{Endpoint, EndpointCounters, Endpoints};
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{Incarnation, MemberRecord, MemberState, NodeId, ServiceName, Timestamp};

use super::ejection::Ejection;
use super::observed::Observed;
use super::outlier::{MIN_CALLS, find_outliers};
use super::weight::slow_start_weight;

/// Longest time over which calls are collected before a backend server is judged.
const MAX_WINDOW: Duration = Duration::from_secs(10);
/// Of this many backend servers of a service at most one is ejected.
const SERVERS_PER_EJECTION: usize = 3;

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
    incarnation: Incarnation,
    counters: Arc<EndpointCounters>,
    /// When it began to serve.
    since: Timestamp,
    is_serving: bool,
    ejection: Ejection,
    /// Counters at the start of the window.
    base: Observed,
    window_start: Timestamp,
}

/// Derives the endpoints from members, drains and own observations.
#[derive(Debug, Default)]
pub struct EndpointTracker {
    tracked: BTreeMap<NodeId, Tracked>,
}

impl EndpointTracker {
    /// The backend servers that may be chosen at `now`.
    ///
    /// Members that serve are regular choices unless they are ejected or a stop in force keeps new
    /// work from them. Those, and members that others see as failed or unreachable, are a last
    /// resort, so that a wrong verdict never leaves a service without a backend server.
    pub fn derive(&mut self, members: &Members, drains: &Drains, now: Timestamp) -> Endpoints {
        self.tracked.retain(|id, _| members.by_id.contains_key(id));
        let mut endpoints = Endpoints::default();
        for record in members.by_id.values() {
            let tracked = self.tracked.entry(record.id.clone()).or_default();
            tracked.follow(record, now);
            let is_serving = record.state == MemberState::Serving;
            let is_lost = matches!(record.state, MemberState::Failed | MemberState::Unreachable);
            if !is_serving && !is_lost {
                continue;
            }
            let is_avoided = tracked.ejection.is_ejected(now) || drains.is_stopping(&record.id);
            let endpoint = tracked.endpoint(record, is_lost || is_avoided, now);
            let service = endpoints.by_service.entry(record.service.clone());
            service.or_default().endpoints.push(endpoint);
        }
        endpoints
    }

    /// Judges the backend servers by the calls since they were judged last, and ejects outliers. To
    /// be called about once a second.
    pub fn judge(&mut self, members: &Members, now: Timestamp) -> Vec<EndpointChange> {
        let mut by_service: BTreeMap<&ServiceName, Vec<&NodeId>> = BTreeMap::new();
        let live = members.by_id.values();
        for record in live.filter(|record| record.state == MemberState::Serving) {
            by_service
                .entry(&record.service)
                .or_default()
                .push(&record.id);
        }
        let mut changes = Vec::new();
        for nodes in by_service.values() {
            self.judge_service(nodes, now, &mut changes);
        }
        for tracked in self.tracked.values_mut() {
            tracked.close_window(now);
        }
        changes
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
    fn follow(&mut self, record: &MemberRecord, now: Timestamp) {
        let is_serving = record.state == MemberState::Serving;
        if self.incarnation != record.incarnation {
            // The start of the daemon is known, so that a daemon that meets long-running members
            // for the first time gives them their full weight.
            self.incarnation = record.incarnation;
            self.since = now.min(Timestamp(record.incarnation.0));
            self.ejection = Ejection::default();
            self.restart_window(now);
        } else if is_serving && !self.is_serving {
            self.since = now;
        }
        self.is_serving = is_serving;
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
