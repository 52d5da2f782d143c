//! Retry budget of the event-driven request path.

use lavenderhatch_decide::relay::RetryBudget;

/// Guards against retries that exceed the ratio and the capacity of the budget.
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

/// Guards against an empty budget after startup, when the number of daemons becomes known and the
/// capacity grows.
#[test]
fn a_full_budget_stays_full_when_its_capacity_grows() {
    let mut budget = RetryBudget::new(0.1, 1.0);
    budget.set_capacity(3.0);
    let granted = (0..5).filter(|_| budget.withdraw()).count();
    assert_eq!(granted, 3);
}
