//! Requests to the local backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_ENCODING, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use lavenderhatch_core::call::is_final_status;
use lavenderhatch_core::{ErrorKind, Timestamp};
use lavenderhatch_decide::crash::CrashId;
use lavenderhatch_decide::relay::{BackendReport, Demand, Refusal};
use lavenderhatch_decide::rollout::AdmissionRule;
use tokio::time::timeout;
use tracing::{debug, info};

use super::attempt::{AttemptResult, BackendAnswer, Failure, MAX_ANSWER_BYTES};
use super::call::Call;
use super::counted_request::CountedRequest;
use super::hop_headers::remove_hop_headers;
use crate::admission_gate::{AdmissionGate, ServiceTimeSample};
use crate::blackboard::Blackboard;
use crate::byte_holding::SharedByteBudget;
use crate::config::HeaderNames;
use crate::io::{
    ClientAnswer, ClientError, ClientPool, ClientTimeouts, ExchangeOptions, UNACKNOWLEDGED_TIMEOUT,
};
use crate::monotonic_clock::MonotonicClock;

/// Timeout for a connection to the backend server, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time within which a machine refuses a connection to a backend server that is gone. The caller of a
/// failed request waits for it.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest time for which an idle connection is reused. Backend servers close idle connections
/// after a few seconds, and a request that races with the close may have run.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Longest time for which an idle connection is reused for a request that may run only once.
/// Backend servers may drop idle connections without notice, and a request sent on such a
/// connection is lost.
const NON_IDEMPOTENT_IDLE_LIMIT: Duration = Duration::from_millis(200);

/// Runs requests on the local backend server.
#[derive(Debug)]
pub(crate) struct LocalBackend {
    pub(crate) blackboard: Blackboard,
    pub(crate) gate: Arc<AdmissionGate>,
    pub(crate) clock: MonotonicClock,
    /// Budget of the bytes of requests and answers.
    pub(crate) budget: SharedByteBudget,
    /// Largest number of header lines of a caller's request.
    pub(crate) max_header_lines: usize,
    addr: SocketAddr,
    service: String,
    headers: HeaderNames,
    report_timeout: Duration,
    pool: ClientPool,
}

impl LocalBackend {
    pub(crate) fn new(
        blackboard: Blackboard,
        gate: Arc<AdmissionGate>,
        clock: MonotonicClock,
        cfg: &crate::config::RelayConfig,
        budget: SharedByteBudget,
    ) -> Self {
        let timeouts = ClientTimeouts {
            connect: CONNECT_TIMEOUT,
            idle: IDLE_LIMIT,
            unacknowledged: UNACKNOWLEDGED_TIMEOUT,
        };
        Self {
            blackboard,
            gate,
            clock,
            max_header_lines: cfg.max_header_lines,
            addr: cfg.backend_addr,
            service: cfg.service.clone(),
            headers: cfg.headers.clone(),
            report_timeout: cfg.backend_report_timeout,
            pool: ClientPool::with_budget(timeouts, budget.clone()),
            budget,
        }
    }

    /// Runs a request once it has a slot.
    ///
    /// Dropping the future cancels the request.
    pub(crate) async fn run(&self, call: &Call) -> AttemptResult {
        let backend = self.admitting_backend(&call.service)?;
        self.check_quarantine(call)?;
        self.check_sent_back(call, &backend)?;
        let permit = self
            .gate
            .acquire(&call.demand, call.may_wait)
            .await
            .map_err(overload_failure)?;
        // The backend server may have started draining while the request waited, or others may have
        // crashed under the same request.
        let backend = self.serving_backend(&call.service)?;
        self.check_quarantine(call)?;
        let now = self.clock.now();
        self.admit(&backend)?;
        let counted = CountedRequest::start(self, call, &backend, now);
        if call.time_left(now).is_zero() {
            let reason = "the deadline passed in the queue";
            return Err(Failure::before_arrival(
                ErrorKind::DeadlineUnmeetable,
                reason,
            ));
        }
        let req = self.request(call, &backend.id, now);
        let max_idle = match call.is_idempotent {
            true => IDLE_LIMIT,
            false => NON_IDEMPOTENT_IDLE_LIMIT,
        };
        let options = ExchangeOptions {
            max_idle,
            max_bytes: MAX_ANSWER_BYTES,
            is_reusable: |parts: &Parts| self.has_identity_of(call, parts),
        };
        let answered = self.pool.exchange(self.addr, req, options).await;
        let answer = match answered {
            Ok(answer) => answer,
            Err(err) => {
                self.record_crash(call, &backend, &err).await;
                return Err(self.failure_from(&err));
            }
        };
        let times = permit.finish(&call.demand, self.has_run_well(&answer.parts));
        let result = self.check_answer(call, &backend, answer, times);
        counted.finish(&result);
        if result.is_ok() {
            let quarantine = &self.blackboard.quarantine;
            quarantine.record_answer(|| call.fingerprint());
        }
        result
    }

    /// Refuses a request under which backend servers have crashed.
    fn check_quarantine(&self, call: &Call) -> Result<(), Failure> {
        let quarantine = &self.blackboard.quarantine;
        match quarantine.refuses(|| call.fingerprint()) {
            true => Err(Failure::quarantined()),
            false => Ok(()),
        }
    }

    /// Records a crash if the backend server is gone after the exchange has failed.
    ///
    /// A connection that ends does not tell a crash from a backend server that has closed it. If one
    /// can be opened, the next request uses it.
    async fn record_crash(&self, call: &Call, backend: &BackendReport, err: &ClientError) {
        if !matches!(err, ClientError::Exchange(_)) {
            return;
        }
        let connect = timeout(CRASH_CHECK_TIMEOUT, self.pool.open_idle(self.addr)).await;
        if !matches!(connect, Ok(Err(err)) if err.is_connection_refused()) {
            return;
        }
        let fingerprint = call.fingerprint();
        let (id, born) = (&backend.id, backend.incarnation);
        info!(id, born, %fingerprint, target = %call.target, "backend: crashed while it ran a request");
        let crash = CrashId::of(id, born);
        let now = self.clock.now();
        self.blackboard
            .quarantine
            .record_crash(fingerprint, crash, now);
    }

    /// Returns the service of the backend server.
    pub(crate) fn service(&self) -> &str {
        &self.service
    }

    /// Whether the backend server accepts requests.
    pub(crate) fn is_serving(&self) -> bool {
        let state = self.blackboard.backend.load();
        state
            .serving(self.report_timeout, self.clock.now())
            .is_some()
    }

    /// Returns the rule that rollouts set for requests at the backend server.
    fn admission_rule(&self, backend: &BackendReport) -> AdmissionRule {
        let rules = &self.blackboard.version_rules;
        let endpoints = self.blackboard.endpoints.load();
        let base = endpoints.base_version(&self.service);
        if base.is_none() && !rules.is_any_running() {
            return AdmissionRule::Open;
        }
        let known = rules.find(&self.service);
        let now = self.clock.now();
        let rule = known.as_ref().map(|known| (&known.rule, known.age(now)));
        let lease = self.blackboard.local_version.lease();
        AdmissionRule::of(&backend.version, base, rule, lease)
    }

    /// Sends a request back that must go to the new version.
    fn check_sent_back(&self, call: &Call, backend: &BackendReport) -> Result<(), Failure> {
        let rules = &self.blackboard.version_rules;
        if call.is_version_chosen || !rules.is_any_running() {
            return Ok(());
        }
        let Some(known) = rules.find(&self.service) else {
            return Ok(());
        };
        let (age, draw) = (known.age(self.clock.now()), rand::random());
        match known.rule.sends_back(&backend.version, age, draw) {
            // As for a full backend server, the caller's daemon goes on using this one.
            true => Err(Failure::before_arrival(
                ErrorKind::Overloaded,
                "the new version gets this request",
            )),
            false => Ok(()),
        }
    }

    /// Takes a request from those that rollouts let run at the backend server.
    fn admit(&self, backend: &BackendReport) -> Result<(), Failure> {
        let rule = self.admission_rule(backend);
        match self.blackboard.local_version.admit(rule) {
            true => Ok(()),
            false => Err(version_not_admitted(backend)),
        }
    }

    /// Checks whether a request would be taken now, before its body is sent.
    pub(crate) fn check_admission(
        &self,
        service: &str,
        demand: &Demand,
        may_wait: bool,
    ) -> Result<(), Failure> {
        self.admitting_backend(service)?;
        let checked = self.gate.check(demand, may_wait);
        checked.map_err(overload_failure)
    }

    /// Returns the name of the header with the identity of a request.
    pub(crate) fn request_id_name(&self) -> &HeaderName {
        &self.headers.request_id
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&self) {
        self.pool.close_expired();
    }

    /// Returns the last report of the backend server if it accepts requests for `service`.
    fn serving_backend(&self, service: &str) -> Result<BackendReport, Failure> {
        if service != self.service {
            let reason = format!("this backend server runs {}", self.service);
            return Err(Failure::before_arrival(ErrorKind::NoBackend, reason));
        }
        let state = self.blackboard.backend.load();
        let serving = state.serving(self.report_timeout, self.clock.now());
        let departure = &self.blackboard.announced_departure;
        let serving = serving.filter(|backend| !departure.is_announced(backend));
        serving.cloned().ok_or_else(|| {
            let reason = "the backend server takes no requests";
            Failure::before_arrival(ErrorKind::Leaving, reason)
        })
    }

    /// Returns the same if rollouts let requests run there now.
    fn admitting_backend(&self, service: &str) -> Result<BackendReport, Failure> {
        let backend = self.serving_backend(service)?;
        let rule = self.admission_rule(&backend);
        match self.blackboard.local_version.would_admit(rule) {
            true => Ok(backend),
            false => Err(version_not_admitted(&backend)),
        }
    }

    fn request(&self, call: &Call, id: &str, now: Timestamp) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.target.clone();
        let headers = req.headers_mut();
        *headers = call.headers.clone();
        let names = &self.headers;
        headers.insert(names.caller_service.clone(), call.caller_service.clone());
        let time_left = call.time_left(now).as_millis() as u64;
        headers.insert(names.time_left.clone(), HeaderValue::from(time_left));
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert(names.expected_backend.clone(), id);
        }
        req
    }

    /// Sends no more requests to a backend server whose answer says that it leaves.
    fn apply_departure(&self, backend: &BackendReport, parts: &Parts) {
        if !self.headers.is_departure_announced(&parts.headers) {
            return;
        }
        let departure = &self.blackboard.announced_departure;
        if departure.announce(backend) {
            info!(id = backend.id, "backend: an answer says that it leaves");
            self.gate.refuse_waiting();
        }
    }

    /// Applies the rate limit that an answer names. A signed answer without one lifts it.
    fn apply_rate_limit(&self, parts: &Parts) {
        let names = &self.headers;
        let Some(value) = parts.headers.get(&names.rate_limit) else {
            if parts.headers.contains_key(&names.signature) {
                self.gate.set_rate(None);
            }
            return;
        };
        let rate = value.to_str().ok().and_then(parse_rate);
        match rate {
            Some(rate) => self.gate.set_rate(Some(rate)),
            None => debug!(?value, "backend: a rate limit is not a number"),
        }
    }

    fn failure_from(&self, err: &ClientError) -> Failure {
        match err {
            ClientError::Connect(_) | ClientError::NotSent => {
                Failure::before_arrival(ErrorKind::NoBackend, err.to_string())
            }
            _ => Failure::after_arrival(ErrorKind::OutcomeUnknown, err.to_string()),
        }
    }

    /// Whether an answer carries the identity of this request.
    fn has_identity_of(&self, call: &Call, parts: &Parts) -> bool {
        let id = parts.headers.get(&self.headers.request_id);
        id.is_some_and(|id| *id == call.request_id)
    }

    /// Whether an answer tells how long a request of its class takes.
    fn has_run_well(&self, parts: &Parts) -> bool {
        let status = parts.status;
        let is_failure = status.is_server_error() || implies_not_run(status);
        !is_failure && !parts.headers.contains_key(&self.headers.not_run)
    }

    /// Checks that an answer is the backend server's complete answer to this request.
    fn check_answer(
        &self,
        call: &Call,
        backend: &BackendReport,
        answer: ClientAnswer,
        times: ServiceTimeSample,
    ) -> AttemptResult {
        let ClientAnswer {
            mut parts,
            body,
            is_first,
        } = answer;
        let names = &self.headers;
        // A backend server that refuses a request without reading it sends no identity. On a
        // connection that was used before, this may be a late answer to an earlier request.
        let is_refusal_unread = is_first
            && !parts.status.is_success()
            && !parts.headers.contains_key(&names.request_id);
        if !self.has_identity_of(call, &parts) && !is_refusal_unread {
            return Err(outcome_unknown("the answer belongs to another request"));
        }
        if !is_final_status(parts.status.as_u16()) {
            return Err(outcome_unknown("the answer has no final status"));
        }
        self.apply_departure(backend, &parts);
        self.apply_rate_limit(&parts);
        if parts.headers.contains_key(&names.not_run) {
            let reason = format!("the backend server refused with {}", parts.status);
            return Err(Failure::after_arrival(ErrorKind::Overloaded, reason));
        }
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            let reason = "another backend server has this address";
            return Err(Failure::after_arrival(ErrorKind::NoBackend, reason));
        }
        if parts.status.is_success() && !parts.headers.contains_key(&names.signature) {
            return Err(outcome_unknown("the answer is not signed"));
        }
        if parts.headers.contains_key(CONTENT_ENCODING) {
            return Err(outcome_unknown(
                "the answer has an encoding nobody asked for",
            ));
        }
        if implies_not_run(parts.status) {
            return Err(outcome_unknown(
                "the answer does not tell whether the request ran",
            ));
        }
        remove_hop_headers(&mut parts.headers);
        Ok(BackendAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
            service_time: times.service_time,
            mean_service_time: times.mean_service_time,
            delay: Duration::ZERO,
        })
    }
}

/// Parses requests per second, a decimal number.
fn parse_rate(text: &str) -> Option<f64> {
    let rate = text.trim().parse().ok()?;
    (0.0..f64::INFINITY).contains(&rate).then_some(rate)
}

fn version_not_admitted(backend: &BackendReport) -> Failure {
    let reason = format!("version {} takes no requests here now", backend.version);
    Failure::before_arrival(ErrorKind::NoBackend, reason)
}

fn overload_failure(refusal: Refusal) -> Failure {
    Failure {
        retry_after: refusal.retry_after,
        ..Failure::before_arrival(ErrorKind::Overloaded, "no slot is free in time")
    }
}

fn outcome_unknown(reason: &str) -> Failure {
    Failure::after_arrival(ErrorKind::OutcomeUnknown, reason)
}

/// Whether callers take the status to mean that the request did not run.
///
/// A backend server that has not run a request also sets a header. The status alone leaves open
/// whether the request ran.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
