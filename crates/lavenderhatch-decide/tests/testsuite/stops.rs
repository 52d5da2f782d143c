//! Outcomes of planned stops and signals, as listed in docs/stops.md.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhatch_core::drain::StopPhase::{self, Drained, Held, Leaving, Overdue, Planned};
use lavenderhatch_core::drain::{Drains, LeaveReason};
use lavenderhatch_core::mesh::PlannedStop;
use lavenderhatch_core::{MemberRecord, MemberState, NodeId, StopName, Timestamp};
use lavenderhatch_decide::stops::{
    Departure, StopsDecision, StopsView, evaluate_departure, evaluate_stops,
};
use rstest::rstest;

use crate::member_fixture::{at, members, record};

const START: u64 = 100;
const DEADLINE: u64 = 200;

/// Stops as `(name, backend server, start, deadline)`.
type Stops<'a> = &'a [(&'a str, &'a str, u64, u64)];
const ONE_STOP: Stops<'static> = &[("a", "o1", START, DEADLINE)];

/// Daemon of backend server `o1` over time.
struct Daemon {
    own: MemberRecord,
    others: Vec<MemberRecord>,
    stops: BTreeMap<StopName, PlannedStop>,
    drains: Drains,
    is_signalled: bool,
    is_joined: bool,
}

impl Daemon {
    fn new(others: &[(&str, MemberState)], stops: Stops<'_>) -> Self {
        let others = others.iter();
        let mut daemon = Self {
            own: record("o1", MemberState::Serving, at(0)),
            others: others
                .map(|(id, state)| record(id, *state, at(0)))
                .collect(),
            stops: BTreeMap::new(),
            drains: Drains::default(),
            is_signalled: false,
            is_joined: true,
        };
        daemon.set_stops(stops);
        daemon
    }

    /// Creates one of three serving backend servers.
    fn of_three(stops: Stops<'_>) -> Self {
        let serving = MemberState::Serving;
        Self::new(&[("o2", serving), ("o3", serving)], stops)
    }

    fn set_stops(&mut self, stops: Stops<'_>) {
        let stop = |(name, server, start, deadline): &(&str, &str, u64, u64)| {
            let stop = PlannedStop {
                backend_server: NodeId::new(server).unwrap(),
                start: at(*start),
                deadline: at(*deadline),
            };
            (StopName::new(name).unwrap(), stop)
        };
        self.stops = stops.iter().map(stop).collect();
    }

    fn set_state(&mut self, other: &str, state: MemberState) {
        let found = self.others.iter_mut().find(|r| r.id.as_str() == other);
        found.unwrap().state = state;
    }

    fn step(&mut self, now: Timestamp, in_flight: u32) -> StopsDecision {
        let mut own = self.own.clone();
        own.state = self.drains.local_state();
        let mut members = members(self.others.iter().cloned().chain([own]));
        members.is_joined = self.is_joined;
        let view = StopsView {
            own: &self.own,
            stops: &self.stops,
            members: &members,
            previous: &self.drains,
            is_signalled: self.is_signalled,
            in_flight,
        };
        let decision = evaluate_stops(&view, now);
        self.drains.leave_reason = decision.leave_reason.clone();
        self.drains.is_drained = decision.is_drained;
        self.drains.stops = decision.stops.clone();
        decision
    }

    /// Evaluates the stops. Returns the phase of stop `a` and the member state that `o1` announces.
    fn outcome(&mut self, now: u64, in_flight: u32) -> (Option<StopPhase>, MemberState) {
        let decision = self.step(at(now), in_flight);
        let phase = decision.stops.get("a").map(|status| status.phase);
        (phase, self.drains.local_state())
    }
}

/// Guards against requests that are aborted by a stop. The server starts to leave at the start of
/// the stop, is drained only once no request is in flight, and becomes overdue, not drained, when
/// the deadline passes.
#[rstest]
#[case::ahead(&[(99, 1)], Planned, MemberState::Serving)]
#[case::started(&[(100, 1)], Leaving, MemberState::Leaving)]
#[case::idle_at_the_start(&[(100, 0)], Leaving, MemberState::Leaving)]
#[case::idle_after_the_start(&[(100, 1), (101, 0)], Drained, MemberState::Left)]
#[case::stays_drained(&[(100, 1), (101, 0), (102, 3)], Drained, MemberState::Left)]
#[case::deadline_passed(&[(100, 1), (200, 1)], Overdue, MemberState::Leaving)]
#[case::finished_after_the_deadline(&[(100, 1), (200, 1), (201, 0)], Drained, MemberState::Left)]
#[case::restarted_in_the_middle(&[(150, 1)], Leaving, MemberState::Leaving)]
fn stop_of_one_server(
    #[case] steps: &[(u64, u32)],
    #[case] phase: StopPhase,
    #[case] state: MemberState,
) {
    let mut daemon = Daemon::of_three(ONE_STOP);
    let outcomes = steps
        .iter()
        .map(|(now, in_flight)| daemon.outcome(*now, *in_flight));
    assert_eq!(outcomes.last(), Some((Some(phase), state)));
}

/// Guards against a flood of requests that holds back a stop or that makes the server appear
/// drained.
#[test]
fn stop_during_a_flood_is_never_held_and_never_drained() {
    let mut daemon = Daemon::of_three(ONE_STOP);
    for now in START..DEADLINE {
        assert_eq!(
            daemon.outcome(now, 5000),
            (Some(Leaving), MemberState::Leaving)
        );
    }
    assert_eq!(
        daemon.outcome(DEADLINE, 5000),
        (Some(Overdue), MemberState::Leaving)
    );
}

/// Guards against an old stop that prevents a replacement of the same name from serving.
#[test]
fn daemon_started_after_the_deadline_serves() {
    let mut daemon = Daemon::of_three(ONE_STOP);
    daemon.own.incarnation.0 = at(DEADLINE).as_millis();
    assert_eq!(
        daemon.outcome(DEADLINE + 1, 1),
        (Some(Drained), MemberState::Serving)
    );
}

/// Guards against a service that loses its last backend server: the stop is held until another one
/// serves.
#[rstest]
#[case::alone(&[], Held)]
#[case::other_starts(&[("o2", MemberState::Starting)], Held)]
#[case::other_left(&[("o2", MemberState::Left)], Held)]
#[case::other_failed(&[("o2", MemberState::Failed)], Held)]
#[case::other_unreachable(&[("o2", MemberState::Unreachable)], Held)]
#[case::other_serves(&[("o2", MemberState::Serving)], Leaving)]
fn last_server_is_held(#[case] others: &[(&str, MemberState)], #[case] phase: StopPhase) {
    let mut daemon = Daemon::new(others, ONE_STOP);
    assert_eq!(daemon.outcome(START, 1).0, Some(phase));
    // The stop stays held even after its deadline.
    let late = if phase == Held { Held } else { Overdue };
    assert_eq!(daemon.outcome(DEADLINE, 1).0, Some(late));
}

/// Guards against a daemon that is restarted during its stop and accepts work because it does not
/// know the other servers yet.
#[test]
fn restarted_daemon_leaves_before_it_knows_others() {
    let mut daemon = Daemon::new(&[], ONE_STOP);
    daemon.is_joined = false;
    assert_eq!(daemon.outcome(150, 1).0, Some(Leaving));
    daemon.is_joined = true;
    assert_eq!(daemon.outcome(151, 1).0, Some(Held));
}

/// Guards against a held stop that never continues, and against one that continues although the
/// other server has failed meanwhile.
#[test]
fn held_stop_follows_the_other_server() {
    let mut daemon = Daemon::new(&[("o2", MemberState::Starting)], ONE_STOP);
    assert_eq!(daemon.outcome(100, 1), (Some(Held), MemberState::Serving));
    daemon.set_state("o2", MemberState::Serving);
    assert_eq!(
        daemon.outcome(101, 1),
        (Some(Leaving), MemberState::Leaving)
    );
    daemon.set_state("o2", MemberState::Failed);
    assert_eq!(daemon.outcome(102, 1), (Some(Held), MemberState::Serving));
}

/// Guards against two stops of one service that let both of its servers leave, and against daemons
/// that disagree on which of them may leave.
#[rstest]
#[case::same_start(100, 100, Leaving, Held)]
#[case::own_first(100, 101, Leaving, Held)]
#[case::other_first(101, 100, Held, Leaving)]
fn conflicting_stops_let_one_server_leave(
    #[case] own_start: u64,
    #[case] other_start: u64,
    #[case] own: StopPhase,
    #[case] other: StopPhase,
) {
    let stops = &[("a", "o1", own_start, 200), ("b", "o2", other_start, 200)];
    let mut daemon = Daemon::new(&[("o2", MemberState::Serving)], stops);
    let decision = daemon.step(at(102), 1);
    assert_eq!(
        [&"a", &"b"].map(|name| decision.stops[*name].phase),
        [own, other]
    );
}

/// Guards against overlapping stops of one server that shorten each other.
#[rstest]
#[case::before(99, Planned, Planned)]
#[case::earliest_start(100, Leaving, Leaving)]
#[case::first_deadline(200, Leaving, Leaving)]
#[case::latest_deadline(300, Overdue, Overdue)]
fn overlapping_stops_join(#[case] now: u64, #[case] a: StopPhase, #[case] b: StopPhase) {
    let mut daemon = Daemon::of_three(&[("a", "o1", 100, 200), ("b", "o1", 150, 300)]);
    let decision = daemon.step(at(now), 1);
    assert_eq!([&"a", &"b"].map(|name| decision.stops[*name].phase), [a, b]);
}

/// Guards against a server that does not return although its stop was withdrawn or moved, and
/// against one that accepts work again after its stop has ended, when its VM may already be gone.
#[rstest]
#[case::leaving(&[(100, 1)], &[], 101, MemberState::Serving)]
#[case::drained(&[(100, 1), (101, 0)], &[], 102, MemberState::Serving)]
#[case::overdue(&[(100, 1), (200, 1)], &[], 201, MemberState::Serving)]
#[case::ended(&[(100, 1), (101, 0)], &[], 200, MemberState::Left)]
#[case::moved(&[(100, 1)], &[("a", "o1", 150, 200)], 101, MemberState::Serving)]
#[case::other_server(&[(100, 1)], &[("a", "o2", 100, 200)], 101, MemberState::Serving)]
fn withdrawn_stop_returns_the_server_unless_it_has_ended(
    #[case] steps: &[(u64, u32)],
    #[case] stops: Stops<'_>,
    #[case] now: u64,
    #[case] state: MemberState,
) {
    let mut daemon = Daemon::of_three(ONE_STOP);
    for (now, in_flight) in steps {
        daemon.step(at(*now), *in_flight);
    }
    daemon.set_stops(stops);
    assert_eq!(daemon.outcome(now, 0).1, state);
    assert_eq!(daemon.outcome(now + 1, 0).1, state);
}

/// Guards against a withdrawal that is not reported, and against reports of other servers' stops.
#[test]
fn changes_of_own_stops_are_reported_once() {
    let mut daemon = Daemon::of_three(&[("a", "o1", 100, 200), ("b", "o2", 100, 200)]);
    let mut seen = Vec::new();
    for now in [99, 100, 101] {
        let changes = daemon.step(at(now), 1).changes;
        seen.extend(changes.into_iter().map(|change| (change.from, change.to)));
    }
    daemon.set_stops(&[]);
    let changes = daemon.step(at(102), 1).changes;
    seen.extend(changes.into_iter().map(|change| (change.from, change.to)));
    let expected = [
        (None, Some(Planned)),
        (Some(Planned), Some(Leaving)),
        (Some(Leaving), None),
    ];
    assert_eq!(seen, expected);
}

/// Guards against a stop that is lost because its server was not known when the stop was accepted,
/// and against a server that is shown as drained before it has joined.
#[test]
fn stop_of_an_unknown_server_waits_for_it() {
    let mut daemon = Daemon::of_three(&[("a", "o9", 100, 200)]);
    assert_eq!(daemon.outcome(150, 1).0, Some(Planned));
    daemon
        .others
        .push(record("o9", MemberState::Serving, at(151)));
    assert_eq!(daemon.outcome(152, 1).0, Some(Leaving));
    daemon.set_state("o9", MemberState::Left);
    assert_eq!(daemon.outcome(153, 1).0, Some(Drained));
}

/// Guards against a leave by signal that is held or withdrawn, because the machine shuts down in
/// any case.
#[test]
fn signal_makes_even_the_last_server_leave() {
    let mut daemon = Daemon::new(&[], ONE_STOP);
    daemon.is_signalled = true;
    let expected = [
        (1, MemberState::Leaving),
        (0, MemberState::Left),
        (1, MemberState::Left),
    ];
    for (in_flight, state) in expected {
        let decision = daemon.step(at(START), in_flight);
        assert!(decision.stops["a"].phase >= Leaving);
        assert_eq!(decision.leave_reason, Some(LeaveReason::Signal));
        assert_eq!(daemon.drains.local_state(), state);
    }
}

/// Guards against a daemon that exits before its peers know of the leave, and against one that
/// never exits because callers keep sending.
#[rstest]
#[case::peers_may_not_know(2_999, true, Departure::Wait)]
#[case::peers_know(3_000, true, Departure::ExitIfIdle)]
#[case::no_peers(0, false, Departure::ExitIfIdle)]
#[case::callers_keep_coming(10_000, true, Departure::RefuseThenExit)]
fn daemon_exits_once_peers_know_of_its_leave(
    #[case] millis: u64,
    #[case] has_peers: bool,
    #[case] expected: Departure,
) {
    let departure = evaluate_departure(Duration::from_millis(millis), has_peers);
    assert_eq!(departure, expected);
}

/// Guards against a start or deadline that is noticed late because no wake-up was scheduled.
#[rstest]
#[case(0, Some(START))]
#[case(START, Some(DEADLINE))]
#[case(DEADLINE, None)]
fn next_wake_up_is_scheduled(#[case] now: u64, #[case] expected: Option<u64>) {
    let decision = Daemon::of_three(ONE_STOP).step(at(now), 1);
    assert_eq!(decision.wake_at, expected.map(at));
}
