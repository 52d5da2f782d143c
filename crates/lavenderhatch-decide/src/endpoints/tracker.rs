//! Tracking of the endpoints of all services.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lavenderhatch_core::drain::Drains;
use lavenderhatch_core::endpoint::{Endpoint, EndpointCounters, Endpoints};
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{MemberRecord, MemberState, NodeId, ServiceName, Timestamp};

use super::call_stats::CallStats;
use super::ejection::Ejection;
use super::outlier::{MIN_CALLS, find_outliers};
use super::weight::{SLOW_START, slow_start_weight};

/// Maximum time over which calls are collected to evaluate a backend server.
const MAX_WINDOW: Duration = Duration::from_secs(10);
/// Number of backend servers of a service per ejected one, so that at most a third is ejected.
const SERVERS_PER_EJECTION: usize = 3;

/// Interval at which weights are updated in slow start.
const WEIGHT_STEP: Duration = Duration::from_millis(500);

/// Ejection of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectedEndpoint {
    /// Ejected backend server.
    pub node: NodeId,
    /// Statistics of the calls for which it was ejected.
    pub stats: CallStats,
    /// Duration of the ejection.
    pub duration: Duration,
}

/// Tracked state of one backend server.
#[derive(Debug, Default)]
struct TrackedEndpoint {
    /// Last member record.
    record: Option<Arc<MemberRecord>>,
    counters: Arc<EndpointCounters>,
    /// Start of its slow start: when it began to serve, or the end of its last ejection.
    started_at: Timestamp,
    ejection: Ejection,
    /// Counters at `window_start`.
    window_base: CallStats,
    /// Start of the window over which calls are collected.
    window_start: Timestamp,
}

/// Derives the endpoints from members, drains and the calls that this daemon has observed.
#[derive(Debug, Default)]
pub struct EndpointTracker {
    tracked: BTreeMap<NodeId, TrackedEndpoint>,
    /// Backend servers that a stop in force excludes from new work.
    stopping: BTreeSet<NodeId>,
    /// Latest end of a slow start, after which no weight and no ejection changes with time alone.
    last_slow_start_end: Timestamp,
    /// Time of the last derivation; `None` if it is out of date.
    derived_at: Option<Timestamp>,
}

impl EndpointTracker {
    /// Whether the endpoints must be derived again.
    ///
    /// Compares the shared records by address, which is cheap enough for each publication of the
    /// members.
    pub fn is_outdated(&self, members: &Members, drains: &Drains, now: Timestamp) -> bool {
        let is_same = |(node, record): (&NodeId, &Arc<MemberRecord>)| {
            let tracked = self.tracked.get(node);
            let tracked_record = tracked.and_then(|tracked| tracked.record.as_ref());
            tracked_record.is_some_and(|tracked_record| Arc::ptr_eq(tracked_record, record))
        };
        let is_weight_due = self.derived_at.is_none_or(|derived_at| {
            derived_at < self.last_slow_start_end && now.since(derived_at) >= WEIGHT_STEP
        });
        is_weight_due
            || members.by_id.len() != self.tracked.len()
            || !members.by_id.iter().all(is_same)
            || !drains
                .stopping_nodes()
                .all(|node| self.stopping.contains(node))
            || drains.stopping_nodes().collect::<BTreeSet<_>>().len() != self.stopping.len()
    }

    /// Returns the backend servers that may be chosen at `now`.
    ///
    /// Serving members are regular choices unless they are ejected or a stop in force excludes them
    /// from new work. All other serving members, and members declared failed or unreachable, are a
    /// last resort, so that a wrong decision never leaves a service without a backend server.
    pub fn derive(&mut self, members: &Members, drains: &Drains, now: Timestamp) -> Endpoints {
        self.tracked.retain(|id, _| members.by_id.contains_key(id));
        self.stopping = drains.stopping_nodes().cloned().collect();
        self.derived_at = Some(now);
        let mut endpoints = Endpoints::default();
        for record in members.by_id.values() {
            let tracked = self.tracked.entry(record.id.clone()).or_default();
            tracked.update_record(record, now);
            self.last_slow_start_end = self
                .last_slow_start_end
                .max(tracked.started_at + SLOW_START);
            let is_serving = record.state == MemberState::Serving;
            let is_failed = matches!(record.state, MemberState::Failed | MemberState::Unreachable);
            if !is_serving && !is_failed {
                continue;
            }
            let is_avoided = tracked.ejection.is_ejected(now) || self.stopping.contains(&record.id);
            let endpoint = tracked.endpoint(record, is_failed || is_avoided, now);
            let service = endpoints.by_service.entry(record.service.clone());
            service.or_default().endpoints.push(endpoint);
        }
        endpoints
    }

    /// Evaluates the backend servers by the calls since their last evaluation, and ejects outliers.
    ///
    /// Must be called about once per second.
    pub fn eject_outliers(&mut self, members: &Members, now: Timestamp) -> Vec<EjectedEndpoint> {
        let mut changes = Vec::new();
        for nodes in self.services_to_evaluate(members) {
            self.eject_outliers_of_service(&nodes, now, &mut changes);
        }
        for tracked in self.tracked.values_mut() {
            tracked.close_window(now);
        }
        if !changes.is_empty() {
            self.derived_at = None;
        }
        changes
    }

    /// Returns the serving backend servers of each service in which at least one member has enough
    /// calls to be evaluated.
    fn services_to_evaluate<'a>(&self, members: &'a Members) -> Vec<Vec<&'a NodeId>> {
        let has_enough_calls = |record: &&Arc<MemberRecord>| {
            let tracked = self.tracked.get(&record.id);
            tracked.is_some_and(|tracked| tracked.stats().calls >= MIN_CALLS)
        };
        let evaluated = members.by_id.values().filter(has_enough_calls);
        let mut services: BTreeMap<&ServiceName, Vec<&NodeId>> = evaluated
            .map(|record| (&record.service, Vec::new()))
            .collect();
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

    fn eject_outliers_of_service(
        &mut self,
        nodes: &[&NodeId],
        now: Timestamp,
        changes: &mut Vec<EjectedEndpoint>,
    ) {
        let observe = |node: &&NodeId| {
            let tracked = self.tracked.get(*node);
            tracked.map_or(CallStats::default(), TrackedEndpoint::stats)
        };
        let observed: Vec<CallStats> = nodes.iter().map(observe).collect();
        let is_ejected = |tracked: &TrackedEndpoint| tracked.ejection.is_ejected(now);
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
            changes.push(EjectedEndpoint {
                node: nodes[at].clone(),
                stats: observed[at],
                duration: tracked.eject(now),
            });
        }
    }
}

impl TrackedEndpoint {
    /// Takes over a member record, and restarts slow start if the member begins to serve.
    fn update_record(&mut self, record: &Arc<MemberRecord>, now: Timestamp) {
        let previous = self.record.replace(Arc::clone(record));
        let is_serving = |record: &MemberRecord| record.state == MemberState::Serving;
        let same_incarnation =
            previous.filter(|previous| previous.incarnation == record.incarnation);
        match same_incarnation {
            Some(previous) if is_serving(record) && !is_serving(&previous) => self.started_at = now,
            Some(_) => {}
            None => {
                // The incarnation is the start time of the daemon. Long-running members therefore
                // get their full weight even if this daemon has not known them before.
                self.started_at = now.min(Timestamp(record.incarnation.0));
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
            weight: slow_start_weight(now.since(self.started_at)),
            is_last_resort,
            counters: Arc::clone(&self.counters),
        }
    }

    fn stats(&self) -> CallStats {
        CallStats::from_counters(&self.counters).since(self.window_base)
    }

    fn eject(&mut self, now: Timestamp) -> Duration {
        let duration = self.ejection.eject(now);
        self.started_at = self.ejection.until();
        self.restart_window(now);
        duration
    }

    fn close_window(&mut self, now: Timestamp) {
        let has_enough_calls = self.stats().calls >= MIN_CALLS;
        if has_enough_calls || now.since(self.window_start) >= MAX_WINDOW {
            self.restart_window(now);
        }
    }

    fn restart_window(&mut self, now: Timestamp) {
        self.window_base = CallStats::from_counters(&self.counters);
        self.window_start = now;
    }
}
