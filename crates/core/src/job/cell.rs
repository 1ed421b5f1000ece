//! The owner of a cell: what it accepts, what it remembers, what it tells.

mod advise;
mod ends;
mod load;
mod orders;
mod plan;
mod progress;
mod recover;
mod roster;
mod vacate;

use std::collections::VecDeque;

use indexmap::IndexMap;

pub(super) use self::progress::Speed;
pub use self::recover::Recovered;
use super::{
    Action, AdviceConfig, Answer, JobEnd, JobId, JobSpec, JobState, LogConfig, LogEvent, LogWriter,
    Position, Record, Segment, Sequence, Token, WorkerId,
    pace::PaceTable,
    task::Job,
    times::{self, ExpectedTimes},
    worker::{DrainMode, Logged, Worker},
};
use crate::{Epoch, QueueId, ServiceId, Span, Timestamp};

/// How a queue's jobs are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueConfig {
    /// The service whose workers run them.
    pub service: ServiceId,
    /// Runs of one task that may fail before the job has failed.
    pub max_attempts: u32,
    /// How many times its critical path a job may take, in percent.
    pub stretch_percent: u64,
    /// Added to that.
    pub target_latency: Span,
    /// Zero comes first.
    pub priority: u32,
    /// Its tasks may run only where a service outside allows it.
    pub advice: Option<AdviceConfig>,
}

/// The bounds within which a cell works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellConfig {
    /// How long a worker's lease lasts after each order.
    pub lease: Span,
    /// The longest that an owner may go on after it lost its key.
    pub owner_ttl: Span,
    /// The longest that a stop takes on a worker.
    pub stop_timeout: Span,
    /// How long the state of a finished job is kept.
    pub status_retention: Span,
    /// How the log is written.
    pub log: LogConfig,
}

/// Something that follows once the log is durable up to a position.
#[derive(Clone, Debug)]
enum DeferredEffect {
    Reply(Token, Answer),
    JobDurable(JobId),
    EndDurable(JobId),
    ConfirmEnds(WorkerId, u64, u64),
    WorkerLogged(WorkerId, u32),
}

/// One service's jobs and workers, at their owner.
#[derive(Debug)]
pub struct Cell {
    cfg: CellConfig,
    service: ServiceId,
    epoch: Epoch,
    queues: IndexMap<QueueId, QueueConfig>,
    jobs: IndexMap<JobId, Job>,
    workers: IndexMap<WorkerId, Worker>,
    log: LogWriter,
    deferred_effects: VecDeque<(Position, DeferredEffect)>,
    actions: Vec<Action>,
    /// Workers of earlier terms that have not been adopted, and when their leases have run out.
    inherited_workers: IndexMap<WorkerId, Timestamp>,
    /// Before this point earlier orders may still be carried out at workers that nobody knows.
    earlier_orders_expiry: Timestamp,
    plan_due: bool,
    pace_table: PaceTable,
    arrived_milli_s: u64,
    arrived_jobs: u64,
    /// Processor time of tasks that are done, as it was and as it was estimated before, in
    /// thousandths of a core-second.
    took_milli_s: (u64, u64),
    expected_times: ExpectedTimes,
    /// Requests for advice that are on their way.
    advice_requests_in_flight: usize,
    drains: IndexMap<WorkerId, DrainMode>,
    /// The store's list of workers has been read in this term.
    has_worker_list: bool,
    /// From when on tasks may be stopped for the sake of their workers: stops of the earlier owner
    /// show by then.
    drains_from: Timestamp,
    /// The wall clock minus this node's clock, in milliseconds.
    wall_offset: u64,
}

/// Most jobs that wait in a cell before more are refused.
const MAX_WAITING_JOBS: usize = 2_000;

impl Cell {
    /// Changes how queues are treated.
    pub fn set_queues(&mut self, queues: IndexMap<QueueId, QueueConfig>) {
        self.queues = queues;
        self.plan_due = true;
    }

    /// The term of the owner.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The service that the cell's workers run.
    #[must_use]
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The next write of the log, if one is due.
    pub fn take_write(&mut self, now: Timestamp) -> Option<(Sequence, Segment)> {
        self.log.take(now)
    }

    /// When the next write of the log is due, if none is on its way.
    #[must_use]
    pub fn write_due(&self) -> Option<Timestamp> {
        self.log.due()
    }

    /// Whether a job was submitted before.
    #[must_use]
    pub fn has_job(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Whether everything that was decided is durable.
    #[must_use]
    pub fn is_log_idle(&self) -> bool {
        self.log.is_idle()
    }

    /// The write at this place is in the store.
    pub fn on_segment_written(&mut self, sequence: Sequence, now: Timestamp) {
        self.log.on_written(sequence);
        let durable = self.log.durable();
        while let Some((_, effect)) =
            self.deferred_effects.pop_front_if(|(position, _)| *position <= durable)
        {
            self.apply_effect(effect, now);
        }
    }

    fn apply_effect(&mut self, effect: DeferredEffect, now: Timestamp) {
        match effect {
            DeferredEffect::Reply(token, answer) => self.actions.push(Action::Reply(token, answer)),
            DeferredEffect::JobDurable(id) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.is_durable = true;
                    self.plan_due = true;
                }
            }
            DeferredEffect::EndDurable(id) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.is_end_durable = true;
                }
            }
            DeferredEffect::ConfirmEnds(id, born, number) => {
                let worker = self.workers.get_mut(&id);
                if let Some(worker) = worker.filter(|one| one.entry.started_wall_ms == born) {
                    worker.ends_durable = worker.ends_durable.max(number);
                    worker.next_hold = worker.next_hold.min(now);
                }
            }
            DeferredEffect::WorkerLogged(id, times) => {
                let worker = self.workers.get_mut(&id);
                let is_newest =
                    |one: &&mut Worker| one.logged == Logged::Nothing && one.times_logged == times;
                if let Some(worker) = worker.filter(is_newest) {
                    worker.logged = Logged::Used;
                    self.plan_due = true;
                }
            }
        }
    }

    fn record(&mut self, record: Record, now: Timestamp, effect: Option<DeferredEffect>) {
        let position = self.log.append(record, now);
        self.deferred_effects.extend(effect.map(|one| (position, one)));
    }

    /// Adds what follows the last record; at once if there is nothing to wait for.
    fn defer_until_durable(&mut self, effect: DeferredEffect, now: Timestamp) {
        if self.log.is_idle() {
            self.apply_effect(effect, now);
            return;
        }
        let last = self.log.appended();
        self.deferred_effects.push_back((last, effect));
    }

    /// A client account submits a job.
    pub fn submit(
        &mut self,
        token: Token,
        (id, queue): (JobId, QueueId),
        spec: JobSpec,
        (now, wall_ms): (Timestamp, u64),
    ) {
        if self.jobs.contains_key(&id) {
            // Whatever is known of the job is in the log, or will be with the next write.
            self.defer_until_durable(DeferredEffect::Reply(token, Answer::Durable), now);
            return;
        }
        let waiting = self.waiting_jobs();
        if waiting >= MAX_WAITING_JOBS {
            let retry_after = Span(1_000);
            self.actions.push(Action::Log(LogEvent::Refused {
                job: id,
                queue,
                waiting,
                retry_after,
            }));
            self.actions.push(Action::Reply(token, Answer::Refused { retry_after }));
            return;
        }
        let event = LogEvent::Accepted { job: id, queue: queue.clone(), waiting };
        self.actions.push(Action::Log(event));
        let expected = self.expected_times.get(&queue);
        let work: u64 = spec
            .steps
            .iter()
            .filter(|step| !step.long_running)
            .map(|step| {
                let each = times::estimate(step, expected).0;
                step.need.cpu_milli * u64::from(step.count) * each / 1_000
            })
            .sum();
        self.arrived_milli_s += work;
        self.arrived_jobs += u64::from(work > 0);
        let record =
            Record::Accepted { job: id, queue: queue.clone(), spec: spec.clone(), wall_ms };
        self.jobs.insert(id, Job::new(queue, spec, wall_ms, now));
        self.record(record, now, Some(DeferredEffect::JobDurable(id)));
        self.defer_until_durable(DeferredEffect::Reply(token, Answer::Durable), now);
    }

    /// A client account cancels a job.
    pub fn cancel(&mut self, token: Token, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get(&id) else {
            self.actions.push(Action::Reply(token, Answer::Unknown));
            return;
        };
        if job.end.is_none() {
            self.finish(id, JobEnd::Cancelled, now);
        }
        self.defer_until_durable(DeferredEffect::Reply(token, Answer::Durable), now);
    }

    /// The state of a job as it is durable; `None` if there is no such job.
    #[must_use]
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        let job = self.jobs.get(&id)?;
        match job.end {
            Some(end) if job.is_end_durable => Some(JobState::Ended(end)),
            _ if !job.is_durable => None,
            _ if job.has_started => Some(JobState::Running),
            _ => Some(JobState::Queued),
        }
    }

    /// How many accepted jobs of a queue have not started.
    #[must_use]
    pub fn queued_jobs(&self, queue: &QueueId) -> u64 {
        let waits = |job: &&Job| &job.queue == queue && !job.has_started && job.end.is_none();
        self.jobs.values().filter(waits).count() as u64
    }

    fn waiting_jobs(&self) -> usize {
        self.jobs.values().filter(|job| job.end.is_none() && !job.has_started).count()
    }

    /// Records the end of a job; its runs are stopped with the next plan.
    fn finish(&mut self, id: JobId, end: JobEnd, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.end = Some(end);
        job.ended = now;
        let after = now.since(job.arrived);
        // The wall clock of the arrival plus the time since needs no second reading.
        let wall_ms = job.wall_ms + after.0;
        let tasks = job.task_ids(id);
        self.actions.push(Action::Log(LogEvent::Finished { job: id, end, after }));
        self.record(
            Record::Finished { job: id, end, wall_ms },
            now,
            Some(DeferredEffect::EndDurable(id)),
        );
        for task in tasks {
            self.stop_task(task, "the job is over", now);
        }
        self.plan_due = true;
    }

    /// It is `now`: sends what is due.
    pub fn tick(&mut self, now: Timestamp, wall_ms: u64) {
        self.wall_offset = wall_ms.saturating_sub(now.0);
        self.settle_inherited(now);
        self.expire_runs(now);
        self.send_stops(now);
        self.log_drained(now);
        self.send_holds(now);
        self.open_occurrences(wall_ms);
        self.drain(now);
        self.pace(now);
        if self.plan_due {
            self.plan(now);
        }
        self.forget(now);
    }

    fn open_occurrences(&mut self, wall_ms: u64) {
        for job in self.jobs.values_mut().filter(|job| job.end.is_none()) {
            let opened = job.opened;
            job.open_due_occurrences(wall_ms);
            self.plan_due |= job.opened > opened;
        }
    }

    /// Drops what nobody will ask for any more.
    fn forget(&mut self, now: Timestamp) {
        let kept = self.cfg.status_retention;
        let dead = |job: &Job| job.is_end_durable && now > job.ended + kept;
        if self.jobs.values().any(dead) {
            self.jobs.retain(|_, job| !dead(job));
        }
    }
}
