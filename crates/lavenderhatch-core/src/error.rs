//! The error type of all crates.

use std::fmt;

use crate::ErrorKind;

/// An error with a kind from the closed list and a message for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    message: String,
    /// Whether a hop has already made or denied the retries of the call.
    is_retry_exhausted: bool,
    /// Delay advised by the daemon that refused the call, in milliseconds.
    retry_after_ms: Option<u64>,
}

impl Error {
    /// Creates an error of `kind` without retry advice.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            is_retry_exhausted: false,
            retry_after_ms: None,
        }
    }

    /// Adds the retry advice of a daemon to the error.
    pub fn with_retry_advice(self, is_exhausted: bool, after_ms: Option<u64>) -> Self {
        Self {
            is_retry_exhausted: is_exhausted,
            retry_after_ms: after_ms,
            ..self
        }
    }

    /// Whether a hop has already made or denied the retries of the call.
    pub fn is_retry_exhausted(&self) -> bool {
        self.is_retry_exhausted
    }

    /// Delay advised by the daemon that refused the call, in milliseconds.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }

    /// Error kind, which determines the response.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Description of the error in lower case, without the kind.
    pub fn message(&self) -> &str {
        &self.message
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Error {}
