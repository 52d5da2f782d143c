//! The `audit` section: what this daemon did and why.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Timestamp, Version};

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
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

impl AuditAction {
    /// The action as text, as in JSON.
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
    /// Events by action since the start, dropped ones included.
    #[serde(default)]
    pub totals: BTreeMap<AuditAction, u64>,
}

impl AuditLog {
    /// Adds an event and drops the oldest one if the log is full.
    pub fn push(&mut self, event: AuditEvent) {
        if self.events.len() >= AUDIT_CAPACITY {
            self.events.remove(0);
            self.dropped += 1;
        }
        *self.totals.entry(event.action).or_default() += 1;
        self.events.push(event);
    }

    /// Events since the start. The last `count() - seen` events are those after an earlier count.
    pub fn count(&self) -> u64 {
        self.totals.values().sum()
    }

    /// The kept events after the first `seen` ones since the start.
    pub fn events_after(&self, seen: u64) -> &[AuditEvent] {
        let fresh = self
            .count()
            .saturating_sub(seen)
            .min(self.events.len() as u64);
        &self.events[self.events.len() - fresh as usize..]
    }
}
