//! Tests of how many bytes an owner's calls to workers take on its link.

use teaselgap_core::job::{EndKind, JobId, LogEvent, WorkerId};
use teaselgap_standins::model::{Model, WorkerFaults};

use crate::fixtures::{job_spec, long_running_job, new_model_with_link, queue, step};

/// Number of workers in the pool.
const WORKERS: usize = 100;

/// Rate of a narrow link, in megabits per second.
const LINK_MBPS: u64 = 2;

/// The bytes that it carries in a second, in each direction.
const LINK_BYTES_PER_S: u64 = 250_000;

/// Size of a payload that every start order of a job carries.
const PAYLOAD_BYTES: usize = 100;

/// Time after which each worker that doesn't answer is known to be silent, in milliseconds.
const SILENT_MS: u64 = 6_000;

/// Longer than any test, in milliseconds.
const FOREVER_MS: u64 = 600_000;

/// The share of the link, in percent, that may go to workers that don't answer.
const SILENT_PERCENT: u64 = 10;

/// Cuts all workers off for good.
fn silence_all(model: &mut Model) {
    for number in 0..WORKERS {
        model.make_unreachable(&format!("w{number}"), FOREVER_MS);
    }
}

/// Returns the bytes that the owner sends in these seconds.
fn sent_in(model: &mut Model, seconds: u64) -> u64 {
    let before = model.traffic().sent_bytes();
    model.run_for(seconds * 1_000);
    model.traffic().sent_bytes() - before
}

/// Whether a worker has been heard again since the event of this number.
fn is_heard(model: &Model, worker: &WorkerId, since: usize) -> bool {
    let is_heard = |event: &LogEvent| match event {
        LogEvent::Worker { worker: id, change, .. } => {
            id == worker && matches!(*change, "adopted" | "answers again" | "restarted")
        }
        _ => false,
    };
    model.log_events().iter().skip(since).any(is_heard)
}

/// Guards against holds of silent workers that fill the link of their owner.
#[test]
fn holds_of_workers_that_never_answer_take_little_of_a_narrow_link() {
    let mut model = new_model_with_link(WORKERS, LINK_MBPS);
    silence_all(&mut model);
    model.run_for(SILENT_MS);

    let sent = sent_in(&mut model, 10);

    let allowed = LINK_BYTES_PER_S * 10 * SILENT_PERCENT / 100;
    assert!(sent <= allowed, "{sent} bytes, {allowed} allowed");
}

/// The same if orders to them got no answer, which a new instance would have to refuse.
#[test]
fn holds_of_silent_workers_with_open_orders_take_little_of_a_narrow_link() {
    let mut model = new_model_with_link(WORKERS, LINK_MBPS);
    model.submit(JobId(1), &queue(), job_spec(vec![step(1_600, 1_600, 60_000)]));
    model.run_for(1_000);
    silence_all(&mut model);
    model.run_for(SILENT_MS);

    let sent = sent_in(&mut model, 10);

    let allowed = LINK_BYTES_PER_S * 10 * SILENT_PERCENT / 100;
    assert!(sent <= allowed, "{sent} bytes, {allowed} allowed");
}

/// Guards against an owner that asks silent workers so rarely that one which is back waits for it.
#[test]
fn a_worker_that_is_back_is_heard_soon_although_all_others_are_silent() {
    for cut_ms in [6_000, 10_000, 20_000] {
        let mut model = new_model_with_link(WORKERS, LINK_MBPS);
        silence_all(&mut model);
        model.make_unreachable("w0", cut_ms);
        model.run_for(cut_ms);
        let events = model.log_events().len();

        let is_back = model.run_until(3_000, |model| is_heard(model, &"w0".into(), events));

        assert!(is_back, "after {cut_ms} ms");
    }
}

/// What one task has taken on the owner's link.
#[derive(Clone, Copy, Debug)]
struct BytesPerTask {
    sent: u64,
    received: u64,
    /// Tasks done in a second.
    tasks_per_s: u64,
}

/// Returns what the tasks that end in these seconds take on a link of this rate, while `jobs_per_s` jobs of
/// eight tasks of 640 ms are submitted each second.
fn bytes_per_task(link_mbps: u64, jobs_per_s: u64, seconds: u64) -> BytesPerTask {
    let mut model = new_model_with_link(WORKERS, link_mbps);
    let (traffic, done) = (model.traffic(), model.end_count(EndKind::Done));
    let mut submitted_ms = 0;
    for number in 0..jobs_per_s * seconds {
        let mut spec = job_spec(vec![step(8, 3_200, 640)]);
        spec.payload = "x".repeat(PAYLOAD_BYTES);
        model.submit(JobId(number), &queue(), spec);
        let next_ms = (number + 1) * 1_000 / jobs_per_s;
        model.run_for(next_ms - submitted_ms);
        submitted_ms = next_ms;
    }
    let tasks = (model.end_count(EndKind::Done) - done) as u64;
    let (sent, received) = (model.traffic().sent_bytes(), model.traffic().received_bytes());
    BytesPerTask {
        sent: (sent - traffic.sent_bytes()) / tasks.max(1),
        received: (received - traffic.received_bytes()) / tasks.max(1),
        tasks_per_s: tasks / seconds,
    }
}

/// Guards against calls that bring nothing: whatever a task takes beyond its order, its answer and its share of few
/// lists lowers the number of tasks that a node with a narrow link can own.
#[test]
fn a_task_takes_few_bytes_of_a_calm_link_from_its_order_to_its_confirmed_end() {
    let bytes = bytes_per_task(LINK_MBPS, 2, 10);

    println!("{LINK_MBPS} Mbit/s, calm: {bytes:?}");
    assert!(bytes.sent.max(bytes.received) <= 2_500, "{bytes:?}");
    assert!(bytes.tasks_per_s >= 14, "{bytes:?}");
}

/// The same while more is asked for than the link, or the pool, carries. The lists of a worker then serve more tasks.
#[test]
fn a_task_takes_few_bytes_of_a_link_in_a_burst() {
    let cases = [(2, 100, 900, 200), (4, 200, 900, 450), (10, 250, 1_000, 1_000)];
    for (link_mbps, jobs_per_s, most_bytes, least_tasks_per_s) in cases {
        let bytes = bytes_per_task(link_mbps, jobs_per_s, 6);

        println!("{link_mbps} Mbit/s, {} tasks a second asked: {bytes:?}", 8 * jobs_per_s);
        let is_bounded = bytes.sent.max(bytes.received) <= most_bytes;
        assert!(is_bounded, "{link_mbps} Mbit/s: {bytes:?}");
        assert!(bytes.tasks_per_s >= least_tasks_per_s, "{link_mbps} Mbit/s: {bytes:?}");
    }
}

/// Guards against a worker that lists the same ends again and again while they wait for a copy of an order.
#[test]
fn a_long_list_that_brings_nothing_new_takes_little_of_a_narrow_link() {
    const LASTING_JOB: JobId = JobId(1 << 32);
    const SHORT_TASKS: u32 = 80;
    let mut model = new_model_with_link(1, LINK_MBPS);
    model.submit(LASTING_JOB, &queue(), long_running_job(1, 0));
    model.run_for(1_000);
    model.set_faults("w0", WorkerFaults { lost_answers: 1, ..WorkerFaults::default() });
    model.submit(JobId(1), &queue(), job_spec(vec![step(SHORT_TASKS, 1_600, 100)]));
    model.run_for(2_000);
    let before = model.traffic().holds.answer_bytes;

    model.run_for(5_000);

    let bytes = model.traffic().holds.answer_bytes - before;
    let allowed = LINK_BYTES_PER_S * 5 / 10;
    assert_eq!(model.end_count(EndKind::Done), SHORT_TASKS as usize);
    assert!(bytes > 5 * 50 * u64::from(SHORT_TASKS), "{bytes} bytes: the ends don't wait");
    assert!(bytes <= allowed, "{bytes} bytes, {allowed} allowed");
}
