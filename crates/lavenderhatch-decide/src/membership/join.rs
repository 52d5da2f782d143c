//! How a daemon that starts, or that has lost all its peers, finds others.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Upper bound of the wait before the first attempt.
const FIRST_HERD: Duration = Duration::from_millis(500);
/// Upper bound of the wait before any attempt.
const MAX_HERD: Duration = Duration::from_secs(30);
/// Time for contacts to answer before an attempt counts as failed.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// Reads a second of all daemons together if all are isolated. The platform takes about 2,000.
const ISOLATED_READS_PER_SECOND: u64 = 733;
/// Shortest time between two reads of an isolated daemon, before jitter.
const MIN_ISOLATED: Duration = Duration::from_secs(1);
/// Longest time between two reads of an isolated daemon, before jitter.
const MAX_ISOLATED: Duration = Duration::from_secs(30);

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

/// Time between two reads of an isolated daemon that knows `members` members.
///
/// If all daemons are isolated, they make about 733 reads a second at full size, where each reads
/// every 30 s. Fewer members read more often, at the same bound for all of them together.
pub fn isolated_interval(members: usize, random: u64) -> Duration {
    let millis = members as u64 * 1000 / ISOLATED_READS_PER_SECOND;
    jittered(
        Duration::from_millis(millis).clamp(MIN_ISOLATED, MAX_ISOLATED),
        random,
    )
}

/// Between half of `wait` and one and a half times `wait`.
pub fn jittered(wait: Duration, random: u64) -> Duration {
    let millis = wait.as_millis() as u64;
    Duration::from_millis(millis / 2 + random % (millis + 1))
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
    ///
    /// `members` is the number of members known, which bounds the rate of all of them together.
    pub fn is_due(&mut self, now: Timestamp, members: usize, random: u64) -> bool {
        if now < self.due {
            return false;
        }
        self.attempt = self.attempt.saturating_add(1);
        let wait = join_delay(self.attempt, random).max(isolated_interval(members, random));
        self.due = now + ANSWER_TIME + wait;
        true
    }

    /// Notes that the daemon has peers. Attempts after a later loss of all peers begin anew, spread
    /// out because many daemons may lose theirs together.
    pub fn succeed(&mut self, now: Timestamp, members: usize, random: u64) {
        self.attempt = 0;
        self.due = now + isolated_interval(members, random);
    }

    /// Attempts without an answer.
    pub fn failed_attempts(&self) -> u32 {
        self.attempt
    }
}
