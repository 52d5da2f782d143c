//! Timing of the attempts of a daemon without peers to find other members.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Upper bound of the delay before the first attempt.
const FIRST_DELAY_BOUND: Duration = Duration::from_millis(500);
/// Upper bound of the delay before any attempt.
const MAX_DELAY_BOUND: Duration = Duration::from_secs(30);
/// How long contacts have to answer before an attempt counts as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Target rate of platform reads per second of the whole fleet if all daemons are isolated. The
/// platform allows about 2,000.
const ISOLATED_READS_PER_SECOND: u64 = 733;
/// Shortest interval between two reads of an isolated daemon, before jitter.
const MIN_ISOLATED_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval between two reads of an isolated daemon, before jitter.
const MAX_ISOLATED_INTERVAL: Duration = Duration::from_secs(30);

/// Delay before an attempt, uniform in `[0, min(30 s, 0.5 s * 2^attempt)]`.
///
/// `random` is uniform over all `u64` values. The jitter spreads the attempts of daemons that start
/// at the same time, and the exponential backoff limits their rate while the platform or the peers
/// are overloaded.
pub fn join_delay(attempt: u32, random: u64) -> Duration {
    let bound = FIRST_DELAY_BOUND
        .saturating_mul(1 << attempt.min(16))
        .min(MAX_DELAY_BOUND);
    let millis = bound.as_millis() as u64;
    Duration::from_millis(random % (millis + 1))
}

/// Interval between two platform reads of an isolated daemon that knows `members` members.
///
/// If all daemons of a full-size fleet of 22,000 are isolated, each reads every 30 s, which makes
/// about 733 reads a second. The daemons of a smaller fleet read more often, up to the same total
/// rate.
pub fn isolated_interval(members: usize, random: u64) -> Duration {
    let millis = members as u64 * 1000 / ISOLATED_READS_PER_SECOND;
    jittered(
        Duration::from_millis(millis).clamp(MIN_ISOLATED_INTERVAL, MAX_ISOLATED_INTERVAL),
        random,
    )
}

/// A random duration between half of `wait` and one and a half times `wait`.
pub fn jittered(wait: Duration, random: u64) -> Duration {
    let millis = wait.as_millis() as u64;
    Duration::from_millis(millis / 2 + random % (millis + 1))
}

/// Schedule of the attempts to find other members.
#[derive(Clone, Debug)]
pub struct JoinSchedule {
    attempt: u32,
    due: Timestamp,
}

impl JoinSchedule {
    /// Schedules the first attempt of a starting daemon.
    pub fn new(now: Timestamp, random: u64) -> Self {
        Self {
            attempt: 0,
            due: now + join_delay(0, random),
        }
    }

    /// Whether an attempt is due. If so, schedules the next one.
    ///
    /// `members` is the number of known members, from which the interval is computed that keeps the
    /// total rate of all daemons bounded.
    pub fn start_if_due(&mut self, now: Timestamp, members: usize, random: u64) -> bool {
        if now < self.due {
            return false;
        }
        self.attempt = self.attempt.saturating_add(1);
        let wait = join_delay(self.attempt, random).max(isolated_interval(members, random));
        self.due = now + ANSWER_TIMEOUT + wait;
        true
    }

    /// Resets the schedule while the daemon has peers. After a later loss of all peers the first
    /// attempt is spread out, because many daemons may lose their peers at the same time.
    pub fn reset(&mut self, now: Timestamp, members: usize, random: u64) {
        self.attempt = 0;
        self.due = now + isolated_interval(members, random);
    }

    /// Number of attempts since the daemon last had peers.
    pub fn failed_attempts(&self) -> u32 {
        self.attempt
    }
}
