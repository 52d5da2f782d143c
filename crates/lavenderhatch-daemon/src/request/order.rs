//! Orders on the path of a call: claims, and permits to run an order.

use std::cell::Cell;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, bounded};
use lavenderhatch_core::call::{CallResponse, StoredCall};
use lavenderhatch_core::{Digest, Error, ErrorKind, Incarnation, MemberRecord, NodeId};
use lavenderhatch_decide::message::{Claim, ClaimVerdict};
use lavenderhatch_decide::orders::{
    AttemptResult, ISSUED_KEY_PREFIX, IssuedKey, KeyOrigin, answer_for_verdict, key_hash,
    request_digest,
};

use super::backend::Backend;
use super::issued_keys::is_key_request;
use super::path::{CallForwarder, RequestPath, result_from_answer};
use crate::peer::{BeginOrder, BeginReply, FinishOrder, OrderRequest, PeerError, PeerLinks};

/// The client of the order controller on the request path.
#[derive(Debug)]
pub struct OrderClient {
    node: NodeId,
    incarnation: Incarnation,
    controller: Sender<OrderRequest>,
    links: PeerLinks,
    /// Number of keys issued so far.
    issued_count: Arc<AtomicU64>,
    attempts: AtomicU64,
}

impl OrderClient {
    /// Creates the client of the daemon that `own` describes.
    pub fn new(own: &MemberRecord, controller: Sender<OrderRequest>, links: PeerLinks) -> Self {
        Self {
            node: own.id.clone(),
            incarnation: own.incarnation,
            controller,
            links,
            issued_count: Arc::default(),
            attempts: AtomicU64::new(1),
        }
    }

    /// Returns the incarnation of this daemon.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the shared counter of the keys issued so far.
    pub fn issued_count(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.issued_count)
    }

    pub(super) fn issue(&self) -> IssuedKey {
        IssuedKey {
            node: self.node.clone(),
            incarnation: self.incarnation,
            seq: self.issued_count.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn is_issued_here(&self, key: &IssuedKey) -> bool {
        key.node == self.node && key.incarnation == self.incarnation
    }

    /// Requests permission to run an order. `Err` holds the answer if the order must not run.
    fn begin(
        &self,
        key: Digest,
        request: Digest,
        origin: KeyOrigin,
        time_left: Duration,
    ) -> Result<OrderPermit<'_>, Result<CallResponse, Error>> {
        let start = Instant::now();
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let (reply, rx) = bounded(1);
        let begin = BeginOrder {
            key,
            request,
            origin,
            attempt,
            reply,
        };
        if self
            .controller
            .try_send(OrderRequest::Begin(begin))
            .is_err()
        {
            return Err(Err(claim_unconfirmed(
                "too many orders wait for their claims",
            )));
        }
        let mut permit = OrderPermit {
            client: self,
            key,
            attempt,
            result: AttemptResult::NotRun,
        };
        let verdict = match rx.recv_timeout(time_left) {
            Ok(BeginReply::Run) => ClaimVerdict::Granted,
            Ok(BeginReply::Verdict(verdict)) => verdict,
            Ok(BeginReply::Answer(answer)) => return Err(*answer),
            Ok(BeginReply::Claim { claim, owners }) => {
                let time_left = time_left.saturating_sub(start.elapsed());
                self.request_claim(&claim, &owners, time_left)?
            }
            Err(_) => {
                return Err(Err(claim_unconfirmed(
                    "the claim was not confirmed in time",
                )));
            }
        };
        if let Some(answer) = answer_for_verdict(&verdict) {
            if verdict != ClaimVerdict::Unknown {
                permit.result = AttemptResult::NotClaimed;
            }
            return Err(answer);
        }
        // From here on, the outcome is unknown until the back end answers or an error shows that it
        // got no byte of the order.
        permit.result = AttemptResult::Unknown;
        Ok(permit)
    }

    /// Sends the claim to the first owner that can be reached.
    ///
    /// The next owner is tried only if the message was certainly not sent. Two owners would be
    /// safe, but each needs the whole remaining time for its write.
    fn request_claim(
        &self,
        claim: &Claim,
        owners: &[std::net::SocketAddr],
        time_left: Duration,
    ) -> Result<ClaimVerdict, Result<CallResponse, Error>> {
        for owner in owners {
            match self.links.claim(*owner, claim, time_left) {
                Ok(verdict) => return Ok(verdict),
                Err(PeerError::NotSent(_)) => {}
                Err(err) => {
                    let message = format!("the claim was not confirmed: {err}");
                    return Err(Err(claim_unconfirmed(&message)));
                }
            }
        }
        Err(Err(claim_unconfirmed(
            "no owner of the key's range was reached",
        )))
    }
}

fn claim_unconfirmed(message: &str) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, message)
}

/// A permit for one attempt to run an order.
///
/// Dropping it reports the result of the attempt to the order controller, even if the thread
/// panics.
#[derive(Debug)]
struct OrderPermit<'c> {
    client: &'c OrderClient,
    key: Digest,
    attempt: u64,
    result: AttemptResult,
}

impl Drop for OrderPermit<'_> {
    fn drop(&mut self) {
        let result = std::mem::replace(&mut self.result, AttemptResult::Unknown);
        let finish = FinishOrder {
            key: self.key,
            attempt: self.attempt,
            result,
        };
        // Blocks while the queue is full: if the result were dropped here, the order would count as
        // running forever. This cannot deadlock, because the controller never waits for the request
        // path.
        let _ = self.client.controller.send(OrderRequest::Finish(finish));
    }
}

fn attempt_result(result: &Result<CallResponse, Error>) -> AttemptResult {
    match result {
        Ok(answer) => AttemptResult::Ran(answer.clone()),
        Err(err) if err.kind().is_not_run() => AttemptResult::NotRun,
        Err(_) => AttemptResult::Unknown,
    }
}

/// Tracks whether a backend server has checked the key of an order.
///
/// After such a check, a "not run" holds for all calls with the key. Without one, an earlier call
/// with the same key may have run.
#[derive(Debug, Default)]
pub(super) struct KeyCheck(Cell<bool>);

impl KeyCheck {
    /// Records the result of an attempt on a backend server and passes it on.
    pub(super) fn record(
        &self,
        result: Result<CallResponse, Error>,
    ) -> Result<CallResponse, Error> {
        let kind = result.as_ref().map_err(Error::kind);
        if !matches!(kind, Err(ErrorKind::Leaving | ErrorKind::NotReady)) {
            self.0.set(true);
        }
        result
    }

    /// Returns whether an earlier attempt may still hold the claim of the order.
    ///
    /// The claim is released only after the refusal is sent, so another server could still find it
    /// and answer `key-in-flight`.
    pub(super) fn may_hold_claim(&self, call: &StoredCall) -> bool {
        requires_claim(call) && self.0.get()
    }

    /// Returns the error for the caller after the last attempt failed.
    pub(super) fn final_error(&self, call: &StoredCall, err: Error) -> Error {
        unknown_if_unchecked(requires_claim(call) && !self.0.get(), err)
    }
}

/// Turns "not run" into `unknown` if no server has checked the key of the order.
///
/// Errors in the request itself stay as they are, because every call with the key gets them.
pub(super) fn unknown_if_unchecked(is_keyed: bool, err: Error) -> Error {
    match err.kind() {
        ErrorKind::NoBackend | ErrorKind::NotReady | ErrorKind::Leaving if is_keyed => {
            let message = format!("{}; ask again with the same key", err.message());
            Error::new(ErrorKind::OutcomeUnknown, message)
        }
        _ => err,
    }
}

/// Returns whether a call needs a claim, which is written to the platform before the call runs.
pub(super) fn requires_claim(call: &StoredCall) -> bool {
    let key = call.key.as_deref();
    !call.is_idempotent && key.is_some_and(|key| !key.starts_with(ISSUED_KEY_PREFIX))
}

impl<B: Backend, L: CallForwarder> RequestPath<B, L> {
    /// Runs a call on this backend server. An order with a key runs at most once.
    pub(super) fn run_locally(
        &self,
        call: &StoredCall,
        time_left: Duration,
    ) -> Result<CallResponse, Error> {
        if is_key_request(&call.method, &call.target) {
            return self.issue_key(call);
        }
        let Some(key) = call.key.as_deref().filter(|_| !call.is_idempotent) else {
            return self.admit_and_run(call, time_left);
        };
        let origin = self.key_origin(key, call)?;
        if origin == KeyOrigin::CallerChosen && self.board.drains.load().is_leaving() {
            // The order is refused before it is claimed, because the claim would have to be
            // released before another server could run the order.
            return Err(self.leaving_error());
        }
        let request = request_digest(&call.method, &call.target, &call.body);
        let start = Instant::now();
        let begun = self.orders.begin(key_hash(key), request, origin, time_left);
        let mut permit = match begun {
            Ok(permit) => permit,
            Err(answer) => return answer,
        };
        let time_left = time_left.saturating_sub(start.elapsed());
        if time_left.is_zero() {
            permit.result = AttemptResult::NotRun;
            let message = "the deadline passed before the order was handed to the back end";
            return Err(Error::new(ErrorKind::DeadlineUnmeetable, message));
        }
        let result = self.admit_and_run(call, time_left);
        permit.result = attempt_result(&result);
        result
    }

    fn key_origin(&self, key: &str, call: &StoredCall) -> Result<KeyOrigin, Error> {
        let Some(issued) = parse_key(key)? else {
            return Ok(KeyOrigin::CallerChosen);
        };
        if !self.orders.is_issued_here(&issued) {
            return Err(issuer_unreachable(&issued));
        }
        self.check_service(&self.node, call)?;
        Ok(KeyOrigin::Issued(issued.seq))
    }

    /// Checks that an issued key is used for the service of the daemon that issued it.
    ///
    /// Only the back end of that daemon may run the order.
    pub(super) fn check_service(&self, node: &NodeId, call: &StoredCall) -> Result<(), Error> {
        let members = self.board.members.load();
        let record = members.get(node.as_str());
        match record.is_some_and(|record| record.service.as_str() == call.service) {
            true => Ok(()),
            false => Err(Error::new(
                ErrorKind::BadRequest,
                format!("the key was not issued for service {}", call.service),
            )),
        }
    }

    /// Returns the issued key of an order, if it has one.
    pub(super) fn issued_key(&self, call: &StoredCall) -> Result<Option<IssuedKey>, Error> {
        match call.key.as_deref() {
            Some(key) if !call.is_idempotent => parse_key(key),
            _ => Ok(None),
        }
    }

    /// Routes an order with an issued key to the daemon that issued it.
    ///
    /// Only the incarnation that issued the key may run the order.
    pub(super) fn route_issued(
        &self,
        key: &IssuedKey,
        call: &Arc<StoredCall>,
    ) -> Result<CallResponse, Error> {
        let time_left = Duration::from_millis(call.time_left_ms);
        if self.orders.is_issued_here(key) {
            return self.run_locally(call, time_left);
        }
        let members = self.board.members.load();
        let record = members.get(key.node.as_str());
        let Some(record) = record.filter(|record| record.incarnation == key.incarnation) else {
            return Err(issuer_unreachable(key));
        };
        self.check_service(&key.node, call)?;
        match self.peers.forward(record.peer_addr, call, time_left) {
            Ok(answer) => result_from_answer(answer),
            // The outcome is unknown: an earlier call with this key may have reached that daemon.
            Err(PeerError::NotSent(_)) => Err(issuer_unreachable(key)),
            Err(err) => Err(err.into()),
        }
    }
}

fn parse_key(key: &str) -> Result<Option<IssuedKey>, Error> {
    IssuedKey::parse(key).map_err(|err| Error::new(ErrorKind::BadRequest, err.to_string()))
}

fn issuer_unreachable(key: &IssuedKey) -> Error {
    let message = format!(
        "only the daemon of {} that issued the key knows the outcome, and it cannot be reached",
        key.node
    );
    Error::new(ErrorKind::OutcomeUnknown, message)
}
