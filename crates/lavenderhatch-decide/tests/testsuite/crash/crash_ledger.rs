//! What daemons know of requests that ran while backend servers crashed.

use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::crash::{
    CRASHES_UNTIL_QUARANTINE, CrashId, CrashLedger, Fingerprint, MAX_CRASH_RECORDS,
};
use proptest::prelude::*;
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000_000);
const DEADLY: Fingerprint = Fingerprint(1);
/// Longer than any daemon remembers a crash.
const LONG: Duration = Duration::from_secs(3600);

fn crash(number: u64) -> CrashId {
    CrashId::of(&format!("i-{number}"), number)
}

fn is_quarantined(ledger: &CrashLedger, fingerprint: Fingerprint) -> bool {
    let mut records = ledger.records().into_iter();
    records.any(|record| record.fingerprint == fingerprint && record.is_quarantined())
}

fn merge_all(ledger: &mut CrashLedger, other: &CrashLedger, now: Timestamp) {
    for record in other.records() {
        ledger.merge(record, now);
    }
}

/// Guards against a request that is refused for one crash that several daemons report, and against
/// one that is never refused.
#[test]
fn crashes_of_different_incarnations_count() {
    let mut ledger = CrashLedger::default();
    for _ in 0..CRASHES_UNTIL_QUARANTINE {
        ledger.record_crash(DEADLY, crash(1), NOW);
    }
    assert!(!is_quarantined(&ledger, DEADLY));
    for number in 2..=CRASHES_UNTIL_QUARANTINE as u64 {
        assert!(!is_quarantined(&ledger, DEADLY));
        assert!(ledger.record_crash(DEADLY, crash(number), NOW));
    }
    assert!(is_quarantined(&ledger, DEADLY));
}

/// Load: a crash ends twelve requests at a time, one of which comes again and again while the others
/// are answered elsewhere. Guards against innocent requests that are refused.
#[test]
fn requests_that_are_answered_elsewhere_are_not_quarantined() {
    let mut ledger = CrashLedger::default();
    for number in 1..=6 {
        for popular in 2..12 {
            ledger.record_crash(Fingerprint(popular), crash(number), NOW);
            ledger.record_answer(Fingerprint(popular));
        }
        ledger.record_crash(DEADLY, crash(number), NOW);
    }
    let quarantined = (1..12).filter(|f| is_quarantined(&ledger, Fingerprint(*f)));
    assert_eq!(quarantined.collect::<Vec<_>>(), [DEADLY.0]);
}

/// Guards against a quarantine without end, which daemons with other clocks pass to and fro.
#[test]
fn an_expired_record_does_not_come_back_from_another_daemon() {
    let mut ledgers = [CrashLedger::default(), CrashLedger::default()];
    for number in 1..=3 {
        ledgers[0].record_crash(DEADLY, crash(number), NOW);
    }
    let other = ledgers[0].clone();
    merge_all(&mut ledgers[1], &other, NOW);
    assert!(is_quarantined(&ledgers[1], DEADLY));
    let later = NOW + LONG;
    assert!(ledgers[1].expire(later));
    assert_eq!(ledgers[1].digest(), 0);
    merge_all(&mut ledgers[1], &other, later);
    assert_eq!(ledgers[1].digest(), 0);
}

/// Guards against memory that grows with the crashes, and against a flood of suspects that ends a
/// quarantine.
#[rstest]
#[case::suspects(false)]
#[case::cleared(true)]
fn quarantined_requests_outlast_a_flood_of_others(#[case] are_cleared: bool) {
    let mut ledger = CrashLedger::default();
    for number in 1..=3 {
        ledger.record_crash(DEADLY, crash(number), NOW);
    }
    for other in 2..5_000 {
        let now = NOW + Duration::from_millis(other);
        ledger.record_crash(Fingerprint(other), crash(other), now);
        if are_cleared {
            ledger.record_answer(Fingerprint(other));
        }
    }
    assert!(ledger.records().len() <= MAX_CRASH_RECORDS);
    assert!(is_quarantined(&ledger, DEADLY));
    assert_eq!(ledger.records()[0].fingerprint, DEADLY);
}

/// Load: more requests in progress at crashes than a ledger keeps. Guards against daemons that keep
/// different ones, and then exchange all of them with each message.
#[test]
fn daemons_with_too_many_records_agree() {
    let mut ledgers = vec![CrashLedger::default(); 3];
    for request in 1..=4 * MAX_CRASH_RECORDS as u64 {
        let fingerprint = Fingerprint::of("GET", &format!("/{request}"), b"", b"");
        let ledger = &mut ledgers[request as usize % 3];
        let now = NOW + Duration::from_millis(request);
        ledger.record_crash(fingerprint, crash(request % 7), now);
    }
    for _ in 0..2 {
        for (at, from) in [(0, 1), (1, 2), (2, 0)] {
            let other = ledgers[from].clone();
            merge_all(&mut ledgers[at], &other, NOW);
        }
    }
    assert_eq!(ledgers[0].digest(), ledgers[1].digest());
    assert_eq!(ledgers[1].digest(), ledgers[2].digest());
}

proptest! {
    /// Guards against daemons that never agree, and exchange their records again and again.
    #[test]
    fn daemons_agree_whatever_the_order(
        events in prop::collection::vec((0usize..3, 1u64..5, 0u64..6, prop::bool::ANY), 0..40),
    ) {
        let mut ledgers = vec![CrashLedger::default(); 3];
        for (at, request, number, is_answer) in events {
            let request = Fingerprint(request);
            match is_answer {
                true => ledgers[at].record_answer(request),
                false => ledgers[at].record_crash(request, crash(number), NOW),
            };
        }
        let mut merged: Vec<CrashLedger> = Vec::new();
        for order in [[0, 1, 2], [2, 0, 1], [1, 2, 0]] {
            let mut ledger = CrashLedger::default();
            for at in order {
                merge_all(&mut ledger, &ledgers[at], NOW);
            }
            merged.push(ledger);
        }
        prop_assert!(merged.iter().all(|ledger| ledger.digest() == merged[0].digest()));
        let known = merged[0].clone();
        prop_assert!(known.records().iter().all(|record| !merged[1].merge(record, NOW)));
    }
}
