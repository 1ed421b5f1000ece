use super::*;

const PRIOR: OrderRate = OrderRate(100);

/// Lets answers come at this rate for a time, with starts held back or not.
fn pass(meter: &mut OrderMeter, from: Timestamp, ms: u64, per_s: u64, is_held: bool) -> Timestamp {
    meter.note(is_held, from);
    for tick in 1..=ms / 10 {
        let answers = tick * 10 * per_s / 1_000 - (tick - 1) * 10 * per_s / 1_000;
        (0..answers).for_each(|_| meter.count_answer());
        meter.note(is_held, from + Span(tick * 10));
    }
    from + Span(ms)
}

#[test]
fn answers_of_a_time_without_starts_held_back_show_no_low_rate() {
    let mut meter = OrderMeter::new(PRIOR);

    let now = pass(&mut meter, Timestamp(1_000), 4_000, 10, false);

    assert_eq!(meter.rate(now), PRIOR);
}

#[test]
fn a_node_slower_than_its_resources_is_measured_while_starts_are_held_back() {
    let mut meter = OrderMeter::new(PRIOR);

    let now = pass(&mut meter, Timestamp(1_000), 1_000, 40, true);

    assert_eq!(meter.rate(now), OrderRate(40));
}

#[test]
fn a_node_that_has_become_slow_is_measured_anew_within_the_measured_time() {
    let mut meter = OrderMeter::new(PRIOR);
    let now = pass(&mut meter, Timestamp(1_000), 10_000, 200, true);

    let now = pass(&mut meter, now, 2_100, 20, true);

    assert!(meter.rate(now) <= OrderRate(30), "{}", meter.rate(now));
}

#[test]
fn a_node_that_does_more_than_expected_counts_with_what_it_does() {
    let mut meter = OrderMeter::new(PRIOR);

    let now = pass(&mut meter, Timestamp(1_000), 4_000, 300, false);

    let rate = meter.rate(now).0;
    assert!((270..=300).contains(&rate), "{rate}");
}

#[test]
fn a_moment_with_starts_held_back_shows_no_rate() {
    let mut meter = OrderMeter::new(PRIOR);

    let now = pass(&mut meter, Timestamp(1_000), 400, 10, true);

    assert_eq!(meter.rate(now), PRIOR);
}

#[test]
fn moments_in_which_nothing_is_held_back_do_not_lower_the_rate() {
    let mut meter = OrderMeter::new(PRIOR);
    let mut now = Timestamp(1_000);

    for _ in 0..20 {
        now = pass(&mut meter, now, 100, 60, true);
        now = pass(&mut meter, now, 100, 0, false);
    }

    let rate = meter.rate(now).0;
    assert!((55..=65).contains(&rate), "{rate}");
}

#[test]
fn a_node_that_was_slow_is_tried_again_once_nothing_is_held_back() {
    let mut meter = OrderMeter::new(PRIOR);
    let now = pass(&mut meter, Timestamp(1_000), 4_000, 40, true);

    let now = pass(&mut meter, now, 4_000, 0, false);

    assert_eq!(meter.rate(now), PRIOR);
}

#[test]
fn a_node_faster_than_its_resources_keeps_its_rate() {
    let mut meter = OrderMeter::new(PRIOR);
    let now = pass(&mut meter, Timestamp(1_000), 4_000, 400, true);

    let now = pass(&mut meter, now, 4_000, 0, false);

    assert_eq!(meter.rate(now), OrderRate(400));
}

#[test]
fn without_any_answer_the_rate_is_the_least() {
    let mut meter = OrderMeter::new(PRIOR);

    let now = pass(&mut meter, Timestamp(1_000), 1_000, 0, true);

    assert_eq!(meter.rate(now), OrderRate(1));
}
