//! Tests of an owner whose link is slower than what a burst asks it to send.

use teaselgap_core::{
    Epoch, Span, Timestamp,
    job::{
        Action, Cell, CellConfig, EndKind, FlowLimits, HoldReport, JobId, LinkRate, LogEvent,
        RecoveredLog, RunEnd, Step, TermClaim,
    },
};
use teaselgap_standins::model::{Model, WorkerFaults, cell_config};

use crate::fixtures::{
    job_spec, long_running_job, new_model_with_link, queue, service, step, task_id, worker,
};

/// Number of workers in the pool.
const WORKERS: usize = 100;

/// Rate of the owner's link, in megabits per second.
const LINK_MBPS: u64 = 10;

/// The long-running job that is at work before the burst begins.
const LASTING_JOB: JobId = JobId(1 << 32);

/// Number of tasks of the long-running job.
const LASTING_TASKS: u32 = 24;

const JOBS_PER_S: u64 = 125;

/// Size of a job's payload, which every start order carries.
const PAYLOAD_BYTES: usize = 2_000;

/// Size of a payload of which the link carries as many orders as the workers have room for.
const SMALL_PAYLOAD_BYTES: usize = 100;

/// Returns an owner behind a slow link with a long-running job at work.
fn model_with_slow_link() -> Model {
    let mut model = new_model_with_link(WORKERS, LINK_MBPS);
    model.submit(LASTING_JOB, &queue(), long_running_job(LASTING_TASKS, 0));
    model.run_for(2_000);
    model
}

/// Submits [`JOBS_PER_S`] jobs of two steps of eight short tasks each second, and lets the time pass.
fn run_burst(model: &mut Model, seconds: u64, payload_bytes: usize) {
    let jobs = JOBS_PER_S * seconds;
    let mut submitted_ms = 0;
    for number in 0..jobs {
        let second = Step { after: vec![0], ..step(8, 3_200, 640) };
        let mut spec = job_spec(vec![step(8, 3_200, 640), second]);
        spec.payload = "x".repeat(payload_bytes);
        model.submit(JobId(number), &queue(), spec);
        let next_ms = (number + 1) * 1_000 / JOBS_PER_S;
        model.run_for(next_ms - submitted_ms);
        submitted_ms = next_ms;
    }
}

/// Returns the number of runs that ended because the lease of their worker had expired.
fn lapsed_runs(model: &Model) -> usize {
    let is_lapsed = |event: &&LogEvent| match event {
        LogEvent::RunEndedUnreported { reason, .. } => *reason == "lease expired",
        _ => false,
    };
    model.log_events().iter().filter(is_lapsed).count() + model.end_count(EndKind::Lapsed)
}

#[test]
fn a_burst_over_a_slow_link_lets_no_lease_of_a_worker_lapse() {
    let mut model = model_with_slow_link();

    run_burst(&mut model, 12, PAYLOAD_BYTES);
    model.run_for(5_000);

    assert_eq!(lapsed_runs(&model), 0);
    for index in 0..LASTING_TASKS {
        assert_eq!(model.start_count(task_id(LASTING_JOB, index)), 1);
    }
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn a_burst_over_a_slow_link_does_not_delay_renewals_of_the_owners_lease() {
    let mut model = model_with_slow_link();
    model.require_owner_lease();

    run_burst(&mut model, 6, PAYLOAD_BYTES);

    assert_eq!(model.expired_terms(), 0);
}

#[test]
fn a_burst_never_has_more_start_orders_in_flight_than_the_window() {
    let mut model = model_with_slow_link();

    run_burst(&mut model, 3, PAYLOAD_BYTES);

    let limits = model.flow_limits();
    let orders_in_window = limits.max_start_bytes.div_ceil(PAYLOAD_BYTES as u64);
    let most_orders = limits.max_starts.min(usize::try_from(orders_in_window).unwrap());
    assert!(model.max_starts_in_flight() <= most_orders);
}

#[test]
fn a_burst_over_a_slow_link_uses_most_of_the_link() {
    let mut model = model_with_slow_link();

    run_burst(&mut model, 6, PAYLOAD_BYTES);

    // What the link carries in this time, if it carried nothing but start orders.
    let most_starts = 6 * 1_250_000 / (PAYLOAD_BYTES + 350);
    let done = model.end_count(EndKind::Done);
    assert!(done >= most_starts / 2, "{done} of {most_starts}");
}

#[test]
fn holds_of_a_burst_keep_to_their_share_of_the_link() {
    let mut model = model_with_slow_link();
    let before = model.hold_answer_bytes();

    run_burst(&mut model, 4, SMALL_PAYLOAD_BYTES);

    let bytes_per_s = (model.hold_answer_bytes() - before) / 4;
    assert!(bytes_per_s <= 625_000, "{bytes_per_s} bytes a second of a link of 1,250,000");
}

#[test]
fn a_workers_lease_is_renewed_in_time_during_a_burst() {
    let mut model = model_with_slow_link();

    run_burst(&mut model, 10, SMALL_PAYLOAD_BYTES);

    // A third of the lease of 5.5 s.
    assert!(model.least_lease_left() > Span(1_800), "{} left", model.least_lease_left());
}

#[test]
fn renewals_of_leases_do_not_wait_for_holds_that_look_for_ends() {
    // The holds of all workers take longer to pass their share of the link than a lease lasts.
    let (workers, link_mbps) = (400, 1);
    let mut model = new_model_with_link(workers, link_mbps);

    model.submit(JobId(1), &queue(), job_spec(vec![step(1_600, 8_000, 60_000)]));
    model.run_for(15_000);

    assert!(model.least_lease_left() > Span(1_800), "{} left", model.least_lease_left());
    assert_eq!(lapsed_runs(&model), 0);
}

/// Returns how many tasks are done in a burst during which the first `faulty` workers answer no
/// start order.
fn tasks_done_in_burst(faulty: usize) -> usize {
    let mut model = model_with_slow_link();
    for number in 0..faulty {
        let silent = WorkerFaults { lost_answers: u32::MAX, ..WorkerFaults::default() };
        model.set_faults(&format!("w{number}"), silent);
    }
    run_burst(&mut model, 6, SMALL_PAYLOAD_BYTES);
    model.end_count(EndKind::Done)
}

/// Guards against orders without an answer that hold back the orders to all other workers.
#[test]
fn workers_that_answer_no_start_orders_do_not_hold_back_the_others() {
    let without_faults = tasks_done_in_burst(0);
    let with_faults = tasks_done_in_burst(WORKERS / 5);

    // Four fifths of the workers answer.
    assert!(with_faults >= without_faults / 2, "{with_faults} of {without_faults}");
}

/// Guards against holds whose answers fill a narrow link: a worker lists an end again with each answer until the
/// end is confirmed, which may wait for 15 s.
#[test]
fn ends_that_are_listed_again_count_in_the_share_of_the_link_that_holds_have() {
    const LISTED_ENDS: u64 = 30;
    const LINK_BYTES_PER_S: u64 = 250_000;
    const SECONDS: u64 = 10;
    let end = |number| RunEnd {
        number,
        task: task_id(JobId(1), 0),
        attempt: 1,
        kind: EndKind::Done,
        checkpoint: None,
    };
    let list = HoldReport {
        clock_ms: 400_000,
        started_wall_ms: 1,
        running: Vec::new(),
        ends: (1..=LISTED_ENDS).map(end).collect(),
        is_complete: true,
    };
    // A head of 400 bytes and 50 bytes for each entry.
    let answer_bytes = 400 + 50 * LISTED_ENDS;
    let flow = FlowLimits::new(LinkRate(LINK_BYTES_PER_S), 1.0);
    let begin = (Timestamp(10_000), 1_700_000_010_000);
    let (log, epoch) = (RecoveredLog::default(), Epoch(3));
    let cfg = CellConfig { flow, ..cell_config() };
    let mut cell = Cell::new(cfg, (service(), epoch), log, &TermClaim::unseen(begin.0), begin);
    let entries = (0..WORKERS).map(|number| worker(number).entry).collect();
    cell.update_workers(entries, true, begin.0);

    let mut answers = 0;
    for tick in 1..=SECONDS * 200 {
        let now = begin.0 + Span(tick * 5);
        cell.tick(now, begin.1 + tick * 5);
        if let Some(write) = cell.take_write(now) {
            cell.on_segment_written(write.sequence, now);
        }
        for action in cell.take_actions() {
            if let Action::Hold { worker, .. } = action {
                let report = HoldReport { clock_ms: list.clock_ms + tick * 5, ..list.clone() };
                cell.on_hold_answer(&worker, now, Some(report), now);
                answers += 1;
            }
        }
    }

    // Adoptions don't wait: one hold of each worker, and one more while its list isn't known.
    let adoptions = 2 * WORKERS as u64;
    let share = LINK_BYTES_PER_S * 40 / 100 * SECONDS;
    assert!(answers > adoptions, "{answers} answers");
    let bytes = (answers - adoptions) * answer_bytes;
    assert!(bytes <= share, "{bytes} bytes, {share} allowed");
}
