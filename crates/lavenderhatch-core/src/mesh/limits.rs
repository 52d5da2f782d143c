//! Limits of the whole mesh.

use serde::{Deserialize, Serialize};

use super::validation_error::{MeshPath, ValidationError};

/// Largest body that a mesh may allow, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Limits of the whole mesh.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Retries allowed for each call, on average. Invariant: 0 to 1.
    pub retry_budget: f64,
    /// Largest body of a request or an answer, in bytes. Invariant: 1 to 16 MiB.
    pub max_body_bytes: u64,
    /// Longest queue of one rank on one backend server, in requests. Invariant: 1 to 100,000.
    pub max_queue: u32,
    /// Time for which the claim of a key chosen by a caller is kept, in hours. Invariant: 1 to
    /// 8,760.
    pub claim_retention_h: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retry_budget: 0.1,
            max_body_bytes: 1024 * 1024,
            max_queue: 1000,
            claim_retention_h: 24,
        }
    }
}

impl Limits {
    pub(super) fn check(&self, faults: &mut Vec<ValidationError>) {
        let mut fault = |key: &str, message: String, remedy: &str| {
            faults.push(ValidationError::new(
                MeshPath::key("limits", "", key),
                message,
                remedy,
            ));
        };
        if !(0.0..=1.0).contains(&self.retry_budget) {
            fault(
                "retry_budget",
                format!("a budget of {}", self.retry_budget),
                "give 0 to 1",
            );
        }
        if !(1..=MAX_BODY_BYTES).contains(&self.max_body_bytes) {
            fault(
                "max_body_bytes",
                format!("a limit of {} bytes", self.max_body_bytes),
                "give 1 to 16777216 bytes",
            );
        }
        if !(1..=100_000).contains(&self.max_queue) {
            fault(
                "max_queue",
                format!("a queue of {}", self.max_queue),
                "give 1 to 100000",
            );
        }
        if !(1..=8760).contains(&self.claim_retention_h) {
            fault(
                "claim_retention_h",
                format!("a retention of {} hours", self.claim_retention_h),
                "give 1 to 8760 hours",
            );
        }
    }
}
