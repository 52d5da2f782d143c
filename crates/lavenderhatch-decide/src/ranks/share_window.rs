//! Slot use by rank over a sliding window of one second.

use lavenderhatch_core::Timestamp;

/// Number of buckets in the window.
const BUCKETS: usize = 20;
/// Length of one bucket, in milliseconds.
const BUCKET_MS: u64 = 50;
/// Length of the window, in milliseconds.
const WINDOW_MS: u64 = BUCKETS as u64 * BUCKET_MS;
/// Maximum use of a rank in one bucket, as a multiple of its share. Without it, a rank that has
/// been idle could use its share of the whole window at once and keep less urgent ranks waiting for
/// as long.
const BUCKET_SHARE_FACTOR: f64 = 1.25;

/// Slot time used by each rank in the window.
#[derive(Clone, Debug)]
pub(super) struct ShareWindow {
    /// Slot time by rank and bucket, in microseconds.
    buckets: Vec<[u64; BUCKETS]>,
    /// Number of the current bucket, counted from the epoch.
    current: u64,
}

impl ShareWindow {
    pub(super) fn new(ranks: usize) -> Self {
        Self {
            buckets: vec![[0; BUCKETS]; ranks],
            current: 0,
        }
    }

    /// Moves the window to `now` and clears the buckets that have left it.
    pub(super) fn advance(&mut self, now: Timestamp) {
        let number = now.as_millis() / BUCKET_MS;
        let passed = number.saturating_sub(self.current).min(BUCKETS as u64);
        for step in 0..passed {
            let at = ((number - step) % BUCKETS as u64) as usize;
            self.buckets.iter_mut().for_each(|buckets| buckets[at] = 0);
        }
        self.current = self.current.max(number);
    }

    /// Charges a rank for `grants` requests that each hold a slot for `slot_us` microseconds.
    pub(super) fn charge(&mut self, rank: usize, grants: u32, slot_us: u64) {
        let at = (self.current % BUCKETS as u64) as usize;
        self.buckets[rank][at] += u64::from(grants) * slot_us;
    }

    /// Whether the rank has used less than `share` of `limit` slots in the window, and less than
    /// [`BUCKET_SHARE_FACTOR`] times that share in the current bucket.
    pub(super) fn is_below_share(&self, rank: usize, share: f64, limit: u32) -> bool {
        let slots = share * f64::from(limit) * 1000.0;
        let at = (self.current % BUCKETS as u64) as usize;
        let in_bucket = self.buckets[rank][at] as f64;
        let in_window: u64 = self.buckets[rank].iter().sum();
        in_bucket < slots * BUCKET_MS as f64 * BUCKET_SHARE_FACTOR
            && (in_window as f64) < slots * WINDOW_MS as f64
    }

    /// Returns the mean number of slots that the other ranks have used in the window.
    pub(super) fn used_by_others(&self, rank: usize) -> f64 {
        let others = self
            .buckets
            .iter()
            .enumerate()
            .filter(|(at, _)| *at != rank);
        let slot_us: u64 = others.flat_map(|(_, buckets)| buckets).sum();
        slot_us as f64 / (WINDOW_MS as f64 * 1000.0)
    }
}
