use super::*;

#[test]
fn a_lease_is_limited_by_the_workers_own_clock() {
    let entry = WorkerEntry {
        id: "w".into(),
        started_wall_ms: 1,
        service: "s".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".parse().unwrap(),
        capacity: Resources::default(),
        labels: [].into(),
        is_draining: false,
        leaves_in: None,
    };
    let mut worker = ModelWorker::new(entry);

    worker.extend_lease(Some(100_000), Timestamp(1_000));

    assert_eq!(worker.lease_end, 1_000 + MAX_LEASE_MS);
}
