//! The learned concurrency limit.

use std::collections::VecDeque;
use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Latency over the lowest recent latency at which the limit stops growing, for many samples.
const TOLERANCE: f64 = 1.5;
/// The same above the described slots, where a back end that keeps to them only queues.
const TOLERANCE_ABOVE_SLOTS: f64 = 1.1;
/// Added to the tolerance, divided by the square root of the samples of a step: two standard
/// deviations of the smoothed mean of exponentially distributed times.
const NOISE_TOLERANCE: f64 = 1.0;
/// Weight of a step in the smoothed slowdown.
const STEP_WEIGHT: f64 = 0.3;
/// Growth in one step above the described slots, in requests.
const GROWTH_ABOVE_SLOTS: f64 = 0.5;
/// Greatest cut by latency in one step.
const MIN_GRADIENT: f64 = 0.8;
/// Cut in one step in which errors exceed their level.
const ERROR_BACKOFF: f64 = 0.7;
/// Part of failures that cuts the limit.
const MAX_ERROR_RATE: f64 = 0.1;
/// Samples of a step, unless it ends by its length.
const STEP_SAMPLES: u64 = 100;
/// Samples of a rank that make a mean for its baseline. The least of many means of few samples
/// would lie far below the latency of an idle back end, and the limit would fall without a cause.
const BASELINE_SAMPLES: u64 = 500;
/// Longest step.
const MAX_STEP: Duration = Duration::from_secs(1);
/// Age at which a mean latency no longer counts as recent.
const MAX_BASELINE_AGE: Duration = Duration::from_secs(40);
/// Time for which the limit is in full use before a lower limit is probed for the first time.
const FIRST_PROBE_DELAY: Duration = Duration::from_secs(1);
/// The same for later probes. A probe leaves half of the slots unused for some 200 samples.
const PROBE_INTERVAL: Duration = Duration::from_secs(20);
/// Part of the limit that is probed.
const PROBE_FRACTION: f64 = 0.5;
/// Samples of a probe.
const PROBE_SAMPLES: u64 = 200;
/// Samples of a rank in a probe that make its baseline.
const PROBE_RANK_SAMPLES: u64 = 50;
/// Part of the limit whose use counts as full.
const FULL_USE_FRACTION: f64 = 0.9;

/// What finished since the last sample, for one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencySample {
    /// Requests that left their slot.
    pub finished: u64,
    /// Those of them that failed.
    pub failed: u64,
    /// Sum of the times that they held their slots, in microseconds.
    pub latency_sum_us: u64,
}

impl LatencySample {
    fn add(&mut self, other: &LatencySample) {
        self.finished += other.finished;
        self.failed += other.failed;
        self.latency_sum_us += other.latency_sum_us;
    }

    fn mean_us(&self) -> Option<f64> {
        (self.finished > 0).then(|| self.latency_sum_us as f64 / self.finished as f64)
    }
}

/// Lowest of the mean latencies of the last seconds.
#[derive(Clone, Debug, Default)]
struct Baseline {
    /// What finished since the last mean.
    sum: LatencySample,
    /// Means with the end of their step. Invariant: ascending in time and in value.
    means: VecDeque<(Timestamp, f64)>,
}

impl Baseline {
    fn record(&mut self, step: &LatencySample, now: Timestamp) {
        self.sum.add(step);
        let Some(mean) = self.sum.mean_us() else {
            return;
        };
        if self.sum.finished < BASELINE_SAMPLES {
            return;
        }
        self.sum = LatencySample::default();
        while self.means.back().is_some_and(|(_, last)| *last >= mean) {
            self.means.pop_back();
        }
        self.means.push_back((now, mean));
        while self
            .means
            .front()
            .is_some_and(|(at, _)| now.since(*at) > MAX_BASELINE_AGE)
        {
            self.means.pop_front();
        }
    }

    /// Takes the latency at a lower limit as the lowest.
    fn replace(&mut self, probe: &LatencySample, now: Timestamp) {
        let mean = probe.mean_us();
        let Some(mean) = mean.filter(|_| probe.finished >= PROBE_RANK_SAMPLES) else {
            return;
        };
        self.sum = LatencySample::default();
        self.means.clear();
        self.means.push_back((now, mean));
    }

    fn lowest(&self) -> Option<f64> {
        self.means.front().map(|(_, mean)| *mean)
    }
}

/// What the learner is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The limit follows the latency.
    Following { full_since: Option<Timestamp> },
    /// A lower limit is set and requests admitted before still run.
    Settling,
    /// The latency at the lower limit is measured.
    Probing,
}

/// Learns how many requests a back end runs at the same time without slowing down.
///
/// Source of the gradient: Netflix, "Performance Under Load", 2018.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    /// Slots of the back end by its description. Invariant: at least 1.
    slots: u32,
    /// Invariant: 1 to `slots` x 2.
    limit: f64,
    /// Smoothed latency over the lowest recent latency.
    slowdown: f64,
    phase: Phase,
    /// Time in full use after which a lower limit is probed.
    probe_after: Duration,
    step: Vec<LatencySample>,
    step_start: Timestamp,
    baselines: Vec<Baseline>,
}

impl AdaptiveLimit {
    /// Starts at `slots` for back ends whose requests are of `ranks` ranks.
    pub fn new(slots: u32, ranks: usize, now: Timestamp) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: f64::from(slots),
            slowdown: 1.0,
            phase: Phase::Following { full_since: None },
            probe_after: FIRST_PROBE_DELAY,
            step: vec![LatencySample::default(); ranks],
            step_start: now,
            baselines: vec![Baseline::default(); ranks],
        }
    }

    /// Requests that may run at the same time now.
    pub fn limit(&self) -> u32 {
        let part = match self.phase {
            Phase::Following { .. } => 1.0,
            Phase::Settling | Phase::Probing => PROBE_FRACTION,
        };
        ((self.limit * part) as u32).max(1)
    }

    /// Takes in what finished since the last call, one sample a rank, and the requests that run.
    pub fn observe(&mut self, samples: &[LatencySample], in_flight: u32, now: Timestamp) {
        let sums = self.step.iter_mut().zip(samples);
        sums.for_each(|(sum, sample)| sum.add(sample));
        let finished: u64 = self.step.iter().map(|sum| sum.finished).sum();
        let is_full = f64::from(in_flight) >= f64::from(self.limit()) * FULL_USE_FRACTION;
        let wanted = match self.phase {
            Phase::Probing => PROBE_SAMPLES,
            _ => STEP_SAMPLES,
        };
        if finished < wanted && (finished == 0 || now.since(self.step_start) < MAX_STEP) {
            return;
        }
        self.end_step(is_full, now);
        self.step.fill(LatencySample::default());
        self.step_start = now;
    }

    fn end_step(&mut self, is_full: bool, now: Timestamp) {
        if self.phase == Phase::Settling {
            self.phase = Phase::Probing;
            return;
        }
        let is_failing = self.is_failing();
        if self.limit < 2.0 {
            // Requests that run alone do not slow each other down; their latency is the baseline,
            // whatever it was before.
            self.baselines.fill(Baseline::default());
            self.slowdown = 1.0;
        }
        if self.phase == Phase::Probing {
            self.end_probe(is_failing, now);
            return;
        }
        if !is_failing {
            self.record_baselines(now);
        }
        self.limit = match is_failing {
            true => self.limit * ERROR_BACKOFF,
            false => self.limit_by_latency(is_full),
        };
        let most = f64::from(self.slots) * 2.0;
        self.limit = self.limit.clamp(1.0, most);
        self.plan_probe(is_full, now);
    }

    /// The limit after a step without many errors.
    fn limit_by_latency(&mut self, is_full: bool) -> f64 {
        self.slowdown += (self.step_slowdown() - self.slowdown) * STEP_WEIGHT;
        // A limit that is not in use has no part in the latency.
        if !is_full {
            return self.limit;
        }
        let is_above_slots = self.limit >= f64::from(self.slots);
        let finished: u64 = self.step.iter().map(|sum| sum.finished).sum();
        let noise = NOISE_TOLERANCE / (finished as f64).sqrt();
        let tolerance = noise
            + if is_above_slots {
                TOLERANCE_ABOVE_SLOTS
            } else {
                TOLERANCE
            };
        let gradient = (tolerance / self.slowdown).clamp(MIN_GRADIENT, 1.0);
        match (gradient < 1.0, is_above_slots) {
            (true, _) => self.limit * gradient,
            (false, true) => self.limit + GROWTH_ABOVE_SLOTS,
            (false, false) => self.limit + (self.limit.sqrt() / 2.0).max(1.0),
        }
    }

    /// The back end may be slow because of the limit itself. The lowest latency is then only seen
    /// at a lower limit, which is probed if the load never falls by itself.
    fn plan_probe(&mut self, is_full: bool, now: Timestamp) {
        let Phase::Following { full_since } = &mut self.phase else {
            return;
        };
        if !is_full {
            *full_since = None;
            return;
        }
        let since = *full_since.get_or_insert(now);
        if now.since(since) >= self.probe_after && self.limit >= 2.0 {
            self.phase = Phase::Settling;
        }
    }

    fn end_probe(&mut self, is_failing: bool, now: Timestamp) {
        self.phase = Phase::Following { full_since: None };
        self.probe_after = PROBE_INTERVAL;
        if !is_failing {
            let baselines = self.baselines.iter_mut().zip(&self.step);
            baselines.for_each(|(baseline, sum)| baseline.replace(sum, now));
        }
    }

    fn is_failing(&self) -> bool {
        let finished: u64 = self.step.iter().map(|sum| sum.finished).sum();
        let failed: u64 = self.step.iter().map(|sum| sum.failed).sum();
        failed as f64 > finished as f64 * MAX_ERROR_RATE
    }

    fn record_baselines(&mut self, now: Timestamp) {
        for (baseline, sum) in self.baselines.iter_mut().zip(&self.step) {
            baseline.record(sum, now);
        }
    }

    /// Latency over the lowest recent latency of the same ranks.
    fn step_slowdown(&self) -> f64 {
        let (mut observed, mut expected) = (0.0, 0.0);
        for (sum, baseline) in self.step.iter().zip(&self.baselines) {
            let Some(lowest) = baseline.lowest() else {
                continue;
            };
            observed += sum.latency_sum_us as f64;
            expected += sum.finished as f64 * lowest;
        }
        match expected > 0.0 {
            true => observed / expected,
            false => 1.0,
        }
    }
}
