//! Member records.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{NodeId, Region, ServiceName, Zone};

/// Start time of a daemon in milliseconds since the Unix epoch. A restarted daemon has a greater
/// incarnation than its predecessor of the same name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The daemon runs and takes no calls yet.
    Starting,
    /// The backend server takes calls.
    Serving,
    /// The backend server finishes what is in flight and takes nothing new.
    Leaving,
    /// The backend server has left.
    Left,
    /// Its observers have not heard from it. Set by others, never by the member itself.
    Failed,
    /// Its whole zone is cut off. Set by others, never by the member itself.
    Unreachable,
}

/// What a member announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the backend server.
    pub id: NodeId,
    /// Start of the daemon.
    pub incarnation: Incarnation,
    /// Grows with each change that the member makes to its own record. Invariant: only the member
    /// itself raises it.
    pub seq: u64,
    /// Availability zone.
    pub zone: Zone,
    /// Region of the zone.
    pub region: Region,
    /// Service of the back end beside the daemon.
    pub service: ServiceName,
    /// Where other daemons reach this one.
    pub peer_addr: SocketAddr,
    /// Where the operator's tool reaches this daemon.
    pub admin_addr: SocketAddr,
    /// Slots of the back end.
    pub slots: u32,
    /// State.
    pub state: MemberState,
}

impl MemberRecord {
    /// Whether this record replaces `other`, a record of the same member.
    ///
    /// A later incarnation comes first, then a later sequence number, then the greater state, so
    /// that `Failed` outranks what the member said under the same number and the member can refute
    /// it with the next number.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (Incarnation, u64, MemberState) {
        (self.incarnation, self.seq, self.state)
    }
}
