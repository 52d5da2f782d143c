//! Estimate of the time since a caller first sent a request.

use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of request classes that are kept. Route names change with configuration versions,
/// so all classes are dropped when the limit is reached.
const MAX_CLASSES: usize = 1024;
/// Number of requests that must allow a time, or more, before it counts as that of first attempts.
/// A single request that allows more must not make all others look like late retries.
const MIN_SIGHTINGS: usize = 3;

/// The longest times that requests of a class have allowed, in descending order.
type LongestTimes = [Duration; MIN_SIGHTINGS];

/// Estimates the time since the first attempt from the longest time allowed for each request class.
///
/// A caller counts its deadline from its first attempt. The difference between the longest time
/// allowed for a class and the time that a request still allows is therefore the time since its
/// first attempt. The estimate matters when callers retry after a refusal: their answers are late
/// before they queue, and they must not take slots from requests that can still be on time.
#[derive(Clone, Debug, Default)]
pub struct FirstAttemptEstimator {
    longest_by_class: HashMap<u64, LongestTimes>,
}

impl FirstAttemptEstimator {
    /// Records the time that a caller allows and returns the estimated time since its first
    /// attempt.
    pub fn elapsed(&mut self, class: u64, allowed: Duration) -> Duration {
        if self.longest_by_class.len() >= MAX_CLASSES {
            self.longest_by_class.clear();
        }
        let longest = self.longest_by_class.entry(class).or_default();
        if let Some(at) = longest.iter().position(|known| allowed > *known) {
            longest[at..].rotate_right(1);
            longest[at] = allowed;
        }
        longest[MIN_SIGHTINGS - 1].saturating_sub(allowed)
    }
}
