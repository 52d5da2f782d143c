//! The choice of a backend server.

use lavenderhatch_decide::relay::{Candidate, place};
use rstest::rstest;

const IDLE: Candidate = Candidate {
    load: 0,
    slots: 12,
    slowness: 1.0,
    failures: 0.0,
    is_near: true,
    is_open: true,
};

/// Guards against the choice of a backend server that is clearly worse than another.
#[rstest]
#[case::full(Candidate { load: 14, ..IDLE }, Candidate { is_near: false, ..IDLE })]
#[case::slow(Candidate { slowness: 4.0, ..IDLE }, Candidate { is_near: false, ..IDLE })]
#[case::failing(Candidate { failures: 0.5, ..IDLE }, Candidate { load: 11, ..IDLE })]
#[case::far(Candidate { is_near: false, ..IDLE }, IDLE)]
#[case::closed(Candidate { is_open: false, ..IDLE }, Candidate { load: 50, failures: 1.0, ..IDLE })]
fn the_better_backend_server_is_chosen(#[case] worse: Candidate, #[case] better: Candidate) {
    for random in [0, u64::MAX / 2, u64::MAX] {
        assert_eq!(place(&[worse, better], || random), Some(1));
        assert_eq!(place(&[better, worse], || random), Some(0));
    }
}

/// Guards against a herd: daemons with the same knowledge must not all choose alike.
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
        counts[place(&[IDLE; 3], &mut random).unwrap()] += 1;
    }
    assert!(counts.iter().all(|count| *count > 800), "{counts:?}");
}

/// Guards against a service that is left without any backend server by its failures.
#[test]
fn a_failing_service_is_still_used() {
    let failing = Candidate {
        failures: 1.0,
        ..IDLE
    };
    assert!(place(&[failing; 2], || 0).is_some());
}
