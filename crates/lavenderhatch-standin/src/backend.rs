//! The HTTP server of the stand-in.
//!
//! `GET /health` and `GET /load` report what the configured behaviour says. Any other request runs
//! in a slot, and its response contains the name of the stand-in, the method, the target and the
//! body of the request.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

use lavenderhatch_core::call::{DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER};
use lavenderhatch_core::{Error, ErrorKind};
use oxhttp::model::header::{HeaderName, HeaderValue};
use oxhttp::model::{Body, Request, Response, StatusCode};
use oxhttp::{ListeningServer, Server};

use crate::behaviour::Behaviour;
use crate::slots::Slots;

/// Header with the id of a request, which the response echoes.
pub const REQUEST_ID_HEADER: &str = "request-id";
/// Header that marks a response as coming from a stand-in.
pub const SIGNATURE_HEADER: &str = "signature";
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time allowed for a request without a deadline header.
const DEFAULT_REMAINING_TIME: Duration = Duration::from_secs(60);

/// Counts of the requests that a stand-in has run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Number of requests that ran.
    pub total: u64,
    /// Number of requests that ran, by idempotency key. Requests without a key are not included.
    pub by_key: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct State {
    name: String,
    behaviour: RwLock<Behaviour>,
    slots: Slots,
    started_requests: AtomicU64,
    counts: Mutex<RunCounts>,
}

/// A running back-end stand-in.
///
/// Its threads end with the process.
pub struct BackendStandin {
    state: Arc<State>,
    addr: SocketAddr,
    _listening: ListeningServer,
}

impl BackendStandin {
    /// Binds `addr` and starts to serve requests.
    pub fn bind(addr: SocketAddr, name: &str, behaviour: Behaviour) -> Result<Self, Error> {
        let state = State {
            name: name.to_owned(),
            behaviour: RwLock::new(behaviour),
            ..State::default()
        };
        let state = Arc::new(state);
        let shared = Arc::clone(&state);
        let server = Server::new(move |req| handle(&shared, req))
            .bind(addr)
            .with_global_timeout(IDLE_TIMEOUT);
        let listening = server.spawn().map_err(|err| {
            Error::new(
                ErrorKind::Internal,
                format!("cannot listen on {addr}: {err}"),
            )
        })?;
        Ok(Self {
            state,
            addr,
            _listening: listening,
        })
    }

    /// Returns the address on which the stand-in listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the behaviour for requests that arrive after this call.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        let mut current = self
            .state
            .behaviour
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *current = behaviour;
    }

    /// Returns the counts of the requests that have run so far.
    pub fn counts(&self) -> RunCounts {
        self.state
            .counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the number of requests that are running.
    pub fn in_flight(&self) -> u32 {
        self.state.slots.in_use()
    }
}

fn handle(state: &State, req: &mut Request<Body>) -> Response<Body> {
    let behaviour = state
        .behaviour
        .read()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    match (req.method().as_str(), req.uri().path()) {
        ("GET", "/health") => match behaviour.claims_healthy {
            true => text_response(200, "ok\n"),
            false => text_response(503, "not ok\n"),
        },
        ("GET", "/load") => {
            let load = behaviour
                .claimed_load
                .unwrap_or_else(|| state.slots.in_use());
            text_response(200, &format!("{load}\n"))
        }
        _ => run_request(state, &behaviour, req),
    }
}

fn run_request(state: &State, behaviour: &Behaviour, req: &mut Request<Body>) -> Response<Body> {
    let mut body = Vec::new();
    if req.body_mut().read_to_end(&mut body).is_err() {
        return text_response(400, "the body ended early\n");
    }
    let deadline = Instant::now() + remaining_time(req);
    if !state.slots.acquire(behaviour.slots, deadline) {
        return text_response(503, "no slot before the deadline\n");
    }
    let request_number = state.started_requests.fetch_add(1, Ordering::Relaxed) + 1;
    record_run(state, req);
    let cold_start_ms = if request_number <= behaviour.cold_requests {
        behaviour.cold_extra_ms
    } else {
        0
    };
    state
        .slots
        .simulate_work(Duration::from_millis(behaviour.service_ms + cold_start_ms));
    state.slots.release();
    if behaviour.fail_every != 0 && request_number.is_multiple_of(behaviour.fail_every) {
        return text_response(500, "injected failure\n");
    }
    let target = req
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let first_line = format!("{} {} {target}\n", state.name, req.method());
    let mut response_body = first_line.into_bytes();
    response_body.extend_from_slice(&body);
    let mut res = Response::new(Body::from(response_body));
    let id = req.headers().get(REQUEST_ID_HEADER).cloned();
    let headers = res.headers_mut();
    headers.extend(id.map(|id| (HeaderName::from_static(REQUEST_ID_HEADER), id)));
    headers.insert(SIGNATURE_HEADER, HeaderValue::from_static("standin"));
    res
}

fn remaining_time(req: &Request<Body>) -> Duration {
    let header = req
        .headers()
        .get(DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok());
    let millis = header.and_then(|text| text.parse().ok());
    millis.map_or(DEFAULT_REMAINING_TIME, Duration::from_millis)
}

fn record_run(state: &State, req: &Request<Body>) {
    let key = req
        .headers()
        .get(IDEMPOTENCY_KEY_HEADER)
        .and_then(|value| value.to_str().ok());
    let mut counts = state.counts.lock().unwrap_or_else(PoisonError::into_inner);
    counts.total += 1;
    if let Some(key) = key {
        *counts.by_key.entry(key.to_owned()).or_default() += 1;
    }
}

fn text_response(code: u16, message: &str) -> Response<Body> {
    let mut res = Response::new(Body::from(message.to_owned()));
    *res.status_mut() = StatusCode::from_u16(code).unwrap_or_default();
    res
}
