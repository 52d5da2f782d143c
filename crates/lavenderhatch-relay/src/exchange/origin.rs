//! Places a caller's request until it has an answer.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Method, Uri};
use lavenderhatch_core::routing::HostRoute;
use lavenderhatch_core::{ErrorKind, Timestamp};
use lavenderhatch_decide::relay::{
    AttemptEnd, Attempts, Candidate, Demand, FirstAttemptEstimator, NextStep, RetryBudget,
    ServiceTimes, choose_backend, may_wait, next_step,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::timeout;
use tracing::debug;

use super::attempt::{Attempt, Failure, end_of, is_full, may_have_run};
use super::backend_leg::BackendLeg;
use super::call::Call;
use super::class_of;
use super::hop_headers::remove_hop_headers;
use super::peer_leg::PeerLeg;
use super::request_log::RequestLog;
use crate::board::{Board, Endpoint};
use crate::clock::Clock;
use crate::config::RelayConfig;
use crate::metrics::Metrics;

/// Part of the shared retry ratio that daemons spend. The rest covers calls that repeated requests
/// make, which count against the service that they call.
const RATIO_SHARE: f64 = 0.5;
/// Part of the shared retry allowance that daemons spend.
const ALLOWANCE_SHARE: f64 = 0.5;
/// Shortest time for which a backend server that had no free slot is not asked again.
const MIN_FULL_PAUSE: Duration = Duration::from_millis(10);
/// Longest time for which a backend server that had no free slot is not asked again.
const MAX_FULL_PAUSE: Duration = Duration::from_millis(60);
/// Time for which a backend server that takes no requests is not asked again.
const UNUSABLE_PAUSE: Duration = Duration::from_millis(100);
/// Advised time when no backend server of a service takes requests.
const NO_BACKEND_ADVICE: Duration = Duration::from_millis(300);

/// A request as the caller port has read it.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Timestamp,
}

/// The answer to a caller's request.
pub(crate) type OriginAnswer = Attempt;

/// How far a request has come.
#[derive(Debug, Default)]
struct Progress {
    attempts: Attempts,
    /// The backend server that was asked last.
    last: Option<Arc<Endpoint>>,
}

/// Places requests of the callers of this daemon.
#[derive(Debug)]
pub(crate) struct Origin {
    pub(crate) board: Board,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    cfg: RelayConfig,
    caller_service: HeaderValue,
    backend: BackendLeg,
    peers: PeerLeg,
    budget: RefCell<RetryBudget>,
    /// Mean service times over all backend servers.
    service: RefCell<ServiceTimes>,
    spans: RefCell<FirstAttemptEstimator>,
    random: RefCell<Pcg64Mcg>,
    log: RequestLog,
}

impl Origin {
    pub(crate) fn new(backend: BackendLeg, cfg: &RelayConfig, metrics: Metrics) -> Self {
        let caller_service = HeaderValue::from_str(&cfg.service);
        let log = RequestLog::new(backend.board.clone(), metrics.clone());
        let ratio = cfg.retry_ratio * RATIO_SHARE;
        Self {
            board: backend.board.clone(),
            clock: backend.clock,
            metrics,
            caller_service: caller_service.unwrap_or_else(|_| HeaderValue::from_static("")),
            peers: PeerLeg::new(backend.clock),
            backend,
            budget: RefCell::new(RetryBudget::new(ratio, 1.0)),
            service: RefCell::default(),
            spans: RefCell::default(),
            random: RefCell::new(Pcg64Mcg::from_rng(&mut rand::rng())),
            log,
            cfg: cfg.clone(),
        }
    }

    /// Answers a request. Dropping the future cancels it.
    pub(crate) async fn answer(&self, incoming: Incoming) -> OriginAnswer {
        let id = incoming.headers.get(&self.cfg.headers.request_id).cloned();
        let (route, mut call) = self.route(incoming).inspect_err(|failure| {
            let id = id.as_ref().and_then(|id| id.to_str().ok());
            self.log
                .unrouted(id.unwrap_or(""), failure, self.clock.now());
        })?;
        self.budget.borrow_mut().deposit();
        let limit = call.time_left(self.clock.now());
        let mut progress = Progress::default();
        let placed = self.attempt_all(&route, &mut call, &mut progress);
        let result = match timeout(limit, placed).await {
            Ok(result) => result,
            Err(_) => Err(expired(progress.attempts)),
        };
        let last = progress.last.as_deref();
        let now = self.clock.now();
        self.log
            .ended(&route, &call, progress.attempts, last, &result, now);
        result
    }

    /// Whether a request with this head may run more than once.
    pub(crate) fn is_idempotent(&self, headers: &HeaderMap, target: &Uri) -> bool {
        let routing = self.board.routing.load();
        let table = routing.as_ref().as_ref();
        let route = table.and_then(|table| table.find(host_of(headers), target.path()));
        route.is_some_and(|route| route.is_idempotent)
    }

    /// The advised time for a refused caller: spread, so that refused callers do not come back
    /// together, and short enough to be of use before the caller's deadline.
    pub(crate) fn advice(&self, failure: &Failure) -> Duration {
        let base = failure.retry_after.max(Duration::from_millis(50));
        base.mul_f64(0.5 + self.unit())
    }

    /// Closes connections that have been idle for too long, and shares the retry budget anew.
    pub(crate) fn sweep(&self) {
        self.backend.sweep();
        self.peers.sweep();
        let daemons = self.board.endpoints.load().daemons.max(1) as f64;
        let allowance = self.cfg.retry_allowance * ALLOWANCE_SHARE / daemons;
        self.budget.borrow_mut().set_capacity(allowance.max(1.0));
    }

    fn route(&self, incoming: Incoming) -> Result<(Arc<HostRoute>, Call), Failure> {
        let routing = self.board.routing.load();
        let Some(routing) = routing.as_ref() else {
            let reason = "no routes are in force yet";
            return Err(Failure::not_arrived(ErrorKind::NotReady, reason));
        };
        let host = host_of(&incoming.headers);
        let found = routing.find(host, incoming.target.path()).cloned();
        let Some(route) = found else {
            let reason = format!("no route in version {}", routing.version);
            return Err(Failure::not_arrived(ErrorKind::NoRoute, reason));
        };
        let call = self.call(incoming, &route);
        Ok((route, call))
    }

    fn call(&self, incoming: Incoming, route: &HostRoute) -> Call {
        let mut headers = incoming.headers;
        let names = &self.cfg.headers;
        let request_id = headers.get(&names.request_id).cloned();
        let allowed: Option<u64> = headers
            .get(&names.time_left)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let allowed = allowed.map_or(route.timeout, Duration::from_millis);
        let class = class_of(&route.name);
        let elapsed = self.spans.borrow_mut().elapsed(class, allowed);
        remove_hop_headers(&mut headers);
        Call {
            method: incoming.method,
            target: incoming.target,
            headers,
            body: incoming.body,
            request_id: request_id.unwrap_or_else(|| HeaderValue::from_static("")),
            caller_service: self.caller_service.clone(),
            service: route.service(self.random()).to_owned(),
            is_idempotent: route.is_idempotent,
            demand: Demand {
                class,
                priority: route.priority,
                arrived: incoming.arrived,
                target_at: incoming.arrived + route.target.saturating_sub(elapsed),
                expires_at: incoming.arrived + allowed.min(route.timeout),
            },
            may_wait: may_wait(0),
        }
    }

    async fn attempt_all(
        &self,
        route: &HostRoute,
        call: &mut Call,
        progress: &mut Progress,
    ) -> OriginAnswer {
        let Progress {
            attempts,
            last: asked,
        } = progress;
        let mut tried: Vec<Arc<Endpoint>> = Vec::new();
        // Backend servers that had no slot free. The request may still wait there.
        let mut full: Vec<Arc<Endpoint>> = Vec::new();
        let mut last: Option<OriginAnswer> = None;
        // The end of an attempt in which the request may have run. A later refusal must not hide it.
        let mut ran: Option<OriginAnswer> = None;
        loop {
            call.may_wait = may_wait(attempts.placed);
            if call.may_wait {
                full.clear();
            }
            let mut chosen = self.choose(call, tried.iter().chain(&full));
            if chosen.is_none() && !full.is_empty() {
                call.may_wait = true;
                full.clear();
                chosen = self.choose(call, tried.iter());
            }
            let Some(endpoint) = chosen else {
                return ran.or(last).unwrap_or_else(|| Err(no_backend(call)));
            };
            attempts.placed += 1;
            *asked = Some(Arc::clone(&endpoint));
            let result = self.attempt(call, &endpoint).await;
            match is_full(call, &result) {
                true => full.push(endpoint),
                false => tried.push(endpoint),
            }
            let (end, has_arrived) = end_of(&result);
            let is_refusal = matches!(end, AttemptEnd::NotRun { .. });
            let result = match ran.take() {
                Some(ran) if is_refusal => ran,
                _ => result,
            };
            attempts.arrived += u32::from(has_arrived);
            let time_left = call.time_left(self.clock.now());
            let step = next_step(
                end,
                *attempts,
                route.is_idempotent,
                route.max_attempts,
                time_left,
            );
            debug!(id = call.id(), ?end, ?step, "origin: an attempt has ended");
            match step {
                NextStep::Finish => return result,
                NextStep::Retry if !self.budget.borrow_mut().withdraw() => return result,
                NextStep::Retry => self.metrics.retries.inc(),
                NextStep::PlaceElsewhere => {}
            }
            match may_have_run(&result) {
                true => ran = Some(result),
                false => last = Some(result),
            }
        }
    }

    async fn attempt(&self, call: &Call, endpoint: &Endpoint) -> Attempt {
        let mut counted = Counted::begin(endpoint, self.clock);
        let result = match endpoint.is_local {
            true => self.backend.run(call).await,
            false => self.peers.run(call, endpoint).await,
        };
        counted.is_finished = true;
        if let Ok(answer) = &result {
            endpoint
                .stats
                .record_delay(answer.transit, self.clock.now());
        }
        drop(counted);
        self.learn(call, endpoint, &result);
        result
    }

    /// Takes in what an attempt tells about its backend server.
    fn learn(&self, call: &Call, endpoint: &Endpoint, result: &Attempt) {
        let now = self.clock.now();
        match result {
            Ok(answer) => {
                let stats = &endpoint.stats;
                let is_failure = answer.status.is_server_error();
                stats.record_result(is_failure, now);
                if is_failure {
                    // A server that fails at once is not a fast one.
                    return;
                }
                let mut service = self.service.borrow_mut();
                service.record(call.demand.class, answer.service);
                stats.record_speed(answer.mean_service, service.of(call.demand.class));
            }
            Err(failure) if failure.has_arrived => endpoint.stats.record_result(true, now),
            Err(_) if is_full(call, result) => {}
            Err(failure) if failure.kind == ErrorKind::Overloaded => {
                let pause = (failure.retry_after / 2).clamp(MIN_FULL_PAUSE, MAX_FULL_PAUSE);
                let priority = call.demand.priority;
                endpoint.stats.close_for(priority, now + pause);
            }
            Err(_) => endpoint.stats.close(now + UNUSABLE_PAUSE),
        }
    }

    fn choose<'a>(
        &self,
        call: &Call,
        tried: impl Iterator<Item = &'a Arc<Endpoint>> + Clone,
    ) -> Option<Arc<Endpoint>> {
        let now = self.clock.now();
        let view = self.board.endpoints.load();
        let endpoints = view.of(&call.service);
        let service = self.service.borrow().of(call.demand.class);
        let candidate = |endpoint: &Arc<Endpoint>| {
            let is_tried = tried.clone().any(|tried| Arc::ptr_eq(tried, endpoint));
            let candidate = endpoint.candidate(&self.cfg.zone, call.demand.priority, service, now);
            let load = match endpoint.is_local {
                true => self.backend.gate.load(),
                false => candidate.load,
            };
            Candidate {
                is_available: candidate.is_available && !is_tried,
                load,
                ..candidate
            }
        };
        let candidates: Vec<Candidate> = endpoints.iter().map(candidate).collect();
        let service = service.as_secs_f64();
        let target = call.demand.target_at.since(now).as_secs_f64();
        let at = choose_backend(&candidates, service / target, || self.random())?;
        Some(Arc::clone(&endpoints[at]))
    }

    fn random(&self) -> u64 {
        self.random.borrow_mut().next_u64()
    }

    fn unit(&self) -> f64 {
        self.random() as f64 / u64::MAX as f64
    }
}

/// Counts a request at its backend server until dropped.
struct Counted<'a> {
    endpoint: &'a Endpoint,
    clock: Clock,
    since: Timestamp,
    /// Whether the attempt has ended. One that is given up tells at least how long it took.
    is_finished: bool,
}

impl<'a> Counted<'a> {
    fn begin(endpoint: &'a Endpoint, clock: Clock) -> Self {
        endpoint.stats.begin();
        Self {
            endpoint,
            clock,
            since: clock.now(),
            is_finished: false,
        }
    }

    fn elapsed(&self) -> Duration {
        self.clock.now().since(self.since)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.endpoint.stats.end();
        if !self.is_finished {
            let now = self.clock.now();
            self.endpoint.stats.record_delay(self.elapsed(), now);
        }
    }
}

fn host_of(headers: &HeaderMap) -> &str {
    let host = headers.get(HOST);
    host.and_then(|host| host.to_str().ok()).unwrap_or("")
}

fn no_backend(call: &Call) -> Failure {
    Failure {
        retry_after: NO_BACKEND_ADVICE,
        ..Failure::not_arrived(
            ErrorKind::NoBackend,
            format!("no backend server of {} takes requests", call.service),
        )
    }
}

/// The end of a request whose time is up while an attempt is in progress.
fn expired(attempts: Attempts) -> Failure {
    let reason = "the deadline or the route's timeout has passed";
    match attempts.placed {
        0 => Failure::not_arrived(ErrorKind::DeadlineUnmeetable, reason),
        _ => Failure::arrived(ErrorKind::DeadlinePassed, reason),
    }
}
