//! The error of all crates: a kind and a message.

use std::fmt;

use crate::ErrorKind;

/// An error: one kind from the closed list and a message for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    message: String,
}

impl Error {
    /// An error of `kind`.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }

    /// The kind, which decides the answer.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// What happened, in lower case, without the kind.
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
