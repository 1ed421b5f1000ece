//! A property test: an owner counts a restart exactly when it hears of an instance that is later in
//! truth, however the instances are named, and takes up nothing that an earlier one lists. Statements
//! are drawn from whole lives, so that they overtake each other at will.

use proptest::prelude::*;
use teaselgap_core::{
    Timestamp,
    job::{EndKind, HoldReport, JobId, LogEvent, RunEnd, WorkerEntry},
};
use teaselgap_standins::model::{ClockDraw, Model};

use super::{clock_draw, restart_count};
use crate::fixtures::{new_model, task_id, worker};

/// The longest time after which a write of an ended instance is carried out, in milliseconds.
const LATE_WRITE_MS: u64 = 6_000;

/// What names an instance of a worker.
#[derive(Clone, Copy, Debug)]
enum Source {
    Entry,
    Answer,
}

/// An instance of the worker, in milliseconds of the owner's clock.
#[derive(Clone, Copy, Debug)]
struct Instance {
    born: u64,
    ended: u64,
    /// The time by which it is named, whatever its wall clock showed.
    name: u64,
    /// What its clock shows when it is born.
    first_clock_ms: u64,
    /// By how much its clock is slow, in percent.
    slow_percent: u64,
}

impl Instance {
    fn clock_ms(&self, at: u64) -> u64 {
        self.first_clock_ms + (at - self.born) * (100 - self.slow_percent) / 100
    }
}

/// How long an instance lives, by how much its clock is slow, where that starts, and what the instance is
/// named by.
type Life = (u64, u64, ClockDraw, u64);

/// What names an instance, and when that reaches the owner.
#[derive(Clone, Copy, Debug)]
struct Statement {
    instance: usize,
    arrives: u64,
    /// When the owner asked and what the instance's clock showed; `None` for an entry.
    answer: Option<(u64, u64)>,
}

/// How a statement comes about, as shares of what its instance allows.
#[derive(Clone, Copy, Debug)]
struct Draw {
    source: Source,
    instance: prop::sample::Index,
    /// When it was made, in thousandths of the instance's life.
    given_permille: u64,
    asked_before_ms: u64,
    answer_ms: u64,
    write_ms: u64,
}

fn draw() -> impl Strategy<Value = Draw> {
    let source = prop_oneof![Just(Source::Entry), Just(Source::Answer)];
    let instance = any::<prop::sample::Index>();
    (source, instance, 0_u64..1_000, 0_u64..500, 0_u64..1_000, 0..LATE_WRITE_MS).prop_map(
        |(source, instance, given_permille, asked_before_ms, answer_ms, write_ms)| Draw {
            source,
            instance,
            given_permille,
            asked_before_ms,
            answer_ms,
            write_ms,
        },
    )
}

/// Draws the lives of instances: the names are in any order, and the clocks start anywhere.
fn lives() -> impl Strategy<Value = Vec<Life>> {
    let names: Vec<u64> = (2..8).collect();
    let lives = prop::collection::vec((100_u64..4_000, 0_u64..3, clock_draw()), 6);
    (lives, Just(names).prop_shuffle()).prop_map(|(lives, names)| {
        let name = |((ms, slow, clock), name)| (ms, slow, clock, name);
        lives.into_iter().zip(names).map(name).collect()
    })
}

/// Returns the instances of the worker: the one that the owner knows at `known_at`, whose clock showed
/// `first_clock_ms` at time zero, and those after it.
fn instances(lives: &[Life], first_clock_ms: u64, known_at: u64) -> Vec<Instance> {
    let mut ended = known_at + lives[0].0;
    let mut instances = vec![Instance { born: 0, ended, name: 1, first_clock_ms, slow_percent: 0 }];
    for &(ms, slow_percent, clock, name) in lives {
        let last_clock_ms = instances.last().map_or(0, |last| last.clock_ms(ended));
        let first_clock_ms = clock.first_reading(last_clock_ms);
        let life = Instance { born: ended, ended: ended + ms, name, first_clock_ms, slow_percent };
        instances.push(life);
        ended += ms;
    }
    instances
}

/// Returns the statements in the order in which they reach the owner, each one that a true worker can
/// make: only the living instance answers, and a write may be carried out after its instance has ended.
fn statements(instances: &[Instance], draws: &[Draw], known_at: u64) -> Vec<Statement> {
    let statement = |draw: &Draw| {
        let number = draw.instance.index(instances.len());
        let Instance { born, ended, .. } = instances[number];
        let earliest = born.max(known_at + 1);
        let given = earliest + (ended - earliest) * draw.given_permille / 1_000;
        let asked = given.saturating_sub(draw.asked_before_ms).max(earliest);
        let clock_ms = instances[number].clock_ms(given);
        match draw.source {
            Source::Entry => {
                Statement { instance: number, arrives: given + draw.write_ms, answer: None }
            }
            Source::Answer => Statement {
                instance: number,
                arrives: given + draw.answer_ms,
                answer: Some((asked, clock_ms)),
            },
        }
    };
    let mut statements: Vec<Statement> = draws.iter().map(statement).collect();
    statements.sort_by_key(|statement| statement.arrives);
    statements
}

/// The task of which an instance lists the end.
fn listed_job(instance: usize) -> JobId {
    JobId(100 + instance as u64)
}

/// Passes a statement to the owner. An answer lists an end that only its instance can list.
fn make_statement(model: &mut Model, instance: &Instance, statement: &Statement) {
    let now = Timestamp(statement.arrives);
    let cell = model.cell_mut().expect("an owner");
    let started_wall_ms = instance.name;
    if let Some((asked, clock_ms)) = statement.answer {
        let task = task_id(listed_job(statement.instance), 0);
        let end = RunEnd { number: 1, task, attempt: 1, kind: EndKind::Done, checkpoint: None };
        let (running, ends) = (Vec::new(), vec![end]);
        let report = HoldReport { clock_ms, started_wall_ms, running, ends, is_complete: true };
        cell.on_hold_answer(&"w0".into(), Timestamp(asked), Some(report), now);
    } else {
        let entry = WorkerEntry { started_wall_ms, ..worker(0).entry };
        cell.update_workers(vec![entry], true, now);
    }
    let actions = model.cell_mut().expect("an owner").take_actions();
    model.note_log_events(actions);
}

/// Whether the owner has taken note of an end that only this instance lists.
fn is_heard(model: &Model, instance: usize) -> bool {
    let is_of_instance = |event: &LogEvent| {
        matches!(event, LogEvent::Ended { run, .. }
        if run.task.job == listed_job(instance))
    };
    model.log_events().iter().any(is_of_instance)
}

proptest! {
    /// Instances are born in any order of their names. A statement counts as a restart only if it is
    /// about a later instance than all that counted before, and does if it is an answer that was asked
    /// for since the owner heard of the newest one. Nothing that an earlier one says is taken up.
    #[test]
    fn only_a_statement_about_an_instance_that_is_later_in_truth_counts_as_a_restart(
        lives in lives(),
        draws in prop::collection::vec(draw(), 1..24),
    ) {
        let mut model = new_model(1);
        let known_at = model.now().0;
        let first_clock_ms = model.worker_mut("w0").clock(Timestamp(0));
        let instances = instances(&lives, first_clock_ms, known_at);
        let (mut newest, mut heard_at) = (0, known_at);

        for statement in statements(&instances, &draws, known_at) {
            let number = statement.instance;
            let (restarts, was_heard) = (restart_count(&model), is_heard(&model, number));
            make_statement(&mut model, &instances[number], &statement);
            let counted = restart_count(&model) - restarts;

            let is_later = number > newest;
            let is_asked_since = statement.answer.is_some_and(|(asked, _)| asked > heard_at);
            prop_assert!(counted <= usize::from(is_later), "{:?} after {}", statement, newest);
            prop_assert!(counted == 1 || !(is_later && is_asked_since), "{:?}", statement);
            newest = if counted == 1 { number } else { newest };
            if number == newest && (counted == 1 || statement.answer.is_some()) {
                heard_at = statement.arrives;
            }
            let is_newly_heard = is_heard(&model, number) && !was_heard;
            prop_assert!(!is_newly_heard || number == newest, "{:?}", statement);
            prop_assert!(number != newest || statement.answer.is_none() || is_heard(&model, number));
        }
    }
}
