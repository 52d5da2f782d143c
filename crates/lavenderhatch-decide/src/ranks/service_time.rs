//! Observed service times by rank.

/// Samples that weigh as much as what was known before.
const HALF_WEIGHT_SAMPLES: f64 = 20.0;
/// Part by which an estimate without samples approaches the mean of all ranks at each step.
const DECAY_PER_STEP: f64 = 0.1;

/// Estimate of the time for which a request of each rank holds its slot.
#[derive(Clone, Debug)]
pub(super) struct ServiceTimes {
    /// Microseconds by rank; zero while nothing is known.
    by_rank: Vec<f64>,
    overall: f64,
}

impl ServiceTimes {
    pub(super) fn new(ranks: usize) -> Self {
        Self {
            by_rank: vec![0.0; ranks],
            overall: 0.0,
        }
    }

    /// Takes in the sum of `count` service times.
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

    /// A rank whose requests are all refused gets no samples. Its estimate approaches the mean of
    /// all ranks, so that one slow phase cannot keep it refused.
    fn decay(&mut self, rank: usize) {
        let estimate = &mut self.by_rank[rank];
        if *estimate > self.overall {
            *estimate += (self.overall - *estimate) * DECAY_PER_STEP;
        }
    }

    /// Estimate for requests of all ranks, in microseconds.
    pub(super) fn overall(&self) -> f64 {
        self.overall
    }

    /// Estimate for one rank, in microseconds.
    pub(super) fn of(&self, rank: usize) -> f64 {
        match self.by_rank[rank] == 0.0 {
            true => self.overall,
            false => self.by_rank[rank],
        }
    }
}
