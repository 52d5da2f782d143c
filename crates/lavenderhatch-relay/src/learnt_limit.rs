//! The learnt concurrency limit of the local backend server, with its log lines.

use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::ConcurrencyLimit;
use tracing::info;

/// Shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The learnt concurrency limit.
#[derive(Debug)]
pub(crate) struct LearntLimit {
    limit: ConcurrencyLimit,
    /// Whether the last log line said that the limit is below the slots.
    is_logged_below: bool,
    logged_at: Option<Timestamp>,
}

impl LearntLimit {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            limit: ConcurrencyLimit::new(slots),
            is_logged_below: false,
            logged_at: None,
        }
    }

    /// Starts to learn anew if the number of slots has changed. Returns whether it has.
    pub(crate) fn set_slots(&mut self, slots: u32) -> bool {
        let is_changed = self.limit.slots() != slots;
        if is_changed {
            self.limit = ConcurrencyLimit::new(slots);
        }
        is_changed
    }

    /// Returns the number of requests that may be in progress, and that of the slots which other
    /// daemons must count as taken.
    pub(crate) fn current(&mut self, now: Timestamp) -> (u32, u32) {
        let limit = self.limit.end_probe(now);
        (limit, self.limit.slots() - self.limit.advertised())
    }

    /// Records a completed request that started with `in_progress` requests.
    pub(crate) fn record(&mut self, class: u64, in_progress: u32, took: Duration, now: Timestamp) {
        self.limit.record(class, in_progress, took, now);
        let is_below = self.limit.is_below_slots();
        let is_quiet = self
            .logged_at
            .is_none_or(|logged_at| now.since(logged_at) >= LOG_INTERVAL);
        if is_below != self.is_logged_below && is_quiet {
            self.is_logged_below = is_below;
            self.logged_at = Some(now);
            let (limit, slots) = (self.limit.advertised(), self.limit.slots());
            match is_below {
                true => info!(
                    limit,
                    slots, "gate: the backend server slows down before its slots are in use"
                ),
                false => info!(
                    limit,
                    slots, "gate: all slots of the backend server are in use again"
                ),
            }
        }
    }
}
