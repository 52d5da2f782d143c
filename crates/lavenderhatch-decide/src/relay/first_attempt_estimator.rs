//! How long ago a caller first sent a request.

use std::collections::HashMap;
use std::time::Duration;

/// Kinds that are kept. Names of routes change with versions, so old ones are forgotten.
const MAX_CLASSES: usize = 1024;

/// The longest time that callers have allowed, by kind of request.
///
/// A caller counts its deadline from its first attempt, so what it allows less than the longest time
/// of its kind has passed since then. Load that it answers: callers that come back after a refusal,
/// whose answers are late before they wait and must not take the slots of those that are not.
#[derive(Clone, Debug, Default)]
pub struct FirstAttemptEstimator {
    longest_by_class: HashMap<u64, Duration>,
}

impl FirstAttemptEstimator {
    /// Takes in the time that a caller allows, and gives the time since its first attempt.
    pub fn elapsed(&mut self, class: u64, allowed: Duration) -> Duration {
        if self.longest_by_class.len() >= MAX_CLASSES {
            self.longest_by_class.clear();
        }
        let longest = self.longest_by_class.entry(class).or_insert(allowed);
        *longest = allowed.max(*longest);
        longest.saturating_sub(allowed)
    }
}
