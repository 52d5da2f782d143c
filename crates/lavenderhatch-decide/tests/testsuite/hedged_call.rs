//! Reads that are repeated while there is no response.

use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::retry::HedgedCall;

const HEDGE_DELAY: Duration = Duration::from_millis(500);

/// Guards against a read that waits for the response to a call that the server has ignored.
#[test]
fn a_read_without_a_response_is_repeated() {
    let start = Timestamp(1000);
    let mut read = HedgedCall::start(HEDGE_DELAY, start);
    assert!(!read.start_next_call(start + Duration::from_millis(499)));
    assert!(read.start_next_call(start + HEDGE_DELAY));
    assert_eq!(
        read.time_to_next_call(start + HEDGE_DELAY),
        Some(HEDGE_DELAY)
    );
    assert!(read.end_call(), "the second call is still in progress");
    assert!(!read.end_call());
}

/// Guards against a second transfer of a large response on a link that is busy with the first one.
#[test]
fn a_read_is_not_repeated_while_its_response_arrives() {
    let mut now = Timestamp(1000);
    let mut read = HedgedCall::start(HEDGE_DELAY, now);
    for _ in 0..10 {
        now = now + Duration::from_millis(400);
        assert!(!read.start_next_call(now));
        read.record_progress(now);
    }
    assert!(read.start_next_call(now + HEDGE_DELAY));
}

/// Guards against connections without bound to a server that does not respond.
#[test]
fn the_calls_of_a_read_are_bounded() {
    let mut now = Timestamp(1000);
    let mut read = HedgedCall::start(HEDGE_DELAY, now);
    let mut calls = 1;
    for _ in 0..100 {
        now = now + HEDGE_DELAY;
        calls += u32::from(read.start_next_call(now));
    }
    assert_eq!(calls, 6);
    assert_eq!(read.time_to_next_call(now), None);
    read.end_call();
    assert!(read.start_next_call(now + HEDGE_DELAY));
}
