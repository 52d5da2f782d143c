//! Metrics of a daemon, and what it keeps of recent calls.
//!
//! Calls are counted at the caller port, platform calls around the client. All else is read from
//! the blackboard when the metrics are collected. Label sets are bounded by the mesh and by closed
//! lists.

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

/// What a daemon observes of itself.
pub struct Telemetry {
    registry: Registry,
    board: board::BoardMetrics,
    calls: calls::CallMetrics,
    /// Calls to the platform.
    pub platform: PlatformObserver,
    /// Recent calls.
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

    /// Counts and keeps an answered call.
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

    /// Counts a request that could not be read.
    pub fn count_rejected(&self, answer: &CallResponse, elapsed: Duration) {
        self.calls.record(None, 0, answer, elapsed);
    }

    /// The metrics in the text format of Prometheus.
    pub fn encode(&self, board: &Blackboard, control: ControlBytes) -> Result<String> {
        self.board.refresh(board, control);
        self.platform.refresh();
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

/// Registers a metric and gives it back.
fn register<C: Collector + Clone + 'static>(registry: &Registry, metric: C) -> Result<C> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
