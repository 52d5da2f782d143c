//! Status reports of a backend server.

use serde::{Deserialize, Serialize};

/// Lifecycle phase of a backend server, in order. An incarnation only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendPhase {
    /// The backend server accepts requests.
    Ready,
    /// The backend server finishes its requests and accepts no more.
    Draining,
    /// The backend server has left.
    Gone,
}

/// A status report that a backend server sends to its daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Identity of the backend server. It may stay the same across a restart.
    pub id: String,
    /// Start of this incarnation, in milliseconds since the Unix epoch, by the clock of the backend
    /// server. It is compared for equality only, because that clock may be set back.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Sequence number of the report within this incarnation.
    pub sequence: u64,
    /// Number of requests that the backend server runs at the same time.
    pub slots: u32,
    /// Lifecycle phase at the time of the report.
    pub phase: BackendPhase,
    /// Version of the service; empty if the backend server tells none, as in old records.
    #[serde(default)]
    pub version: String,
}

impl BackendReport {
    /// Whether both reports are of the same start of the same backend server.
    pub fn is_same_incarnation(&self, other: &BackendReport) -> bool {
        self.id == other.id && self.incarnation == other.incarnation
    }
}
