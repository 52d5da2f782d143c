//! Choice of the backend server for a request.

/// Cost of a backend server in another zone, relative to one in the own zone. Answers that cross
/// zones are paid for by the byte, so a far backend server must be clearly better.
const REMOTE_ZONE_FACTOR: f64 = 1.35;
/// Part of the cost that is random, so that daemons with the same knowledge do not all choose the
/// same backend server.
const JITTER_FRACTION: f64 = 0.15;
/// Exponent of the share of successes in the cost: a backend server that fails half of its requests
/// costs eight times as much.
const FAILURE_EXPONENT: i32 = 3;
/// Least share of successes that is distinguished.
const MIN_SUCCESS_RATE: f64 = 0.05;

/// Share of failures up to which a backend server in the own zone is preferred.
const MAX_PREFERRED_FAILURE_RATE: f64 = 0.1;
/// Part of the slots in use up to which a backend server in the own zone is preferred.
const MAX_PREFERRED_UTILIZATION: f64 = 0.75;
/// Part of the target within which a backend server in the own zone must be expected to answer to be
/// preferred.
const MAX_PREFERRED_TARGET_FRACTION: f64 = 0.5;

/// What is known of a backend server that may take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests that run or wait there, as far as is known.
    pub load: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Its service time over the mean of its service.
    pub relative_service_time: f64,
    /// Time that attempts take beyond their time at the daemon there, in mean service times. It tells of
    /// a slow daemon or a busy link, which the service time does not show.
    pub relative_delay: f64,
    /// Share of the requests that it has failed lately, 0 to 1.
    pub failure_rate: f64,
    /// Whether it is in the zone of this daemon.
    pub is_in_local_zone: bool,
    /// Whether it may be chosen.
    pub is_available: bool,
}

impl Candidate {
    /// Whether it is in the own zone and has time to spare, so that no bytes need to cross zones.
    /// `service_share` is the mean service time over the time to the target.
    fn is_preferred(&self, service_share: f64) -> bool {
        let utilization = f64::from(self.load + 1) / f64::from(self.slots.max(1));
        let is_sound = self.failure_rate < MAX_PREFERRED_FAILURE_RATE;
        let is_fast = service_share * (self.relative_service_time + self.relative_delay)
            <= MAX_PREFERRED_TARGET_FRACTION;
        self.is_available
            && self.is_in_local_zone
            && utilization <= MAX_PREFERRED_UTILIZATION
            && is_sound
            && is_fast
    }

    /// Expected time to an answer, in mean service times, weighed by failures and distance.
    fn cost(&self) -> f64 {
        let utilization = f64::from(self.load + 1) / f64::from(self.slots.max(1));
        // Below its slots, a backend server answers without a queue; a small slope spreads the load.
        let queue = 0.5 * utilization.min(1.0) + (utilization - 1.0).max(0.0) * 2.0;
        let success = (1.0 - self.failure_rate).max(MIN_SUCCESS_RATE);
        let distance = if self.is_in_local_zone {
            1.0
        } else {
            REMOTE_ZONE_FACTOR
        };
        let time = self.relative_service_time * (1.0 + queue) + self.relative_delay;
        time * distance / success.powi(FAILURE_EXPONENT)
    }
}

/// The open candidate of the least cost, among those of the own zone as long as one of them has time
/// to spare. `service_share` is the mean service time of the request over its time to the target;
/// `random` gives uniformly distributed numbers.
pub fn choose_backend(
    candidates: &[Candidate],
    service_share: f64,
    mut random: impl FnMut() -> u64,
) -> Option<usize> {
    let has_preferred = candidates.iter().any(|c| c.is_preferred(service_share));
    let mut best: Option<(usize, f64)> = None;
    for (at, candidate) in candidates.iter().enumerate() {
        let is_eligible = match has_preferred {
            true => candidate.is_preferred(service_share),
            false => candidate.is_available,
        };
        if !is_eligible {
            continue;
        }
        let unit = random() as f64 / u64::MAX as f64;
        let cost = candidate.cost() * (1.0 + JITTER_FRACTION * unit);
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((at, cost));
        }
    }
    best.map(|(at, _)| at)
}
