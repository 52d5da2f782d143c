//! Heartbeats.

use lavenderhatch_core::{Digest, Incarnation, MemberRecord, NodeId, Version};

/// State of a member and what it has news of. Sent as a heartbeat and as the answer to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The sender.
    pub node: NodeId,
    /// Start of the sender.
    pub incarnation: Incarnation,
    /// Version that the sender holds.
    pub version: Version,
    /// Digest of the mesh that the sender holds.
    pub digest: Digest,
    /// Member records that the sender passes on.
    pub records: Vec<MemberRecord>,
    /// Suspicions that the sender passes on.
    pub suspects: Vec<Suspicion>,
    /// Highest version that the sender has seen the receiver hold.
    pub held_by_receiver: Version,
    /// Calls in flight on the sender's backend server.
    pub in_flight: u32,
    /// Concurrency limit of the sender's backend server.
    pub limit: u32,
    /// Held versions that the sender collected for its zone.
    pub reports: Vec<HeldReport>,
}

/// An observer's word that it has not heard from a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The member.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Who has not heard from it.
    pub observer: NodeId,
    /// Whether the observer has heard from it again.
    pub is_withdrawn: bool,
}

/// Versions held by a group of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldReport {
    /// Lowest version held.
    pub lowest: Version,
    /// Members that the report covers.
    pub members: u32,
    /// Some of the members that hold less than the sender.
    pub lagging: Vec<NodeId>,
}
