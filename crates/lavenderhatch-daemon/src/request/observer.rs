//! Counts calls at the caller port and keeps the recent ones.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lavenderhatch_core::call::CallResponse;
use lavenderhatch_core::{ConfigSnapshot, NodeId, Timestamp, Version};

use super::path::{IncomingRequest, path_without_query};
use crate::metrics::{CallSummary, Telemetry};

/// Observes the calls of one caller port.
pub struct CallObserver {
    node: NodeId,
    telemetry: Arc<Telemetry>,
}

impl CallObserver {
    /// Observes calls on the daemon named `node`.
    pub fn new(node: &NodeId, telemetry: Arc<Telemetry>) -> Self {
        Self {
            node: node.clone(),
            telemetry,
        }
    }

    /// An id for a call that has none. It names the daemon that can explain the call.
    pub fn new_call_id(&self, random: u64) -> String {
        format!("{}-{random:016x}", self.node)
    }

    /// Answers a request by `handle` and records it.
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

    /// Counts a request that could not be read.
    pub fn count_rejected(&self, answer: &CallResponse) {
        self.telemetry.count_rejected(answer, Duration::ZERO);
    }
}
