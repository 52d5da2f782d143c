//! Requests that wait for a token.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use lavenderhatch_decide::quota::{Ticket, TicketOutcome, Token};
use tokio::sync::oneshot;

/// The end of a wait: a token, or the time after which one is expected.
pub(super) type WaitResult = Result<Token, Duration>;

/// The waiting requests of a daemon.
#[derive(Debug, Default)]
pub(super) struct WaitingRequests {
    by_ticket: RefCell<HashMap<Ticket, oneshot::Sender<WaitResult>>>,
}

impl WaitingRequests {
    /// Adds a request.
    pub(super) fn add(&self, ticket: Ticket) -> oneshot::Receiver<WaitResult> {
        let (sender, receiver) = oneshot::channel();
        self.by_ticket.borrow_mut().insert(ticket, sender);
        receiver
    }

    /// Removes a request that no longer waits.
    pub(super) fn remove(&self, ticket: Ticket) {
        self.by_ticket.borrow_mut().remove(&ticket);
    }

    /// Ends the wait of a request. Returns the token if the request has been cancelled.
    pub(super) fn finish(&self, outcome: TicketOutcome) -> Option<Token> {
        let sender = self.by_ticket.borrow_mut().remove(&outcome.ticket);
        let unsent = match sender {
            Some(sender) => sender.send(outcome.result).err(),
            None => Some(outcome.result),
        };
        unsent?.ok()
    }
}
