//! Routes of a mesh.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::validation_error::{MeshPath, ValidationError};
use crate::names::{RankName, RouteName, ServiceName};

/// Longest timeout of a route, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Longest path of a route, in bytes.
const MAX_PATH_BYTES: usize = 1024;

/// Stands for all methods in the check for overlapping routes.
const ANY_METHOD: &str = "*";

/// Whether requests of a route carry an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyPolicy {
    /// A request without a key is accepted. It runs at most once: it is never retried after it was
    /// handed to a back end.
    #[default]
    Optional,
    /// A request without a key is refused.
    Required,
}

/// A route: which requests go to which service, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, matched on whole segments. The longest match wins. Invariant: starts with `/`.
    pub path: String,
    /// Methods in upper case. Empty means all methods.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The service that runs the requests. Invariant: defined in the same mesh.
    pub service: ServiceName,
    /// The rank of the requests. Invariant: defined in the same mesh.
    pub rank: RankName,
    /// Timeout of a call, in milliseconds. Invariant: 1 to 600,000.
    pub timeout_ms: u64,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Whether requests carry an idempotency key. Has no effect on idempotent routes.
    #[serde(default)]
    pub key: KeyPolicy,
}

impl Route {
    /// Timeout of a call.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Whether the route accepts requests with this method.
    pub fn accepts_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|m| m == method)
    }

    pub(super) fn method_names(&self) -> Vec<&str> {
        if self.methods.is_empty() {
            return vec![ANY_METHOD];
        }
        self.methods.iter().map(String::as_str).collect()
    }

    pub(super) fn check(&self, name: &RouteName, errors: &mut Vec<ValidationError>) {
        let mut error = |key: &str, message: String, remedy: &str| {
            errors.push(ValidationError::new(
                MeshPath::key("routes", name.as_str(), key),
                message,
                remedy,
            ));
        };
        if !self.path.starts_with('/') {
            error(
                "path",
                format!("path {:?} does not start with /", self.path),
                "start the path with /",
            );
        }
        if self.path.len() > MAX_PATH_BYTES {
            error(
                "path",
                "the path is longer than 1024 bytes".to_owned(),
                "use at most 1024 bytes",
            );
        }
        let is_upper = |m: &String| !m.is_empty() && m.bytes().all(|b| b.is_ascii_uppercase());
        if !self.methods.iter().all(is_upper) {
            error(
                "methods",
                "a method has characters other than A-Z".to_owned(),
                "write methods in upper case",
            );
        }
        if !(1..=MAX_TIMEOUT_MS).contains(&self.timeout_ms) {
            error(
                "timeout_ms",
                format!("timeout_ms {} is out of range", self.timeout_ms),
                "use 1 to 600000 milliseconds",
            );
        }
    }
}
