//! The `load` section: concurrency limit and queue lengths of this backend server.

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
    /// Requests waiting in the queue.
    pub queued: u32,
    /// Requests admitted since the start of the daemon.
    pub admitted: u64,
    /// Requests refused since the start of the daemon.
    pub refused: u64,
}

/// Snapshot of the load of this backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSnapshot {
    /// Maximum number of requests that run at the same time.
    pub limit: u32,
    /// Requests that are running.
    pub in_flight: u32,
    /// Load by rank.
    pub ranks: BTreeMap<RankName, RankLoad>,
    /// Requests refused in the last second.
    #[serde(default)]
    pub refused_per_s: u32,
    /// Requests that can be served per second: the number admitted in the last second, or a higher
    /// estimate from the observed service times.
    #[serde(default)]
    pub served_per_s: u32,
    /// Counters that the request path writes.
    #[serde(skip)]
    pub counters: SharedCounters,
}
