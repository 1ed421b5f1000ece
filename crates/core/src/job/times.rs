//! Estimates task durations from the tasks that run and those that are done.
//!
//! Declared durations are wrong by a multiple in either direction. Workers report the progress of
//! each run, so a few hundred milliseconds after a step's first tasks start, their progress shows
//! how long the step's other tasks will take. Before that, the mean duration of the queue's tasks
//! is a better estimate than the declared duration.

use indexmap::IndexMap;

use super::{JobSpec, Step, task::StepState};
use crate::{QueueId, Span};

/// Maximum number of durations kept for one step.
const MAX_SAMPLES: usize = 9;

/// Minimum number of durations of a step before their median is used.
const MIN_SAMPLES: usize = 2;

/// Minimum number of finished tasks of a queue before their mean duration is used.
const MIN_QUEUE_TASKS: u64 = 12;

/// The latest task counts for one part in this many of a queue's mean duration, or for more while
/// fewer tasks have been recorded.
const MEAN_WINDOW_TASKS: u64 = 64;

/// Weight of the queue's mean duration in an estimate, in percent; the rest is the weight of the
/// declared duration.
const QUEUE_MEAN_WEIGHT_PERCENT: u64 = 75;

/// Total durations of tasks of one step, in milliseconds, in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Samples(Vec<u32>);

impl Samples {
    pub(super) fn record(&mut self, total: Span) {
        if self.0.len() < MAX_SAMPLES {
            let total = u32::try_from(total.0).unwrap_or(u32::MAX);
            let index = self.0.partition_point(|sample| *sample <= total);
            self.0.insert(index, total);
        }
    }

    /// Returns the median, or `None` while there are too few samples.
    pub(super) fn median(&self) -> Option<Span> {
        if self.0.len() < MIN_SAMPLES {
            return None;
        }
        Some(Span(u64::from(self.0[self.0.len() / 2])))
    }
}

/// Moving average of the durations of a queue's tasks.
#[derive(Clone, Copy, Debug, Default)]
struct QueueMean {
    mean_ms: u64,
    task_count: u64,
}

/// Mean duration of tasks, by queue.
#[derive(Clone, Debug, Default)]
pub(super) struct ExpectedTimes {
    queues: IndexMap<QueueId, QueueMean>,
}

impl ExpectedTimes {
    pub(super) fn record(&mut self, queue: &QueueId, total: Span) {
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.clone(), QueueMean::default());
        }
        let mean = &mut self.queues[queue];
        mean.task_count += 1;
        let weight = mean.task_count.min(MEAN_WINDOW_TASKS);
        mean.mean_ms = (mean.mean_ms * (weight - 1) + total.0) / weight;
    }

    /// Returns the mean duration of the queue's tasks, or `None` while too few have been recorded.
    pub(super) fn get(&self, queue: &QueueId) -> Option<Span> {
        let mean = self.queues.get(queue)?;
        (mean.task_count >= MIN_QUEUE_TASKS).then_some(Span(mean.mean_ms))
    }
}

/// Estimates the duration of a task before any task of its step has run. `expected` is the mean
/// duration of the queue's tasks, if known.
pub(super) fn estimate(step: &Step, expected: Option<Span>) -> Span {
    let declared = step.estimate.0;
    let estimate = expected.map_or(declared, |expected| {
        (expected.0 * QUEUE_MEAN_WEIGHT_PERCENT + declared * (100 - QUEUE_MEAN_WEIGHT_PERCENT))
            / 100
    });
    Span(estimate.max(1))
}

/// Estimates the processor time of a job's tasks that are not long-running, before any of them has
/// run, in thousandths of a core times milliseconds.
pub(super) fn total_work(spec: &JobSpec, expected: Option<Span>) -> u64 {
    let steps = spec.steps.iter().filter(|step| !step.long_running);
    steps.map(|step| step.need.cpu_milli * u64::from(step.count) * estimate(step, expected).0).sum()
}

/// Estimates the duration of a task from the other tasks of its step or, while too few of them
/// have been measured, by [`estimate`].
pub(super) fn task_time(step: &Step, state: &StepState, expected: Option<Span>) -> Span {
    state.samples.median().unwrap_or_else(|| estimate(step, expected))
}
