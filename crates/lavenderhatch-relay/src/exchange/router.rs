//! Routes a caller's request and retries it until it has an answer.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Uri};
use lavenderhatch_core::routing::{ClientAccount, HostRoute};
use lavenderhatch_core::{ErrorKind, Timestamp};
use lavenderhatch_decide::relay::{
    AttemptEnd, Attempts, Demand, FirstAttemptEstimator, NextStep, RetryBudget, may_wait, next_step,
};
use tokio::time::timeout;
use tracing::debug;

use super::attempt::{
    AttemptResult, Failure, RequestResult, attempt_end, found_no_free_slot, may_have_run,
};
use super::authentication::{authenticate, write_account};
use super::call::{Call, CallerRequest};
use super::crash_news::CrashNews;
use super::hop_headers::remove_hop_headers;
use super::local_backend::LocalBackend;
use super::outstanding_request::OutstandingRequest;
use super::peer_client::PeerClient;
use super::placement::Placement;
use super::request_class;
use super::request_log::RequestLog;
use super::version_choice;
use crate::blackboard::{Blackboard, Endpoint};
use crate::boot_clock::BootClock;
use crate::byte_holding::SharedByteBudget;
use crate::config::RelayConfig;
use crate::metrics::Metrics;
use crate::monotonic_clock::MonotonicClock;
use crate::quota::QuotaClient;

/// Part of the shared retry ratio that daemons spend. The rest covers the calls that retried
/// requests make in turn, which count against the service that they call.
const RETRY_RATIO_SHARE: f64 = 0.5;
/// Part of the shared retry burst that daemons spend.
const RETRY_BURST_SHARE: f64 = 0.5;
/// Retry delay that a caller is advised of while the configuration may be too old for API keys. The
/// daemon confirms it as soon as the store answers.
const STALE_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time for which a request waits for a confirmation of the configuration. The store answers
/// in milliseconds, or it does not answer at all.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(100);

/// Progress of a request over its attempts.
#[derive(Debug, Default)]
struct Progress {
    attempts: Attempts,
    /// Endpoint of the latest attempt.
    last_endpoint: Option<Arc<Endpoint>>,
}

/// Routes the requests of this daemon's callers to backend servers.
#[derive(Debug)]
pub(crate) struct Router {
    pub(crate) blackboard: Blackboard,
    pub(crate) clock: MonotonicClock,
    pub(crate) metrics: Metrics,
    cfg: RelayConfig,
    caller_service: HeaderValue,
    backend: LocalBackend,
    peers: PeerClient,
    placement: Placement,
    /// Full, of unit capacity, until the first retry sets its capacity.
    retry_budget: RefCell<RetryBudget>,
    first_attempt_estimator: RefCell<FirstAttemptEstimator>,
    log: RequestLog,
    quota: Rc<QuotaClient>,
}

impl Router {
    pub(crate) fn new(backend: LocalBackend, cfg: &RelayConfig, metrics: Metrics) -> Self {
        let caller_service = HeaderValue::from_str(&cfg.service);
        let log = RequestLog::new(backend.blackboard.clone(), metrics.clone());
        let ratio = cfg.retry_ratio * RETRY_RATIO_SHARE;
        let blackboard = backend.blackboard.clone();
        let budget = backend.budget.clone();
        let clock = backend.clock;
        CrashNews::spawn(blackboard.clone(), clock, cfg);
        let quota = QuotaClient::new(blackboard.clone(), cfg, metrics.quota.clone());
        let peers = PeerClient::new(clock, blackboard, &cfg.zone, metrics.clone(), budget);
        Self {
            blackboard: backend.blackboard.clone(),
            clock: backend.clock,
            metrics,
            caller_service: caller_service.unwrap_or_else(|_| HeaderValue::from_static("")),
            peers,
            placement: Placement::new(&backend, &cfg.zone),
            backend,
            retry_budget: RefCell::new(RetryBudget::new(ratio, 1.0)),
            first_attempt_estimator: RefCell::default(),
            log,
            quota,
            cfg: cfg.clone(),
        }
    }

    /// Returns the identity that the caller gave a request.
    pub(crate) fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        headers.get(&self.cfg.headers.request_id).cloned()
    }

    /// Runs a request and returns its result.
    ///
    /// Dropping the future cancels the request.
    pub(crate) async fn handle(&self, request: CallerRequest) -> RequestResult {
        let id = self.request_id(&request.headers);
        self.confirm_configuration(&request.headers).await;
        let (route, mut call) = self.route(request).inspect_err(|failure| {
            let id = id.as_ref().and_then(|id| id.to_str().ok());
            self.log
                .request_not_routed(id.unwrap_or(""), failure, self.clock.now());
        })?;
        let mut progress = Progress::default();
        let result = match self.quota.acquire(call.account.as_deref()).await {
            Ok(token) => {
                let result = self.run(&route, &mut call, &mut progress).await;
                if let Some(token) = token.filter(|_| !may_have_run(&result)) {
                    self.quota.give_back(token);
                }
                result
            }
            Err(retry_after) => Err(Failure::over_quota(retry_after)),
        };
        let last_endpoint = progress.last_endpoint.as_deref();
        let now = self.clock.now();
        self.log.request_ended(
            &route,
            &call,
            progress.attempts,
            last_endpoint,
            &result,
            now,
        );
        result
    }

    async fn run(
        &self,
        route: &HostRoute,
        call: &mut Call,
        progress: &mut Progress,
    ) -> RequestResult {
        self.retry_budget.borrow_mut().deposit();
        let limit = call.time_left(self.clock.now());
        let running = self.run_attempts(route, call, progress);
        match timeout(limit, running).await {
            Ok(result) => result,
            Err(_) => Err(Failure::timed_out(progress.attempts)),
        }
    }

    /// Whether the route of a request with this head allows it to run more than once.
    pub(crate) fn is_idempotent(&self, headers: &HeaderMap, target: &Uri) -> bool {
        let routing = self.blackboard.routing.load();
        let table = routing.as_ref().as_ref();
        let route = table.and_then(|table| table.find(host_of(headers), target.path()));
        route.is_some_and(|route| route.is_idempotent)
    }

    /// Returns the largest number of header lines of a request.
    pub(crate) fn max_header_lines(&self) -> usize {
        self.cfg.max_header_lines
    }

    /// Returns the budget of the bytes of requests and answers.
    pub(crate) fn budget(&self) -> &SharedByteBudget {
        &self.backend.budget
    }

    /// Returns the retry delay that a refused caller is advised of.
    ///
    /// It has jitter, so that refused callers do not return together, and is short enough to be of
    /// use before the caller's deadline.
    pub(crate) fn advised_retry_after(&self, failure: &Failure) -> Duration {
        let base = failure.retry_after.max(Duration::from_millis(50));
        let least = match failure.kind {
            // Before this time there is no token.
            ErrorKind::QuotaExceeded => 1.0,
            _ => 0.5,
        };
        base.mul_f64(least + self.placement.random_fraction())
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn run_maintenance(&self) {
        self.backend.close_expired();
        self.peers.close_expired();
        self.quota.run_maintenance();
        self.blackboard.quarantine.expire(self.clock.now());
    }

    /// Takes a retry from the budget of this daemon, an equal part of the budget of all daemons.
    /// Returns whether one was left.
    fn withdraw_retry(&self) -> bool {
        // A retry needs an endpoint, so the number of daemons is known here, unlike at the start.
        let daemons = self.blackboard.endpoints.load().daemon_count.max(1) as f64;
        let burst = self.cfg.retry_burst * RETRY_BURST_SHARE / daemons;
        let mut budget = self.retry_budget.borrow_mut();
        budget.set_capacity(burst.max(1.0));
        budget.withdraw()
    }

    fn route(&self, mut request: CallerRequest) -> Result<(Arc<HostRoute>, Call), Failure> {
        // Read before the table: a table that is published in between can only be more recent.
        let current_until = self.blackboard.config_freshness.current_until();
        let routing = self.blackboard.routing.load();
        let Some(routing) = routing.as_ref() else {
            let reason = "no routes are in force yet";
            return Err(Failure::before_arrival(ErrorKind::NotReady, reason));
        };
        let host = host_of(&request.headers);
        let found = routing.find(host, request.target.path()).cloned();
        let Some(route) = found else {
            let reason = format!("no route in version {}", routing.version);
            return Err(Failure::before_arrival(ErrorKind::NoRoute, reason));
        };
        let account = match routing.accounts() {
            Some(accounts) => {
                authenticate(&mut request.headers, &self.cfg.headers, &route, accounts)?
            }
            None => None,
        };
        if account.is_some() {
            self.check_freshness(current_until)?;
        }
        let call = self.build_call(request, &route, account);
        Ok((route, call))
    }

    /// Has the configuration confirmed if it is too old for API keys, as after a time without
    /// requests, in which nobody confirms it.
    async fn confirm_configuration(&self, headers: &HeaderMap) {
        let has_key = headers.contains_key(&self.cfg.headers.credential);
        let Some(withdrawal) = self.cfg.key_withdrawal.filter(|_| has_key) else {
            return;
        };
        let freshness = &self.blackboard.config_freshness;
        let now = BootClock.now();
        freshness.note_need(now);
        let is_current = withdrawal.admits(freshness.current_until(), now);
        if !is_current && !freshness.is_failing() {
            freshness.wait_for_confirmation(CONFIRMATION_WAIT).await;
        }
    }

    /// Refuses a request with an API key if the key may have been withdrawn too long ago.
    fn check_freshness(&self, current_until: Timestamp) -> Result<(), Failure> {
        let Some(withdrawal) = &self.cfg.key_withdrawal else {
            return Ok(());
        };
        if withdrawal.admits(current_until, BootClock.now()) {
            return Ok(());
        }
        let reason = "the configuration may be too old for API keys";
        Err(Failure {
            retry_after: STALE_CONFIGURATION_RETRY_AFTER,
            ..Failure::before_arrival(ErrorKind::StaleConfiguration, reason)
        })
    }

    fn build_call(
        &self,
        request: CallerRequest,
        route: &HostRoute,
        account: Option<Arc<ClientAccount>>,
    ) -> Call {
        let mut headers = request.headers;
        let names = &self.cfg.headers;
        let request_id = headers.get(&names.request_id).cloned();
        let time_left: Option<u64> = headers
            .get(&names.time_left)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let time_left = time_left.map_or(route.timeout, Duration::from_millis);
        let class = request_class(&route.name);
        let elapsed = self
            .first_attempt_estimator
            .borrow_mut()
            .elapsed(class, time_left);
        remove_hop_headers(&mut headers);
        if let Some(account) = &account {
            write_account(&mut headers, names, account);
        }
        let account_priority = account.as_ref().and_then(|account| account.priority);
        Call {
            method: request.method,
            target: request.target,
            headers,
            body: request.body,
            request_id: request_id.unwrap_or_else(|| HeaderValue::from_static("")),
            caller_service: self.caller_service.clone(),
            account,
            service: route.pick_service(self.placement.random()).to_owned(),
            is_idempotent: route.is_idempotent,
            demand: Demand {
                class,
                priority: account_priority.unwrap_or(route.priority),
                arrived: request.arrived,
                target_at: request.arrived + route.latency_target.saturating_sub(elapsed),
                deadline: request.arrived + time_left.min(route.timeout),
            },
            may_wait: may_wait(0),
            is_version_chosen: false,
        }
    }

    async fn run_attempts(
        &self,
        route: &HostRoute,
        call: &mut Call,
        progress: &mut Progress,
    ) -> RequestResult {
        let Progress {
            attempts,
            last_endpoint,
        } = progress;
        let mut tried: Vec<Arc<Endpoint>> = Vec::new();
        // Endpoints that had no free slot. The request may still wait for one there.
        let mut full: Vec<Arc<Endpoint>> = Vec::new();
        let mut last_result: Option<RequestResult> = None;
        // Result of an attempt in which the request may have run. A later refusal must not hide it.
        let mut possibly_ran: Option<RequestResult> = None;
        loop {
            if self.blackboard.quarantine.refuses(|| call.fingerprint()) {
                return possibly_ran.unwrap_or_else(|| Err(Failure::quarantined()));
            }
            call.may_wait = may_wait(attempts.placed);
            if call.may_wait {
                full.clear();
            }
            let attempt = version_choice::Attempt {
                is_first: attempts.placed == 0,
                has_arrived: attempts.arrived > 0,
            };
            let mut chosen = self
                .placement
                .choose(call, attempt, tried.iter().chain(&full));
            if chosen.is_none() && !full.is_empty() {
                call.may_wait = true;
                full.clear();
                chosen = self.placement.choose(call, attempt, tried.iter());
            }
            let Some(endpoint) = chosen else {
                return possibly_ran
                    .or(last_result)
                    .unwrap_or_else(|| Err(Failure::no_backend(&call.service)));
            };
            attempts.placed += 1;
            *last_endpoint = Some(Arc::clone(&endpoint));
            let result = self.run_attempt(call, &endpoint).await;
            match found_no_free_slot(call, &result) {
                true => full.push(endpoint),
                false => tried.push(endpoint),
            }
            let (end, has_arrived) = attempt_end(&result);
            let is_refusal = matches!(end, AttemptEnd::NotRun { .. });
            let result = match possibly_ran.take() {
                Some(earlier) if is_refusal => earlier,
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
            debug!(id = call.id(), ?end, ?step, "origin: attempt ended");
            match step {
                NextStep::Finish => return result,
                NextStep::Retry if !self.withdraw_retry() => return result,
                NextStep::Retry => self.metrics.retries.inc(),
                NextStep::PlaceElsewhere => {}
            }
            match may_have_run(&result) {
                true => possibly_ran = Some(result),
                false => last_result = Some(result),
            }
        }
    }

    async fn run_attempt(&self, call: &Call, endpoint: &Endpoint) -> AttemptResult {
        let mut outstanding = OutstandingRequest::begin(endpoint, self.clock);
        let result = match endpoint.is_local {
            true => self.backend.run(call).await,
            false => self.peers.run(call, endpoint).await,
        };
        outstanding.is_finished = true;
        if let Ok(answer) = &result {
            endpoint.stats.record_delay(answer.delay, self.clock.now());
            if self.cfg.headers.is_departure_announced(&answer.headers) {
                endpoint.stats.mark_leaving();
            }
        }
        drop(outstanding);
        self.placement.record_outcome(call, endpoint, &result);
        result
    }
}

fn host_of(headers: &HeaderMap) -> &str {
    let host = headers.get(HOST);
    host.and_then(|host| host.to_str().ok()).unwrap_or("")
}
