//! Services of a mesh.

use serde::{Deserialize, Serialize};

use super::validation_error::{MeshPath, ValidationError};
use crate::names::ServiceName;

/// Maximum number of slots of a backend server.
const MAX_SLOTS: u32 = 4096;

/// A service: a set of backend servers that run the same back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Requests that a backend server of the service runs at the same time. Invariant: 1 to 4096.
    pub slots: u32,
}

impl Service {
    pub(super) fn check(&self, name: &ServiceName, errors: &mut Vec<ValidationError>) {
        if !(1..=MAX_SLOTS).contains(&self.slots) {
            errors.push(ValidationError::new(
                MeshPath::key("services", name.as_str(), "slots"),
                format!("slots {} is out of range", self.slots),
                "use 1 to 4096 slots",
            ));
        }
    }
}
