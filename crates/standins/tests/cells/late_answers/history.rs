//! What happens in a drawn history.

use proptest::prelude::*;
use teaselgap_core::job::DrainMode;
use teaselgap_standins::model::ClockDraw;

/// Number of workers. The first two are never drained and never leave, and have room for all tasks.
pub(super) const WORKERS: usize = 5;

/// The first worker that may be in trouble.
const FIRST_TROUBLED: usize = 2;

/// The longest time by which an answer is late, in milliseconds. With the time in the link it stays below the
/// timeout of a call.
const LONGEST_LATE_MS: u64 = 450;

/// The link of the owner, and the answers that come over it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Path {
    pub(super) link_mbps: u64,
    /// Size of the payload that each start order carries.
    pub(super) payload_bytes: usize,
    /// The longest time by which an answer is late, in milliseconds.
    pub(super) late_ms: u64,
    /// How many of 100 answers are late.
    pub(super) late_percent: u64,
    /// What the times are drawn from.
    pub(super) seed: u64,
}

fn path() -> impl Strategy<Value = Path> {
    let late = (60..=LONGEST_LATE_MS, 20_u64..=100, any::<u64>());
    (2_u64..50, 10_usize..2_000, late).prop_map(|(link_mbps, payload_bytes, late)| {
        let (late_ms, late_percent, seed) = late;
        Path { link_mbps, payload_bytes, late_ms, late_percent, seed }
    })
}

/// Why the owner stops runs. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// The worker is drained, until the drains end.
    Drain(usize, DrainMode),
    /// All drains end.
    EndDrains,
    /// The worker announces that it leaves after this time.
    Leaves(usize, u64),
    /// The worker stays after all.
    Stays(usize),
    /// The client account cancels the latest job of short tasks.
    Cancel,
    Nothing,
    /// The worker restarts while a copy of an order to it is under way.
    Reborn(usize, Rebirth),
}

/// What becomes of a call of a worker's earlier life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Course {
    Answered,
    AnswerLost,
    CallLost,
    /// It comes in the next life, and is answered if the owner still waits for it.
    Next,
}

fn course() -> impl Strategy<Value = Course> {
    prop_oneof![
        2 => Just(Course::Answered),
        1 => Just(Course::AnswerLost),
        1 => Just(Course::CallLost),
        4 => Just(Course::Next),
    ]
}

/// A worker that restarts under its id soon after the order to start a task. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rebirth {
    /// The fates of the order's copies.
    pub(super) copies: [Course; 2],
    /// The fate of the first stop.
    pub(super) stop: Course,
    /// How long after the order the worker is drained, if it is.
    pub(super) drained_after: Option<u64>,
    /// How long after that, or after the order, it restarts.
    pub(super) restarts_after: u64,
    /// How long its next life can't be reached.
    pub(super) away: u64,
    /// How long after that the late calls come.
    pub(super) comes_after: u64,
    /// Where the clock of the next life begins.
    pub(super) clock: ClockDraw,
    /// Whether the next life names the start of the one before as its own.
    pub(super) has_same_start: bool,
    /// How long each ordered task runs.
    pub(super) task_ms: u64,
}

/// A clock that may look like that of the life before.
fn clock() -> impl Strategy<Value = ClockDraw> {
    prop_oneof![
        3 => (0_u64..20).prop_map(ClockDraw::Inside),
        2 => (0_u64..2_000).prop_map(ClockDraw::Behind),
        1 => (0_u64..2_000).prop_map(ClockDraw::Small),
    ]
}

fn rebirth() -> impl Strategy<Value = Rebirth> {
    let copies = (course(), course()).prop_map(|(first, second)| [first, second]);
    let drained_after = prop::option::weighted(0.7, 0_u64..700);
    let restarts_after = prop_oneof![3 => 0_u64..500, 2 => 500_u64..3_000, 1 => 3_000_u64..12_000];
    let times = (drained_after, restarts_after, 0_u64..300, 0_u64..120);
    let task_ms = prop_oneof![50_u64..600, 2_000_u64..15_000];
    (copies, course(), times, (clock(), any::<bool>()), task_ms).prop_map(
        |(copies, stop, times, (clock, has_same_start), task_ms)| {
            let (drained_after, restarts_after, away, comes_after) = times;
            Rebirth {
                copies,
                stop,
                drained_after,
                restarts_after,
                away,
                comes_after,
                clock,
                has_same_start,
                task_ms,
            }
        },
    )
}

/// A worker that restarts as soon as it has listed the stopped run, just before the second copy comes to its next life
/// and is answered in time.
fn quick_rebirth() -> impl Strategy<Value = Rebirth> {
    let times = (70_u64..130, 215_u64..300, 0_u64..20);
    (times, clock(), any::<bool>()).prop_map(|(times, clock, has_same_start)| {
        let (drained_after, restarts_after, comes_after) = times;
        Rebirth {
            copies: [Course::Answered, Course::Next],
            stop: Course::Answered,
            drained_after: Some(drained_after),
            restarts_after,
            away: 0,
            comes_after,
            clock,
            has_same_start,
            task_ms: LONG_TASK_MS,
        }
    })
}

fn event() -> impl Strategy<Value = Event> {
    let worker = || FIRST_TROUBLED..WORKERS;
    let mode = prop_oneof![
        1 => Just(DrainMode::WaitForRuns),
        1 => Just(DrainMode::StopCheckpointed),
        3 => Just(DrainMode::StopAll),
    ];
    prop_oneof![
        4 => (worker(), mode).prop_map(|(worker, mode)| Event::Drain(worker, mode)),
        2 => Just(Event::EndDrains),
        2 => (worker(), 1_000_u64..5_000).prop_map(|(worker, ms)| Event::Leaves(worker, ms)),
        1 => worker().prop_map(Event::Stays),
        1 => Just(Event::Cancel),
        1 => Just(Event::Nothing),
    ]
}

/// How long a task runs that goes on through all that a worker does meanwhile, in milliseconds.
const LONG_TASK_MS: u64 = 15_000;

/// A job of short tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Short {
    pub(super) tasks: u32,
    pub(super) ms: u64,
    pub(super) saves_checkpoints: bool,
}

/// The most tasks of a job.
const MAX_TASKS: u32 = 8;

fn short() -> impl Strategy<Value = Short> {
    let time = prop_oneof![1 => 50_u64..500, 1 => 500_u64..5_000];
    (1..=MAX_TASKS, time, any::<bool>()).prop_map(|(tasks, ms, saves_checkpoints)| Short {
        tasks,
        ms,
        saves_checkpoints,
    })
}

/// Time before the next event, in milliseconds: often so short that answers are still to come.
fn pause() -> impl Strategy<Value = u64> {
    prop_oneof![0_u64..700, 0_u64..3_000]
}

/// What happens in a model. No answer is lost but to a worker that restarts.
#[derive(Clone, Debug)]
pub(super) struct History {
    pub(super) path: Path,
    /// How many of the tasks that last may be away; `None` without such tasks.
    pub(super) max_unavailable: Option<u32>,
    /// Each event, after a job was submitted and some time has passed.
    pub(super) events: Vec<(Short, u64, Event)>,
}

pub(super) fn history() -> impl Strategy<Value = History> {
    let events = prop::collection::vec((short(), pause(), event()), 2..8);
    (path(), 1_u32..=2, events).prop_map(|(path, max_unavailable, events)| History {
        path,
        max_unavailable: Some(max_unavailable),
        events,
    })
}

/// Histories with short tasks in which workers restart while copies of orders to them are under way.
pub(super) fn history_of_reborn_workers() -> impl Strategy<Value = History> {
    let birth = prop_oneof![rebirth(), quick_rebirth()];
    let reborn = (0..WORKERS, birth).prop_map(|(worker, birth)| Event::Reborn(worker, birth));
    let event = prop_oneof![4 => reborn, 1 => event()];
    let events = prop::collection::vec((short(), pause(), event), 1..5);
    (path(), events).prop_map(|(path, events)| History { path, max_unavailable: None, events })
}
