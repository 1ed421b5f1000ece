//! Start orders of an earlier life of their worker, for tasks that last and for members of a gang.

use std::sync::LazyLock;

use teaselgap_core::{
    Span,
    job::{JobId, JobSpec, Step, WorkerId},
};
use teaselgap_standins::model::{CallKind, ClockDraw, Model, TaskTime};

use super::history::{
    Arrival, Course, LONG_MS, OwnerChange, Played, assert_holds, grid, use_no_more,
};
use crate::fixtures::{job_spec, long_running_job, new_model, queue, step, task_id};

const JOB: JobId = JobId(7);

/// Number of workers, of which a gang uses all but one.
const WORKERS: usize = 3;

/// Time for which an order may be sent after its job is submitted, in milliseconds.
const ORDER_MS: u64 = 1_000;

/// For how long the next life can't be reached after its start, in milliseconds.
const AWAY_MS: u64 = 300;

/// For how long a member of a gang waits for the others, in milliseconds.
const ALONE_MS: u64 = 1_000;

/// Time after the order by which the other members of a gang have begun, in milliseconds.
const BEGUN_MS: u64 = 100;

/// How long a gang runs that is complete, in milliseconds.
const GANG_MS: u64 = 20_000;

/// When a worker restarts for the first time that does so twice, in milliseconds after the order.
const FIRST_RESTART_MS: u64 = 700;

/// By how much an earlier clock the next life begins, in milliseconds: an order that names a time on the clock
/// before is valid for long.
const BEHIND_MS: u64 = 20_000;

/// What starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A task that lasts.
    Lasting,
    /// A gang, whose other members are ordered in time and wait in vain.
    Gang,
}

impl Kind {
    fn spec(self) -> JobSpec {
        match self {
            Self::Lasting => long_running_job(1, 1),
            Self::Gang => {
                let count = u32::try_from(WORKERS - 1).unwrap();
                job_spec(vec![Step { gang: true, ..step(count, 20_000, GANG_MS) }])
            }
        }
    }
}

/// What becomes of the worker that was ordered to start the task, and why the next attempt may start elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// The worker is drained, and crashes only later, so that it has confirmed the stop.
    Drained,
    /// It crashes before the order counts as unanswered, and its lease ends before it is back.
    LostAtOnce,
    /// The task was started there again, and the lease of that run ends before the worker is back.
    LostLater,
    /// It restarts at once, but it is cut off from all until its lease has ended.
    CutOff,
    /// The worker is drained and restarts soon after it has confirmed the stop.
    DrainedAndBack,
    /// It restarts twice, and its owner hears the life between.
    BackTwice,
}

impl Trouble {
    /// The next life can be reached 8 s after the order or later.
    const LONG: [Self; 4] = [Self::Drained, Self::LostAtOnce, Self::LostLater, Self::CutOff];

    /// It can be reached 3 s after the order, when a task that lasts may still wait.
    const SHORT: [Self; 2] = [Self::DrainedAndBack, Self::BackTwice];

    /// When the worker crashes, when its next life begins, and for how long that one can't be reached, in
    /// milliseconds from the order.
    fn times(self) -> (u64, u64, u64) {
        match self {
            Self::Drained => (3_700, 7_700, AWAY_MS),
            Self::LostAtOnce => (300, 11_700, AWAY_MS),
            Self::LostLater => (2_500, 11_700, AWAY_MS),
            Self::CutOff => (300, 300, 11_700),
            Self::DrainedAndBack | Self::BackTwice => (2_500, 2_800, AWAY_MS),
        }
    }

    fn is_drained(self) -> bool {
        matches!(self, Self::Drained | Self::DrainedAndBack)
    }

    /// For how long the store shows the entry of the earlier life, in milliseconds after the restart.
    fn hides_entry_for(self) -> u64 {
        if self == Self::CutOff { 4_600 } else { 0 }
    }
}

/// One worker of three gets an order late.
#[derive(Clone, Debug)]
struct History {
    kind: Kind,
    copies: [Course; 2],
    trouble: Trouble,
    /// The change of owners and its time after the order, in milliseconds.
    owner_change: Option<(OwnerChange, u64)>,
    /// When the late copies come, after the next life can be reached, in milliseconds.
    arrives_after_ms: u64,
}

impl History {
    fn play(&self) -> Played {
        let (lost_ms, born_ms, away_ms) = self.trouble.times();
        let come_ms = born_ms + away_ms + self.arrives_after_ms;
        let mut model = new_model(WORKERS);
        model.count_every_start();
        let ordered = model.now();
        let worker = self.order(&mut model, come_ms);
        let run_to = |model: &mut Model, ms: u64| {
            let left = (ordered + Span(ms)).since(model.now());
            model.run_for(left.0);
        };

        run_to(&mut model, BEGUN_MS);
        each_worker(&mut model, TaskTime::AsEstimated);
        if let Some((change, at_ms)) = self.owner_change {
            run_to(&mut model, at_ms);
            change.happen(&mut model, 0);
            self.drain(&mut model, &worker);
        }
        if self.trouble == Trouble::BackTwice {
            run_to(&mut model, FIRST_RESTART_MS);
            let wall_ms = model.wall_ms();
            model.restart_worker_at(worker.as_str(), wall_ms, 0);
        }
        run_to(&mut model, lost_ms);
        if born_ms > lost_ms {
            model.lose_worker(worker.as_str());
            run_to(&mut model, born_ms);
        }
        model.keep_entry(worker.as_str(), self.trouble.hides_entry_for());
        model.worker_mut(worker.as_str()).next_clock = Some(ClockDraw::Behind(BEHIND_MS));
        let wall_ms = model.wall_ms();
        model.restart_worker_at(worker.as_str(), wall_ms, away_ms);
        model.drop_fates(worker.as_str());
        run_to(&mut model, come_ms);

        match self.kind {
            Kind::Lasting => Played::until_running(self, model, task_id(JOB, 0)),
            Kind::Gang => Played::to_end(self, model, &[JOB]),
        }
    }

    /// Submits the job. Returns the worker that is ordered to start its first task, by orders with these
    /// fates.
    fn order(&self, model: &mut Model, come_ms: u64) -> WorkerId {
        let worker = first_worker(self.kind);
        let late_until = model.now() + Span(come_ms);
        let fates = self.copies.map(|one| one.fate(late_until));
        model.script_fates(worker.as_str(), CallKind::Start, &fates);
        submit(model, self.kind);
        assert_eq!(model.ordered_worker(task_id(JOB, 0)).as_ref(), Some(&worker));
        self.drain(model, &worker);
        worker
    }

    fn drain(&self, model: &mut Model, worker: &WorkerId) {
        if self.trouble.is_drained() {
            use_no_more(model, worker);
        }
    }
}

/// Submits a job, and lets it go on until its first task is ordered. The first run of a gang is without a member.
fn submit(model: &mut Model, kind: Kind) {
    if kind == Kind::Gang {
        each_worker(model, TaskTime::FailsAfter(ALONE_MS));
    }
    model.submit(JOB, &queue(), kind.spec());
    let is_ordered = |model: &Model| model.ordered_worker(task_id(JOB, 0)).is_some();
    assert!(model.run_until(ORDER_MS, is_ordered));
}

/// The worker that a model without faults orders to start the first task.
fn first_worker(kind: Kind) -> WorkerId {
    let mut model = new_model(WORKERS);
    submit(&mut model, kind);
    model.ordered_worker(task_id(JOB, 0)).expect("an order")
}

fn each_worker(model: &mut Model, task_time: TaskTime) {
    let ids: Vec<WorkerId> = model.workers().map(|worker| worker.entry.id.clone()).collect();
    for id in ids {
        model.worker_mut(id.as_str()).task_time = task_time;
    }
}

/// Plays all histories of a kind with these fates of the copies and these changes of owners.
fn play_all(
    (kind, troubles): (Kind, &[Trouble]),
    copies: &[[Course; 2]],
    owner_changes: &[Option<(OwnerChange, u64)>],
) -> Vec<Played> {
    let mut played = Vec::new();
    for &trouble in troubles {
        for arrives_after_ms in grid(&[0, 1_200], &[0, 90, 300, 600, 900, 1_200, 2_500]) {
            for &owner_change in owner_changes {
                for &copies in copies {
                    let history = History { kind, copies, trouble, owner_change, arrives_after_ms };
                    played.push(history.play());
                }
            }
        }
    }
    played
}

/// Time after the order by which its owner knows that no more answers come, in milliseconds.
const KNOWN_MS: u64 = 800;

/// The fates of two copies of which none is answered and one at least is late.
fn unanswered() -> Vec<[Course; 2]> {
    use Course::{AnswerLost, CallLost, Late};
    grid(
        &[[Late, Late], [AnswerLost, Late]],
        &[[Late, Late], [Late, CallLost], [CallLost, Late], [Late, AnswerLost], [AnswerLost, Late]],
    )
}

const ANSWERED: [[Course; 2]; 1] = [[Course::Late, Course::Answered]];

fn of_earlier_owner(kind: Kind, troubles: &[Trouble]) -> Vec<Played> {
    let changes = OwnerChange::ALL.map(|change| Some((change, KNOWN_MS)));
    play_all((kind, troubles), &[ANSWERED.to_vec(), unanswered()].concat(), &changes)
}

static LASTING: LazyLock<Vec<Played>> =
    LazyLock::new(|| play_all((Kind::Lasting, &Trouble::LONG), &unanswered(), &[None]));

static ANSWERED_LASTING: LazyLock<Vec<Played>> =
    LazyLock::new(|| play_all((Kind::Lasting, &Trouble::LONG), &ANSWERED, &[None]));

static LASTING_OF_EARLIER_OWNER: LazyLock<Vec<Played>> =
    LazyLock::new(|| of_earlier_owner(Kind::Lasting, &Trouble::LONG));

static LASTING_SOON: LazyLock<Vec<Played>> =
    LazyLock::new(|| play_all((Kind::Lasting, &Trouble::SHORT), &unanswered(), &[None]));

static ANSWERED_LASTING_SOON: LazyLock<Vec<Played>> =
    LazyLock::new(|| play_all((Kind::Lasting, &Trouble::SHORT), &ANSWERED, &[None]));

static LASTING_SOON_OF_EARLIER_OWNER: LazyLock<Vec<Played>> =
    LazyLock::new(|| of_earlier_owner(Kind::Lasting, &Trouble::SHORT));

static GANG: LazyLock<Vec<Played>> =
    LazyLock::new(|| play_all((Kind::Gang, &Trouble::LONG), &unanswered(), &[None]));

static ANSWERED_GANG: LazyLock<Vec<Played>> =
    LazyLock::new(|| play_all((Kind::Gang, &Trouble::LONG), &ANSWERED, &[None]));

static GANG_OF_EARLIER_OWNER: LazyLock<Vec<Played>> =
    LazyLock::new(|| of_earlier_owner(Kind::Gang, &Trouble::LONG));

#[test]
fn an_unanswered_order_makes_no_second_run_of_a_task_that_lasts_before_the_first_call_of_a_life() {
    assert_holds(&LASTING, Arrival::BeforeFirstCall);
}

#[test]
fn an_unanswered_order_makes_no_second_run_of_a_task_that_lasts_after_the_first_call_of_a_life() {
    assert_holds(&LASTING, Arrival::AfterFirstCall);
}

#[test]
fn a_copy_of_an_answered_order_makes_no_second_run_of_a_task_that_lasts_before_the_first_call_of_a_life()
 {
    assert_holds(&ANSWERED_LASTING, Arrival::BeforeFirstCall);
}

#[test]
fn an_open_order_of_an_earlier_owner_makes_no_second_run_of_a_task_that_lasts_before_the_first_call_of_a_life()
 {
    assert_holds(&LASTING_OF_EARLIER_OWNER, Arrival::BeforeFirstCall);
}

#[test]
fn an_unanswered_order_makes_no_second_run_of_a_task_that_lasts_while_it_may_wait() {
    assert_holds(&LASTING_SOON, Arrival::BeforeFirstCall);
}

#[test]
fn a_copy_of_an_answered_order_makes_no_second_run_of_a_task_that_lasts_while_it_may_wait() {
    assert_holds(&ANSWERED_LASTING_SOON, Arrival::BeforeFirstCall);
}

#[test]
fn an_open_order_of_an_earlier_owner_makes_no_second_run_of_a_task_that_lasts_while_it_may_wait() {
    assert_holds(&LASTING_SOON_OF_EARLIER_OWNER, Arrival::BeforeFirstCall);
}

#[test]
fn an_unanswered_order_makes_no_second_run_of_a_gang_member_before_the_first_call_of_a_life() {
    assert_holds(&GANG, Arrival::BeforeFirstCall);
}

#[test]
fn an_unanswered_order_makes_no_second_run_of_a_gang_member_after_the_first_call_of_a_life() {
    assert_holds(&GANG, Arrival::AfterFirstCall);
}

#[test]
fn a_copy_of_an_answered_order_makes_no_second_run_of_a_gang_member_before_the_first_call_of_a_life()
 {
    assert_holds(&ANSWERED_GANG, Arrival::BeforeFirstCall);
}

#[test]
fn an_open_order_of_an_earlier_owner_makes_no_second_run_of_a_gang_member_before_the_first_call_of_a_life()
 {
    assert_holds(&GANG_OF_EARLIER_OWNER, Arrival::BeforeFirstCall);
}

/// How long after its last run a task that lasts counts as lost, in milliseconds.
const LOST_MS: u64 = 9_000;

/// For how long a task is away whose worker is lost for good this time after the order.
fn away_ms(copies: [Course; 2], lost_ms: u64) -> u64 {
    let mut model = new_model(WORKERS);
    let ordered = model.now();
    let worker = first_worker(Kind::Lasting);
    let fates = copies.map(|one| one.fate(ordered + Span(LONG_MS)));
    model.script_fates(worker.as_str(), CallKind::Start, &fates);
    submit(&mut model, Kind::Lasting);
    let left = (ordered + Span(lost_ms)).since(model.now());
    model.run_for(left.0);
    model.lose_worker(worker.as_str());
    let lost = model.now();
    let runs = |model: &Model| model.workers().any(|worker| worker.is_running(task_id(JOB, 0)));
    assert!(model.run_until(LONG_MS, runs), "{copies:?}, lost after {lost_ms} ms");
    model.now().since(lost).0
}

#[test]
fn a_task_that_lasts_is_not_lost_with_its_worker_while_an_order_is_open() {
    let copies = [vec![[Course::CallLost, Course::Answered]], unanswered()].concat();
    let mut away = Vec::new();
    for lost_ms in (100..5_000).step_by(200) {
        away.extend(copies.iter().map(|&copies| (away_ms(copies, lost_ms), copies, lost_ms)));
    }

    let longest = away.iter().max_by_key(|one| one.0).expect("a history");
    let too_long = away.iter().filter(|one| one.0 > LOST_MS).count();
    println!("away for up to {longest:?}, too long in {too_long} of {}", away.len());
    assert_eq!(too_long, 0, "{longest:?}");
}
