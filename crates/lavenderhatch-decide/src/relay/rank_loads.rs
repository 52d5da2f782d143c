//! Slot use by rank, and the slots reserved for urgent ranks.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Time constant of the exponential decay of recorded slot times, in milliseconds.
const DECAY_TIME_MS: f64 = 1000.0;
/// Number of ranks that are distinguished. Less urgent ones count as the last.
const MAX_RANKS: usize = 8;
/// A request is long if its service time is at least this many times the mean of the more urgent
/// requests.
const LONG_FACTOR: f64 = 3.0;
/// Minimum mean number of slots used by more urgent ranks for which slots are reserved.
const MIN_SLOTS_IN_USE: f64 = 0.2;
/// Maximum fraction of the slots that is reserved.
const MAX_RESERVED_SHARE: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
struct RankLoad {
    /// Slot time of the ended requests in milliseconds, decayed to `at`.
    slot_ms: f64,
    /// Number of ended requests, decayed to `at`.
    requests: f64,
    at: Timestamp,
}

impl RankLoad {
    fn decayed(&self, now: Timestamp) -> RankLoad {
        let age = now.since(self.at).as_millis() as f64;
        let factor = (-age / DECAY_TIME_MS).exp();
        RankLoad {
            slot_ms: self.slot_ms * factor,
            requests: self.requests * factor,
            at: now,
        }
    }
}

/// Slot use by rank, from which the number of slots reserved for more urgent ranks follows.
///
/// It handles a flood of long requests of a less urgent rank beside short urgent ones, such as the
/// calls that requests of another service make. If long requests take every slot, each short one
/// waits for the end of a long one. Reserving about the square root of the urgent load covers its
/// usual variation: Halfin and Whitt, "Heavy-Traffic Limits for Queues with Many Exponential
/// Servers", Operations Research 29(3), 1981.
#[derive(Clone, Debug, Default)]
pub(super) struct RankLoads {
    ranks: [RankLoad; MAX_RANKS],
}

impl RankLoads {
    /// Adds the time for which a request held its slot to the slot use of its rank.
    pub(super) fn record(&mut self, priority: u8, took: Duration, now: Timestamp) {
        let load = &mut self.ranks[rank_index(priority)];
        *load = load.decayed(now);
        load.slot_ms += took.as_secs_f64() * 1000.0;
        load.requests += 1.0;
    }

    /// Returns the number of slots that a request must leave free, if it holds its slot for
    /// `service`.
    pub(super) fn reserved(
        &self,
        priority: u8,
        service: Duration,
        slots: u32,
        now: Timestamp,
    ) -> u32 {
        let mut slot_ms = 0.0;
        let mut requests = 0.0;
        for load in &self.ranks[..rank_index(priority)] {
            let load = load.decayed(now);
            slot_ms += load.slot_ms;
            requests += load.requests;
        }
        let in_use = slot_ms / DECAY_TIME_MS;
        let service_ms = service.as_secs_f64() * 1000.0;
        if in_use < MIN_SLOTS_IN_USE || service_ms * requests < LONG_FACTOR * slot_ms {
            return 0;
        }
        let most = f64::from(slots) * MAX_RESERVED_SHARE;
        in_use.sqrt().ceil().min(most) as u32
    }
}

fn rank_index(priority: u8) -> usize {
    usize::from(priority).min(MAX_RANKS - 1)
}
