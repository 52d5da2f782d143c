//! Detection of backend servers that perform worse than the others of their service.

use super::call_stats::CallStats;

/// Minimum number of calls to evaluate a backend server.
pub(super) const MIN_CALLS: u64 = 10;
/// Minimum excess of an outlier's failure rate over the median of the others.
const FAILURE_RATE_EXCESS: f64 = 0.3;
/// Minimum ratio of an outlier's mean latency to the median of the others.
const LATENCY_FACTOR: f64 = 3.0;
/// Minimum mean latency of an outlier, in microseconds.
const MIN_OUTLIER_LATENCY_US: f64 = 20_000.0;

/// Returns the positions of the outliers among the backend servers of one service, worst first.
///
/// Backend servers with fewer than 10 calls are not evaluated.
pub fn find_outliers(observed: &[CallStats]) -> Vec<usize> {
    let has_enough_calls = |at: &usize| observed[*at].calls >= MIN_CALLS;
    let mut outliers: Vec<(usize, f64)> = (0..observed.len())
        .filter(has_enough_calls)
        .filter_map(|at| Some((at, outlier_score(observed, at)?)))
        .collect();
    outliers.sort_by(|a, b| b.1.total_cmp(&a.1));
    outliers.into_iter().map(|(at, _)| at).collect()
}

/// Returns how much worse a backend server performs than the others, or `None` if it is no outlier.
///
/// An excess of failures scores higher than any latency.
fn outlier_score(observed: &[CallStats], at: usize) -> Option<f64> {
    let own = observed[at];
    let others = || {
        let others = observed.iter().enumerate().filter(move |(n, _)| *n != at);
        others
            .map(|(_, other)| *other)
            .filter(|other| other.calls >= MIN_CALLS)
    };
    let failure_rate_excess = own.failure_rate() - median(others().map(CallStats::failure_rate))?;
    if failure_rate_excess >= FAILURE_RATE_EXCESS {
        return Some(f64::from(u32::MAX) * (1.0 + failure_rate_excess));
    }
    let ratio = own.mean_latency_us() / median(others().map(CallStats::mean_latency_us))?.max(1.0);
    let is_slow = ratio >= LATENCY_FACTOR && own.mean_latency_us() >= MIN_OUTLIER_LATENCY_US;
    is_slow.then_some(ratio)
}

/// Returns the lower median, or `None` if there are no values.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    let at = sorted.len().checked_sub(1)? / 2;
    sorted.get(at).copied()
}
