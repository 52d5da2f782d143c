//! To whom the share of a group of accounts is delegated.

use std::net::SocketAddr;
use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::LEASE;

/// Time after the end of a lease until the share is used. Covers the resolution of timestamps on
/// both sides.
const MARGIN: Duration = Duration::from_millis(5);

/// The delegation of a daemon's share of one group of accounts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Delegation {
    /// Coordinator that the last lease was for; `None` if an earlier process may have given it.
    to: Option<SocketAddr>,
    /// Time from which no lease is in force.
    free_since: Timestamp,
    /// Number of the last message with the lease.
    sequence: u64,
}

impl Delegation {
    /// Creates the delegation of a process that has just started. An earlier process may have
    /// delegated the share just before.
    pub(super) fn of_new_process(now: Timestamp) -> Self {
        Self {
            to: None,
            free_since: now + LEASE + MARGIN,
            sequence: 0,
        }
    }

    /// Returns the time from which no lease is in force.
    pub(super) fn free_since(&self) -> Timestamp {
        self.free_since
    }

    /// Whether no lease is in force.
    pub(super) fn is_free(&self, now: Timestamp) -> bool {
        now >= self.free_since
    }

    /// Whether a lease for `coordinator` is in force.
    pub(super) fn is_held_by(&self, coordinator: SocketAddr, now: Timestamp) -> bool {
        self.to == Some(coordinator) && !self.is_free(now)
    }

    /// Whether the share may be delegated to `coordinator`.
    pub(super) fn allows(&self, coordinator: SocketAddr, now: Timestamp) -> bool {
        self.is_free(now) || self.to == Some(coordinator)
    }

    /// Records a message with a lease that is sent now.
    pub(super) fn record_lease(&mut self, to: SocketAddr, sequence: u64, now: Timestamp) {
        *self = Self {
            to: Some(to),
            free_since: now + LEASE + MARGIN,
            sequence,
        };
    }

    /// Ends the lease, because `coordinator` has acknowledged message `sequence`, which no longer
    /// had it.
    pub(super) fn release(&mut self, coordinator: SocketAddr, sequence: u64, now: Timestamp) {
        if self.is_held_by(coordinator, now) && sequence > self.sequence {
            self.free_since = now;
        }
    }
}
