//! Limits how many whole meshes a daemon sends at the same time.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Maximum number of whole meshes that are sent at the same time.
pub const MAX_TRANSFERS: usize = 8;
/// Assumed speed of one transfer, in bytes per second. Eight transfers use 32 MB a second.
const TRANSFER_BYTES_PER_SECOND: u64 = 4_000_000;
/// Minimum time for which a transfer is counted.
const MIN_TRANSFER_TIME: Duration = Duration::from_millis(50);

/// The transfers in progress.
///
/// A transfer is counted for the time that its size takes at the assumed speed, because the daemon
/// cannot see when the last byte has left.
#[derive(Clone, Debug, Default)]
pub struct TransferLimiter {
    /// When each transfer is assumed to end. Invariant: at most [`MAX_TRANSFERS`] entries.
    ends: Vec<Timestamp>,
}

impl TransferLimiter {
    /// Starts a transfer of `bytes` bytes, or returns how long to wait before asking again.
    /// `random` adds jitter to the wait.
    pub fn start(&mut self, bytes: usize, now: Timestamp, random: u64) -> Result<(), Duration> {
        self.ends.retain(|end| *end > now);
        let millis = bytes as u64 * 1000 / TRANSFER_BYTES_PER_SECOND;
        let span = Duration::from_millis(millis).max(MIN_TRANSFER_TIME);
        if self.ends.len() < MAX_TRANSFERS {
            self.ends.push(now + span);
            return Ok(());
        }
        let first = self.ends.iter().min().copied().unwrap_or(now);
        let jitter = random % (4 * span.as_millis() as u64);
        Err(first.since(now) + Duration::from_millis(jitter))
    }
}
