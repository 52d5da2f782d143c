//! Faults that a test or an operator injects into the stand-in.

use serde::{Deserialize, Serialize};

/// Faults of the stand-in. The default has none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Each call is refused without effect.
    pub is_down: bool,
    /// Added to each call, in milliseconds. The store itself does not wait; its front ends do.
    pub latency_ms: u64,
    /// The answers of this many writes are lost after the write took effect.
    pub lost_answers: u32,
    /// Reads and waiting watches allowed in each second; unlimited if absent.
    pub reads_per_second: Option<u32>,
    /// Writes allowed in each second; unlimited if absent.
    pub writes_per_second: Option<u32>,
}
