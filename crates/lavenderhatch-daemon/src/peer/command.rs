//! Commands to the threads of the peer links, and the replies to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;
use lavenderhatch_core::call::{CallResponse, StoredCall};
use lavenderhatch_core::{Digest, Version};
use lavenderhatch_decide::message::{
    Claim, ClaimVerdict, Hello, OutcomeRecord, Update, UpdateRequest,
};

use super::error::PeerError;

/// Result of a call to another daemon.
#[derive(Debug)]
pub struct PeerReply<T> {
    /// Peer address of the called daemon.
    pub addr: SocketAddr,
    /// Answer of the daemon, or the reason why there is none.
    pub result: Result<T, PeerError>,
}

/// A message to another daemon, with the channel for its answer where there is one.
#[derive(Debug)]
pub enum PeerCommand {
    /// Sends a heartbeat.
    Heartbeat {
        /// The heartbeat.
        hello: Box<Hello>,
        /// Receives the heartbeat of the peer.
        done: Sender<PeerReply<Hello>>,
    },
    /// Announces a version. The next heartbeat repeats it, which covers a lost announcement.
    Announce {
        /// Version that this daemon holds.
        version: Version,
        /// Digest of the mesh of that version.
        digest: Digest,
        /// Receives the version once the peer has acknowledged it.
        done: Sender<PeerReply<Version>>,
    },
    /// Closes the control connection to the daemon.
    Close,
    /// Requests a configuration update.
    Update {
        /// The versions held and wanted.
        req: UpdateRequest,
        /// Receives the update.
        done: Sender<PeerReply<Update>>,
    },
    /// Forwards a call.
    ForwardCall {
        /// The call.
        call: Arc<StoredCall>,
        /// Longest wait for the answer.
        timeout: Duration,
        /// Receives the response.
        done: Sender<PeerReply<CallResponse>>,
    },
    /// Claims the right to run an order.
    Claim {
        /// The claim.
        claim: Claim,
        /// Longest wait for the answer.
        timeout: Duration,
        /// Receives the verdict.
        done: Sender<PeerReply<ClaimVerdict>>,
    },
    /// Reports the outcome of a granted claim. There is no answer.
    Outcome {
        /// Record of the outcome.
        record: OutcomeRecord,
    },
}
