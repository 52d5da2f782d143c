//! Graceful shutdown of the daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use lavenderhatch_core::drain::{InFlightCounter, InFlightGuard};
use tokio::sync::watch;

/// Time for which a connection stays open after the ports are closed if a request is on its way on
/// it, which covers the way of a request from a caller that has just connected.
pub const LAST_REQUEST_TIME: Duration = Duration::from_millis(250);

/// Drain state of the daemon and its count of requests in flight.
#[derive(Debug)]
pub struct Lifecycle {
    is_draining: AtomicBool,
    /// Readiness checks that were answered with "not ready" since draining started.
    failed_readiness_checks: AtomicU32,
    in_flight: Arc<InFlightCounter>,
    /// Becomes true when the ports stop accepting connections.
    ports_closed: watch::Sender<bool>,
    /// Becomes true when answers that are not delivered are given up.
    answers_abandoned: watch::Sender<bool>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self {
            is_draining: AtomicBool::new(false),
            failed_readiness_checks: AtomicU32::new(0),
            in_flight: Arc::default(),
            ports_closed: watch::Sender::new(false),
            answers_abandoned: watch::Sender::new(false),
        }
    }
}

impl Lifecycle {
    /// Starts draining: callers are told to close their connections, but requests are still served.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Whether the daemon is draining.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Counts a readiness check that was answered with "not ready".
    pub fn count_failed_readiness_check(&self) {
        self.failed_readiness_checks.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the number of readiness checks answered with "not ready" since draining started.
    pub fn failed_readiness_checks(&self) -> u32 {
        self.failed_readiness_checks.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped, which is when its answer is
    /// delivered. `None` once the process is about to exit.
    pub fn track_request(&self) -> Option<InFlightGuard> {
        self.in_flight.enter()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.count()
    }

    /// Closes the ports: no new connections are accepted, and idle ones are closed. Connections on
    /// which a request is on its way stay open for [`LAST_REQUEST_TIME`].
    pub fn close_ports(&self) {
        self.ports_closed.send_replace(true);
    }

    /// Gives up the answers that are not delivered. Each of them is logged, and its request is in
    /// flight no longer.
    pub fn abandon_answers(&self) {
        self.answers_abandoned.send_replace(true);
    }

    /// Waits until answers that are not delivered are given up.
    pub(crate) async fn answers_abandoned(&self) {
        let mut abandoned = self.answers_abandoned.subscribe();
        // An error means that the daemon is gone, which ends the connection as well.
        let _ = abandoned.wait_for(|is_abandoned| *is_abandoned).await;
    }

    /// Returns a receiver that becomes true when the ports are closed.
    pub fn watch_ports_closed(&self) -> watch::Receiver<bool> {
        self.ports_closed.subscribe()
    }
}
