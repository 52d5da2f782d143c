//! Writes the `audit` section.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

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
pub struct AuditSender {
    queue: Sender<AuditEvent>,
    /// Events that found the queue full and are not yet in the log's count.
    dropped: Arc<AtomicU64>,
}

/// Where the audit controller receives events.
#[derive(Debug)]
pub struct AuditReceiver {
    queue: Receiver<AuditEvent>,
    dropped: Arc<AtomicU64>,
}

impl AuditSender {
    /// Reports an event. It is dropped and counted if the queue is full.
    pub fn send(&self, event: AuditEvent) {
        if self.queue.try_send(event).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Collects the audit events of this daemon.
#[derive(Debug)]
pub struct AuditController;

impl AuditController {
    /// The queue of events.
    pub fn channel() -> (AuditSender, AuditReceiver) {
        let (tx, rx) = bounded(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let sender = AuditSender {
            queue: tx,
            dropped: Arc::clone(&dropped),
        };
        let receiver = AuditReceiver { queue: rx, dropped };
        (sender, receiver)
    }

    /// Starts the controller.
    pub fn spawn(
        events: AuditReceiver,
        writer: SectionWriter<AuditLog>,
    ) -> Result<ControllerHandle> {
        ControllerHandle::spawn("audit", move |stop| run(&stop, &events, &writer))
    }
}

fn run(stop: &Receiver<()>, events: &AuditReceiver, writer: &SectionWriter<AuditLog>) {
    loop {
        let event = select! {
            recv(stop) -> _ => return,
            recv(events.queue) -> event => event,
        };
        let Ok(event) = event else { return };
        info!(
            "audit: {:?} {}: {}",
            event.action, event.object, event.reason
        );
        let mut log = AuditLog::clone(&writer.load());
        log.dropped += events.dropped.swap(0, Ordering::Relaxed);
        log.push(event);
        writer.publish(log);
    }
}
