//! Member records.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{NodeId, Region, ServiceName, Zone};

/// Start time of a daemon, in milliseconds since the Unix epoch.
///
/// A restarted daemon has a greater incarnation than its predecessor of the same name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The daemon is running but takes no calls yet.
    Starting,
    /// The backend server takes calls.
    Serving,
    /// The backend server finishes the requests in flight and takes no new ones.
    Leaving,
    /// The backend server has left the mesh.
    Left,
    /// The observers of the member have not heard from it. Set by other members, never by the
    /// member itself.
    Failed,
    /// The whole zone of the member is cut off. Set by other members, never by the member itself.
    Unreachable,
}

/// What a member announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the backend server.
    pub id: NodeId,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Sequence number, which grows with each change that the member makes to its own record.
    /// Invariant: only the member itself raises it.
    pub seq: u64,
    /// Availability zone.
    pub zone: Zone,
    /// Region of the zone.
    pub region: Region,
    /// Service of the back end beside the daemon.
    pub service: ServiceName,
    /// Address at which other daemons reach this daemon.
    pub peer_addr: SocketAddr,
    /// Address at which the operator's tool reaches this daemon.
    pub admin_addr: SocketAddr,
    /// Requests that the back end runs at the same time.
    pub slots: u32,
    /// State of the member.
    pub state: MemberState,
}

impl MemberRecord {
    /// Whether this record replaces `other`, a record of the same member.
    ///
    /// The later incarnation wins, then the higher sequence number, then the greater state. So
    /// `Failed` overrides what the member announced under the same sequence number, and the member
    /// can refute it with the next one.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (Incarnation, u64, MemberState) {
        (self.incarnation, self.seq, self.state)
    }
}
