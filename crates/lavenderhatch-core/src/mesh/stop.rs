//! Planned stops.

use serde::{Deserialize, Serialize};

use super::validation_error::{MeshPath, ValidationError};
use crate::Timestamp;
use crate::names::{NodeId, StopName};

/// A planned stop of one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedStop {
    /// The backend server that leaves. It does not have to be a known member yet.
    pub backend_server: NodeId,
    /// Time from which the backend server gets no new work.
    pub start: Timestamp,
    /// Time at which the stop becomes overdue if requests are still in flight. Invariant: after
    /// `start`.
    pub deadline: Timestamp,
}

impl PlannedStop {
    pub(super) fn check(&self, name: &StopName, errors: &mut Vec<ValidationError>) {
        if self.deadline <= self.start {
            errors.push(ValidationError::new(
                MeshPath::key("stops", name.as_str(), "deadline"),
                "the deadline is not after the start",
                "use a deadline after the start",
            ));
        }
    }
}
