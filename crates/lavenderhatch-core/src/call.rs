//! Calls and responses, independent of the protocol that carries them.

use crate::ErrorKind;
use crate::error_kind::Outcome;

/// Request header that carries an idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request header that carries the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "lavenderhatch-deadline-ms";
/// Request header that counts the daemons that a call has passed through.
pub const HOP_COUNT_HEADER: &str = "lavenderhatch-depth";
/// Header that identifies a call in logs.
pub const CALL_ID_HEADER: &str = "lavenderhatch-call-id";
/// Response header that says whether the request ran.
pub const OUTCOME_HEADER: &str = "lavenderhatch-outcome";
/// Response header that names the error kind.
pub const ERROR_HEADER: &str = "lavenderhatch-error";
/// Response header that advises a delay before a retry, in milliseconds.
pub const RETRY_AFTER_HEADER: &str = "lavenderhatch-retry-after-ms";
/// Response header that says whether a hop has already made or denied the retries of the call.
pub const RETRY_HEADER: &str = "lavenderhatch-retry";
/// Value of [`RETRY_HEADER`] on the response to a call that no hop may retry.
pub const RETRY_EXHAUSTED: &str = "exhausted";
/// Response header that names the configuration version in force.
pub const VERSION_HEADER: &str = "lavenderhatch-version";

/// Maximum number of daemons that a call may pass through.
pub const MAX_HOPS: u8 = 32;

/// A header of a request or response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// A call whose fields are borrowed, usually from a [`StoredCall`].
#[derive(Clone, Copy, Debug)]
pub struct CallView<'a> {
    /// Identifies the call in logs.
    pub id: &'a str,
    /// Method in upper case.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Name of the route that matched.
    pub route: &'a str,
    /// Rank of the route.
    pub rank: &'a str,
    /// Service of the route.
    pub service: &'a str,
    /// Headers, without those that apply to a single connection.
    pub headers: &'a [Header],
    /// Complete body.
    pub body: &'a [u8],
    /// Idempotency key, if the request has one.
    pub key: Option<&'a str>,
    /// Whether running the call twice has the same effect as running it once.
    pub is_idempotent: bool,
    /// Time left until the deadline when the request was read, in milliseconds.
    pub time_left_ms: u64,
    /// Number of daemons that the call has passed through.
    pub hop_count: u8,
}

/// A complete response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers, without those that apply to a single connection.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Error kind, if the response does not come from a back end.
    pub error: Option<ErrorKind>,
    /// Advised delay before a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Whether a hop has already made or denied the retries of the call.
    pub is_retry_exhausted: bool,
}

impl CallResponse {
    /// Creates the response for an error that does not come from a back end.
    pub fn from_error(kind: ErrorKind, message: &str) -> Self {
        let response = kind.response();
        Self {
            status: response.status,
            headers: Vec::new(),
            body: format!("{kind}: {message}\n").into_bytes(),
            outcome: response.outcome,
            error: Some(kind),
            retry_after_ms: None,
            is_retry_exhausted: false,
        }
    }
}

/// A call that owns its fields. It is stored once it has been read completely, and shared by the
/// threads that handle it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCall {
    /// Identifies the call in logs.
    pub id: String,
    /// Method in upper case.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Name of the route that matched.
    pub route: String,
    /// Rank of the route.
    pub rank: String,
    /// Service of the route.
    pub service: String,
    /// Headers, without those that apply to a single connection.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Idempotency key, if the request has one.
    pub key: Option<String>,
    /// Whether running the call twice has the same effect as running it once.
    pub is_idempotent: bool,
    /// Time left until the deadline when the request was read, in milliseconds.
    pub time_left_ms: u64,
    /// Number of daemons that the call has passed through.
    pub hop_count: u8,
}

impl StoredCall {
    /// Borrows the fields of the call.
    pub fn view(&self) -> CallView<'_> {
        CallView {
            id: &self.id,
            method: &self.method,
            target: &self.target,
            route: &self.route,
            rank: &self.rank,
            service: &self.service,
            headers: &self.headers,
            body: &self.body,
            key: self.key.as_deref(),
            is_idempotent: self.is_idempotent,
            time_left_ms: self.time_left_ms,
            hop_count: self.hop_count,
        }
    }
}

/// Whether the status of an HTTP answer may end an exchange (RFC 9110, section 15). Interim answers
/// do not, no request asks for another protocol, and other numbers are none of HTTP.
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}
