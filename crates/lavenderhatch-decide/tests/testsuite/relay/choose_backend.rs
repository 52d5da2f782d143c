//! Choice of a backend server.

use lavenderhatch_decide::relay::{Candidate, Need, choose_backend};
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

/// A request with little time.
const TIGHT: Need = Need {
    service_share: 0.9,
    bytes: 4096.0,
};
/// A request with enough time.
const RELAXED: Need = Need {
    service_share: 0.2,
    bytes: 4096.0,
};

/// Guards against traffic that crosses zones without need, and against requests that stay in the
/// local zone although only a remote one would answer in time.
#[rstest]
#[case::slower(Candidate { relative_service_time: 1.6, ..IDLE }, 0)]
#[case::full(Candidate { load: 12, relative_service_time: 1.6, ..IDLE }, 0)]
#[case::long_queue(Candidate { load: 40, relative_service_time: 1.6, ..IDLE }, 1)]
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
        choose_backend(&[local, remote], &RELAXED, || 0),
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
        assert_eq!(choose_backend(&[worse, better], &TIGHT, || random), Some(1));
        assert_eq!(choose_backend(&[better, worse], &TIGHT, || random), Some(0));
    }
}

/// Guards against requests that cross zones to be refused, and against those that stay away from a
/// free slot elsewhere: if none answers in time, a remote backend server is only worth a free slot.
#[rstest]
#[case::free_remote_slot(Candidate { load: 20, ..IDLE }, 5, Some(1))]
#[case::full_everywhere(Candidate { load: 20, ..IDLE }, 12, Some(0))]
#[case::only_full_remote_ones(Candidate { is_available: false, ..IDLE }, 12, None)]
fn a_late_request_crosses_zones_only_for_a_free_slot(
    #[case] local: Candidate,
    #[case] remote_load: u32,
    #[case] expected: Option<usize>,
) {
    let remote = Candidate {
        is_in_local_zone: false,
        load: remote_load,
        ..IDLE
    };
    assert_eq!(choose_backend(&[local, remote], &TIGHT, || 0), expected);
}

/// Guards against failed runs: a call that a running request makes is short, and a backend server of
/// another zone that may serve it is better than none.
#[rstest]
#[case::room_in_the_own_zone(8, Some(0))]
#[case::little_room(11, Some(1))]
#[case::full(14, Some(1))]
fn a_short_request_crosses_zones_if_its_own_is_busy(
    #[case] local_load: u32,
    #[case] expected: Option<usize>,
) {
    let local = Candidate {
        load: local_load,
        ..IDLE
    };
    let remote = Candidate {
        is_in_local_zone: false,
        ..IDLE
    };
    let short = Need {
        bytes: 1000.0,
        ..RELAXED
    };
    assert_eq!(choose_backend(&[local, remote], &short, || 0), expected);
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
        counts[choose_backend(&[IDLE; 3], &TIGHT, &mut random).unwrap()] += 1;
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
    assert!(choose_backend(&[failing; 2], &TIGHT, || 0).is_some());
}
