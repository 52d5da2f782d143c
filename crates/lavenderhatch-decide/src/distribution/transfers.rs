//! How many whole sets a daemon sends at once.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Most whole sets that are sent at once.
pub const MAX_TRANSFERS: usize = 8;
/// Bytes a second at which a transfer is taken to proceed. Eight transfers use 32 MB a second.
const TRANSFER_BYTES_PER_SECOND: u64 = 4_000_000;
/// Shortest time for which a transfer counts.
const MIN_TRANSFER: Duration = Duration::from_millis(50);

/// The transfers under way. A transfer counts for the time that its size takes, because the daemon
/// cannot see when the network has taken the last byte.
#[derive(Clone, Debug, Default)]
pub struct Transfers {
    /// Invariant: at most [`MAX_TRANSFERS`].
    ends: Vec<Timestamp>,
}

impl Transfers {
    /// Starts a transfer of `bytes`, or says how long to wait. `random` spreads the waits.
    pub fn start(&mut self, bytes: usize, now: Timestamp, random: u64) -> Result<(), Duration> {
        self.ends.retain(|end| *end > now);
        let millis = bytes as u64 * 1000 / TRANSFER_BYTES_PER_SECOND;
        let span = Duration::from_millis(millis).max(MIN_TRANSFER);
        if self.ends.len() < MAX_TRANSFERS {
            self.ends.push(now + span);
            return Ok(());
        }
        let first = self.ends.iter().min().copied().unwrap_or(now);
        let jitter = random % (4 * span.as_millis() as u64);
        Err(first.since(now) + Duration::from_millis(jitter))
    }
}
