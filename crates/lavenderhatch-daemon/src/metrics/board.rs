//! Metrics that are read from the blackboard and the peer links on each collection.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use eyre::Result;
use lavenderhatch_core::blackboard::Blackboard;
use lavenderhatch_core::drain::StopPhase;
use lavenderhatch_core::load::LoadSnapshot;
use lavenderhatch_core::{MemberState, Version};
use prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

use super::register;
use crate::peer::ControlBytes;

/// Values of the label `state`. Each has a gauge, also while no member is in that state.
const MEMBER_STATES: &[(MemberState, &str)] = &[
    (MemberState::Starting, "starting"),
    (MemberState::Serving, "serving"),
    (MemberState::Leaving, "leaving"),
    (MemberState::Left, "left"),
    (MemberState::Failed, "failed"),
    (MemberState::Unreachable, "unreachable"),
];

/// Values of the label `phase`. Each has a gauge, also while no stop is in that phase.
const STOP_PHASES: &[(StopPhase, &str)] = &[
    (StopPhase::Planned, "planned"),
    (StopPhase::Held, "held"),
    (StopPhase::Leaving, "leaving"),
    (StopPhase::Drained, "drained"),
    (StopPhase::Overdue, "overdue"),
];

/// Gauges and counters that are copied from the blackboard.
pub(super) struct BoardMetrics {
    version: IntGauge,
    newest_version: IntGauge,
    floor_version: IntGauge,
    applied_at: Gauge,
    size: IntGauge,
    members: IntGaugeVec,
    stops: IntGaugeVec,
    limit: IntGauge,
    in_flight: IntGauge,
    queued: IntGaugeVec,
    admitted: IntCounterVec,
    refused: IntCounterVec,
    claims: IntCounterVec,
    audit_events: IntCounterVec,
    audit_dropped: IntCounter,
    control_bytes: IntCounterVec,
    /// Serializes collections, so that each difference is added to a counter only once.
    collection: Mutex<CollectionState>,
}

/// State that is kept from one collection to the next.
#[derive(Default)]
struct CollectionState {
    /// Version for which the size gauge was last computed.
    sized_version: Version,
}

impl BoardMetrics {
    pub(super) fn open(registry: &Registry) -> Result<Self> {
        let gauge = |name: &str, help: &str| register(registry, IntGauge::new(name, help)?);
        let gauges = |name: &str, help: &str, label: &str| {
            register(registry, IntGaugeVec::new(Opts::new(name, help), &[label])?)
        };
        let counters = |name: &str, help: &str, label: &str| {
            register(
                registry,
                IntCounterVec::new(Opts::new(name, help), &[label])?,
            )
        };
        let applied = Gauge::new(
            "lavenderhatch_config_applied_timestamp_seconds",
            "When the version in force was put in force",
        )?;
        let dropped = IntCounter::new(
            "lavenderhatch_audit_events_dropped_total",
            "Audit events that this daemon dropped",
        )?;
        Ok(Self {
            version: gauge(
                "lavenderhatch_config_version",
                "Version in force, 0 for none",
            )?,
            newest_version: gauge(
                "lavenderhatch_config_newest_version",
                "Highest version that a linked member holds",
            )?,
            floor_version: gauge(
                "lavenderhatch_config_floor_version",
                "Highest version that a member has seen this daemon hold",
            )?,
            applied_at: register(registry, applied)?,
            size: gauge(
                "lavenderhatch_config_size_bytes",
                "Canonical encoding of the mesh in force",
            )?,
            members: gauges("lavenderhatch_members", "Known members", "state")?,
            stops: gauges("lavenderhatch_stops", "Planned stops", "phase")?,
            limit: gauge(
                "lavenderhatch_concurrency_limit",
                "Requests that may run at the same time",
            )?,
            in_flight: gauge("lavenderhatch_requests_in_flight", "Requests that run")?,
            queued: gauges(
                "lavenderhatch_requests_queued",
                "Requests that wait",
                "rank",
            )?,
            admitted: counters(
                "lavenderhatch_requests_admitted_total",
                "Requests admitted",
                "rank",
            )?,
            refused: counters(
                "lavenderhatch_requests_refused_total",
                "Requests refused",
                "rank",
            )?,
            claims: counters("lavenderhatch_claims_total", "Claims of orders", "result")?,
            audit_events: counters("lavenderhatch_audit_events_total", "Audit events", "action")?,
            audit_dropped: register(registry, dropped)?,
            control_bytes: counters(
                "lavenderhatch_control_bytes_total",
                "Bytes of messages between daemons that carry no calls",
                "direction",
            )?,
            collection: Mutex::default(),
        })
    }

    /// Updates all metrics from the blackboard and from the byte counts of the peer links.
    pub(super) fn refresh(&self, board: &Blackboard, control: ControlBytes) {
        let mut collection = self
            .collection
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.refresh_config(board, &mut collection);
        self.refresh_members(board);
        self.refresh_stops(board);
        self.refresh_load(&board.load.load());
        self.refresh_claims_and_audit(board);
        for (direction, bytes) in [("sent", control.sent), ("received", control.received)] {
            advance_to(&self.control_bytes.with_label_values(&[direction]), bytes);
        }
    }

    fn refresh_config(&self, board: &Blackboard, collection: &mut CollectionState) {
        let members = board.members.load();
        let newest = members
            .reported_versions
            .values()
            .map(|reported| reported.version.0)
            .max();
        self.newest_version.set(newest.unwrap_or(0) as i64);
        self.floor_version.set(members.version_floor.0 as i64);
        let config = board.config.load();
        let Some(config) = config.as_ref() else {
            return;
        };
        self.version.set(config.version.0 as i64);
        self.applied_at
            .set(config.applied_at.as_millis() as f64 / 1000.0);
        if collection.sized_version != config.version {
            collection.sized_version = config.version;
            self.size
                .set(config.mesh.spec().to_canonical().len() as i64);
        }
    }

    fn refresh_members(&self, board: &Blackboard) {
        let members = board.members.load();
        for (state, label) in MEMBER_STATES {
            let in_state = members
                .by_id
                .values()
                .filter(|record| record.state == *state);
            self.members
                .with_label_values(&[label])
                .set(in_state.count() as i64);
        }
    }

    fn refresh_stops(&self, board: &Blackboard) {
        let drains = board.drains.load();
        for (phase, label) in STOP_PHASES {
            let in_phase = drains.stops.values().filter(|stop| stop.phase == *phase);
            self.stops
                .with_label_values(&[label])
                .set(in_phase.count() as i64);
        }
    }

    fn refresh_load(&self, load: &LoadSnapshot) {
        self.limit.set(load.limit.into());
        self.in_flight.set(load.in_flight.into());
        // Removes the gauges of ranks that are no longer in the mesh.
        self.queued.reset();
        for (rank, rank_load) in &load.ranks {
            let label = [rank.as_str()];
            self.queued
                .with_label_values(&label)
                .set(rank_load.queued.into());
            advance_to(&self.admitted.with_label_values(&label), rank_load.admitted);
            advance_to(&self.refused.with_label_values(&label), rank_load.refused);
        }
    }

    fn refresh_claims_and_audit(&self, board: &Blackboard) {
        let claims = board.claims.load();
        let by_result = BTreeMap::from([
            ("granted", claims.granted),
            ("refused", claims.refused),
            ("conflict", claims.conflicts),
        ]);
        for (result, count) in by_result {
            advance_to(&self.claims.with_label_values(&[result]), count);
        }
        let audit = board.audit.load();
        for (action, count) in &audit.totals {
            advance_to(
                &self.audit_events.with_label_values(&[action.as_str()]),
                *count,
            );
        }
        advance_to(&self.audit_dropped, audit.dropped);
    }
}

/// Advances a counter to a total that is kept elsewhere. Never decreases it.
fn advance_to(counter: &IntCounter, count: u64) {
    counter.inc_by(count.saturating_sub(counter.get()));
}
