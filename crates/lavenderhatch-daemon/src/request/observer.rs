//! Records the calls at the caller port in the metrics and in the list of recent calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lavenderhatch_core::call::CallResponse;
use lavenderhatch_core::{ConfigSnapshot, NodeId, Timestamp, Version};

use super::path::{IncomingRequest, path_without_query};
use crate::metrics::{CallSummary, Telemetry};

/// Records the calls of one caller port.
pub struct CallObserver {
    node: NodeId,
    telemetry: Arc<Telemetry>,
}

impl CallObserver {
    /// Creates an observer of the calls on the daemon named `node`.
    pub fn new(node: &NodeId, telemetry: Arc<Telemetry>) -> Self {
        Self {
            node: node.clone(),
            telemetry,
        }
    }

    /// Creates an id for a call without one.
    ///
    /// The id starts with the name of the daemon that can explain the call.
    pub fn new_call_id(&self, random: u64) -> String {
        format!("{}-{random:016x}", self.node)
    }

    /// Calls `handle` to answer a request, and records the call.
    pub fn observe(
        &self,
        config: Option<&ConfigSnapshot>,
        req: &IncomingRequest<'_>,
        handle: impl FnOnce() -> CallResponse,
    ) -> CallResponse {
        let start = Instant::now();
        let answer = handle();
        let elapsed = start.elapsed();
        let path = path_without_query(req.target);
        let entry = config.and_then(|config| config.routes.find(req.method, path));
        let version = config.map_or(Version::NONE, |config| config.version);
        let call = CallSummary {
            id: req.call_id,
            method: req.method,
            path,
            body_bytes: req.body.len(),
            at: Timestamp::from_system_clock(),
        };
        let route = entry.map(|entry| &entry.name);
        self.telemetry
            .record_call(&call, route, version, &answer, elapsed);
        answer
    }

    /// Counts a request that was rejected before it reached the request path.
    pub fn count_rejected(&self, answer: &CallResponse) {
        self.telemetry.count_rejected(answer, Duration::ZERO);
    }
}
