//! What the histories have in common: the fates of calls, changes of owners, and what counts as broken.

use std::{env, fmt::Debug};

use indexmap::IndexMap;
use teaselgap_core::{
    Timestamp,
    job::{DrainMode, JobEnd, JobId, JobState, TaskId, WorkerId},
};
use teaselgap_standins::model::{Afterlife, CallKind, Fate, Model};

use crate::fixtures::state;

/// Longer than any wait of an owner, in milliseconds.
pub(crate) const LONG_MS: u64 = 30_000;

/// Longer than an order or a lease is valid on its worker's clock, in milliseconds.
pub(crate) const OLD_MS: u64 = 20_000;

/// How long a history goes on at least after the last event, in milliseconds.
const REST_MS: u64 = 1_500;

const SUCCEEDED: Option<JobState> = Some(JobState::Ended(JobEnd::Succeeded));

/// The fate of a call, whenever a late one is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Course {
    Answered,
    AnswerLost,
    CallLost,
    Late,
}

impl Course {
    pub(crate) fn fate(self, late_until: Timestamp) -> Fate {
        match self {
            Self::Answered => Fate::Answered,
            Self::AnswerLost => Fate::AnswerLost,
            Self::CallLost => Fate::CallLost,
            Self::Late => Fate::Late(late_until),
        }
    }
}

/// What becomes of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnerChange {
    /// It ends, and another one claims the cell.
    Killed,
    /// It goes on for as long as it may, and another one claims the cell.
    CutOff,
}

impl OwnerChange {
    pub(crate) const ALL: [Self; 2] = [Self::Killed, Self::CutOff];

    /// Lets the owner end, or be paused for `gap_ms`, and another one claim the cell after that time.
    pub(crate) fn happen(self, model: &mut Model, gap_ms: u64) {
        match self {
            Self::Killed => model.kill_owner(),
            Self::CutOff => {
                model.cut_off_owner(Afterlife {
                    acts_for_ms: LONG_MS,
                    paused_ms: gap_ms,
                    late_ms: 0,
                });
            }
        }
        model.run_for(gap_ms);
        model.take_over();
    }
}

/// When the late calls reached the next life of their worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// One came before the first call, of the same or a later owner, that this life got in time.
    BeforeFirstCall,
    /// All came after it.
    AfterFirstCall,
    /// None came, so that the history only shows that the calls were lost well.
    Never,
}

/// A history that was played, and what it broke.
#[derive(Debug)]
pub(crate) struct Played {
    case: String,
    arrival: Arrival,
    /// The calls of an earlier life that came, each with whether it came before the first call.
    strays: Vec<(CallKind, bool)>,
    faults: Vec<String>,
}

impl Played {
    /// Plays a history to its end and judges it.
    pub(crate) fn to_end(case: &impl Debug, model: Model, jobs: &[JobId]) -> Self {
        let are_done = |model: &Model| jobs.iter().all(|&job| state(model, job) == SUCCEEDED);
        Self::until(case, model, are_done, "a job doesn't succeed")
    }

    /// Plays a history of a task that lasts until it runs, and judges it.
    pub(crate) fn until_running(case: &impl Debug, model: Model, task: TaskId) -> Self {
        let runs = |model: &Model| model.workers().any(|worker| worker.is_running(task));
        Self::until(case, model, runs, "the task doesn't run again")
    }

    fn until(
        case: &impl Debug,
        mut model: Model,
        is_over: impl Fn(&Model) -> bool,
        fault: &str,
    ) -> Self {
        model.run_for(REST_MS);
        let is_met = model.run_until(LONG_MS, is_over);
        model.run_for(REST_MS);
        let mut faults = model.violations().to_vec();
        if !is_met {
            faults.push(fault.to_owned());
        }
        let strays = model.late_calls().iter().filter(|call| call.is_of_earlier_life);
        let strays: Vec<_> = strays.map(|call| (call.kind, call.is_before_first_call)).collect();
        let arrival = arrival_of(&strays);
        Self { case: format!("{case:?}"), arrival, strays, faults }
    }

    /// Counts only the arrival of late calls of one kind.
    pub(crate) fn by_arrival_of(mut self, kind: CallKind) -> Self {
        self.strays.retain(|stray| stray.0 == kind);
        self.arrival = arrival_of(&self.strays);
        self
    }

    /// Adds what a test has seen besides.
    pub(crate) fn with_fault(mut self, is_broken: bool, fault: &str) -> Self {
        self.faults.extend(is_broken.then(|| fault.to_owned()));
        self
    }
}

fn arrival_of(strays: &[(CallKind, bool)]) -> Arrival {
    match strays {
        [] => Arrival::Never,
        strays if strays.iter().any(|stray| stray.1) => Arrival::BeforeFirstCall,
        _ => Arrival::AfterFirstCall,
    }
}

/// Whether the finer grid is played.
pub(crate) fn is_wide() -> bool {
    env::var("EVERY_CALL").is_ok_and(|grid| grid == "wide")
}

/// Returns the values of a coarse or of a wide grid.
pub(crate) fn grid<T: Clone>(coarse: &[T], wide: &[T]) -> Vec<T> {
    if is_wide() { wide.to_vec() } else { coarse.to_vec() }
}

/// Lets no further attempt start on a worker.
pub(crate) fn use_no_more(model: &mut Model, worker: &WorkerId) {
    let drains = IndexMap::from([(worker.clone(), DrainMode::WaitForRuns)]);
    model.cell_mut().expect("an owner").set_drains(drains);
}

/// Whether no history with such an arrival of late calls breaks anything, nor one in which none came. The
/// simplest histories come first, so the first one that does is a shortest one.
pub(crate) fn assert_holds(played: &[Played], arrival: Arrival) {
    let count = |arrival| played.iter().filter(|one| one.arrival == arrival).count();
    let counts = (count(arrival), count(Arrival::Never));
    let is_such = |one: &&Played| one.arrival == arrival || one.arrival == Arrival::Never;
    let broken: Vec<&Played> =
        played.iter().filter(is_such).filter(|one| !one.faults.is_empty()).collect();
    let first = broken.first().map(|one| (&one.case, &one.faults));
    let (such, without) = counts;
    let summary = format!(
        "{arrival:?}: {} of {such} histories break ({without} without a late call)",
        broken.len()
    );
    println!("{summary}");
    for one in &broken {
        println!("  {}: {:?}", one.case, one.faults);
    }

    assert!(such > 0, "no such history");
    assert!(broken.is_empty(), "{summary}; the first: {first:#?}");
}
