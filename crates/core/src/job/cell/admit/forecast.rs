//! The forecast of how long a new job waits for one resource: the processors of the workers, or the
//! start orders of the owner.

use super::super::{
    super::{
        order::{self, OVERDUE_FACTOR, Rank, RankClass, RankContext},
        task::Job,
    },
    capacity::CapacityForecast,
};
use crate::{Span, Timestamp};

/// The part of the time until a job's latest start that its forecast wait may take, in percent.
/// Workers are never as busy as the forecast assumes.
const MAX_WAIT_PERCENT: u64 = 80;

/// An amount of the resource: thousandths of a core times milliseconds, or thousandths of an order.
/// What there is of it in time is then given in thousandths of a core, or in orders a second.
pub(super) type Work = u64;

/// The order in which jobs that can be on time start: by priority, then by their latest start.
pub(super) type StartOrder = (u32, Timestamp);

/// The work of a job that can no longer be on time, but can still end before it is overdue.
#[derive(Clone, Copy, Debug)]
pub(super) struct LateWork {
    pub(super) order: StartOrder,
    pub(super) latest_useful_start: Timestamp,
    /// The time that the open steps still need.
    pub(super) remaining: Span,
    pub(super) work: Work,
}

/// The work of a cell that has not started. All of it is in the order in which it starts; the late
/// work starts after that which can be on time.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    /// The work that starts before all other.
    first: Work,
    on_time: Vec<(StartOrder, Work)>,
    pub(super) late: Vec<LateWork>,
    /// The work that starts after all other.
    overdue: Work,
}

impl Backlog {
    /// Adds work of an occurrence of an open job, not in the order in which it starts.
    pub(super) fn add_occurrence(
        &mut self,
        (rank, work): (Rank, Work),
        (job, index): (&Job, usize),
        context: &RankContext<'_>,
    ) {
        let order = (rank.priority, rank.sort_time);
        match rank.class {
            RankClass::LongRunning | RankClass::Interrupted => self.first += work,
            RankClass::OnTime => self.on_time.push((order, work)),
            RankClass::Late => self.late.push(LateWork {
                order,
                latest_useful_start: order::latest_useful_start(job, index, context),
                remaining: context.remaining(job, index),
                work,
            }),
            RankClass::Overdue => self.overdue += work,
        }
    }

    /// Whether nothing waits that is still worth something.
    fn is_empty(&self) -> bool {
        self.first == 0 && self.on_time.is_empty() && self.late.is_empty()
    }

    pub(super) fn sort(&mut self) {
        self.on_time.sort_unstable();
        self.late.sort_by_key(|late| late.order);
    }

    /// Adds a new job in its place.
    pub(super) fn add(&mut self, order: StartOrder, work: Work) {
        let index = self.on_time.partition_point(|(other, _)| *other <= order);
        self.on_time.insert(index, (order, work));
    }

    /// The work that starts before a new job that can be on time.
    pub(super) fn work_ahead(&self, order: StartOrder) -> Work {
        let ahead = self.on_time.iter().take_while(|(other, _)| *other <= order);
        self.first + ahead.map(|(_, work)| work).sum::<Work>()
    }

    /// The work that starts before all late work.
    fn urgent_work(&self) -> Work {
        self.first + self.on_time.iter().map(|(_, work)| work).sum::<Work>()
    }

    fn late_work(&self) -> Work {
        self.late.iter().map(|late| late.work).sum()
    }

    pub(super) fn total_work(&self) -> Work {
        self.urgent_work() + self.late_work() + self.overdue
    }

    /// Whether work that starts before all late work would make a job overdue that isn't yet.
    fn makes_overdue(&self, added: Work, capacity: CapacityForecast, now: Timestamp) -> bool {
        let mut ahead = self.urgent_work();
        self.late.iter().any(|late| {
            let time_left = late.latest_useful_start.since(now);
            let is_lost = capacity.time_for(ahead) > time_left;
            let safe_time_left = Span(time_left.0.saturating_sub(late.remaining.0));
            let would_be_lost = capacity.time_for(ahead + added) > safe_time_left;
            ahead += late.work;
            would_be_lost && !is_lost
        })
    }
}

/// A new job as the forecast sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) order: StartOrder,
    pub(super) work: Work,
    pub(super) critical_path: Span,
    pub(super) objective: Span,
}

impl Candidate {
    /// How long the job may wait until it starts and still be on time.
    pub(super) fn slack(&self) -> Span {
        Span(self.objective.0.saturating_sub(self.critical_path.0))
    }
}

/// What the forecast of a job's wait rests on, beside the backlog.
#[derive(Clone, Copy, Debug)]
pub(super) struct Supply {
    /// What there is of the resource, without what long-running tasks keep.
    pub(super) capacity: CapacityForecast,
    /// What the jobs that arrive need of it.
    pub(super) arriving_milli: u64,
    /// Whether it may still grow much, so that a backlog does not show that arrivals exceed what
    /// there will be.
    pub(super) is_growing: bool,
}

/// Returns how long a new job would wait until its last task starts, if it is to be refused.
pub(super) fn refused_wait(
    backlog: &Backlog,
    supply: Supply,
    job: Candidate,
    now: Timestamp,
) -> Option<Span> {
    if backlog.is_empty() {
        return None;
    }
    let wait = supply.capacity.time_for(backlog.work_ahead(job.order) + job.work);
    let is_on_time = wait.0.saturating_mul(100) <= job.slack().0 * MAX_WAIT_PERCENT;
    let is_accepted = if is_on_time {
        supply.is_growing || !backlog.makes_overdue(job.work, supply.capacity, now)
    } else {
        ends_before_overdue(backlog, supply, job)
    };
    (!is_accepted).then_some(wait)
}

/// Whether a job that is late ends before it is overdue. It starts after the jobs that can be on
/// time, also after those that are still to arrive.
fn ends_before_overdue(backlog: &Backlog, supply: Supply, job: Candidate) -> bool {
    let arriving_milli = if supply.is_growing { 0 } else { supply.arriving_milli };
    let spare = supply.capacity.without(arriving_milli);
    let work = backlog.urgent_work() + backlog.late_work() + job.work;
    let end_ms = spare.time_for(work).0.saturating_add(job.critical_path.0);
    end_ms <= job.objective.0 * OVERDUE_FACTOR
}
