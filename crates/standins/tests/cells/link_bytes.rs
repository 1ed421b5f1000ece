//! Tests of how many bytes an owner's calls to workers take on its link.

use teaselgap_core::job::{JobId, LogEvent, WorkerId};
use teaselgap_standins::model::Model;

use crate::fixtures::{job_spec, new_model_with_link, queue, step};

/// Number of workers in the pool.
const WORKERS: usize = 100;

/// Rate of a narrow link, in megabits per second.
const LINK_MBPS: u64 = 2;

/// The bytes that it carries in a second, in each direction.
const LINK_BYTES_PER_S: u64 = 250_000;

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
