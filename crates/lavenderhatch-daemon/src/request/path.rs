//! The request path of a daemon.
//!
//! [`RequestPath::handle`] finds the route and creates the call, `route.rs` chooses backend servers
//! for it, and `local_execution.rs` runs it on the local back end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderhatch_core::blackboard::Blackboard;
use lavenderhatch_core::call::{CallResponse, Header, MAX_HOPS, StoredCall};
use lavenderhatch_core::config::NamedRoute;
use lavenderhatch_core::drain::{InFlightCounter, InFlightGuard};
use lavenderhatch_core::mesh::{KeyPolicy, Route};
use lavenderhatch_core::{Error, ErrorKind, NodeId, RouteName, Zone};

use super::admission_gate::AdmissionGate;
use super::backend::Backend;
use super::issued_keys::is_key_request;
use super::order::{OrderClient, unknown_if_unchecked};
use super::retry_budget::SharedRetryBudget;
use crate::peer::{PeerError, PeerLinks};

/// Forwards calls to the daemons of other backend servers.
pub trait CallForwarder: Send + Sync + 'static {
    /// Forwards a call and waits for its answer.
    fn forward(
        &self,
        addr: SocketAddr,
        call: &Arc<StoredCall>,
        time_left: Duration,
    ) -> Result<CallResponse, PeerError>;
}

impl CallForwarder for PeerLinks {
    fn forward(
        &self,
        addr: SocketAddr,
        call: &Arc<StoredCall>,
        time_left: Duration,
    ) -> Result<CallResponse, PeerError> {
        PeerLinks::forward(self, addr, call, time_left)
    }
}

/// A request as the caller port has read it.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'a> {
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Headers with names in lower case.
    pub headers: &'a [Header],
    /// Whole body.
    pub body: &'a [u8],
    /// Idempotency key, if the caller sends one.
    pub key: Option<&'a str>,
    /// Time that the caller allows for the answer, if it names one.
    pub timeout: Option<Duration>,
    /// Number of daemons that the call has passed.
    pub hop_count: u8,
    /// Id of the call. The caller port creates one if the caller sends none.
    pub call_id: &'a str,
}

/// Answers the calls that this daemon receives.
#[derive(Debug)]
pub struct RequestPath<B, L> {
    pub(super) node: NodeId,
    pub(super) zone: Zone,
    pub(super) board: Blackboard,
    in_flight: Arc<InFlightCounter>,
    pub(super) gate: Arc<AdmissionGate>,
    pub(super) backend: B,
    pub(super) peers: L,
    pub(super) orders: OrderClient,
    pub(super) budget: SharedRetryBudget,
}

impl<B: Backend, L: CallForwarder> RequestPath<B, L> {
    /// Creates the request path of the daemon named `node` in `zone`.
    pub fn new(
        node: NodeId,
        zone: Zone,
        board: Blackboard,
        gate: Arc<AdmissionGate>,
        backend: B,
        peers: L,
        orders: OrderClient,
    ) -> Self {
        Self {
            node,
            zone,
            gate,
            budget: SharedRetryBudget::default(),
            in_flight: Arc::clone(&board.drains.load().in_flight),
            board,
            backend,
            peers,
            orders,
        }
    }

    /// Counts a request as in flight until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Leaving`] if the daemon is about to exit.
    pub fn enter(&self) -> Result<InFlightGuard, Error> {
        self.in_flight.enter().ok_or_else(|| self.leaving_error())
    }

    /// Answers a request of a caller.
    ///
    /// The caller port holds a guard from [`RequestPath::enter`] until the answer is written.
    pub fn handle(
        &self,
        req: &IncomingRequest<'_>,
        random: &mut impl FnMut() -> u64,
    ) -> CallResponse {
        let result = match is_key_request(req.method, req.target) {
            true => self.prepare_key_request(req),
            false => self
                .prepare_call(req)
                .map_err(|err| unknown_if_unchecked(req.key.is_some(), err)),
        };
        let result = result.and_then(|call| match self.issued_key(&call)? {
            Some(key) => self.route_issued(&key, &call),
            None => self.route(&call, random),
        });
        result.unwrap_or_else(|err| self.error_answer(&err, random()))
    }

    /// Runs a call that a peer has forwarded.
    pub fn run_forwarded(&self, call: &StoredCall) -> CallResponse {
        let time_left = Duration::from_millis(call.time_left_ms);
        // Without a configuration, this daemon does not know its own planned stops.
        let result = match self.board.config.load().is_some() {
            true => self.run_locally(call, time_left),
            false => Err(not_ready_error()),
        };
        result.unwrap_or_else(|err| self.error_answer(&err, rand::random()))
    }

    /// Finds the route of a request and creates the call.
    fn prepare_call(&self, req: &IncomingRequest<'_>) -> Result<Arc<StoredCall>, Error> {
        if req.hop_count >= MAX_HOPS {
            let message = format!("the call has passed {} daemons", req.hop_count);
            return Err(Error::new(ErrorKind::BadRequest, message));
        }
        let config = self.board.config.load();
        let Some(config) = config.as_ref() else {
            return Err(not_ready_error());
        };
        let path = path_without_query(req.target);
        let Some(NamedRoute { name, route }) = config.routes.find(req.method, path) else {
            let message = format!("no route takes {} {path}", req.method);
            return Err(Error::new(ErrorKind::NoRoute, message));
        };
        if !route.idempotent && route.key == KeyPolicy::Required && req.key.is_none() {
            let message = format!("route {name} requires the header Idempotency-Key");
            return Err(Error::new(ErrorKind::KeyMissing, message));
        }
        Ok(Arc::new(StoredCall {
            headers: req.headers.to_vec(),
            body: req.body.to_vec(),
            key: req.key.map(str::to_owned),
            is_idempotent: route.idempotent,
            ..self.build_call(req, name, route)
        }))
    }

    /// Creates the call of a request on a route, without headers, body and key.
    pub(super) fn build_call(
        &self,
        req: &IncomingRequest<'_>,
        name: &RouteName,
        route: &Route,
    ) -> StoredCall {
        let time_left = req
            .timeout
            .map_or(route.timeout(), |left| left.min(route.timeout()));
        StoredCall {
            id: req.call_id.to_owned(),
            method: req.method.to_owned(),
            target: req.target.to_owned(),
            route: name.to_string(),
            rank: route.rank.to_string(),
            service: route.service.to_string(),
            headers: Vec::new(),
            body: Vec::new(),
            key: None,
            is_idempotent: true,
            time_left_ms: time_left.as_millis() as u64,
            hop_count: req.hop_count.saturating_add(1),
        }
    }

    pub(super) fn leaving_error(&self) -> Error {
        Error::new(ErrorKind::Leaving, format!("{} is leaving", self.node))
    }
}

/// Converts the answer of a peer back into the result that it was made from.
pub(super) fn result_from_answer(answer: CallResponse) -> Result<CallResponse, Error> {
    match answer.error {
        Some(kind) => {
            let message = String::from_utf8_lossy(&answer.body);
            let prefix = format!("{kind}: ");
            let message = message.trim_end();
            let message = message.strip_prefix(&prefix).unwrap_or(message);
            let err = Error::new(kind, message);
            Err(err.with_retry_advice(answer.is_retry_exhausted, answer.retry_after_ms))
        }
        None => Ok(answer),
    }
}

pub(super) fn not_ready_error() -> Error {
    Error::new(ErrorKind::NotReady, "no configuration is in force yet")
}

/// Returns the path of a request target, without its query.
pub(super) fn path_without_query(target: &str) -> &str {
    target.split_once('?').map_or(target, |(path, _)| path)
}
