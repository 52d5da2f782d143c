//! Weights and ejections of backend servers.

use std::time::Duration;

use lavenderhatch_core::drain::{Drains, StopPhase, StopStatus};
use lavenderhatch_core::endpoint::{Endpoint, Endpoints};
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{ErrorKind, MemberState, NodeId, StopName, Timestamp, Zone};
use lavenderhatch_decide::endpoints::{
    Ejection, EndpointTracker, counts_as_failure, slow_start_weight,
};
use lavenderhatch_decide::routing::choose_endpoint;
use rstest::rstest;

use crate::member_fixture::{at, members, record};

fn of<'a>(endpoints: &'a Endpoints, node: &str) -> &'a Endpoint {
    let all = endpoints.for_service("orders");
    all.iter().find(|e| e.node.as_str() == node).unwrap()
}

fn serving(count: usize) -> Members {
    members((0..count).map(|n| record(&format!("o{n}"), MemberState::Serving, at(0))))
}

/// Adds calls to the counters of a backend server.
fn observe(endpoints: &Endpoints, node: &str, calls: u32, failures: u32, latency_ms: u64) {
    for n in 0..calls {
        let counters = &of(endpoints, node).counters;
        counters.start();
        counters.finish(latency_ms * 1000, n < failures);
    }
}

fn ejected_nodes(tracker: &mut EndpointTracker, members: &Members, now: Timestamp) -> Vec<String> {
    let changes = tracker.eject_outliers(members, now);
    changes
        .iter()
        .map(|change| change.node.to_string())
        .collect()
}

/// Guards against a newly started server that gets its full load immediately.
#[rstest]
#[case(0, 100)]
#[case(10, 550)]
#[case(20, 1000)]
#[case(3600, 1000)]
fn weight_grows_from_a_tenth(#[case] seconds: u64, #[case] weight: u32) {
    assert_eq!(slow_start_weight(Duration::from_secs(seconds)), weight);
}

/// Guards against a restarted daemon that treats all members as new, and against a server that
/// returns with its full weight.
#[test]
fn slow_start_counts_from_the_last_return() {
    let mut tracker = EndpointTracker::default();
    let drains = Drains::default();
    let weight = |tracker: &mut EndpointTracker, state, now| {
        let members = members([record("o1", state, at(0)), record("o2", state, at(0))]);
        let endpoints = tracker.derive(&members, &drains, at(now));
        endpoints
            .for_service("orders")
            .first()
            .map(|endpoint| endpoint.weight)
    };
    assert_eq!(weight(&mut tracker, MemberState::Serving, 3600), Some(1000));
    assert_eq!(weight(&mut tracker, MemberState::Leaving, 3601), None);
    assert_eq!(weight(&mut tracker, MemberState::Serving, 3610), Some(100));
    assert_eq!(weight(&mut tracker, MemberState::Serving, 3620), Some(550));
}

/// Guards against a failing or slow server that keeps its share of calls, and against one that is
/// ejected although all servers perform alike.
#[rstest]
#[case::fails((20, 10, 5), (20, 0, 5), true)]
#[case::all_fail((20, 10, 5), (20, 10, 5), false)]
#[case::slow((20, 0, 90), (20, 0, 10), true)]
#[case::all_slow((20, 0, 90), (20, 0, 80), false)]
#[case::slow_only_relatively((20, 0, 9), (20, 0, 1), false)]
#[case::too_few_calls((9, 9, 5), (20, 0, 5), false)]
fn outlier_is_ejected(
    #[case] one: (u32, u32, u64),
    #[case] others: (u32, u32, u64),
    #[case] is_ejected: bool,
) {
    let (mut tracker, members) = (EndpointTracker::default(), serving(3));
    let endpoints = tracker.derive(&members, &Drains::default(), at(100));
    observe(&endpoints, "o0", one.0, one.1, one.2);
    for node in ["o1", "o2"] {
        observe(&endpoints, node, others.0, others.1, others.2);
    }
    assert_eq!(
        ejected_nodes(&mut tracker, &members, at(101)).is_empty(),
        !is_ejected
    );
    let endpoints = tracker.derive(&members, &Drains::default(), at(101));
    assert_eq!(of(&endpoints, "o0").is_last_resort, is_ejected);
}

/// Guards against ejections that leave a service with too few servers: never more than a third.
#[rstest]
#[case(2, 0)]
#[case(3, 1)]
#[case(5, 1)]
#[case(6, 2)]
#[case(9, 3)]
fn at_most_a_third_is_ejected(#[case] servers: usize, #[case] allowed: usize) {
    let (mut tracker, members) = (EndpointTracker::default(), serving(servers));
    let bad = (servers.div_ceil(2) - 1).max(1);
    let mut total = 0;
    for now in [101, 102] {
        let endpoints = tracker.derive(&members, &Drains::default(), at(now));
        for n in 0..servers {
            let failures = if n < bad { 20 } else { 0 };
            observe(&endpoints, &format!("o{n}"), 20, failures, 5);
        }
        total += ejected_nodes(&mut tracker, &members, at(now)).len();
    }
    assert_eq!(total, allowed.min(bad));
}

/// Guards against a server that returns too soon after each ejection, and against earlier ejections
/// that count forever.
#[test]
fn ejections_grow_and_expire() {
    let mut ejection = Ejection::default();
    let mut now = at(0);
    let mut times = Vec::new();
    for _ in 0..8 {
        times.push(ejection.eject(now).as_secs());
        assert!(ejection.is_ejected(now));
        now = ejection.until();
        assert!(!ejection.is_ejected(now));
    }
    assert_eq!(times, [5, 10, 20, 40, 80, 160, 300, 300]);
    assert_eq!(
        ejection.eject(now + Duration::from_secs(8 * 60)).as_secs(),
        5
    );
}

/// Guards against an ejected server that returns with its full weight.
#[test]
fn ejected_server_returns_in_slow_start() {
    let (mut tracker, members) = (EndpointTracker::default(), serving(3));
    let endpoints = tracker.derive(&members, &Drains::default(), at(100));
    observe(&endpoints, "o0", 20, 20, 5);
    observe(&endpoints, "o1", 20, 0, 5);
    observe(&endpoints, "o2", 20, 0, 5);
    assert_eq!(ejected_nodes(&mut tracker, &members, at(101)), ["o0"]);
    let endpoints = tracker.derive(&members, &Drains::default(), at(106));
    let back = of(&endpoints, "o0");
    assert_eq!((back.is_last_resort, back.weight), (false, 100));
}

/// Guards against the ejection of a server for refusals that are correct.
#[rstest]
#[case(200, None, false)]
#[case(404, None, false)]
#[case(500, None, true)]
#[case(503, Some(ErrorKind::Leaving), false)]
#[case(503, Some(ErrorKind::Overloaded), false)]
#[case(503, Some(ErrorKind::NoBackend), true)]
#[case(504, Some(ErrorKind::DeadlinePassed), true)]
fn refusals_do_not_count_as_failures(
    #[case] status: u16,
    #[case] error: Option<ErrorKind>,
    #[case] is_failure: bool,
) {
    assert_eq!(counts_as_failure(status, error), is_failure);
}

/// Returns the zone of the members.
fn zone() -> Zone {
    Zone::new("zone-a").unwrap()
}

/// Guards against a service that becomes unreachable because all of its members appear failed. They
/// stay as a last resort, which is chosen only if there is no other member.
#[rstest]
#[case::failed(MemberState::Failed, Some(true))]
#[case::unreachable(MemberState::Unreachable, Some(true))]
#[case::serving(MemberState::Serving, Some(false))]
#[case::leaving(MemberState::Leaving, None)]
#[case::left(MemberState::Left, None)]
#[case::starting(MemberState::Starting, None)]
fn failed_members_are_a_last_resort(
    #[case] state: MemberState,
    #[case] is_last_resort: Option<bool>,
) {
    let mut tracker = EndpointTracker::default();
    let members = members([record("o0", state, at(0))]);
    let endpoints = tracker.derive(&members, &Drains::default(), at(1));
    let all = endpoints.for_service("orders");
    assert_eq!(
        all.first().map(|endpoint| endpoint.is_last_resort),
        is_last_resort
    );
    let chosen = choose_endpoint(all, &[], &zone(), u64::MAX);
    assert_eq!(chosen, is_last_resort.map(|_| 0));
}

/// Guards against calls to a server whose stop has begun before its own announcement has arrived,
/// and against a last resort that is chosen although a regular server is left.
#[rstest]
#[case(StopPhase::Planned, false)]
#[case(StopPhase::Held, false)]
#[case(StopPhase::Leaving, true)]
#[case(StopPhase::Overdue, true)]
fn stopping_server_is_a_last_resort(#[case] phase: StopPhase, #[case] is_last_resort: bool) {
    let (mut tracker, members) = (EndpointTracker::default(), serving(2));
    let status = StopStatus {
        backend_server: NodeId::new("o0").unwrap(),
        phase,
        since: at(1),
        start: at(1),
        deadline: at(2),
        in_flight: None,
    };
    let drains = Drains {
        stops: [(StopName::new("a").unwrap(), status)].into(),
        ..Drains::default()
    };
    let endpoints = tracker.derive(&members, &drains, at(1));
    let all = endpoints.for_service("orders");
    assert_eq!(all[0].is_last_resort, is_last_resort);
    let picks = (0..64).map(|n| choose_endpoint(all, &[], &zone(), n * 0x1234_5678_9abc).unwrap());
    assert_eq!(picks.filter(|at| *at == 0).count() == 0, is_last_resort);
    assert_eq!(choose_endpoint(all, &[1], &zone(), 7), Some(0));
}
