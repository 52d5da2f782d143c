//! Choice of the backend server for a request.

/// Cost of a backend server in another zone, relative to one in the own zone. Answers that cross
/// zones are paid for by the byte, so a far backend server must be clearly better.
const FAR_FACTOR: f64 = 1.35;
/// Part of the cost that is random, so that daemons with the same knowledge do not all choose the
/// same backend server.
const JITTER: f64 = 0.15;
/// Exponent of the share of successes in the cost: a backend server that fails half of its requests
/// costs eight times as much.
const FAILURE_EXPONENT: i32 = 3;
/// Least share of successes that is distinguished.
const MIN_SUCCESS: f64 = 0.05;

/// What is known of a backend server that may take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests that run or wait there, as far as is known.
    pub load: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Its service time over the mean of its service.
    pub slowness: f64,
    /// Share of the requests that it has failed lately, 0 to 1.
    pub failures: f64,
    /// Whether it is in the zone of this daemon.
    pub is_near: bool,
    /// Whether it may be chosen.
    pub is_open: bool,
}

impl Candidate {
    /// Expected time to an answer, in mean service times, weighed by failures and distance.
    fn cost(&self) -> f64 {
        let used = f64::from(self.load + 1) / f64::from(self.slots.max(1));
        // Below its slots, a backend server answers without a queue; a small slope spreads the load.
        let queue = 0.5 * used.min(1.0) + (used - 1.0).max(0.0) * 2.0;
        let success = (1.0 - self.failures).max(MIN_SUCCESS);
        let distance = if self.is_near { 1.0 } else { FAR_FACTOR };
        self.slowness * (1.0 + queue) * distance / success.powi(FAILURE_EXPONENT)
    }
}

/// The open candidate of the least cost. `random` gives uniformly distributed numbers.
pub fn place(candidates: &[Candidate], mut random: impl FnMut() -> u64) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (at, candidate) in candidates.iter().enumerate() {
        if !candidate.is_open {
            continue;
        }
        let unit = random() as f64 / u64::MAX as f64;
        let cost = candidate.cost() * (1.0 + JITTER * unit);
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((at, cost));
        }
    }
    best.map(|(at, _)| at)
}
