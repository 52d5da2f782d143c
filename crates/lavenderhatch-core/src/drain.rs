//! The `drains` section: planned stops and this backend server's own drain.

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
/// The order counts: from [`StopPhase::Leaving`] on the backend server takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
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

impl StopPhase {
    /// The phase as operators see it.
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

/// State of a planned stop as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopStatus {
    /// The backend server that leaves.
    pub backend_server: NodeId,
    /// Phase.
    pub phase: StopPhase,
    /// When the phase began.
    pub since: Timestamp,
    /// Earliest start of the stops of this backend server that overlap this one.
    pub start: Timestamp,
    /// Latest deadline of the stops of this backend server that overlap this one.
    pub deadline: Timestamp,
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
    pub leave_reason: Option<LeaveReason>,
    /// Whether nothing was in flight any more at some time since this backend server leaves.
    /// Invariant: false while `own` is `None`.
    pub is_drained: bool,
    /// Requests in flight. Each snapshot shares the count with the request path.
    pub in_flight: Arc<InFlightCounter>,
    /// Planned stops by name.
    pub stops: BTreeMap<StopName, StopStatus>,
}

impl Drains {
    /// Whether this backend server takes no new work.
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

    /// Backend servers from which a planned stop keeps new work.
    pub fn stopping_nodes(&self) -> impl Iterator<Item = &NodeId> {
        let is_stopping =
            |stop: &&StopStatus| matches!(stop.phase, StopPhase::Leaving | StopPhase::Overdue);
        let stopping = self.stops.values().filter(is_stopping);
        stopping.map(|stop| &stop.backend_server)
    }
}
