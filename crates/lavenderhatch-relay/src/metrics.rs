//! Metrics of the request path.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lavenderhatch_core::{ErrorKind, Timestamp};
use prometheus::core::Collector;
use prometheus::{
    Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};
use tracing::warn;

use crate::byte_holding::ReservationError;
use crate::log_rate_limiter::LogRateLimiter;
use crate::quota::QuotaMetrics;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0,
];

/// Counters and histograms of the request path.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    latency: HistogramVec,
    failures: IntCounterVec,
    /// Retries of requests, each on another backend server.
    pub(crate) retries: IntCounter,
    peer_bytes: IntCounterVec,
    /// Bodies of other daemons that were refused because the link was full of others.
    pub(crate) link_refusals: IntCounter,
    config_age: Gauge,
    store_era: IntGauge,
    quarantined: IntGauge,
    held_bytes: IntGauge,
    held_bytes_limit: IntGauge,
    held_bytes_waiting: IntGauge,
    held_bytes_refusals: IntCounterVec,
    connections: IntGaugeVec,
    connections_limit: IntGaugeVec,
    connections_closed: IntCounterVec,
    log_limiter: Arc<Mutex<LogRateLimiter>>,
    /// Limits of client accounts.
    pub(crate) quota: QuotaMetrics,
    rollout_share: GaugeVec,
    rollout_granted: GaugeVec,
    rollouts: IntCounterVec,
    backend_limit: IntGauge,
    backend_slots: IntGauge,
}

/// What an attempt at another daemon sent and received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerTraffic {
    /// Whether the daemon is in another availability zone.
    pub(crate) is_remote: bool,
    /// How the attempt ended: `answered`, `refused` or `failed`.
    pub(crate) outcome: &'static str,
    /// Bytes of the request, without framing.
    pub(crate) sent: usize,
    /// Bytes of the answer, without framing.
    pub(crate) received: usize,
}

impl Metrics {
    /// Registers the metrics with all counters at zero.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let float_gauge = |name: &str, help: &str| register(&registry, Gauge::new(name, help)?);
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help)?);
        let float_gauges = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, GaugeVec::new(Opts::new(name, help), labels)?)
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntGaugeVec::new(Opts::new(name, help), labels)?)
        };
        let latency = HistogramOpts::new(
            "lavenderhatch_answer_seconds",
            "Time from the head of a request to the answer of its backend server",
        );
        let latency = latency.buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        let retries = IntCounter::new(
            "lavenderhatch_retries_total",
            "Requests that were sent once more to another backend server",
        )?;
        let link_refusals = IntCounter::new(
            "lavenderhatch_link_refusals_total",
            "Bodies of other daemons that were refused because the link was full of others",
        )?;
        Ok(Self {
            latency: register(&registry, HistogramVec::new(latency, &["priority"])?)?,
            failures: register_counters(
                &registry,
                "lavenderhatch_failures_total",
                "Requests without an answer of a backend server, by error kind",
                &["error"],
            )?,
            retries: register(&registry, retries)?,
            link_refusals: register(&registry, link_refusals)?,
            peer_bytes: register_counters(
                &registry,
                "lavenderhatch_peer_bytes_total",
                "Bytes of requests to other daemons and of their answers",
                &["zone", "direction", "outcome"],
            )?,
            config_age: float_gauge(
                "lavenderhatch_config_age_seconds",
                "Time for which the configuration in force has not been confirmed as current; -1 if unknown",
            )?,
            store_era: gauge(
                "lavenderhatch_store_era",
                "Era that the store has last told, which rises when it is restored from an earlier copy",
            )?,
            quarantined: gauge(
                "lavenderhatch_quarantined_requests",
                "Requests that are refused because backend servers have crashed under them",
            )?,
            held_bytes: gauge(
                "lavenderhatch_held_bytes",
                "Bytes reserved for requests and answers, connections included",
            )?,
            held_bytes_limit: gauge(
                "lavenderhatch_held_bytes_limit",
                "Bytes that may be reserved; zero without a limit",
            )?,
            held_bytes_waiting: gauge(
                "lavenderhatch_held_bytes_waiting",
                "Requests and answers that wait for bytes",
            )?,
            held_bytes_refusals: register_counters(
                &registry,
                "lavenderhatch_held_bytes_refusals_total",
                "Requests and answers given up for lack of bytes, by reason",
                &["reason"],
            )?,
            connections: gauges(
                "lavenderhatch_connections",
                "Connections of a port",
                &["port"],
            )?,
            connections_limit: gauges(
                "lavenderhatch_connections_limit",
                "Connections that a port may have; zero without a limit",
                &["port"],
            )?,
            connections_closed: register_counters(
                &registry,
                "lavenderhatch_connections_closed_total",
                "Connections closed because a port had as many as it may have, by reason",
                &["port", "reason"],
            )?,
            log_limiter: Arc::default(),
            quota: QuotaMetrics::new(&registry)?,
            rollout_share: float_gauges(
                "lavenderhatch_rollout_share",
                "Share of the requests of a service that go to the new version, at the leader",
                &["service"],
            )?,
            rollout_granted: float_gauges(
                "lavenderhatch_rollout_granted",
                "Requests granted to the new version before all requests move, at the leader",
                &["service"],
            )?,
            rollouts: register_counters(
                &registry,
                "lavenderhatch_rollouts_total",
                "Rollouts that ended while this daemon led them, by result",
                &["result"],
            )?,
            backend_limit: gauge(
                "lavenderhatch_backend_limit",
                "Requests that may be in progress at the local backend server",
            )?,
            backend_slots: gauge(
                "lavenderhatch_backend_slots",
                "Slots that the local backend server has reported",
            )?,
            registry,
        })
    }

    pub(crate) fn record_answer(&self, priority: u8, took: Duration) {
        let priority = priority.to_string();
        let latency = self.latency.with_label_values(&[&priority]);
        latency.observe(took.as_secs_f64());
    }

    pub(crate) fn record_failure(&self, kind: ErrorKind) {
        self.failures.with_label_values(&[kind.as_str()]).inc();
    }

    pub(crate) fn record_peer_traffic(&self, traffic: &PeerTraffic) {
        let zone = match traffic.is_remote {
            true => "remote",
            false => "local",
        };
        for (direction, bytes) in [("sent", traffic.sent), ("received", traffic.received)] {
            let labels = [zone, direction, traffic.outcome];
            self.peer_bytes
                .with_label_values(&labels)
                .inc_by(bytes as u64);
        }
    }

    /// Sets the age of the configuration, which is read when the metrics are rendered.
    pub fn set_config_age(&self, age: Option<Duration>) {
        self.config_age
            .set(age.map_or(-1.0, |age| age.as_secs_f64()));
    }

    /// Sets the era of the store, which is read when the metrics are rendered.
    pub fn set_store_era(&self, era: u64) {
        self.store_era.set(era as i64);
    }

    /// Sets the number of quarantined requests, which is read when the metrics are rendered.
    pub fn set_quarantined(&self, requests: usize) {
        self.quarantined.set(requests as i64);
    }

    pub(crate) fn set_byte_limit(&self, bytes: usize) {
        self.held_bytes_limit.set(bytes as i64);
    }

    pub(crate) fn set_held_bytes(&self, reserved: usize, waiting: usize) {
        self.held_bytes.set(reserved as i64);
        self.held_bytes_waiting.set(waiting as i64);
    }

    pub(crate) fn held_bytes_waiting(&self) -> i64 {
        self.held_bytes_waiting.get()
    }

    /// Counts and logs a request or an answer that was given up for lack of bytes.
    pub(crate) fn record_reservation_error(&self, err: ReservationError, now: Timestamp) {
        let reason = match err {
            ReservationError::NeverFits => "never-fits",
            ReservationError::InUse => "in-use",
            ReservationError::TakenBack => "taken-back",
        };
        self.held_bytes_refusals.with_label_values(&[reason]).inc();
        if let Some(dropped) = self.admit_log_line(now) {
            let held = self.held_bytes.get();
            warn!(reason, held, dropped, "memory: a body was given up");
        }
    }

    pub(crate) fn set_connection_limit(&self, port: &str, max: usize) {
        let limit = self.connections_limit.with_label_values(&[port]);
        limit.set(max as i64);
    }

    pub(crate) fn set_connections(&self, port: &str, open: usize) {
        self.connections.with_label_values(&[port]).set(open as i64);
    }

    /// Counts and logs a connection that was closed because its port had too many.
    pub(crate) fn record_closed(&self, port: &str, reason: &str, now: Timestamp) {
        self.connections_closed
            .with_label_values(&[port, reason])
            .inc();
        if let Some(dropped) = self.admit_log_line(now) {
            let open = self.connections.with_label_values(&[port]).get();
            warn!(
                port,
                reason, open, dropped, "port: a connection was closed for lack of room"
            );
        }
    }

    /// Returns the number of lines dropped since the last one; `None` if a line must be dropped.
    fn admit_log_line(&self, now: Timestamp) -> Option<u64> {
        let limiter = self.log_limiter.lock();
        limiter.unwrap_or_else(PoisonError::into_inner).admit(now)
    }

    /// Records the share of the new version of a service, and the requests granted to it.
    pub fn record_rollout(&self, service: &str, share: f64, granted: u64) {
        let labels = [service];
        self.rollout_share.with_label_values(&labels).set(share);
        let granted_gauge = self.rollout_granted.with_label_values(&labels);
        granted_gauge.set(granted as f64);
    }

    /// Counts the end of a rollout.
    pub fn record_rollout_end(&self, is_completed: bool) {
        let result = match is_completed {
            true => "completed",
            false => "rolled-back",
        };
        self.rollouts.with_label_values(&[result]).inc();
    }

    /// Sets the limit of the local backend server and its slots, which are read when the metrics
    /// are rendered.
    pub fn set_backend_limit(&self, limit: u32, slots: u32) {
        self.backend_limit.set(i64::from(limit));
        self.backend_slots.set(i64::from(slots));
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render(&self) -> prometheus::Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

/// Registers a metric and returns it.
fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    metric: C,
) -> prometheus::Result<C> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

/// Registers counters with these labels and returns them.
pub(crate) fn register_counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    register(registry, IntCounterVec::new(Opts::new(name, help), labels)?)
}
