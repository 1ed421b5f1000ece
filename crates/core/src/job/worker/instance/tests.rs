use super::{super::tests::worker, *};

/// When the newest known instance was asked for its clock, which showed 60 s.
const ASKED: Timestamp = Timestamp(100_000);

/// What the newest known instance calls itself.
const KNOWN: u64 = 5;

/// What another one calls itself: its clock may have been set back or ahead.
const OTHERS: [u64; 2] = [4, 6];

fn known_worker() -> Worker {
    let mut worker = worker();
    worker.record_clock(60_000, ASKED, ASKED + Span(3));
    worker
}

/// Readings that the clock of another instance may show: small, just going on, ahead and large.
const READINGS: [u64; 5] = [0, 400, 61_000, 8_951_422, 1 << 40];

/// Guards against a restart that is taken for the same life because its clock doesn't start at 0.
#[test]
fn an_answer_of_another_name_asked_for_after_the_known_instances_is_of_a_later_one_whatever_its_clock()
 {
    let worker = known_worker();
    let sent = ASKED + Span(1_000);

    for (name, clock_ms) in OTHERS.into_iter().flat_map(|name| READINGS.map(|ms| (name, ms))) {
        let order = worker.place_answer(name, clock_ms, (sent, sent + Span(2)));

        assert_eq!(order, InstanceOrder::Later, "{name} {clock_ms}");
    }
}

/// Guards against a new instance that is dropped for good, or one that is taken for new although it has
/// ended: which of two overlapping calls was carried out first isn't known.
#[test]
fn an_answer_of_another_name_to_a_call_that_overlaps_the_latest_one_is_asked_for_again() {
    let worker = known_worker();

    for (name, clock_ms) in OTHERS.into_iter().flat_map(|name| READINGS.map(|ms| (name, ms))) {
        for sent in [ASKED.0 - 2_000, ASKED.0, ASKED.0 + 3] {
            let order = worker.place_answer(name, clock_ms, (Timestamp(sent), ASKED + Span(10)));

            assert_eq!(order, InstanceOrder::Open, "{name} {clock_ms} {sent}");
        }
    }
}

#[test]
fn two_instances_of_one_name_are_told_apart_by_a_clock_that_leaves_its_range() {
    let worker = known_worker();
    let sent = ASKED + Span(1_000);
    let place = |clock_ms| worker.place_answer(KNOWN, clock_ms, (sent, sent + Span(2)));

    let others = [0, 400, 60_000, 60_900, 61_100, 8_951_422].map(place);
    let same = [60_970, 61_000, 61_002].map(place);
    // Asked for before the latest reading arrived: it was overtaken.
    let overtaken = worker.place_answer(KNOWN, 59_990, (ASKED, sent));

    assert_eq!(others, [InstanceOrder::Later; 6]);
    assert_eq!(same, [InstanceOrder::Same; 3]);
    assert_eq!(overtaken, InstanceOrder::Same);
}

#[test]
fn an_entry_that_names_another_instance_says_nothing_until_the_worker_has_answered() {
    let mut worker = known_worker();
    let entry = |name| WorkerEntry { started_wall_ms: name, ..worker.entry.clone() };
    let (earlier, later) = (entry(4), entry(6));

    let before = OTHERS.map(|name| worker.place_entry(name));
    worker.keep_open_entry(earlier, ASKED + Span(10));
    worker.on_newest_instance_answered(KNOWN, (ASKED + Span(10), ASKED + Span(12)));
    worker.keep_open_entry(later, ASKED + Span(20));
    worker.on_newest_instance_answered(KNOWN, (ASKED + Span(19), ASKED + Span(22)));

    assert_eq!(before, [InstanceOrder::Open; 2]);
    assert_eq!(worker.place_entry(4), InstanceOrder::Earlier);
    // The answer may be from before the entry was written.
    assert_eq!(worker.place_entry(6), InstanceOrder::Open);
}

#[test]
fn an_entry_is_of_a_later_instance_if_no_earlier_one_can_be_written_and_the_worker_is_silent() {
    let mut settled = known_worker();
    settled.on_newest_instance_answered(KNOWN, (ASKED, ASKED + Span(3)));
    settled.on_own_entry(KNOWN, ASKED + Span(3) + LATE_WRITE_LIFETIME + Span(1));
    let mut answered_late = known_worker();
    answered_late.hold_failures = 1;
    answered_late.on_newest_instance_answered(KNOWN, (ASKED, ASKED + Span(3)));
    answered_late.on_own_entry(KNOWN, ASKED + Span(3) + LATE_WRITE_LIFETIME);
    let mut silent = known_worker();
    silent.hold_failures = 1;
    let mut both = settled.clone();
    both.hold_failures = 1;

    for name in OTHERS {
        assert_eq!(settled.place_entry(name), InstanceOrder::Open);
        assert_eq!(silent.place_entry(name), InstanceOrder::Open);
        assert_eq!(answered_late.place_entry(name), InstanceOrder::Open);
        assert_eq!(both.place_entry(name), InstanceOrder::Later);
    }
}
