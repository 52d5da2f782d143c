//! Adaptive concurrency limit.

use std::collections::VecDeque;
use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Ratio of the latency to the lowest recent latency above which the limit is reduced, for a large
/// number of samples.
const TOLERANCE: f64 = 1.5;
/// Tolerance while the limit is above the configured slots. It is lower because a back end that
/// runs no more than the configured number only queues the additional requests.
const TOLERANCE_ABOVE_SLOTS: f64 = 1.1;
/// Addition to the tolerance for noise, divided by the square root of the number of samples of a
/// step: two standard deviations of the smoothed mean of exponentially distributed times.
const NOISE_TOLERANCE: f64 = 1.0;
/// Weight of a step in the smoothed slowdown.
const STEP_WEIGHT: f64 = 0.3;
/// Growth of the limit in one step above the configured slots, in requests.
const GROWTH_ABOVE_SLOTS: f64 = 0.5;
/// Minimum factor by which latency reduces the limit in one step.
const MIN_GRADIENT: f64 = 0.8;
/// Factor by which the limit is reduced in a step with too many errors.
const ERROR_BACKOFF: f64 = 0.7;
/// Error rate above which the limit is reduced.
const MAX_ERROR_RATE: f64 = 0.1;
/// Number of samples that end a step, unless [`MAX_STEP`] ends it first.
const STEP_SAMPLES: u64 = 100;
/// Number of samples of a rank for one mean of its baseline. The minimum of many means of few
/// samples would lie far below the latency of an idle back end, and the limit would fall without a
/// cause.
const BASELINE_SAMPLES: u64 = 500;
/// Maximum length of a step.
const MAX_STEP: Duration = Duration::from_secs(1);
/// Age above which a mean latency no longer counts as recent.
const MAX_BASELINE_AGE: Duration = Duration::from_secs(40);
/// Time for which the limit must be in full use before the first probe of a lower limit.
const FIRST_PROBE_DELAY: Duration = Duration::from_secs(1);
/// Time for which the limit must be in full use before a later probe. A probe leaves half of the
/// slots unused for some 200 samples.
const PROBE_INTERVAL: Duration = Duration::from_secs(20);
/// Fraction of the limit that is in force during a probe.
const PROBE_FRACTION: f64 = 0.5;
/// Number of samples in a probe.
const PROBE_SAMPLES: u64 = 200;
/// Minimum number of samples of a rank in a probe to replace the baseline of the rank.
const PROBE_RANK_SAMPLES: u64 = 50;
/// Fraction of the limit from which on it counts as fully used.
const FULL_USE_FRACTION: f64 = 0.9;

/// Requests of one rank that finished since the previous sample.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencySample {
    /// Number of requests that released their slot.
    pub finished: u64,
    /// Number of the finished requests that failed.
    pub failed: u64,
    /// Total time for which the finished requests held their slots, in microseconds.
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

/// Minimum of the recent mean latencies of one rank.
#[derive(Clone, Debug, Default)]
struct Baseline {
    /// Requests that finished since the last mean.
    sum: LatencySample,
    /// Recent means, each with the end of its step. Invariant: ascending in time and in value.
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

    /// Replaces the baseline by the latency measured in a probe of a lower limit.
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

/// Phase of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The limit is adjusted to the latency.
    Following { full_since: Option<Timestamp> },
    /// A lower limit is in force, but requests admitted before it still run.
    Settling,
    /// The latency at the lower limit is measured.
    Probing,
}

/// Concurrency limit that adapts to the number of requests that a back end runs at the same time
/// without slowing down.
///
/// Source of the gradient: Netflix, "Performance Under Load", 2018.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    /// Configured slots of the back end. Invariant: at least 1.
    slots: u32,
    /// Invariant: 1 to `slots` x 2.
    limit: f64,
    /// Smoothed ratio of the latency to the lowest recent latency.
    slowdown: f64,
    phase: Phase,
    /// Time in full use after which a lower limit is probed.
    probe_after: Duration,
    step: Vec<LatencySample>,
    step_start: Timestamp,
    baselines: Vec<Baseline>,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `slots`, for requests of `ranks` ranks.
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

    /// Returns the number of requests that may currently run at the same time.
    pub fn limit(&self) -> u32 {
        let part = match self.phase {
            Phase::Following { .. } => 1.0,
            Phase::Settling | Phase::Probing => PROBE_FRACTION,
        };
        ((self.limit * part) as u32).max(1)
    }

    /// Updates the limit with the requests that finished since the last call, as one sample per
    /// rank, and the number of requests in flight.
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
            // Requests that run alone cannot slow each other down, so their latency is the new
            // baseline.
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

    /// Returns the limit after a step with an acceptable error rate.
    fn limit_by_latency(&mut self, is_full: bool) -> f64 {
        self.slowdown += (self.step_slowdown() - self.slowdown) * STEP_WEIGHT;
        // A limit that is not fully used does not affect the latency.
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

    /// Starts a probe of a lower limit after a long time in full use.
    ///
    /// The back end may be slow because the limit itself is too high. Its lowest latency can then
    /// only be measured at a lower limit, which is probed if the load does not fall by itself.
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

    /// Returns the ratio of the latency in this step to the lowest recent latency of the same
    /// ranks.
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
