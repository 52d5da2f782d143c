//! The closed list of error kinds and the response for each kind.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran, as stated by its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A back end ran the request and this is its response.
    Ran,
    /// The request did not run and will not run on behalf of this call.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Value of the `Lavenderhatch-Outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Whether and how a caller may retry after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// Do not retry: the same request would fail again.
    Never,
    /// Retry with the same idempotency key.
    SameKey,
    /// Retry after the advised delay.
    After,
    /// Retry with the same idempotency key, after the advised delay.
    SameKeyAfter,
}

impl RetryAdvice {
    /// Whether the response carries an advised delay.
    pub fn has_delay(self) -> bool {
        matches!(self, RetryAdvice::After | RetryAdvice::SameKeyAfter)
    }
}

/// What the response to a caller says for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Whether and how the caller may retry.
    pub retry: RetryAdvice,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident $text:literal => $status:literal, $outcome:ident, $retry:ident;)*) => {
        /// Kind of an error.
        ///
        /// The list is closed: each error that a caller, an operator or a peer can see has one of
        /// these kinds.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in declaration order. The index of a kind is its code on the wire.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// Value of the `Lavenderhatch-Error` header.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(ErrorKind::$kind => $text,)*
                }
            }

            /// What the response to a caller says for this kind.
            pub fn response(self) -> ErrorResponse {
                match self {
                    $(ErrorKind::$kind => ErrorResponse {
                        status: $status,
                        outcome: Outcome::$outcome,
                        retry: RetryAdvice::$retry,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The request or its framing is malformed.
    BadRequest "bad-request" => 400, NotRun, Never;
    /// No route matches the path and the method.
    NoRoute "no-route" => 404, NotRun, Never;
    /// The head, the body or a message exceeds a limit.
    TooLarge "too-large" => 413, NotRun, Never;
    /// The route requires an idempotency key and the request has none.
    KeyMissing "key-missing" => 400, NotRun, Never;
    /// The idempotency key was used before with another request.
    KeyConflict "key-conflict" => 422, NotRun, Never;
    /// An order with the same idempotency key is running.
    KeyInFlight "key-in-flight" => 409, Unknown, SameKeyAfter;
    /// The queue of the rank is full.
    Overloaded "overloaded" => 503, NotRun, After;
    /// The request cannot meet its deadline because of the work ahead of it.
    DeadlineUnmeetable "deadline-unmeetable" => 503, NotRun, After;
    /// No backend server of the service can be reached.
    NoBackend "no-backend" => 503, NotRun, After;
    /// The backend server is leaving.
    Leaving "leaving" => 503, NotRun, After;
    /// The daemon has no configuration yet.
    NotReady "not-ready" => 503, NotRun, After;
    /// The claim for an order could not be written, and it is certain that it was not written.
    ClaimUnavailable "claim-unavailable" => 503, NotRun, After;
    /// The deadline passed after the request was handed to a back end.
    DeadlinePassed "deadline-passed" => 504, Unknown, SameKey;
    /// It cannot be determined whether the order ran.
    OutcomeUnknown "outcome-unknown" => 502, Unknown, SameKey;
    /// The back end failed on an idempotent request.
    BackendFailed "backend-failed" => 502, Unknown, After;
    /// Another operator's version was accepted first.
    Conflict "conflict" => 409, NotRun, Never;
    /// The set of mesh files has errors.
    BadFiles "bad-files" => 422, NotRun, Never;
    /// The platform does not answer.
    PlatformUnavailable "platform-unavailable" => 503, Unknown, After;
    /// An internal error of lavenderhatch.
    Internal "internal" => 500, Unknown, Never;
    /// The request has no API key, or one that no client account holds.
    Unauthenticated "unauthenticated" => 401, NotRun, Never;
    /// The client account is beyond its limit.
    QuotaExceeded "quota-exceeded" => 429, NotRun, After;
    /// The configuration is too old to tell whether an API key is still valid.
    StaleConfiguration "stale-configuration" => 503, NotRun, After;
    /// The memory of the daemon has no room for the body of the request.
    OutOfMemory "out-of-memory" => 503, NotRun, After;
    /// The link of the backend server's machine is full of bodies that are on their way.
    LinkFull "link-full" => 503, NotRun, After;
    /// Backend servers have crashed under the request, and none has answered it.
    Quarantined "quarantined" => 503, NotRun, After;
}

impl ErrorKind {
    /// Code of the kind in messages between daemons.
    pub fn code(self) -> u16 {
        self as u16
    }

    /// The kind with this code. Codes added by later releases map to `Internal`.
    pub fn from_code(code: u16) -> ErrorKind {
        let kind = ErrorKind::ALL.get(usize::from(code)).copied();
        kind.unwrap_or(ErrorKind::Internal)
    }

    /// Whether an error of this kind means that the request did not run.
    pub fn is_not_run(self) -> bool {
        self.response().outcome == Outcome::NotRun
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
