//! The `claims` section: orders that this daemon keeps at most once.

use serde::{Deserialize, Serialize};

/// Snapshot of the order controller's state, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsSnapshot {
    /// Claim ranges that this daemon owns.
    pub owned_ranges: Vec<u16>,
    /// Claims that wait for the next commit.
    pub pending: u32,
    /// Claims that were granted since the start.
    pub granted: u64,
    /// Claims refused since the start.
    pub refused: u64,
    /// Commits that lost against another writer since the start.
    pub conflicts: u64,
}
