//! What a daemon knows of a coordinator.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::message::QuotaResponse;

/// Time between two messages without need. The lease and the tokens of a message outlast it.
pub(super) const INTERVAL: Duration = Duration::from_millis(450);
/// Shortest time between two messages. Requests that arrive within it share a message.
const MIN_GAP: Duration = Duration::from_millis(20);
/// Longest time for which the clock of the coordinator is extrapolated. Clocks drift by up to
/// 100 ppm, which is 1 ms in this time.
const MAX_ECHO_AGE: Duration = Duration::from_secs(10);
/// Time until the next message after a failure; doubled with each further one.
const FIRST_RETRY: Duration = Duration::from_millis(250);
/// Largest number of doublings of [`FIRST_RETRY`].
const MAX_DOUBLINGS: u32 = 3;
/// Largest number of messages that await an answer.
const MAX_IN_FLIGHT: u32 = 4;

/// The time of a coordinator, as last heard.
#[derive(Clone, Copy, Debug)]
struct Echo {
    epoch: u32,
    time: Timestamp,
    heard_at: Timestamp,
}

/// The exchange of messages with a coordinator.
#[derive(Clone, Debug, Default)]
pub(super) struct Link {
    echo: Option<Echo>,
    last_sent: Option<Timestamp>,
    /// Time of a message that cannot wait for the next interval.
    urgent_at: Option<Timestamp>,
    in_flight: u32,
    /// Failures since the last answer.
    failures: u32,
    /// Time of the next message after a failure.
    retry_at: Timestamp,
}

impl Link {
    /// Whether the coordinator answers and its time is known.
    pub(super) fn is_usable(&self, now: Timestamp) -> bool {
        let is_fresh = |echo: Echo| now.since(echo.heard_at) < MAX_ECHO_AGE;
        self.failures == 0 && self.echo.is_some_and(is_fresh)
    }

    /// Whether the first answer of the coordinator is still awaited.
    pub(super) fn is_pending(&self) -> bool {
        self.failures == 0 && self.echo.is_none()
    }

    /// Returns the process of the coordinator, and a lower bound of its time.
    pub(super) fn coordinator_time(&self, now: Timestamp) -> Option<(u32, Timestamp)> {
        let echo = self.echo.filter(|_| self.is_usable(now))?;
        Some((echo.epoch, echo.time + now.since(echo.heard_at)))
    }

    /// Asks for a message at `at`, or as soon after as the gap allows.
    pub(super) fn hurry(&mut self, at: Timestamp) {
        let at = self.urgent_at.map_or(at, |urgent_at| urgent_at.min(at));
        self.urgent_at = Some(at);
    }

    /// Returns the time of the next message, or `None` if an answer must arrive first.
    pub(super) fn next_send(&self, now: Timestamp) -> Option<Timestamp> {
        if self.failures > 0 {
            return (self.in_flight == 0).then_some(self.retry_at);
        }
        if !self.is_usable(now) {
            return (self.in_flight == 0).then_some(now);
        }
        if self.in_flight >= MAX_IN_FLIGHT {
            return None;
        }
        let last_sent = self.last_sent.unwrap_or_default();
        let regular = last_sent + INTERVAL;
        let urgent = self.urgent_at.map(|at| at.max(last_sent + MIN_GAP));
        Some(urgent.map_or(regular, |urgent| urgent.min(regular)))
    }

    /// Whether the next message is due only because of the interval.
    pub(super) fn is_regular(&self, now: Timestamp) -> bool {
        self.last_sent
            .is_none_or(|last_sent| now.since(last_sent) >= INTERVAL)
    }

    /// Returns the time of the last message.
    pub(super) fn last_sent(&self) -> Timestamp {
        self.last_sent.unwrap_or_default()
    }

    pub(super) fn record_sent(&mut self, now: Timestamp) {
        self.last_sent = Some(now);
        self.urgent_at = None;
        self.in_flight += 1;
    }

    /// Records an answer. Returns whether the coordinator has become usable, or has restarted, which
    /// voids the leases.
    pub(super) fn record_response(&mut self, response: &QuotaResponse, now: Timestamp) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        if response.is_leaving {
            self.fail(now);
            return false;
        }
        let was_usable =
            self.is_usable(now) && self.echo.is_some_and(|echo| echo.epoch == response.epoch);
        self.failures = 0;
        // Answers may arrive in another order than they were sent.
        let is_newer = |echo: Echo| echo.epoch != response.epoch || echo.time <= response.now;
        if self.echo.is_none_or(is_newer) {
            self.echo = Some(Echo {
                epoch: response.epoch,
                time: response.now,
                heard_at: now,
            });
        }
        !was_usable
    }

    /// Records that a message has no answer.
    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.fail(now);
    }

    fn fail(&mut self, now: Timestamp) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.retry_at = now + FIRST_RETRY * 2u32.pow(doublings);
        self.failures += 1;
        self.urgent_at = None;
    }
}
