//! The execution table of a daemon.

use lavenderhatch_core::call::CallResponse;
use lavenderhatch_core::{Digest, ErrorKind, Incarnation};
use lavenderhatch_decide::message::RecordedOutcome;
use lavenderhatch_decide::orders::{
    AttemptResult, BeginResult, ExecutionTable, IssuedKey, KeyOrigin, RECORDED_HEADER, key_hash,
    recorded_answer, request_digest,
};
use rstest::rstest;

use super::members::node_id;

const ISSUED: u64 = 1 << 22;

fn table() -> ExecutionTable {
    ExecutionTable::new(node_id("n0"), Incarnation(7))
}

fn answer(body: &[u8]) -> CallResponse {
    let body_digest = Digest::of(body);
    let mut answer = recorded_answer(&RecordedOutcome {
        status: 201,
        body_digest,
    });
    answer.headers.clear();
    answer.body = body.to_vec();
    answer
}

fn begin(table: &mut ExecutionTable, seq: u64, attempt: u64) -> BeginResult {
    let request = request_digest("POST", "/orders", b"one");
    table.begin(
        key_hash(&seq.to_string()),
        request,
        KeyOrigin::Issued(seq),
        attempt,
        ISSUED,
    )
}

fn kind(begin: BeginResult) -> Option<ErrorKind> {
    match begin {
        BeginResult::Answer(answer) => answer.err().map(|err| err.kind()),
        _ => None,
    }
}

/// Guards against an order that runs again although its first attempt ran, is running or has an
/// unknown outcome, and against one that cannot run again after "not run".
#[rstest]
#[case::running(None, Some(ErrorKind::KeyInFlight))]
#[case::unknown(Some(AttemptResult::Unknown), Some(ErrorKind::OutcomeUnknown))]
#[case::not_run(Some(AttemptResult::NotRun), None)]
#[case::ran(Some(AttemptResult::Ran(answer(b"ok"))), None)]
fn second_call_with_a_key(#[case] end: Option<AttemptResult>, #[case] expected: Option<ErrorKind>) {
    let mut table = table();
    assert_eq!(begin(&mut table, 5, 1), BeginResult::Run);
    let has_run = matches!(end, Some(AttemptResult::Ran(_)));
    let is_free = end == Some(AttemptResult::NotRun);
    if let Some(end) = end {
        table.finish(key_hash("5"), 1, end);
    }
    // The result of another attempt must not change the state of this one.
    assert_eq!(table.finish(key_hash("5"), 99, AttemptResult::NotRun), None);
    let second = begin(&mut table, 5, 2);
    if has_run {
        let BeginResult::Answer(recorded) = second else {
            panic!("ran again")
        };
        let recorded = recorded.unwrap();
        assert_eq!((recorded.status, &recorded.body[..]), (201, &b"ok"[..]));
        assert_eq!(recorded.headers[0].name, RECORDED_HEADER);
        return;
    }
    assert_eq!(second == BeginResult::Run, is_free);
    assert_eq!(kind(second), expected);
}

/// Guards against an order that runs again after its entry was evicted for later ones, and against
/// a recorded answer without its body that is marked as whole.
#[rstest]
#[case::within_memory(1_000, None)]
#[case::body_dropped(10_000, None)]
#[case::entry_dropped(30_000, Some(ErrorKind::OutcomeUnknown))]
#[case::beyond_window(1 << 21, Some(ErrorKind::OutcomeUnknown))]
fn old_issued_key_never_runs_again(#[case] later: u64, #[case] expected: Option<ErrorKind>) {
    let mut table = table();
    let body = vec![b'x'; 1024];
    // Using only the last keys is enough to advance the window.
    for seq in [0]
        .into_iter()
        .chain(later.saturating_sub(30_000) + 1..=later)
    {
        assert_eq!(begin(&mut table, seq, seq + 1), BeginResult::Run);
        let end = AttemptResult::Ran(answer(&body));
        table.finish(key_hash(&seq.to_string()), seq + 1, end);
    }
    let again = begin(&mut table, 0, later + 2);
    assert_ne!(again, BeginResult::Run);
    if let BeginResult::Answer(recorded) = &again
        && let Ok(recorded) = &**recorded
    {
        let is_whole = recorded.headers[0].value == "whole";
        assert_eq!(is_whole, later == 1_000);
        assert_eq!(recorded.body.len(), if is_whole { 1024 } else { 0 });
    }
    assert_eq!(kind(again), expected);
}

/// Guards against an order with a key that was never issued, and against one key for two different
/// requests.
#[test]
fn key_that_was_never_issued_and_other_body_are_refused() {
    let mut table = table();
    assert_eq!(
        kind(begin(&mut table, ISSUED, 1)),
        Some(ErrorKind::BadRequest)
    );
    assert_eq!(begin(&mut table, 1, 2), BeginResult::Run);
    let other = request_digest("POST", "/orders", b"two");
    let second = table.begin(key_hash("1"), other, KeyOrigin::Issued(1), 3, ISSUED);
    assert_eq!(kind(second), Some(ErrorKind::KeyConflict));
}

/// Guards against two spellings of one issued key, and against a malformed issued key that counts
/// as chosen by the caller.
#[rstest]
#[case("lh1.n0.7.12", true)]
#[case("lh1.n0.7.012", false)]
#[case("lh1.n0.+7.12", false)]
#[case("lh1.n0.7", false)]
#[case("lh1.N0.7.1", false)]
#[case("lh1.n0.7.1.2", false)]
fn issued_key_has_one_spelling(#[case] text: &str, #[case] is_valid: bool) {
    assert_eq!(IssuedKey::parse(text).is_ok(), is_valid);
    assert_eq!(IssuedKey::parse("invoice-7"), Ok(None));
}
