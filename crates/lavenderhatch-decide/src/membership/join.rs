//! How a daemon that starts, or that has lost all its peers, finds others.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Upper bound of the wait before the first attempt.
const FIRST_HERD: Duration = Duration::from_millis(500);
/// Upper bound of the wait before any attempt.
const MAX_HERD: Duration = Duration::from_secs(30);
/// Time for contacts to answer before an attempt counts as failed.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// Wait before an attempt, uniform in `[0, min(30 s, 0.5 s * 2^attempt)]`.
///
/// `random` is uniform over all values. The wait spreads the attempts of daemons that start
/// together, and its doubling bounds their rate while the platform or the peers are overloaded.
pub fn join_delay(attempt: u32, random: u64) -> Duration {
    let herd = FIRST_HERD
        .saturating_mul(1 << attempt.min(16))
        .min(MAX_HERD);
    let millis = herd.as_millis() as u64;
    Duration::from_millis(random % (millis + 1))
}

/// Attempts to find other members.
#[derive(Clone, Debug)]
pub struct Join {
    attempt: u32,
    due: Timestamp,
}

impl Join {
    /// The first attempt of a daemon that starts.
    pub fn new(now: Timestamp, random: u64) -> Self {
        Self {
            attempt: 0,
            due: now + join_delay(0, random),
        }
    }

    /// Whether an attempt is to be made now. The next one follows later.
    pub fn is_due(&mut self, now: Timestamp, random: u64) -> bool {
        if now < self.due {
            return false;
        }
        self.attempt = self.attempt.saturating_add(1);
        self.due = now + ANSWER_TIME + join_delay(self.attempt, random);
        true
    }

    /// Notes that a member answered. Attempts after a later loss of all peers begin anew.
    pub fn succeed(&mut self) {
        self.attempt = 0;
    }

    /// Attempts without an answer.
    pub fn failed_attempts(&self) -> u32 {
        self.attempt
    }
}
