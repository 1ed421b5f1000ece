use super::{Cut, cut_runs, twice};
use crate::{
    links::WorkerCall,
    record::{Event, Life, Record},
};

/// The longest lease, in milliseconds.
const MAX_HOLD_MS: u64 = 10_000;

const TASK: &str = "5c0e7a2100000001.0.0.0";

fn life(worker: u64) -> Life {
    (format!("i-{worker:08x}"), worker)
}

fn start(record: &Record, worker: u64, attempt: u64) {
    let order = format!("node {worker} -> i-{worker:08x}: order {TASK} attempt {attempt} fence 7");
    record.note(order);
    record.add(Event::Started { life: life(worker), task: TASK.to_owned(), attempt });
}

fn end(record: &Record, worker: u64, attempt: u64) {
    let task = TASK.to_owned();
    record.add(Event::Ended { life: life(worker), task, attempt, how: "done", number: 1 });
}

/// Waits until what happens next is recorded later than `ms` on the record's clock.
fn wait_until_after(record: &Record, ms: u64) {
    while record.now_ms() <= ms {
        std::thread::yield_now();
    }
}

#[test]
fn two_runs_at_once_are_a_breach_that_names_orders_and_workers() {
    let record = Record::new();
    start(&record, 1, 1);

    start(&record, 2, 2);

    let breaches = twice(&record, &[], MAX_HOLD_MS);
    assert_eq!(breaches.len(), 1);
    assert!(breaches[0].contains("starts on i-00000002 while attempt 1 runs on i-00000001"));
    assert!(breaches[0].contains("node 1 -> i-00000001: order"), "{}", breaches[0]);
    assert!(breaches[0].contains("node 2 -> i-00000002: order"), "{}", breaches[0]);
}

#[test]
fn a_start_after_a_noted_end_is_a_breach() {
    let record = Record::new();
    start(&record, 1, 1);
    end(&record, 1, 1);
    record.add(Event::Confirmed { life: life(1), last_seen: 1 });

    start(&record, 2, 2);

    assert_eq!(twice(&record, &[], MAX_HOLD_MS).len(), 1);
}

#[test]
fn a_start_after_a_crash_or_an_end_that_nobody_noted_is_none() {
    let record = Record::new();
    start(&record, 1, 1);
    record.add(Event::Crashed { life: life(1) });
    start(&record, 2, 2);
    end(&record, 2, 2);
    record.add(Event::Lapsed { life: life(2) });

    start(&record, 3, 3);

    assert_eq!(twice(&record, &[], MAX_HOLD_MS), Vec::<String>::new());
}

#[test]
fn an_end_that_is_noted_after_the_lease_has_ended_does_not_count() {
    let record = Record::new();
    record.note("worker i-00000001 is born at 1");
    start(&record, 1, 1);
    end(&record, 1, 1);
    wait_until_after(&record, 20);
    record.add(Event::Confirmed { life: life(1), last_seen: 1 });
    start(&record, 2, 2);
    let call = |at_ms, deadline_ms| {
        let worker = "i-00000001".to_owned();
        WorkerCall { at_ms, worker, fence: 7, deadline_ms, is_start: false }
    };

    let late = [call(0, 20), call(record.now_ms(), 9_000)];
    let renewed = [call(0, record.now_ms() + 1_000), call(record.now_ms(), 9_000)];

    assert_eq!(twice(&record, &late, MAX_HOLD_MS), Vec::<String>::new());
    assert_eq!(twice(&record, &renewed, MAX_HOLD_MS).len(), 1);
}

#[test]
fn a_run_whose_lease_has_ended_is_over() {
    let record = Record::new();
    record.note("worker i-00000001 is born at 1");
    start(&record, 1, 1);
    wait_until_after(&record, 20);
    start(&record, 2, 2);
    let call = |deadline_ms| {
        let worker = "i-00000001".to_owned();
        WorkerCall { at_ms: 0, worker, fence: 7, deadline_ms, is_start: true }
    };

    assert_eq!(twice(&record, &[call(20)], MAX_HOLD_MS), Vec::<String>::new());
    assert_eq!(twice(&record, &[call(9_000)], MAX_HOLD_MS).len(), 1);
}

/// The record of a worker that restarts and runs a work unit until 5.000 s.
fn restarted() -> Vec<(u64, Event)> {
    let note = |text: &str| Event::Note(text.to_owned());
    let ended = |life, number| {
        let task = TASK.to_owned();
        Event::Ended { life, task, attempt: number, how: "done", number }
    };
    let started = |life, attempt| Event::Started { life, task: TASK.to_owned(), attempt };
    let next = ("i-00000001".to_owned(), 8);
    vec![
        (0, note("worker i-00000001 is born at 1")),
        (1_000, started(life(1), 1)),
        (2_000, Event::Crashed { life: life(1) }),
        (2_500, note("worker i-00000001 is born at 8")),
        (3_000, started(next.clone(), 2)),
        (5_000, ended(next, 2)),
    ]
}

fn cut(at_ms: u64, worker: u64) -> Cut {
    Cut { at_ms, workers: vec![life(worker).0] }
}

#[test]
fn a_run_counts_that_goes_on_as_its_restarted_worker_is_cut_off() {
    assert_eq!(cut_runs(&restarted(), &[cut(3_500, 1)]), 1);
    assert_eq!(cut_runs(&restarted(), &[cut(1_500, 1), cut(4_999, 1)]), 1);
}

#[test]
fn a_run_does_not_count_in_a_first_life_or_elsewhere_or_before_its_start_or_after_its_end() {
    let none = [cut(1_500, 1), cut(2_700, 1), cut(3_500, 2), cut(5_000, 1)];

    assert_eq!(cut_runs(&restarted(), &none), 0);
    assert_eq!(cut_runs(&restarted(), &[]), 0);
    for end in [Event::Crashed { life: (life(1).0, 8) }, Event::Lapsed { life: (life(1).0, 8) }] {
        let mut events = restarted();
        events.insert(5, (3_200, end));
        assert_eq!(cut_runs(&events, &[cut(3_500, 1)]), 0);
    }
}

#[test]
fn a_lease_is_as_long_as_the_play_allows_at_most() {
    let record = Record::new();
    record.note("worker i-00000001 is born at 1");
    start(&record, 1, 1);
    wait_until_after(&record, 40);
    start(&record, 2, 2);
    let worker = "i-00000001".to_owned();
    let far = WorkerCall { at_ms: 0, worker, fence: 7, deadline_ms: 1 << 40, is_start: true };

    assert_eq!(twice(&record, std::slice::from_ref(&far), 30), Vec::<String>::new());
    assert_eq!(twice(&record, &[far], 60_000).len(), 1);
}
