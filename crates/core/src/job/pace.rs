//! How fast tasks that fill may work beside tasks that serve users.
//!
//! A tail of response times near its target halves the share of what fills on that worker at once; a
//! tail well below it gives the share back in small steps. A tail takes half a second to show a
//! change, so changes on one worker are spaced.

use indexmap::IndexMap;

use super::{TaskId, WorkerId};
use crate::{Span, Timestamp};

/// The time between two changes on one worker.
const CHANGE_PAUSE: Span = Span(550);

/// Above this part of its target, in percent, a tail is too near.
const NEAR_PERCENT: u64 = 85;

/// Below this part of its target, in percent, there is room for more.
const FAR_PERCENT: u64 = 55;

/// A share below this, in percent, is not worth its disturbance.
const LEAST_SHARE: u64 = 12;

/// How much of its speed is given back in one step, in percent.
const STEP_UP: u64 = 12;

/// The age beyond which a reading says nothing.
const READING_AGE: Span = Span(2_500);

#[derive(Clone, Copy, Debug)]
struct Reading {
    /// The tail as a part of its target, in percent.
    percent: u64,
    at: Timestamp,
}

#[derive(Clone, Debug)]
struct WorkerPace {
    readings: IndexMap<TaskId, Reading>,
    share: u64,
    changed: Timestamp,
}

/// The shares of what fills, by worker.
#[derive(Clone, Debug, Default)]
pub(super) struct PaceTable {
    workers: IndexMap<WorkerId, WorkerPace>,
}

impl PaceTable {
    /// Records the tail of a task that serves.
    pub(super) fn record_tail(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        target: Span,
        tail_ms: u64,
        now: Timestamp,
    ) {
        let paced = self.workers.entry(worker.clone()).or_insert_with(|| WorkerPace {
            readings: IndexMap::new(),
            share: 100,
            changed: Timestamp(0),
        });
        let percent = tail_ms * 100 / target.0.max(1);
        paced.readings.insert(task, Reading { percent, at: now });
    }

    /// The share that what fills on a worker should have now, in percent.
    pub(super) fn share(&mut self, worker: &WorkerId, now: Timestamp) -> u64 {
        let Some(paced) = self.workers.get_mut(worker) else {
            return 100;
        };
        paced.readings.retain(|_, reading| now <= reading.at + READING_AGE);
        let Some(worst) = paced.readings.values().map(|reading| reading.percent).max() else {
            // Nothing serves there.
            paced.share = 100;
            return paced.share;
        };
        if now < paced.changed + CHANGE_PAUSE {
            return paced.share;
        }
        let share = if worst >= NEAR_PERCENT {
            let halved = paced.share / 2;
            if halved < LEAST_SHARE { 0 } else { halved }
        } else if worst <= FAR_PERCENT {
            (paced.share + STEP_UP).min(100)
        } else {
            paced.share
        };
        if share != paced.share {
            paced.share = share;
            paced.changed = now;
        }
        paced.share
    }

    /// Forgets workers that are gone.
    pub(super) fn retain(&mut self, keep: impl Fn(&WorkerId) -> bool) {
        self.workers.retain(|worker, _| keep(worker));
    }
}
