//! The `load` section: concurrency limit and queues of this backend server.

mod rank_counters;
mod slot_semaphore;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use rank_counters::{RankCounters, SharedCounters};
pub use slot_semaphore::{Acquisition, AtomicWord, SemaphoreState, SlotSemaphore};

use crate::names::RankName;

/// Load of one rank.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankLoad {
    /// Requests that wait.
    pub queued: u32,
    /// Requests admitted since the start.
    pub admitted: u64,
    /// Requests refused since the start.
    pub refused: u64,
}

/// Snapshot of the load of this backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSnapshot {
    /// Requests that may run at the same time.
    pub limit: u32,
    /// Requests that run.
    pub in_flight: u32,
    /// Load by rank.
    pub ranks: BTreeMap<RankName, RankLoad>,
    /// Requests refused in the last second.
    #[serde(default)]
    pub refused_per_s: u32,
    /// Requests that can be served in a second: those admitted in the last one, or more by the
    /// observed service times.
    #[serde(default)]
    pub served_per_s: u32,
    /// Counters that the request path writes.
    #[serde(skip)]
    pub counters: SharedCounters,
}
