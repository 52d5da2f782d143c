//! Decision on the next step after an attempt has ended.

use std::time::Duration;

/// Minimum time that must be left for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// How an attempt to run a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A backend server ran the request and answered.
    Answered {
        /// Whether the answer is a server error (5xx).
        is_server_error: bool,
    },
    /// The request did not run.
    NotRun {
        /// Whether the request reached a backend server, which refused it.
        has_arrived: bool,
    },
    /// The request may have run.
    Unknown,
}

/// Number of attempts made for a request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Attempts in which the request reached a backend server.
    pub arrived: u32,
    /// All attempts, including those that reached no backend server.
    pub placed: u32,
}

/// Next step for a request after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The result of the attempt is returned to the caller.
    Finish,
    /// The request is sent to another backend server, at the cost of the retry budget.
    Retry,
    /// The request is sent to another backend server without a retry token, because it has not
    /// reached any backend server yet.
    PlaceElsewhere,
}

/// Attempts that only use a free slot, before the request may wait for one. A second such attempt
/// rarely finds a free slot and sends more request bodies between zones.
const ATTEMPTS_BEFORE_WAITING: u32 = 1;
/// Maximum number of attempts in which a request may wait for a slot.
const MAX_WAITING_ATTEMPTS: u32 = 3;

/// Whether an attempt may wait for a slot. `placed` is the number of attempts before it.
///
/// With many daemons that each send few requests, the load that a daemon knows of backend servers
/// is stale: the first choice may be full while others have free slots. The daemon of a full
/// backend server immediately refuses a request that must not wait and reports its current load, so
/// that the next choice uses fresher data.
pub fn may_wait(placed: u32) -> bool {
    placed >= ATTEMPTS_BEFORE_WAITING
}

/// Decides the next step after an attempt has ended. `attempts` includes that attempt.
pub fn next_step(
    end: AttemptEnd,
    attempts: Attempts,
    is_idempotent: bool,
    max_attempts: u32,
    time_left: Duration,
) -> NextStep {
    if time_left < MIN_TIME_LEFT
        || attempts.placed >= ATTEMPTS_BEFORE_WAITING + MAX_WAITING_ATTEMPTS
    {
        return NextStep::Finish;
    }
    let may_repeat = match end {
        AttemptEnd::Answered { is_server_error } => is_server_error && is_idempotent,
        AttemptEnd::Unknown => is_idempotent,
        AttemptEnd::NotRun { .. } => true,
    };
    match may_repeat {
        false => NextStep::Finish,
        true if attempts.arrived == 0 => NextStep::PlaceElsewhere,
        true if attempts.arrived < max_attempts => NextStep::Retry,
        true => NextStep::Finish,
    }
}
