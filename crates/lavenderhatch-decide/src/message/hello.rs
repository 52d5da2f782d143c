//! Heartbeats.

use lavenderhatch_core::{Digest, Incarnation, MemberRecord, NodeId, Version};

/// State of the sender and the records and suspicions that it passes on. Sent as a heartbeat and as
/// the answer to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The sender.
    pub node: NodeId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Version in force on the sender; zero if there is none.
    pub version: Version,
    /// Digest of the mesh in force on the sender.
    pub digest: Digest,
    /// Member records that the sender passes on.
    pub records: Vec<MemberRecord>,
    /// Suspicions that the sender passes on.
    pub suspects: Vec<Suspicion>,
    /// Highest version that the sender knows the receiver to have held, also before a restart.
    pub held_by_receiver: Version,
    /// Calls in flight on the sender's backend server.
    pub in_flight: u32,
    /// Concurrency limit of the sender's backend server.
    pub limit: u32,
    /// Reports of versions that the sender collected for its zone.
    pub reports: Vec<HeldReport>,
}

/// States that an observer has not heard from a member, or withdraws an earlier such statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The suspected member.
    pub node: NodeId,
    /// Incarnation of the suspected member.
    pub incarnation: Incarnation,
    /// The member that has not heard from it.
    pub observer: NodeId,
    /// Whether the observer has heard from the member again, which withdraws its suspicion.
    pub is_withdrawn: bool,
}

/// Summary of the versions held by a group of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldReport {
    /// Lowest version held.
    pub lowest: Version,
    /// Number of members that the report covers.
    pub members: u32,
    /// Some of the members that hold an older version than the sender.
    pub lagging: Vec<NodeId>,
}
