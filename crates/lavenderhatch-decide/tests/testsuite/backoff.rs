//! Waits between failed calls to the store.

use std::time::Duration;

use lavenderhatch_decide::retry::Backoff;

/// Time after the end of a disruption from which the latest version must be in force.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Timeout for establishing a connection to the store. The store may come back during an attempt
/// that fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for a listing of the largest configuration on the smallest link.
const LISTING: Duration = Duration::from_secs(1);

/// Guards against a daemon that waits for its next call while the stable window passes, after the
/// store was out of reach for long.
#[test]
fn a_wait_leaves_time_for_a_listing_within_the_stable_window() {
    let mut backoff = Backoff::default();
    for _ in 0..20 {
        let wait = backoff.next_wait(1.0);
        assert!(
            CONNECT_TIMEOUT + wait + LISTING <= STABLE_WINDOW,
            "{wait:?}"
        );
    }
}

/// Guards against daemons that call a failing store without pause, or all at the same time.
#[test]
fn waits_grow_and_are_spread() {
    let mut waits = [0.0, 0.5, 1.0].map(|random| {
        let mut backoff = Backoff::default();
        [(); 3].map(|()| backoff.next_wait(random))
    });
    waits.iter().for_each(|waits| assert!(waits.is_sorted()));
    waits.sort();
    assert!(waits.windows(2).all(|pair| pair[0][0] < pair[1][0]));
    let mut backoff = Backoff::default();
    let first = backoff.next_wait(0.5);
    assert!(backoff.is_failing());
    backoff.reset();
    assert_eq!(backoff.next_wait(0.5), first);
}
