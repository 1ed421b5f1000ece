use std::{sync::Arc, time::Duration};

use super::{Setup, Worker};
use crate::{clock::Clocks, record::Record, store::Store, world};

fn new_worker() -> (Arc<Worker>, Arc<Store>) {
    let record = Arc::new(Record::new());
    let store = Arc::new(Store::new(1, &record));
    let setup = Setup {
        id: "i-00000001".to_owned(),
        service: "shop".to_owned(),
        cpu: 4_000,
        mem_mb: 4_096,
        max_hold_ms: 10_000,
        stop_ms: 200,
        heartbeat_ms: 1_500,
    };
    (Worker::with_clocks(Clocks::AtZero, setup, record, Arc::clone(&store)), store)
}

/// How many lives a worker has begun.
fn count_births(worker: &Worker) -> usize {
    worker.record.to_text().matches(" is born at ").count()
}

#[test]
fn a_worker_that_crashes_while_it_is_down_is_up_again_when_both_crashes_are_over() {
    let (worker, store) = new_worker();
    worker.start(Duration::ZERO);
    worker.crash();
    worker.crash();

    worker.start(Duration::ZERO);
    assert_eq!(count_births(&worker), 1, "the other crash is not over");
    worker.start(Duration::ZERO);

    assert_eq!(count_births(&worker), 2);
    worker.tick();
    assert!(world::address(&store, &worker).is_some(), "it writes its entry");
}
