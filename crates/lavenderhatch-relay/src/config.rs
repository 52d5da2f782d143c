//! Configuration of the request path.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderName;
use lavenderhatch_decide::relay::{ByteBudgetLimits, ConnectionLimits, KeyWithdrawal};

/// Names of the headers that are exchanged with callers and backend servers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identity of a request, set by the caller and echoed by the backend server.
    pub request_id: HeaderName,
    /// Time left until the deadline of the request, in milliseconds.
    pub time_left: HeaderName,
    /// Signature of an answer, which only backend servers set. Its content is not checked here.
    pub signature: HeaderName,
    /// Identity of the backend server that the request is meant for. No other one may run it.
    pub expected_backend: HeaderName,
    /// Present on an answer if the backend server has not run the request.
    pub not_run: HeaderName,
    /// Service whose daemon received the request from the caller.
    pub caller_service: HeaderName,
    /// Requests per second that a backend server in need takes from all daemons together, a decimal
    /// number. On each of its answers while the limit holds.
    pub rate_limit: HeaderName,
    /// Is `1` on each answer of a backend server that leaves.
    pub leaving: HeaderName,
    /// API key of a caller. Never passed on.
    pub credential: HeaderName,
    /// Name of the client account that holds the caller's API key, set for the backend server.
    pub account: HeaderName,
}

impl HeaderNames {
    /// Whether an answer says that its backend server leaves.
    pub(crate) fn is_departure_announced(&self, headers: &HeaderMap) -> bool {
        headers.get(&self.leaving).is_some_and(|value| value == "1")
    }
}

/// Addresses, header names and limits of a daemon.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// Availability zone of this daemon.
    pub zone: String,
    /// Service of the local backend server.
    pub service: String,
    /// Listening address for callers.
    pub caller_addr: SocketAddr,
    /// Listening address for other daemons.
    pub peer_addr: SocketAddr,
    /// Address of the local backend server.
    pub backend_addr: SocketAddr,
    /// Names of headers.
    pub headers: HeaderNames,
    /// Retries that all daemons together may send per first attempt.
    pub retry_ratio: f64,
    /// Retries that all daemons together may send beyond the ratio.
    pub retry_burst: f64,
    /// Time without a report after which the local backend server is no longer used.
    pub backend_report_timeout: Duration,
    /// Deadline for withdrawn API keys; `None` if they only follow the configuration in force.
    pub key_withdrawal: Option<KeyWithdrawal>,
    /// Limits on the bytes that are held for requests and answers; `None` if there are none.
    pub byte_limits: Option<ByteBudgetLimits>,
    /// Limits on the connections of the two ports; `None` if there are none.
    pub connection_limits: Option<ConnectionLimits>,
    /// Bytes that the link of the machine carries in a second; `None` if that is not known.
    pub link_bytes_per_second: Option<f64>,
    /// Largest number of header lines of a request.
    pub max_header_lines: usize,
    /// Whether the limits of client accounts apply.
    pub enforces_account_limits: bool,
}
