//! The parts that decide on rollouts, one by one.

use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::distribution::HistoryPosition;
use lavenderhatch_decide::rollout::{
    AdmissionRule, BaseVersions, ExposureBounds, ExposureLedger, LeaseObserver, RecordedVersion,
    Stage, VersionReport, candidates,
};

const NOW: Timestamp = Timestamp(50_000);

/// Guards against a lease that a delayed message or a restarted daemon extends.
#[test]
fn lease_ends_on_the_clock_of_the_daemon_and_with_its_process() {
    let bounds = ExposureBounds {
        share: 0.1,
        slack: 50.0,
    };
    let mut ledger = ExposureLedger::new(bounds, 0);
    ledger.set_reserved(100);
    let report = VersionReport {
        epoch: 7,
        now: NOW,
        admitted: 3,
        ..VersionReport::default()
    };
    ledger.record("a", &report);
    ledger.grant("a", 5, Stage::Canary, 0);
    let lease = ledger.lease("a", &report).unwrap();
    let rule = AdmissionRule::Limited(lease);
    assert!(rule.admits(7, NOW));
    assert!(!rule.admits(8, NOW));
    assert!(!rule.admits(3, NOW + Duration::from_secs(3)));
    let restarted = VersionReport { epoch: 8, ..report };
    ledger.record("a", &restarted);
    assert_eq!(ledger.granted(), 5, "what the earlier process got counts");
    assert!(ledger.lease("a", &restarted).unwrap().epoch == 8);
}

/// Guards against grants beyond what the store has reserved for a successor.
#[test]
fn grants_stay_within_the_reservation() {
    let bounds = ExposureBounds {
        share: 0.1,
        slack: 50.0,
    };
    let mut ledger = ExposureLedger::new(bounds, 4);
    ledger.record("a", &VersionReport::default());
    ledger.grant("a", 100, Stage::Growing, 10_000);
    assert_eq!(ledger.granted(), 4);
    ledger.set_reserved(9);
    ledger.grant("a", 100, Stage::Growing, 10_000);
    assert_eq!(ledger.granted(), 9);
}

/// Guards against a lease that ends by the clock of another machine, or that never ends.
#[test]
fn leader_has_gone_once_its_object_has_not_changed_for_the_length_of_the_lease() {
    let length = Duration::from_secs(3);
    let mut observer = LeaseObserver::default();
    assert!(!observer.has_ended(length, NOW));
    let position = |revision| HistoryPosition { era: 1, revision };
    observer.observe(position(1), NOW);
    observer.observe(position(2), NOW + Duration::from_secs(2));
    assert!(!observer.has_ended(length, NOW + Duration::from_secs(4)));
    observer.observe(position(2), NOW + Duration::from_secs(4));
    assert!(observer.has_ended(length, NOW + Duration::from_secs(5)));
}

/// Guards against requests to a version without an order, before and after a start.
#[test]
fn version_without_an_order_gets_no_requests() {
    let record = |version, at| RecordedVersion {
        service: "orders",
        version,
        recorded: (1, at),
    };
    let mut bases = BaseVersions::default();
    let mixed = bases.update([record("v2", 9), record("v1", 4), record("", 1)].into_iter());
    assert!(mixed.contains("orders"));
    assert_eq!(bases.of("orders"), Some("v1"));
    let mixed = bases.update([record("v2", 2)].into_iter());
    assert!(mixed.contains("orders"), "the version used before counts");
    assert_eq!(bases.of("orders"), Some("v1"));
    let rule = AdmissionRule::of("v2", Some("v1"), None, None);
    assert!(!rule.admits(0, NOW));
    assert!(AdmissionRule::of("", Some("v1"), None, None).admits(0, NOW));
    assert!(AdmissionRule::of("v1", None, None, None).admits(0, NOW));
}

/// Guards against daemons that disagree on who watches for orders, and against a change of all of
/// them when one daemon leaves.
#[test]
fn candidates_are_the_same_for_all_and_change_one_by_one() {
    let names: Vec<String> = (0..72).map(|at| format!("d{at}")).collect();
    let all = || names.iter().map(String::as_str);
    let chosen = candidates(all(), 5);
    assert_eq!(chosen, candidates(all().rev(), 5));
    let without = candidates(all().filter(|name| *name != chosen[0]), 5);
    assert_eq!(without[..4], chosen[1..]);
}
