use super::*;

#[test]
fn a_report_shows_calls_in_flight_and_how_long_answers_took() {
    let mut meter = LoadMeter::default();
    let quick = meter.begin(CallKind::Start, Timestamp(1_000));
    let slow = meter.begin(CallKind::Start, Timestamp(1_000));
    let order = meter.begin(CallKind::Order, Timestamp(1_000));
    let stop = meter.begin(CallKind::Stop, Timestamp(1_000));
    let lost = meter.begin(CallKind::Hold, Timestamp(1_100));
    meter.begin(CallKind::Hold, Timestamp(1_200));

    meter.end(quick, true, Timestamp(1_003));
    meter.end(order, true, Timestamp(1_005));
    meter.end(stop, false, Timestamp(1_300));
    meter.end(slow, true, Timestamp(1_400));
    meter.end(lost, false, Timestamp(1_900));
    meter.begin(CallKind::Start, Timestamp(1_950));
    meter.record_start_copy(true, 450);
    meter.record_start_copy(false, 450);
    meter.record_lists(ListTotals { runs: 2, ends: 3, known_ends: 1, bytes: 650 });
    meter.record_lists(ListTotals { runs: 1, ends: 3, known_ends: 3, bytes: 600 });
    meter.record_accepted();
    meter.record_refused();
    meter.record_refused();

    let expected = OwnerLoad {
        calls_in_flight: 2,
        oldest_call: Span(800),
        held_back_starts: 0,
        starts_in_flight: 1,
        starts: 3,
        repeated_starts: 1,
        start_bytes: 900,
        stops: 1,
        holds: 2,
        unanswered: 2,
        unanswered_holds: 1,
        lists: ListTotals { runs: 3, ends: 6, known_ends: 4, bytes: 1_250 },
        waiting_ends: 0,
        open_starts: 0,
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
