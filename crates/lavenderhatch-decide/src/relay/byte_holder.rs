//! The bytes that a daemon holds for one request or answer.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::byte_budget_limits::SMALL_BYTES;

/// Time without progress after which a reservation is taken back while others wait. Packets that
/// are lost are sent again within this time.
const STALL_TIME: Duration = Duration::from_millis(1000);
/// Least rate, in bytes per second, at which a body arrives that keeps its room while others wait.
const MIN_BYTES_PER_SECOND: f64 = 64.0 * 1024.0;
/// Age from which the least rate applies, so that the start of a body does not count as slow.
const RATE_GRACE: Duration = Duration::from_secs(2);

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteUse {
    /// Bodies of requests of this daemon's callers.
    CallerBody,
    /// Bodies of requests from other daemons.
    PeerBody,
    /// Bodies of answers.
    Answer,
}

/// Identifies a holder in a [`ByteBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub(super) u64);

#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) byte_use: ByteUse,
    pub(super) reserved: usize,
    /// Bytes that have arrived.
    pub(super) received: usize,
    /// Whether all bytes have arrived, so that no progress is expected of the sender.
    pub(super) is_complete: bool,
    /// Time of the first reservation.
    pub(super) since: Timestamp,
    pub(super) last_progress: Timestamp,
    /// Bytes that the holder waits for, and since when.
    pub(super) waiting: Option<(usize, Timestamp)>,
    pub(super) is_evicted: bool,
}

impl Holder {
    pub(super) fn new(byte_use: ByteUse, now: Timestamp) -> Self {
        Self {
            byte_use,
            reserved: 0,
            received: 0,
            is_complete: false,
            since: now,
            last_progress: now,
            waiting: None,
            is_evicted: false,
        }
    }

    /// Whether the holder is small once the bytes that it waits for are granted.
    pub(super) fn is_small(&self) -> bool {
        let wanted = self.waiting.map_or(0, |(bytes, _)| bytes);
        self.reserved + wanted <= SMALL_BYTES
    }

    /// Returns how much of the budget the holder has taken for how long.
    pub(super) fn weight(&self, now: Timestamp) -> f64 {
        self.reserved as f64 * now.since(self.since).as_secs_f64()
    }

    /// Whether the sender is too slow to keep its room while others wait.
    pub(super) fn is_stalled(&self, now: Timestamp) -> bool {
        if self.is_complete || self.waiting.is_some() {
            return false;
        }
        let age = now.since(self.since);
        let is_slow = (self.received as f64) < age.as_secs_f64() * MIN_BYTES_PER_SECOND;
        now.since(self.last_progress) >= STALL_TIME || (age >= RATE_GRACE && is_slow)
    }
}
