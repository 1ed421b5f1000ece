//! Ranks the waiting steps, so that the most urgent ones start first when workers are short.
//!
//! During a burst, more work arrives for several seconds than the pool can run. Starting it in the
//! order of arrival would make every job late. So jobs that can still meet their latency objective
//! come first, ordered by how soon they must start; jobs that have missed it come after them. Tasks that
//! last, and those that lost their runs, go before all of these.

use super::{Step, task::Job, times};
use crate::{Span, Timestamp, job::QueueConfig};

/// A job is overdue, and finishing it earns nothing, once it takes longer than its objective times
/// this factor.
pub(super) const OVERDUE_FACTOR: u64 = 3;

/// The urgency of a step; the most urgent class comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RankClass {
    /// The job is long-running and earns for as long as its tasks work.
    LongRunning,
    /// The tasks had been ordered before and have lost their runs.
    Interrupted,
    /// The job can still meet its objective.
    OnTime,
    /// The job can no longer meet its objective, but finishing it still earns something.
    Late,
    /// Finishing the job earns nothing any more, but the job must not be lost.
    Overdue,
}

/// The rank of a step among the waiting ones; the lowest rank starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) class: RankClass,
    pub(super) priority: u32,
    /// The latest start that meets the objective for [`RankClass::OnTime`]; the time at which the
    /// job arrived or the occurrence fell due for the other classes.
    pub(super) sort_time: Timestamp,
}

impl Rank {
    /// The rank of tasks of the step that were interrupted.
    pub(super) fn of_interrupted(self) -> Self {
        Self { class: self.class.min(RankClass::Interrupted), ..self }
    }
}

/// The input to ranking beside the job.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankContext<'a> {
    pub(super) queue: &'a QueueConfig,
    /// Expected duration of a task of the queue.
    pub(super) expected: Option<Span>,
    pub(super) now: Timestamp,
    /// The wall clock minus this node's clock, in milliseconds.
    pub(super) wall_offset_ms: u64,
}

impl RankContext<'_> {
    /// Returns the objective: how long an occurrence of a job may take from the time it is due to
    /// its end.
    fn objective(&self, job: &Job, occurrence: usize) -> Span {
        let steps = &job.occurrences[occurrence].steps;
        let time =
            |index: usize, step: &Step| times::task_time(step, &steps[index], self.expected).0;
        objective(job.spec.critical_path(time), self.queue)
    }

    /// Estimates the time that the open steps of an occurrence still need.
    pub(super) fn remaining(&self, job: &Job, occurrence: usize) -> Span {
        let steps = &job.occurrences[occurrence].steps;
        job.spec.critical_path(|index, step| match steps[index].open_tasks {
            0 => 0,
            _ => times::task_time(step, &steps[index], self.expected).0,
        })
    }
}

/// Returns how long a job with this critical path may take.
pub(super) fn objective(critical_path: Span, queue: &QueueConfig) -> Span {
    Span(critical_path.0 * queue.stretch_percent / 100 + queue.target_latency.0)
}

/// Returns when an occurrence fell due, on this node's clock. A job without a schedule is due when
/// it arrives.
fn due_time(job: &Job, occurrence: usize, wall_offset_ms: u64) -> Timestamp {
    if job.spec.schedule.is_none() {
        return job.arrived;
    }
    let due_wall = job.due_wall_ms(job.occurrences[occurrence].number);
    Timestamp(due_wall.saturating_sub(wall_offset_ms))
}

/// Minimum time to allow for finishing an occurrence that will miss its deadline.
const LATE_FINISH_TIME: Span = Span(3_000);

/// Minimum time to allow for finishing an occurrence, however little work is left.
const MIN_FINISH_TIME: Span = Span(500);

/// Returns the time in which the remaining work of an occurrence should be done: the time until its
/// deadline or, if that is too short, the time that the work needs but at least
/// [`LATE_FINISH_TIME`].
pub(super) fn time_to_finish(job: &Job, occurrence: usize, context: &RankContext<'_>) -> Span {
    let deadline =
        due_time(job, occurrence, context.wall_offset_ms) + context.objective(job, occurrence);
    let left = deadline.since(context.now);
    let needed = context.remaining(job, occurrence).max(MIN_FINISH_TIME);
    if left >= needed { left } else { needed.max(LATE_FINISH_TIME) }
}

/// Returns when an occurrence must start at the latest so that finishing it still earns something.
pub(super) fn latest_useful_start(
    job: &Job,
    occurrence: usize,
    context: &RankContext<'_>,
) -> Timestamp {
    let due = due_time(job, occurrence, context.wall_offset_ms);
    let overdue_from = due + Span(context.objective(job, occurrence).0 * OVERDUE_FACTOR);
    Timestamp(overdue_from.0.saturating_sub(context.remaining(job, occurrence).0))
}

/// Ranks the steps of one occurrence of a job.
pub(super) fn rank(job: &Job, occurrence: usize, context: &RankContext<'_>) -> Rank {
    let now = context.now;
    if job.spec.is_long_running() {
        return Rank {
            class: RankClass::LongRunning,
            priority: context.queue.priority,
            sort_time: job.arrived,
        };
    }
    let due = due_time(job, occurrence, context.wall_offset_ms);
    let objective = context.objective(job, occurrence);
    let deadline = due + objective;
    let remaining = context.remaining(job, occurrence);
    let latest_start = Timestamp(deadline.0.saturating_sub(remaining.0));
    let class = if now <= latest_start {
        RankClass::OnTime
    } else if now + remaining <= due + Span(objective.0 * OVERDUE_FACTOR) {
        RankClass::Late
    } else {
        RankClass::Overdue
    };
    let sort_time = if class == RankClass::OnTime { latest_start } else { due };
    Rank { class, priority: context.queue.priority, sort_time }
}
