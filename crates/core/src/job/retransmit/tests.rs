use super::*;

fn timer_after(answer_times: impl IntoIterator<Item = u64>) -> RetransmitTimer {
    let mut timer = RetransmitTimer::default();
    answer_times.into_iter().for_each(|ms| timer.record(Span(ms)));
    timer
}

#[test]
fn a_call_to_a_quick_service_is_sent_again_soon() {
    assert_eq!(timer_after([4; 20]).timeout(), MIN_TIMEOUT);
}

#[test]
fn a_service_that_becomes_slow_is_given_more_time_after_one_answer() {
    let timer = timer_after([4; 20].into_iter().chain([200]));

    assert!(timer.timeout() >= Span(200), "{}", timer.timeout());
}

#[test]
fn answers_of_equal_length_are_waited_for_in_the_end() {
    assert_eq!(timer_after([200; 60]).timeout(), Span(200));
}

#[test]
fn the_timeout_is_bounded() {
    assert_eq!(timer_after([5_000; 20]).timeout(), MAX_TIMEOUT);
    assert_eq!(RetransmitTimer::default().timeout(), INITIAL_TIMEOUT);
}

/// Returns the order of answers to calls, each given by when it was sent and answered, in milliseconds.
fn order_after(answers: &[(u64, u64)]) -> AnswerOrder {
    let mut order = AnswerOrder::default();
    for &(sent, now) in answers {
        order.record(Timestamp(sent), Timestamp(now));
    }
    order
}

#[test]
fn a_call_waits_in_the_link_while_those_before_it_are_answered() {
    let order = order_after(&[(1_000, 1_190), (1_010, 1_200)]);

    assert!(order.may_wait_in_link(Timestamp(1_020), Timestamp(1_250)));
}

#[test]
fn a_call_that_a_later_one_has_overtaken_is_sent_again() {
    let order = order_after(&[(1_000, 1_190), (1_060, 1_200)]);

    assert!(!order.may_wait_in_link(Timestamp(1_020), Timestamp(1_201)));
}

#[test]
fn a_call_is_sent_again_once_no_answers_come_any_more() {
    let order = order_after(&[(1_000, 1_005), (1_010, 1_015)]);

    assert!(!order.may_wait_in_link(Timestamp(1_015), Timestamp(1_075)));
    assert!(!AnswerOrder::default().may_wait_in_link(Timestamp(1_000), Timestamp(1_060)));
}

/// Guards against a lost call that is never sent again while a busy link goes on with those before it.
#[test]
fn no_call_is_waited_for_longer_than_the_longest_timeout() {
    let order = order_after(&[(1_000, 1_510)]);

    assert!(!order.may_wait_in_link(Timestamp(1_010), Timestamp(1_010) + MAX_TIMEOUT));
}
