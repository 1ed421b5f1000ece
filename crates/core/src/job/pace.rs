//! Paces best-effort tasks that run beside latency-sensitive tasks.
//!
//! All best-effort tasks of a worker get the same share of their speed. When a latency-sensitive
//! task on the worker has a tail latency near its target, the share is halved at once; when the
//! tail latency is well below the target, the share grows in small steps. A tail latency takes half
//! a second to reflect a new share, so there is a minimum interval between two changes on one
//! worker.

use indexmap::IndexMap;

use super::{TaskId, WorkerId};
use crate::{Span, Timestamp};

/// Minimum interval between two changes of one worker's share.
const MIN_CHANGE_INTERVAL: Span = Span(550);

/// At or above this tail latency, in percent of its target, the share is halved.
const HALVE_AT_PERCENT: u64 = 85;

/// At or below this tail latency, in percent of its target, the share grows.
const GROW_AT_PERCENT: u64 = 55;

/// Smallest share other than zero, in percent: a smaller one would do too little work for the
/// disturbance that it causes.
const MIN_SHARE_PERCENT: u64 = 12;

/// Growth of the share in one step, in percent of the full speed.
const GROWTH_STEP_PERCENT: u64 = 12;

/// Age beyond which a reading is discarded.
const MAX_READING_AGE: Span = Span(2_500);

/// A reading of the tail latency of one task.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// The tail latency in percent of its target.
    percent: u64,
    at: Timestamp,
}

/// The share of one worker's best-effort tasks, and the readings that determine it.
#[derive(Clone, Debug)]
struct WorkerPace {
    readings: IndexMap<TaskId, Reading>,
    /// In percent of the full speed.
    share: u64,
    last_change: Timestamp,
}

/// The shares of best-effort tasks, by worker.
#[derive(Clone, Debug, Default)]
pub(super) struct PaceTable {
    workers: IndexMap<WorkerId, WorkerPace>,
}

impl PaceTable {
    /// Records the tail latency of a latency-sensitive task.
    pub(super) fn record_tail(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        target: Span,
        tail_ms: u64,
        now: Timestamp,
    ) {
        let pace = self.workers.entry(worker.clone()).or_insert_with(|| WorkerPace {
            readings: IndexMap::new(),
            share: 100,
            last_change: Timestamp(0),
        });
        let percent = tail_ms * 100 / target.0.max(1);
        pace.readings.insert(task, Reading { percent, at: now });
    }

    /// Updates and returns the share of a worker's best-effort tasks, in percent.
    pub(super) fn share(&mut self, worker: &WorkerId, now: Timestamp) -> u64 {
        let Some(pace) = self.workers.get_mut(worker) else {
            return 100;
        };
        pace.readings.retain(|_, reading| now <= reading.at + MAX_READING_AGE);
        let Some(worst_percent) = pace.readings.values().map(|reading| reading.percent).max()
        else {
            // No latency-sensitive task has a recent reading.
            pace.share = 100;
            return pace.share;
        };
        if now < pace.last_change + MIN_CHANGE_INTERVAL {
            return pace.share;
        }
        let share = if worst_percent >= HALVE_AT_PERCENT {
            let halved = pace.share / 2;
            if halved < MIN_SHARE_PERCENT { 0 } else { halved }
        } else if worst_percent <= GROW_AT_PERCENT {
            (pace.share + GROWTH_STEP_PERCENT).min(100)
        } else {
            pace.share
        };
        if share != pace.share {
            pace.share = share;
            pace.last_change = now;
        }
        pace.share
    }

    /// Removes the workers for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl Fn(&WorkerId) -> bool) {
        self.workers.retain(|worker, _| keep(worker));
    }
}
