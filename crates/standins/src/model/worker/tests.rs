use super::*;

fn worker(id: &str) -> ModelWorker {
    let entry = WorkerEntry {
        id: id.into(),
        started_wall_ms: 1,
        service: "s".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".parse().unwrap(),
        capacity: Resources::default(),
        labels: [].into(),
        is_draining: false,
        leaves_in: None,
    };
    ModelWorker::new(entry)
}

#[test]
fn a_lease_is_limited_by_the_workers_own_clock() {
    for id in ["w", "w0", "w1", "w2", "w3", "w4"] {
        let mut worker = worker(id);
        let first_clock = worker.clock(Timestamp(0));

        worker.extend_lease(Some(first_clock + 100_000), Timestamp(1_000));

        assert_eq!(worker.lease_end, first_clock + 1_000 + MAX_LEASE_MS, "{id}");
    }
}

/// Guards against a stand-in whose clocks tell when an instance started.
#[test]
fn the_clocks_of_instances_start_anywhere() {
    let ended = Timestamp(5_000);
    let starts = (0..5).flat_map(|id| {
        let mut worker = worker(&format!("w{id}"));
        (1..9).map(move |restart| {
            let last = worker.clock(ended);
            worker.restart(ended, restart);
            (last, worker.clock(ended))
        })
    });

    let starts: Vec<(u64, u64)> = starts.collect();

    let any =
        |is_such: fn(u64, u64) -> bool| starts.iter().any(|(last, first)| is_such(*last, *first));
    assert!(any(|last, first| first > last + 10_000), "ahead");
    assert!(any(|last, first| first + 10_000 < last), "behind");
    assert!(any(|last, first| first.abs_diff(last) < 100), "inside");
    assert!(any(|_, first| first > 1 << 40), "large");
}
