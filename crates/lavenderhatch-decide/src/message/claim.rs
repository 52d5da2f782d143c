//! Messages that claim orders and report their outcomes.

use lavenderhatch_core::{Digest, Incarnation, NodeId};

/// Asks the owner of a claim range for the right to run an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Digest of the idempotency key.
    pub key_hash: Digest,
    /// Digest of method, path and body of the request.
    pub request_digest: Digest,
    /// The daemon that is to run the order.
    pub executor: NodeId,
    /// Incarnation of the executor.
    pub incarnation: Incarnation,
    /// Number of the attempt within the incarnation.
    pub attempt: u64,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The executor may run the order once, for the attempt that claimed it.
    Granted,
    /// The order has already run, with this outcome.
    Recorded(RecordedOutcome),
    /// Another attempt is running the order.
    InFlight,
    /// The key was used with a different request.
    Conflict,
    /// The claim could not be written and will never take effect.
    Unavailable,
    /// It is unknown whether the order ran.
    Unknown,
}

/// The recorded outcome of an order that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedOutcome {
    /// HTTP status of the back end's answer.
    pub status: u16,
    /// Digest of the body of the answer.
    pub body_digest: Digest,
}

/// Reports the outcome of a granted claim to the owner of its range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeRecord {
    /// Digest of the idempotency key.
    pub key_hash: Digest,
    /// The daemon to which the claim was granted.
    pub executor: NodeId,
    /// Incarnation of the executor.
    pub incarnation: Incarnation,
    /// Number of the attempt to which the claim was granted.
    pub attempt: u64,
    /// The outcome. `None` if the order was refused before it ran, which releases the claim.
    pub outcome: Option<RecordedOutcome>,
}
