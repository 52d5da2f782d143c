//! Chooses backend servers for a call and retries it within the retry budget.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lavenderhatch_core::call::{CallResponse, StoredCall};
use lavenderhatch_core::endpoint::Endpoint;
use lavenderhatch_core::{Error, ErrorKind};
use lavenderhatch_decide::endpoints::counts_as_failure;
use lavenderhatch_decide::ranks::advise_delay_ms;
use lavenderhatch_decide::retry::{FailedAttempt, RetryCost, retry_cost};
use lavenderhatch_decide::routing::choose_endpoint;

use super::backend::Backend;
use super::order::KeyCheck;
use super::path::{CallForwarder, RequestPath, result_from_answer};

/// Maximum number of attempts for one call. Refusals by servers that are leaving do not count.
const MAX_ATTEMPTS: usize = 3;

impl<B: Backend, L: CallForwarder> RequestPath<B, L> {
    /// Tries backend servers until one answers the call or no further retry is allowed.
    pub(super) fn route(
        &self,
        call: &Arc<StoredCall>,
        random: &mut impl FnMut() -> u64,
    ) -> Result<CallResponse, Error> {
        let start = Instant::now();
        let timeout = Duration::from_millis(call.time_left_ms);
        let endpoints = self.board.endpoints.load();
        let endpoints = endpoints.for_service(&call.service);
        let mut excluded = Vec::new();
        let mut attempts = 0;
        let key_check = KeyCheck::default();
        self.budget.deposit(self.retry_ratio());
        let mut candidate = choose_endpoint(endpoints, &excluded, &self.zone, random());
        while let Some(chosen) = candidate {
            let time_left = timeout.saturating_sub(start.elapsed());
            let result = self.attempt(&endpoints[chosen], call, time_left, &key_check);
            let Some(failure) = retryable_failure(&result, call) else {
                return result;
            };
            excluded.push(chosen);
            // A refusal by a server that is leaving is not counted, as it costs that server no work
            // and several servers may be leaving at the same time.
            attempts += usize::from(failure.kind != Some(ErrorKind::Leaving));
            let has_time = start.elapsed() < timeout;
            let cost = match has_time && attempts < MAX_ATTEMPTS && !key_check.may_hold_claim(call)
            {
                true => retry_cost(&failure),
                false => None,
            };
            candidate =
                cost.and_then(|_| choose_endpoint(endpoints, &excluded, &self.zone, random()));
            let has_budget = match cost {
                Some(RetryCost::Token) => candidate.is_some() && self.budget.withdraw(),
                Some(RetryCost::Free) => true,
                None => false,
            };
            if candidate.is_none() || !has_budget {
                return mark_retries_exhausted(
                    result.map_err(|err| key_check.final_error(call, err)),
                );
            }
        }
        let message = format!("no backend server of service {} is known", call.service);
        let err = Error::new(ErrorKind::NoBackend, message);
        Err(key_check.final_error(call, err))
    }

    /// Creates the answer to a call that no back end answered, with a jittered retry delay.
    pub(super) fn error_answer(&self, err: &Error, random: u64) -> CallResponse {
        let mut answer = CallResponse::from_error(err.kind(), err.message());
        answer.is_retry_exhausted = err.is_retry_exhausted();
        answer.retry_after_ms = err.retry_after_ms();
        if answer.retry_after_ms.is_none() && err.kind().response().retry.has_delay() {
            let load = self.board.load.load();
            let delay = advise_delay_ms(load.refused_per_s, load.served_per_s, random);
            answer.retry_after_ms = Some(delay);
        }
        answer
    }

    fn retry_ratio(&self) -> f64 {
        let config = self.board.config.load();
        let config = config.as_ref().as_ref();
        config.map_or(0.0, |config| config.mesh.limits().retry_budget)
    }

    fn attempt(
        &self,
        endpoint: &Endpoint,
        call: &Arc<StoredCall>,
        time_left: Duration,
        key_check: &KeyCheck,
    ) -> Result<CallResponse, Error> {
        let start = Instant::now();
        endpoint.counters.start();
        let result = match endpoint.node == self.node {
            true => key_check.record(self.run_locally(call, time_left)),
            false => self.run_remotely(endpoint.peer_addr, call, time_left, key_check),
        };
        let is_failure = match &result {
            Ok(answer) => counts_as_failure(answer.status, answer.error),
            Err(err) => counts_as_failure(err.kind().response().status, Some(err.kind())),
        };
        endpoint
            .counters
            .finish(start.elapsed().as_micros() as u64, is_failure);
        result
    }

    fn run_remotely(
        &self,
        addr: SocketAddr,
        call: &Arc<StoredCall>,
        time_left: Duration,
        key_check: &KeyCheck,
    ) -> Result<CallResponse, Error> {
        key_check.record(result_from_answer(
            self.peers.forward(addr, call, time_left)?,
        ))
    }
}

/// Returns the failure of an attempt, or `None` if its answer is passed on to the caller.
fn retryable_failure(
    result: &Result<CallResponse, Error>,
    call: &StoredCall,
) -> Option<FailedAttempt> {
    match result {
        Ok(answer) => FailedAttempt::from_answer(answer, call.is_idempotent),
        Err(err) => Some(FailedAttempt::from_error(
            err.kind(),
            call.is_idempotent,
            err.is_retry_exhausted(),
        )),
    }
}

/// Marks a failed call so that earlier hops do not retry it: this hop has decided on its retries.
fn mark_retries_exhausted(result: Result<CallResponse, Error>) -> Result<CallResponse, Error> {
    match result {
        Ok(answer) => Ok(CallResponse {
            is_retry_exhausted: true,
            ..answer
        }),
        Err(err) => {
            let after_ms = err.retry_after_ms();
            Err(err.with_retry_advice(true, after_ms))
        }
    }
}
