//! Obtains tokens for the requests of this daemon's callers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode, Uri};
use lavenderhatch_core::routing::{AccountLimit, ClientAccount};
use lavenderhatch_decide::quota::{
    AccountId, Borrower, DaemonSet, Decision, MAX_WAIT, Outgoing, QuotaResponse, Ticket,
    TicketOutcome, Token,
};
use rand::Rng;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::{debug, info, warn};

use super::last_seen::LastSeen;
use super::limits_in_force::limited_accounts;
use super::waiting_requests::WaitingRequests;
use super::{MAX_MESSAGE_BYTES, QUOTA_PATH, QuotaMetrics, codec};
use crate::blackboard::{Blackboard, EndpointSnapshot};
use crate::boot_clock::BootClock;
use crate::config::RelayConfig;
use crate::io::{ClientPool, ClientTimeouts, ExchangeOptions, UNACKNOWLEDGED_TIMEOUT};
use crate::log_rate_limiter::LogRateLimiter;

/// Time after which a message without an answer has failed. Longer than a pause of a busy machine,
/// and short enough that the next coordinator has the share soon after the lease.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a connection to a coordinator.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time for which an idle connection is reused.
const IDLE_LIMIT: Duration = Duration::from_secs(2);
/// Longest time between two looks at the daemons on the blackboard.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Tokens for the requests of accounts with a limit.
///
/// A task sends the messages to coordinators. It runs only while an account has a limit.
#[derive(Debug)]
pub(crate) struct QuotaClient {
    blackboard: Blackboard,
    /// Address on which this daemon listens for other daemons.
    own_addr: SocketAddr,
    /// Whether limits apply.
    is_enabled: bool,
    metrics: QuotaMetrics,
    borrower: RefCell<Borrower>,
    daemons: RefCell<DaemonSet>,
    /// Snapshot that `daemons` was last updated from.
    endpoints: RefCell<LastSeen<EndpointSnapshot>>,
    waiting: WaitingRequests,
    pool: ClientPool,
    is_running: Cell<bool>,
    /// Wakes the task when a message is due earlier.
    hurried: Notify,
    refusal_lines: RefCell<LogRateLimiter>,
    failure_lines: RefCell<LogRateLimiter>,
}

impl QuotaClient {
    pub(crate) fn new(
        blackboard: Blackboard,
        cfg: &RelayConfig,
        metrics: QuotaMetrics,
    ) -> Rc<Self> {
        let borrower = Borrower::new(rand::rng().next_u32(), BootClock.now());
        let pool = ClientPool::new(ClientTimeouts {
            connect: CONNECT_TIMEOUT,
            idle: IDLE_LIMIT,
            unacknowledged: UNACKNOWLEDGED_TIMEOUT,
        });
        Rc::new(Self {
            blackboard,
            own_addr: cfg.peer_addr,
            is_enabled: cfg.enforces_account_limits,
            metrics,
            borrower: RefCell::new(borrower),
            daemons: RefCell::default(),
            endpoints: RefCell::default(),
            waiting: WaitingRequests::default(),
            pool,
            is_running: Cell::new(false),
            hurried: Notify::new(),
            refusal_lines: RefCell::default(),
            failure_lines: RefCell::default(),
        })
    }

    /// Obtains a token for a request of `account`; `None` if the account has no limit. Waits for at
    /// most [`MAX_WAIT`]. Fails with the time after which a token is expected.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        account: Option<&ClientAccount>,
    ) -> Result<Option<Token>, Duration> {
        let account = account.filter(|_| self.is_enabled);
        let limited = account.and_then(|account| Some((account, account.limit?)));
        let Some((account, limit)) = limited else {
            return Ok(None);
        };
        let result = self
            .acquire_limited(AccountId::of(&account.name), limit)
            .await;
        if let Err(retry_after) = &result {
            self.metrics.count_request("refused");
            let admitted = self.refusal_lines.borrow_mut().admit(BootClock.now());
            if let Some(lines_dropped) = admitted {
                info!(
                    account = account.name,
                    rate = limit.rate,
                    burst = limit.burst,
                    retry_after_ms = retry_after.as_millis() as u64,
                    lines_dropped,
                    "quota: request refused, its client account is beyond its limit"
                );
            }
        }
        result.map(Some)
    }

    /// Takes back a token whose request did not run.
    pub(crate) fn give_back(&self, token: Token) {
        self.metrics.count_request("given_back");
        let outcomes = self.borrower.borrow_mut().give_back(token, BootClock.now());
        self.finish(outcomes);
    }

    /// Starts the task if an account has a limit, and closes idle connections.
    pub(crate) fn run_maintenance(self: &Rc<Self>) {
        if self.has_limits() {
            self.start();
        }
        self.pool.close_expired();
    }

    async fn acquire_limited(
        self: &Rc<Self>,
        account: AccountId,
        limit: AccountLimit,
    ) -> Result<Token, Duration> {
        self.start();
        let (decision, is_hurried) = {
            let mut borrower = self.borrower.borrow_mut();
            let decision = borrower.request(account, limit, BootClock.now());
            (decision, borrower.take_hurry())
        };
        if is_hurried {
            self.hurried.notify_one();
        }
        match decision {
            Decision::Granted(token) => {
                self.metrics.count_request("granted");
                Ok(token)
            }
            Decision::Refused(retry_after) => Err(retry_after),
            Decision::Wait(ticket) => self.wait(account, ticket).await,
        }
    }

    async fn wait(&self, account: AccountId, ticket: Ticket) -> Result<Token, Duration> {
        let outcome = self.waiting.add(ticket);
        match timeout(MAX_WAIT, outcome).await {
            Ok(Ok(result)) => {
                if result.is_ok() {
                    self.metrics.count_request("granted_after_wait");
                }
                result
            }
            _ => {
                self.waiting.remove(ticket);
                let mut borrower = self.borrower.borrow_mut();
                Err(borrower.cancel(account, ticket, BootClock.now()))
            }
        }
    }

    fn has_limits(&self) -> bool {
        self.is_enabled && !limited_accounts(&self.blackboard.routing.load()).is_empty()
    }

    fn start(self: &Rc<Self>) {
        if !self.is_running.replace(true) {
            // The daemons must be known before the first decision.
            self.refresh();
            spawn_local(Rc::clone(self).run());
        }
    }

    /// Sends the messages that are due until no account has a limit.
    async fn run(self: Rc<Self>) {
        info!("quota: accounts have limits, shares are delegated");
        while self.has_limits() {
            self.refresh();
            let now = BootClock.now();
            let messages = self.borrower.borrow_mut().messages(now);
            for message in messages {
                spawn_local(Rc::clone(&self).exchange(message));
            }
            let next = self.borrower.borrow().next_send(now);
            let wait = next.map_or(REFRESH_INTERVAL, |next| next.since(now));
            // Timestamps have millisecond resolution.
            let wait = wait.clamp(Duration::from_millis(1), REFRESH_INTERVAL);
            let _ = timeout(wait, self.hurried.notified()).await;
        }
        self.is_running.set(false);
        info!("quota: no account has a limit");
    }

    /// Applies the daemons on the blackboard.
    fn refresh(&self) {
        let now = BootClock.now();
        let snapshot = self.blackboard.endpoints.load();
        let mut daemons = self.daemons.borrow_mut();
        if self.endpoints.borrow_mut().replace(&snapshot) {
            daemons.observe(snapshot.daemons(), now);
        } else if !daemons.is_settling(now) {
            return;
        }
        let view = daemons.view(self.own_addr, now);
        self.borrower.borrow_mut().set_view(view, now);
    }

    async fn exchange(self: Rc<Self>, message: Outgoing) {
        let answer = timeout(ANSWER_TIMEOUT, self.send(&message)).await;
        let answer = answer.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        let now = BootClock.now();
        match answer {
            Ok(response) => {
                self.metrics.count_message("answered");
                let outcomes = self
                    .borrower
                    .borrow_mut()
                    .apply_response(&message, &response, now);
                self.finish(outcomes);
            }
            Err(err) => {
                self.metrics.count_message("failed");
                if let Some(lines_dropped) = self.failure_lines.borrow_mut().admit(now) {
                    let coordinator = message.to;
                    warn!(%coordinator, error = err, lines_dropped, "quota: no answer");
                }
                self.borrower.borrow_mut().apply_failure(&message, now);
            }
        }
        self.hurried.notify_one();
    }

    async fn send(&self, message: &Outgoing) -> Result<QuotaResponse, String> {
        let body = codec::encode(&message.request).map_err(|err| err.to_string())?;
        self.metrics.count_bytes("sent", body.len());
        let options = ExchangeOptions {
            max_idle: IDLE_LIMIT,
            max_bytes: MAX_MESSAGE_BYTES,
            is_reusable: |_: &Parts| true,
        };
        let answer = self
            .pool
            .exchange(message.to, request(message.to, body), options);
        let answer = answer.await.map_err(|err| err.to_string())?;
        self.metrics.count_bytes("received", answer.body.len());
        if answer.parts.status != StatusCode::OK {
            return Err(format!("status {}", answer.parts.status));
        }
        codec::decode(&answer.body).map_err(|err| err.to_string())
    }

    /// Ends the waits of requests. A token of a request that has been cancelled goes to the next
    /// one.
    fn finish(&self, outcomes: Vec<TicketOutcome>) {
        let mut outcomes = outcomes;
        while let Some(outcome) = outcomes.pop() {
            if let Some(token) = self.waiting.finish(outcome) {
                debug!("quota: the request of a token has been cancelled");
                let mut borrower = self.borrower.borrow_mut();
                outcomes.extend(borrower.give_back(token, BootClock.now()));
            }
        }
    }
}

fn request(to: SocketAddr, body: Bytes) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = Uri::from_static(QUOTA_PATH);
    if let Ok(host) = HeaderValue::from_str(&to.to_string()) {
        req.headers_mut().insert(HOST, host);
    }
    req
}
