//! A request on its way to a backend server.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};
use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::Demand;

/// A request on its way to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Method as the caller sent it.
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) target: Uri,
    /// Headers as the caller sent them, without those of the connection.
    pub(crate) headers: HeaderMap,
    /// Whole body.
    pub(crate) body: Bytes,
    /// Identity that the caller gave, empty if none.
    pub(crate) request_id: HeaderValue,
    /// Service beside which the request began.
    pub(crate) caller_service: HeaderValue,
    /// Service that is to run it.
    pub(crate) service: String,
    /// Whether it may run more than once.
    pub(crate) is_idempotent: bool,
    /// Rank, target and deadline.
    pub(crate) demand: Demand,
    /// Whether it waits if no slot is free.
    pub(crate) may_wait: bool,
}

impl Call {
    /// Time until the deadline.
    pub(crate) fn time_left(&self, now: Timestamp) -> Duration {
        self.demand.expires_at.since(now)
    }

    /// The request's identity, for the log.
    pub(crate) fn id(&self) -> &str {
        self.request_id.to_str().unwrap_or("?")
    }
}
