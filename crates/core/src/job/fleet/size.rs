//! How many VMs each pool should have.
//!
//! The load this answers: queues have bursts one after the other, each asking for more than its
//! pool holds for some seconds and for next to nothing in between. A pool's need is the rate at
//! which work arrives, with its rise carried on for as long as a VM takes to come, and the backlog;
//! what the tasks that last need is its floor. VMs beyond that wait on standby, where they cost
//! nothing.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::super::Load;
use crate::{ServiceId, Span, Timestamp};

/// The length of the two windows over which arrivals are compared.
const WINDOW: Span = Span(1_000);

/// The length of the window for arrivals that are too few to be compared.
const SPARSE_WINDOW: Span = Span(2_000);

/// Jobs by the second from which on a rise is told from chance.
const LEAST_JOBS: u64 = 8;

/// How far ahead a rise of arrivals is carried on: a VM that is asked for now works by then.
const LEAD: Span = Span(1_800);

/// Jobs within the longer window that make a burst more than a chance.
const SUSTAINED_JOBS: u64 = 4;

/// A queue has a burst if at least this part of what the pool was given arrives, in percent.
const BURST_PERCENT: u64 = 45;

/// A forecast is at most this many times the present rate.
const MAX_RISE: u64 = 2;

/// VMs asked for beyond the need, as a part of it in percent.
const HEADROOM_PERCENT: u64 = 25;

/// How far the work that a pool got may be from what was declared, in percent.
const CORRECTION_BOUNDS: (u64, u64) = (50, 250);

/// What had arrived in all by the time of a report.
#[derive(Clone, Copy, Debug)]
struct Reading {
    at: Timestamp,
    jobs: u64,
    /// Thousandths of a core-second.
    work: u64,
}

/// Arrivals of one pool as its cell reported them.
#[derive(Clone, Debug, Default)]
pub(super) struct Arrivals {
    readings: VecDeque<Reading>,
}

/// What arrived within a window, by the second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    jobs: u64,
    /// Thousandths of a core.
    milli: u64,
}

impl Arrivals {
    /// Records a report; a total that has fallen comes from a new owner, which counts from zero.
    pub(super) fn record(&mut self, load: &Load, now: Timestamp) {
        let reading = Reading { at: now, jobs: load.arrived_jobs, work: load.arrived_milli_s };
        if self.readings.back().is_some_and(|last| reading.work < last.work) {
            self.readings.clear();
        }
        self.readings.push_back(reading);
        let kept = Span(2 * SPARSE_WINDOW.0);
        while self.readings.front().is_some_and(|first| now > first.at + kept) {
            self.readings.pop_front();
        }
    }

    /// The readings at the start and at the end of the window that ended `ago`.
    fn window(&self, length: Span, ago: Span, now: Timestamp) -> Option<(&Reading, &Reading)> {
        let end = Timestamp(now.0.saturating_sub(ago.0));
        let start = Timestamp(end.0.saturating_sub(length.0));
        let at = |time: Timestamp| self.readings.iter().rev().find(|one| one.at <= time);
        Some((at(start).or(self.readings.front())?, at(end)?))
    }

    /// What arrived in the window that ended `ago`, by the second.
    fn rate(&self, length: Span, ago: Span, now: Timestamp) -> Rate {
        let Some((first, last)) = self.window(length, ago, now) else {
            return Rate::default();
        };
        let by_second =
            |total: u64| (total * 1_000).checked_div(last.at.since(first.at).0).unwrap_or(0);
        Rate { jobs: by_second(last.jobs - first.jobs), milli: by_second(last.work - first.work) }
    }

    /// The processor capacity that arriving work will need, in thousandths of a core. Few large jobs
    /// in a second say little about the next one: a rise is carried on only if it shows in many.
    pub(super) fn forecast(&self, now: Timestamp) -> u64 {
        let rate = self.rate(WINDOW, Span(0), now);
        if rate.jobs < LEAST_JOBS {
            return self.rate(SPARSE_WINDOW, Span(0), now).milli;
        }
        let before = self.rate(WINDOW, WINDOW, now);
        let rise = rate.milli.saturating_sub(before.milli) * LEAD.0 / WINDOW.0;
        (rate.milli + rise).min(rate.milli * MAX_RISE)
    }

    /// Whether what arrives is more than one or two large jobs.
    pub(super) fn is_sustained(&self, now: Timestamp) -> bool {
        self.rate(SPARSE_WINDOW, Span(0), now).jobs * SPARSE_WINDOW.0 / 1_000 >= SUSTAINED_JOBS
    }

    /// Whether a queue has a burst: a good part of `given`, the capacity that the operator gave the
    /// pool, arrives.
    pub(super) fn is_burst(&self, given: u64, now: Timestamp) -> bool {
        let arrived =
            self.window(WINDOW, Span(0), now).map_or(0, |(first, last)| last.work - first.work);
        given > 0 && arrived * 100 >= given * WINDOW.0 / 1_000 * BURST_PERCENT
    }
}

/// The processor capacity that a pool needs, in thousandths of a core.
pub(super) fn need_milli(load: &Load, arrivals: &Arrivals, now: Timestamp) -> u64 {
    let (least, most) = CORRECTION_BOUNDS;
    let correction = load.correction_percent.clamp(least, most);
    let wanted = arrivals.forecast(now).max(load.required_milli) * correction / 100;
    load.lasting_milli + wanted * (100 + HEADROOM_PERCENT) / 100
}

/// The time in which a pool's need is averaged when it rises and when it falls.
const RISE_TIME: Span = Span(500);
const FALL_TIME: Span = Span(1_200);

/// A need without the spikes that single large jobs leave in it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SmoothedNeed {
    milli: u64,
    at: Timestamp,
}

impl SmoothedNeed {
    /// Takes in the need at the start of a burst, which is at least what the pool was given:
    /// waiting for a measured rate would cost the time that VMs take to come once more.
    pub(super) fn raise(&mut self, need: u64, given: u64, now: Timestamp) -> u64 {
        let averaged = self.update(need, now);
        self.milli = averaged.max(given);
        self.milli
    }

    /// Takes in the need as it is now; returns it averaged.
    pub(super) fn update(&mut self, need: u64, now: Timestamp) -> u64 {
        let time = if need > self.milli { RISE_TIME } else { FALL_TIME };
        let part = now.since(self.at).0.min(time.0);
        self.milli = (need * part + self.milli * (time.0 - part)) / time.0;
        self.at = now;
        self.milli
    }
}

/// What one pool has and should have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSize {
    /// VMs in the pool, or on their way to it.
    pub has: u64,
    /// VMs below which it must not fall.
    pub floor: u64,
    /// VMs that its load asks for.
    pub wants: u64,
}

impl PoolSize {
    fn target(&self) -> u64 {
        self.floor.max(self.wants)
    }

    /// VMs that it could do without.
    pub(super) fn surplus(&self) -> u64 {
        self.has.saturating_sub(self.target())
    }

    /// VMs that it lacks.
    pub(super) fn deficit(&self) -> u64 {
        self.target().saturating_sub(self.has)
    }
}

/// The pools that lack VMs, the one that lacks the largest part of its target first.
pub(super) fn by_deficit(sizes: &IndexMap<ServiceId, PoolSize>) -> Vec<(ServiceId, u64)> {
    let lacking = sizes.iter().filter(|(_, size)| size.deficit() > 0);
    let mut lacking: Vec<(u64, ServiceId, u64)> = lacking
        .map(|(pool, size)| {
            (size.deficit() * 1_000 / size.target().max(1), pool.clone(), size.deficit())
        })
        .collect();
    lacking.sort_by_key(|(share, pool, _)| (std::cmp::Reverse(*share), pool.clone()));
    lacking.into_iter().map(|(_, pool, deficit)| (pool, deficit)).collect()
}
