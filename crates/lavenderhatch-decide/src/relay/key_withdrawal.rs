//! Which requests with an API key may run while the configuration may be out of date.
//!
//! Load: an API key is withdrawn while a daemon is cut off from the store, suspended, or reads a
//! store that does not answer. The daemon must refuse the key within the deadline although nobody
//! can tell it so.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Part of the deadline that is left unused, which covers the rounding of ages.
const MARGIN: f64 = 0.1;
/// Part of the deadline after which the configuration is confirmed. A confirmation by a watch
/// starts with an age of [`WATCH_SILENCE`], so the part must exceed that.
const CONFIRMATION_SHARE: f64 = 0.45;
/// Random addition to [`CONFIRMATION_SHARE`]. The daemon that asks first spares the others a call,
/// because its answers tell them its age; with a smaller one, most ask before they have heard.
const CONFIRMATION_JITTER: f64 = 0.3;
/// Time for which watches of the store may miss changes: the platform announces one second, and
/// half of that is added.
const WATCH_SILENCE: Duration = Duration::from_millis(1500);

/// The deadline for withdrawn API keys, and how old the configuration may be.
///
/// Ages are differences from `current_until`: every configuration that was acknowledged before that
/// time is in force or was superseded. Times come from a clock that counts suspensions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyWithdrawal {
    deadline: Duration,
}

impl KeyWithdrawal {
    /// Shortest deadline. A confirmation starts with an age of [`WATCH_SILENCE`] and has to be
    /// repeated before the deadline, margin included.
    pub const MIN_DEADLINE: Duration = Duration::from_millis(2500);

    /// Creates the rule that no request may run which was sent later than `deadline` after the
    /// acknowledgement of the configuration that withdrew its key.
    pub const fn new(deadline: Duration) -> Self {
        Self { deadline }
    }

    /// Whether a request with an API key may run.
    ///
    /// If its key was withdrawn more than the deadline before the request was sent, the
    /// configuration here is older than the deadline, since it would have no such key otherwise.
    pub fn admits(&self, current_until: Timestamp, now: Timestamp) -> bool {
        // Zero means that nothing is known. The boot clock of a machine that has just started is
        // close to it.
        let is_known = current_until > Timestamp::default();
        is_known && now.since(current_until) <= self.deadline.mul_f64(1.0 - MARGIN)
    }

    /// Returns the time until the configuration has to be confirmed. `fraction` is a uniformly
    /// distributed number between 0 and 1.
    pub fn time_to_confirmation(
        &self,
        current_until: Timestamp,
        now: Timestamp,
        fraction: f64,
    ) -> Duration {
        let share = CONFIRMATION_SHARE + CONFIRMATION_JITTER * fraction;
        let due = self.deadline.mul_f64(share);
        due.saturating_sub(now.since(current_until))
    }
}

/// Returns until when the configuration is current after a watch, sent at `sent`, has found nothing
/// newer.
pub fn current_until_by_watch(sent: Timestamp) -> Timestamp {
    sent - WATCH_SILENCE
}

/// Returns until when the configuration is current after another daemon, in its answer to a request
/// sent at `sent`, has stated the age of a configuration that is not newer.
pub fn current_until_by_answer(sent: Timestamp, age: Duration) -> Timestamp {
    sent - age
}
