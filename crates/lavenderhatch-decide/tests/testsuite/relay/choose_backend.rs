//! Choice of a backend server.

use lavenderhatch_decide::relay::{Candidate, choose_backend};
use rstest::rstest;

const IDLE: Candidate = Candidate {
    load: 0,
    slots: 12,
    relative_service_time: 1.0,
    relative_delay: 0.0,
    failure_rate: 0.0,
    is_in_local_zone: true,
    is_available: true,
};

/// Service time divided by the time to the target, for a request with little time.
const TIGHT: f64 = 0.9;
/// Service time divided by the time to the target, for a request with enough time.
const RELAXED: f64 = 0.2;

/// Guards against traffic that crosses zones without need, and against requests that stay in the
/// local zone although only a remote one would answer in time.
#[rstest]
#[case::slower(Candidate { relative_service_time: 1.6, ..IDLE }, 0)]
#[case::nearly_full(Candidate { load: 11, relative_service_time: 1.6, ..IDLE }, 1)]
#[case::too_slow(Candidate { relative_service_time: 4.0, ..IDLE }, 1)]
#[case::delayed(Candidate { relative_delay: 3.0, ..IDLE }, 1)]
#[case::failing(Candidate { failure_rate: 0.5, ..IDLE }, 1)]
#[case::unavailable(Candidate { is_available: false, ..IDLE }, 1)]
fn the_local_zone_is_preferred_while_it_has_capacity_and_time(
    #[case] local: Candidate,
    #[case] expected: usize,
) {
    let remote = Candidate {
        is_in_local_zone: false,
        relative_service_time: 0.7,
        ..IDLE
    };
    assert_eq!(
        choose_backend(&[local, remote], RELAXED, || 0),
        Some(expected)
    );
}

/// Guards against the choice of a backend server that is clearly worse than another.
#[rstest]
#[case::full(Candidate { load: 14, ..IDLE }, Candidate { is_in_local_zone: false, ..IDLE })]
#[case::slow(Candidate { relative_service_time: 4.0, ..IDLE }, Candidate { is_in_local_zone: false, ..IDLE })]
#[case::behind_a_slow_daemon(Candidate { relative_delay: 2.0, ..IDLE }, Candidate { is_in_local_zone: false, relative_service_time: 1.6, ..IDLE })]
#[case::failing(Candidate { failure_rate: 0.5, ..IDLE }, Candidate { load: 11, ..IDLE })]
#[case::remote(Candidate { is_in_local_zone: false, ..IDLE }, IDLE)]
#[case::unavailable(Candidate { is_available: false, ..IDLE }, Candidate { load: 50, failure_rate: 1.0, ..IDLE })]
fn the_better_backend_server_is_chosen(#[case] worse: Candidate, #[case] better: Candidate) {
    for random in [0, u64::MAX / 2, u64::MAX] {
        assert_eq!(choose_backend(&[worse, better], TIGHT, || random), Some(1));
        assert_eq!(choose_backend(&[better, worse], TIGHT, || random), Some(0));
    }
}

/// Guards against herding: daemons with the same data must not all choose the same backend server.
#[test]
fn equal_backend_servers_share_the_requests() {
    let mut next = 0u64;
    let mut random = || {
        next = next
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        next
    };
    let mut counts = [0; 3];
    for _ in 0..3000 {
        counts[choose_backend(&[IDLE; 3], TIGHT, &mut random).unwrap()] += 1;
    }
    assert!(counts.iter().all(|count| *count > 800), "{counts:?}");
}

/// Guards against a service that becomes unreachable because all of its backend servers fail.
#[test]
fn a_failing_service_is_still_used() {
    let failing = Candidate {
        failure_rate: 1.0,
        ..IDLE
    };
    assert!(choose_backend(&[failing; 2], TIGHT, || 0).is_some());
}
