//! Faults that a test or an operator injects into the simulated platform.

use serde::{Deserialize, Serialize};

/// Faults of the simulated platform. The default has none.
///
/// The fields are the keys of the JSON body of `PUT /faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call is refused without effect.
    pub is_down: bool,
    /// Latency added to each call, in milliseconds. [`MemoryPlatform`](crate::MemoryPlatform) waits
    /// for it; [`SimulatedStore`](crate::SimulatedStore) does not.
    pub latency_ms: u64,
    /// Number of upcoming writes and removals whose response is lost after they took effect.
    pub lost_answers: u32,
    /// Rate limit of reads, lists and watches, in calls per second; unlimited if absent.
    pub reads_per_second: Option<u32>,
    /// Rate limit of writes and removals, in calls per second; unlimited if absent.
    pub writes_per_second: Option<u32>,
}
