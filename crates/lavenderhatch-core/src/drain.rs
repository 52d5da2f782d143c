//! The `drains` section: planned stops and this backend server's own drain.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Timestamp;
use crate::names::{NodeId, StopName};

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopPhase {
    /// The start lies ahead.
    Planned,
    /// The backend server is the last of its service and keeps serving until another one serves.
    Held,
    /// The backend server takes no new work and finishes what is in flight.
    Leaving,
    /// Nothing is in flight any more.
    Drained,
    /// The deadline has passed and work is still in flight; it is not cut.
    Overdue,
}

/// State of a planned stop as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopStatus {
    /// The backend server that leaves.
    pub backend_server: NodeId,
    /// Phase.
    pub phase: StopPhase,
    /// When the phase began.
    pub since: Timestamp,
    /// Requests in flight, known only for this daemon's own backend server.
    pub in_flight: Option<u32>,
}

/// Why this backend server leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaveReason {
    /// A planned stop of the mesh files.
    Stop(StopName),
    /// The daemon received SIGTERM.
    Signal,
}

/// Snapshot of all drains.
#[derive(Clone, Debug, Default)]
pub struct Drains {
    /// Why this backend server leaves; `None` while it serves.
    pub own: Option<LeaveReason>,
    /// Planned stops by name.
    pub stops: BTreeMap<StopName, StopStatus>,
}

impl Drains {
    /// Whether this backend server takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.own.is_some()
    }
}
