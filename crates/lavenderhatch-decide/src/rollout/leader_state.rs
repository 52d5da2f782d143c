//! What the leader of a rollout stores for its successor.

use serde::{Deserialize, Serialize};

use super::version_rule::Stage;

/// What the leader of a rollout stores for its successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderState {
    /// Name of the leader.
    pub leader: String,
    /// Term of the leader, greater than that of its predecessor.
    pub term: u64,
    /// Time without a change of the object after which the lease has ended, in milliseconds.
    pub lease_ms: u64,
    /// Number of the order among those of its service.
    pub order: u64,
    /// Version that was in use before the order.
    pub base: String,
    /// Version that the order names.
    pub target: String,
    /// Stage of the rollout.
    pub stage: Stage,
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// Number of requests that this leader and its predecessors may have granted.
    pub reserved: u64,
}
