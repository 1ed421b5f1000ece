//! How long tasks really take, learnt from those that run and those that are done.
//!
//! Declared times are off by a multiple in either direction. A worker lists how much of each task is
//! done, so a few hundred milliseconds into a step its tasks tell how long the others will take; before
//! that, what tasks of the queue usually take says more than what was declared.

use indexmap::IndexMap;

use super::{Step, task::StepState};
use crate::{QueueId, Span};

/// Most times that are kept of one step.
const MAX_SAMPLES: usize = 9;

/// Times of one step from which on they are believed.
const LEAST_SAMPLES: usize = 2;

/// Tasks of a queue from which on their usual time is believed.
const LEAST_TASKS: u64 = 12;

/// The weight of the latest task in the usual time of a queue is one part in this many.
const REMEMBERED_TASKS: u64 = 64;

/// How much of a estimate is the usual time of the queue and not what was declared, in percent.
const EXPECTED_PERCENT: u64 = 75;

/// Times that tasks of one step take in all, in milliseconds, the shortest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Samples(Vec<u32>);

impl Samples {
    pub(super) fn record(&mut self, total: Span) {
        if self.0.len() < MAX_SAMPLES {
            let total = u32::try_from(total.0).unwrap_or(u32::MAX);
            let place = self.0.partition_point(|one| *one <= total);
            self.0.insert(place, total);
        }
    }

    /// The time in the middle, once there are enough.
    pub(super) fn median(&self) -> Option<Span> {
        if self.0.len() < LEAST_SAMPLES {
            return None;
        }
        Some(Span(u64::from(self.0[self.0.len() / 2])))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct QueueMean {
    mean: u64,
    tasks: u64,
}

/// What tasks usually take, by queue.
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
        mean.tasks += 1;
        let weight = mean.tasks.min(REMEMBERED_TASKS);
        mean.mean = (mean.mean * (weight - 1) + total.0) / weight;
    }

    /// What a task of the queue usually takes, once enough have been seen.
    pub(super) fn get(&self, queue: &QueueId) -> Option<Span> {
        let mean = self.queues.get(queue)?;
        (mean.tasks >= LEAST_TASKS).then_some(Span(mean.mean))
    }
}

/// How long a task of a step of which nothing has run takes.
pub(super) fn estimate(step: &Step, expected: Option<Span>) -> Span {
    let declared = step.estimate.0;
    let estimate = expected.map_or(declared, |expected| {
        (expected.0 * EXPECTED_PERCENT + declared * (100 - EXPECTED_PERCENT)) / 100
    });
    Span(estimate.max(1))
}

/// How long a task of a step takes, by what is known of its other tasks.
pub(super) fn task_time(step: &Step, state: &StepState, expected: Option<Span>) -> Span {
    state.samples.median().unwrap_or_else(|| estimate(step, expected))
}
