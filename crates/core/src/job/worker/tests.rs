use super::*;

/// How long any lease can last.
const LONGEST_LEASE: Span = Span(10_300);

/// When the outcome of the start order became known.
const ANSWERED: Timestamp = Timestamp(100_000);

pub(super) fn worker() -> Worker {
    let entry = WorkerEntry {
        id: "w0".into(),
        started_wall_ms: 5,
        service: "drums".parse().unwrap(),
        address: ([127, 0, 0, 1], 7_000).into(),
        zone: "tartu".parse().unwrap(),
        capacity: Resources::default(),
        labels: Arc::new([]),
        is_draining: false,
        leaves_in: None,
    };
    Worker::new(entry, Timestamp(0), ANSWERED)
}

fn task() -> TaskId {
    TaskId { job: super::super::JobId(7), occurrence: 0, step: 0, index: 0 }
}

/// Returns a worker whose order was not answered, and that has restarted this often since.
fn worker_with_outlived_run(restarts: u64) -> Worker {
    let mut worker = worker();
    let mut run = Run::unknown(1, RunState::Unsettled, ANSWERED);
    run.order_expiry = ANSWERED + UNANSWERED_START_LIFETIME;
    for restart in 1..=restarts {
        run.outlive_restart(Timestamp(0), ANSWERED + Span(restart * 1_000));
    }
    worker.runs.insert(task(), run);
    worker
}

/// Guards against a wait that each restart begins anew.
#[test]
fn the_wait_for_an_open_order_does_not_depend_on_how_often_the_worker_restarts() {
    let expiry = ANSWERED + UNANSWERED_START_LIFETIME + LONGEST_LEASE;

    for restarts in 1..10 {
        let worker = worker_with_outlived_run(restarts);

        assert_eq!(worker.lease_expiry(LONGEST_LEASE, ANSWERED), expiry);
    }
}

/// Guards a run that a stray renewal keeps alive against being started elsewhere meanwhile.
#[test]
fn a_renewal_that_may_have_reached_the_new_instance_extends_the_wait() {
    let mut worker = worker_with_outlived_run(1);
    let renewal = ANSWERED + Span(16_000);

    worker.runs[&task()].outlive_restart(renewal, renewal);

    assert_eq!(worker.lease_expiry(LONGEST_LEASE, renewal), renewal + LONGEST_LEASE);
}

/// When nothing more is known of a worker that has refused the order, is silent and has left the store.
fn closed_wait(is_confirmed: bool, is_silent: bool, is_missing: bool) -> Timestamp {
    let mut worker = worker_with_outlived_run(1);
    let order_expiry = ANSWERED + UNANSWERED_START_LIFETIME;
    let confirmed = is_confirmed.then_some(ANSWERED + Span(1_500));
    worker.runs[&task()].stopping =
        Some(StopOrder { next: None, confirmed, ..StopOrder::new(Timestamp(0)) });
    worker.unanswered_hold = if is_silent { order_expiry + Span(1) } else { order_expiry };
    worker.missing_since = is_missing.then_some(ANSWERED + Span(6_000));
    worker.missing_until = order_expiry;
    worker.lease_expiry(LONGEST_LEASE, order_expiry + Span(10))
}

#[test]
fn the_wait_ends_with_the_order_only_if_the_worker_has_refused_it_is_silent_and_gone() {
    let order_expiry = ANSWERED + UNANSWERED_START_LIFETIME;

    assert_eq!(closed_wait(true, true, true), order_expiry);
    for (confirmed, silent, missing) in
        [(false, true, true), (true, false, true), (true, true, false)]
    {
        assert_eq!(closed_wait(confirmed, silent, missing), order_expiry + LONGEST_LEASE);
    }
}

#[test]
fn an_answer_out_of_the_range_of_the_known_instances_clock_is_of_another_one() {
    let mut worker = worker();
    // The clock showed 60 s at some time within these 3 ms, and may be 2 % slow.
    worker.record_clock(60_000, ANSWERED, ANSWERED + Span(3));
    let (sent, now) = (ANSWERED + Span(2_000), ANSWERED + Span(2_010));
    let is_of_known = |clock_ms| worker.may_show(clock_ms, (sent, now));

    let within = [61_950, 62_000, 62_010].map(is_of_known);
    let without = [0, 2_000, 60_000, 61_800, 62_100, 8_000_000].map(is_of_known);

    assert_eq!(within, [true; 3]);
    assert_eq!(without, [false; 6]);
}

/// Guards against a run that ends with the known instance by the clock alone, which the next one may show.
#[test]
fn an_answered_order_binds_its_run_to_no_instance() {
    let mut worker = worker();
    worker.record_clock(60_000, ANSWERED, ANSWERED);
    worker.last_lease_end_sent = 65_500;
    let clock = ClockReading { worker_ms: 60_040, asked: ANSWERED, at: ANSWERED + Span(40) };
    let run = Run::unknown(1, RunState::Running, ANSWERED);
    worker.runs.insert(task(), Run { clock: Some(clock), ..run });

    let expiry = worker.lease_expiry(LONGEST_LEASE, ANSWERED);

    assert!(!worker.runs[&task()].ends_with_instance);
    assert!(expiry > ANSWERED + Span(5_500) && expiry < ANSWERED + Span(6_000), "{expiry}");
}

/// Guards a run that a next instance may have got, on a lease of its own clock, against being started
/// elsewhere once the lease on the known instance's clock has ended.
#[test]
fn a_run_of_an_unknown_instance_is_not_bound_by_the_clock_of_the_known_one() {
    let mut worker = worker();
    worker.record_clock(60_000, ANSWERED, ANSWERED);
    worker.last_lease_end_sent = 65_500;
    let run = Run::unknown(1, RunState::Running, ANSWERED);
    worker.runs.insert(task(), run);

    let of_unknown = worker.lease_expiry(LONGEST_LEASE, ANSWERED);
    worker.runs[&task()].ends_with_instance = true;
    let of_known = worker.lease_expiry(LONGEST_LEASE, ANSWERED);

    assert_eq!(of_unknown, ANSWERED + LONGEST_LEASE);
    assert!(of_known < ANSWERED + Span(6_000));
}

/// Guards against runs that wait for another one, of which it isn't known which instance has it.
#[test]
fn each_run_of_a_silent_worker_waits_for_its_own_lease() {
    let mut worker = worker();
    worker.record_clock(60_000, ANSWERED, ANSWERED);
    worker.last_lease_end_sent = 65_500;
    let clock = ClockReading { worker_ms: 60_000, asked: ANSWERED, at: ANSWERED };
    let run = || Run::unknown(1, RunState::Running, ANSWERED);
    let [listed, answered, unknown] = [0, 1, 2].map(|index| TaskId { index, ..task() });
    worker.runs.insert(listed, Run { ends_with_instance: true, ..run() });
    worker.runs.insert(answered, Run { clock: Some(clock), ..run() });
    worker.runs.insert(unknown, run());
    let lapsed_by = |now| {
        let mut worker = worker.clone();
        worker.take_lapsed_runs((LONGEST_LEASE, false), Timestamp(u64::MAX), now)
    };

    let before = lapsed_by(worker.own_lease_expiry());
    let after = lapsed_by(worker.own_lease_expiry() + Span(1));

    assert!(before.is_empty());
    assert_eq!(after.into_keys().collect::<Vec<_>>(), [listed, answered]);
}

/// Guards against a task that starts elsewhere although a late hold renews the lease of its run: a hold leaves after
/// it was decided on, and `sent` is when it left.
#[test]
fn a_late_hold_counts_as_a_renewal_although_it_left_after_it_was_decided_on() {
    for delay in [Span(0), Span(1), Span(40)] {
        let mut worker = worker();
        worker.record_clock(60_000, ANSWERED, ANSWERED);
        worker.runs.insert(task(), Run::unknown(1, RunState::Running, ANSWERED));
        worker.lease_sent = ANSWERED + Span(100);
        let sent = worker.lease_sent + delay;
        worker.renewal_left = sent;

        worker.record_unanswered_hold(sent);

        let expiry = worker.lease_expiry(LONGEST_LEASE, sent + Span(1_000));
        assert!(expiry >= sent + LATE_CALL_LIFETIME + LONGEST_LEASE, "{expiry} after {delay}");
    }
}
