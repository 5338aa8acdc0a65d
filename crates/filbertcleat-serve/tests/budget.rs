//! The retry budget of a service.

mod support;

use filbertcleat_serve::RetryBudget;

use self::support::at;

/// Takes retries until the budget is exhausted and returns their number.
fn drain(budget: &mut RetryBudget, now: u64, entries: Option<u32>) -> u32 {
    let mut taken = 0;
    while budget.try_take(at(now), entries) {
        taken += 1;
    }
    taken
}

#[test]
fn entries_share_the_grant() {
    // Four entries with 100 requests each may retry at most 0.2 * 400 + 54 times in total.
    let mut sum = 0;
    for _ in 0..4 {
        let mut budget = RetryBudget::new(0.2, 54.0, 10_000);
        (0..100).for_each(|_| budget.record_request(at(1_000)));
        sum += drain(&mut budget, 1_000, Some(4));
    }

    assert!(sum <= 134, "{sum} retries");
    assert!(sum >= 67, "{sum} retries leave half of the grant unused");
}

#[test]
fn unknown_entries_spend_little() {
    let mut budget = RetryBudget::new(0.2, 54.0, 10_000);

    assert!(drain(&mut budget, 0, None) <= 3);
}

#[test]
fn retries_leave_window() {
    let mut budget = RetryBudget::new(0.0, 10.0, 10_000);
    let first = drain(&mut budget, 0, Some(1));
    assert!(first > 0);

    assert_eq!(drain(&mut budget, 10_000, Some(1)), 0);
    assert_eq!(drain(&mut budget, 10_001, Some(1)), first);
}
