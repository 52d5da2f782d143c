//! Writes the `audit` section.

use crossbeam::channel::{Receiver, Sender, bounded, select};
use eyre::Result;
use lavenderhatch_core::audit::{AuditEvent, AuditLog};
use lavenderhatch_core::blackboard::SectionWriter;
use tracing::info;

use super::handle::ControllerHandle;

/// Events that wait to be written. More are dropped and counted.
const QUEUE_CAPACITY: usize = 1024;

/// Where controllers report what they did.
#[derive(Clone, Debug)]
pub struct AuditSender(Sender<AuditEvent>);

impl AuditSender {
    /// Reports an event. It is dropped if the queue is full.
    pub fn send(&self, event: AuditEvent) {
        let _ = self.0.try_send(event);
    }
}

/// Collects the audit events of this daemon.
#[derive(Debug)]
pub struct AuditController;

impl AuditController {
    /// The queue of events.
    pub fn channel() -> (AuditSender, Receiver<AuditEvent>) {
        let (tx, rx) = bounded(QUEUE_CAPACITY);
        (AuditSender(tx), rx)
    }

    /// Starts the controller.
    pub fn spawn(
        events: Receiver<AuditEvent>,
        writer: SectionWriter<AuditLog>,
    ) -> Result<ControllerHandle> {
        ControllerHandle::spawn("audit", move |stop| run(&stop, &events, &writer))
    }
}

fn run(stop: &Receiver<()>, events: &Receiver<AuditEvent>, writer: &SectionWriter<AuditLog>) {
    loop {
        let event = select! {
            recv(stop) -> _ => return,
            recv(events) -> event => event,
        };
        let Ok(event) = event else { return };
        info!(
            "audit: {:?} {}: {}",
            event.action, event.object, event.reason
        );
        let mut log = AuditLog::clone(&writer.load());
        log.push(event);
        writer.publish(log);
    }
}
