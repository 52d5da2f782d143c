//! From start to the end of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use lavenderhatch_core::drain::{InFlightCounter, InFlightGuard};
use tokio::sync::watch;

/// Whether the daemon leaves, and what it still has to finish.
#[derive(Debug)]
pub struct Lifecycle {
    is_draining: AtomicBool,
    /// Health checks that were answered with "not ready" since the daemon leaves.
    failed_readiness_checks: AtomicU32,
    in_flight: Arc<InFlightCounter>,
    /// Becomes true when the ports take no more connections.
    ports_closed: watch::Sender<bool>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self {
            is_draining: AtomicBool::new(false),
            failed_readiness_checks: AtomicU32::new(0),
            in_flight: Arc::default(),
            ports_closed: watch::Sender::new(false),
        }
    }
}

impl Lifecycle {
    /// Begins to leave. Callers are told to use other connections; requests are still served.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Whether the daemon leaves.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Counts a health check that was answered with "not ready".
    pub fn count_failed_readiness_check(&self) {
        self.failed_readiness_checks.fetch_add(1, Ordering::SeqCst);
    }

    /// Health checks that were answered with "not ready" since the daemon leaves.
    pub fn failed_readiness_checks(&self) -> u32 {
        self.failed_readiness_checks.load(Ordering::SeqCst)
    }

    /// Counts a request until the guard is dropped; `None` once the process is about to end.
    pub fn track_request(&self) -> Option<InFlightGuard> {
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
    pub fn watch_ports_closed(&self) -> watch::Receiver<bool> {
        self.ports_closed.subscribe()
    }
}
