//! An order to move a service to another version.

use std::time::Duration;

/// An order to move the requests of a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Number of the order among those of its service.
    pub number: u64,
    /// Version in use.
    pub base: String,
    /// Version that replaces it.
    pub target: String,
    /// Time within which the rollout ends.
    pub duration: Duration,
}
