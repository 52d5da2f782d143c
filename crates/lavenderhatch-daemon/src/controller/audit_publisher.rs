//! Writes the audit trail of the local zone to the platform.

use std::time::Duration;

use crossbeam::channel::{Receiver, after, select};
use lavenderhatch_core::audit::{AuditEvent, AuditLog};
use lavenderhatch_core::blackboard::SectionReader;
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{Error, MemberRecord};
use lavenderhatch_decide::audit::{
    AUDIT_PREFIX, MAX_ZONE_EVENTS, acceptance_event, is_zone_writer,
};
use lavenderhatch_platform::Platform;
use lavenderhatch_platform::accept::read_root;
use lavenderhatch_platform::audit::append;
use tracing::warn;

use super::handle::ControllerHandle;

/// Interval between two writes. The write budget of the platform allows one write per zone in it.
const WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// Controller that writes audit events to the platform, if this daemon is the writer of its zone.
#[derive(Debug)]
pub struct AuditPublisher<P> {
    /// Member record of this daemon.
    pub own: MemberRecord,
    /// Platform that stores the audit trail.
    pub platform: P,
    /// Known members, from which the writer of the zone is chosen.
    pub members: SectionReader<Members>,
    /// Audit events of this daemon.
    pub audit: SectionReader<AuditLog>,
}

impl<P: Platform> AuditPublisher<P> {
    /// Starts the controller thread.
    pub fn spawn(self) -> eyre::Result<ControllerHandle> {
        ControllerHandle::spawn("audit-publisher", move |stop| self.run(&stop))
    }

    fn run(self, stop: &Receiver<()>) {
        let audit_changed = self.audit.subscribe();
        let mut written_count = 0;
        let mut has_failed = false;
        loop {
            if !has_failed {
                select! {
                    recv(stop) -> _ => return,
                    recv(audit_changed) -> wake => if wake.is_err() { return },
                }
            }
            has_failed = self.publish(&mut written_count).is_err();
            // An event that arrives during this wait stays signalled in `audit_changed`.
            select! {
                recv(stop) -> _ => return,
                recv(after(WRITE_INTERVAL)) -> _ => {}
            }
        }
    }

    /// Writes the events after the first `written_count` ones, if this daemon writes for its zone.
    ///
    /// After a failed write, `written_count` is unchanged and the next write includes the same
    /// events.
    fn publish(&self, written_count: &mut u64) -> Result<(), Error> {
        if !is_zone_writer(&self.members.load(), &self.own) {
            return Ok(());
        }
        let log = self.audit.load();
        let name = format!("{AUDIT_PREFIX}{}", self.own.zone);
        let result = self
            .events(&log, *written_count)
            .and_then(|events| append(&self.platform, &name, &events, MAX_ZONE_EVENTS));
        match &result {
            Ok(()) => *written_count = log.count(),
            Err(err) => warn!(
                "audit: cannot write the trail of zone {}: {err}",
                self.own.zone
            ),
        }
        result
    }

    /// Returns the unwritten events of this daemon and the acceptances that the root object lists.
    fn events(&self, log: &AuditLog, written_count: u64) -> Result<Vec<AuditEvent>, Error> {
        let mut events = log.events_after(written_count).to_vec();
        if let Some((root, _)) = read_root(&self.platform)? {
            events.extend(root.acceptances().iter().map(acceptance_event));
        }
        Ok(events)
    }
}
