use super::*;

const NOW: Timestamp = Timestamp(10_000);

fn inquiry(time_left: Span) -> Inquiry {
    Inquiry::new(&Operation::Cancel, NOW, NOW + time_left)
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

#[test]
fn a_request_with_little_time_left_that_had_no_effect_is_refused_and_not_left_uncertain() {
    let mut inquiry = inquiry(Span(140));

    let step = inquiry.on_reply(Reply::NotOwner, NOW + Span(60));

    let refusal = Reply::Refused { retry_after: OWNERLESS_RETRY_AFTER };
    assert_eq!(step, NextStep::Answer(refusal));
}

#[test]
fn a_caller_with_little_time_left_leaves_most_of_it_to_the_owner() {
    let inquiry = inquiry(Span(140));

    assert!(inquiry.deadline >= NOW + Span(100), "{:?}", inquiry.deadline);
}

#[test]
fn a_refusal_is_not_passed_on_while_an_earlier_try_may_still_take_effect() {
    let mut inquiry = inquiry(Span(3_000));
    let refusal = Reply::Refused { retry_after: Span(1_000) };

    inquiry.on_reply(Reply::Uncertain, NOW);
    let step = inquiry.on_reply(refusal, NOW + Span(100));

    assert_eq!(step, NextStep::RetryAt(NOW + Span(1_100)));
}

#[test]
fn a_caller_does_not_wait_for_an_owner_that_will_not_serve_within_its_time() {
    let mut inquiry = inquiry(Span(3_000));
    let refusal = Reply::Refused { retry_after: Span(4_000) };

    inquiry.on_reply(Reply::Uncertain, NOW);
    let step = inquiry.on_reply(refusal, NOW + Span(100));

    assert_eq!(step, NextStep::Answer(Reply::Uncertain));
}

#[test]
fn a_cell_in_a_long_recovery_refuses_at_once_and_expects_to_need_as_long_again() {
    let replies = [100, 400, 2_500].map(|ms| reply_while_recovering(Span(ms)));

    let refused = |ms| Reply::Refused { retry_after: Span(ms) };
    assert_eq!(replies, [Reply::NotOwner, refused(1_000), refused(2_500)]);
}

#[test]
fn a_query_whose_answer_is_lost_is_refused_at_once() {
    let mut inquiry = Inquiry::new(&Operation::State, NOW, NOW + Span(3_000));

    let step = inquiry.on_reply(Reply::Uncertain, NOW + Span(1_500));

    let refusal = Reply::Refused { retry_after: OWNERLESS_RETRY_AFTER };
    assert_eq!(step, NextStep::Answer(refusal));
}
