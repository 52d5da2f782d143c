//! Choice of the backend server for a request.

/// Addition to the cost of a backend server in a remote zone, as a fraction, for an exchange of up
/// to [`DEAR_BYTES`]. Traffic between zones takes time and is paid for by the byte, so a remote
/// backend server must be clearly better. Grows with the bytes, up to twice this.
const REMOTE_ZONE_COST: f64 = 0.35;
/// Bytes of a request and its answer that are dear to send to another zone.
const DEAR_BYTES: f64 = 4096.0;
/// Bytes of a request and its answer below which it may cross zones as it likes if it would be late
/// in its own. The calls that a running request makes are short, and a failed one wastes the run.
const CHEAP_BYTES: f64 = 2048.0;
/// Maximum random addition to the cost, as a fraction of it. It keeps daemons with the same data
/// from all choosing the same backend server.
const JITTER_FRACTION: f64 = 0.15;
/// Exponent of the success rate in the cost: a backend server that fails half of its requests costs
/// eight times as much.
const FAILURE_EXPONENT: i32 = 3;
/// Lower bound of the success rate in the cost.
const MIN_SUCCESS_RATE: f64 = 0.05;

/// Failure rate below which a backend server counts as reliable.
const MAX_RELIABLE_FAILURE_RATE: f64 = 0.1;
/// Fraction of the time to the target within which a backend server must be expected to answer to
/// be in time. The rest covers the variation of service times.
const MAX_TARGET_FRACTION: f64 = 0.75;
/// If no backend server can answer in time, one in the local zone may take this many times as long
/// as the fastest one.
const MAX_LATE_TIME_RATIO: f64 = 2.5;
/// Slot utilization up to which short requests stay in the local zone.
const MAX_CHEAP_UTILIZATION: f64 = 0.75;
/// Delay on the way, in mean service times, above which a backend server in the local zone has no
/// preference for requests that are late anyway. Its daemon or link is in trouble.
const MAX_LATE_DELAY: f64 = 1.0;

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
    /// Slot utilization with one more request. Above one, that request has to wait.
    fn utilization(&self) -> f64 {
        f64::from(self.load + 1) / f64::from(self.slots.max(1))
    }

    fn has_free_slot(&self) -> bool {
        self.load < self.slots
    }

    fn is_reliable(&self) -> bool {
        self.failure_rate < MAX_RELIABLE_FAILURE_RATE
    }

    /// Expected time to an answer, in mean service times.
    fn expected_time(&self) -> f64 {
        let wait = (self.utilization() - 1.0).max(0.0);
        self.relative_service_time * (1.0 + wait) + self.relative_delay
    }

    /// Whether the backend server is expected to answer by the target.
    fn is_in_time(&self, need: &Need) -> bool {
        self.is_reliable() && need.service_share * self.expected_time() <= MAX_TARGET_FRACTION
    }

    /// Whether the backend server is in the local zone and answers in time, with room to spare if
    /// the way to another zone is cheap.
    fn suffices(&self, need: &Need) -> bool {
        let has_room = need.is_dear() || self.utilization() <= MAX_CHEAP_UTILIZATION;
        self.is_in_local_zone && self.is_in_time(need) && has_room
    }

    /// Expected time to an answer in mean service times, weighted by failure rate and zone.
    fn cost(&self, bytes: f64) -> f64 {
        let utilization = self.utilization();
        // With free slots there is no queue; the small slope spreads the load between servers.
        let queue = 0.5 * utilization.min(1.0) + (utilization - 1.0).max(0.0) * 2.0;
        let success = (1.0 - self.failure_rate).max(MIN_SUCCESS_RATE);
        let distance = if self.is_in_local_zone {
            1.0
        } else {
            1.0 + REMOTE_ZONE_COST * (bytes / DEAR_BYTES).clamp(1.0, 2.0)
        };
        let time = self.relative_service_time * (1.0 + queue) + self.relative_delay;
        time * distance / success.powi(FAILURE_EXPONENT)
    }
}

/// What a request needs of the backend server that is chosen for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Mean service time of the request divided by its time to the target.
    pub service_share: f64,
    /// Bytes of the request and its answer that are expected.
    pub bytes: f64,
}

impl Need {
    /// Whether sending the request to another zone costs more than it is likely to gain.
    pub fn is_dear(&self) -> bool {
        self.bytes >= CHEAP_BYTES
    }
}

/// Which candidates a request may be sent to.
#[derive(Clone, Copy, Debug)]
enum Scope {
    /// All that are available.
    Available,
    /// Those in the local zone that suffice.
    Local,
    /// Those that answer in time.
    InTime,
    /// Those in the local zone with a free slot that take no longer than this.
    LocalLate { max_time: f64 },
    /// All but those in a remote zone without a free slot: a request that is late there as well must
    /// not cross zones to be refused.
    Late,
}

impl Scope {
    /// Returns the narrowest scope that has a candidate.
    fn of(candidates: &[Candidate], need: &Need) -> Self {
        let available = || candidates.iter().filter(|candidate| candidate.is_available);
        if available().any(|candidate| candidate.suffices(need)) {
            return Self::Local;
        }
        if !need.is_dear() {
            return Self::Available;
        }
        if available().any(|candidate| candidate.is_in_time(need)) {
            return Self::InTime;
        }
        let free = available().filter(|c| c.has_free_slot() && c.is_reliable());
        let least = free
            .map(Candidate::expected_time)
            .fold(f64::INFINITY, f64::min);
        let local = Self::LocalLate {
            max_time: least * MAX_LATE_TIME_RATIO,
        };
        match available().any(|candidate| local.contains(candidate, need)) {
            true => local,
            false => Self::Late,
        }
    }

    fn contains(self, candidate: &Candidate, need: &Need) -> bool {
        let is_local = candidate.is_in_local_zone;
        candidate.is_available
            && match self {
                Self::Available => true,
                Self::Local => candidate.suffices(need),
                Self::InTime => candidate.is_in_time(need),
                Self::LocalLate { max_time } => {
                    let is_fast = candidate.expected_time() <= max_time
                        && candidate.relative_delay <= MAX_LATE_DELAY;
                    is_local && candidate.has_free_slot() && candidate.is_reliable() && is_fast
                }
                Self::Late => is_local || candidate.has_free_slot(),
            }
    }
}

/// Chooses the available candidate with the lowest cost, and returns its position.
///
/// A request with many bytes crosses zones only if no candidate in the local zone answers in time,
/// or, when no candidate does, if none there has a free slot. `None` if it would only be refused.
/// `random` returns uniformly distributed numbers.
pub fn choose_backend(
    candidates: &[Candidate],
    need: &Need,
    mut random: impl FnMut() -> u64,
) -> Option<usize> {
    let scope = Scope::of(candidates, need);
    let mut best: Option<(usize, f64)> = None;
    for (at, candidate) in candidates.iter().enumerate() {
        if !scope.contains(candidate, need) {
            continue;
        }
        let unit = random() as f64 / u64::MAX as f64;
        let cost = candidate.cost(need.bytes) * (1.0 + JITTER_FRACTION * unit);
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((at, cost));
        }
    }
    best.map(|(at, _)| at)
}
