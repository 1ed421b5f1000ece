use super::*;

#[test]
fn a_report_shows_calls_in_flight_and_how_long_answers_took() {
    let mut meter = LoadMeter::default();
    let quick = meter.begin(CallKind::Start, Timestamp(1_000));
    let slow = meter.begin(CallKind::Start, Timestamp(1_000));
    let order = meter.begin(CallKind::Order, Timestamp(1_000));
    let lost = meter.begin(CallKind::Hold, Timestamp(1_100));
    meter.begin(CallKind::Hold, Timestamp(1_200));

    meter.end(quick, true, Timestamp(1_003));
    meter.end(order, true, Timestamp(1_005));
    meter.end(slow, true, Timestamp(1_400));
    meter.end(lost, false, Timestamp(1_900));
    meter.begin(CallKind::Start, Timestamp(1_950));
    meter.record_accepted();
    meter.record_refused();
    meter.record_refused();

    let expected = OwnerLoad {
        calls_in_flight: 2,
        oldest_call: Span(800),
        held_back_starts: 0,
        starts_in_flight: 1,
        starts: 3,
        holds: 2,
        unanswered: 1,
        accepted: 1,
        refused: 2,
        median_answer: Span(5),
        longest_answer: Span(400),
        longest_tick: Duration::ZERO,
    };
    assert_eq!(meter.take_report(Timestamp(2_000)), expected);
}

#[test]
fn a_report_counts_only_what_came_after_the_one_before() {
    let mut meter = LoadMeter::default();
    let call = meter.begin(CallKind::Start, Timestamp(1_000));
    meter.end(call, true, Timestamp(1_003));

    meter.take_report(Timestamp(2_000));

    assert_eq!(meter.take_report(Timestamp(3_000)), OwnerLoad::default());
}
