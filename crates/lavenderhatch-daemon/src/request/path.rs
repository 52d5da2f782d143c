//! From a request to its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use lavenderhatch_core::blackboard::Blackboard;
use lavenderhatch_core::call::{CallAnswer, Header, MAX_DEPTH, StoredCall};
use lavenderhatch_core::config::RouteEntry;
use lavenderhatch_core::drain::{InFlight, InFlightGuard};
use lavenderhatch_core::endpoint::Endpoint;
use lavenderhatch_core::mesh::KeyPolicy;
use lavenderhatch_core::{Error, ErrorKind, NodeId};
use lavenderhatch_decide::endpoints::counts_as_failure;
use lavenderhatch_decide::routing::choose;

use super::backend::Backend;
use super::order::{Asked, OrderClient, may_run_elsewhere, without_record};
use super::order_keys::asks_for_key;
use crate::peer::{PeerError, PeerLinks};

/// Most backend servers that are tried for one call.
const MAX_ATTEMPTS: usize = 3;

/// Hands calls to the daemons of other backend servers.
pub trait PeerCaller: Send + Sync + 'static {
    /// Hands over a call and waits for its answer.
    fn carry(
        &self,
        addr: SocketAddr,
        call: &Arc<StoredCall>,
        time_left: Duration,
    ) -> Result<CallAnswer, PeerError>;
}

impl PeerCaller for PeerLinks {
    fn carry(
        &self,
        addr: SocketAddr,
        call: &Arc<StoredCall>,
        time_left: Duration,
    ) -> Result<CallAnswer, PeerError> {
        PeerLinks::carry(self, addr, call, time_left)
    }
}

/// A request as the caller port has read it.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'a> {
    /// Method in upper case.
    pub method: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Headers with names in lower case.
    pub headers: &'a [Header],
    /// Body, whole.
    pub body: &'a [u8],
    /// Idempotency key.
    pub key: Option<&'a str>,
    /// Time that the caller allows, if it says so.
    pub deadline: Option<Duration>,
    /// Daemons that the call has passed.
    pub depth: u8,
    /// Identifies the call, if the caller says so.
    pub call_id: Option<&'a str>,
}

/// The path of a call on this daemon.
#[derive(Debug)]
pub struct RequestPath<B, L> {
    pub(super) own: NodeId,
    pub(super) board: Blackboard,
    in_flight: Arc<InFlight>,
    backend: B,
    pub(super) peers: L,
    pub(super) orders: OrderClient,
    next_call: AtomicU64,
}

impl<B: Backend, L: PeerCaller> RequestPath<B, L> {
    /// The path of calls on the daemon named `own`.
    pub fn new(own: NodeId, board: Blackboard, backend: B, peers: L, orders: OrderClient) -> Self {
        Self {
            own,
            in_flight: Arc::clone(&board.drains.load().in_flight),
            board,
            backend,
            peers,
            orders,
            next_call: AtomicU64::new(1),
        }
    }

    /// Counts a request as in flight until the guard is dropped. Refuses it if the daemon is about
    /// to end.
    pub fn enter(&self) -> Result<InFlightGuard, Error> {
        self.in_flight.enter().ok_or_else(|| self.leaving())
    }

    /// Answers a request of a caller, which holds a guard of [`RequestPath::enter`] until the
    /// answer is written.
    pub fn handle(
        &self,
        req: &IncomingRequest<'_>,
        random: &mut impl FnMut() -> u64,
    ) -> CallAnswer {
        let result = match asks_for_key(req.method, req.target) {
            true => self.key_call(req),
            false => self
                .store(req)
                .map_err(|err| without_record(req.key.is_some(), err)),
        };
        let result = result.and_then(|call| match self.issued_key(&call)? {
            Some(key) => self.route_issued(&key, &call),
            None => self.route(&call, random),
        });
        result.unwrap_or_else(|err| CallAnswer::from_error(err.kind(), err.message()))
    }

    /// Runs a call that a peer has handed over.
    pub fn run_for_peer(&self, call: &StoredCall) -> CallAnswer {
        let time_left = Duration::from_millis(call.time_left_ms);
        // Before a configuration is in force, this daemon does not know its own planned stops.
        let result = match self.board.config.load().is_some() {
            true => self.run_once(call, time_left),
            false => Err(not_ready()),
        };
        result.unwrap_or_else(|err| CallAnswer::from_error(err.kind(), err.message()))
    }

    /// Finds the route of a request and stores the call.
    fn store(&self, req: &IncomingRequest<'_>) -> Result<Arc<StoredCall>, Error> {
        if req.depth >= MAX_DEPTH {
            let message = format!("the call has passed {} daemons", req.depth);
            return Err(Error::new(ErrorKind::BadRequest, message));
        }
        let config = self.board.config.load();
        let Some(config) = config.as_ref() else {
            return Err(not_ready());
        };
        let path = req
            .target
            .split_once('?')
            .map_or(req.target, |(path, _)| path);
        let Some(RouteEntry { name, route }) = config.routes.find(req.method, path) else {
            let message = format!("no route takes {} {path}", req.method);
            return Err(Error::new(ErrorKind::NoRoute, message));
        };
        if !route.idempotent && route.key == KeyPolicy::Required && req.key.is_none() {
            let message = format!("route {name} requires the header Idempotency-Key");
            return Err(Error::new(ErrorKind::KeyMissing, message));
        }
        let time_left = req
            .deadline
            .map_or(route.timeout(), |left| left.min(route.timeout()));
        Ok(Arc::new(StoredCall {
            id: req
                .call_id
                .map_or_else(|| self.new_call_id(), str::to_owned),
            method: req.method.to_owned(),
            target: req.target.to_owned(),
            route: name.to_string(),
            rank: route.rank.to_string(),
            service: route.service.to_string(),
            headers: req.headers.to_vec(),
            body: req.body.to_vec(),
            key: req.key.map(str::to_owned),
            is_idempotent: route.idempotent,
            time_left_ms: time_left.as_millis() as u64,
            depth: req.depth + 1,
        }))
    }

    pub(super) fn new_call_id(&self) -> String {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.own)
    }

    /// Chooses backend servers until one runs the call.
    fn route(
        &self,
        call: &Arc<StoredCall>,
        random: &mut impl FnMut() -> u64,
    ) -> Result<CallAnswer, Error> {
        let start = Instant::now();
        let allowed = Duration::from_millis(call.time_left_ms);
        let endpoints = self.board.endpoints.load();
        let endpoints = endpoints.of(&call.service);
        let mut excluded = Vec::new();
        let asked = Asked::default();
        let mut last = Error::new(
            ErrorKind::NoBackend,
            format!("no backend server of service {} is known", call.service),
        );
        let mut attempts = 0;
        while attempts < MAX_ATTEMPTS {
            let Some(at) = choose(endpoints, &excluded, random()) else {
                break;
            };
            let time_left = allowed.saturating_sub(start.elapsed());
            match self.attempt(&endpoints[at], call, time_left, &asked) {
                Ok(answer) => return Ok(answer),
                Err(err) if may_run_elsewhere(err.kind()) => {
                    // A server that leaves does no work for the refusal, and several may leave at
                    // the same time.
                    attempts += usize::from(err.kind() != ErrorKind::Leaving);
                    last = err;
                }
                Err(err) => return Err(err),
            }
            excluded.push(at);
        }
        Err(asked.refusal(call, last))
    }

    fn attempt(
        &self,
        endpoint: &Endpoint,
        call: &Arc<StoredCall>,
        time_left: Duration,
        asked: &Asked,
    ) -> Result<CallAnswer, Error> {
        let start = Instant::now();
        endpoint.counters.start();
        let result = match endpoint.node == self.own {
            true => asked.note(self.run_once(call, time_left)),
            false => self.run_there(endpoint.peer_addr, call, time_left, asked),
        };
        let is_failure = match &result {
            Ok(answer) => counts_as_failure(answer.status, answer.error),
            Err(err) => counts_as_failure(err.kind().answer().status, Some(err.kind())),
        };
        endpoint
            .counters
            .finish(start.elapsed().as_micros() as u64, is_failure);
        result
    }

    pub(super) fn run_here(
        &self,
        call: &StoredCall,
        time_left: Duration,
    ) -> Result<CallAnswer, Error> {
        if self.board.drains.load().is_leaving() {
            return Err(self.leaving());
        }
        self.backend.run(&call.view(), time_left)
    }

    pub(super) fn leaving(&self) -> Error {
        Error::new(ErrorKind::Leaving, format!("{} is leaving", self.own))
    }

    fn run_there(
        &self,
        addr: SocketAddr,
        call: &Arc<StoredCall>,
        time_left: Duration,
        asked: &Asked,
    ) -> Result<CallAnswer, Error> {
        asked.note(result_of(self.peers.carry(addr, call, time_left)?))
    }
}

/// The result that a peer has made an answer of.
pub(super) fn result_of(answer: CallAnswer) -> Result<CallAnswer, Error> {
    match answer.error {
        Some(kind) => {
            let message = String::from_utf8_lossy(&answer.body);
            let prefix = format!("{kind}: ");
            let message = message.trim_end();
            Err(Error::new(
                kind,
                message.strip_prefix(&prefix).unwrap_or(message),
            ))
        }
        None => Ok(answer),
    }
}

fn not_ready() -> Error {
    Error::new(ErrorKind::NotReady, "no configuration is in force yet")
}
