//! Planned stops.

use serde::{Deserialize, Serialize};

use super::fault::{MeshFault, MeshPath};
use crate::Timestamp;
use crate::names::{NodeId, StopName};

/// A planned stop of one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// The backend server that leaves. It need not be known yet.
    pub backend_server: NodeId,
    /// From this time on the backend server gets no new work.
    pub start: Timestamp,
    /// Work that is still in flight at this time makes the stop overdue. Invariant: after `start`.
    pub deadline: Timestamp,
}

impl Stop {
    pub(super) fn check(&self, name: &StopName, faults: &mut Vec<MeshFault>) {
        if self.deadline <= self.start {
            faults.push(MeshFault::new(
                MeshPath::key("stops", name.as_str(), "deadline"),
                "the deadline is not after the start",
                "give a deadline after the start",
            ));
        }
    }
}
