use proptest::prelude::*;

use super::*;

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent() {
    let allowed = |failure, idempotent| {
        may_retry(failure, idempotent, Timestamp(100), Span(10), Timestamp(0))
    };

    assert!(allowed(Failure::NotRun, false));
    assert!(!allowed(Failure::Unknown, false));
    assert!(allowed(Failure::Unknown, true));
}

#[test]
fn no_retry_is_made_that_could_not_end_before_the_deadline() {
    assert!(!may_retry(Failure::NotRun, true, Timestamp(100), Span(10), Timestamp(90)));
}

proptest! {
    #[test]
    fn retries_add_at_most_a_tenth_to_the_load_while_every_attempt_fails(
        idle_requests in 0..10_000_u32, offered in 200..5_000_u32,
    ) {
        let mut budget = RetryBudget::default();
        (0..idle_requests).for_each(|_| budget.deposit());
        let mut retries = 0;
        for _ in 0..offered {
            budget.deposit();
            while budget.withdraw() {
                retries += 1;
            }
        }
        prop_assert!(retries <= offered / 10 + 10);
    }
}
