//! What the path of a request is opened with.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::HeaderName;

/// Names of headers that callers and backend servers use.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identity of a request, set by the caller and echoed by the backend server.
    pub request_id: HeaderName,
    /// Time that is left for the answer, in milliseconds.
    pub time_left: HeaderName,
    /// Mark of an answer that a backend server has made. Its content has no meaning here.
    pub signature: HeaderName,
    /// Identity of the only backend server that may run the request.
    pub expected_backend: HeaderName,
    /// Present on an answer of a backend server that has not run the request.
    pub not_run: HeaderName,
    /// Service beside which the request began.
    pub caller_service: HeaderName,
}

/// Addresses, names and bounds of a daemon.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// Availability zone of this daemon.
    pub zone: String,
    /// Service of the backend server beside this daemon.
    pub service: String,
    /// Where callers send their requests.
    pub caller_addr: SocketAddr,
    /// Where other daemons hand over requests.
    pub peer_addr: SocketAddr,
    /// The backend server beside this daemon.
    pub backend_addr: SocketAddr,
    /// Names of headers.
    pub headers: HeaderNames,
    /// Requests that all daemons together may send once more, per first request.
    pub retry_ratio: f64,
    /// Requests that all daemons together may send once more beyond the ratio.
    pub retry_burst: f64,
    /// Time without a report after which the backend server is not used.
    pub backend_report_timeout: Duration,
}
