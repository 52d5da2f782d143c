//! The `claims` section: claims that make an order run at most once.

use serde::{Deserialize, Serialize};

/// Snapshot of the order controller's state, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsSnapshot {
    /// Claim ranges that this daemon owns.
    pub owned_ranges: Vec<u16>,
    /// Claims waiting for the next commit.
    pub pending: u32,
    /// Claims granted since the start of the daemon.
    pub granted: u64,
    /// Claims refused since the start of the daemon.
    pub refused: u64,
    /// Commits rejected since the start of the daemon because another writer committed first.
    pub conflicts: u64,
}
