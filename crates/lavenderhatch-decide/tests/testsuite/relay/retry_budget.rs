//! The budget for requests that are sent once more.

use lavenderhatch_decide::relay::RetryBudget;

/// Guards against retries above the shared ratio and allowance, over any stretch of requests.
#[test]
fn retries_stay_within_ratio_and_capacity() {
    let mut budget = RetryBudget::new(0.1, 4.0);
    let mut retries = 0;
    for _ in 0..1000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert!(retries <= 104, "{retries}");
    assert!(retries >= 100, "{retries}");
}

/// Guards against a budget that is empty at the start, when the number of daemons becomes known.
#[test]
fn a_full_budget_stays_full_when_its_capacity_grows() {
    let mut budget = RetryBudget::new(0.1, 1.0);
    budget.set_capacity(3.0);
    let granted = (0..5).filter(|_| budget.withdraw()).count();
    assert_eq!(granted, 3);
}
