//! Until when the configuration in force is known to be current.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::boot_clock::BootClock;

/// Until when the configuration in force is known to be current.
///
/// Every configuration that was acknowledged before [`Self::current_until`] is in force or was
/// superseded. Written by the controller of the configuration, after it has published what it read,
/// and by the request path when another daemon tells the age of its own. A reader must read the
/// time before the configuration.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    /// Milliseconds on the [`BootClock`]. Never moves back. Zero if nothing is known or needed.
    current_until: AtomicU64,
    /// When a request with an API key last needed it, on the [`BootClock`].
    needed_at: AtomicU64,
    /// Whether the last attempt to confirm the configuration has failed.
    is_failing: AtomicBool,
    /// Wakes the task that confirms the configuration.
    wanted: Notify,
    /// Tells the requests that wait of each confirmation.
    advanced: watch::Sender<()>,
}

impl ConfigFreshness {
    /// Returns the time until which the configuration is known to be current.
    pub fn current_until(&self) -> Timestamp {
        Timestamp(self.current_until.load(Ordering::Acquire))
    }

    /// Records that the configuration is current until a time.
    pub fn advance(&self, until: Timestamp) {
        if self.current_until.fetch_max(until.0, Ordering::AcqRel) < until.0 {
            self.advanced.send_replace(());
        }
    }

    /// Notes that a request with an API key needs the configuration to be current.
    pub fn note_need(&self, now: Timestamp) {
        self.needed_at.store(now.0, Ordering::Relaxed);
    }

    /// Returns when a request with an API key last needed the configuration to be current.
    pub fn needed_at(&self) -> Timestamp {
        Timestamp(self.needed_at.load(Ordering::Relaxed))
    }

    /// Records whether an attempt to confirm the configuration has failed.
    pub fn set_failing(&self, is_failing: bool) {
        self.is_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Whether the last attempt to confirm the configuration has failed, so that waiting for one
    /// is of no use.
    pub fn is_failing(&self) -> bool {
        self.is_failing.load(Ordering::Relaxed)
    }

    /// Asks for a confirmation, and waits for one for at most `limit`.
    pub async fn wait_for_confirmation(&self, limit: Duration) {
        let mut advanced = self.advanced.subscribe();
        self.wanted.notify_one();
        // Without a confirmation, the caller finds the configuration as old as before.
        let _ = timeout(limit, advanced.changed()).await;
    }

    /// Waits until a request asks for a confirmation. For one task at a time.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Returns the age of the configuration; `None` if it is not known.
    pub fn age(&self) -> Option<Duration> {
        let until = self.current_until();
        (until.0 > 0).then(|| BootClock.now().since(until))
    }
}
