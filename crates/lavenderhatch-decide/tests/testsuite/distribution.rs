//! Distribution: which updates are put in force, and which member is asked for them.

use std::collections::BTreeMap;
use std::sync::Arc;

use lavenderhatch_core::member::{Members, ReportedVersion};
use lavenderhatch_core::{Digest, NodeId, Timestamp, Version};
use lavenderhatch_decide::distribution::{
    DELTA_LOG_CAPACITY, DeltaLog, MAX_TRANSFERS, PullResult, Puller, ReaderRole, TransferLimiter,
    UpdateAction, UpdateRefusal, evaluate_update, reader_role,
};
use lavenderhatch_decide::message::{Delta, Update, UpdateRequest, Whole};
use rstest::rstest;

use crate::support::{Fleet, mesh, node, record, snapshot};

const NOW: Timestamp = Timestamp(1_000_000);

fn log_to(version: u64) -> DeltaLog {
    let mut log = DeltaLog::default();
    (1..=version).for_each(|version| log.push(&snapshot(version)));
    log
}

fn ask(log: &DeltaLog, held: u64) -> Update {
    log.answer(&UpdateRequest {
        held: Version(held),
        want: Version(held + 1),
    })
}

fn delta(log: &DeltaLog, held: u64) -> Delta {
    match ask(log, held) {
        Update::Delta(delta) => delta,
        other => panic!("{other:?}"),
    }
}

fn whole(version: u64) -> Whole {
    Whole {
        version: Version(version),
        digest: mesh(version).digest(),
        mesh: mesh(version).spec().to_canonical(),
    }
}

/// The version that a daemon holds after an update, or `None` if the update is refused.
fn held_after(held: u64, floor: u64, update: &Update) -> Option<u64> {
    let present = snapshot(held);
    match evaluate_update(Some(&present), Version(floor), update, NOW) {
        Ok(UpdateAction::Apply(next)) => {
            assert_eq!(next.mesh.digest(), mesh(next.version.0).digest());
            Some(next.version.0)
        }
        Ok(_) => Some(held),
        Err(_) => None,
    }
}

/// Guards against a daemon that goes back to an older version, or to one below its floor.
#[rstest]
#[case::older(5, 0, 4, 5)]
#[case::same(5, 0, 5, 5)]
#[case::newer(5, 0, 6, 6)]
#[case::newer_but_below_the_floor(5, 8, 6, 5)]
#[case::at_the_floor(5, 8, 8, 8)]
fn whole_mesh_is_applied_only_if_it_is_newer(
    #[case] held: u64,
    #[case] floor: u64,
    #[case] version: u64,
    #[case] result: u64,
) {
    assert_eq!(
        held_after(held, floor, &Update::Whole(whole(version))),
        Some(result)
    );
}

/// Guards against a corrupt, truncated or invalid mesh that is applied.
#[rstest]
#[case::digest(|whole: &mut Whole| whole.digest = Digest::of(b"other"))]
#[case::truncated(|whole: &mut Whole| whole.mesh.truncate(whole.mesh.len() / 2))]
#[case::empty(|whole: &mut Whole| whole.mesh.clear())]
#[case::dangling(|whole: &mut Whole| {
    whole.mesh = br#"{"routes":{"a":{"path":"/a","service":"gone","rank":"none",
        "timeout_ms":100,"idempotent":true}}}"#.to_vec();
    whole.digest = Digest::of(&whole.mesh);
})]
fn bad_mesh_is_refused(#[case] corrupt: fn(&mut Whole)) {
    let mut bad = whole(9);
    corrupt(&mut bad);
    assert_eq!(held_after(5, 0, &Update::Whole(bad)), None);
}

/// Guards against a delta that is applied to another base than its own, or incompletely. Deltas may
/// arrive out of order, twice, or with a part lost.
#[test]
fn out_of_order_duplicated_and_incomplete_deltas_change_nothing() {
    let log = log_to(6);
    let (from3, from5) = (Update::Delta(delta(&log, 3)), Update::Delta(delta(&log, 5)));
    assert_eq!(held_after(3, 0, &from3), Some(6));
    assert_eq!(held_after(6, 0, &from3), Some(6), "duplicate");
    assert_eq!(held_after(6, 0, &from5), Some(6), "out of order");
    assert_eq!(held_after(4, 0, &from5), Some(4), "base missing");
    let held = snapshot(4);
    let step = evaluate_update(Some(&held), Version::NONE, &from5, NOW).unwrap();
    assert!(matches!(step, UpdateAction::RequestWhole));
    let mut partial = delta(&log, 3);
    partial.changes.services.pop_last();
    assert_eq!(held_after(3, 0, &Update::Delta(partial)), None, "partial");
    let mut other = delta(&log, 3);
    other.base_digest = Digest::of(b"other");
    assert_eq!(
        held_after(3, 0, &Update::Delta(other)),
        Some(3),
        "other base"
    );
}

/// Guards against combined steps that result in another mesh than that of the newest version, and
/// against a log that grows without a bound.
#[rstest]
#[case(70, 69, true)]
#[case(70, 70 - DELTA_LOG_CAPACITY as u64, true)]
#[case(70, 69 - DELTA_LOG_CAPACITY as u64, false)]
#[case(70, 0, false)]
fn log_answers_with_changes_as_far_as_it_goes(
    #[case] newest: u64,
    #[case] held: u64,
    #[case] is_delta: bool,
) {
    let update = ask(&log_to(newest), held);
    assert_eq!(matches!(update, Update::Delta(_)), is_delta);
    assert_eq!(held_after(held, 0, &update), Some(newest));
    assert_eq!(ask(&log_to(newest), newest), Update::None);
}

fn members(held: &[(usize, u64)]) -> Members {
    let reported = held.iter().map(|(n, version)| {
        let reported = ReportedVersion {
            version: Version(*version),
            digest: mesh(*version).digest(),
            at: NOW,
        };
        (node(*n), reported)
    });
    let records = held
        .iter()
        .map(|(n, _)| (node(*n), record(*n, 1, 1).into()));
    Members {
        by_id: Arc::new(records.collect()),
        reported_versions: reported.collect(),
        ..Members::default()
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp(NOW.0 + millis)
}

/// Guards against an update that is never requested because its announcement was lost, and against
/// a daemon that keeps asking the same member after a failed request.
#[rstest]
#[case::no_answer(PullResult::NoAnswer, false)]
#[case::refused(PullResult::Refused, true)]
#[case::not_newer(PullResult::NotNewer, false)]
#[case::busy(PullResult::Busy(std::time::Duration::from_secs(1)), false)]
#[case::base_missing(PullResult::NeedsWhole, true)]
fn another_member_is_asked_after_a_failure(#[case] result: PullResult, #[case] wants_whole: bool) {
    let members = members(&[(1, 7), (2, 7), (3, 6)]);
    let mut puller = Puller::default();
    let first = puller.next_pull(Version(6), &members, NOW, 0).unwrap();
    assert_eq!((&first.from, first.req.held), (&node(1), Version(6)));
    assert_eq!(
        puller.next_pull(Version(6), &members, NOW, 0),
        None,
        "one request at a time"
    );
    puller.record_result(&first.from, result, NOW);
    let second = puller.next_pull(Version(6), &members, NOW, 0).unwrap();
    assert_eq!(second.from == node(2), result != PullResult::NeedsWhole);
    assert_eq!(second.req.held == Version::NONE, wants_whole);
    assert_eq!(
        puller.next_pull(Version(7), &members, at(10_000), 0),
        None,
        "nothing newer"
    );
}

/// Guards against a daemon that never sends another request after an answer was lost.
#[test]
fn lost_answer_does_not_stop_the_daemon_from_asking() {
    let members = members(&[(1, 7)]);
    let mut puller = Puller::default();
    assert!(puller.next_pull(Version(6), &members, NOW, 0).is_some());
    assert!(
        puller
            .next_pull(Version(6), &members, at(1_900), 0)
            .is_none()
    );
    assert!(
        puller
            .next_pull(Version(6), &members, at(2_000), 0)
            .is_none(),
        "penalty"
    );
    assert!(
        puller
            .next_pull(Version(6), &members, at(4_000), 0)
            .is_some()
    );
}

/// Guards against a daemon that sends whole meshes to half of the fleet at the same time.
#[test]
fn transfers_are_bounded_and_spread() {
    let mut transfers = TransferLimiter::default();
    for _ in 0..MAX_TRANSFERS {
        assert_eq!(transfers.start(4_000_000, NOW, 0), Ok(()));
    }
    let wait = transfers.start(4_000_000, at(200), 0).unwrap_err();
    assert_eq!(wait.as_millis(), 800);
    let later = transfers.start(4_000_000, at(200), 1_500).unwrap_err();
    assert_eq!(later.as_millis(), 2_300);
    assert_eq!(transfers.start(4_000_000, at(1_000), 0), Ok(()));
}

/// Guards against a configuration that all daemons of a zone read from the platform, or none.
#[test]
fn two_daemons_of_a_zone_read_and_isolated_ones_read_slowly() {
    let mut all = members(&(0..9).map(|n| (n, 1)).collect::<Vec<_>>());
    let roles = |all: &Members| {
        let role = |n| reader_role(all, &record(n, 1, 1));
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for role in (0..9).map(role) {
            let name = match role {
                ReaderRole::Watch => "watch",
                ReaderRole::Isolated => "isolated",
                ReaderRole::Idle => "idle",
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    };
    assert_eq!(roles(&all), BTreeMap::from([("watch", 2), ("idle", 7)]));
    all.reported_versions.clear();
    assert_eq!(roles(&all), BTreeMap::from([("isolated", 9)]));
    let alone = members(&[(0, 1)]);
    assert_eq!(reader_role(&alone, &record(0, 1, 1)), ReaderRole::Watch);
}

/// Guards against a version that does not spread without announcements, and against a member that
/// replaces its version by an older one.
#[test]
fn version_spreads_by_heartbeats_alone_and_never_reverts() {
    let mut fleet = Fleet::start(60, 3);
    fleet.put_in_force(11, 4);
    fleet.run_ms(6_000);
    assert_eq!(fleet.lagging(4), Vec::<&NodeId>::new());
    fleet.put_in_force(40, 5);
    fleet.put_in_force(41, 6);
    fleet.run_ms(6_000);
    assert_eq!(fleet.lagging(6), Vec::<&NodeId>::new());
    for member in fleet.members.values() {
        assert!(member.history.is_sorted(), "{:?}", member.history);
    }
}

/// Guards against a refusal that does not name the version and the fault.
#[test]
fn refusal_names_the_version_and_the_fault() {
    let mut bad = whole(9);
    bad.digest = Digest::of(b"other");
    let refusal = evaluate_update(None, Version::NONE, &Update::Whole(bad), NOW).unwrap_err();
    assert_eq!(
        refusal,
        UpdateRefusal::DigestMismatch {
            version: Version(9)
        }
    );
}
