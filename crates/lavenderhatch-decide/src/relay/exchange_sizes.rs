//! Mean sizes of exchanges by request class.

use std::collections::HashMap;

/// Weight of one exchange in the moving mean.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Assumed size of an exchange of an unknown class, in bytes.
const DEFAULT_BYTES: f64 = 4096.0;
/// Maximum number of request classes that are kept. Route names change with configuration versions,
/// so all classes are dropped when the limit is reached.
const MAX_CLASSES: usize = 1024;

/// Moving means of the bytes of a request and its answer, by request class.
#[derive(Clone, Debug, Default)]
pub struct ExchangeSizes {
    by_class: HashMap<u64, f64>,
}

impl ExchangeSizes {
    /// Records the bytes of one request and its answer.
    pub fn record(&mut self, class: u64, bytes: usize) {
        if self.by_class.len() >= MAX_CLASSES {
            self.by_class.clear();
        }
        let bytes = bytes as f64;
        let mean = self.by_class.entry(class).or_insert(bytes);
        *mean += (bytes - *mean) * SAMPLE_WEIGHT;
    }

    /// Returns the mean bytes of a request of a class and its answer.
    pub fn of(&self, class: u64) -> f64 {
        self.by_class.get(&class).copied().unwrap_or(DEFAULT_BYTES)
    }
}
