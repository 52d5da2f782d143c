//! The HTTP port for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use lavenderhatch_core::blackboard::Blackboard;
use lavenderhatch_core::call::{
    CALL_ID_HEADER, CallResponse, DEADLINE_HEADER, ERROR_HEADER, HOP_COUNT_HEADER, Header,
    IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, RETRY_AFTER_HEADER, RETRY_EXHAUSTED, RETRY_HEADER,
    VERSION_HEADER,
};
use lavenderhatch_core::drain::InFlightGuard;
use lavenderhatch_core::{Error, ErrorKind};

use super::backend::{Backend, is_forwarded_header};
use super::observer::CallObserver;
use super::path::{CallForwarder, IncomingRequest, RequestPath};
use crate::http::{Handler, HttpRequest, HttpResponse, HttpServer};

/// Maximum size of a body before a configuration is in force, in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 1024 * 1024;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The bound port for callers. Dropping it closes the port without waiting for running calls.
#[derive(Debug)]
pub struct CallerPort {
    server: HttpServer,
}

impl CallerPort {
    /// Binds the address and answers callers on at most one thread per connection.
    pub fn bind<B: Backend, L: CallForwarder>(
        addr: SocketAddr,
        max_connections: usize,
        idle_timeout: Duration,
        board: Blackboard,
        path: Arc<RequestPath<B, L>>,
        observer: CallObserver,
    ) -> Result<Self> {
        let handler = CallerHandler {
            board,
            path,
            observer,
        };
        let server = HttpServer::bind(addr, max_connections, idle_timeout, handler)?;
        Ok(Self { server })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}

struct CallerHandler<B, L> {
    board: Blackboard,
    path: Arc<RequestPath<B, L>>,
    observer: CallObserver,
}

impl<B: Backend, L: CallForwarder> Handler for CallerHandler<B, L> {
    type Guard = Result<InFlightGuard, Error>;

    fn enter(&self) -> Self::Guard {
        self.path.enter()
    }

    fn max_body_bytes(&self) -> u64 {
        let config = self.board.config.load();
        let limits = config.as_ref().as_ref().map(|config| config.mesh.limits());
        limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.max_body_bytes)
    }

    fn answer(&self, guard: &Self::Guard, req: &HttpRequest) -> HttpResponse {
        let id = req.header(CALL_ID_HEADER).filter(|id| !id.is_empty());
        let id = id.map_or_else(|| self.observer.new_call_id(rand::random()), str::to_owned);
        let answer = match (guard, ParsedRequest::new(req, &id)) {
            (Ok(_), Ok(parsed)) => self.handle(&parsed.as_incoming()),
            (Err(err), _) => self.error_answer(err.kind(), err.message()),
            (_, Err((kind, message))) => self.error_answer(kind, message),
        };
        self.to_response(answer, Some(&id))
    }

    fn reject(&self, kind: ErrorKind, message: &str) -> HttpResponse {
        self.to_response(self.error_answer(kind, message), None)
    }
}

impl<B: Backend, L: CallForwarder> CallerHandler<B, L> {
    fn handle(&self, req: &IncomingRequest<'_>) -> CallResponse {
        let config = self.board.config.load();
        self.observer.observe(config.as_ref().as_ref(), req, || {
            self.path.handle(req, &mut rand::random::<u64>)
        })
    }

    /// Creates and counts the answer to a request that does not reach the request path.
    fn error_answer(&self, kind: ErrorKind, message: &str) -> CallResponse {
        let answer = CallResponse::from_error(kind, message);
        self.observer.count_rejected(&answer);
        answer
    }

    fn to_response(&self, answer: CallResponse, call_id: Option<&str>) -> HttpResponse {
        let config = self.board.config.load();
        let version = config.as_ref().as_ref().map(|config| config.version.0);
        let mut res = to_response(answer, version, call_id);
        // Closing the connection makes a caller with keep-alive connect to another server.
        res.closes_connection = self.board.drains.load().is_leaving();
        res
    }
}

/// A request with its lavenderhatch headers parsed.
struct ParsedRequest<'a> {
    req: &'a HttpRequest,
    headers: Vec<Header>,
    key: Option<&'a str>,
    timeout: Option<Duration>,
    hop_count: u8,
    call_id: &'a str,
}

type RequestError = (ErrorKind, &'static str);

impl<'a> ParsedRequest<'a> {
    fn new(req: &'a HttpRequest, call_id: &'a str) -> Result<Self, RequestError> {
        let key = req.header(IDEMPOTENCY_KEY_HEADER);
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
            return Err((
                ErrorKind::BadRequest,
                "an idempotency key has 1 to 255 bytes",
            ));
        }
        let is_forwarded = |header: &&Header| is_forwarded_header(&header.name);
        let timeout = parse_header(req.header(DEADLINE_HEADER))?;
        Ok(Self {
            req,
            headers: req.headers.iter().filter(is_forwarded).cloned().collect(),
            key,
            timeout: timeout.map(Duration::from_millis),
            hop_count: parse_header(req.header(HOP_COUNT_HEADER))?.unwrap_or(0),
            call_id,
        })
    }

    fn as_incoming(&self) -> IncomingRequest<'_> {
        IncomingRequest {
            method: &self.req.method,
            target: &self.req.target,
            headers: &self.headers,
            body: &self.req.body,
            key: self.key,
            timeout: self.timeout,
            hop_count: self.hop_count,
            call_id: self.call_id,
        }
    }
}

fn parse_header<T: std::str::FromStr>(value: Option<&str>) -> Result<Option<T>, RequestError> {
    let error = (
        ErrorKind::BadRequest,
        "a header of lavenderhatch is not a number",
    );
    value
        .map(|text| text.parse().map_err(|_| error))
        .transpose()
}

/// Returns whether only a daemon may set a header.
///
/// A back end that passes on the answer of another service also passes on such headers, and they
/// describe another call.
fn is_daemon_header(name: &str) -> bool {
    let names = [
        CALL_ID_HEADER,
        ERROR_HEADER,
        OUTCOME_HEADER,
        RETRY_AFTER_HEADER,
        RETRY_HEADER,
        VERSION_HEADER,
    ];
    names.contains(&name)
}

fn to_response(answer: CallResponse, version: Option<u64>, call_id: Option<&str>) -> HttpResponse {
    let mut headers = answer.headers;
    headers.retain(|header| !is_daemon_header(&header.name));
    let mut res = HttpResponse {
        status: answer.status,
        headers,
        body: answer.body,
        closes_connection: false,
    };
    res.add(OUTCOME_HEADER, answer.outcome.as_str());
    if let Some(kind) = answer.error {
        res.add(ERROR_HEADER, kind.as_str());
    }
    if let Some(millis) = answer.retry_after_ms {
        res.add("retry-after", &millis.div_ceil(1000).to_string());
        res.add(RETRY_AFTER_HEADER, &millis.to_string());
    }
    if answer.is_retry_exhausted {
        res.add(RETRY_HEADER, RETRY_EXHAUSTED);
    }
    if let Some(id) = call_id {
        res.add(CALL_ID_HEADER, id);
    }
    if let Some(version) = version {
        res.add(VERSION_HEADER, &version.to_string());
    }
    res
}
