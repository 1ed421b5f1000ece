//! Checks that no order ends a long-running task that is at work while too many others of its step
//! are away.
//!
//! A task is away from the end of a run that an order ended until it is at work again, and when it
//! has not been at work for [`NOTICE_MS`] for any reason.

use indexmap::IndexMap;
use teaselgap_core::{Span, Timestamp, job::TaskId};

/// Time without work after which a task counts as away whatever the reason, in milliseconds.
const NOTICE_MS: u64 = 4_500;

/// A run of a long-running task that was at work when an order ended it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OrderedEnd {
    pub(super) task: TaskId,
    /// How many tasks of the step may be away because of orders.
    pub(super) max_unavailable: u32,
    /// Whether the order may end it whatever the others do: the worker leaves, the job is cancelled,
    /// or the order was held up on its way.
    pub(super) is_allowed: bool,
}

/// When a task was last at work, and whether an order has ended its run since.
#[derive(Clone, Copy, Debug)]
struct TaskWatch {
    at_work: Timestamp,
    is_ended_by_order: bool,
}

/// What is known of the long-running tasks that have been at work.
#[derive(Clone, Debug, Default)]
pub(super) struct AvailabilityWatch {
    tasks: IndexMap<TaskId, TaskWatch>,
}

impl AvailabilityWatch {
    /// Records that a task is at work.
    pub(super) fn record_at_work(&mut self, task: TaskId, now: Timestamp) {
        self.tasks.insert(task, TaskWatch { at_work: now, is_ended_by_order: false });
    }

    /// Records the runs that orders have just ended, and returns a text for each that should not
    /// have been.
    pub(super) fn record_ends(&mut self, ends: &[OrderedEnd], now: Timestamp) -> Vec<String> {
        for end in ends {
            let watch = TaskWatch { at_work: now, is_ended_by_order: true };
            self.tasks.insert(end.task, watch);
        }
        ends.iter().filter_map(|end| self.check(end, now)).collect()
    }

    fn check(&self, end: &OrderedEnd, now: Timestamp) -> Option<String> {
        let OrderedEnd { task, max_unavailable, is_allowed } = *end;
        let is_away = |(other, watch): &(&TaskId, &TaskWatch)| {
            other.step_id() == task.step_id()
                && **other != task
                && (watch.is_ended_by_order || now >= watch.at_work + Span(NOTICE_MS))
        };
        let away = self.tasks.iter().filter(is_away).count();
        let is_violation = !is_allowed && away >= max_unavailable.max(1) as usize;
        is_violation.then(|| {
            format!("{now} {task} was ended by an order while {away} others of its step were away")
        })
    }
}
