//! Requests, failures and times of one route.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of buckets of times. The last one holds all times above 2.9 s.
const BUCKETS: usize = 24;
/// Buckets for each doubling of the time. The first bucket ends at one millisecond.
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// Requests, failures and times of one route at backend servers of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Requests that have ended.
    pub requests: u64,
    /// Requests that have failed.
    pub failures: u64,
    /// Requests by time. The time of a failed one does not count, because failures are often quick.
    pub times: [u64; BUCKETS],
}

impl RouteCounts {
    /// Records a request and, if it is known and counts, its time.
    pub fn record(&mut self, is_failure: bool, took: Option<Duration>) {
        self.requests += 1;
        self.failures += u64::from(is_failure);
        let Some(took) = took.filter(|_| !is_failure) else {
            return;
        };
        let doublings = (took.as_secs_f64() * 1000.0).max(0.5).log2();
        let bucket = (doublings * BUCKETS_PER_DOUBLING).ceil().max(0.0) as usize;
        self.times[bucket.min(BUCKETS - 1)] += 1;
    }

    /// Returns the number of requests with a time.
    pub(super) fn timed(&self) -> u64 {
        self.times.iter().sum()
    }

    /// Returns the number of requests in the buckets above one.
    pub(super) fn slower_than(&self, bucket: usize) -> u64 {
        self.times.iter().skip(bucket + 1).sum()
    }

    /// Returns the first bucket with which a part of the requests is covered.
    pub(super) fn quantile(&self, part: f64) -> usize {
        let wanted = part * self.timed() as f64;
        let mut covered = 0;
        let is_reached = |count: &u64| {
            covered += count;
            covered as f64 >= wanted
        };
        self.times.iter().position(is_reached).unwrap_or(BUCKETS)
    }

    fn combine(self, other: Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            requests: combine(self.requests, other.requests),
            failures: combine(self.failures, other.failures),
            times: std::array::from_fn(|at| combine(self.times[at], other.times[at])),
        }
    }
}

impl Add for RouteCounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        self.combine(other, |a, b| a.saturating_add(b))
    }
}

impl Sub for RouteCounts {
    type Output = Self;

    /// The requests since `earlier`, a smaller count of the same daemon.
    fn sub(self, earlier: Self) -> Self {
        self.combine(earlier, u64::saturating_sub)
    }
}
