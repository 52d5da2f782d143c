//! Metrics of calls by route, outcome and error kind.

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use eyre::Result;
use lavenderhatch_core::call::CallResponse;
use lavenderhatch_core::error_kind::Outcome;
use lavenderhatch_core::{ErrorKind, RouteName};
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry,
};

use super::register;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
    10.0, 60.0,
];
/// Maximum number of routes with a label of their own. Further ones share one label.
const MAX_ROUTES: usize = 4096;
/// Label of calls that match no route. It cannot be the name of a route, because names contain no
/// underscore.
const NO_ROUTE: &str = "_none";
/// Label of the routes beyond the limit.
const OTHER_ROUTES: &str = "_other";
/// Label of calls without an error.
const NO_ERROR: &str = "none";
/// Outcomes of answers without an error kind.
const OUTCOMES: [Outcome; 3] = [Outcome::Ran, Outcome::NotRun, Outcome::Unknown];

/// Metrics of calls.
///
/// Recording takes no lock: routes are looked up in a snapshot, and counters are atomics.
pub(super) struct CallMetrics {
    calls: IntCounterVec,
    durations: HistogramVec,
    request_bytes: IntCounter,
    answer_bytes: IntCounter,
    by_route: ArcSwap<HashMap<RouteName, Arc<RouteMetrics>>>,
    no_route: RouteMetrics,
    other_routes: Arc<RouteMetrics>,
}

/// Metrics of one route.
struct RouteMetrics {
    label: String,
    duration: Histogram,
    /// Counters by outcome for answers of back ends, followed by counters by error kind.
    calls: Vec<OnceLock<IntCounter>>,
}

impl CallMetrics {
    pub(super) fn open(registry: &Registry) -> Result<Self> {
        let calls = IntCounterVec::new(
            Opts::new(
                "lavenderhatch_calls_total",
                "Calls answered at the caller port",
            ),
            &["route", "outcome", "error"],
        )?;
        let durations = HistogramVec::new(
            HistogramOpts::new(
                "lavenderhatch_call_duration_seconds",
                "From the arrival of a whole request to its answer",
            )
            .buckets(LATENCY_BUCKETS.to_vec()),
            &["route"],
        )?;
        let bytes = IntCounterVec::new(
            Opts::new("lavenderhatch_call_body_bytes_total", "Bodies of calls"),
            &["direction"],
        )?;
        let bytes = register(registry, bytes)?;
        let durations = register(registry, durations)?;
        Ok(Self {
            calls: register(registry, calls)?,
            request_bytes: bytes.with_label_values(&["request"]),
            answer_bytes: bytes.with_label_values(&["answer"]),
            by_route: ArcSwap::default(),
            no_route: RouteMetrics::new(NO_ROUTE, &durations),
            other_routes: Arc::new(RouteMetrics::new(OTHER_ROUTES, &durations)),
            durations,
        })
    }

    pub(super) fn record(
        &self,
        route: Option<&RouteName>,
        body_bytes: usize,
        answer: &CallResponse,
        elapsed: Duration,
    ) {
        self.request_bytes.inc_by(body_bytes as u64);
        self.answer_bytes.inc_by(answer.body.len() as u64);
        match route {
            None => self.no_route.record(&self.calls, answer, elapsed),
            Some(name) => {
                let known = self.by_route.load().get(name).cloned();
                let metrics = known.unwrap_or_else(|| self.add_route(name));
                metrics.record(&self.calls, answer, elapsed);
            }
        }
    }

    fn add_route(&self, name: &RouteName) -> Arc<RouteMetrics> {
        if self.by_route.load().len() >= MAX_ROUTES {
            return Arc::clone(&self.other_routes);
        }
        let added = Arc::new(RouteMetrics::new(name.as_str(), &self.durations));
        self.by_route.rcu(|routes| {
            let mut routes = HashMap::clone(routes);
            routes
                .entry(name.clone())
                .or_insert_with(|| Arc::clone(&added));
            routes
        });
        added
    }
}

impl RouteMetrics {
    fn new(label: &str, durations: &HistogramVec) -> Self {
        let counters = OUTCOMES.len() + ErrorKind::ALL.len();
        Self {
            label: label.to_owned(),
            duration: durations.with_label_values(&[label]),
            calls: (0..counters).map(|_| OnceLock::new()).collect(),
        }
    }

    fn record(&self, calls: &IntCounterVec, answer: &CallResponse, elapsed: Duration) {
        self.duration.observe(elapsed.as_secs_f64());
        let index = match answer.error {
            None => OUTCOMES
                .iter()
                .position(|outcome| *outcome == answer.outcome)
                .unwrap_or(0),
            Some(kind) => OUTCOMES.len() + usize::from(kind.code()),
        };
        let counter = self.calls[index].get_or_init(|| {
            let outcome = answer
                .error
                .map_or(answer.outcome, |kind| kind.response().outcome);
            let error = answer.error.map_or(NO_ERROR, ErrorKind::as_str);
            calls.with_label_values(&[self.label.as_str(), outcome.as_str(), error])
        });
        counter.inc();
    }
}
