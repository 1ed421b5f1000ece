//! The state that the owner of a cell keeps: one service's jobs, workers and runs.
//!
//! A [`Cell`] does no I/O. Its owner passes in requests, answers and the time, and carries out the
//! [`Action`]s and log writes that the cell returns.

mod admit;
mod advise;
mod answered_copies;
mod arrivals;
mod availability;
mod awaited;
mod capacity;
mod clean;
mod crashes;
mod ends;
mod holds;
mod inherited_leases;
mod inherited_starts;
mod job_table;
mod load;
mod log_time;
mod orders;
mod placement;
mod plan;
mod progress;
mod recover;
mod restarts;
mod roster;
mod staged;
mod start_scope;
mod term_end;
mod trials;
mod vacate;
mod work;

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

pub use self::admit::AdmissionPolicy;
pub use self::awaited::TermClaim;
pub(super) use self::progress::WorkerSpeed;
pub use self::recover::RecoveredLog;
pub use self::term_end::{TermEnd, TermEndEffect, TermEndReport};
use self::{
    admit::Refusal,
    staged::{StagedSubmissions, Submission},
};
use super::{
    Action, AdviceConfig, Answer, Fence, FencedCall, FlowLimits, JobEnd, JobId, JobSpec, JobState,
    LogConfig, LogEvent, LogWrite, LogWriter, Position, QueueSettings, Record, Sequence, TaskId,
    Token, WorkerId,
    fence::Fences,
    fleet::InstructionNumber,
    flow::{HoldBudget, StartWindow},
    pace::PaceTable,
    record::EncodedRecord,
    task::Job,
    times::ExpectedTimes,
    worker::{DrainMode, Logged, Worker},
};
use crate::{Epoch, QueueId, ServiceId, Span, Timestamp};

/// The settings of a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueConfig {
    /// The service whose workers run the queue's jobs.
    pub service: ServiceId,
    /// The number of failed runs of one task, or of one gang in total, that fails the job.
    pub max_attempts: u32,
    /// How long a job may take, in percent of its critical path.
    pub stretch_percent: u64,
    /// How long a job may take beyond that.
    pub target_latency: Span,
    /// The priority of the queue's jobs; zero is the highest.
    pub priority: u32,
    /// If set, a task may run only on workers that an external service allows.
    pub advice: Option<AdviceConfig>,
}

/// The time limits and log settings of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellConfig {
    /// The duration of a worker's lease, counted from the order that grants or renews it.
    pub lease: Span,
    /// The longest lease that a worker grants, on its own clock. An order to an earlier instance of
    /// a worker, whose clock had advanced further, is granted that much.
    pub max_lease: Span,
    /// The longest time that a worker takes to stop a run.
    pub stop_timeout: Span,
    /// How long the state of an ended job is kept.
    pub status_retention: Span,
    /// The limits on writes of the log.
    pub log: LogConfig,
    /// The limits on calls to workers.
    pub flow: FlowLimits,
    /// Whether jobs that would end too late are refused.
    pub admission: AdmissionPolicy,
}

/// An effect that is applied once the log is durable up to a position.
#[derive(Clone, Debug)]
enum DeferredEffect {
    /// Answers a request.
    Reply(Token, Answer),
    /// Marks the acceptance of a job as durable.
    JobDurable(JobId),
    /// Marks the end of a job as durable.
    EndDurable(JobId),
    /// Confirms run ends to a worker instance, given by the worker's id and by when the owner learned
    /// of the instance, up to the number of the last one.
    ConfirmEnds(WorkerId, Timestamp, u64),
    /// Marks what the log says about a worker as durable if this was the latest time that the worker
    /// was logged.
    WorkerLogged(WorkerId, u32, Logged),
    /// Lets the start order of a run, given by worker, task and attempt, be sent.
    PlacementDurable(WorkerId, TaskId, u32),
}

/// One service's jobs and workers, as the owner of the cell knows them.
#[derive(Debug)]
pub struct Cell {
    cfg: CellConfig,
    service: ServiceId,
    epoch: Epoch,
    queues: IndexMap<QueueId, QueueConfig>,
    /// The settings of queues of inherited jobs, as the log names them last. Used only for those that the
    /// configuration doesn't send here.
    logged_queues: IndexMap<QueueId, QueueSettings>,
    jobs: job_table::JobTable,
    workers: IndexMap<WorkerId, Worker>,
    log: LogWriter,
    live: clean::LiveIndex,
    /// Set once the handover was recorded, after which the owner sends no more orders and only renews
    /// leases.
    handover: Option<recover::Handover>,
    deferred_effects: VecDeque<(Position, DeferredEffect)>,
    /// Runs, given by worker, task and attempt, whose placements have just become durable.
    durable_placements: Vec<(WorkerId, TaskId, u32)>,
    actions: Vec<Action>,
    fences: Fences,
    /// Workers of earlier terms that have not been adopted, each with the time at which its lease
    /// has certainly expired.
    inherited_workers: IndexMap<WorkerId, Timestamp>,
    /// The time until which certainly no other owner has claimed the cell.
    sole_until: Timestamp,
    /// The last term that the log shows besides this one.
    last_term: Option<recover::LoggedTerm>,
    /// Start orders of the last term that may still be carried out, by workers that the store has not
    /// listed yet.
    inherited_starts: inherited_starts::InheritedStarts,
    /// What the owners before have recorded of leases that workers may have got from calls to former
    /// instances.
    inherited_leases: inherited_leases::InheritedLeases,
    /// How the wait for workers of earlier terms has gone so far.
    inherited_wait: recover::InheritedWait,
    /// When every lease of earlier terms has certainly expired. Until then a worker that is not
    /// listed yet may still carry out orders of earlier terms.
    earlier_leases_expiry: Timestamp,
    plan_due: bool,
    start_window: StartWindow,
    hold_budget: HoldBudget,
    /// Number of tasks that could start but wait for the window.
    held_back_starts: usize,
    plan_work: work::PlanWork,
    pace_table: PaceTable,
    arrivals: arrivals::Arrivals,
    admission: admit::Admission,
    staged: StagedSubmissions,
    /// The actual and the estimated processor time of finished tasks, both in thousandths of a
    /// core-second.
    task_cpu_milli_s: (u64, u64),
    expected_times: ExpectedTimes,
    /// The number of advice requests that have not been answered.
    advice_requests_in_flight: usize,
    /// Workers that are to be drained, and how. Until the fleet's owner has told this owner, those that
    /// the log says were given up.
    drains: IndexMap<WorkerId, DrainMode>,
    /// When the drains count no longer, if the fleet's owner is silent.
    drains_expiry: Option<Timestamp>,
    /// The highest epoch of a fleet's owner that has told which workers to drain.
    fleet_epoch: Epoch,
    /// The number of that owner's last instruction.
    last_instruction: InstructionNumber,
    /// Open tasks that have lost workers.
    suspects: IndexSet<TaskId>,
    /// Workers that were lost a moment ago.
    lost_workers: Vec<crashes::LostWorker>,
    /// Whether a complete list of workers has been read from the store in this term.
    has_worker_list: bool,
    /// The wall clock minus this node's clock, in milliseconds.
    wall_offset_ms: u64,
}

impl Cell {
    /// Replaces the settings of all queues. A queue that is removed, or goes to another service, keeps
    /// its settings here while accepted jobs of it are open, or submissions may still be accepted: they
    /// run to their ends.
    pub fn set_queues(&mut self, mut queues: IndexMap<QueueId, QueueConfig>) {
        let is_own = |queue: &QueueConfig| queue.service == self.service;
        let open_queues = self.jobs.open().map(|(_, job)| &job.queue);
        for queue in open_queues.chain(self.staged.queues()) {
            if queues.get(queue).is_some_and(is_own) {
                continue;
            }
            if let Some(settings) = self.queue_settings(queue) {
                queues.insert(queue.clone(), settings.for_service(self.service.clone()));
            }
        }
        self.queues = queues;
        self.plan_due = true;
    }

    /// The latest known settings of a queue whose jobs go, or went, to this cell.
    fn queue_settings(&self, queue: &QueueId) -> Option<QueueSettings> {
        let current = self.queues.get(queue).filter(|queue| queue.service == self.service);
        current.map(QueueSettings::of).or_else(|| self.logged_queues.get(queue).copied())
    }

    /// The epoch of the owner's term.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The service that the cell belongs to.
    #[must_use]
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// The number of tasks that could start but wait until fewer start orders are in flight.
    #[must_use]
    pub fn held_back_starts(&self) -> usize {
        self.held_back_starts
    }

    /// The fencing token of an order to a worker, which must be sent at once.
    pub fn fence_call(&mut self, id: &WorkerId, kind: FencedCall) -> Fence {
        self.fences.of_call(id, kind)
    }

    /// Whether a later call of this owner to the worker has a higher fencing token.
    #[must_use]
    pub fn is_outranked(&self, id: &WorkerId, fence: Fence) -> bool {
        self.fences.is_outranked(id, fence)
    }

    /// Takes the actions that were added since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the next write of the log, if one is due.
    pub fn take_write(&mut self, now: Timestamp) -> Option<LogWrite> {
        self.clean_log(now);
        let write = self.log.take_write(now);
        if write.is_some() {
            self.staged.on_write_taken();
        }
        write
    }

    /// When the next write of the log is due, unless one is in flight.
    #[must_use]
    pub fn write_due(&self) -> Option<Timestamp> {
        self.log.write_due()
    }

    /// Sets the time until which certainly no other node has claimed the cell; the end of time at first.
    /// Another owner may have renewed leases since, so that none counts as expired that ends later.
    pub fn set_sole_until(&mut self, sole_until: Timestamp) {
        self.sole_until = sole_until;
    }

    /// Whether a lease that ends at `expiry` has certainly expired.
    fn has_lapsed(&self, expiry: Timestamp, now: Timestamp) -> bool {
        now > expiry && expiry <= self.sole_until
    }

    /// Whether the cell has a job with this id or a submission of it that has not been refused.
    #[must_use]
    pub fn has_job(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job) || self.staged.contains(job)
    }

    /// Whether the cell has any job, also one that has ended and whose state is kept, or a submission that
    /// has not been refused.
    #[must_use]
    pub fn has_jobs(&self) -> bool {
        !self.jobs.is_empty() || self.staged.queues().next().is_some()
    }

    /// Whether every record of the log is durable.
    #[must_use]
    pub fn is_log_idle(&self) -> bool {
        self.log.is_idle()
    }

    /// Marks the write with this sequence number as durable and applies the effects that waited
    /// for it.
    pub fn on_segment_written(&mut self, sequence: Sequence, now: Timestamp) {
        self.log.on_written(sequence);
        let durable = self.log.durable();
        while let Some((_, effect)) =
            self.deferred_effects.pop_front_if(|(position, _)| *position <= durable)
        {
            self.apply_effect(effect, now);
        }
        self.start_placed_tasks(now);
        self.on_write_finished(now);
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
            DeferredEffect::ConfirmEnds(id, known_since, number) => {
                let worker = self.workers.get_mut(&id);
                if let Some(worker) = worker.filter(|worker| worker.known_since == known_since) {
                    worker.ends_durable = worker.ends_durable.max(number);
                    worker.next_hold = worker.next_hold.min(now);
                }
            }
            DeferredEffect::WorkerLogged(id, times_logged, state) => {
                let worker = self.workers.get_mut(&id);
                let is_newest = |worker: &&mut Worker| {
                    worker.logged == Logged::Nothing && worker.times_logged == times_logged
                };
                if let Some(worker) = worker.filter(is_newest) {
                    worker.logged = state;
                    if state == Logged::Used && !worker.is_on_record {
                        worker.begin_renewals(now);
                    }
                    self.plan_due = true;
                }
            }
            DeferredEffect::PlacementDurable(id, task, attempt) => {
                self.durable_placements.push((id, task, attempt));
            }
        }
    }

    /// Appends a record to the log. The effect is applied once the record is durable.
    #[expect(clippy::needless_pass_by_value, reason = "callers create the record for this call")]
    fn record(&mut self, record: Record, now: Timestamp, effect: Option<DeferredEffect>) {
        let encoded = EncodedRecord::new(&record);
        let bytes = encoded.len();
        let position = self.log.append(encoded, now);
        self.track_record(&record, position, bytes);
        self.deferred_effects.extend(effect.map(|effect| (position, effect)));
    }

    /// Applies an effect once every record appended so far is durable, which may be at once.
    fn defer_until_durable(&mut self, effect: DeferredEffect, now: Timestamp) {
        if self.log.is_idle() {
            self.apply_effect(effect, now);
            return;
        }
        let last = self.log.appended();
        self.deferred_effects.push_back((last, effect));
    }

    /// Accepts a job from a client account, or refuses it if it would end too late. A job that was
    /// submitted before is not accepted again.
    pub fn submit(
        &mut self,
        token: Token,
        (id, queue): (JobId, QueueId),
        spec: JobSpec,
        (now, wall_ms): (Timestamp, u64),
    ) {
        if self.jobs.contains_key(&id) {
            // The job's records are in the log or in one of its pending writes.
            self.defer_until_durable(DeferredEffect::Reply(token, Answer::Durable), now);
            return;
        }
        if self.staged.join(id, token) {
            return;
        }
        let is_new = self.count_arrival(id, &queue, &spec);
        if let Some(refusal) = self.check_admission((id, is_new), &queue, &spec, now) {
            let Refusal { reason, wait, retry_after, closed } = refusal;
            let waiting = self.waiting_jobs();
            let order_rate = Some(self.start_window.order_rate(now));
            let event = LogEvent::Refused {
                job: id,
                queue,
                waiting,
                reason,
                wait,
                retry_after,
                order_rate,
            };
            self.actions.push(Action::Log(event));
            self.actions.push(Action::Reply(token, Answer::Refused { retry_after, closed }));
            return;
        }
        let submission = Submission { queue, spec, arrived: now, arrived_wall_ms: wall_ms };
        if self.staged.is_write_in_flight() {
            self.staged.add(id, token, submission);
        } else {
            self.append_submission(id, submission, vec![token], now);
        }
    }

    /// Creates a job and appends its acceptance to the log.
    fn append_submission(
        &mut self,
        id: JobId,
        submission: Submission,
        tokens: Vec<Token>,
        now: Timestamp,
    ) {
        let Submission { queue, spec, arrived, arrived_wall_ms: wall_ms } = submission;
        let waiting = self.waiting_jobs();
        let event = LogEvent::Accepted { job: id, queue: queue.clone(), waiting };
        self.actions.push(Action::Log(event));
        let settings = self.queue_settings(&queue);
        let record = Record::Accepted {
            job: id,
            queue: queue.clone(),
            spec: spec.clone(),
            wall_ms,
            settings,
        };
        self.jobs.insert(id, Job::new(queue, spec.into(), wall_ms, arrived));
        self.record(record, arrived, Some(DeferredEffect::JobDurable(id)));
        for token in tokens {
            self.defer_until_durable(DeferredEffect::Reply(token, Answer::Durable), now);
        }
    }

    /// Cancels a job for a client account.
    pub fn cancel(&mut self, token: Token, id: JobId, now: Timestamp) {
        self.refuse_cancelled(id);
        let Some(job) = self.jobs.get(&id) else {
            self.actions.push(Action::Reply(token, Answer::Unknown));
            return;
        };
        if job.end.is_none() {
            self.finish_job(id, JobEnd::Cancelled, now);
        }
        self.defer_until_durable(DeferredEffect::Reply(token, Answer::Durable), now);
    }

    /// The durable state of a job; `None` if there is no durable job with this id.
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

    /// The number of a queue's accepted jobs that have not started.
    #[must_use]
    pub fn queued_jobs(&self, queue: &QueueId) -> u64 {
        let is_queued = |job: &&Job| &job.queue == queue && !job.has_started;
        self.jobs.open().map(|(_, job)| job).filter(is_queued).count() as u64
    }

    fn waiting_jobs(&self) -> usize {
        self.jobs.open().filter(|(_, job)| !job.has_started).count()
    }

    /// Records the end of a job and marks its runs to be stopped; the orders go out with the next
    /// tick.
    fn finish_job(&mut self, id: JobId, end: JobEnd, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.end = Some(end);
        job.ended = now;
        let after = now.since(job.arrived);
        // Computed from the arrival's wall-clock time, so that the wall clock is not needed here.
        job.ended_wall_ms = job.arrived_wall_ms + after.0;
        let record = clean::finished_record(id, job, end);
        let tasks = job.task_ids(id);
        self.actions.push(Action::Log(LogEvent::Finished { job: id, end, after }));
        self.jobs.close(id);
        self.record(record, now, Some(DeferredEffect::EndDurable(id)));
        for task in tasks {
            self.clear_suspicion(task);
            self.stop_task(task, "job ended", now);
        }
        self.plan_due = true;
    }

    /// Advances the cell to `now`: ends runs whose leases expired, sends the orders that are due
    /// and plans.
    pub fn tick(&mut self, now: Timestamp, wall_ms: u64) {
        self.wall_offset_ms = wall_ms.saturating_sub(now.0);
        self.expire_drains(now);
        self.release_inherited_jobs(now);
        self.note_capacity(now);
        self.refuse_stalled(now);
        self.expire_orders(now);
        self.expire_runs(now);
        self.give_up_deadly_tasks(now);
        self.send_stops(now);
        self.log_drained_workers(now);
        self.send_holds(now);
        self.open_occurrences(wall_ms);
        self.drain_workers(now);
        self.pace(now);
        self.start_placed_tasks(now);
        if self.plan_due {
            self.plan(now);
        }
        self.start_window.note_waiting(self.held_back_starts > 0, now);
        self.remove_expired_jobs(now);
    }

    fn open_occurrences(&mut self, wall_ms: u64) {
        for job in self.jobs.open_mut() {
            let due_before = job.due_occurrences;
            job.add_due_occurrences(wall_ms);
            self.plan_due |= job.due_occurrences > due_before;
        }
    }

    /// Removes ended jobs whose retention time has passed.
    fn remove_expired_jobs(&mut self, now: Timestamp) {
        for id in self.jobs.remove_expired(self.cfg.status_retention, now) {
            self.live.remove(&clean::LiveKey::Job(id));
        }
    }
}
