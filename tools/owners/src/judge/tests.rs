use super::twice;
use crate::{
    links::WorkerCall,
    record::{Event, Life, Record},
};

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

    let breaches = twice(&record, &[]);
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

    assert_eq!(twice(&record, &[]).len(), 1);
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

    assert_eq!(twice(&record, &[]), Vec::<String>::new());
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

    assert_eq!(twice(&record, &late), Vec::<String>::new());
    assert_eq!(twice(&record, &renewed).len(), 1);
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

    assert_eq!(twice(&record, &[call(20)]), Vec::<String>::new());
    assert_eq!(twice(&record, &[call(9_000)]).len(), 1);
}
