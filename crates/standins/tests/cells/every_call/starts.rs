//! Start orders of an earlier life of their worker.

use std::sync::LazyLock;

use teaselgap_core::{
    Span,
    job::{JobId, WorkerId},
};
use teaselgap_standins::model::{CallKind, Model};

use super::history::{
    Arrival, Course, OLD_MS, OwnerChange, Played, assert_holds, grid, use_no_more,
};
use crate::fixtures::{job_spec, new_model_with_valid_late_orders, queue, step, task_id};

const JOB: JobId = JobId(7);

/// Time for which an order may be sent after its job is submitted, in milliseconds.
const ORDER_MS: u64 = 1_000;

/// How long a task runs that is done before its worker's next life begins, in milliseconds.
const SHORT_MS: u64 = 500;

/// How long a task runs that goes on meanwhile, in milliseconds.
const ENDURING_MS: u64 = 12_000;

/// More stops than are sent to the next life before the late calls come.
const NEXT_STOPS: usize = 50;

/// The fates of the stop in the life of the order, and of those in the next one.
fn stops() -> Vec<(Course, Course)> {
    use Course::{AnswerLost, Answered, CallLost, Late};
    let wide = [
        (Answered, Answered),
        (Late, Answered),
        (AnswerLost, Answered),
        (CallLost, Answered),
        (Answered, AnswerLost),
        (Answered, CallLost),
        (Late, CallLost),
    ];
    grid(&[(Answered, Answered), (Late, Answered), (Answered, CallLost)], &wide)
}

/// How a worker restarts under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    /// It is down for so long that the owner notices.
    Noticed,
    /// At once.
    Quick,
    /// At once and soon after the order, but it is cut off from all until its lease has ended.
    Away,
}

impl Restart {
    /// How long the worker is down, is up and can't be reached, and when it can be reached again after
    /// the order, in milliseconds.
    fn times(self) -> (u64, u64, u64) {
        match self {
            Self::Noticed => (4_000, 300, 8_000),
            Self::Quick => (0, 300, 8_000),
            Self::Away => (0, 6_700, 6_900),
        }
    }

    /// How long the worker has been up before the order, in milliseconds. An order names a time on its clock,
    /// so that of an old worker is valid for long in a young one.
    fn age_ms(self) -> u64 {
        if self == Self::Away { OLD_MS } else { 0 }
    }

    /// For how long the store shows the entry of the earlier life, in milliseconds after the restart.
    fn hides_entry_for(self) -> u64 {
        if self == Self::Away { 4_600 } else { 0 }
    }
}

/// One task, whose first attempt is ordered to a worker that restarts.
#[derive(Clone, Debug)]
struct History {
    copies: [Course; 2],
    /// What becomes of the first stop in the life of the order.
    stop: Course,
    /// What becomes of each stop that is sent to the next life.
    next_stops: Course,
    /// The change of owners and its time after the order, in milliseconds.
    owner_change: Option<(OwnerChange, u64)>,
    restart: Restart,
    /// Whether the next attempt can't go to the same worker.
    is_drained: bool,
    /// When the late calls come, after the next life can be reached, in milliseconds.
    arrives_after_ms: u64,
    task_ms: u64,
}

impl History {
    fn play(&self) -> Played {
        let (down_ms, away_ms, back_ms) = self.restart.times();
        let mut model = new_model_with_valid_late_orders(2);
        model.count_every_start();
        model.run_for(self.restart.age_ms());
        let late_until = model.now() + Span(back_ms + self.arrives_after_ms);
        for id in ["w0", "w1"] {
            model.script_fates(id, CallKind::Start, &self.copies.map(|one| one.fate(late_until)));
            model.script_fates(id, CallKind::Stop, &[self.stop.fate(late_until)]);
        }
        let submitted = model.now();
        model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, self.task_ms)]));
        let is_ordered = |model: &Model| model.ordered_worker(task_id(JOB, 0)).is_some();
        assert!(model.run_until(ORDER_MS, is_ordered));
        let worker = model.ordered_worker(task_id(JOB, 0)).expect("an order");
        model.drop_fates(if worker.as_str() == "w0" { "w1" } else { "w0" });
        self.drain(&mut model, &worker);
        let run_to = |model: &mut Model, ms: u64| {
            let left = (submitted + Span(ms)).since(model.now());
            model.run_for(left.0);
        };

        let crash_ms = back_ms - down_ms - away_ms;
        if let Some((change, at_ms)) = self.owner_change {
            run_to(&mut model, at_ms);
            change.happen(&mut model, 0);
            self.drain(&mut model, &worker);
        }
        run_to(&mut model, crash_ms);
        if down_ms > 0 {
            model.lose_worker(worker.as_str());
            model.run_for(down_ms);
        }
        model.keep_entry(worker.as_str(), self.restart.hides_entry_for());
        let wall_ms = model.wall_ms();
        model.restart_worker_at(worker.as_str(), wall_ms, away_ms);
        model.drop_fates(worker.as_str());
        let next_stops = [self.next_stops.fate(late_until); NEXT_STOPS];
        model.script_fates(worker.as_str(), CallKind::Stop, &next_stops);
        run_to(&mut model, back_ms + self.arrives_after_ms);

        Played::to_end(self, model, &[JOB])
    }

    fn drain(&self, model: &mut Model, worker: &WorkerId) {
        if self.is_drained {
            use_no_more(model, worker);
        }
    }
}

/// Returns the kinds of restarts, each with whether the next attempt can't go to the same worker.
fn restarts() -> Vec<(Restart, bool)> {
    let coarse = [(Restart::Noticed, true), (Restart::Away, false)];
    let both = |restart| [(restart, true), (restart, false)];
    let wide = [Restart::Noticed, Restart::Quick, Restart::Away].map(both).concat();
    grid(&coarse, &wide)
}

/// Plays all histories with these fates of the copies and these changes of owners.
fn play_all(
    copies: &[[Course; 2]],
    owner_changes: &[Option<(OwnerChange, u64)>],
    task_ms: u64,
) -> Vec<Played> {
    let mut played = Vec::new();
    let arrivals = grid(&[0, 1_200], &[0, 90, 300, 600, 900, 1_200, 2_500]);
    let times = restarts().into_iter().flat_map(|restart| {
        arrivals.clone().into_iter().map(move |arrives_after_ms| (restart, arrives_after_ms))
    });
    for ((restart, is_drained), arrives_after_ms) in times {
        for &owner_change in owner_changes {
            for &copies in copies {
                for (stop, next_stops) in stops() {
                    let history = History {
                        copies,
                        stop,
                        next_stops,
                        owner_change,
                        restart,
                        is_drained,
                        arrives_after_ms,
                        task_ms,
                    };
                    played.push(history.play());
                }
            }
        }
    }
    played
}

/// The fates of two copies of which none is answered and one at least is late.
fn unanswered() -> Vec<[Course; 2]> {
    use Course::{AnswerLost, CallLost, Late};
    let wide =
        [[Late, Late], [Late, CallLost], [CallLost, Late], [Late, AnswerLost], [AnswerLost, Late]];
    grid(&[[Late, Late], [AnswerLost, Late]], &wide)
}

/// Time after the order by which its owner knows that no more answers come, in milliseconds.
const KNOWN_MS: u64 = 800;

/// Time after the order by which its owner has sent it again and written that, in milliseconds.
const SENT_AGAIN_MS: u64 = 250;

/// Each way in which the owner changes.
fn owner_changes() -> Vec<Option<(OwnerChange, u64)>> {
    let times = grid(&[100], &[20, 100, 700, 1_500, 3_000]);
    let of_time = |at_ms| OwnerChange::ALL.map(|change| Some((change, at_ms)));
    times.into_iter().flat_map(of_time).collect()
}

const ANSWERED: [[Course; 2]; 1] = [[Course::Late, Course::Answered]];

static SHORT: LazyLock<Vec<Played>> = LazyLock::new(|| play_all(&unanswered(), &[None], SHORT_MS));

static ENDURING: LazyLock<Vec<Played>> =
    LazyLock::new(|| play_all(&unanswered(), &[None], ENDURING_MS));

static OF_ANSWERED: LazyLock<Vec<Played>> = LazyLock::new(|| {
    let mut played = play_all(&ANSWERED, &[None], SHORT_MS);
    played.extend(play_all(&ANSWERED, &[None], ENDURING_MS));
    played
});

static OF_EARLIER_OWNER: LazyLock<Vec<Played>> = LazyLock::new(|| {
    let copies = grid(
        &[[Course::Late, Course::Answered], [Course::Late, Course::Late]],
        &[ANSWERED.to_vec(), unanswered()].concat(),
    );
    let mut played = play_all(&copies, &owner_changes(), SHORT_MS);
    played.extend(play_all(&copies, &owner_changes(), ENDURING_MS));
    played
});

/// The owner knew before its end which of its orders had no answer.
static KNOWN_TO_EARLIER_OWNER: LazyLock<Vec<Played>> = LazyLock::new(|| {
    let copies = [ANSWERED.to_vec(), unanswered()].concat();
    play_with_changes_at(KNOWN_MS, &copies)
});

/// The owner had sent them again before its end.
static SENT_AGAIN_BY_EARLIER_OWNER: LazyLock<Vec<Played>> =
    LazyLock::new(|| play_with_changes_at(SENT_AGAIN_MS, &unanswered()));

fn play_with_changes_at(at_ms: u64, copies: &[[Course; 2]]) -> Vec<Played> {
    let changes = OwnerChange::ALL.map(|change| Some((change, at_ms)));
    let mut played = play_all(copies, &changes, SHORT_MS);
    played.extend(play_all(copies, &changes, ENDURING_MS));
    played
}

#[test]
fn a_copy_of_an_answered_order_starts_nothing_twice_before_the_first_call_of_a_life() {
    assert_holds(&OF_ANSWERED, Arrival::BeforeFirstCall);
}

#[test]
fn a_copy_of_an_answered_order_starts_nothing_twice_after_the_first_call_of_a_life() {
    assert_holds(&OF_ANSWERED, Arrival::AfterFirstCall);
}

#[test]
fn an_unanswered_order_starts_no_done_task_before_the_first_call_of_a_life() {
    assert_holds(&SHORT, Arrival::BeforeFirstCall);
}

#[test]
fn an_unanswered_order_starts_no_done_task_after_the_first_call_of_a_life() {
    assert_holds(&SHORT, Arrival::AfterFirstCall);
}

#[test]
fn an_unanswered_order_makes_no_second_run_before_the_first_call_of_a_life() {
    assert_holds(&ENDURING, Arrival::BeforeFirstCall);
}

#[test]
fn an_unanswered_order_makes_no_second_run_after_the_first_call_of_a_life() {
    assert_holds(&ENDURING, Arrival::AfterFirstCall);
}

#[test]
fn an_order_of_an_earlier_owner_starts_nothing_twice_before_the_first_call_of_a_life() {
    assert_holds(&OF_EARLIER_OWNER, Arrival::BeforeFirstCall);
}

#[test]
fn an_order_of_an_earlier_owner_starts_nothing_twice_after_the_first_call_of_a_life() {
    assert_holds(&OF_EARLIER_OWNER, Arrival::AfterFirstCall);
}

#[test]
fn an_open_order_that_an_earlier_owner_knew_of_starts_nothing_twice_before_the_first_call_of_a_life()
 {
    assert_holds(&KNOWN_TO_EARLIER_OWNER, Arrival::BeforeFirstCall);
}

#[test]
fn an_order_that_an_earlier_owner_sent_again_starts_nothing_twice_before_the_first_call_of_a_life()
{
    assert_holds(&SENT_AGAIN_BY_EARLIER_OWNER, Arrival::BeforeFirstCall);
}
