//! How many requests a backend server takes well at the same time.
//!
//! Load: backend servers that slow down long before all their slots are in use. Above that point
//! more requests in progress make each of them slower and complete no more of them, so they wait
//! better in the queue, which serves urgent ones first and refuses in time.

use std::collections::HashMap;
use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::curve_estimate::CurveEstimate;
use super::slowdown_curve::SlowdownCurve;

/// Requests of a class after which its usual time is known well enough to compare others with it.
const MIN_CLASS_SAMPLES: u32 = 8;
/// Weight of a sample in the usual time of its class.
const CLASS_WEIGHT: f64 = 0.02;
/// Largest logarithmic deviation of one sample that counts. Service times have long tails.
const MAX_DEVIATION: f64 = 1.5;
/// Largest number of classes that are kept. Route names change with configuration versions.
const MAX_CLASSES: usize = 256;
/// Fraction of the best throughput that the limit may give up for shorter times.
const THROUGHPUT_TOLERANCE: f64 = 0.03;
/// Part of the slots below which the limit does not fall, so that the curve is still measured.
const MIN_SHARE: f64 = 1.0 / 3.0;
/// Time between two computations of the limit, which cost more than a sample.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the limit may rise by one.
const RISE_INTERVAL: Duration = Duration::from_millis(500);
/// Service time up to which probes have the durations below. They last longer in proportion for
/// longer service times, because requests in progress must end before a lower limit has an effect.
const PROBED_SERVICE_MS: f64 = 200.0;
/// Largest factor on the durations of probes.
const MAX_PROBE_FACTOR: f64 = 5.0;
/// Weight of a sample in the mean logarithmic service time.
const LOG_MS_WEIGHT: f64 = 0.01;
/// Time for which a probe changes the limit.
const PROBE_TIME: Duration = Duration::from_millis(400);
/// Time between two probes of all slots. Below a limit, nothing else shows that the backend server
/// has recovered.
const FULL_PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// Time before the first probe of [`FEW_SHARE`]. It doubles while there is probably no slowdown,
/// because such a probe costs throughput.
const MIN_FEW_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Probability of a flat curve from which on probes become rarer.
const CERTAINTY: f64 = 0.7;
/// Longest time between two probes of [`FEW_SHARE`]. They cost 0.3% of the throughput then.
const MAX_FEW_PROBE_INTERVAL: Duration = Duration::from_secs(64);
/// Part of the slots that are used during a probe while all are in use all the time.
const FEW_SHARE: f64 = 0.5;
/// Mean share of the slots in use from which on service times tell nothing about fewer requests.
const FULL_SHARE: f64 = 0.95;
/// Weight of a sample in the mean share of the slots in use.
const SHARE_WEIGHT: f64 = 0.01;
/// Largest number of limits that are compared.
const MAX_STEPS: u32 = 32;

/// Usual logarithmic time of a request class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassTime {
    log_ms: f64,
    samples: u32,
}

/// A short change of the limit that shows how the service times depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    /// All slots may be used, while the learnt limit is lower.
    Full,
    /// Only [`FEW_SHARE`] of the slots may be used, while the learnt limit is all of them.
    Few,
}

/// The number of requests that a backend server takes well, learnt from its service times.
///
/// The logarithm of a service time is taken as the sum of the usual time of its class, a state that
/// all requests share, and the slowdown at the number of requests in progress. The class absorbs a
/// heavier mix; the state absorbs a cold start, a slow called service or a slow machine, since it
/// follows fast and holds for any number of requests in progress. What is left grows with the number of
/// requests only if they slow each other down. The limit is the smallest number that reaches
/// nearly the best throughput, as the mean over the curves by their probabilities.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    estimate: CurveEstimate,
    classes: HashMap<u64, ClassTime>,
    /// The learnt limit. Invariant: at most the number of slots.
    learnt: u32,
    updated_at: Timestamp,
    rose_at: Timestamp,
    /// Mean share of the slots that are in use when a request starts.
    mean_share: f64,
    mean_log_ms: f64,
    probe: Option<Probe>,
    /// Start of the last probe, or time at which the limit fell below the slots.
    probed_at: Timestamp,
    few_probe_interval: Duration,
}

impl ConcurrencyLimit {
    /// Creates the limit of a backend server with this number of slots, which is not limited yet.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            estimate: CurveEstimate::default(),
            classes: HashMap::new(),
            learnt: slots,
            updated_at: Timestamp::default(),
            rose_at: Timestamp::default(),
            mean_share: 0.0,
            mean_log_ms: 0.0,
            probe: None,
            probed_at: Timestamp::default(),
            few_probe_interval: MIN_FEW_PROBE_INTERVAL,
        }
    }

    /// Returns the number of slots that the backend server has.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of requests that may be in progress.
    pub fn limit(&self) -> u32 {
        match self.probe {
            Some(Probe::Full) => self.slots,
            Some(Probe::Few) => self.learnt.min(self.share_of_slots(FEW_SHARE)),
            None => self.learnt,
        }
    }

    /// Returns the number of requests that other daemons may count on: probes of all slots use
    /// requests that wait already and attract no others.
    pub fn advertised(&self) -> u32 {
        self.limit().min(self.learnt)
    }

    /// Returns whether requests slow each other down below the number of slots.
    pub fn is_below_slots(&self) -> bool {
        self.learnt < self.slots
    }

    /// Records a completed request and returns the new limit. `in_progress` counts the requests in
    /// progress when it started, itself included.
    ///
    /// Failed requests must not be recorded: they are often quick.
    pub fn record(&mut self, class: u64, in_progress: u32, took: Duration, now: Timestamp) -> u32 {
        let log_ms = (took.as_secs_f64() * 1000.0).max(1.0).ln();
        let share = f64::from(in_progress) / f64::from(self.slots.max(1));
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&class) {
            self.classes.clear();
        }
        let usual = self.classes.entry(class).or_default();
        usual.samples = usual.samples.saturating_add(1);
        let deviation = log_ms - self.estimate.expected(share) - usual.log_ms;
        if usual.samples <= MIN_CLASS_SAMPLES {
            usual.log_ms += deviation / f64::from(usual.samples);
            return self.limit();
        }
        usual.log_ms += deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION) * CLASS_WEIGHT;
        self.mean_share += (share - self.mean_share) * SHARE_WEIGHT;
        self.mean_log_ms += (log_ms - self.mean_log_ms) * LOG_MS_WEIGHT;
        self.estimate.record(share, log_ms - usual.log_ms, now);
        if now.since(self.updated_at) >= UPDATE_INTERVAL {
            self.updated_at = now;
            self.update(now);
        }
        self.limit()
    }

    /// Moves the limit towards the best one, down at once and up by one at a time, and starts and
    /// ends probes.
    fn update(&mut self, now: Timestamp) {
        let best = self.best();
        if best <= self.learnt {
            if best < self.slots && self.learnt == self.slots {
                self.probed_at = now;
            }
            self.learnt = best;
            self.rose_at = now;
        } else if now.since(self.rose_at) >= RISE_INTERVAL {
            self.learnt += 1;
            self.rose_at = now;
        }
        self.update_probe(now);
    }

    fn update_probe(&mut self, now: Timestamp) {
        if self.probe.is_some() {
            self.end_probe(now);
            return;
        }
        let since_probe = now.since(self.probed_at).div_f64(self.probe_factor());
        if self.learnt < self.slots {
            self.few_probe_interval = MIN_FEW_PROBE_INTERVAL;
            if since_probe >= FULL_PROBE_INTERVAL {
                self.probe = Some(Probe::Full);
                self.probed_at = now;
            }
        } else if self.mean_share < FULL_SHARE {
            self.probed_at = now;
        } else if since_probe >= self.few_probe_interval {
            self.probe = Some(Probe::Few);
            self.probed_at = now;
            self.few_probe_interval = match self.estimate.probabilities()[0] > CERTAINTY {
                true => (self.few_probe_interval * 2).min(MAX_FEW_PROBE_INTERVAL),
                false => MIN_FEW_PROBE_INTERVAL,
            };
        }
    }

    /// Ends a probe whose time has passed, and returns the limit. A backend server that answers
    /// nothing would otherwise keep the limit of a probe.
    pub fn end_probe(&mut self, now: Timestamp) -> u32 {
        if self.probe.is_some() {
            let time = PROBE_TIME.mul_f64(self.probe_factor());
            let is_over = now.since(self.probed_at) >= time;
            self.probe = self.probe.filter(|_| !is_over);
        }
        self.limit()
    }

    fn probe_factor(&self) -> f64 {
        (self.mean_log_ms.exp() / PROBED_SERVICE_MS).clamp(1.0, MAX_PROBE_FACTOR)
    }

    fn share_of_slots(&self, share: f64) -> u32 {
        ((f64::from(self.slots) * share).ceil() as u32).max(1)
    }

    /// Returns the smallest number of requests with nearly the best throughput.
    fn best(&self) -> u32 {
        let least = self.share_of_slots(MIN_SHARE);
        let step = self.slots.div_ceil(MAX_STEPS).max(1);
        let probabilities = self.estimate.probabilities();
        let throughput = |limit: u32| {
            let share = f64::from(limit) / f64::from(self.slots);
            let curves = SlowdownCurve::CANDIDATES.iter().zip(&probabilities);
            let speeds = curves.map(|(curve, p)| p * (-curve.log_slowdown(share)).exp());
            share * speeds.sum::<f64>()
        };
        let limits = || {
            (least..self.slots)
                .step_by(step as usize)
                .chain([self.slots])
        };
        let most = limits().map(throughput).fold(0.0, f64::max);
        let enough = most * (1.0 - THROUGHPUT_TOLERANCE);
        limits()
            .find(|limit| throughput(*limit) >= enough)
            .unwrap_or(self.slots)
    }
}
