//! Choice of a backend server among those of a service.

use std::sync::Arc;

use lavenderhatch_core::endpoint::{Endpoint, EndpointCounters, FULL_WEIGHT};
use lavenderhatch_core::{Incarnation, NodeId, Zone};
use lavenderhatch_decide::routing::choose_endpoint;
use rstest::rstest;

const SLOTS: u32 = 10;

fn endpoint(zone: &str, outstanding: u32, reported: u32, is_last_resort: bool) -> Endpoint {
    let counters = EndpointCounters::default();
    (0..outstanding).for_each(|_| counters.start());
    counters.set_reported_calls(reported);
    Endpoint {
        node: NodeId::new("o1").unwrap(),
        incarnation: Incarnation(1),
        zone: Zone::new(zone).unwrap(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        slots: SLOTS,
        weight: FULL_WEIGHT,
        is_last_resort,
        counters: Arc::new(counters),
    }
}

/// Returns the positions that are chosen over many random numbers.
fn chosen(endpoints: &[Endpoint], excluded: &[usize]) -> Vec<usize> {
    let zone = Zone::new("local").unwrap();
    let random = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut all: Vec<usize> = (0..200)
        .filter_map(|n| choose_endpoint(endpoints, excluded, &zone, random(n)))
        .collect();
    all.sort_unstable();
    all.dedup();
    all
}

/// Guards against calls that leave the local zone without need, calls that stay until it is
/// saturated, and calls to a last-resort backend server while a regular one is left.
#[rstest]
#[case::local_zone_has_spare_capacity([(7, 0), (8, 0), (0, 0)], &[], &[0, 1])]
#[case::local_zone_is_at_the_spillover_level([(8, 0), (8, 0), (0, 0)], &[], &[0, 1, 2])]
#[case::local_zone_is_filled_by_other_daemons([(1, 8), (1, 8), (0, 0)], &[], &[0, 1, 2])]
#[case::local_zone_was_tried([(0, 0), (0, 0), (9, 0)], &[0, 1], &[2])]
#[case::only_last_resort_is_left([(0, 0), (0, 0), (0, 0)], &[0, 1, 2], &[3])]
#[case::nothing_is_left([(0, 0), (0, 0), (0, 0)], &[0, 1, 2, 3], &[])]
fn zones_and_last_resort_are_kept_in_order(
    #[case] work: [(u32, u32); 3],
    #[case] excluded: &[usize],
    #[case] expected: &[usize],
) {
    let mut endpoints = vec![
        endpoint("local", work[0].0, work[0].1, false),
        endpoint("local", work[1].0, work[1].1, false),
        endpoint("remote", work[2].0, work[2].1, false),
    ];
    endpoints.push(endpoint("local", 0, 0, true));
    let found = chosen(&endpoints, excluded);
    assert!(found.iter().all(|at| expected.contains(at)), "{found:?}");
    assert_eq!(found.is_empty(), expected.is_empty());
    assert_eq!(found.contains(&2), expected.contains(&2), "{found:?}");
}

/// Guards against a loaded backend server that is chosen as often as an idle one, and against one
/// that gets no calls at all, because nothing would be observed of it.
#[test]
fn less_work_wins_between_two_candidates() {
    let endpoints = [
        endpoint("local", 5, 0, false),
        endpoint("local", 1, 0, false),
    ];
    let zone = Zone::new("local").unwrap();
    let random = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let picks = (0..1000).filter_map(|n| choose_endpoint(&endpoints, &[], &zone, random(n)));
    // In a quarter of the draws, both candidates are the loaded backend server.
    let loaded = picks.filter(|at| *at == 0).count();
    assert!((200..=300).contains(&loaded), "{loaded}");
}
