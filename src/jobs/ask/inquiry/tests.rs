use super::*;

const NOW: Timestamp = Timestamp(10_000);

fn inquiry(time_left: Span) -> Inquiry {
    Inquiry::new(NOW, NOW + time_left)
}

#[test]
fn a_request_that_found_no_owner_is_retried_and_then_refused() {
    let mut inquiry = inquiry(Span(3_000));

    let first = inquiry.on_reply(Reply::NotOwner, NOW);
    let last = inquiry.on_reply(Reply::NotOwner, NOW + OWNERLESS_TIMEOUT);

    let refusal = Reply::Refused { retry_after: OWNERLESS_RETRY_AFTER };
    assert_eq!(first, NextStep::RetryAt(NOW + RETRY_PAUSE));
    assert_eq!(last, NextStep::Answer(refusal));
}

#[test]
fn a_request_that_may_have_taken_effect_is_not_refused_for_want_of_an_owner() {
    let mut inquiry = inquiry(Span(3_000));

    let first = inquiry.on_reply(Reply::Uncertain, NOW);
    let later = inquiry.on_reply(Reply::NotOwner, NOW + OWNERLESS_TIMEOUT);

    assert_eq!(first, NextStep::RetryAt(NOW + RETRY_PAUSE));
    assert!(matches!(later, NextStep::RetryAt(_)), "{later:?}");
}
