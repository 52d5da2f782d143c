//! Choice of the waiting request that gets the next slot.

use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::{Demand, SlotQueue};
use rstest::rstest;

const NOW: Timestamp = Timestamp(10_000);
const SERVICE: Duration = Duration::from_millis(100);
const SLOTS: u32 = 4;

fn demand(priority: u8, target_ms: u64) -> Demand {
    Demand {
        class: u64::from(priority),
        priority,
        arrived: NOW,
        target_at: NOW + Duration::from_millis(target_ms),
        deadline: NOW + Duration::from_millis(target_ms + 1000),
    }
}

fn pop(queue: &mut SlotQueue<&'static str>) -> Option<&'static str> {
    let at = queue.next(1, SLOTS, NOW)?;
    Some(queue.take(at))
}

fn queue() -> SlotQueue<&'static str> {
    let mut queue = SlotQueue::default();
    for class in 0..3 {
        queue.record(class, 0, SERVICE, NOW);
    }
    queue
}

/// Guards against urgent requests that wait behind less urgent ones, and against on-time requests
/// that wait behind late ones.
#[rstest]
#[case::by_rank(demand(1, 500), demand(0, 900))]
#[case::by_target(demand(0, 900), demand(0, 500))]
#[case::late_last(demand(0, 50), demand(1, 500))]
fn the_second_request_goes_first(#[case] first: Demand, #[case] second: Demand) {
    let mut queue = queue();
    // With many slots the expected wait is short, so that the late request is queued as well.
    queue.offer("first", first, 10 * SLOTS, NOW).unwrap();
    queue.offer("second", second, 10 * SLOTS, NOW).unwrap();
    assert_eq!(pop(&mut queue), Some("second"));
    assert_eq!(pop(&mut queue), Some("first"));
    assert_eq!(pop(&mut queue), None);
}

/// Guards against starvation of a rank by a flood of more urgent requests, and against a share of
/// the slot time that grows with the service time of its requests.
#[rstest]
#[case::as_long_as_the_urgent_ones(100)]
#[case::ten_times_as_long(1000)]
fn a_flood_of_urgent_requests_leaves_a_share_of_time(#[case] service_ms: u64) {
    let mut queue = queue();
    for _ in 0..200 {
        queue.record(2, 2, Duration::from_millis(service_ms), NOW);
    }
    let mut slot_ms = [0u64; 3];
    let patient = |priority: u8| Demand {
        target_at: NOW + Duration::from_secs(600),
        deadline: NOW + Duration::from_secs(900),
        ..demand(priority, 0)
    };
    for _ in 0..4 {
        queue.offer("urgent", patient(0), SLOTS, NOW).unwrap();
        queue.offer("least", patient(2), SLOTS, NOW).unwrap();
    }
    while slot_ms.iter().sum::<u64>() < 400_000 {
        let next = queue.next(SLOTS, SLOTS, NOW).unwrap();
        let taken = queue.take(next);
        let priority = if taken == "least" { 2 } else { 0 };
        slot_ms[usize::from(priority)] += if taken == "least" { service_ms } else { 100 };
        queue.offer(taken, patient(priority), SLOTS, NOW).unwrap();
    }
    let share = slot_ms[2] as f64 / (slot_ms[0] + slot_ms[2]) as f64;
    assert!((0.1..0.25).contains(&share), "{share}");
}

/// Guards against requests that wait although no slot can become free in time.
#[test]
fn a_request_is_refused_when_it_cannot_start_in_time() {
    let mut queue = queue();
    let mut accepted = 0;
    while queue.offer("waits", demand(0, 500), SLOTS, NOW).is_ok() {
        accepted += 1;
    }
    // 400 ms until the latest start are 16 service times over 4 slots.
    assert!((14..=16).contains(&accepted), "{accepted}");
    let refusal = queue
        .offer("waits", demand(0, 500), SLOTS, NOW)
        .unwrap_err();
    assert!(refusal.retry_after >= Duration::from_millis(350));
    // A request with a later target can still start in time behind the waiting ones.
    assert!(queue.offer("patient", demand(1, 900), SLOTS, NOW).is_ok());
}

/// Guards against queue entries that remain after their request has stopped waiting.
#[test]
fn a_request_that_no_longer_waits_is_removed() {
    let mut queue = queue();
    let ticket = queue.offer("gone", demand(0, 500), SLOTS, NOW).unwrap();
    assert!(queue.remove(ticket));
    assert!(!queue.remove(ticket));
    assert!(queue.is_empty());
}

/// Guards against requests that wait at a backend server without slots.
#[test]
fn nothing_waits_without_slots() {
    assert!(queue().offer("waits", demand(0, 500), 0, NOW).is_err());
}
