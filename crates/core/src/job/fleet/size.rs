//! Computes how many VMs each pool should have.
//!
//! A pool consists of the VMs of one service and is named by it. The service's cell runs the jobs
//! of the service's queues on the workers of these VMs.
//!
//! Queues have their bursts at different times: for some seconds a queue asks for more than its
//! pool's capacity, and for almost nothing between its bursts. A pool's need follows from its
//! backlog and from the rate at which work arrives, extrapolated by the time that a VM takes to
//! join the pool; its floor is what its long-running tasks need. VMs that no pool needs wait on
//! standby, where they cost nothing.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::super::Load;
use crate::{ServiceId, Span, Timestamp};

/// Length of each of the two consecutive windows whose arrival rates are compared, in
/// milliseconds.
const WINDOW: Span = Span(1_000);

/// Length of the window over which sparse arrivals are averaged, in milliseconds.
const SPARSE_WINDOW: Span = Span(2_000);

/// Jobs per second from which on a rise is extrapolated; below, it may be chance.
const MIN_TREND_JOBS_PER_S: u64 = 8;

/// How far ahead a rise of arrivals is extrapolated, in milliseconds: a VM that is requested now
/// runs tasks by then.
const FORECAST_LEAD: Span = Span(1_800);

/// Jobs within [`SPARSE_WINDOW`] from which on a burst is unlikely to be chance.
const MIN_SUSTAINED_JOBS: u64 = 4;

/// Arrival rate of a pool's work from which on it counts as a burst, in percent of the capacity
/// that the operator gave the pool.
const BURST_PERCENT: u64 = 45;

/// Maximum ratio of the forecast to the current rate.
const MAX_FORECAST_FACTOR: u64 = 2;

/// Capacity requested on top of what arrivals or the backlog need, in percent of it.
const HEADROOM_PERCENT: u64 = 25;

/// Bounds of the correction from declared to actual processor time, in percent.
const CORRECTION_BOUNDS: (u64, u64) = (50, 250);

/// Total arrivals at the time of a report.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Timestamp,
    jobs: u64,
    /// Thousandths of a core-second.
    work_milli_s: u64,
}

/// Recent arrivals of one pool as its cell reported them.
#[derive(Clone, Debug, Default)]
pub(super) struct Arrivals {
    samples: VecDeque<Sample>,
}

/// Arrivals per second within a window.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    jobs: u64,
    /// Processor capacity that the arriving work needs, in thousandths of a core.
    milli: u64,
}

impl Arrivals {
    /// Records a report. A smaller total comes from a new owner of the cell, which counts from
    /// zero, so older samples are dropped.
    pub(super) fn record(&mut self, load: &Load, now: Timestamp) {
        let sample =
            Sample { at: now, jobs: load.arrived_jobs, work_milli_s: load.arrived_milli_s };
        if self.samples.back().is_some_and(|last| sample.work_milli_s < last.work_milli_s) {
            self.samples.clear();
        }
        self.samples.push_back(sample);
        let retention = Span(2 * SPARSE_WINDOW.0);
        while self.samples.front().is_some_and(|first| now > first.at + retention) {
            self.samples.pop_front();
        }
    }

    /// Returns the samples at the start and at the end of the window that ended `ago` before `now`.
    fn window(&self, length: Span, ago: Span, now: Timestamp) -> Option<(&Sample, &Sample)> {
        let end = Timestamp(now.0.saturating_sub(ago.0));
        let start = Timestamp(end.0.saturating_sub(length.0));
        let at = |time: Timestamp| self.samples.iter().rev().find(|sample| sample.at <= time);
        Some((at(start).or(self.samples.front())?, at(end)?))
    }

    /// Returns the arrivals per second in the window that ended `ago` before `now`.
    fn rate(&self, length: Span, ago: Span, now: Timestamp) -> Rate {
        let Some((first, last)) = self.window(length, ago, now) else {
            return Rate::default();
        };
        let per_second =
            |total: u64| (total * 1_000).checked_div(last.at.since(first.at).0).unwrap_or(0);
        Rate {
            jobs: per_second(last.jobs - first.jobs),
            milli: per_second(last.work_milli_s - first.work_milli_s),
        }
    }

    /// Forecasts the processor capacity that arriving work will need, in thousandths of a core. A
    /// rise is extrapolated only if it shows in many jobs: a few large jobs in one second say
    /// little about the next second.
    pub(super) fn forecast(&self, now: Timestamp) -> u64 {
        let rate = self.rate(WINDOW, Span(0), now);
        if rate.jobs < MIN_TREND_JOBS_PER_S {
            return self.rate(SPARSE_WINDOW, Span(0), now).milli;
        }
        let before = self.rate(WINDOW, WINDOW, now);
        let rise = rate.milli.saturating_sub(before.milli) * FORECAST_LEAD.0 / WINDOW.0;
        (rate.milli + rise).min(rate.milli * MAX_FORECAST_FACTOR)
    }

    /// Whether at least [`MIN_SUSTAINED_JOBS`] jobs arrived within [`SPARSE_WINDOW`], so that the
    /// burst does not consist of a few large jobs only.
    pub(super) fn is_sustained(&self, now: Timestamp) -> bool {
        self.rate(SPARSE_WINDOW, Span(0), now).jobs * SPARSE_WINDOW.0 / 1_000 >= MIN_SUSTAINED_JOBS
    }

    /// Whether the pool's queues have a burst: work arrives at [`BURST_PERCENT`] or more of
    /// `given_milli`, the capacity that the operator gave its pool.
    pub(super) fn is_burst(&self, given_milli: u64, now: Timestamp) -> bool {
        let arrived = self
            .window(WINDOW, Span(0), now)
            .map_or(0, |(first, last)| last.work_milli_s - first.work_milli_s);
        given_milli > 0 && arrived * 100 >= given_milli * WINDOW.0 / 1_000 * BURST_PERCENT
    }
}

/// Returns the processor capacity that a pool needs, in thousandths of a core.
pub(super) fn need_milli(load: &Load, arrivals: &Arrivals, now: Timestamp) -> u64 {
    let (least, most) = CORRECTION_BOUNDS;
    let correction = load.correction_percent.clamp(least, most);
    let wanted_milli = arrivals.forecast(now).max(load.required_milli) * correction / 100;
    load.long_running_milli + wanted_milli * (100 + HEADROOM_PERCENT) / 100
}

/// Time over which a pool's need is averaged when it rises, in milliseconds.
const RISE_AVERAGING_TIME: Span = Span(500);

/// Time over which a pool's need is averaged when it falls, in milliseconds.
const FALL_AVERAGING_TIME: Span = Span(1_200);

/// Average need of a pool, in which single large jobs leave no spikes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SmoothedNeed {
    /// The average, in thousandths of a core.
    milli: u64,
    /// Time of the last update.
    at: Timestamp,
}

impl SmoothedNeed {
    /// Updates the average during a burst, and raises it to at least `given_milli`. Waiting
    /// until the rate of the burst is measured would double the time until the VMs join.
    pub(super) fn raise(&mut self, need: u64, given_milli: u64, now: Timestamp) -> u64 {
        let averaged = self.update(need, now);
        self.milli = averaged.max(given_milli);
        self.milli
    }

    /// Updates the average with the current need and returns it.
    pub(super) fn update(&mut self, need: u64, now: Timestamp) -> u64 {
        let averaging_time =
            if need > self.milli { RISE_AVERAGING_TIME } else { FALL_AVERAGING_TIME };
        let elapsed_ms = now.since(self.at).0.min(averaging_time.0);
        self.milli =
            (need * elapsed_ms + self.milli * (averaging_time.0 - elapsed_ms)) / averaging_time.0;
        self.at = now;
        self.milli
    }
}

/// Current and wanted size of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSize {
    /// Number of VMs in the pool or moving to it.
    pub has: u64,
    /// Minimum number of VMs.
    pub floor: u64,
    /// Number of VMs that the load needs.
    pub wants: u64,
}

impl PoolSize {
    /// Returns the number of VMs that the pool should have.
    fn target(&self) -> u64 {
        self.floor.max(self.wants)
    }

    /// Returns the number of VMs above the target.
    pub(super) fn surplus(&self) -> u64 {
        self.has.saturating_sub(self.target())
    }

    /// Returns the number of VMs missing from the target.
    pub(super) fn deficit(&self) -> u64 {
        self.target().saturating_sub(self.has)
    }
}

/// Returns the pools that lack VMs with their deficits, the largest deficit relative to the target
/// first.
pub(super) fn pools_by_deficit(sizes: &IndexMap<ServiceId, PoolSize>) -> Vec<(ServiceId, u64)> {
    let lacking = sizes.iter().filter(|(_, size)| size.deficit() > 0);
    let mut lacking: Vec<(u64, ServiceId, u64)> = lacking
        .map(|(pool, size)| {
            (size.deficit() * 1_000 / size.target().max(1), pool.clone(), size.deficit())
        })
        .collect();
    lacking.sort_by_key(|(share, pool, _)| (std::cmp::Reverse(*share), pool.clone()));
    lacking.into_iter().map(|(_, pool, deficit)| (pool, deficit)).collect()
}
