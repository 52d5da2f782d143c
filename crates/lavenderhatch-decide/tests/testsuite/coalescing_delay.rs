//! Delays between readings of a configuration that changes quickly.

use std::time::Duration;

use lavenderhatch_decide::distribution::coalescing_delay;
use rstest::rstest;

const APPLY_DEADLINE: Duration = Duration::from_millis(2500);

/// Guards against a version that takes effect after its deadline because it is written just after a
/// reading began.
#[rstest]
#[case::local_link(5)]
#[case::small_link(300)]
#[case::busy_link(600)]
#[case::third_of_the_deadline(830)]
fn two_readings_and_the_delay_fit_the_deadline(#[case] read_ms: u64) {
    let read = Duration::from_millis(read_ms);
    assert!(read * 2 + coalescing_delay(APPLY_DEADLINE, read) <= APPLY_DEADLINE);
}

/// Guards against one slow reading that defers the next one by as long as it took itself.
#[rstest]
#[case::slow_store(1500)]
#[case::call_timeout(3000)]
#[case::long_outage(8000)]
fn a_slow_reading_does_not_use_up_the_deadline_of_the_next(#[case] read_ms: u64) {
    let read = Duration::from_millis(read_ms);
    assert!(coalescing_delay(APPLY_DEADLINE, read) <= APPLY_DEADLINE / 4);
}

/// Guards against readings without pause, which fill a small link.
#[test]
fn readings_leave_room_on_a_small_link() {
    for read_ms in [0, 100, 400, 600] {
        let read = Duration::from_millis(read_ms);
        let delay = coalescing_delay(APPLY_DEADLINE, read);
        assert!(delay >= read.max(Duration::from_millis(200)));
    }
}
