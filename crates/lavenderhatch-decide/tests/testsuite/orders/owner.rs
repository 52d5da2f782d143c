//! The owner of a claim range, driven step by step.

use std::collections::BTreeSet;
use std::time::Duration;

use lavenderhatch_core::member::Members;
use lavenderhatch_core::{Digest, Incarnation, MemberState, Timestamp};
use lavenderhatch_decide::message::{Claim, ClaimVerdict, OutcomeRecord, RecordedOutcome};
use lavenderhatch_decide::orders::{
    CommitResult, OwnerView, RangeId, RangeOwner, RangeOwners, RangeSnapshot, RangeStep, key_hash,
};
use rstest::rstest;

use super::members::{node_id, put_member};
use super::store::Store;

const HOUR_MS: u64 = 3_600_000;
const RETENTION: Duration = Duration::from_secs(24 * 3600);

fn outcome() -> RecordedOutcome {
    RecordedOutcome {
        status: 201,
        body_digest: Digest::default(),
    }
}

fn members(states: &[(&str, MemberState)]) -> Members {
    let mut members = Members::default();
    for (id, state) in states {
        put_member(&mut members, id, 1, *state);
    }
    members
}

fn claim(key: &str, executor: &str, attempt: u64) -> Claim {
    Claim {
        key_hash: key_hash(key),
        request_digest: Digest::of(b"request"),
        executor: node_id(executor),
        incarnation: Incarnation(1),
        attempt,
    }
}

fn outcome_record(claim: &Claim, outcome: Option<RecordedOutcome>) -> OutcomeRecord {
    OutcomeRecord {
        key_hash: claim.key_hash,
        executor: claim.executor.clone(),
        incarnation: claim.incarnation,
        attempt: claim.attempt,
        outcome,
    }
}

/// A range owner with a simulated clock and the members that it knows.
struct OwnerHarness {
    owner: RangeOwner<u64>,
    members: Members,
    now: u64,
    owned_since: Option<u64>,
    writes: usize,
}

impl OwnerHarness {
    fn new(node: &str) -> Self {
        Self {
            owner: RangeOwner::new(node_id(node), Incarnation(1), 0),
            members: members(&[("n1", MemberState::Serving), ("n2", MemberState::Failed)]),
            now: 1_000_000,
            owned_since: Some(0),
            writes: 0,
        }
    }

    fn with_owner<T>(&mut self, act: impl FnOnce(&mut RangeOwner<u64>, &OwnerView<'_>) -> T) -> T {
        let view = OwnerView {
            now: Timestamp(self.now),
            retention: RETENTION,
            members: &self.members,
            owned_since: self.owned_since.map(Timestamp),
        };
        act(&mut self.owner, &view)
    }

    fn next_step(&mut self) -> Option<RangeStep> {
        self.with_owner(|owner, cx| owner.next_step(cx))
    }

    /// Advances the clock by `span_ms` and makes all platform requests that are due meanwhile.
    fn run(&mut self, store: &mut Store, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now <= end {
            match self.next_step() {
                None => self.now += 10,
                Some(RangeStep::Load { held }) => {
                    let snapshot = store.read(&held);
                    self.with_owner(|owner, cx| owner.handle_load_result(Some(snapshot), cx));
                }
                Some(RangeStep::Commit(commit)) => {
                    self.writes += 1;
                    let result = store.write(&commit);
                    self.with_owner(|owner, cx| owner.handle_commit_result(result, cx));
                }
            }
        }
    }

    fn submit(&mut self, claim: &Claim) {
        let attempt = claim.attempt;
        self.with_owner(|owner, cx| owner.claim(claim.clone(), attempt, cx));
    }

    /// Submits a claim and returns its verdict, after the platform requests that it needs.
    fn verdict(&mut self, store: &mut Store, claim: &Claim) -> Option<ClaimVerdict> {
        self.submit(claim);
        self.run(store, 600);
        self.owner.take_verdicts().pop().map(|(_, verdict)| verdict)
    }
}

/// Guards against a grant for a key that another attempt has claimed, and against "unknown" for a
/// key whose executor is still running. Checks both an owner that has the claim in memory and one
/// that has taken over the range.
#[rstest]
#[case::same_attempt("n1", None, claim("k", "n1", 1), ClaimVerdict::Granted)]
#[case::executor_lives("n1", None, claim("k", "n3", 2), ClaimVerdict::InFlight)]
#[case::executor_failed("n2", None, claim("k", "n3", 2), ClaimVerdict::Unknown)]
#[case::ran(
    "n2",
    Some(Some(outcome())),
    claim("k", "n3", 2),
    ClaimVerdict::Recorded(outcome())
)]
#[case::released("n1", Some(None), claim("k", "n3", 2), ClaimVerdict::Granted)]
#[case::other_body(
    "n1", None, Claim { request_digest: Digest::of(b"x"), ..claim("k", "n3", 2) },
    ClaimVerdict::Conflict
)]
fn second_claim_of_a_key(
    #[case] executor: &str,
    #[case] end: Option<Option<RecordedOutcome>>,
    #[case] second: Claim,
    #[case] expected: ClaimVerdict,
    #[values(false, true)] is_taken_over: bool,
) {
    let (mut harness, mut store) = (OwnerHarness::new("n0"), Store::default());
    let first = claim("k", executor, 1);
    let granted = harness.verdict(&mut store, &first);
    assert_eq!(granted, Some(ClaimVerdict::Granted));
    if let Some(outcome) = end {
        // An outcome reported by another attempt has no effect.
        let stale = outcome_record(&claim("k", executor, 9), None);
        harness.with_owner(|owner, cx| owner.record_outcome(&stale, cx));
        harness.with_owner(|owner, cx| owner.record_outcome(&outcome_record(&first, outcome), cx));
        harness.run(&mut store, 5000);
    }
    if is_taken_over {
        harness = OwnerHarness::new("n4");
    }
    assert_eq!(harness.verdict(&mut store, &second), Some(expected));
}

/// Guards against a verdict of "not run" while a write that holds the claim may still take effect,
/// and against "unknown" once the head has changed and the write can no longer take effect.
#[rstest]
#[case::head_unchanged(false, ClaimVerdict::Unknown)]
#[case::head_moved_on(true, ClaimVerdict::Unavailable)]
fn lost_answer_is_uncertain_until_the_head_moves(
    #[case] is_moved: bool,
    #[case] expected: ClaimVerdict,
) {
    let (mut harness, mut store) = (OwnerHarness::new("n0"), Store::default());
    harness.run(&mut store, 100);
    harness.submit(&claim("k", "n1", 1));
    assert!(matches!(harness.next_step(), Some(RangeStep::Commit(_))));
    harness.with_owner(|owner, cx| owner.handle_commit_result(CommitResult::AnswerLost, cx));
    if is_moved {
        let other = OwnerHarness::new("n4").verdict(&mut store, &claim("other", "n1", 2));
        assert_eq!(other, Some(ClaimVerdict::Granted));
    }
    harness.now += 300;
    let Some(RangeStep::Load { held }) = harness.next_step() else {
        panic!("the log is not read back");
    };
    let snapshot = store.read(&held);
    harness.with_owner(|owner, cx| owner.handle_load_result(Some(snapshot), cx));
    harness.now += 300;
    assert!(matches!(harness.next_step(), Some(RangeStep::Commit(_))));
    harness.with_owner(|owner, cx| owner.handle_commit_result(CommitResult::Unavailable, cx));
    assert_eq!(harness.owner.take_verdicts(), [(1, expected)]);
}

/// Guards against a verdict of "not run" from a daemon that may have missed an earlier claim of the
/// key, because it could not read the log, is not the owner, or read the log before it became the
/// owner.
#[rstest]
#[case::owner(true, Some(0), ClaimVerdict::Unavailable)]
#[case::log_not_read(false, Some(0), ClaimVerdict::Unknown)]
#[case::not_owner(true, None, ClaimVerdict::Unknown)]
#[case::owner_after_reading(true, Some(1_000_100), ClaimVerdict::Unknown)]
fn refusal_in_an_outage(
    #[case] is_read: bool,
    #[case] owned_since: Option<u64>,
    #[case] expected: ClaimVerdict,
) {
    let mut harness = OwnerHarness::new("n0");
    harness.owned_since = owned_since;
    harness.submit(&claim("k", "n1", 1));
    assert!(matches!(harness.next_step(), Some(RangeStep::Load { .. })));
    let snapshot = is_read.then(RangeSnapshot::default);
    harness.with_owner(|owner, cx| owner.handle_load_result(snapshot, cx));
    if harness.next_step().is_some() {
        harness.with_owner(|owner, cx| owner.handle_commit_result(CommitResult::Unavailable, cx));
    }
    assert_eq!(harness.owner.take_verdicts(), [(1, expected)]);
}

/// Guards against more than four commits a second, and against a commit that exceeds the platform's
/// limit for the size of a value.
#[test]
fn claims_share_commits() {
    let (mut harness, mut store) = (OwnerHarness::new("n0"), Store::default());
    harness.run(&mut store, 100);
    for attempt in 0..2500 {
        harness.submit(&claim(&attempt.to_string(), "n1", attempt));
    }
    harness.run(&mut store, 700);
    assert_eq!(harness.owner.take_verdicts().len(), 2500);
    assert_eq!(harness.writes, 3);
    for attempt in 2500..2600 {
        harness.submit(&claim(&attempt.to_string(), "n1", attempt));
        harness.run(&mut store, 10);
    }
    assert!(harness.writes <= 3 + 9, "{} writes", harness.writes);
}

/// Guards against claims that are kept for ever, and against an owner that takes over a range
/// without its sealed segments.
#[test]
fn claims_are_kept_for_the_retention() {
    let (mut harness, mut store) = (OwnerHarness::new("n0"), Store::default());
    for attempt in 0..3000 {
        harness.submit(&claim(&attempt.to_string(), "n1", attempt));
        harness.run(&mut store, 1);
    }
    harness.run(&mut store, 1000);
    assert_eq!(harness.owner.take_verdicts().len(), 3000);
    let mut next = OwnerHarness::new("n4");
    next.now = harness.now + 23 * HOUR_MS;
    let again = next.verdict(&mut store, &claim("0", "n1", 9000));
    assert_eq!(again, Some(ClaimVerdict::InFlight));
    assert_eq!(next.owner.claim_count(), 3000);
    next.now = harness.now + 25 * HOUR_MS;
    let again = next.verdict(&mut store, &claim("0", "n1", 9000));
    assert_eq!(again, Some(ClaimVerdict::Granted));
    assert_eq!(next.owner.claim_count(), 1);
    assert!(store.read(&[]).segments.is_empty());
}

/// Guards against daemons that name different owners although they know the same members, and
/// against ranges that change their owner when an unrelated member fails.
#[test]
fn failed_member_moves_only_its_own_ranges() {
    let names: Vec<String> = (0..20).map(|n| format!("n{n}")).collect();
    let mut states: Vec<(&str, MemberState)> = names
        .iter()
        .map(|name| (name.as_str(), MemberState::Serving))
        .collect();
    let before = RangeOwners::from_members(&members(&states));
    states.reverse();
    assert_eq!(before, RangeOwners::from_members(&members(&states)));
    states[0].1 = MemberState::Failed;
    let after = RangeOwners::from_members(&members(&states));
    let failed = node_id(states[0].0);
    let mut owners = BTreeSet::new();
    for range in RangeId::all() {
        let old = before.candidates(range);
        owners.insert(old[0].clone());
        let expected = if old[0] == failed { &old[1] } else { &old[0] };
        assert!(after.is_owner(range, expected));
    }
    assert!(owners.len() > 10, "{} owners", owners.len());
}
