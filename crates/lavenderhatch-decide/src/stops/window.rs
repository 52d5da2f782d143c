//! Time windows in which backend servers are stopped.

use std::collections::BTreeMap;

use lavenderhatch_core::mesh::PlannedStop;
use lavenderhatch_core::{MemberRecord, NodeId, StopName, Timestamp};

/// Overlapping stops of one backend server, joined from the earliest start to the latest deadline.
#[derive(Debug)]
pub(super) struct Window<'a> {
    pub(super) node: &'a NodeId,
    /// Names of the joined stops. Invariant: not empty.
    pub(super) names: Vec<&'a StopName>,
    pub(super) start: Timestamp,
    pub(super) deadline: Timestamp,
}

impl Window<'_> {
    pub(super) fn has_started(&self, now: Timestamp) -> bool {
        self.start <= now
    }

    /// Whether the window applies to this incarnation of the daemon.
    ///
    /// A daemon that started after the deadline is the replacement, not the backend server that was
    /// to leave.
    pub(super) fn applies_to(&self, record: &MemberRecord) -> bool {
        record.incarnation.0 < self.deadline.as_millis()
    }

    fn overlaps(&self, stop: &PlannedStop) -> bool {
        *self.node == stop.backend_server && stop.start <= self.deadline
    }
}

/// Returns the windows of all stops, ordered by start and then by backend server. All daemons grant
/// leaves in this order.
pub(super) fn stop_windows(stops: &BTreeMap<StopName, PlannedStop>) -> Vec<Window<'_>> {
    let mut sorted: Vec<(&StopName, &PlannedStop)> = stops.iter().collect();
    sorted.sort_by_key(|(name, stop)| (&stop.backend_server, stop.start, *name));
    let mut windows: Vec<Window<'_>> = Vec::new();
    for (name, stop) in sorted {
        match windows.last_mut().filter(|window| window.overlaps(stop)) {
            Some(window) => {
                window.names.push(name);
                window.deadline = window.deadline.max(stop.deadline);
            }
            None => windows.push(Window {
                node: &stop.backend_server,
                names: vec![name],
                start: stop.start,
                deadline: stop.deadline,
            }),
        }
    }
    windows.sort_by_key(|window| (window.start, window.node));
    windows
}
