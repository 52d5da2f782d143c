//! The `audit` section: what this daemon did and why.

use serde::{Deserialize, Serialize};

use crate::{Timestamp, Version};

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditAction {
    /// A set of files was accepted.
    Accepted,
    /// A set of files was rejected.
    Rejected,
    /// A version was put in force on a daemon.
    VersionSwitched,
    /// An update was refused by a daemon.
    UpdateRefused,
    /// A planned stop changed its phase.
    StopChanged,
    /// A claim range changed its owner.
    RangeTakenOver,
    /// A backend server was ejected or let back.
    EndpointEjected,
    /// A member was declared failed or returned.
    MemberChanged,
}

/// One event of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEvent {
    /// When it happened.
    pub at: Timestamp,
    /// Who did it: an operator's name or a backend server.
    pub actor: String,
    /// What happened.
    pub action: AuditAction,
    /// The object: a route, stop, backend server or claim range.
    pub object: String,
    /// Version before, for changes of version.
    pub from: Option<Version>,
    /// Version after, for changes of version.
    pub to: Option<Version>,
    /// Why.
    pub reason: String,
}

/// Most events that the section keeps.
pub const AUDIT_CAPACITY: usize = 512;

/// Snapshot of the recent events of this daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditLog {
    /// Events, oldest first. Invariant: at most [`AUDIT_CAPACITY`].
    pub events: Vec<AuditEvent>,
    /// Events that were dropped because the section was full.
    pub dropped: u64,
}

impl AuditLog {
    /// Adds an event and drops the oldest one if the log is full.
    pub fn push(&mut self, event: AuditEvent) {
        if self.events.len() >= AUDIT_CAPACITY {
            self.events.remove(0);
            self.dropped += 1;
        }
        self.events.push(event);
    }
}
