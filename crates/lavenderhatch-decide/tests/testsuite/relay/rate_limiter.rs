//! Limits on the requests that start in a second.

use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::{Demand, RateLimiter, SlotQueue};
use rstest::rstest;

const NOW: Timestamp = Timestamp(10_000);
const SLOTS: u32 = 12;
const CLASS: u64 = 1;

fn demand(now: Timestamp, target: Duration) -> Demand {
    Demand {
        class: CLASS,
        priority: 0,
        arrived: now,
        target_at: now + target,
        deadline: now + target * 2,
    }
}

/// Guards against a backend server in need that gets more requests than it has named, when requests
/// arrive without pause or after one.
#[rstest]
#[case::few(2.0)]
#[case::usual(15.2)]
#[case::many(400.0)]
fn starts_stay_within_the_limit_in_any_window(#[case] rate: f64) {
    let mut limiter = RateLimiter::new(rate, NOW);
    let mut starts = Vec::new();
    // No request arrives in the sixth of each seven seconds.
    for ms in (0..15_000u64).filter(|ms| !(5000..6000).contains(&(ms % 7000))) {
        let now = NOW + Duration::from_millis(ms);
        while limiter.has_token(now) {
            limiter.record_start(now);
            starts.push(ms);
        }
    }
    let allowed = 1.5 * rate * 4.0 + 5.0;
    for first in &starts {
        let window = first..&(first + 4000);
        let count = starts.iter().filter(|ms| window.contains(ms)).count();
        assert!(count as f64 <= allowed, "{count} from {first} ms");
    }
    // What the backend server takes is used.
    assert!(starts.len() as f64 >= 0.9 * rate * 13.0, "{}", starts.len());
}

/// Guards against a limit that can never be lifted because no request is sent whose answer could
/// lift it.
#[test]
fn a_limit_of_zero_still_lets_a_request_start_at_times() {
    let limiter = RateLimiter::new(0.0, NOW);
    assert!(limiter.has_token(NOW + Duration::from_secs(2)));
}

/// Guards against a waiting request that is not started, or started at once, when the rate limit
/// and not a slot holds it up.
#[test]
fn a_request_waits_for_the_rate_limit() {
    let mut queue = SlotQueue::default();
    queue.record(CLASS, 0, Duration::from_millis(10), NOW);
    queue.set_rate(Some(10.0), NOW);
    queue
        .offer("waits", demand(NOW, Duration::from_secs(1)), SLOTS, NOW)
        .unwrap();
    assert_eq!(queue.next(SLOTS, SLOTS, NOW), None);
    let wait = queue.time_to_next_start(NOW).unwrap();
    assert_eq!(wait, Duration::from_millis(100));
    assert!(queue.next(SLOTS, SLOTS, NOW + wait).is_some());
    queue.set_rate(None, NOW);
    assert!(queue.next(SLOTS, SLOTS, NOW).is_some());
    assert_eq!(queue.time_to_next_start(NOW), None);
}

/// Guards against requests that wait for a rate limit until their deadline passes, and against
/// refused callers that come back before there is room.
#[test]
fn a_request_that_the_rate_limit_cannot_serve_is_refused_at_once() {
    let mut queue = SlotQueue::default();
    queue.record(CLASS, 0, Duration::from_millis(10), NOW);
    queue.set_rate(Some(2.0), NOW);
    let target = Duration::from_millis(1100);
    for _ in 0..2 {
        queue
            .offer("waits", demand(NOW, target), SLOTS, NOW)
            .unwrap();
    }
    let refusal = queue
        .offer("refused", demand(NOW, target), SLOTS, NOW)
        .unwrap_err();
    assert_eq!(refusal.retry_after, Duration::from_millis(1500));
}
