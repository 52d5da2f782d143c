//! Mean service times by request class.

use std::collections::HashMap;
use std::time::Duration;

/// Minimum weight of a sample in the moving mean. The first samples have equal weights.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Maximum number of request classes that are kept. Route names change with configuration versions,
/// so all classes are dropped when the limit is reached.
const MAX_CLASSES: usize = 1024;

/// Exponentially weighted moving mean, in milliseconds.
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

/// Moving means of service times, by request class and overall.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    by_class: HashMap<u64, MovingMean>,
    overall: MovingMean,
}

impl ServiceTimes {
    /// Records one service time.
    pub fn record(&mut self, class: u64, took: Duration) {
        let ms = took.as_secs_f64() * 1000.0;
        if self.by_class.len() >= MAX_CLASSES {
            self.by_class.clear();
        }
        self.by_class.entry(class).or_default().record(ms);
        self.overall.record(ms);
    }

    /// Returns the mean service time of a class, or of all classes if the class is not known.
    pub fn of(&self, class: u64) -> Duration {
        self.by_class.get(&class).unwrap_or(&self.overall).get()
    }

    /// Returns the mean service time of all classes, or zero before the first sample.
    pub fn overall(&self) -> Duration {
        self.overall.get()
    }
}
