//! What follows the end of an attempt.

use std::time::Duration;

/// Least time that must be left for another attempt to be of use.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// How an attempt to have a request run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A backend server ran the request and gave its answer.
    Answered {
        /// Whether the answer is a server error (5xx).
        is_server_error: bool,
    },
    /// The request did not run.
    NotRun {
        /// Whether a backend server has seen it and refused it.
        has_arrived: bool,
    },
    /// The request may have run.
    Unknown,
}

/// Attempts that were made for a request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Attempts in which a backend server saw the request.
    pub arrived: u32,
    /// Attempts in all.
    pub placed: u32,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The end of the attempt is the end of the request.
    Finish,
    /// The request is sent to another backend server. This draws on the retry budget.
    Retry,
    /// The request is sent to another backend server. No backend server has seen it.
    PlaceElsewhere,
}

/// Backend servers that are asked for a free slot before the request waits for one. A second look found
/// few more free slots and sent more bodies between zones.
const ATTEMPTS_BEFORE_WAITING: u32 = 1;
/// Most backend servers at which one request asks to wait.
const MAX_WAITING_ATTEMPTS: u32 = 3;

/// Whether an attempt may wait for a slot. `placed` counts the attempts before it.
///
/// Load that it answers: many daemons that each send little. What each knows of the others' slots is
/// old, so the first choice may be full while others have slots free. A daemon that must not wait says
/// so at once, with its present load, and the next choice knows more.
pub fn may_wait(placed: u32) -> bool {
    placed >= ATTEMPTS_BEFORE_WAITING
}

/// Decides what follows the end of an attempt. `attempts` counts the attempt that has ended.
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
