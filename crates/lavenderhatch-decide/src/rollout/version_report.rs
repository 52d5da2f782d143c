//! What the leader of a rollout and the daemons of its service tell each other.

use lavenderhatch_core::Timestamp;
use serde::{Deserialize, Serialize};

use super::route_counts::RouteCounts;
use super::version_rule::VersionRule;

/// Requests that a backend server of the new version may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionLease {
    /// Process of the daemon that the lease is meant for.
    pub epoch: u64,
    /// End of the lease on the clock of that process. The leader adds to the time of an answer, so
    /// that a message which arrives late extends nothing.
    pub valid_until: Timestamp,
    /// Number of requests since the start of that process that may have needed a lease.
    pub allowance: u64,
}

/// Answer of the daemon beside a backend server to the leader of a rollout.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionReport {
    /// Identifies the process of the daemon.
    pub epoch: u64,
    /// Time of the answer on the clock of that process.
    pub now: Timestamp,
    /// Version of the backend server; empty if it is not known.
    pub version: String,
    /// Whether the backend server accepts requests.
    pub is_serving: bool,
    /// Lease that the daemon holds now.
    pub lease: Option<VersionLease>,
    /// Requests since the start of the process that needed a lease.
    pub admitted: u64,
    /// Requests that run or wait at the backend server.
    pub in_flight: u32,
    /// Rule that the daemon follows now.
    pub rule: Option<VersionRule>,
    /// Requests since the first question of a leader, by class.
    pub routes: Vec<(u64, RouteCounts)>,
}
