//! From start to the end of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use lavenderhatch_core::drain::{InFlightCounter, InFlightGuard};
use tokio::sync::watch;

/// Whether the daemon leaves, and what it still has to finish.
#[derive(Debug)]
pub struct Lifecycle {
    is_leaving: AtomicBool,
    /// Health checks that were answered with "not ready" since the daemon leaves.
    refused_checks: AtomicU32,
    in_flight: Arc<InFlightCounter>,
    /// Becomes true when the ports take no more connections.
    ports_closed: watch::Sender<bool>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self {
            is_leaving: AtomicBool::new(false),
            refused_checks: AtomicU32::new(0),
            in_flight: Arc::default(),
            ports_closed: watch::Sender::new(false),
        }
    }
}

impl Lifecycle {
    /// Begins to leave. Callers are told to use other connections; requests are still served.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Whether the daemon leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Counts a health check that was answered with "not ready".
    pub fn count_refused_check(&self) {
        self.refused_checks.fetch_add(1, Ordering::SeqCst);
    }

    /// Health checks that were answered with "not ready" since the daemon leaves.
    pub fn refused_checks(&self) -> u32 {
        self.refused_checks.load(Ordering::SeqCst)
    }

    /// Counts a request until the guard is dropped; `None` once the process is about to end.
    pub fn enter(&self) -> Option<InFlightGuard> {
        self.in_flight.enter()
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.count()
    }

    /// Closes the ports: no more connections are taken, and idle ones are closed.
    pub fn close_ports(&self) {
        self.ports_closed.send_replace(true);
    }

    /// Tells when the ports are closed.
    pub fn subscribe(&self) -> watch::Receiver<bool> {
        self.ports_closed.subscribe()
    }
}
