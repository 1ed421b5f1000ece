//! Admission by forecast: refuses a job that would end only when that is worth nothing any more.
//!
//! Two things can make jobs wait: the processors of the workers, and the start orders that the owner
//! gets done. A job is refused if the forecast of either says so. That of the orders counts the
//! waiting tasks and rests on the rate that the owner has measured. It holds from the beginning of a
//! term, as it needs no knowledge of the workers, but leaves out tasks of earlier terms that may be
//! running. As work that can be on time goes first, overdue work may wait for long; no job is
//! accepted while the orders for all that waits take too long. Tasks that wait for room on workers don't
//! wait for orders: nothing is refused for those unless planning holds some back.
//!
//! The forecast of the processors treats the workers as one large processor. It rests on:
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
//! idle, they refuse none: the backlog then waits for something else, such as its start orders.
//! While the owner may not know all workers yet, they refuse none either. Memory, labels and racks are
//! left out, which makes the forecast too optimistic rather than too strict.

mod forecast;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use self::forecast::{Backlog, Candidate, Supply, Work, refused_wait};
use super::{
    super::{
        JobId, JobSpec, Outlook, Step,
        order::{self, RankClass, RankContext},
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

/// How long the start orders of all waiting tasks may take; beyond that no job is accepted.
const MAX_ORDER_BACKLOG: Span = Span(6_000);

/// How long the start orders that are held back must take at least for a job to be refused. Fewer come with
/// each batch of jobs and are gone by the next one.
const MIN_ORDER_BACKLOG: Span = Span(150);

/// The shortest time for which other nodes keep jobs of a queue to themselves, so that refused callers hardly
/// take the link that the orders need.
const MIN_CLOSED_TIME: Span = Span(500);

/// The amount of an order in the forecast.
const ORDER_WORK: Work = 1_000;

/// Whether a cell refuses jobs that would end too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionPolicy {
    /// Refuses jobs by forecast.
    ByForecast,
    /// Accepts jobs however late they would end, up to a number of waiting jobs.
    AcceptLate,
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    pub(super) reason: &'static str,
    /// How long the job would wait until its last task starts.
    pub(super) wait: Span,
    pub(super) retry_after: Span,
    /// For how long other nodes should refuse jobs of the queue themselves; zero if they should ask.
    pub(super) closed: Span,
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

/// Which start orders of a job the forecast counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CountedSteps {
    /// Those of all steps. The later ones compete with the jobs that are accepted now.
    All,
    /// Those of steps that wait for no other. As long as the owner keeps up with the orders, the
    /// later ones don't wait when their time comes.
    Ready,
}

/// The start orders that an occurrence's tasks still need. Those of a job of an earlier term may be
/// running, unless it has been released.
fn waiting_orders(job: &Job, index: usize, counted: CountedSteps) -> Work {
    if job.is_inherited {
        return 0;
    }
    let occurrence = &job.occurrences[index];
    let is_counted = |step: usize| {
        occurrence.steps[step].open_tasks > 0
            && (counted == CountedSteps::All || occurrence.is_ready(&job.spec, step))
    };
    let steps = occurrence.steps.iter().enumerate().filter(|(step, _)| is_counted(*step));
    steps.map(|(_, state)| state.waiting_tasks() * ORDER_WORK).sum()
}

/// The start orders that a new job needs.
fn total_orders(spec: &JobSpec, counted: CountedSteps) -> Work {
    let is_counted = |step: &&Step| counted == CountedSteps::All || step.after.is_empty();
    let steps = spec.steps.iter().filter(is_counted);
    steps.map(|step| u64::from(step.count) * ORDER_WORK).sum()
}

/// What is asked of one resource.
#[derive(Clone, Debug, Default)]
struct Demand {
    backlog: Backlog,
    /// The work of all jobs submitted in this term, also of refused ones, each counted once.
    submitted: Work,
    /// The submitted work up to a time, the oldest first.
    arrivals: VecDeque<(Timestamp, Work)>,
}

impl Demand {
    fn record_arrivals(&mut self, now: Timestamp) {
        self.arrivals.push_back((now, self.submitted));
        while self.arrivals.get(1).is_some_and(|(at, _)| *at + ARRIVAL_WINDOW <= now) {
            self.arrivals.pop_front();
        }
    }

    /// What the work submitted within the window needs, in thousandths of a core or in orders a
    /// second.
    fn arriving_milli(&self) -> u64 {
        let before = self.arrivals.front().map_or(self.submitted, |(_, work)| *work);
        (self.submitted - before) / ARRIVAL_WINDOW.0
    }

    fn replace_backlog(&mut self, mut backlog: Backlog, now: Timestamp) {
        backlog.sort();
        self.backlog = backlog;
        self.record_arrivals(now);
    }
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
    processors: Demand,
    orders: Demand,
    /// The start orders of accepted jobs that planning has not seen yet.
    unplanned_orders: Work,
    /// The capacity that long-running tasks book, in thousandths of a core.
    long_running_milli: u64,
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
            processors: Demand::default(),
            orders: Demand::default(),
            unplanned_orders: 0,
            long_running_milli: 0,
            backlog_valid_until: Timestamp(0),
        }
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
        let orders = Candidate { work: total_orders(spec, self.counted_steps(now)), ..job };
        if is_new {
            self.admission.processors.submitted += job.work;
            self.admission.orders.submitted += total_orders(spec, CountedSteps::All);
        }
        let refusals =
            [self.refused_by_orders(id, orders, now), self.refused_by_processors(id, job, now)];
        let refusal = refusals.into_iter().flatten().max_by_key(|refusal| refusal.wait);
        if refusal.is_none() {
            self.admission.processors.backlog.add(job.order, job.work);
            self.admission.orders.backlog.add(orders.order, orders.work);
            self.admission.unplanned_orders += orders.work;
        }
        refusal
    }

    /// The refusal of a job for which there is not enough processor capacity, if any.
    fn refused_by_processors(&self, id: JobId, job: Candidate, now: Timestamp) -> Option<Refusal> {
        if self.has_idle_workers(now) {
            return None;
        }
        let supply = self.forecast_supply(now)?;
        let wait = refused_wait(&self.admission.processors.backlog, supply, job, now)?;
        let retry_after = retry_after(id, Span(wait.0.saturating_sub(job.slack().0)));
        Some(Refusal { reason: "it would end too late", wait, retry_after, closed: Span(0) })
    }

    /// The start orders that wait for others and for nothing else: those that planning held back, and those of
    /// jobs that it has not seen yet. Tasks that wait for room on workers keep no job from being accepted.
    fn held_back_orders(&self) -> Work {
        let held_back = u64::try_from(self.held_back_starts).unwrap_or(u64::MAX);
        held_back.saturating_mul(ORDER_WORK).saturating_add(self.admission.unplanned_orders)
    }

    /// The refusal of a job that would wait too long for its start orders, if any.
    fn refused_by_orders(&self, id: JobId, job: Candidate, now: Timestamp) -> Option<Refusal> {
        let Demand { backlog, .. } = &self.admission.orders;
        let capacity = CapacityForecast::constant(self.start_window.order_rate(now).0);
        let arriving_milli = self.admission.orders.arriving_milli();
        let supply = Supply { capacity, arriving_milli, is_growing: false };
        if capacity.time_for(self.held_back_orders()) < MIN_ORDER_BACKLOG {
            return None;
        }
        let total = capacity.time_for(backlog.total_work());
        let (wait, excess) = if total > MAX_ORDER_BACKLOG {
            (total, Span(total.0 - MAX_ORDER_BACKLOG.0))
        } else {
            let wait = refused_wait(backlog, supply, job, now)?;
            (wait, Span(wait.0.saturating_sub(job.slack().0)))
        };
        // A job that is refused for its own size says nothing about others.
        let is_for_others = backlog.work_ahead(job.order) >= job.work;
        let closed = if is_for_others { excess.max(MIN_CLOSED_TIME) } else { Span(0) };
        let retry_after = retry_after(id, excess);
        Some(Refusal { reason: "start orders can't keep up", wait, retry_after, closed })
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
        let capacity = capacity.without(admission.long_running_milli);
        let arriving_milli = admission.processors.arriving_milli();
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
        self.measure_backlog(now);
        self.admission.backlog_valid_until = now + BACKLOG_VALIDITY;
    }

    fn counted_steps(&self, now: Timestamp) -> CountedSteps {
        let has_kept_up = !self.start_window.is_rate_measured(now);
        if has_kept_up { CountedSteps::Ready } else { CountedSteps::All }
    }

    fn measure_backlog(&mut self, now: Timestamp) {
        let wall_offset_ms = self.wall_offset_ms;
        let (mut processors, mut orders) = (Backlog::default(), Backlog::default());
        let (mut long_running_milli, mut unplanned_orders) = (0, 0);
        let counted = self.counted_steps(now);
        for (_, job) in self.jobs.open() {
            let Some(queue) = self.queues.get(&job.queue) else {
                continue;
            };
            let expected = self.expected_times.get(&job.queue);
            let context = RankContext { queue, expected, now, wall_offset_ms };
            for index in 0..job.occurrences.len() {
                long_running_milli += job.long_running_milli();
                let (work, order_work) =
                    (waiting_work(job, index, expected), waiting_orders(job, index, counted));
                if work == 0 && order_work == 0 {
                    continue;
                }
                let rank = order::rank(job, index, &context);
                // Processors are free for overdue work only when nothing else waits for them, and
                // long-running tasks keep theirs.
                if work > 0 && matches!(rank.class, RankClass::OnTime | RankClass::Late) {
                    processors.add_occurrence((rank, work), (job, index), &context);
                }
                unplanned_orders += if job.is_durable { 0 } else { order_work };
                if order_work > 0 {
                    orders.add_occurrence((rank, order_work), (job, index), &context);
                }
            }
        }
        let admission = &mut self.admission;
        admission.long_running_milli = long_running_milli;
        admission.unplanned_orders = unplanned_orders;
        admission.processors.replace_backlog(processors, now);
        admission.orders.replace_backlog(orders, now);
    }
}
