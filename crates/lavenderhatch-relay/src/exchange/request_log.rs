//! One line for each decision on a request, bounded under load.

use std::cell::RefCell;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_core::routing::HostRoute;
use lavenderhatch_decide::relay::Attempts;
use tracing::info;

use super::attempt::{Attempt, Failure};
use super::call::Call;
use super::origin::OriginAnswer;
use crate::blackboard::{Blackboard, Endpoint};
use crate::log_budget::LogBudget;
use crate::metrics::Metrics;

/// Log and counters of the requests of one port.
///
/// Lines about failures have a budget of their own, so that answers do not crowd them out.
#[derive(Debug)]
pub(super) struct RequestLog {
    blackboard: Blackboard,
    metrics: Metrics,
    failures: RefCell<LogBudget>,
    answers: RefCell<LogBudget>,
}

impl RequestLog {
    pub(super) fn new(blackboard: Blackboard, metrics: Metrics) -> Self {
        Self {
            blackboard,
            metrics,
            failures: RefCell::default(),
            answers: RefCell::default(),
        }
    }

    /// A request of a caller has ended. `last` is the backend server that was asked last.
    pub(super) fn ended(
        &self,
        route: &HostRoute,
        call: &Call,
        attempts: Attempts,
        last: Option<&Endpoint>,
        result: &OriginAnswer,
        now: Timestamp,
    ) {
        let took = now.since(call.demand.arrived);
        let budget = match result {
            Ok(_) => &self.answers,
            Err(_) => &self.failures,
        };
        match result {
            Ok(_) => self.metrics.answered(route.priority, took),
            Err(failure) => self.metrics.failed(failure.kind),
        }
        let Some(lines_dropped) = budget.borrow_mut().admit(now) else {
            return;
        };
        let backend = last.map(|endpoint| endpoint.id.as_str());
        let known_load = last.map(|endpoint| endpoint.stats.load(now));
        let version = self.version();
        match result {
            Ok(answer) => info!(
                id = call.id(),
                route = route.name,
                service = call.service,
                version,
                backend,
                known_load,
                status = answer.status.as_u16(),
                arrived = attempts.arrived,
                placed = attempts.placed,
                service_ms = millis(answer.service),
                took_ms = millis(took),
                lines_dropped,
                "origin: request answered"
            ),
            Err(failure) => info!(
                id = call.id(),
                route = route.name,
                service = call.service,
                version,
                backend,
                known_load,
                error = failure.kind.as_str(),
                reason = failure.reason,
                arrived = attempts.arrived,
                placed = attempts.placed,
                took_ms = millis(took),
                lines_dropped,
                "origin: request failed"
            ),
        }
    }

    /// No route takes a request.
    pub(super) fn unrouted(&self, id: &str, failure: &Failure, now: Timestamp) {
        self.metrics.failed(failure.kind);
        if let Some(lines_dropped) = self.failures.borrow_mut().admit(now) {
            info!(
                id,
                version = self.version(),
                error = failure.kind.as_str(),
                reason = failure.reason,
                lines_dropped,
                "origin: request not routed"
            );
        }
    }

    /// A request of another daemon has ended here. `load` is what runs and waits now.
    pub(super) fn handed_over(&self, call: &Call, attempt: &Attempt, load: u32, now: Timestamp) {
        // The daemon of the caller logs answers.
        let Err(failure) = attempt else { return };
        if let Some(lines_dropped) = self.failures.borrow_mut().admit(now) {
            info!(
                id = call.id(),
                error = failure.kind.as_str(),
                reason = failure.reason,
                load,
                may_wait = call.may_wait,
                held_ms = millis(now.since(call.demand.arrived)),
                retry_after_ms = millis(failure.retry_after),
                lines_dropped,
                "peer: request not run to its end"
            );
        }
    }

    fn version(&self) -> u64 {
        let routing = self.blackboard.routing.load();
        routing.as_ref().as_ref().map_or(0, |table| table.version)
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
