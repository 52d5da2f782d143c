//! The `drains` section: planned stops and the drain of this backend server.

mod in_flight;

use std::collections::BTreeMap;
use std::sync::Arc;

pub use in_flight::{InFlightCounter, InFlightGuard};
use serde::{Deserialize, Serialize};

use crate::Timestamp;
use crate::member::MemberState;
use crate::names::{NodeId, StopName};

/// Phase of a planned stop.
///
/// The order of the variants matters: from [`StopPhase::Leaving`] on, the backend server takes no
/// new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopPhase {
    /// The start time has not been reached.
    Planned,
    /// The start time has passed, but the backend server is the last one of its service and keeps
    /// serving until another one serves.
    Held,
    /// The backend server takes no new work and finishes the requests in flight.
    Leaving,
    /// No request is in flight any more.
    Drained,
    /// The deadline has passed and requests are still in flight. They are not aborted.
    Overdue,
}

impl StopPhase {
    /// Name of the phase, as shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            StopPhase::Planned => "planned",
            StopPhase::Held => "held",
            StopPhase::Leaving => "leaving",
            StopPhase::Drained => "drained",
            StopPhase::Overdue => "overdue",
        }
    }
}

/// State of a planned stop, from the point of view of this daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopStatus {
    /// The backend server that leaves.
    pub backend_server: NodeId,
    /// Current phase.
    pub phase: StopPhase,
    /// Time at which the phase began.
    pub since: Timestamp,
    /// Earliest start among this stop and those of the same backend server that overlap it.
    pub start: Timestamp,
    /// Latest deadline among this stop and those of the same backend server that overlap it.
    pub deadline: Timestamp,
    /// Requests in flight. Known only for the backend server of this daemon.
    pub in_flight: Option<u32>,
}

/// Reason why this backend server leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaveReason {
    /// A planned stop in the mesh files.
    Stop(StopName),
    /// The daemon received SIGTERM.
    Signal,
}

/// Snapshot of the planned stops and of the drain of this backend server.
#[derive(Clone, Debug, Default)]
pub struct Drains {
    /// Reason why this backend server leaves, or `None` while it serves.
    pub leave_reason: Option<LeaveReason>,
    /// Whether the number of requests in flight has reached zero since this backend server began to
    /// leave. Invariant: false while `leave_reason` is `None`.
    pub is_drained: bool,
    /// Counter of requests in flight, shared by all snapshots and the request path.
    pub in_flight: Arc<InFlightCounter>,
    /// Status of each planned stop, by name.
    pub stops: BTreeMap<StopName, StopStatus>,
}

impl Drains {
    /// Whether this backend server is leaving and takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leave_reason.is_some()
    }

    /// The state that this backend server announces to the other members.
    pub fn local_state(&self) -> MemberState {
        match (&self.leave_reason, self.is_drained) {
            (None, _) => MemberState::Serving,
            (Some(_), false) => MemberState::Leaving,
            (Some(_), true) => MemberState::Left,
        }
    }

    /// Backend servers that get no new work because of a planned stop.
    pub fn stopping_nodes(&self) -> impl Iterator<Item = &NodeId> {
        let is_stopping =
            |stop: &&StopStatus| matches!(stop.phase, StopPhase::Leaving | StopPhase::Overdue);
        let stopping = self.stops.values().filter(is_stopping);
        stopping.map(|stop| &stop.backend_server)
    }
}
