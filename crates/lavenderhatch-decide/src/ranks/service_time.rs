//! Observed service times by rank.

/// Number of samples that have the same weight as the previous estimate.
const HALF_WEIGHT_SAMPLES: f64 = 20.0;
/// Fraction of the distance to the overall mean by which an estimate without samples moves per
/// step.
const DECAY_PER_STEP: f64 = 0.1;

/// Estimate of the time for which a request of each rank holds its slot.
#[derive(Clone, Debug)]
pub(super) struct ServiceTimes {
    /// Estimates by rank in microseconds; zero while there are no samples.
    by_rank: Vec<f64>,
    /// Estimate for all ranks in microseconds; zero while there are no samples.
    overall: f64,
}

impl ServiceTimes {
    pub(super) fn new(ranks: usize) -> Self {
        Self {
            by_rank: vec![0.0; ranks],
            overall: 0.0,
        }
    }

    /// Records the sum of `count` service times. A count of zero lets the estimate decay.
    pub(super) fn record(&mut self, rank: usize, count: u64, sum_us: u64) {
        if count == 0 {
            return self.decay(rank);
        }
        let mean = sum_us as f64 / count as f64;
        let weight = count as f64 / (count as f64 + HALF_WEIGHT_SAMPLES);
        for estimate in [&mut self.by_rank[rank], &mut self.overall] {
            *estimate = match *estimate == 0.0 {
                true => mean,
                false => *estimate + (mean - *estimate) * weight,
            };
        }
    }

    /// Lowers the estimate of a rank without samples towards the overall mean.
    ///
    /// A rank whose requests are all refused gets no samples. Without the decay, one slow period
    /// would keep its requests refused.
    fn decay(&mut self, rank: usize) {
        let estimate = &mut self.by_rank[rank];
        if *estimate > self.overall {
            *estimate += (self.overall - *estimate) * DECAY_PER_STEP;
        }
    }

    /// Returns the estimate for all ranks, in microseconds.
    pub(super) fn overall(&self) -> f64 {
        self.overall
    }

    /// Returns the estimate for one rank, or for all ranks if it has no samples, in microseconds.
    pub(super) fn of(&self, rank: usize) -> f64 {
        match self.by_rank[rank] == 0.0 {
            true => self.overall,
            false => self.by_rank[rank],
        }
    }
}
