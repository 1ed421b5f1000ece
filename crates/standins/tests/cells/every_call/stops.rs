//! Stop orders of an earlier life of their worker.

use teaselgap_core::{
    Span,
    job::{EndKind, JobId},
};
use teaselgap_standins::model::{CallKind, Fate, Model};

use super::history::{Arrival, OwnerChange, Played, assert_holds, grid};
use crate::fixtures::{job_spec, new_model_with_valid_late_orders, queue, step, task_id};

const JOB: JobId = JobId(7);

/// Time from the job to when its worker can be reached again, in milliseconds.
const BACK_MS: u64 = 3_000;

/// Time for which the worker can't be reached, in milliseconds.
const AWAY_MS: u64 = 300;

/// One worker. No copy of the first attempt's order arrives, and its stop reaches the next life, where a
/// later attempt may run.
#[derive(Debug)]
struct History {
    owner_change: Option<(OwnerChange, u64)>,
    arrives_after_ms: u64,
    task_ms: u64,
}

impl History {
    fn play(&self) -> Played {
        let mut model = new_model_with_valid_late_orders(1);
        model.count_every_start();
        let begin = model.now();
        let late_until = begin + Span(BACK_MS + self.arrives_after_ms);
        model.script_fates("w0", CallKind::Start, &[Fate::CallLost; 2]);
        model.script_fates("w0", CallKind::Stop, &[Fate::Late(late_until)]);
        model.submit(JOB, &queue(), job_spec(vec![step(1, 4_000, self.task_ms)]));
        let run_to = |model: &mut Model, ms: u64| {
            let left = (begin + Span(ms)).since(model.now());
            model.run_for(left.0);
        };
        if let Some((change, at_ms)) = self.owner_change {
            run_to(&mut model, at_ms);
            change.happen(&mut model, 0);
        }
        run_to(&mut model, BACK_MS - AWAY_MS);
        let wall_ms = model.wall_ms();
        model.restart_worker_at("w0", wall_ms, AWAY_MS);
        run_to(&mut model, BACK_MS + self.arrives_after_ms);
        model.run_for(self.task_ms);

        let starts = model.start_count(task_id(JOB, 0));
        let stopped = model.end_count(EndKind::Stopped);
        let late_stops =
            model.late_calls().iter().filter(|call| call.kind == CallKind::Stop).count();
        let case = format!("{self:?}, {late_stops} late stops, {starts} starts");
        Played::to_end(&case, model, &[JOB]).with_fault(stopped > 0, "a run was stopped")
    }
}

fn play_all(owner_changes: &[Option<(OwnerChange, u64)>]) -> Vec<Played> {
    let mut played = Vec::new();
    for &owner_change in owner_changes {
        for task_ms in [300, 3_000] {
            for arrives_after_ms in grid(
                &[0, 200, 1_000, 2_000],
                &[0, 50, 100, 200, 400, 700, 1_000, 2_000, 4_000, 8_000],
            ) {
                played.push(History { owner_change, arrives_after_ms, task_ms }.play());
            }
        }
    }
    played
}

#[test]
fn a_stop_of_an_earlier_life_ends_no_run_of_a_later_attempt() {
    let played = play_all(&[None]);

    assert_holds(&played, Arrival::BeforeFirstCall);
    assert_holds(&played, Arrival::AfterFirstCall);
}

#[test]
fn a_stop_of_an_earlier_owner_ends_no_run_of_the_next_life() {
    let times = grid(&[1_500], &[700, 1_000, 1_500, 2_500]);
    let of_time = |at_ms| OwnerChange::ALL.map(|change| Some((change, at_ms)));

    let played = play_all(&times.into_iter().flat_map(of_time).collect::<Vec<_>>());

    assert_holds(&played, Arrival::BeforeFirstCall);
    assert_holds(&played, Arrival::AfterFirstCall);
}
