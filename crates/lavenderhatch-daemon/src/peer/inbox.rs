//! Requests to the controllers and workers, most of them from other daemons.

use std::net::SocketAddr;

use crossbeam::channel::Sender;
use lavenderhatch_core::call::{CallResponse, StoredCall};
use lavenderhatch_core::{Digest, Error, NodeId, Version};
use lavenderhatch_decide::message::{
    Claim, ClaimVerdict, Hello, OutcomeRecord, Update, UpdateRequest,
};
use lavenderhatch_decide::orders::{AttemptResult, KeyOrigin};
use tokio::sync::oneshot;

/// Sender of the answer to a request of a peer.
#[derive(Debug)]
pub struct Reply<T>(oneshot::Sender<T>);

impl<T> Reply<T> {
    /// Creates a reply sender and the receiver at which the answer arrives.
    pub fn channel() -> (Self, oneshot::Receiver<T>) {
        let (tx, rx) = oneshot::channel();
        (Self(tx), rx)
    }

    /// Sends the answer. Does nothing if nobody waits for it any more.
    pub fn send(self, answer: T) {
        let _ = self.0.send(answer);
    }

    /// Returns whether nobody waits for the answer any more.
    pub fn is_abandoned(&self) -> bool {
        self.0.is_closed()
    }
}

/// A request to the membership controller.
#[derive(Debug)]
pub enum MemberRequest {
    /// A heartbeat.
    Heartbeat(HeartbeatRequest),
    /// A peer announces a version that it holds or is about to put in force.
    Announce {
        /// Id of the peer.
        node: NodeId,
        /// The announced version.
        version: Version,
    },
}

/// A heartbeat from another daemon.
#[derive(Debug)]
pub struct HeartbeatRequest {
    /// The heartbeat.
    pub hello: Hello,
    /// Receives the heartbeat of this daemon.
    pub reply: Reply<Hello>,
}

/// A request to the distribution controller.
#[derive(Debug)]
pub enum DistributionRequest {
    /// A peer announces a version that it holds, so that this daemon can request it.
    Announce {
        /// Id of the peer, taken from its last heartbeat on the same connection.
        from: NodeId,
        /// The announced version.
        version: Version,
        /// Digest of the mesh of that version.
        digest: Digest,
    },
    /// A peer requests a configuration update.
    Update {
        /// The versions held and wanted by the peer.
        req: UpdateRequest,
        /// Receives the update.
        reply: Reply<Update>,
    },
}

/// A request to the order controller.
#[derive(Debug)]
pub enum OrderRequest {
    /// A peer claims the right to run an order.
    Claim {
        /// The claim.
        claim: Claim,
        /// Receives the verdict.
        reply: Reply<ClaimVerdict>,
    },
    /// A peer reports the outcome of a granted claim.
    Outcome(OutcomeRecord),
    /// The local request path is about to run an order.
    Begin(BeginOrder),
    /// The local request path has ended its attempt to run an order.
    Finish(FinishOrder),
}

/// Start of an attempt to run an order.
#[derive(Debug)]
pub struct BeginOrder {
    /// Digest of the idempotency key.
    pub key: Digest,
    /// Digest of method, path and body.
    pub request: Digest,
    /// Whether the key was issued by a daemon or chosen by the caller.
    pub origin: KeyOrigin,
    /// Number of the attempt. Invariant: unique within this incarnation.
    pub attempt: u64,
    /// Receives the next step of the request path.
    pub reply: Sender<BeginReply>,
}

/// Next step of the request path for an order.
#[derive(Debug)]
pub enum BeginReply {
    /// Run the order.
    Run,
    /// Claim the right to run the order from the first of these daemons that can be reached.
    Claim {
        /// The claim to send.
        claim: Claim,
        /// Peer addresses of the owner of the key's range and of the next candidates, best first.
        owners: Vec<SocketAddr>,
    },
    /// Act on this verdict on the claim.
    Verdict(ClaimVerdict),
    /// Return this answer to the caller without running the order.
    Answer(Box<Result<CallResponse, Error>>),
}

/// End of an attempt to run an order.
#[derive(Debug)]
pub struct FinishOrder {
    /// Digest of the idempotency key.
    pub key: Digest,
    /// Number of the attempt.
    pub attempt: u64,
    /// Result of the attempt.
    pub result: AttemptResult,
}

/// A call that a peer has forwarded to this daemon.
#[derive(Debug)]
pub struct ForwardRequest {
    /// The call.
    pub call: StoredCall,
    /// Receives the response.
    pub reply: Reply<CallResponse>,
}

/// Channels to the controllers and workers that handle requests of peers.
#[derive(Clone, Debug)]
pub struct Inboxes {
    /// Heartbeats and announced versions, for the membership controller.
    pub members: Sender<MemberRequest>,
    /// Announcements and update requests, for the distribution controller.
    pub distribution: Sender<DistributionRequest>,
    /// Claims and outcomes, for the order controller.
    pub orders: Sender<OrderRequest>,
    /// Forwarded calls, for the worker threads that run them.
    pub forwarded_calls: Sender<ForwardRequest>,
}
