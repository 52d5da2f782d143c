//! Limits of the whole mesh.

use serde::{Deserialize, Serialize};

use super::validation_error::{MeshPath, ValidationError};

/// Largest body that a mesh may allow, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Limits of the whole mesh: on retries, body sizes, queue lengths and the retention of claims.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Average number of retries allowed per call. Invariant: 0 to 1.
    pub retry_budget: f64,
    /// Largest body of a request or response, in bytes. Invariant: 1 to 16 MiB.
    pub max_body_bytes: u64,
    /// Maximum queue length of a rank on a backend server, in requests. Invariant: 1 to 100,000.
    pub max_queue: u32,
    /// Time for which the claim of an idempotency key chosen by a caller is kept, in hours.
    /// Invariant: 1 to 8,760.
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
    pub(super) fn check(&self, errors: &mut Vec<ValidationError>) {
        let mut error = |key: &str, message: String, remedy: &str| {
            errors.push(ValidationError::new(
                MeshPath::key("limits", "", key),
                message,
                remedy,
            ));
        };
        if !(0.0..=1.0).contains(&self.retry_budget) {
            error(
                "retry_budget",
                format!("retry_budget {} is out of range", self.retry_budget),
                "use 0 to 1",
            );
        }
        if !(1..=MAX_BODY_BYTES).contains(&self.max_body_bytes) {
            error(
                "max_body_bytes",
                format!("max_body_bytes {} is out of range", self.max_body_bytes),
                "use 1 to 16777216 bytes",
            );
        }
        if !(1..=100_000).contains(&self.max_queue) {
            error(
                "max_queue",
                format!("max_queue {} is out of range", self.max_queue),
                "use 1 to 100000 requests",
            );
        }
        if !(1..=8760).contains(&self.claim_retention_h) {
            error(
                "claim_retention_h",
                format!(
                    "claim_retention_h {} is out of range",
                    self.claim_retention_h
                ),
                "use 1 to 8760 hours",
            );
        }
    }
}
