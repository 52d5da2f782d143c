//! Derives the eligible backend servers from members, drains and this daemon's call
//! statistics.
//!
//! Writes the `endpoints` section of the blackboard.

use std::time::Duration;

use crossbeam::channel::{Receiver, select, tick};
use eyre::Result;
use lavenderhatch_core::audit::{AuditAction, AuditEvent};
use lavenderhatch_core::blackboard::{SectionReader, SectionWriter};
use lavenderhatch_core::drain::Drains;
use lavenderhatch_core::endpoint::Endpoints;
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{NodeId, Timestamp};
use lavenderhatch_decide::endpoints::{EjectedEndpoint, EndpointTracker};

use super::audit::AuditSender;
use super::handle::ControllerHandle;

/// Interval between two checks for outliers among the backend servers.
const OUTLIER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Controller that publishes the eligible backend servers and ejects outliers.
#[derive(Debug)]
pub struct EndpointController {
    /// Id of this daemon.
    pub own: NodeId,
    /// Known members and their backend servers.
    pub members: SectionReader<Members>,
    /// Planned stops and their phases.
    pub drains: SectionReader<Drains>,
    /// Writer of the `endpoints` section, which this controller owns.
    pub endpoints: SectionWriter<Endpoints>,
    /// Audit trail, for ejected backend servers.
    pub audit: AuditSender,
}

impl EndpointController {
    /// Starts the controller thread.
    pub fn spawn(self) -> Result<ControllerHandle> {
        ControllerHandle::spawn("endpoint", move |stop| self.run(&stop))
    }

    fn run(self, stop: &Receiver<()>) {
        let members_changed = self.members.subscribe();
        let drains_changed = self.drains.subscribe();
        let ticks = tick(OUTLIER_CHECK_INTERVAL);
        let mut tracker = EndpointTracker::default();
        loop {
            self.publish(&mut tracker);
            select! {
                recv(stop) -> _ => return,
                recv(members_changed) -> wake => if wake.is_err() { return },
                recv(drains_changed) -> wake => if wake.is_err() { return },
                recv(ticks) -> _ => self.eject_outliers(&mut tracker),
            }
        }
    }

    fn publish(&self, tracker: &mut EndpointTracker) {
        let now = Timestamp::from_system_clock();
        let (members, drains) = (self.members.load(), self.drains.load());
        if tracker.is_outdated(&members, &drains, now) {
            self.endpoints
                .publish(tracker.derive(&members, &drains, now));
        }
    }

    fn eject_outliers(&self, tracker: &mut EndpointTracker) {
        let now = Timestamp::from_system_clock();
        for change in tracker.eject_outliers(&self.members.load(), now) {
            self.report(&change, now);
        }
    }

    fn report(&self, change: &EjectedEndpoint, now: Timestamp) {
        let stats = change.stats;
        self.audit.send(AuditEvent {
            at: now,
            actor: self.own.to_string(),
            action: AuditAction::EndpointEjected,
            object: change.node.to_string(),
            from: None,
            to: None,
            reason: format!(
                "{} of {} calls failed, mean latency {:.1} ms; ejected for {} s",
                stats.failures,
                stats.calls,
                stats.mean_latency_us() / 1000.0,
                change.duration.as_secs()
            ),
        });
    }
}
