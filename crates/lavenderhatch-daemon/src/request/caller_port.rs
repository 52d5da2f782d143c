//! The port for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use lavenderhatch_core::blackboard::Blackboard;
use lavenderhatch_core::call::{
    CALL_ID_HEADER, CallAnswer, DEADLINE_HEADER, DEPTH_HEADER, ERROR_HEADER, Header, KEY_HEADER,
    OUTCOME_HEADER, RETRY_AFTER_HEADER, RETRY_EXHAUSTED, RETRY_HEADER, VERSION_HEADER,
};
use lavenderhatch_core::drain::InFlightGuard;
use lavenderhatch_core::{Error, ErrorKind};

use super::backend::{Backend, is_passed_on};
use super::path::{IncomingRequest, PeerCaller, RequestPath};
use crate::http::{Handler, HttpRequest, HttpResponse, HttpServer};

/// Largest body before a configuration is in force, in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 1024 * 1024;
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The bound port for callers. Its threads end with the process.
#[derive(Debug)]
pub struct CallerPort {
    server: HttpServer,
}

impl CallerPort {
    /// Binds the address and answers callers on one thread a connection.
    pub fn bind<B: Backend, L: PeerCaller>(
        addr: SocketAddr,
        max_connections: usize,
        idle_timeout: Duration,
        board: Blackboard,
        path: Arc<RequestPath<B, L>>,
    ) -> Result<Self> {
        let handler = CallerHandler { board, path };
        let server = HttpServer::bind(addr, max_connections, idle_timeout, handler)?;
        Ok(Self { server })
    }

    /// The bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}

struct CallerHandler<B, L> {
    board: Blackboard,
    path: Arc<RequestPath<B, L>>,
}

impl<B: Backend, L: PeerCaller> Handler for CallerHandler<B, L> {
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
        let answer = match (guard, ReadRequest::new(req)) {
            (Ok(_), Ok(read)) => self
                .path
                .handle(&read.as_incoming(), &mut rand::random::<u64>),
            (Err(err), _) => CallAnswer::from_error(err.kind(), err.message()),
            (_, Err((kind, message))) => CallAnswer::from_error(kind, message),
        };
        self.to_response(answer)
    }

    fn refuse(&self, kind: ErrorKind, message: &str) -> HttpResponse {
        self.to_response(CallAnswer::from_error(kind, message))
    }
}

impl<B, L> CallerHandler<B, L> {
    fn to_response(&self, answer: CallAnswer) -> HttpResponse {
        let config = self.board.config.load();
        let version = config.as_ref().as_ref().map(|config| config.version.0);
        let mut res = to_response(answer, version);
        // The end of the connection makes callers that keep it open move on.
        res.is_last = self.board.drains.load().is_leaving();
        res
    }
}

/// A request with the headers that concern lavenderhatch.
struct ReadRequest<'a> {
    req: &'a HttpRequest,
    headers: Vec<Header>,
    key: Option<&'a str>,
    deadline: Option<Duration>,
    depth: u8,
    call_id: Option<&'a str>,
}

type ReadFault = (ErrorKind, &'static str);

impl<'a> ReadRequest<'a> {
    fn new(req: &'a HttpRequest) -> Result<Self, ReadFault> {
        let key = req.header(KEY_HEADER);
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
            return Err((
                ErrorKind::BadRequest,
                "an idempotency key has 1 to 255 bytes",
            ));
        }
        let passed_on = |header: &&Header| is_passed_on(&header.name);
        let deadline = parse_header(req.header(DEADLINE_HEADER))?;
        Ok(Self {
            req,
            headers: req.headers.iter().filter(passed_on).cloned().collect(),
            key,
            deadline: deadline.map(Duration::from_millis),
            depth: parse_header(req.header(DEPTH_HEADER))?.unwrap_or(0),
            call_id: req.header(CALL_ID_HEADER),
        })
    }

    fn as_incoming(&self) -> IncomingRequest<'_> {
        IncomingRequest {
            method: &self.req.method,
            target: &self.req.target,
            headers: &self.headers,
            body: &self.req.body,
            key: self.key,
            deadline: self.deadline,
            depth: self.depth,
            call_id: self.call_id,
        }
    }
}

fn parse_header<T: std::str::FromStr>(value: Option<&str>) -> Result<Option<T>, ReadFault> {
    let fault = (
        ErrorKind::BadRequest,
        "a header of lavenderhatch is not a number",
    );
    value
        .map(|text| text.parse().map_err(|_| fault))
        .transpose()
}

fn to_response(answer: CallAnswer, version: Option<u64>) -> HttpResponse {
    let mut res = HttpResponse {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
        is_last: false,
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
    if let Some(version) = version {
        res.add(VERSION_HEADER, &version.to_string());
    }
    res
}
