//! Which waiting step is served first when not all can be.
//!
//! The load this answers is a queue's burst: for seconds on end more arrives than the pool can run.
//! Serving in the order of arrival would make every job late. So what can still make its objective
//! comes first, by how soon it must start; a job that has missed it is behind all that have not.

use super::{Step, task::Job, times};
use crate::{Span, Timestamp, job::QueueConfig};

/// Beyond this many times its objective a job earns nothing.
const WORTHLESS_AFTER: u64 = 3;

/// How urgent a step is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RankClass {
    /// It lasts, and earns for as long as it is at work.
    LongRunning,
    /// It can still make its objective.
    OnTime,
    /// It has missed its objective and still earns something.
    Late,
    /// It only must not be lost.
    Overdue,
}

/// The place of a step among those that wait; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) class: RankClass,
    pub(super) priority: u32,
    /// The latest point at which it must start to be on time, or when it arrived.
    pub(super) by: Timestamp,
}

/// What a rank depends on beside the job.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankContext<'a> {
    pub(super) queue: &'a QueueConfig,
    /// What a task of the queue usually takes.
    pub(super) expected: Option<Span>,
    pub(super) now: Timestamp,
    /// The wall clock minus this node's clock, in milliseconds.
    pub(super) wall_offset: u64,
}

impl RankContext<'_> {
    /// How long an occurrence of a job may take in all.
    fn objective(&self, job: &Job, occurrence: usize) -> Span {
        let steps = &job.occurrences[occurrence].steps;
        let time =
            |number: usize, step: &Step| times::task_time(step, &steps[number], self.expected).0;
        let path = job.spec.critical_path(time).0;
        Span(path * self.queue.stretch_percent / 100 + self.queue.target_latency.0)
    }

    /// The time that the open steps of an occurrence still need.
    fn remaining(&self, job: &Job, occurrence: usize) -> Span {
        let steps = &job.occurrences[occurrence].steps;
        job.spec.critical_path(|number, step| match steps[number].open_tasks {
            0 => 0,
            _ => times::task_time(step, &steps[number], self.expected).0,
        })
    }
}

/// When an occurrence of a job came due, on this node's clock.
fn due(job: &Job, occurrence: usize, wall_offset: u64) -> Timestamp {
    if job.spec.schedule.is_none() {
        return job.arrived;
    }
    let due_wall = job.due_wall_ms(job.occurrences[occurrence].number);
    Timestamp(due_wall.saturating_sub(wall_offset))
}

/// The time in which late work should be worked off.
const LATE_TIME: Span = Span(3_000);

/// The least time in which a job can be finished, whatever its deadline.
const LEAST_TIME: Span = Span(500);

/// The time that is left to finish an occurrence, if its work is spread evenly over it.
pub(super) fn time_left(job: &Job, occurrence: usize, context: &RankContext<'_>) -> Span {
    let deadline = due(job, occurrence, context.wall_offset) + context.objective(job, occurrence);
    let left = deadline.since(context.now);
    let least = context.remaining(job, occurrence).max(LEAST_TIME);
    if left >= least { left } else { least.max(LATE_TIME) }
}

/// Ranks one occurrence of a job.
pub(super) fn rank(job: &Job, occurrence: usize, context: &RankContext<'_>) -> Rank {
    let now = context.now;
    if job.spec.is_long_running() {
        return Rank {
            class: RankClass::LongRunning,
            priority: context.queue.priority,
            by: job.arrived,
        };
    }
    let due = due(job, occurrence, context.wall_offset);
    let objective = context.objective(job, occurrence);
    let deadline = due + objective;
    let remaining = context.remaining(job, occurrence);
    let latest_start = Timestamp(deadline.0.saturating_sub(remaining.0));
    let class = if now <= latest_start {
        RankClass::OnTime
    } else if now + remaining <= due + Span(objective.0 * WORTHLESS_AFTER) {
        RankClass::Late
    } else {
        RankClass::Overdue
    };
    let by = if class == RankClass::OnTime { latest_start } else { due };
    Rank { class, priority: context.queue.priority, by }
}
