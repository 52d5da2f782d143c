//! The `audit` section: recent actions of this daemon and the reasons for them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Timestamp, Version};

/// Kind of an audited action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditAction {
    /// A set of mesh files was accepted.
    Accepted,
    /// A set of mesh files was rejected.
    Rejected,
    /// A daemon put a configuration version in force.
    VersionSwitched,
    /// A daemon refused an update.
    UpdateRefused,
    /// A planned stop changed its phase.
    StopChanged,
    /// A claim range changed its owner.
    RangeTakenOver,
    /// A backend server was ejected or reinstated.
    EndpointEjected,
    /// A member was declared failed, or it returned.
    MemberChanged,
}

impl AuditAction {
    /// Name of the action, as in JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            AuditAction::Accepted => "accepted",
            AuditAction::Rejected => "rejected",
            AuditAction::VersionSwitched => "version-switched",
            AuditAction::UpdateRefused => "update-refused",
            AuditAction::StopChanged => "stop-changed",
            AuditAction::RangeTakenOver => "range-taken-over",
            AuditAction::EndpointEjected => "endpoint-ejected",
            AuditAction::MemberChanged => "member-changed",
        }
    }
}

/// One event of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEvent {
    /// Time of the action.
    pub at: Timestamp,
    /// Who acted: the name of an operator or of a backend server.
    pub actor: String,
    /// Kind of the action.
    pub action: AuditAction,
    /// Object of the action: a route, planned stop, backend server or claim range.
    pub object: String,
    /// Version before the action, if the action changed the version.
    pub from: Option<Version>,
    /// Version after the action, if the action changed the version.
    pub to: Option<Version>,
    /// Reason for the action.
    pub reason: String,
}

/// Maximum number of events that the section keeps.
pub const AUDIT_CAPACITY: usize = 512;

/// Snapshot of the recent events of this daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditLog {
    /// Events, oldest first. Invariant: at most [`AUDIT_CAPACITY`] events.
    pub events: Vec<AuditEvent>,
    /// Number of events that were dropped because the section was full.
    pub dropped: u64,
    /// Number of events since the start of the daemon by action, including dropped events.
    #[serde(default)]
    pub totals: BTreeMap<AuditAction, u64>,
}

impl AuditLog {
    /// Adds an event. If the log is full, drops the oldest event.
    pub fn push(&mut self, event: AuditEvent) {
        if self.events.len() >= AUDIT_CAPACITY {
            self.events.remove(0);
            self.dropped += 1;
        }
        *self.totals.entry(event.action).or_default() += 1;
        self.events.push(event);
    }

    /// Number of events since the start of the daemon, including dropped events.
    pub fn count(&self) -> u64 {
        self.totals.values().sum()
    }

    /// The kept events that were added after the first `seen` events.
    ///
    /// A reader passes the [`count`](Self::count) of its last visit to get the events added since.
    pub fn events_after(&self, seen: u64) -> &[AuditEvent] {
        let unseen = self
            .count()
            .saturating_sub(seen)
            .min(self.events.len() as u64);
        &self.events[self.events.len() - unseen as usize..]
    }
}
