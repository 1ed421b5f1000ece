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
