//! Decision on which requests are retried.

use std::time::Duration;

use lavenderhatch_decide::relay::{AttemptEnd, Attempts, NextStep, may_wait, next_step};
use rstest::rstest;

const FAILED: AttemptEnd = AttemptEnd::Answered {
    is_server_error: true,
};
const SERVED: AttemptEnd = AttemptEnd::Answered {
    is_server_error: false,
};
const REFUSED: AttemptEnd = AttemptEnd::NotRun { has_arrived: true };
const NOT_PLACED: AttemptEnd = AttemptEnd::NotRun { has_arrived: false };

/// Guards against a second run of a request that must run at most once, and against requests that
/// fail although another backend server could serve them.
#[rstest]
#[case::served(SERVED, 1, true, NextStep::Finish)]
#[case::failed(FAILED, 1, true, NextStep::Retry)]
#[case::failed_once_only(FAILED, 1, false, NextStep::Finish)]
#[case::unknown(AttemptEnd::Unknown, 1, true, NextStep::Retry)]
#[case::unknown_once_only(AttemptEnd::Unknown, 1, false, NextStep::Finish)]
#[case::refused(REFUSED, 1, true, NextStep::Retry)]
#[case::refused_once_only(REFUSED, 1, false, NextStep::Retry)]
#[case::not_placed(NOT_PLACED, 0, false, NextStep::PlaceElsewhere)]
#[case::attempts_used_up(FAILED, 2, true, NextStep::Finish)]
fn the_end_of_an_attempt_decides(
    #[case] end: AttemptEnd,
    #[case] arrived: u32,
    #[case] is_idempotent: bool,
    #[case] expected: NextStep,
) {
    let attempts = Attempts { arrived, placed: 1 };
    let left = Duration::from_secs(1);
    assert_eq!(next_step(end, attempts, is_idempotent, 2, left), expected);
}

/// Guards against requests that wait at the first backend server while others have free slots.
#[test]
fn the_first_attempt_does_not_wait_for_a_slot() {
    assert_eq!([0, 1, 2].map(may_wait), [false, true, true]);
}

/// Guards against attempts whose answer cannot arrive in time.
#[test]
fn no_attempt_is_made_without_time_left() {
    let attempts = Attempts {
        arrived: 0,
        placed: 1,
    };
    let left = Duration::from_millis(1);
    let step = next_step(NOT_PLACED, attempts, true, 2, left);
    assert_eq!(step, NextStep::Finish);
}
