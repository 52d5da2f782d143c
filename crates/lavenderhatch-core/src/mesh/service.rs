//! Services.

use serde::{Deserialize, Serialize};

use super::validation_error::{MeshPath, ValidationError};
use crate::names::ServiceName;

/// Most slots of one backend server.
const MAX_SLOTS: u32 = 4096;

/// A service: a set of backend servers that run the same back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Requests that one backend server runs at the same time. Invariant: 1 to 4096.
    pub slots: u32,
}

impl Service {
    pub(super) fn check(&self, name: &ServiceName, faults: &mut Vec<ValidationError>) {
        if !(1..=MAX_SLOTS).contains(&self.slots) {
            faults.push(ValidationError::new(
                MeshPath::key("services", name.as_str(), "slots"),
                format!("{} slots", self.slots),
                "give 1 to 4096 slots",
            ));
        }
    }
}
