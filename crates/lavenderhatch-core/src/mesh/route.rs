//! Routes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::validation_error::{MeshPath, ValidationError};
use crate::names::{RankName, RouteName, ServiceName};

/// Longest time-out of a route, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Longest path of a route, in bytes.
const MAX_PATH_BYTES: usize = 1024;

/// Stands for all methods in the check for equal routes.
const ANY_METHOD: &str = "*";

/// Whether requests of a route carry an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyPolicy {
    /// A request without a key runs at most once and is never retried after it was handed to a
    /// back end.
    #[default]
    Optional,
    /// A request without a key is refused.
    Required,
}

/// A route: which requests go to which service, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, matched on whole segments; the longest match wins. Invariant: starts with `/`.
    pub path: String,
    /// Methods in upper case; empty means all methods.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The service that runs the requests. Invariant: described in the same mesh.
    pub service: ServiceName,
    /// The rank of the requests. Invariant: described in the same mesh.
    pub rank: RankName,
    /// Time allowed for a call, in milliseconds. Invariant: 1 to 600,000.
    pub timeout_ms: u64,
    /// Whether running a request twice does the same as running it once.
    pub idempotent: bool,
    /// Whether requests carry an idempotency key. Has no effect on idempotent routes.
    #[serde(default)]
    pub key: KeyPolicy,
}

impl Route {
    /// Time allowed for a call.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Whether the route takes requests with this method.
    pub fn accepts_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|m| m == method)
    }

    pub(super) fn method_names(&self) -> Vec<&str> {
        if self.methods.is_empty() {
            return vec![ANY_METHOD];
        }
        self.methods.iter().map(String::as_str).collect()
    }

    pub(super) fn check(&self, name: &RouteName, faults: &mut Vec<ValidationError>) {
        let mut fault = |key: &str, message: String, remedy: &str| {
            faults.push(ValidationError::new(
                MeshPath::key("routes", name.as_str(), key),
                message,
                remedy,
            ));
        };
        if !self.path.starts_with('/') {
            fault(
                "path",
                format!("path {:?}", self.path),
                "start the path with /",
            );
        }
        if self.path.len() > MAX_PATH_BYTES {
            fault(
                "path",
                "the path is too long".to_owned(),
                "use at most 1024 bytes",
            );
        }
        let is_upper = |m: &String| !m.is_empty() && m.bytes().all(|b| b.is_ascii_uppercase());
        if !self.methods.iter().all(is_upper) {
            fault(
                "methods",
                "a method has other characters than A-Z".to_owned(),
                "use upper case",
            );
        }
        if !(1..=MAX_TIMEOUT_MS).contains(&self.timeout_ms) {
            fault(
                "timeout_ms",
                format!("a time-out of {} ms", self.timeout_ms),
                "give 1 to 600000 milliseconds",
            );
        }
    }
}
