//! Tests of accepted jobs whose queue the operator removes.

use indexmap::IndexMap;
use teaselgap_core::job::{Answer, Cell, EndKind, JobEnd, JobId, JobState, Step};
use teaselgap_standins::model::Model;

use crate::fixtures::{job_spec, new_model, queue, state, step};

const JOB: JobId = JobId(7);
const SUCCEEDED: Option<JobState> = Some(JobState::Ended(JobEnd::Succeeded));

/// Guards against accepted jobs that stand still because the operator has removed their queue.
#[test]
fn an_accepted_job_runs_to_its_end_although_its_queue_is_removed() {
    let mut model = new_model(2);
    let second = Step { after: vec![0], ..step(2, 1_000, 300) };
    model.submit(JobId(1), &queue(), job_spec(vec![step(2, 1_000, 500), second]));
    model.run_for(200);

    model.cell_mut().unwrap().set_queues(IndexMap::new());
    model.cell_mut().unwrap().set_queues(IndexMap::new());
    let is_done = model.run_until(5_000, |model| state(model, JobId(1)) == SUCCEEDED);

    assert!(is_done);
}

/// Submits a job of two steps, removes its queue while the first one runs, and lets `change_owner` replace
/// the owner. Returns whether the job succeeds under the next owner, which has never seen the queue.
fn succeeds_without_its_queue(change_owner: impl Fn(&mut Model)) -> bool {
    let mut model = new_model(2);
    let second = Step { after: vec![0], ..step(2, 1_000, 300) };
    model.submit(JOB, &queue(), job_spec(vec![step(2, 1_000, 500), second]));
    model.run_for(200);
    model.set_queues(IndexMap::new());
    change_owner(&mut model);

    let is_done = model.run_until(20_000, |model| state(model, JOB) == SUCCEEDED);

    assert_eq!(model.violations(), &[] as &[String]);
    is_done
}

#[test]
fn an_accepted_job_runs_to_its_end_although_its_queue_was_removed_before_the_owner_was_lost() {
    let is_done = succeeds_without_its_queue(|model| {
        model.kill_owner();
        model.take_over();
    });

    assert!(is_done);
}

#[test]
fn an_accepted_job_runs_to_its_end_although_its_queue_was_removed_before_the_handover() {
    let is_done = succeeds_without_its_queue(|model| {
        model.hand_over();
        model.take_over();
    });

    assert!(is_done);
}

#[test]
fn an_accepted_job_runs_to_its_end_although_its_queue_was_removed_before_two_owners_were_lost() {
    let is_done = succeeds_without_its_queue(|model| {
        for _ in 0..2 {
            model.kill_owner();
            model.take_over();
            model.run_for(100);
        }
    });

    assert!(is_done);
}

#[test]
fn an_accepted_job_runs_to_its_end_although_its_queue_is_removed_before_it_is_in_the_log() {
    let mut model = new_model(2);
    model.submit(JobId(1), &queue(), job_spec(vec![step(2, 1_000, 500)]));
    // The job's end is being written, and the next submission waits for that.
    let is_writing = |cell: &Cell| !cell.is_log_idle() && cell.write_due().is_none();
    let is_end_written =
        |model: &Model| model.end_count(EndKind::Done) == 2 && model.cell().is_some_and(is_writing);
    assert!(model.run_until(2_000, is_end_written));
    let token = model.submit(JOB, &queue(), job_spec(vec![step(2, 1_000, 500)]));
    model.set_queues(IndexMap::new());

    let is_done = model.run_until(5_000, |model| state(model, JOB) == SUCCEEDED);

    assert_eq!(model.answer(token), Some(Answer::Durable));
    assert!(is_done);
}
