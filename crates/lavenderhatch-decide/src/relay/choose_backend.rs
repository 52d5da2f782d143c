//! Choice of the backend server for a request.

/// Cost of a backend server in a remote zone, relative to one in the local zone. Traffic between
/// zones is paid for by the byte, so a remote backend server must be clearly better.
const REMOTE_ZONE_FACTOR: f64 = 1.35;
/// Maximum random addition to the cost, as a fraction of it. It keeps daemons with the same data
/// from all choosing the same backend server.
const JITTER_FRACTION: f64 = 0.15;
/// Exponent of the success rate in the cost: a backend server that fails half of its requests costs
/// eight times as much.
const FAILURE_EXPONENT: i32 = 3;
/// Lower bound of the success rate in the cost.
const MIN_SUCCESS_RATE: f64 = 0.05;

/// Failure rate below which a backend server in the local zone is preferred.
const MAX_PREFERRED_FAILURE_RATE: f64 = 0.1;
/// Slot utilization up to which a backend server in the local zone is preferred.
const MAX_PREFERRED_UTILIZATION: f64 = 0.75;
/// Fraction of the time to the target within which a backend server in the local zone must be
/// expected to answer to be preferred.
const MAX_PREFERRED_TARGET_FRACTION: f64 = 0.5;

/// Known state of a backend server that may run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Known number of requests that run or wait at the backend server.
    pub load: u32,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Its service time divided by the mean of its service.
    pub relative_service_time: f64,
    /// Time that attempts take beyond their time at that server's daemon, in mean service times. It
    /// shows a slow daemon or a busy link, which the service time does not include.
    pub relative_delay: f64,
    /// Fraction of its recent requests that failed, 0 to 1.
    pub failure_rate: f64,
    /// Whether it is in the same zone as this daemon.
    pub is_in_local_zone: bool,
    /// Whether it may be chosen for this request.
    pub is_available: bool,
}

impl Candidate {
    /// Whether the backend server is in the local zone and has enough capacity and time that the
    /// request need not cross zones.
    ///
    /// `service_share` is the mean service time divided by the time to the target.
    fn is_preferred(&self, service_share: f64) -> bool {
        let utilization = f64::from(self.load + 1) / f64::from(self.slots.max(1));
        let is_reliable = self.failure_rate < MAX_PREFERRED_FAILURE_RATE;
        let is_fast = service_share * (self.relative_service_time + self.relative_delay)
            <= MAX_PREFERRED_TARGET_FRACTION;
        self.is_available
            && self.is_in_local_zone
            && utilization <= MAX_PREFERRED_UTILIZATION
            && is_reliable
            && is_fast
    }

    /// Expected time to an answer in mean service times, weighted by failure rate and zone.
    fn cost(&self) -> f64 {
        let utilization = f64::from(self.load + 1) / f64::from(self.slots.max(1));
        // With free slots there is no queue; the small slope spreads the load between servers.
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

/// Chooses the available candidate with the lowest cost, and returns its position.
///
/// Candidates in the local zone are preferred while one of them has enough capacity and time.
/// `service_share` is the mean service time of the request divided by its time to the target.
/// `random` returns uniformly distributed numbers.
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
