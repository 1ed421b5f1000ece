use super::*;

const LONGEST_LEASE: Span = Span(10_300);

/// When the owner learned of the instance.
const FOUND: Timestamp = Timestamp(100_000);

#[test]
fn a_call_that_was_sent_before_the_instance_was_found_may_be_followed_by_others() {
    let mut lease = StrayLease::open(FOUND);
    let answer = |sent: u64, now: u64| (Timestamp(FOUND.0 + sent - 50), Timestamp(FOUND.0 + now));

    let found = lease.on_answer(5, answer(40, 0), LONGEST_LEASE);
    let overtaken = lease.on_answer(5, answer(50, 30), LONGEST_LEASE);
    let (expiry_before, was_final) = (lease.expiry(), lease.is_final());
    let outranking = lease.on_answer(5, answer(51, 60), LONGEST_LEASE);
    let later = lease.on_answer(5, answer(200, 400), LONGEST_LEASE);

    assert!(found && overtaken && outranking && !later);
    assert_eq!(expiry_before, FOUND + LATE_CALL_LIFETIME + LONGEST_LEASE);
    assert!(!was_final);
    assert_eq!(lease.expiry(), FOUND + Span(60) + LONGEST_LEASE);
    assert!(lease.is_final());
}

#[test]
fn a_worker_of_which_no_other_instance_was_called_has_the_leases_of_its_owner() {
    let mut lease = StrayLease::NONE;

    let has_changed = lease.on_answer(5, (FOUND, FOUND + Span(2)), LONGEST_LEASE);

    assert!(!has_changed);
    assert_eq!(lease.expiry(), Timestamp(0));
}
