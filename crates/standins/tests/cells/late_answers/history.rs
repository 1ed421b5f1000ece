//! What happens in a drawn history.

use proptest::prelude::*;
use teaselgap_core::job::DrainMode;

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

/// A history in which no answer is lost.
#[derive(Clone, Debug)]
pub(super) struct History {
    pub(super) path: Path,
    /// How many of the tasks that last may be away.
    pub(super) max_unavailable: u32,
    /// Each event, after a job was submitted and some time has passed.
    pub(super) events: Vec<(Short, u64, Event)>,
}

pub(super) fn history() -> impl Strategy<Value = History> {
    let events = prop::collection::vec((short(), pause(), event()), 2..8);
    (path(), 1_u32..=2, events).prop_map(|(path, max_unavailable, events)| History {
        path,
        max_unavailable,
        events,
    })
}
