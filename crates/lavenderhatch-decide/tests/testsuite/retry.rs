//! Retries, and the delays advised to refused callers.

use lavenderhatch_core::ErrorKind;
use lavenderhatch_decide::ranks::advise_delay_ms;
use lavenderhatch_decide::retry::{FailedAttempt, RetryCost, RetryTokens, retry_cost};
use rstest::rstest;

const MAX_ATTEMPTS: usize = 3;

/// A hop of a call chain.
#[derive(Default)]
struct Hop {
    budget: RetryTokens,
    /// Number of calls sent to the next hop.
    sent: u64,
}

/// Sends a call down a chain whose last hop refuses all calls. Returns whether the refusal says
/// that the retries are exhausted.
fn send(hops: &mut [Hop]) -> bool {
    let Some((hop, below)) = hops.split_first_mut() else {
        return false;
    };
    hop.budget = hop.budget.deposit(0.1);
    for _ in 0..MAX_ATTEMPTS {
        hop.sent += 1;
        let is_exhausted = send(below);
        let failure = FailedAttempt::from_error(ErrorKind::Overloaded, true, is_exhausted);
        if retry_cost(&failure) != Some(RetryCost::Token) {
            return true;
        }
        match hop.budget.withdraw() {
            Some(budget) => hop.budget = budget,
            None => return true,
        }
    }
    true
}

/// Guards against retries that multiply from hop to hop: with three attempts at each of 21 hops, a
/// call would be sent 3^21 times.
#[rstest]
#[case::single(1)]
#[case::deepest(21)]
fn retries_stay_within_the_budget_over_a_chain(#[case] depth: usize) {
    const CALLS: u64 = 10_000;
    let mut hops: Vec<Hop> = (0..depth).map(|_| Hop::default()).collect();
    for _ in 0..CALLS {
        send(&mut hops);
    }
    let last = hops.last().unwrap().sent;
    // The budget allows retries for a tenth of the calls, and ten more from its initial tokens.
    assert!(last <= CALLS + CALLS / 10 + 10, "{last}");
    assert!(last >= CALLS + CALLS / 11, "{last}");
    assert!(hops[..depth - 1].iter().all(|hop| hop.sent == CALLS));
}

/// Guards against a second run of an order, and against retries that cannot succeed.
#[rstest]
#[case::refused_order(ErrorKind::Overloaded, false, Some(RetryCost::Token))]
#[case::unreachable(ErrorKind::NoBackend, false, Some(RetryCost::Token))]
#[case::leaving(ErrorKind::Leaving, false, Some(RetryCost::Free))]
#[case::order_that_may_have_run(ErrorKind::OutcomeUnknown, false, None)]
#[case::read_that_may_have_run(ErrorKind::OutcomeUnknown, true, Some(RetryCost::Token))]
#[case::order_in_flight(ErrorKind::KeyInFlight, false, None)]
#[case::out_of_time(ErrorKind::DeadlinePassed, true, None)]
#[case::bad_request(ErrorKind::BadRequest, true, None)]
fn only_what_cannot_have_run_or_may_run_twice_is_retried(
    #[case] kind: ErrorKind,
    #[case] is_idempotent: bool,
    #[case] cost: Option<RetryCost>,
) {
    assert_eq!(
        retry_cost(&FailedAttempt::from_error(kind, is_idempotent, false)),
        cost
    );
    assert_eq!(
        retry_cost(&FailedAttempt::from_error(kind, is_idempotent, true)),
        None
    );
}

/// Guards against refused callers that are all advised to retry at the same time, or earlier than
/// they can be served.
#[test]
fn advice_spreads_retries_over_the_time_to_serve_them() {
    let delays: Vec<u64> = (0..3000).map(|n| advise_delay_ms(3000, 1200, n)).collect();
    let early = delays.iter().filter(|delay| **delay <= 1000).count();
    assert!(early <= 1200, "{early}");
    assert!(delays.iter().all(|delay| (1..=10_000).contains(delay)));
}
