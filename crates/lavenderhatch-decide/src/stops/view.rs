//! What the decision on stops is made from, and what it gives.

use std::collections::BTreeMap;

use lavenderhatch_core::drain::{Drains, LeaveReason, StopPhase, StopStatus};
use lavenderhatch_core::member::Members;
use lavenderhatch_core::mesh::PlannedStop;
use lavenderhatch_core::{MemberRecord, NodeId, StopName, Timestamp};

/// What the decision is made from.
#[derive(Clone, Copy, Debug)]
pub struct StopsView<'a> {
    /// Record with which this daemon started.
    pub own: &'a MemberRecord,
    /// Planned stops of the configuration in force.
    pub stops: &'a BTreeMap<StopName, PlannedStop>,
    /// Known members.
    pub members: &'a Members,
    /// The decision before.
    pub previous: &'a Drains,
    /// Whether this daemon was told by a signal to leave.
    pub is_signalled: bool,
    /// Requests in flight on this daemon, counted after the decision before was published.
    pub in_flight: u32,
}

/// A stop that entered another phase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopChange {
    /// The stop.
    pub name: StopName,
    /// The backend server that leaves.
    pub backend_server: NodeId,
    /// Phase before, if the stop was known.
    pub from: Option<StopPhase>,
    /// Phase now, `None` if the stop was withdrawn.
    pub to: Option<StopPhase>,
}

/// What becomes of the stops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopsDecision {
    /// Why this backend server leaves; `None` while it serves.
    pub own: Option<LeaveReason>,
    /// Whether nothing was in flight any more at some time since this backend server leaves.
    pub is_drained: bool,
    /// State of each stop.
    pub stops: BTreeMap<StopName, StopStatus>,
    /// Stops of this backend server that entered another phase.
    pub changes: Vec<StopChange>,
    /// Next start or deadline that lies ahead.
    pub wake_at: Option<Timestamp>,
}

impl<'a> StopsView<'a> {
    /// The record of a member. Of this daemon, the record with which it started.
    pub(super) fn record(&self, id: &NodeId) -> Option<&'a MemberRecord> {
        match *id == self.own.id {
            true => Some(self.own),
            false => self.members.get(id.as_str()),
        }
    }

    /// Whether this backend server has already finished its work for a stop.
    pub(super) fn has_drained(&self, name: &StopName) -> bool {
        let status = self.previous.stops.get(name);
        status.is_some_and(|status| status.phase == StopPhase::Drained)
    }
}
