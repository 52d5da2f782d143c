//! Time in which a backend server is stopped, from one stop or several that overlap.

use std::collections::BTreeMap;

use lavenderhatch_core::mesh::PlannedStop;
use lavenderhatch_core::{MemberRecord, NodeId, StopName, Timestamp};

/// Stops of one backend server that overlap: the earliest start and the latest deadline count.
#[derive(Debug)]
pub(super) struct Window<'a> {
    pub(super) node: &'a NodeId,
    /// Invariant: not empty.
    pub(super) names: Vec<&'a StopName>,
    pub(super) start: Timestamp,
    pub(super) deadline: Timestamp,
}

impl Window<'_> {
    pub(super) fn has_started(&self, now: Timestamp) -> bool {
        self.start <= now
    }

    /// Whether the stop concerns this run of the daemon. A daemon that starts after the deadline is
    /// the replacement, not the backend server that was to leave.
    pub(super) fn concerns(&self, record: &MemberRecord) -> bool {
        record.incarnation.0 < self.deadline.as_millis()
    }

    fn overlaps(&self, stop: &PlannedStop) -> bool {
        *self.node == stop.backend_server && stop.start <= self.deadline
    }
}

/// The windows of all stops, ordered by start and then by backend server, which is the order in
/// which all daemons let backend servers go.
pub(super) fn windows(stops: &BTreeMap<StopName, PlannedStop>) -> Vec<Window<'_>> {
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
