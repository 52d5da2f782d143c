//! The port to which other daemons forward requests.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use lavenderhatch_core::routing::CallerLimits;
use lavenderhatch_core::{ErrorKind, Timestamp};
use lavenderhatch_decide::relay::{ByteUse, LinkBacklog};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::debug;

use super::attempt::{AttemptResult, BackendAnswer, Failure};
use super::call::Call;
use super::connection::{Disconnected, ServeResult, serve_connection, wait_for_shutdown};
use super::crash_headers::{read_crash_digest, write_crashes};
use super::crash_news::{answer_crash_news, is_crash_news};
use super::hop_headers::remove_hop_headers;
use super::local_backend::LocalBackend;
use super::packed_headers::{pack, unpack};
use super::peer_headers::{
    AnswerTimes, ForwardedCall, is_forwarded_call, read_announced_body, read_call, read_version,
    write_failure, write_load, write_times, write_version, write_version_age,
};
use super::port::Port;
use super::ready_answer::ReadyAnswer;
use super::request_log::RequestLog;
use super::versions::{answer_question, is_question, write_rule};
use crate::blackboard::Blackboard;
use crate::config::RelayConfig;
use crate::connections::ConnectionSlot;
use crate::io::{
    BodyError, BodyLimits, HeadLimits, ReadAhead, ServerStream, configure_stream, read_body,
};
use crate::metrics::Metrics;
use crate::quota::{QUOTA_PATH, QuotaServer};

/// Header lines that a daemon adds to a request when it hands it over, and some for later versions.
const HAND_OVER_HEADER_LINES: usize = 32;
/// Longest time for which a head from another daemon may arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which a body from another daemon, which holds all of it, may stand still.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs requests from other daemons on the local backend server.
#[derive(Debug)]
pub(crate) struct PeerPort {
    backend: LocalBackend,
    log: RequestLog,
    quota: QuotaServer,
    metrics: Metrics,
    /// Bodies on their way here; `None` if the rate of the link is not known.
    link_backlog: RefCell<Option<LinkBacklog>>,
}

impl PeerPort {
    pub(crate) fn new(backend: LocalBackend, cfg: &RelayConfig, metrics: Metrics) -> Rc<Self> {
        let now = backend.clock.now();
        let link = cfg.link_bytes_per_second;
        let quota = QuotaServer::new(backend.blackboard.clone(), metrics.quota.clone());
        let log = RequestLog::new(backend.blackboard.clone(), metrics.clone());
        Rc::new(Self {
            backend,
            log,
            quota,
            metrics,
            link_backlog: RefCell::new(link.map(|link| LinkBacklog::new(link, now))),
        })
    }

    /// Answers a request, with packed headers if it has packed ones.
    async fn answer(&self, mut req: Request<Incoming>) -> ServeResult {
        let request_id = req.headers().get(self.backend.request_id_name()).cloned();
        if is_question(req.headers()) {
            let res = answer_question(req.headers(), &self.backend);
            return Ok(ReadyAnswer::new(res, request_id, None));
        }
        if is_crash_news(req.headers(), req.uri().path()) {
            let (blackboard, clock) = (&self.backend.blackboard, self.backend.clock);
            let res = answer_crash_news(req.headers(), blackboard, clock);
            return Ok(ReadyAnswer::new(res, request_id, None));
        }
        let is_packed = unpack(req.headers_mut());
        // Other messages, such as those on limits of accounts, do not tell what the sender knows.
        let is_call = is_forwarded_call(req.headers());
        let known_crashes = is_call.then(|| read_crash_digest(req.headers()));
        let guard = self.backend.blackboard.lifecycle.track_request();
        let mut res = match &guard {
            Some(_) => self.run(req).await?,
            None => {
                let reason = "this daemon is leaving";
                let failure = Failure::before_arrival(ErrorKind::Leaving, reason);
                self.respond(Err(failure))
            }
        };
        if let Some(known) = known_crashes {
            let (now, quarantine) = (
                self.backend.clock.now(),
                &self.backend.blackboard.quarantine,
            );
            write_crashes(res.headers_mut(), quarantine, known, now);
        }
        if is_packed {
            pack(res.headers_mut());
        }
        Ok(ReadyAnswer::new(res, request_id, guard))
    }

    /// Runs a request on the local backend server.
    async fn run(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Disconnected> {
        if let Some(version) = read_version(req.headers()) {
            self.backend.blackboard.newest_version.report(version);
        }
        // A caller may send a request with this path.
        if req.uri().path() == QUOTA_PATH && !is_forwarded_call(req.headers()) {
            return Ok(self.quota.answer(req).await);
        }
        let now = self.backend.clock.now();
        let Some(forwarded) = read_call(req.headers(), now) else {
            let reason = "a header of the hand-over is missing";
            let failure = Failure::before_arrival(ErrorKind::BadRequest, reason);
            return Ok(self.respond(Err(failure)));
        };
        if let Some(bytes) = read_announced_body(req.headers()) {
            return Ok(self.answer_inquiry(&forwarded, bytes));
        }
        let limit = forwarded.demand.deadline.since(now);
        let call = match self.receive_call(req, forwarded).await {
            Ok(call) => call,
            Err(BodyError::Failed(_)) => return Err(Disconnected),
            Err(err) => return Ok(self.respond(Err(Failure::unread_body(&err)))),
        };
        let attempt = match timeout(limit, self.backend.run(&call)).await {
            Ok(attempt) => attempt,
            Err(_) => Err(Failure::after_arrival(
                ErrorKind::DeadlinePassed,
                "the deadline passed at the backend server",
            )),
        };
        let (now, load) = (self.backend.clock.now(), self.backend.gate.load());
        self.log.peer_request_ended(&call, &attempt, load, now);
        Ok(self.respond_since(call.demand.arrived, attempt))
    }

    /// Answers the question whether a request with a body of `bytes` would be taken.
    fn answer_inquiry(&self, forwarded: &ForwardedCall, bytes: u64) -> Response<Full<Bytes>> {
        let ForwardedCall {
            service,
            demand,
            may_wait,
            ..
        } = forwarded;
        let checked = self.backend.check_admission(service, demand, *may_wait);
        let admitted = checked.and_then(|()| self.admit_body(bytes, demand.arrived));
        let attempt = admitted.map(|()| BackendAnswer {
            status: StatusCode::NO_CONTENT,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            service_time: Duration::ZERO,
            mean_service_time: Duration::ZERO,
            delay: Duration::ZERO,
        });
        self.respond_since(demand.arrived, attempt)
    }

    /// Admits a body that another daemon is going to send.
    fn admit_body(&self, bytes: u64, now: Timestamp) -> Result<(), Failure> {
        // A larger one is refused once it arrives.
        let bytes = bytes.min(self.max_body_bytes() as u64);
        let mut backlog = self.link_backlog.borrow_mut();
        let admitted = backlog
            .as_mut()
            .map_or(Ok(()), |link| link.admit(bytes, now));
        admitted.map_err(|retry_after| {
            self.metrics.link_refusals.inc();
            Failure {
                retry_after,
                ..Failure::before_arrival(ErrorKind::LinkFull, "the link is full of bodies")
            }
        })
    }

    /// Returns the maximum size of a body. The other daemon may have a version in force that allows
    /// more than the one here.
    fn max_body_bytes(&self) -> usize {
        let routing = self.backend.blackboard.routing.load();
        let table = routing.as_ref().as_ref();
        let limits = table.map_or_else(CallerLimits::default, |table| table.limits);
        limits
            .max_body_bytes
            .max(CallerLimits::default().max_body_bytes)
    }

    async fn receive_call(
        &self,
        req: Request<Incoming>,
        forwarded: ForwardedCall,
    ) -> Result<Call, BodyError> {
        let (parts, body) = req.into_parts();
        let limits = BodyLimits {
            byte_use: ByteUse::PeerBody,
            max_bytes: self.max_body_bytes(),
            idle_timeout: Some(BODY_IDLE_TIMEOUT),
        };
        let body = read_body(body, &self.backend.budget, limits, || ()).await?;
        let mut headers = parts.headers;
        remove_hop_headers(&mut headers);
        let request_id = headers.get(self.backend.request_id_name()).cloned();
        Ok(Call {
            method: parts.method,
            target: parts.uri,
            headers,
            body,
            request_id: request_id.unwrap_or_else(|| HeaderValue::from_static("")),
            caller_service: forwarded.caller_service,
            account: None,
            service: forwarded.service,
            is_idempotent: forwarded.is_idempotent,
            demand: forwarded.demand,
            may_wait: forwarded.may_wait,
            is_version_chosen: forwarded.is_version_chosen,
        })
    }

    fn respond(&self, attempt: AttemptResult) -> Response<Full<Bytes>> {
        self.respond_since(self.backend.clock.now(), attempt)
    }

    /// Builds the answer to a request that arrived at `arrived`.
    fn respond_since(&self, arrived: Timestamp, attempt: AttemptResult) -> Response<Full<Bytes>> {
        let is_refusal = attempt.as_ref().is_err_and(|err| err.kind.is_not_run());
        let mut res = match attempt {
            Ok(answer) => {
                let mut res = Response::new(Full::new(answer.body));
                *res.status_mut() = answer.status;
                *res.headers_mut() = answer.headers;
                let times = AnswerTimes {
                    service_time: answer.service_time,
                    mean_service_time: answer.mean_service_time,
                    time_at_daemon: self.backend.clock.now().since(arrived),
                };
                write_times(res.headers_mut(), &times);
                res
            }
            Err(failure) => {
                let mut res = Response::new(Full::new(Bytes::from(failure.reason.clone())));
                let status = StatusCode::from_u16(failure.kind.response().status);
                *res.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
                write_failure(res.headers_mut(), &failure);
                res
            }
        };
        write_load(res.headers_mut(), self.backend.gate.load());
        write_rule(res.headers_mut(), &self.backend, is_refusal);
        let blackboard = &self.backend.blackboard;
        // The age must be read before the version that it is stated for.
        if let Some(age) = blackboard.config_freshness.age() {
            write_version_age(res.headers_mut(), age);
        }
        write_version(res.headers_mut(), blackboard.version());
        res
    }
}

impl Port for PeerPort {
    fn blackboard(&self) -> &Blackboard {
        &self.backend.blackboard
    }

    fn run_maintenance(&self) {
        self.backend.close_expired();
    }

    async fn serve_stream(self: Rc<Self>, stream: TcpStream, slot: ConnectionSlot) {
        if let Err(err) = configure_stream(&stream) {
            return debug!(error = %err, "peer: cannot configure a connection");
        }
        let lifecycle = &self.backend.blackboard.lifecycle;
        let max_lines = self.backend.max_header_lines + HAND_OVER_HEADER_LINES;
        let head_limits = HeadLimits {
            max_lines,
            timeout: HEAD_TIMEOUT,
        };
        let budget = self.backend.budget.clone();
        let stream = ServerStream::new(stream, lifecycle, budget, slot, head_limits);
        let mut closed = lifecycle.watch_ports_closed();
        let answer = |req| {
            let port = Rc::clone(&self);
            let stream = stream.clone();
            async move {
                tokio::select! {
                    // Notices that the other daemon has cancelled the request before forwarding it.
                    biased;
                    () = disconnected(&stream) => Err(Disconnected),
                    res = port.answer(req) => res,
                }
            }
        };
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            // The date of an answer is of no use to another daemon.
            .auto_date_header(false)
            .max_headers(max_lines);
        let shutdown = wait_for_shutdown(&stream, &mut closed);
        serve_connection(&builder, stream.clone(), lifecycle, shutdown, answer).await;
    }
}

/// Completes when the other daemon has closed the connection.
///
/// Daemons do not pipeline requests, so a further request is ignored here.
async fn disconnected(stream: &ServerStream) {
    while let ReadAhead::Request(_) = stream.read_ahead().await {}
}
