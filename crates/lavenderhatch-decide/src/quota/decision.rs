//! Decisions of a borrower on requests, and the messages that it sends.

use std::net::SocketAddr;
use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::message::QuotaRequest;
use super::token::Token;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub(super) u64);

/// The decision on a request of an account with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Granted(Token),
    /// The request is over the limit. A token is expected after this time.
    Refused(Duration),
    /// The request waits for at most [`super::MAX_WAIT`].
    Wait(Ticket),
}

/// The end of the wait of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketOutcome {
    /// The request.
    pub ticket: Ticket,
    /// A token, or the time after which one is expected.
    pub result: Result<Token, Duration>,
}

/// A message that is to be sent.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Coordinator.
    pub to: SocketAddr,
    /// Time at which the message is sent.
    pub sent_at: Timestamp,
    /// Content.
    pub request: QuotaRequest,
}
