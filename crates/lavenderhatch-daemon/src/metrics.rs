//! Metrics and recent calls of a daemon.
//!
//! Calls are counted at the caller port, and calls to the platform by a wrapper around its client.
//! All other metrics are read from the blackboard when they are collected. The values of each label
//! are limited by the mesh or by a fixed list.

mod board;
mod calls;
mod platform;
mod recent;

use std::time::Duration;

use eyre::Result;
use lavenderhatch_core::blackboard::Blackboard;
use lavenderhatch_core::call::CallResponse;
use lavenderhatch_core::{RouteName, Version};
use prometheus::core::Collector;
use prometheus::{Registry, TextEncoder};

use crate::peer::ControlBytes;

pub use platform::{ObservedPlatform, PlatformObserver, PlatformStatus};
pub use recent::{CallSummary, RecentCalls};

/// Metrics and recent calls of a daemon.
pub struct Telemetry {
    registry: Registry,
    board: board::BoardMetrics,
    calls: calls::CallMetrics,
    /// Metrics of calls to the platform.
    pub platform: PlatformObserver,
    /// Recent calls, for explanations to operators.
    pub recent: RecentCalls,
}

impl Telemetry {
    /// Registers all metrics of a daemon.
    pub fn open() -> Result<Self> {
        let registry = Registry::new();
        Ok(Self {
            board: board::BoardMetrics::open(&registry)?,
            calls: calls::CallMetrics::open(&registry)?,
            platform: PlatformObserver::open(&registry)?,
            recent: RecentCalls::default(),
            registry,
        })
    }

    /// Records an answered call in the metrics and in the recent calls.
    pub fn record_call(
        &self,
        call: &CallSummary<'_>,
        route: Option<&RouteName>,
        version: Version,
        answer: &CallResponse,
        elapsed: Duration,
    ) {
        self.calls.record(route, call.body_bytes, answer, elapsed);
        self.recent.record(call, route, version, answer, elapsed);
    }

    /// Counts a request that was rejected before it reached the request path.
    pub fn count_rejected(&self, answer: &CallResponse, elapsed: Duration) {
        self.calls.record(None, 0, answer, elapsed);
    }

    /// Returns the metrics in the text format of Prometheus.
    pub fn encode(&self, board: &Blackboard, control: ControlBytes) -> Result<String> {
        self.board.refresh(board, control);
        self.platform.refresh();
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

/// Registers a metric and returns it.
fn register<C: Collector + Clone + 'static>(registry: &Registry, metric: C) -> Result<C> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
