use super::*;

const VALID_UNTIL: Timestamp = Timestamp(10_000);

/// No confirmation that the store is away.
const NONE: Timestamp = Timestamp(0);

#[test]
fn an_owner_may_act_until_its_lease_expires() {
    assert!(!is_permission_over(VALID_UNTIL, NONE, VALID_UNTIL));
    assert!(is_permission_over(VALID_UNTIL, NONE, VALID_UNTIL + Span(1)));
}

/// Guards against a process that was paused and goes on with what others allowed it before.
#[test]
fn a_confirmation_from_before_a_pause_allows_nothing_after_it() {
    let confirmed = VALID_UNTIL;

    let soon = confirmed + OUTAGE_CONFIRMATION_TTL;
    let after_pause = confirmed + Span(4_000);

    assert!(!is_permission_over(VALID_UNTIL, confirmed, soon));
    assert!(is_permission_over(VALID_UNTIL, confirmed, after_pause));
}
