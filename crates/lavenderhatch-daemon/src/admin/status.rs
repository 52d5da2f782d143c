//! Status of a daemon and of the members that it knows.

use std::collections::BTreeMap;

use lavenderhatch_core::blackboard::Blackboard;
use lavenderhatch_core::claims::ClaimsSnapshot;
use lavenderhatch_core::drain::StopStatus;
use lavenderhatch_core::load::LoadSnapshot;
use lavenderhatch_core::{MemberRecord, NodeId, StopName, Timestamp, Version};
use serde::{Deserialize, Serialize};

use crate::metrics::PlatformStatus;
use crate::peer::ControlBytes;

/// A daemon's view of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's record.
    pub record: MemberRecord,
    /// Version that the member reported in its last heartbeat, if it is linked to this daemon.
    pub version: Option<Version>,
}

/// Answer of `GET /status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Id of this daemon.
    pub node: NodeId,
    /// Version in force on this daemon, or zero if there is none.
    pub version: Version,
    /// When the version was put in force.
    pub applied_at: Option<Timestamp>,
    /// Members that this daemon knows, itself included.
    pub members: Vec<MemberStatus>,
    /// Planned stops and their phases.
    pub stops: BTreeMap<StopName, StopStatus>,
    /// Load of this backend server.
    pub load: LoadSnapshot,
    /// Claim ranges that this daemon owns, and counts of their claims.
    pub claims: ClaimsSnapshot,
    /// Bytes of messages to and from other daemons that carry no calls.
    pub control: ControlBytes,
    /// Reachability of the platform from this daemon.
    #[serde(default)]
    pub platform: PlatformStatus,
}

impl DaemonStatus {
    /// Creates the status of the daemon named `node` from its blackboard.
    pub fn from_board(
        node: &NodeId,
        board: &Blackboard,
        platform: PlatformStatus,
        control: ControlBytes,
    ) -> Self {
        let config = board.config.load();
        let config = config.as_ref().as_ref();
        let version = config.map_or(Version::NONE, |config| config.version);
        let members = board.members.load();
        let status = |record: &MemberRecord| MemberStatus {
            record: record.clone(),
            version: match record.id == *node {
                true => Some(version),
                false => members
                    .reported_versions
                    .get(&record.id)
                    .map(|reported| reported.version),
            },
        };
        Self {
            node: node.clone(),
            version,
            applied_at: config.map(|config| config.applied_at),
            members: members
                .by_id
                .values()
                .map(|record| status(record))
                .collect(),
            stops: board.drains.load().stops.clone(),
            load: LoadSnapshot::clone(&board.load.load()),
            claims: ClaimsSnapshot::clone(&board.claims.load()),
            control,
            platform,
        }
    }
}
