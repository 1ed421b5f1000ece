//! A start order and a hold of an earlier life of their worker: the hold confirms the end of the run that
//! the order has begun.

use std::sync::LazyLock;

use teaselgap_core::{Span, job::JobId};
use teaselgap_standins::model::{CallKind, Fate, Model};

use super::history::{Arrival, Course, OwnerChange, Played, assert_holds, grid};
use crate::fixtures::{job_spec, new_model_with_valid_late_orders, queue, step};

const FIRST: JobId = JobId(7);

const SECOND: JobId = JobId(8);

/// Time from the first job to the second one, in milliseconds: the order leaves after the hold, and before it.
const SECOND_JOB_MS: [u64; 2] = [250, 100];

/// Time from the first job to the end of its worker, in milliseconds.
const LOST_MS: u64 = 400;

/// Time from the first job to the next life, in milliseconds.
const BACK_MS: u64 = 3_000;

/// Time for which the next life can't be reached, in milliseconds.
const AWAY_MS: u64 = 300;

/// Time from the first job to a change of owners, in milliseconds.
const OWNER_CHANGE_MS: u64 = 1_000;

/// One worker. The first job's task is done and its end confirmed by a hold that is late; both copies of
/// the order for the second job's task are late, too, and the worker ends.
#[derive(Debug)]
struct History {
    owner_change: Option<OwnerChange>,
    second_job_ms: u64,
    task_ms: u64,
    /// When the hold comes, after the run that the order begins has ended, in milliseconds.
    hold_after_ms: u64,
    /// What becomes of the second copy of the second job's order.
    second_copy: Course,
}

impl History {
    fn play(&self) -> Played {
        let mut model = new_model_with_valid_late_orders(1);
        model.count_every_start();
        let begin = model.now();
        let start_until = begin + Span(BACK_MS);
        let hold_until = start_until + Span(self.task_ms + self.hold_after_ms);
        model.script_fates("w0", CallKind::Confirm, &[Fate::Late(hold_until)]);
        let run_to = |model: &mut Model, ms: u64| {
            let left = (begin + Span(ms)).since(model.now());
            model.run_for(left.0);
        };
        model.submit(FIRST, &queue(), job_spec(vec![step(1, 4_000, 150)]));
        run_to(&mut model, self.second_job_ms);
        let second_copy = self.second_copy.fate(start_until);
        model.script_fates("w0", CallKind::Start, &[Fate::Late(start_until), second_copy]);
        model.submit(SECOND, &queue(), job_spec(vec![step(1, 4_000, self.task_ms)]));
        run_to(&mut model, LOST_MS);

        model.lose_worker("w0");
        run_to(&mut model, OWNER_CHANGE_MS);
        if let Some(change) = self.owner_change {
            change.happen(&mut model, 0);
        }
        run_to(&mut model, BACK_MS - AWAY_MS);
        let wall_ms = model.wall_ms();
        model.restart_worker_at("w0", wall_ms, AWAY_MS);
        model.run_for(AWAY_MS + self.task_ms + self.hold_after_ms);

        Played::to_end(self, model, &[SECOND]).by_arrival_of(CallKind::Confirm)
    }
}

static PLAYED: LazyLock<Vec<Played>> = LazyLock::new(|| {
    let mut played = Vec::new();
    let owner_changes = [None, Some(OwnerChange::Killed), Some(OwnerChange::CutOff)];
    let orders = SECOND_JOB_MS.map(|at_ms| owner_changes.map(|change| (at_ms, change)));
    for (second_job_ms, owner_change) in orders.concat() {
        for task_ms in grid(&[50, 200], &[10, 50, 100, 200, 400]) {
            for hold_after_ms in grid(&[10, 1_000], &[0, 5, 10, 20, 50, 100, 200, 400, 800, 1_600])
            {
                let second_copy = Course::Late;
                played.push(
                    History { owner_change, second_job_ms, task_ms, hold_after_ms, second_copy }
                        .play(),
                );
            }
        }
    }
    played
});

#[test]
fn a_hold_confirms_no_end_of_a_late_order_before_the_first_call_of_a_life() {
    assert_holds(&PLAYED, Arrival::BeforeFirstCall);
}

#[test]
fn a_hold_confirms_no_end_of_a_late_order_after_the_first_call_of_a_life() {
    assert_holds(&PLAYED, Arrival::AfterFirstCall);
}

/// The second copy of the order is carried out in time and its answer is lost, so that a list shows the run
/// while the first copy is still under way.
static PLAYED_LISTED: LazyLock<Vec<Played>> = LazyLock::new(|| {
    let mut played = Vec::new();
    for second_job_ms in [250, 100, 60] {
        for task_ms in grid(&[300, 600], &[300, 400, 600, 800]) {
            for hold_after_ms in grid(&[10, 100], &[0, 5, 10, 20, 50, 100, 200]) {
                let (owner_change, second_copy) = (None, Course::AnswerLost);
                played.push(
                    History { owner_change, second_job_ms, task_ms, hold_after_ms, second_copy }
                        .play(),
                );
            }
        }
    }
    played
});

#[test]
fn a_hold_confirms_no_end_of_a_late_copy_whose_run_is_listed_before_the_first_call_of_a_life() {
    assert_holds(&PLAYED_LISTED, Arrival::BeforeFirstCall);
}
