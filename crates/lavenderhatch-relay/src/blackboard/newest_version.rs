//! Newest configuration version that other daemons have in force.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use tokio::sync::Notify;

/// Newest configuration version that other daemons have in force.
///
/// Daemons tell their version with each request that they forward and each answer to one. A daemon
/// whose own watch of the store is silent learns in this way that it is out of date. Written by the
/// request path, and read by the controller of the configuration.
#[derive(Debug, Default)]
pub struct NewestVersion {
    version: AtomicU64,
    /// Wakes the task that waits for a newer version.
    reported: Notify,
}

impl NewestVersion {
    /// Records the version of another daemon.
    pub fn report(&self, version: u64) {
        if self.version.fetch_max(version, Relaxed) < version {
            self.reported.notify_one();
        }
    }

    /// Waits until a version above `held` was reported, and returns it. For one task at a time.
    pub async fn wait_for_newer_than(&self, held: u64) -> u64 {
        loop {
            let version = self.version.load(Relaxed);
            if version > held {
                return version;
            }
            self.reported.notified().await;
        }
    }

    /// Forgets a version. Counts again once another daemon reports it again.
    pub fn forget(&self, version: u64) {
        // A failure means that a newer version was reported meanwhile.
        let _ = self.version.compare_exchange(version, 0, Relaxed, Relaxed);
    }
}
