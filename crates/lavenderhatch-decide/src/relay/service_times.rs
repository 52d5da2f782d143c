//! Service times by kind of request.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of one sample in the moving mean.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Kinds that are kept. Names of routes change with versions, so old ones are forgotten.
const MAX_CLASSES: usize = 1024;

/// Moving means of service times, by kind of request.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    /// Milliseconds.
    by_class: HashMap<u64, f64>,
    /// Mean over all kinds in milliseconds, zero before the first sample.
    overall: f64,
}

impl ServiceTimes {
    /// Takes in one service time.
    pub fn record(&mut self, class: u64, took: Duration) {
        let ms = took.as_secs_f64() * 1000.0;
        if self.by_class.len() >= MAX_CLASSES {
            self.by_class.clear();
        }
        let mean = self.by_class.entry(class).or_insert(ms);
        *mean += (ms - *mean) * SAMPLE_WEIGHT;
        match self.overall > 0.0 {
            true => self.overall += (ms - self.overall) * SAMPLE_WEIGHT,
            false => self.overall = ms,
        }
    }

    /// Mean service time of a kind; that of all kinds if it is not known.
    pub fn of(&self, class: u64) -> Duration {
        let ms = self.by_class.get(&class).copied().unwrap_or(self.overall);
        Duration::from_micros((ms * 1000.0) as u64)
    }

    /// Mean service time over all kinds, zero before the first sample.
    pub fn overall(&self) -> Duration {
        Duration::from_micros((self.overall * 1000.0) as u64)
    }
}
