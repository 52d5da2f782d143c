//! Errors of client connections.

use std::io::ErrorKind;

/// The error of an exchange over a client connection.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No connection could be made.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection ended before the request was sent.
    #[error("the connection ended before the request was sent")]
    NotSent,
    /// The connection or the answer failed after the request was sent.
    #[error("the exchange failed: {0}")]
    Exchange(#[source] hyper::Error),
    /// The answer is larger than the limit.
    #[error("the answer is larger than {limit} bytes")]
    TooLarge {
        /// Largest accepted answer, in bytes.
        limit: usize,
    },
    /// The memory of this daemon has no room for the answer.
    #[error("no room for the answer: {0}")]
    NoRoom(String),
    /// The answer took too long.
    #[error("no answer in time")]
    TimedOut,
}

impl ClientError {
    /// Whether no server listens at the address.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, ClientError::Connect(err) if err.kind() == ErrorKind::ConnectionRefused)
    }

    /// Whether the request was certainly not sent to the server.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, ClientError::Connect(_) | ClientError::NotSent)
    }
}
