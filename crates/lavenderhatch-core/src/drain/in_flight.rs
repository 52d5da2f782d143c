//! Requests in flight on this daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Set once the daemon starts no further request.
const CLOSED: u32 = 1 << 31;

/// Count of requests in flight: those that run, those that wait for the back end or for another
/// daemon, and those whose answer is being written.
///
/// A request enters before it looks whether the backend server leaves, and the stop controller
/// publishes the leave before it reads the count. Both sides use sequentially consistent accesses,
/// so a count of zero after the publication means that no request runs on the old state.
#[derive(Debug, Default)]
pub struct InFlightCounter {
    /// The count in the lower bits, and [`CLOSED`].
    state: AtomicU32,
}

/// One request in flight. Dropped once its answer is written.
#[derive(Debug)]
pub struct InFlightGuard(Arc<InFlightCounter>);

impl InFlightCounter {
    /// Counts a request until the guard is dropped, or refuses it if the daemon is about to end.
    pub fn enter(self: &Arc<Self>) -> Option<InFlightGuard> {
        let guard = InFlightGuard(Arc::clone(self));
        let before = self.state.fetch_add(1, Ordering::SeqCst);
        (before & CLOSED == 0).then_some(guard)
    }

    /// Requests in flight.
    pub fn count(&self) -> u32 {
        self.state.load(Ordering::SeqCst) & !CLOSED
    }

    /// Refuses all further requests if none is in flight, and says whether it did.
    pub fn try_close(&self) -> bool {
        let swap = self
            .state
            .compare_exchange(0, CLOSED, Ordering::SeqCst, Ordering::SeqCst);
        swap.is_ok()
    }

    /// Refuses all further requests. Those in flight are not touched.
    pub fn close(&self) {
        self.state.fetch_or(CLOSED, Ordering::SeqCst);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.state.fetch_sub(1, Ordering::SeqCst);
    }
}
