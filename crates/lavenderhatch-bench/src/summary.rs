//! Percentiles of a histogram.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Percentiles of measured times, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of measured times.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl Summary {
    /// Summarizes a histogram of times in microseconds.
    pub fn from_histogram(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}
