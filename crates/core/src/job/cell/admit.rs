//! Admission by forecast: refuses a job that would end only when that is worth nothing any more.
//!
//! The forecast treats the workers as one large processor. It rests on:
//!
//! - the work that waits to start, by rank, from the expected times of its steps;
//! - the processor capacity that the cell's workers have, and what the fleet can give the pool in
//!   the next seconds (see [`super::capacity`]). A pool grows within seconds of the start of a
//!   burst, so its current size says little;
//! - the rate at which work has been submitted of late, unless the pool may still grow much.
//!
//! A wrong refusal costs the caller more than a late job. A job is therefore accepted if it can
//! start in time at its rank, unless that makes a job overdue that was accepted before; and also if
//! the capacity that arriving jobs leave over ends it before it is overdue. While nothing waits, each
//! job is accepted: some worker is free, or will be soon. While much of the workers' capacity is
//! idle, each is accepted too: the backlog then waits for something else, such as its start orders.
//! While the owner may not know all workers yet, nothing is refused. Memory, labels and racks are
//! left out, which makes the forecast too optimistic rather than too strict.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use super::{
    super::{
        JobId, JobSpec, Outlook,
        order::{self, OVERDUE_FACTOR, RankClass, RankContext},
        retry_after,
        task::Job,
        times,
    },
    Cell, QueueConfig,
    capacity::{CapacityForecast, MilliCoreMillis},
};
use crate::{QueueId, Span, Timestamp};

/// The number of jobs waiting to start at which a cell refuses new ones, however soon they could
/// end.
const MAX_WAITING_JOBS: usize = 2_000;

/// How long a measurement of the backlog is used.
const BACKLOG_VALIDITY: Span = Span(100);

/// The length of the window over which the rate of arrivals is measured.
const ARRIVAL_WINDOW: Span = Span(2_000);

/// How long after the start of its term an owner may not know all workers yet.
const SETTLING_TIME: Span = Span(3_000);

/// How long workers may take to join after they were announced.
const JOIN_TIME: Span = Span(3_000);

/// By how much a pool may grow while workers are announced.
const MAX_GROWTH_FACTOR: u64 = 5;

/// How long what the fleet said about its VMs is used. The fleet's owner says it several times a
/// second.
const OUTLOOK_VALIDITY: Span = Span(2_000);

/// A pool with less than this part of its largest capacity is expected to grow, in percent.
const SMALL_POOL_PERCENT: u64 = 75;

/// The idle part of the workers' capacity, in percent, from which on they are not what work waits
/// for. At most a quarter is kept free for large tasks.
const IDLE_PERCENT: u64 = 30;

/// The part of the time until a job's latest start that its forecast wait may take, in percent.
/// Workers are never as busy as the forecast assumes.
const MAX_WAIT_PERCENT: u64 = 80;

/// Whether a cell refuses jobs that would end too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionPolicy {
    /// Refuses jobs by forecast.
    ByForecast,
    /// Accepts jobs however late they would end, up to a number of waiting jobs.
    AcceptLate,
}

/// The order in which jobs that can be on time start: by priority, then by their latest start.
type StartOrder = (u32, Timestamp);

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    pub(super) reason: &'static str,
    /// How long the job would wait until its last task starts.
    pub(super) wait: Span,
    pub(super) retry_after: Span,
    /// For how long no job of the queue will be accepted; zero if others may be.
    pub(super) closed: Span,
}

/// The work of a job that can no longer be on time, but can still end before it is overdue.
#[derive(Clone, Copy, Debug)]
struct LateWork {
    order: StartOrder,
    latest_useful_start: Timestamp,
    /// The time that the open steps still need.
    remaining: Span,
    work: MilliCoreMillis,
}

/// The work of a cell that has not started, without jobs that are overdue. All of it is in the order
/// in which it starts; the late work starts after that which can be on time.
#[derive(Clone, Debug, Default)]
struct Backlog {
    on_time: Vec<(StartOrder, MilliCoreMillis)>,
    late: Vec<LateWork>,
    /// The capacity that long-running tasks book, in thousandths of a core.
    long_running_milli: u64,
}

impl Backlog {
    /// Adds an occurrence of an open job, not in the order in which it starts.
    fn add_occurrence(&mut self, job: &Job, index: usize, context: &RankContext<'_>) {
        self.long_running_milli += job.long_running_milli();
        let work = waiting_work(job, index, context.expected);
        if work == 0 {
            return;
        }
        let rank = order::rank(job, index, context);
        let order = (rank.priority, rank.sort_time);
        match rank.class {
            RankClass::OnTime => self.on_time.push((order, work)),
            RankClass::Late => self.late.push(LateWork {
                order,
                latest_useful_start: order::latest_useful_start(job, index, context),
                remaining: context.remaining(job, index),
                work,
            }),
            RankClass::LongRunning | RankClass::Overdue => {}
        }
    }

    /// Whether nothing waits that is still worth something.
    fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }

    fn sort(&mut self) {
        self.on_time.sort_unstable();
        self.late.sort_by_key(|late| late.order);
    }

    /// Adds a new job in its place.
    fn add(&mut self, order: StartOrder, work: MilliCoreMillis) {
        let index = self.on_time.partition_point(|(other, _)| *other <= order);
        self.on_time.insert(index, (order, work));
    }

    /// The work that starts before a new job that can be on time.
    fn work_ahead(&self, order: StartOrder) -> MilliCoreMillis {
        let ahead = self.on_time.iter().take_while(|(other, _)| *other <= order);
        ahead.map(|(_, work)| work).sum()
    }

    fn on_time_work(&self) -> MilliCoreMillis {
        self.on_time.iter().map(|(_, work)| work).sum()
    }

    fn late_work(&self) -> MilliCoreMillis {
        self.late.iter().map(|late| late.work).sum()
    }

    /// Whether work that starts before all late work would make a job overdue that isn't yet.
    fn makes_overdue(
        &self,
        added: MilliCoreMillis,
        capacity: CapacityForecast,
        now: Timestamp,
    ) -> bool {
        let mut ahead = self.on_time_work();
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
struct Candidate {
    order: StartOrder,
    work: MilliCoreMillis,
    critical_path: Span,
    objective: Span,
}

impl Candidate {
    /// How long the job may wait until it starts and still be on time.
    fn slack(&self) -> Span {
        Span(self.objective.0.saturating_sub(self.critical_path.0))
    }
}

/// What the forecast of a job's wait rests on, beside the backlog.
#[derive(Clone, Copy, Debug)]
struct Supply {
    /// What the workers can do, without the long-running tasks.
    capacity: CapacityForecast,
    /// What the jobs that arrive need, in thousandths of a core.
    arriving_milli: u64,
    /// Whether many workers may still join, so that a backlog does not show that arrivals exceed what
    /// the workers will do.
    is_growing: bool,
}

/// Returns how long a new job would wait until its last task starts, if it is to be refused.
fn refused_wait(backlog: &Backlog, supply: Supply, job: Candidate, now: Timestamp) -> Option<Span> {
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
    let work = backlog.on_time_work() + backlog.late_work() + job.work;
    let end_ms = spare.time_for(work).0.saturating_add(job.critical_path.0);
    end_ms <= job.objective.0 * OVERDUE_FACTOR
}

/// Whether a pool with this capacity is expected to grow, given the most that it can have.
fn is_small(current_milli: u64, most_milli: u64) -> bool {
    current_milli * 100 < most_milli * SMALL_POOL_PERCENT
}

/// The estimated processor time of an occurrence's tasks that wait to start.
fn waiting_work(job: &Job, index: usize, expected: Option<Span>) -> MilliCoreMillis {
    let steps = job.occurrences[index].steps.iter().zip(&job.spec.steps);
    steps
        .filter(|(state, step)| state.open_tasks > 0 && !step.long_running)
        .map(|(state, step)| {
            let time = times::task_time(step, state, expected);
            step.booked().cpu_milli * time.0 * state.waiting_tasks()
        })
        .sum()
}

/// What the forecast has measured in this term.
#[derive(Clone, Debug)]
pub(super) struct Admission {
    settled_at: Timestamp,
    /// The most capacity that the usable workers have had, in thousandths of a core.
    largest_capacity_milli: u64,
    /// Until when announced workers, or those of a pool that was small, may still be joining.
    workers_join_until: Timestamp,
    /// Until when workers are announced.
    workers_announced_until: Timestamp,
    /// What the fleet can give the pool, and until when that is used.
    outlook: Option<(Outlook, Timestamp)>,
    /// The work of all jobs submitted in this term, also of refused ones, each counted once.
    submitted_work: MilliCoreMillis,
    /// The submitted work up to a time, the oldest first.
    arrivals: VecDeque<(Timestamp, MilliCoreMillis)>,
    backlog: Backlog,
    backlog_valid_until: Timestamp,
}

impl Admission {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            settled_at: now + SETTLING_TIME,
            largest_capacity_milli: 0,
            workers_join_until: Timestamp(0),
            workers_announced_until: Timestamp(0),
            outlook: None,
            submitted_work: 0,
            arrivals: VecDeque::new(),
            backlog: Backlog::default(),
            backlog_valid_until: Timestamp(0),
        }
    }

    fn record_arrivals(&mut self, now: Timestamp) {
        self.arrivals.push_back((now, self.submitted_work));
        while self.arrivals.get(1).is_some_and(|(at, _)| *at + ARRIVAL_WINDOW <= now) {
            self.arrivals.pop_front();
        }
    }

    /// The capacity that the work submitted within the window needs, in thousandths of a core.
    fn arriving_milli(&self) -> u64 {
        let before = self.arrivals.front().map_or(self.submitted_work, |(_, work)| *work);
        (self.submitted_work - before) / ARRIVAL_WINDOW.0
    }
}

impl Cell {
    /// Notes that more workers are about to join, so that no job is refused for want of them.
    pub fn expect_workers(&mut self, now: Timestamp) {
        self.admission.workers_announced_until = now + JOIN_TIME;
        self.admission.workers_join_until = now + JOIN_TIME;
    }

    /// Notes what the fleet can give the pool.
    pub fn set_outlook(&mut self, outlook: Outlook, now: Timestamp) {
        self.admission.outlook = Some((outlook, now + OUTLOOK_VALIDITY));
    }

    /// Decides whether a new job is refused. Long-running and scheduled jobs never are: their
    /// callers do not wait for their end. `is_new` tells whether the job is submitted for the first
    /// time.
    pub(super) fn check_admission(
        &mut self,
        (id, is_new): (JobId, bool),
        queue: &QueueId,
        spec: &JobSpec,
        now: Timestamp,
    ) -> Option<Refusal> {
        if spec.is_long_running() || spec.schedule.is_some() {
            return None;
        }
        if self.waiting_jobs() >= MAX_WAITING_JOBS {
            let retry_after = retry_after(id, Span(0));
            let reason = "too many jobs wait";
            return Some(Refusal { reason, wait: Span(0), retry_after, closed: Span(0) });
        }
        if self.cfg.admission == AdmissionPolicy::AcceptLate {
            return None;
        }
        self.refresh_backlog(now);
        let job = self.candidate(queue, spec, now)?;
        if is_new {
            self.admission.submitted_work += job.work;
        }
        if self.has_idle_workers(now) {
            self.admission.backlog.add(job.order, job.work);
            return None;
        }
        let supply = self.forecast_supply(now)?;
        let Some(wait) = refused_wait(&self.admission.backlog, supply, job, now) else {
            self.admission.backlog.add(job.order, job.work);
            return None;
        };
        let retry_after = retry_after(id, Span(wait.0.saturating_sub(job.slack().0)));
        Some(Refusal { reason: "it would end too late", wait, retry_after, closed: Span(0) })
    }

    /// Describes a new job for the forecast; `None` if its queue is unknown.
    fn candidate(&self, id: &QueueId, spec: &JobSpec, now: Timestamp) -> Option<Candidate> {
        let queue: &QueueConfig = self.queues.get(id)?;
        let expected = self.expected_times.get(id);
        let critical_path = spec.critical_path(|_, step| times::estimate(step, expected).0);
        let objective = order::objective(critical_path, queue);
        let latest_start = now + Span(objective.0.saturating_sub(critical_path.0));
        let order = (queue.priority, latest_start);
        let work = times::total_work(spec, expected);
        Some(Candidate { order, work, critical_path, objective })
    }

    /// What the forecast counts on; `None` while too little is known of the workers.
    fn forecast_supply(&self, now: Timestamp) -> Option<Supply> {
        let admission = &self.admission;
        if now < admission.settled_at || !self.has_worker_list {
            return None;
        }
        let current_milli = self.usable_capacity_milli(now);
        let outlook = admission.outlook.filter(|(_, valid_until)| now < *valid_until);
        let (capacity, is_growing) = match outlook {
            Some((outlook, _)) => {
                let may_grow = is_small(current_milli, outlook.most_milli);
                (CapacityForecast::from_outlook(current_milli, outlook), may_grow)
            }
            None => (self.capacity_without_outlook(current_milli, now), self.may_grow(now)),
        };
        let capacity = capacity.without(admission.backlog.long_running_milli);
        let arriving_milli = admission.arriving_milli();
        capacity.is_positive().then_some(Supply { capacity, arriving_milli, is_growing })
    }

    /// Whether so much of the workers' capacity is idle that a backlog waits for something else.
    fn has_idle_workers(&self, now: Timestamp) -> bool {
        let usable = self.workers.values().filter(|worker| Self::is_usable(worker, now));
        let (capacity, booked) = usable.fold((0, 0), |(capacity, booked), worker| {
            (capacity + worker.entry.capacity.cpu_milli, booked + worker.used().cpu_milli)
        });
        booked * 100 < capacity * (100 - IDLE_PERCENT)
    }

    /// Whether workers may be joining.
    fn may_grow(&self, now: Timestamp) -> bool {
        now < self.admission.workers_join_until
    }

    /// The capacity to count on if the fleet says nothing: the most that the workers have had in
    /// this term, or several times what they have now while more are announced.
    fn capacity_without_outlook(&self, current_milli: u64, now: Timestamp) -> CapacityForecast {
        let is_announced = now < self.admission.workers_announced_until;
        let growth = if is_announced { MAX_GROWTH_FACTOR } else { 1 };
        let largest_milli = self.admission.largest_capacity_milli;
        CapacityForecast::constant(largest_milli.max(current_milli * growth))
    }

    fn usable_capacity_milli(&self, now: Timestamp) -> u64 {
        let usable = self.workers.values().filter(|worker| Self::is_usable(worker, now));
        usable.map(|worker| worker.entry.capacity.cpu_milli).sum()
    }

    /// Notes the current capacity: whether it is the largest so far, and whether it is small.
    pub(super) fn note_capacity(&mut self, now: Timestamp) {
        let current = self.usable_capacity_milli(now);
        let admission = &mut self.admission;
        admission.largest_capacity_milli = admission.largest_capacity_milli.max(current);
        if is_small(current, admission.largest_capacity_milli) {
            admission.workers_join_until = now + JOIN_TIME;
        }
    }

    fn refresh_backlog(&mut self, now: Timestamp) {
        if now < self.admission.backlog_valid_until {
            return;
        }
        self.admission.backlog = self.measure_backlog(now);
        self.admission.backlog_valid_until = now + BACKLOG_VALIDITY;
        self.admission.record_arrivals(now);
    }

    fn measure_backlog(&self, now: Timestamp) -> Backlog {
        let wall_offset_ms = self.wall_offset_ms;
        let mut backlog = Backlog::default();
        for (_, job) in self.jobs.open() {
            let Some(queue) = self.queues.get(&job.queue) else {
                continue;
            };
            let expected = self.expected_times.get(&job.queue);
            let context = RankContext { queue, expected, now, wall_offset_ms };
            for index in 0..job.occurrences.len() {
                backlog.add_occurrence(job, index, &context);
            }
        }
        backlog.sort();
        backlog
    }
}
