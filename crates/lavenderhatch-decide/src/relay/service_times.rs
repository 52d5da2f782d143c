//! Service times by kind of request.

use std::collections::HashMap;
use std::time::Duration;

/// Least weight of one sample in the moving mean. The first samples weigh alike.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Kinds that are kept. Names of routes change with versions, so old ones are forgotten.
const MAX_CLASSES: usize = 1024;

/// A moving mean in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct MovingMean {
    ms: f64,
    samples: u32,
}

impl MovingMean {
    fn record(&mut self, ms: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_SAMPLE_WEIGHT);
        self.ms += (ms - self.ms) * weight;
    }

    fn get(self) -> Duration {
        Duration::from_micros((self.ms * 1000.0) as u64)
    }
}

/// Moving means of service times, by kind of request.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    by_class: HashMap<u64, MovingMean>,
    overall: MovingMean,
}

impl ServiceTimes {
    /// Takes in one service time.
    pub fn record(&mut self, class: u64, took: Duration) {
        let ms = took.as_secs_f64() * 1000.0;
        if self.by_class.len() >= MAX_CLASSES {
            self.by_class.clear();
        }
        self.by_class.entry(class).or_default().record(ms);
        self.overall.record(ms);
    }

    /// MovingMean service time of a kind; that of all kinds if it is not known.
    pub fn of(&self, class: u64) -> Duration {
        self.by_class.get(&class).unwrap_or(&self.overall).get()
    }

    /// MovingMean service time over all kinds, zero before the first sample.
    pub fn overall(&self) -> Duration {
        self.overall.get()
    }
}
