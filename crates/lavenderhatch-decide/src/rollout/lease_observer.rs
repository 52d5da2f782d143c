//! Whether the leader of a rollout has gone.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

use crate::distribution::HistoryPosition;

/// Watches the object in which a leader renews its lease.
///
/// The lease has ended when the object has not changed for its length on the clock of the observer.
/// No time of another machine is compared, so a wrong clock ends no lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseObserver {
    /// Position of the object's last change, and when it was first seen.
    seen: Option<(HistoryPosition, Timestamp)>,
}

impl LeaseObserver {
    /// Records the position of the object's last change.
    pub fn observe(&mut self, position: HistoryPosition, now: Timestamp) {
        if self.seen.is_none_or(|(known, _)| known != position) {
            self.seen = Some((position, now));
        }
    }

    /// Whether a lease of this length has ended. It has not before it was seen.
    pub fn has_ended(&self, length: Duration, now: Timestamp) -> bool {
        self.seen.is_some_and(|(_, at)| now.since(at) >= length)
    }
}
