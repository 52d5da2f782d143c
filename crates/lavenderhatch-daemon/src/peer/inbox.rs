//! Requests from other daemons on their way to the threads that decide.

use std::net::SocketAddr;

use crossbeam::channel::Sender;
use lavenderhatch_core::call::{CallResponse, StoredCall};
use lavenderhatch_core::{Digest, Error, NodeId, Version};
use lavenderhatch_decide::message::{
    Claim, ClaimVerdict, Hello, OutcomeRecord, Update, UpdateRequest,
};
use lavenderhatch_decide::orders::{AttemptResult, KeyOrigin};
use tokio::sync::oneshot;

/// Where the answer to a request of a peer goes.
#[derive(Debug)]
pub struct Reply<T>(oneshot::Sender<T>);

impl<T> Reply<T> {
    /// A reply and the end at which it arrives.
    pub fn channel() -> (Self, oneshot::Receiver<T>) {
        let (tx, rx) = oneshot::channel();
        (Self(tx), rx)
    }

    /// Answers. Does nothing if the peer has gone.
    pub fn send(self, answer: T) {
        let _ = self.0.send(answer);
    }

    /// Whether nobody waits for the answer any more.
    pub fn is_abandoned(&self) -> bool {
        self.0.is_closed()
    }
}

/// A request that concerns the membership.
#[derive(Debug)]
pub enum MemberRequest {
    /// A heartbeat.
    Heartbeat(HeartbeatRequest),
    /// A peer announces the version that it is about to put in force.
    Held {
        /// The peer.
        node: NodeId,
        /// The version.
        version: Version,
    },
}

/// A heartbeat from another daemon.
#[derive(Debug)]
pub struct HeartbeatRequest {
    /// The heartbeat.
    pub hello: Hello,
    /// Where this daemon's own state goes.
    pub reply: Reply<Hello>,
}

/// A request that concerns the distribution of the configuration.
#[derive(Debug)]
pub enum DistributionRequest {
    /// A peer announces a version.
    Announce {
        /// The peer, as its heartbeats on the same connection name it.
        from: NodeId,
        /// Version in force on the peer.
        version: Version,
        /// Digest of its mesh.
        digest: Digest,
    },
    /// A peer asks for an update.
    Update {
        /// What it asks for.
        req: UpdateRequest,
        /// Where the update goes.
        reply: Reply<Update>,
    },
}

/// A request that concerns orders.
#[derive(Debug)]
pub enum OrderRequest {
    /// A peer asks for the right to run an order.
    Claim {
        /// The claim.
        claim: Claim,
        /// Where the verdict goes.
        reply: Reply<ClaimVerdict>,
    },
    /// A peer reports what became of a granted claim.
    Outcome(OutcomeRecord),
    /// This daemon's request path has an order to run.
    Begin(BeginOrder),
    /// This daemon's request path is done with an order.
    Finish(FinishOrder),
}

/// An order that this daemon is to run.
#[derive(Debug)]
pub struct BeginOrder {
    /// Digest of the idempotency key.
    pub key: Digest,
    /// Digest of method, path and body.
    pub request: Digest,
    /// Who made the key.
    pub form: KeyOrigin,
    /// Number of the attempt. Invariant: used once in this incarnation.
    pub attempt: u64,
    /// Where the answer goes.
    pub reply: Sender<BeginReply>,
}

/// What the request path does with an order.
#[derive(Debug)]
pub enum BeginReply {
    /// Run it.
    Run,
    /// Ask for the right to run it, at the first of these daemons that can be reached.
    Ask {
        /// What is asked.
        claim: Claim,
        /// The owner of the key's range, and those that follow it.
        owners: Vec<SocketAddr>,
    },
    /// Act on this verdict.
    Verdict(ClaimVerdict),
    /// Give this answer.
    Answer(Box<Result<CallResponse, Error>>),
}

/// How an attempt ended.
#[derive(Debug)]
pub struct FinishOrder {
    /// Digest of the idempotency key.
    pub key: Digest,
    /// Number of the attempt.
    pub attempt: u64,
    /// How it ended.
    pub end: AttemptResult,
}

/// A call that a peer has handed over.
#[derive(Debug)]
pub struct CarryJob {
    /// The call.
    pub call: StoredCall,
    /// Where the answer goes.
    pub reply: Reply<CallResponse>,
}

/// Channels to the threads that decide on requests of peers.
#[derive(Clone, Debug)]
pub struct Inboxes {
    /// Heartbeats and held versions, to the membership controller.
    pub members: Sender<MemberRequest>,
    /// Announcements and update requests, to the distribution controller.
    pub distribution: Sender<DistributionRequest>,
    /// Claims and outcomes, to the order controller.
    pub orders: Sender<OrderRequest>,
    /// Calls, to the threads that run them.
    pub carry: Sender<CarryJob>,
}
