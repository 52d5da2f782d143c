//! Errors of calls to other daemons.

use lavenderhatch_core::{Error, ErrorKind};

/// Why a call to another daemon failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The message was not sent, so the peer cannot have acted on it.
    #[error("peer cannot be reached: {0}")]
    NotSent(String),
    /// The message was sent, but no valid answer came.
    #[error("peer did not answer: {0}")]
    NoAnswer(String),
    /// The message was sent, but the timeout passed before an answer came.
    #[error("peer did not answer in time")]
    TimedOut,
}

impl PeerError {
    /// Returns whether the peer may have acted on the message.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, PeerError::NotSent(_))
    }
}

impl From<PeerError> for Error {
    fn from(err: PeerError) -> Error {
        let kind = match err {
            PeerError::NotSent(_) => ErrorKind::NoBackend,
            PeerError::NoAnswer(_) => ErrorKind::OutcomeUnknown,
            PeerError::TimedOut => ErrorKind::DeadlinePassed,
        };
        Error::new(kind, err.to_string())
    }
}
