//! Writes the audit trail of this daemon's zone to the platform.

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

/// Time between two writes. The platform's budget allows one write a zone in this time.
const WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// What the controller is connected to.
#[derive(Debug)]
pub struct AuditPublisher<P> {
    /// Record of this daemon.
    pub own: MemberRecord,
    /// The platform.
    pub platform: P,
    /// Known members.
    pub members: SectionReader<Members>,
    /// Events of this daemon.
    pub audit: SectionReader<AuditLog>,
}

impl<P: Platform> AuditPublisher<P> {
    /// Starts the controller.
    pub fn spawn(self) -> eyre::Result<ControllerHandle> {
        ControllerHandle::spawn("audit-publisher", move |stop| self.run(&stop))
    }

    fn run(self, stop: &Receiver<()>) {
        let woken = self.audit.subscribe();
        let mut written = 0;
        let mut has_failed = false;
        loop {
            if !has_failed {
                select! {
                    recv(stop) -> _ => return,
                    recv(woken) -> wake => if wake.is_err() { return },
                }
            }
            has_failed = self.publish(&mut written).is_err();
            // Events that come meanwhile leave a wake-up in `woken`.
            select! {
                recv(stop) -> _ => return,
                recv(after(WRITE_INTERVAL)) -> _ => {}
            }
        }
    }

    /// Writes the events after the first `written` ones, if this daemon writes for its zone. Events
    /// of a failed write stay for the next one.
    fn publish(&self, written: &mut u64) -> Result<(), Error> {
        if !is_zone_writer(&self.members.load(), &self.own) {
            return Ok(());
        }
        let log = self.audit.load();
        let name = format!("{AUDIT_PREFIX}{}", self.own.zone);
        let result = self
            .events(&log, *written)
            .and_then(|events| append(&self.platform, &name, &events, MAX_ZONE_EVENTS));
        match &result {
            Ok(()) => *written = log.count(),
            Err(err) => warn!(
                "audit: the trail of zone {} is not written: {err}",
                self.own.zone
            ),
        }
        result
    }

    /// Own events, and the acceptances that the root object lists.
    fn events(&self, log: &AuditLog, written: u64) -> Result<Vec<AuditEvent>, Error> {
        let mut events = log.events_after(written).to_vec();
        if let Some((root, _)) = read_root(&self.platform)? {
            events.extend(root.acceptances().iter().map(acceptance_event));
        }
        Ok(events)
    }
}
