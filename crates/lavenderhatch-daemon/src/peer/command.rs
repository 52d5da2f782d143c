//! Messages that are handed to the threads of the peer links.

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

/// What came back from another daemon.
#[derive(Debug)]
pub struct PeerReply<T> {
    /// The daemon that was asked.
    pub addr: SocketAddr,
    /// Its answer.
    pub result: Result<T, PeerError>,
}

/// A message to another daemon, with the channel for its answer.
#[derive(Debug)]
pub enum PeerCommand {
    /// Sends a heartbeat.
    Heartbeat {
        /// The heartbeat.
        hello: Box<Hello>,
        /// Where the answer goes.
        done: Sender<PeerReply<Hello>>,
    },
    /// Announces a version. The next heartbeat repeats it.
    Announce {
        /// Version that this daemon holds.
        version: Version,
        /// Digest of its mesh.
        digest: Digest,
        /// Where the word goes that the peer has noted the version.
        done: Sender<PeerReply<Version>>,
    },
    /// Closes the connection for control messages.
    Close,
    /// Asks for an update.
    Update {
        /// What is asked for.
        req: UpdateRequest,
        /// Where the answer goes.
        done: Sender<PeerReply<Update>>,
    },
    /// Hands over a call.
    Carry {
        /// The call.
        call: Arc<StoredCall>,
        /// Time allowed for the answer.
        timeout: Duration,
        /// Where the answer goes.
        done: Sender<PeerReply<CallResponse>>,
    },
    /// Asks for the right to run an order.
    Claim {
        /// The claim.
        claim: Claim,
        /// Time allowed for the answer.
        timeout: Duration,
        /// Where the answer goes.
        done: Sender<PeerReply<ClaimVerdict>>,
    },
    /// Reports what became of a granted claim. There is no answer.
    Outcome {
        /// The record.
        record: OutcomeRecord,
    },
}
