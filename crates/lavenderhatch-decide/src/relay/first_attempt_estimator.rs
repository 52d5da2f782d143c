//! Estimate of the time since a caller first sent a request.

use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of request classes that are kept. Route names change with configuration versions,
/// so all classes are dropped when the limit is reached.
const MAX_CLASSES: usize = 1024;
/// Number of requests that must allow the same time before it counts as that of first attempts. A
/// single request that allows more must not make all others look like late retries.
const MIN_SIGHTINGS: u32 = 3;
/// Number of requests within which a longer time must be seen that often.
const SIGHTING_WINDOW: u32 = 16;

/// A longer time that some request has allowed.
#[derive(Clone, Copy, Debug, Default)]
struct LongerTime {
    allowed: Duration,
    /// Requests that allowed this time.
    sightings: u32,
    /// Requests that allowed more than the longest time of the class since the first sighting.
    requests: u32,
}

/// Longest time that requests of a class allow.
#[derive(Clone, Copy, Debug, Default)]
struct LongestTime {
    /// `None` before enough requests have allowed the same time.
    allowed: Option<Duration>,
    longer: LongerTime,
}

impl LongestTime {
    fn record(&mut self, allowed: Duration) {
        if self.allowed.is_some_and(|longest| allowed <= longest) {
            return;
        }
        let is_expired = self.longer.requests >= SIGHTING_WINDOW;
        if is_expired || allowed > self.longer.allowed {
            self.longer = LongerTime {
                allowed,
                ..LongerTime::default()
            };
        }
        self.longer.requests += 1;
        self.longer.sightings += u32::from(allowed == self.longer.allowed);
        if self.longer.sightings >= MIN_SIGHTINGS {
            self.allowed = Some(self.longer.allowed);
        }
    }
}

/// Estimates the time since the first attempt from the longest time allowed for each request class.
///
/// A caller counts its deadline from its first attempt. The difference between the longest time
/// allowed for a class and the time that a request still allows is therefore the time since its
/// first attempt. The estimate matters when callers retry after a refusal: their answers are late
/// before they queue, and they must not take slots from requests that can still be on time.
#[derive(Clone, Debug, Default)]
pub struct FirstAttemptEstimator {
    longest_by_class: HashMap<u64, LongestTime>,
}

impl FirstAttemptEstimator {
    /// Records the time that a caller allows and returns the estimated time since its first
    /// attempt.
    pub fn elapsed(&mut self, class: u64, allowed: Duration) -> Duration {
        if self.longest_by_class.len() >= MAX_CLASSES {
            self.longest_by_class.clear();
        }
        let longest = self.longest_by_class.entry(class).or_default();
        longest.record(allowed);
        let longest = longest.allowed.unwrap_or_default();
        longest.saturating_sub(allowed)
    }
}
