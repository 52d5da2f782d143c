//! Collects audit events of this daemon. Writes the `audit` section of the blackboard.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crossbeam::channel::{Receiver, Sender, bounded, select};
use eyre::Result;
use lavenderhatch_core::audit::{AuditEvent, AuditLog};
use lavenderhatch_core::blackboard::SectionWriter;
use tracing::info;

use super::handle::ControllerHandle;

/// Capacity of the event queue. Further events are dropped and counted.
const QUEUE_CAPACITY: usize = 1024;

/// Sending half of the event queue, through which controllers report their actions.
#[derive(Clone, Debug)]
pub struct AuditSender {
    queue: Sender<AuditEvent>,
    /// Number of dropped events that [`AuditLog::dropped`] does not include yet.
    dropped: Arc<AtomicU64>,
}

/// Receiving half of the event queue, for the audit controller.
#[derive(Debug)]
pub struct AuditReceiver {
    queue: Receiver<AuditEvent>,
    dropped: Arc<AtomicU64>,
}

impl AuditSender {
    /// Queues an event. If the queue is full, the event is dropped and counted.
    pub fn send(&self, event: AuditEvent) {
        if self.queue.try_send(event).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Logs the audit events of this daemon and publishes the most recent ones.
#[derive(Debug)]
pub struct AuditController;

impl AuditController {
    /// Creates the event queue.
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

    /// Starts the controller thread.
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
