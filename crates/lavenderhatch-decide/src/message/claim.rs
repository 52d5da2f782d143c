//! Claims of orders.

use lavenderhatch_core::{Digest, Incarnation, NodeId};

/// Asks the owner of a claim range for the right to run an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Digest of the idempotency key.
    pub key_hash: Digest,
    /// Digest of method, path and body.
    pub request_digest: Digest,
    /// The daemon that would run the order.
    pub executor: NodeId,
    /// Start of that daemon.
    pub incarnation: Incarnation,
    /// Distinguishes the attempts of one executor.
    pub attempt: u64,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The executor may run the order, once, for the attempt that asked.
    Granted,
    /// The order has run before, with this outcome.
    Recorded(RecordedOutcome),
    /// The order is running.
    InFlight,
    /// The key was used with another request.
    Conflict,
    /// The claim was certainly not written.
    Unavailable,
    /// It cannot be told whether the order ran.
    Unknown,
}

/// Recorded outcome of an order that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedOutcome {
    /// HTTP status of the back end's answer.
    pub status: u16,
    /// Digest of the body of the answer.
    pub body_digest: Digest,
}

/// What became of a granted claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeRecord {
    /// Digest of the idempotency key.
    pub key_hash: Digest,
    /// The daemon to which the claim was granted.
    pub executor: NodeId,
    /// Start of that daemon.
    pub incarnation: Incarnation,
    /// The attempt to which the claim was granted.
    pub attempt: u64,
    /// The outcome; `None` if the order was refused before it ran, which releases the claim.
    pub outcome: Option<RecordedOutcome>,
}
