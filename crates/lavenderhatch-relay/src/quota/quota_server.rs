//! Answers the messages of daemons whose shares this daemon coordinates.

use std::cell::{Cell, RefCell};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lavenderhatch_core::routing::HostRouteTable;
use lavenderhatch_decide::quota::{CoordinatorLedger, QuotaRequest};
use rand::Rng;
use tracing::{debug, info};

use super::last_seen::LastSeen;
use super::limits_in_force::limits;
use super::{MAX_MESSAGE_BYTES, QuotaMetrics, codec};
use crate::blackboard::Blackboard;
use crate::boot_clock::BootClock;

/// The coordinator of the limits of some accounts.
#[derive(Debug)]
pub(crate) struct QuotaServer {
    blackboard: Blackboard,
    metrics: QuotaMetrics,
    ledger: RefCell<CoordinatorLedger>,
    /// Configuration whose limits the ledger has.
    routing: RefCell<LastSeen<Option<HostRouteTable>>>,
    is_leaving: Cell<bool>,
}

impl QuotaServer {
    pub(crate) fn new(blackboard: Blackboard, metrics: QuotaMetrics) -> Self {
        Self {
            blackboard,
            metrics,
            ledger: RefCell::new(CoordinatorLedger::new(rand::rng().next_u32())),
            routing: RefCell::default(),
            is_leaving: Cell::new(false),
        }
    }

    /// Answers a message.
    pub(crate) async fn answer(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = Limited::new(req.into_body(), MAX_MESSAGE_BYTES).collect();
        let Ok(body) = body.await else {
            return refusal(StatusCode::BAD_REQUEST);
        };
        let request: QuotaRequest = match codec::decode(&body.to_bytes()) {
            Ok(request) => request,
            Err(err) => {
                debug!(error = %err, "quota: a message cannot be decoded");
                return refusal(StatusCode::BAD_REQUEST);
            }
        };
        self.metrics.count_message("served");
        self.apply_blackboard();
        let daemons = self.blackboard.endpoints.load().daemons().len();
        let now = BootClock.now();
        let response = self
            .ledger
            .borrow_mut()
            .handle(&request, daemons as u32, now);
        match codec::encode(&response) {
            Ok(body) => Response::new(Full::new(body)),
            Err(err) => {
                debug!(error = %err, "quota: an answer cannot be encoded");
                refusal(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// Applies the limits in force, and the state of the daemon.
    fn apply_blackboard(&self) {
        if self.blackboard.lifecycle.is_draining() && !self.is_leaving.replace(true) {
            info!("quota: all delegated shares are given up, the daemon is leaving");
            self.ledger.borrow_mut().leave();
        }
        let table = self.blackboard.routing.load();
        if !self.is_leaving.get() && self.routing.borrow_mut().replace(&table) {
            let mut ledger = self.ledger.borrow_mut();
            ledger.set_limits(limits(&table), BootClock.now());
        }
    }
}

fn refusal(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
