//! The request that a caller sends, and what attempts send to backend servers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};
use lavenderhatch_core::Timestamp;
use lavenderhatch_core::routing::ClientAccount;
use lavenderhatch_decide::crash::Fingerprint;
use lavenderhatch_decide::relay::Demand;

/// A request that the caller port has read.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Timestamp,
}

/// A request on its way to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Method that the caller sent.
    pub(crate) method: Method,
    /// Path and query that the caller sent.
    pub(crate) target: Uri,
    /// Headers that the caller sent, without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    /// Whole body.
    pub(crate) body: Bytes,
    /// Identity that the caller gave the request, empty if none.
    pub(crate) request_id: HeaderValue,
    /// Service whose daemon received the request from the caller.
    pub(crate) caller_service: HeaderValue,
    /// Client account that sent the request, on the caller's daemon only.
    pub(crate) account: Option<Arc<ClientAccount>>,
    /// Service that the request is routed to.
    pub(crate) service: String,
    /// Whether the request may run more than once.
    pub(crate) is_idempotent: bool,
    /// Class, rank, latency target and deadline.
    pub(crate) demand: Demand,
    /// Whether the request may wait for a slot.
    pub(crate) may_wait: bool,
    /// Whether the caller's daemon has chosen the version by the share of a rollout. Of no meaning
    /// without one.
    pub(crate) is_version_chosen: bool,
}

impl Call {
    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self, now: Timestamp) -> Duration {
        self.demand.deadline.since(now)
    }

    /// Returns the name of the client account, for the log.
    pub(crate) fn account_name(&self) -> Option<&str> {
        self.account.as_ref().map(|account| account.name.as_str())
    }

    /// Returns what the request has in common with its repetitions.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(
            self.method.as_str(),
            self.target
                .path_and_query()
                .map_or("", |target| target.as_str()),
            self.caller_service.as_bytes(),
            &self.body,
        )
    }

    /// Returns the identity of the request, for the log.
    pub(crate) fn id(&self) -> &str {
        self.request_id.to_str().unwrap_or("?")
    }
}
