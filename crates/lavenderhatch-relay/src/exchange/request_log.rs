//! Rate-limited log lines and metrics for the results of requests.

use std::cell::RefCell;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_core::routing::HostRoute;
use lavenderhatch_decide::relay::Attempts;
use tracing::info;

use super::attempt::{AttemptResult, Failure, RequestResult};
use super::call::Call;
use crate::blackboard::{Blackboard, Endpoint};
use crate::log_rate_limiter::LogRateLimiter;
use crate::metrics::Metrics;

/// Logs and counts the results of requests at one port.
///
/// Lines about failures have a rate limit of their own, so that lines about answers do not crowd
/// them out.
#[derive(Debug)]
pub(super) struct RequestLog {
    blackboard: Blackboard,
    metrics: Metrics,
    failure_lines: RefCell<LogRateLimiter>,
    answer_lines: RefCell<LogRateLimiter>,
}

impl RequestLog {
    pub(super) fn new(blackboard: Blackboard, metrics: Metrics) -> Self {
        Self {
            blackboard,
            metrics,
            failure_lines: RefCell::default(),
            answer_lines: RefCell::default(),
        }
    }

    /// Records the result of a caller's request. `last_endpoint` is the endpoint of the latest
    /// attempt.
    pub(super) fn request_ended(
        &self,
        route: &HostRoute,
        call: &Call,
        attempts: Attempts,
        last_endpoint: Option<&Endpoint>,
        result: &RequestResult,
        now: Timestamp,
    ) {
        let took = now.since(call.demand.arrived);
        let limiter = match result {
            Ok(_) => &self.answer_lines,
            Err(_) => &self.failure_lines,
        };
        match result {
            Ok(_) => self.metrics.record_answer(call.demand.priority, took),
            Err(failure) => self.metrics.record_failure(failure.kind),
        }
        let Some(lines_dropped) = limiter.borrow_mut().admit(now) else {
            return;
        };
        let backend = last_endpoint.map(|endpoint| endpoint.id.as_str());
        let known_load = last_endpoint.map(|endpoint| endpoint.stats.load(now));
        let version = self.routing_version();
        match result {
            Ok(answer) => info!(
                id = call.id(),
                route = route.name,
                account = call.account_name(),
                service = call.service,
                version,
                backend,
                known_load,
                status = answer.status.as_u16(),
                arrived = attempts.arrived,
                placed = attempts.placed,
                service_ms = millis(answer.service_time),
                took_ms = millis(took),
                lines_dropped,
                "origin: request answered"
            ),
            Err(failure) => info!(
                id = call.id(),
                route = route.name,
                account = call.account_name(),
                service = call.service,
                version,
                backend,
                known_load,
                error = failure.kind.as_str(),
                reason = failure.reason,
                fingerprint = failure
                    .has_arrived
                    .then(|| tracing::field::display(call.fingerprint())),
                arrived = attempts.arrived,
                placed = attempts.placed,
                took_ms = millis(took),
                lines_dropped,
                "origin: request failed"
            ),
        }
    }

    /// Records a caller's request that could not be routed: no route matches it, or no routing
    /// table is in force yet.
    pub(super) fn request_not_routed(&self, id: &str, failure: &Failure, now: Timestamp) {
        self.metrics.record_failure(failure.kind);
        if let Some(lines_dropped) = self.failure_lines.borrow_mut().admit(now) {
            info!(
                id,
                version = self.routing_version(),
                error = failure.kind.as_str(),
                reason = failure.reason,
                lines_dropped,
                "origin: request not routed"
            );
        }
    }

    /// Records the result of a request from another daemon. `load` is the number of requests that
    /// run or wait at the local backend server.
    pub(super) fn peer_request_ended(
        &self,
        call: &Call,
        attempt: &AttemptResult,
        load: u32,
        now: Timestamp,
    ) {
        // Answers are logged by the caller's daemon.
        let Err(failure) = attempt else { return };
        if let Some(lines_dropped) = self.failure_lines.borrow_mut().admit(now) {
            info!(
                id = call.id(),
                error = failure.kind.as_str(),
                reason = failure.reason,
                load,
                may_wait = call.may_wait,
                held_ms = millis(now.since(call.demand.arrived)),
                retry_after_ms = millis(failure.retry_after),
                lines_dropped,
                "peer: request failed"
            );
        }
    }

    fn routing_version(&self) -> u64 {
        let routing = self.blackboard.routing.load();
        routing.as_ref().as_ref().map_or(0, |table| table.version)
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
