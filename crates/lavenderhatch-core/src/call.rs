//! Calls and their answers, independent of the protocol that carries them.

use crate::ErrorKind;
use crate::error_kind::Outcome;

/// Name of the header that carries an idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Name of the header that carries the time left for a call, in milliseconds.
pub const DEADLINE_HEADER: &str = "lavenderhatch-deadline-ms";
/// Name of the header that counts the daemons that a call has passed.
pub const DEPTH_HEADER: &str = "lavenderhatch-depth";
/// Name of the header that identifies a call in logs.
pub const CALL_ID_HEADER: &str = "lavenderhatch-call-id";
/// Name of the header of an answer that says whether the request ran.
pub const OUTCOME_HEADER: &str = "lavenderhatch-outcome";
/// Name of the header of an answer that names the error kind.
pub const ERROR_HEADER: &str = "lavenderhatch-error";
/// Name of the header of an answer that advises a delay, in milliseconds.
pub const RETRY_AFTER_HEADER: &str = "lavenderhatch-retry-after-ms";
/// Name of the header of an answer that says whether another hop has already retried.
pub const RETRY_HEADER: &str = "lavenderhatch-retry";
/// Value of [`RETRY_HEADER`] on the answer to a call that no hop must retry.
pub const RETRY_EXHAUSTED: &str = "exhausted";
/// Name of the header of an answer that names the version in force.
pub const VERSION_HEADER: &str = "lavenderhatch-version";

/// Most daemons that a call may pass.
pub const MAX_DEPTH: u8 = 32;

/// A header as name in lower case and value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// A call, borrowed from where it is stored.
#[derive(Clone, Copy, Debug)]
pub struct CallView<'a> {
    /// Identifies the call in logs.
    pub id: &'a str,
    /// Method in upper case.
    pub method: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Name of the route that matched.
    pub route: &'a str,
    /// Rank of the route.
    pub rank: &'a str,
    /// Service of the route.
    pub service: &'a str,
    /// Headers without those of the connection.
    pub headers: &'a [Header],
    /// Body, whole.
    pub body: &'a [u8],
    /// Idempotency key, if the request has one.
    pub key: Option<&'a str>,
    /// Whether running the call twice does the same as running it once.
    pub is_idempotent: bool,
    /// Time left when the call was handed over, in milliseconds.
    pub time_left_ms: u64,
    /// Daemons that the call has passed.
    pub depth: u8,
}

/// An answer, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers without those of the connection.
    pub headers: Vec<Header>,
    /// Body, whole.
    pub body: Vec<u8>,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The error kind of an answer that no back end gave.
    pub error: Option<ErrorKind>,
    /// Advised delay before a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Whether a hop has already spent its retries on this call.
    pub is_retry_exhausted: bool,
}

impl CallResponse {
    /// The answer for an error that no back end gave.
    pub fn from_error(kind: ErrorKind, message: &str) -> Self {
        let answer = kind.response();
        Self {
            status: answer.status,
            headers: Vec::new(),
            body: format!("{kind}: {message}\n").into_bytes(),
            outcome: answer.outcome,
            error: Some(kind),
            retry_after_ms: None,
            is_retry_exhausted: false,
        }
    }
}

/// A call, stored whole once it is read, and shared by the threads that carry it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCall {
    /// Identifies the call in logs.
    pub id: String,
    /// Method in upper case.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Name of the route that matched.
    pub route: String,
    /// Rank of the route.
    pub rank: String,
    /// Service of the route.
    pub service: String,
    /// Headers without those of the connection.
    pub headers: Vec<Header>,
    /// Body, whole.
    pub body: Vec<u8>,
    /// Idempotency key, if the request has one.
    pub key: Option<String>,
    /// Whether running the call twice does the same as running it once.
    pub is_idempotent: bool,
    /// Time left when the call was handed over, in milliseconds.
    pub time_left_ms: u64,
    /// Daemons that the call has passed.
    pub depth: u8,
}

impl StoredCall {
    /// The call, borrowed.
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
            depth: self.depth,
        }
    }
}
