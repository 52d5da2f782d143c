//! Input and result of the evaluation of stops.

use std::collections::BTreeMap;

use lavenderhatch_core::drain::{Drains, LeaveReason, StopPhase, StopStatus};
use lavenderhatch_core::member::Members;
use lavenderhatch_core::mesh::PlannedStop;
use lavenderhatch_core::{MemberRecord, NodeId, StopName, Timestamp};

/// Input of the evaluation.
#[derive(Clone, Copy, Debug)]
pub struct StopsView<'a> {
    /// Member record with which this daemon started.
    pub own: &'a MemberRecord,
    /// Planned stops of the configuration in force.
    pub stops: &'a BTreeMap<StopName, PlannedStop>,
    /// Known members.
    pub members: &'a Members,
    /// Previous decision.
    pub previous: &'a Drains,
    /// Whether this daemon has received a signal to leave.
    pub is_signalled: bool,
    /// Number of requests in flight on this daemon, counted after the previous decision was
    /// published.
    pub in_flight: u32,
}

/// Phase change of a stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopChange {
    /// Name of the stop.
    pub name: StopName,
    /// Backend server that the stop concerns.
    pub backend_server: NodeId,
    /// Previous phase; `None` if the stop is new.
    pub from: Option<StopPhase>,
    /// New phase; `None` if the stop was withdrawn.
    pub to: Option<StopPhase>,
}

/// Result of the evaluation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopsDecision {
    /// Why this backend server leaves; `None` while it serves.
    pub leave_reason: Option<LeaveReason>,
    /// Whether the number of requests in flight has reached zero since this backend server began to
    /// leave.
    pub is_drained: bool,
    /// Status of each stop.
    pub stops: BTreeMap<StopName, StopStatus>,
    /// Phase changes of the stops of this backend server.
    pub changes: Vec<StopChange>,
    /// Next start or deadline of a stop after now.
    pub wake_at: Option<Timestamp>,
}

impl<'a> StopsView<'a> {
    /// Returns the record of a member. For this daemon, it is the record with which it started.
    pub(super) fn record(&self, id: &NodeId) -> Option<&'a MemberRecord> {
        match *id == self.own.id {
            true => Some(self.own),
            false => self.members.get(id.as_str()),
        }
    }

    /// Whether a stop was already drained in the previous decision.
    pub(super) fn has_drained(&self, name: &StopName) -> bool {
        let status = self.previous.stops.get(name);
        status.is_some_and(|status| status.phase == StopPhase::Drained)
    }
}
