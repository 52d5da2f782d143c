//! Which slowdown curve describes a backend server.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::slowdown_curve::{CURVES, SlowdownCurve};

/// Weight of a sample in the state that all requests share. It follows a backend server that slows
/// down as a whole within some twelve requests. With 0.05, a noisy neighbour is more often taken
/// for a slowdown by requests in progress.
const STATE_WEIGHT: f64 = 0.08;
/// Weight of a sample in the mean and the variance of the state, over some 250 requests.
const STATE_VARIANCE_WEIGHT: f64 = 0.004;
/// Factor on the variance of the state in the variance of a deviation. A state that keeps changing
/// also changes the number of requests in progress, so that less is learnt from each of them.
/// Without it, the mean limit beside a noisy neighbour at half load fell to 10.3 of 12 in a replay.
const STATE_VARIANCE_FACTOR: f64 = 5.0;
/// Assumed variance of the logarithm of a service time within its class, before it is known.
const INITIAL_VARIANCE: f64 = 0.3;
/// Weight of a sample in the variance.
const VARIANCE_WEIGHT: f64 = 0.005;
/// Largest squared deviation that counts for the variance.
const MAX_VARIANCE: f64 = 2.5;
/// Squared deviation at which a sample has half of its weight. Service times have long tails.
const TAIL: f64 = 2.0;
/// Logarithmic likelihood by which a curve must be better than the flat one to be as probable.
/// With 1.5, flat backend servers are limited by chance.
const PRIOR: f64 = 3.0;
/// Largest difference of the logarithmic likelihoods, so that a change of the curve is followed.
const MAX_EVIDENCE: f64 = 12.0;
/// Time after which evidence counts half.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// A candidate curve with what holds if it is the right one.
#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    /// Logarithmic slowdown that does not depend on the number of requests.
    state: f64,
    mean_state: f64,
    state_variance: f64,
    /// Logarithmic likelihood, relative to the best candidate.
    evidence: f64,
}

impl Candidate {
    /// Records a deviation from the expected logarithmic time, whose variance is `variance`.
    fn record(&mut self, deviation: f64, variance: f64) {
        let square = deviation * deviation;
        let weight = 1.0 / (1.0 + square / TAIL);
        self.evidence -= square * weight / (2.0 * variance);
        self.state += deviation * weight * STATE_WEIGHT;
        let moved = self.state - self.mean_state;
        self.mean_state += moved * STATE_VARIANCE_WEIGHT;
        self.state_variance += (moved * moved - self.state_variance) * STATE_VARIANCE_WEIGHT;
    }
}

/// Likelihoods of the candidate curves.
///
/// Each candidate follows the shared state by itself and is judged by how well it predicts the next
/// service time. What changes slowly is absorbed by the states, and what changes with the number of
/// requests tells the candidates apart.
#[derive(Clone, Debug)]
pub(super) struct CurveEstimate {
    candidates: [Candidate; CURVES],
    /// Index of the most probable candidate.
    best: usize,
    /// Variance of the logarithm of a service time within its class.
    variance: f64,
    at: Timestamp,
}

impl Default for CurveEstimate {
    fn default() -> Self {
        Self {
            candidates: Default::default(),
            best: 0,
            variance: INITIAL_VARIANCE,
            at: Timestamp::default(),
        }
    }
}

impl CurveEstimate {
    /// Returns the logarithmic factor that the most probable curve expects.
    pub(super) fn expected(&self, share: f64) -> f64 {
        self.candidates[self.best].state + SlowdownCurve::CANDIDATES[self.best].log_slowdown(share)
    }

    /// Records the logarithmic ratio of a service time to the usual one of its class.
    pub(super) fn record(&mut self, share: f64, log_ratio: f64, now: Timestamp) {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let kept = (-half_lives).exp2();
        self.at = now;
        let deviation = log_ratio - self.expected(share);
        let state_variance = self.candidates[self.best].state_variance;
        let variance = self.variance + STATE_VARIANCE_FACTOR * state_variance;
        for (candidate, curve) in self.candidates.iter_mut().zip(&SlowdownCurve::CANDIDATES) {
            candidate.evidence *= kept;
            let deviation = log_ratio - candidate.state - curve.log_slowdown(share);
            candidate.record(deviation, variance);
        }
        self.normalize();
        let square = (deviation * deviation).min(MAX_VARIANCE);
        self.variance += (square - self.variance) * VARIANCE_WEIGHT;
    }

    /// Makes the evidence relative to the best candidate's, and finds the most probable one.
    fn normalize(&mut self) {
        let evidence = self.candidates.iter().map(|candidate| candidate.evidence);
        let most = evidence.fold(f64::MIN, f64::max);
        for candidate in &mut self.candidates {
            candidate.evidence = (candidate.evidence - most).max(-MAX_EVIDENCE);
        }
        self.best = (0..CURVES).fold(0, |best, at| {
            match self.log_weight(at) > self.log_weight(best) {
                true => at,
                false => best,
            }
        });
    }

    /// Returns the probabilities of the curves.
    pub(super) fn probabilities(&self) -> [f64; CURVES] {
        let weights: [f64; CURVES] = std::array::from_fn(|at| self.log_weight(at).exp());
        let sum: f64 = weights.iter().sum();
        weights.map(|weight| weight / sum)
    }

    fn log_weight(&self, at: usize) -> f64 {
        let prior = if at == 0 { 0.0 } else { PRIOR };
        self.candidates[at].evidence - prior
    }
}
