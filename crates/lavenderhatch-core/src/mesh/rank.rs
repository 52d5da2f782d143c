//! Ranks of work.

use serde::{Deserialize, Serialize};

use super::validation_error::{MeshPath, ValidationError};
use crate::names::RankName;

/// Longest latency target, in milliseconds.
const MAX_TARGET_MS: u64 = 600_000;

/// A rank of work: how urgent it is, and which share of the slots it keeps while other ranks are
/// overloaded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// Latency target, in milliseconds. Invariant: 1 to 600,000.
    pub target_ms: u64,
    /// Value of one request answered within its target, relative to other ranks. Invariant: at
    /// least 1.
    pub worth: u32,
    /// Guaranteed share of the slots of a backend server. Invariant: 0 to 1, and the shares of all
    /// ranks add up to at most 1.
    pub share: f64,
}

impl Rank {
    pub(super) fn check(&self, name: &RankName, errors: &mut Vec<ValidationError>) {
        let mut error = |key: &str, message: String, remedy: &str| {
            errors.push(ValidationError::new(
                MeshPath::key("ranks", name.as_str(), key),
                message,
                remedy,
            ));
        };
        if !(1..=MAX_TARGET_MS).contains(&self.target_ms) {
            error(
                "target_ms",
                format!("target_ms {} is out of range", self.target_ms),
                "use 1 to 600000 milliseconds",
            );
        }
        if self.worth == 0 {
            error(
                "worth",
                "worth 0 is out of range".to_owned(),
                "use a worth of at least 1",
            );
        }
        if !(0.0..=1.0).contains(&self.share) {
            error(
                "share",
                format!("share {} is out of range", self.share),
                "use a share from 0 to 1",
            );
        }
    }
}
