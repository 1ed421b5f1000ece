//! What is drawn: how the owner's terms end and what becomes of their nodes, and what happens to the workers.

use proptest::prelude::*;
use teaselgap_standins::model::Afterlife;

/// The number of workers. The first [`FIRST_TROUBLED`] answer all calls, and have room for all tasks.
pub(crate) const WORKERS: usize = 6;

/// The first worker that may be in trouble.
pub(crate) const FIRST_TROUBLED: usize = 2;

/// The number of workers that are on no list until another one is reborn as one of them.
pub(crate) const SPARES: usize = 2;

/// A duration that exceeds every history, in milliseconds.
pub(crate) const FOREVER_MS: u64 = 600_000;

/// The longest time that a call is late, in milliseconds.
const MAX_LATE_MS: u64 = 2_500;

/// Which troubles histories are drawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Terms end by lost leases, and their nodes live.
    LivingNodes,
    /// The nodes of the terms die, two to four times.
    DeadNodes,
    All,
    /// Everything, and late calls, workers that restart in place, and owners that go on although they are cut off.
    LateCalls,
}

/// How a term ends. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// By a lost lease; the node lives.
    LostLease,
    /// By a lost lease; the node dies so long after that.
    DiesLater(u64),
    /// The node dies.
    Dies,
    /// The process dies, and the next one at its address claims.
    Restarts,
    /// By a lost lease; the same node claims again.
    ClaimsAgain,
    HandsOver,
    /// The owner is cut off from the store, and goes on for a while.
    CutOff(Afterlife),
}

/// An end of a term, and the next claim. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    /// How long the term lasts, or goes on after the last trouble in the first one.
    pub life_ms: u64,
    /// For how long the store has been silent at the end of the term; 0 if it answers.
    pub silent_ms: u64,
    pub end: End,
    /// From the end of the term, and the store's return, until the next claim.
    pub gap_ms: u64,
}

/// What happens to a worker. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    /// It is cut off from the owners and the store.
    Silent(u64),
    /// It is cut off from the owners, and keeps its entry.
    StaysListed(u64),
    /// It ends for good.
    Lost,
    /// It ends for good, and another one begins so long after.
    Reborn(u64),
    /// It restarts under its name.
    Restarts(u64),
    /// So many of its next start orders and holds come so late.
    AnswersLate(u32, u64),
}

#[derive(Clone, Debug)]
pub(crate) struct History {
    /// The estimated time of the tasks of each short job.
    pub short_ms: Vec<u64>,
    /// Workers by their numbers, each with when its fate comes, in milliseconds.
    pub fates: Vec<(u64, usize, Fate)>,
    /// The changes of owner, of which the first may follow an outage of the store.
    pub changes: Vec<Change>,
}

fn end(kind: Kind) -> BoxedStrategy<End> {
    let living = prop_oneof![4 => Just(End::LostLease), 1 => Just(End::ClaimsAgain)];
    let others = prop_oneof![
        2 => (0_u64..4_000).prop_map(End::DiesLater),
        2 => Just(End::Dies),
        1 => Just(End::Restarts),
        1 => Just(End::HandsOver),
    ];
    let cut_off = (0_u64..6_000, 0_u64..2_000, 0..MAX_LATE_MS).prop_map(
        |(acts_for_ms, paused_ms, late_ms)| {
            End::CutOff(Afterlife { acts_for_ms, paused_ms, late_ms })
        },
    );
    match kind {
        Kind::LivingNodes => living.boxed(),
        Kind::DeadNodes => Just(End::Dies).boxed(),
        Kind::All => prop_oneof![2 => living, 3 => others].boxed(),
        Kind::LateCalls => prop_oneof![2 => living, 3 => others, 3 => cut_off].boxed(),
    }
}

fn change(kind: Kind) -> impl Strategy<Value = Change> {
    let silent_ms = prop_oneof![1 => Just(0), 2 => 1_000_u64..5_000];
    (200_u64..6_000, silent_ms, end(kind), 50_u64..1_500)
        .prop_map(|(life_ms, silent_ms, end, gap_ms)| Change { life_ms, silent_ms, end, gap_ms })
}

fn fate(kind: Kind) -> BoxedStrategy<Fate> {
    let ms = || prop_oneof![1 => 1_000_u64..12_000, 2 => Just(FOREVER_MS)];
    let away = prop_oneof![
        2 => ms().prop_map(Fate::Silent),
        2 => ms().prop_map(Fate::StaysListed),
        1 => Just(Fate::Lost),
        2 => (100_u64..3_000).prop_map(Fate::Reborn),
    ];
    if kind != Kind::LateCalls {
        return away.boxed();
    }
    let late = (1_u32..4, 100..MAX_LATE_MS).prop_map(|(calls, ms)| Fate::AnswersLate(calls, ms));
    prop_oneof![3 => away, 2 => (50_u64..1_500).prop_map(Fate::Restarts), 3 => late].boxed()
}

/// Draws a history of this kind.
pub(crate) fn history(kind: Kind) -> impl Strategy<Value = History> {
    let changes = if kind == Kind::DeadNodes { 2..5_usize } else { 1..5 };
    let fates = prop::collection::vec((0_u64..5_000, FIRST_TROUBLED..WORKERS, fate(kind)), 1..4);
    let short_ms = prop::collection::vec(300_u64..4_000, 0..3);
    let changes = prop::collection::vec(change(kind), changes);
    (short_ms, fates, changes).prop_map(|(short_ms, fates, changes)| History {
        short_ms,
        fates,
        changes,
    })
}
