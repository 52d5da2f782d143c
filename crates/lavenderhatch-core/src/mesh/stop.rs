//! Planned stops.

use serde::{Deserialize, Serialize};

use super::validation_error::{MeshPath, ValidationError};
use crate::Timestamp;
use crate::names::{NodeId, StopName};

/// A planned stop of one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedStop {
    /// The backend server that leaves. It need not be known yet.
    pub backend_server: NodeId,
    /// From this time on the backend server gets no new work.
    pub start: Timestamp,
    /// Work that is still in flight at this time makes the stop overdue. Invariant: after `start`.
    pub deadline: Timestamp,
}

impl PlannedStop {
    pub(super) fn check(&self, name: &StopName, faults: &mut Vec<ValidationError>) {
        if self.deadline <= self.start {
            faults.push(ValidationError::new(
                MeshPath::key("stops", name.as_str(), "deadline"),
                "the deadline is not after the start",
                "give a deadline after the start",
            ));
        }
    }
}
