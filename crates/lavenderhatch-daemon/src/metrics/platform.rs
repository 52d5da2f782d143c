//! Metrics of calls to the platform, which a wrapper around its client records.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use eyre::Result;
use lavenderhatch_core::Timestamp;
use lavenderhatch_platform::{Object, ObjectMeta, Platform, PlatformError, Precondition};
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry};
use serde::{Deserialize, Serialize};

use super::register;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

/// Reachability of the platform, as the calls of this daemon have shown it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// Whether the last call was answered.
    pub is_reachable: bool,
    /// When the platform last answered, if it ever did.
    pub last_answer: Option<Timestamp>,
    /// When a call last failed, if one ever did.
    pub last_failure: Option<Timestamp>,
}

/// Metrics of calls to the platform. Clones share them.
#[derive(Clone)]
pub struct PlatformObserver {
    calls: IntCounterVec,
    durations: HistogramVec,
    bytes: IntCounterVec,
    reachable: IntGauge,
    last: Arc<LastResults>,
}

/// Results of the last calls.
///
/// Times are in milliseconds since the Unix epoch, or zero if there is none.
#[derive(Default)]
struct LastResults {
    /// Whether the last call was answered.
    ///
    /// The times alone do not tell, because two calls may end in the same millisecond.
    is_answered: AtomicBool,
    answer: AtomicU64,
    failure: AtomicU64,
}

impl PlatformObserver {
    pub(super) fn open(registry: &Registry) -> Result<Self> {
        let calls = IntCounterVec::new(
            Opts::new(
                "lavenderhatch_platform_calls_total",
                "Calls to the platform",
            ),
            &["operation", "outcome"],
        )?;
        let durations = HistogramVec::new(
            HistogramOpts::new(
                "lavenderhatch_platform_call_duration_seconds",
                "Duration of calls to the platform, without waiting watches",
            )
            .buckets(LATENCY_BUCKETS.to_vec()),
            &["operation"],
        )?;
        let bytes = IntCounterVec::new(
            Opts::new(
                "lavenderhatch_platform_bytes_total",
                "Values read from and written to the platform",
            ),
            &["direction"],
        )?;
        let reachable = IntGauge::new(
            "lavenderhatch_platform_reachable",
            "1 if the platform answered the last call, else 0",
        )?;
        Ok(Self {
            calls: register(registry, calls)?,
            durations: register(registry, durations)?,
            bytes: register(registry, bytes)?,
            reachable: register(registry, reachable)?,
            last: Arc::default(),
        })
    }

    /// Returns the reachability of the platform.
    pub fn status(&self) -> PlatformStatus {
        let time = |at: &AtomicU64| match at.load(Ordering::Relaxed) {
            0 => None,
            millis => Some(Timestamp(millis)),
        };
        PlatformStatus {
            is_reachable: self.last.is_answered.load(Ordering::Relaxed),
            last_answer: time(&self.last.answer),
            last_failure: time(&self.last.failure),
        }
    }

    pub(super) fn refresh(&self) {
        self.reachable.set(self.status().is_reachable.into());
    }

    fn observe<T>(
        &self,
        operation: &str,
        call: impl FnOnce() -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        let start = Instant::now();
        let result = call();
        if operation != "watch" {
            let elapsed = start.elapsed().as_secs_f64();
            self.durations
                .with_label_values(&[operation])
                .observe(elapsed);
        }
        let outcome = result.as_ref().map_or_else(outcome, |_| "ok");
        self.calls.with_label_values(&[operation, outcome]).inc();
        let is_answered = !result.as_ref().is_err_and(is_outage);
        self.last.is_answered.store(is_answered, Ordering::Relaxed);
        let time = match is_answered {
            true => &self.last.answer,
            false => &self.last.failure,
        };
        time.store(
            Timestamp::from_system_clock().as_millis(),
            Ordering::Relaxed,
        );
        result
    }

    fn count_bytes(&self, direction: &str, bytes: usize) {
        self.bytes
            .with_label_values(&[direction])
            .inc_by(bytes as u64);
    }

    fn count_read(&self, read: &Result<Option<Object>, PlatformError>) {
        if let Ok(Some(object)) = read {
            self.count_bytes("read", object.value.len());
        }
    }
}

fn outcome(err: &PlatformError) -> &'static str {
    match err {
        PlatformError::Conflict { .. } => "conflict",
        PlatformError::TooLarge { .. } => "too-large",
        PlatformError::RateLimited => "rate-limited",
        PlatformError::Unreachable(_) => "unreachable",
        PlatformError::ResponseLost(_) => "answer-lost",
        PlatformError::InvalidResponse(_) => "bad-answer",
    }
}

fn is_outage(err: &PlatformError) -> bool {
    matches!(
        err,
        PlatformError::Unreachable(_) | PlatformError::ResponseLost(_)
    )
}

/// A platform client that records metrics of its calls.
#[derive(Clone)]
pub struct ObservedPlatform<P> {
    platform: P,
    observer: PlatformObserver,
}

impl<P: Platform> ObservedPlatform<P> {
    /// Wraps `platform`, so that `observer` records its calls.
    pub fn new(platform: P, observer: PlatformObserver) -> Self {
        Self { platform, observer }
    }
}

impl<P: Platform> Platform for ObservedPlatform<P> {
    fn get(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        let read = self.observer.observe("get", || self.platform.get(name));
        self.observer.count_read(&read);
        read
    }

    fn list(&self, prefix: &str) -> Result<Vec<ObjectMeta>, PlatformError> {
        self.observer.observe("list", || self.platform.list(prefix))
    }

    fn put(&self, name: &str, value: &[u8], expected: Precondition) -> Result<u64, PlatformError> {
        self.observer.count_bytes("written", value.len());
        self.observer
            .observe("put", || self.platform.put(name, value, expected))
    }

    fn delete(&self, name: &str, version: u64) -> Result<(), PlatformError> {
        self.observer
            .observe("delete", || self.platform.delete(name, version))
    }

    fn watch(
        &self,
        name: &str,
        seen: u64,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let read = self
            .observer
            .observe("watch", || self.platform.watch(name, seen, timeout));
        self.observer.count_read(&read);
        read
    }
}
