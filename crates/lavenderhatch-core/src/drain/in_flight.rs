//! Counter of requests in flight on this daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Flag of the state word that is set once the daemon starts no further request.
const CLOSED: u32 = 1 << 31;

/// Counts the requests in flight: those that run, those that wait for the back end or for another
/// daemon, and those whose response is being written.
///
/// A request is counted before it checks whether the backend server is leaving, and the stop
/// controller publishes that state before it reads the count. Both sides use sequentially
/// consistent accesses, so a count of zero after the publication means that no request still runs
/// on the old state.
#[derive(Debug, Default)]
pub struct InFlightCounter {
    /// The count in the lower 31 bits, and the flag [`CLOSED`].
    state: AtomicU32,
}

/// Keeps a request counted as in flight. Dropped once the response is written.
#[derive(Debug)]
pub struct InFlightGuard(Arc<InFlightCounter>);

impl InFlightCounter {
    /// Counts a request until the guard is dropped. Returns `None` if the counter is closed because
    /// the daemon is about to exit.
    pub fn enter(self: &Arc<Self>) -> Option<InFlightGuard> {
        let guard = InFlightGuard(Arc::clone(self));
        let before = self.state.fetch_add(1, Ordering::SeqCst);
        (before & CLOSED == 0).then_some(guard)
    }

    /// Number of requests in flight.
    pub fn count(&self) -> u32 {
        self.state.load(Ordering::SeqCst) & !CLOSED
    }

    /// Closes the counter to further requests if none is in flight. Returns whether it did.
    pub fn try_close(&self) -> bool {
        let swap = self
            .state
            .compare_exchange(0, CLOSED, Ordering::SeqCst, Ordering::SeqCst);
        swap.is_ok()
    }

    /// Closes the counter to further requests. Requests in flight continue.
    pub fn close(&self) {
        self.state.fetch_or(CLOSED, Ordering::SeqCst);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.state.fetch_sub(1, Ordering::SeqCst);
    }
}
