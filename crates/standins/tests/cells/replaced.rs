//! Tests of workers whose addresses others have taken, and of what the next owner of a cell may conclude from that.

use teaselgap_core::{
    Span,
    job::{JobId, WorkerId},
};
use teaselgap_standins::model::{CallKind, Fate, Model, OWNER_TTL};

use crate::fixtures::{
    busy_worker, job_spec, long_running_job, new_model, partition, queue, step, task_id,
};

/// The longest lease of the workers, in milliseconds. The owner asks for 5.5 s.
const LONGEST_LEASE_MS: u64 = 10_000;

/// The longest lease of a worker that accepts shorter ones than the others, in milliseconds.
const SHORT_LEASE_MS: u64 = 6_000;

/// Time until an owner has heard all workers that it reaches, and its log is durable, in milliseconds.
const SETTLED_MS: u64 = 300;

/// Time from the last order of an earlier owner until a task starts whose worker is known to have ended, in
/// milliseconds: the worker at its address is asked, and then the task is planned.
const PROOF_MS: u64 = 1_500;

/// Longer than each wait, in milliseconds.
const LONG_MS: u64 = 40_000;

const JOB: JobId = JobId(7);

/// Creates a model whose owner has heard all workers, and before which no owner gives orders.
fn settled_model() -> Model {
    settled_model_with_lease(LONGEST_LEASE_MS)
}

/// The same, with workers that accept this longest lease.
fn settled_model_with_lease(longest_lease_ms: u64) -> Model {
    let mut model = new_model(4);
    model.count_every_start();
    model.set_longest_lease(longest_lease_ms);
    model.kill_owner();
    model.take_over();
    model.run_for(OWNER_TTL.0 + SETTLED_MS);
    model
}

/// Creates the same with a task that lasts, and returns the worker that runs it.
fn model_with_task() -> (Model, WorkerId) {
    let mut model = settled_model();
    model.submit(JOB, &queue(), long_running_job(1, 1));
    model.run_for(1_000);
    let busy = busy_worker(&model);
    (model, busy)
}

/// Gives the address of a worker to another one, whose id is returned.
fn pass_address_on(model: &mut Model, from: &WorkerId) -> WorkerId {
    let address = model.worker_mut(from.as_str()).entry.address;
    let idle = model.workers().find(|one| one.run_count() == 0 && one.entry.id != *from);
    let other = idle.expect("another worker without runs").entry.id.clone();
    model.worker_mut(other.as_str()).entry.address = address;
    other
}

/// Loses the owner, and begins the term of the next one 100 ms later.
fn lose_owner(model: &mut Model) {
    model.kill_owner();
    model.run_for(100);
    model.take_over();
}

fn starts(model: &Model) -> u32 {
    model.start_count(task_id(JOB, 0))
}

/// Guards against tasks that are away for the longest lease although an answer shows that nothing can run where they
/// ran.
#[test]
fn a_worker_is_waited_for_whose_address_answers_under_another_name() {
    for lost_ms in [0, 500, 1_500] {
        let (mut model, busy) = model_with_task();
        let before = starts(&model);

        lose_owner(&mut model);
        partition(&mut model, &busy);
        model.run_for(lost_ms);
        model.lose_worker(busy.as_str());
        pass_address_on(&mut model, &busy);
        let bound_ms = OWNER_TTL.0 + PROOF_MS;
        let starts_again = model.run_until(bound_ms, |model| starts(model) > before);

        assert!(starts_again, "{lost_ms}");
        model.run_for(LONG_MS);
        assert_eq!(model.violations(), [] as [&str; 0], "{lost_ms}");
    }
}

/// An entry may have been written long ago, and the other worker may have had the address before this one.
#[test]
fn an_entry_with_the_address_of_a_worker_counts_as_its_end() {
    let (mut model, busy) = model_with_task();
    let before = starts(&model);

    lose_owner(&mut model);
    partition(&mut model, &busy);
    let other = pass_address_on(&mut model, &busy);
    model.make_unreachable(other.as_str(), LONG_MS);
    let starts_again = model.run_until(LONG_MS, |model| starts(model) > before);

    assert!(starts_again);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// The worker may return to its address under its name, and begin there what an earlier owner still orders.
#[test]
fn an_answer_counts_as_the_end_of_a_worker_to_which_an_earlier_owner_still_gives_orders() {
    let mut begun_late = 0;
    for late_ms in [2_000, 2_500, 2_900] {
        let mut model = settled_model();
        let late = Fate::Late(model.now() + Span(late_ms));
        for id in ["w0", "w1", "w2", "w3"] {
            model.script_fates(id, CallKind::Start, &[late]);
        }
        let task = task_id(JOB, 0);
        model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, LONG_MS)]));
        assert!(model.run_until(1_000, |model| model.ordered_worker(task).is_some()));
        let ordered = model.ordered_worker(task).unwrap();
        for id in ["w0", "w1", "w2", "w3"].into_iter().filter(|id| *id != ordered.as_str()) {
            model.drop_fates(id);
        }

        model.kill_owner();
        model.take_over();
        model.keep_entry(ordered.as_str(), LONG_MS);
        model.cut_owner_off_from(ordered.as_str());
        let other = pass_address_on(&mut model, &ordered);
        model.run_for(1_500);
        model.make_unreachable(other.as_str(), LONG_MS);
        model.restart_worker_at(ordered.as_str(), model.wall_ms(), 10);
        model.run_for(late_ms);
        begun_late += starts(&model);
        model.run_for(LONG_MS);

        assert_eq!(model.violations(), [] as [&str; 0], "{late_ms}");
    }
    assert_eq!(begun_late, 3);
}

/// A late write may show the address of an instance that has ended, while the next one runs elsewhere.
#[test]
fn an_answer_at_the_address_of_an_earlier_instance_counts_as_the_end_of_the_latest() {
    // What earlier calls have begun has expired then, and a late write may still come.
    let between_ms = 7_500;
    let mut model = settled_model_with_lease(6_000);
    for id in ["w0", "w1", "w2", "w3"] {
        model.restart_worker(id);
        let address = &mut model.worker_mut(id).entry.address;
        address.set_port(address.port() + 100);
    }
    model.run_for(between_ms);
    model.submit(JOB, &queue(), long_running_job(1, 1));
    model.run_for(1_000);
    let busy = busy_worker(&model);
    let before = starts(&model);

    lose_owner(&mut model);
    partition(&mut model, &busy);
    assert!(model.write_earlier_entry(busy.as_str(), 1, LONG_MS));
    let other = pass_address_on(&mut model, &busy);
    let address = &mut model.worker_mut(other.as_str()).entry.address;
    address.set_port(address.port() - 100);
    let starts_again = model.run_until(LONG_MS, |model| starts(model) > before);

    assert!(starts_again);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// A copy of an order may come in a later instance of the worker, and nothing else holds back a task that lasts.
#[test]
fn an_answer_counts_as_the_end_of_a_worker_with_an_open_order_of_a_task_that_lasts() {
    let mut begun_late = 0;
    for late_ms in [4_950, 5_000] {
        let mut model = settled_model();
        let late = Fate::Late(model.now() + Span(late_ms));
        for id in ["w0", "w1", "w2", "w3"] {
            model.script_fates(id, CallKind::Start, &[late, late]);
        }
        let task = task_id(JOB, 0);
        model.submit(JOB, &queue(), long_running_job(1, 1));
        assert!(model.run_until(1_000, |model| model.ordered_worker(task).is_some()));
        let ordered = model.ordered_worker(task).unwrap();
        for id in ["w0", "w1", "w2", "w3"].into_iter().filter(|id| *id != ordered.as_str()) {
            model.drop_fates(id);
        }

        model.run_for(100);
        model.kill_owner();
        model.take_over();
        model.keep_entry(ordered.as_str(), LONG_MS);
        model.cut_owner_off_from(ordered.as_str());
        let other = pass_address_on(&mut model, &ordered);
        model.worker_mut(ordered.as_str()).max_lease_ms = SHORT_LEASE_MS;
        model.run_for(OWNER_TTL.0 + PROOF_MS + 200);
        model.make_unreachable(other.as_str(), LONG_MS);
        model.restart_worker_at(ordered.as_str(), model.wall_ms(), 10);
        model.run_for(500);
        begun_late += starts(&model);
        model.run_for(LONG_MS);

        assert_eq!(model.violations(), [] as [&str; 0], "{late_ms}");
    }
    assert_eq!(begun_late, 2);
}
