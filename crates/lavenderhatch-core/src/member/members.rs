//! All known members.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::record::{MemberRecord, MemberState};
use crate::names::NodeId;
use crate::{Digest, Timestamp, Version};

/// What the last heartbeat of a member said about its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedVersion {
    /// Version that the member holds.
    pub version: Version,
    /// Digest of its mesh.
    pub digest: Digest,
    /// When the heartbeat arrived.
    pub at: Timestamp,
}

/// Snapshot of the members that this daemon knows, itself included.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Records by name. Shared, because a snapshot that differs only in the versions heard is
    /// published several times a second, and a copy of 22,000 entries takes 2 ms.
    pub by_id: Arc<BTreeMap<NodeId, Arc<MemberRecord>>>,
    /// Members that this daemon keeps a link to. Invariant: without this daemon itself.
    pub links: Vec<NodeId>,
    /// Versions heard from the linked members.
    pub reported_versions: BTreeMap<NodeId, ReportedVersion>,
    /// Highest version that any member has seen this daemon hold, in this or an earlier
    /// incarnation. Invariant: never decreases.
    pub version_floor: Version,
    /// Whether the first members have answered, or the platform said that there are none.
    pub is_joined: bool,
}

impl Members {
    /// The record of a member.
    pub fn get(&self, id: &str) -> Option<&MemberRecord> {
        self.by_id.get(id).map(Arc::as_ref)
    }

    /// Members that are running: starting, serving or leaving.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        let is_live = |record: &&MemberRecord| record.state <= MemberState::Leaving;
        self.by_id.values().map(Arc::as_ref).filter(is_live)
    }
}
