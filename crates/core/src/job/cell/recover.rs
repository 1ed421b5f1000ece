//! The start of a term, which recovers the cell's state from the log, and its end by handover.
//! Until each inherited worker, one that earlier owners used, is adopted or its leases have
//! expired, it may still run tasks, and inherited jobs are not planned. A long-running task waits
//! only for the worker that the log names for it.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::{
    super::{
        Action, DrainMode, JobEnd, JobId, JobSpec, LogEvent, LogWriter, Position, QueueSettings,
        Record, Sequence, StoredSegment, TaskId, TaskSnapshot, UnsettledWorker, WorkerId,
        record::EncodedRecord,
        task::{Job, Placement},
        worker::Worker,
    },
    Cell, CellConfig,
    awaited::{LoggedWait, TermClaim},
    holds::{self, Lease},
    inherited_leases::InheritedLeases,
    inherited_starts::InheritedStarts,
};
use crate::{Epoch, QueueId, ServiceId, Span, Timestamp, job::WALL_CLOCK_MARGIN};

/// The contents of a cell's log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// The first free sequence number.
    pub next: Sequence,
    /// The segments, the oldest first.
    pub segments: Vec<StoredSegment>,
}

impl RecoveredLog {
    /// Adds the next segment, given its value in the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a valid segment. Its sequence number is taken anyway.
    pub fn add_segment(
        &mut self,
        sequence: Sequence,
        value: &[u8],
    ) -> Result<(), serde_json::Error> {
        self.next = self.next.max(sequence + 1);
        self.segments.push(StoredSegment::decode(sequence, value)?);
        Ok(())
    }
}

/// How the wait for workers of earlier terms has gone so far, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct InheritedWait {
    began: Timestamp,
    /// A time before the owner's claim was sent.
    pub(super) claim_sent: Timestamp,
    /// When it was over, once it is.
    pub(super) ended: Option<Timestamp>,
    /// Number of workers that were adopted.
    adopted: usize,
    /// Number of workers whose leases had certainly expired.
    expired: usize,
}

impl InheritedWait {
    fn new(began: Timestamp, claim_sent: Timestamp) -> Self {
        Self { began, claim_sent, ended: None, adopted: 0, expired: 0 }
    }
}

/// The last term that the log shows. No later one has granted leases or given start orders.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoggedTerm {
    pub(super) epoch: Epoch,
    /// Time until which owners of terms before it may give orders.
    earlier_orders_end: Timestamp,
    pub(super) is_handed_over: bool,
}

impl LoggedTerm {
    fn find(segments: &[StoredSegment], is_handed_over: bool, now: Timestamp) -> Option<Self> {
        let last = segments.last()?;
        let earlier_orders_end = now + last.earlier_orders_left;
        Some(Self { epoch: last.epoch, earlier_orders_end, is_handed_over })
    }
}

/// How long a new owner waits for the fleet's owner to say which workers are drained. An order about a
/// VM that rests on a report to the previous owner has taken effect by then: the report is believed
/// for 1.5 s, the order is sent within 1 s, and its call takes 1.5 s at most.
const FLEET_SILENCE: Span = Span(4_000);

/// How long an owner that hands its cell over renews leases. The next owner can renew none before it has
/// read the log, so they should have almost their whole duration left when the term ends.
const HANDOVER_RENEWALS: Span = Span(1_500);

/// Added to the computed expiry of the last renewal, to allow for the resolution of clocks.
const RENEWAL_MARGIN: Span = Span(50);

/// What an owner still does once its handover is recorded.
#[derive(Clone, Debug)]
pub(super) struct Handover {
    began: Timestamp,
    /// The workers whose leases are renewed. The record allows for it.
    renewed: IndexSet<WorkerId>,
    /// The time from which on none is renewed.
    until: Timestamp,
}

impl Handover {
    /// Whether a hold that was sent at `sent` only renews a lease. What its answer lists is left to the
    /// next owner, so that the log can be finished.
    pub(super) fn only_renews(&self, sent: Timestamp) -> bool {
        sent >= self.began
    }
}

/// The workers that the previous owner listed in its handover; `None` if its term did not end by
/// handover. Run ends may follow the handover in the log, but no orders. An owner that has written
/// nothing since has granted no lease either.
fn find_handover(segments: &[StoredSegment]) -> Option<Vec<UnsettledWorker>> {
    let last = segments.last()?.epoch;
    let term = segments.iter().rev().take_while(|segment| segment.epoch == last);
    term.flat_map(|segment| &segment.records).find_map(|record| match record {
        Record::HandedOver { pending } => Some(pending.clone()),
        _ => None,
    })
}

/// When every lease of a worker that the previous owner listed in its handover has certainly expired.
/// The time that this takes is counted from now, after the handover, and not on two wall clocks.
fn unsettled_expiry(
    unsettled: &UnsettledWorker,
    (now, wall_ms): (Timestamp, u64),
    earlier_leases_expiry: Timestamp,
) -> Timestamp {
    let Some(lapse_in_ms) = unsettled.lapse_in_ms else {
        let left = unsettled.lapse_wall_ms.saturating_sub(wall_ms);
        return earlier_leases_expiry.min(now + Span(left + WALL_CLOCK_MARGIN.0));
    };
    now + Span(lapse_in_ms)
}

/// Converts a time in milliseconds since the Unix epoch to this node's clock.
fn timestamp_of(wall_ms: u64, (now, wall_now_ms): (Timestamp, u64)) -> Timestamp {
    let age = wall_now_ms.saturating_sub(wall_ms);
    Timestamp(now.0.saturating_sub(age))
}

/// Creates a job of an earlier term that arrived at `wall_ms`.
fn inherited_job(queue: &QueueId, spec: Arc<JobSpec>, wall_ms: u64, time: (Timestamp, u64)) -> Job {
    let mut job = Job::new(queue.clone(), spec, wall_ms, timestamp_of(wall_ms, time));
    job.is_durable = true;
    job.is_inherited = true;
    job.is_of_earlier_term = true;
    job
}

/// Applies a [`Record::Job`] to a job that has been created from it or from earlier records.
fn replay_job(job: &mut Job, record: &Record) {
    let Record::Job { has_started, due_occurrences, open_occurrences, .. } = record else {
        return;
    };
    job.has_started |= has_started;
    job.add_occurrences(*due_occurrences);
    let is_done = |number: u32| number < *due_occurrences && !open_occurrences.contains(&number);
    for occurrence in &mut job.occurrences {
        if is_done(occurrence.number) {
            occurrence.mark_done();
        }
    }
}

/// Applies a [`Record::Tasks`] of the step whose first task is `first`.
fn replay_tasks(job: &mut Job, first: TaskId, (done, open): (&[u32], &[TaskSnapshot])) {
    for &index in done {
        job.mark_done(TaskId { index, ..first });
    }
    for snapshot in open {
        let Some(task) = job.task_mut(TaskId { index: snapshot.index, ..first }) else {
            continue;
        };
        task.attempt = snapshot.attempt;
        task.failures = snapshot.failures;
        task.failed_attempts.clone_from(&snapshot.failed_attempts);
        task.checkpoint.clone_from(&snapshot.checkpoint);
        let placement = |worker| Placement::recovered(worker, snapshot.address, snapshot.instance);
        task.placement = snapshot.worker.clone().map(placement);
        task.trial = snapshot.trial;
        task.lost_runs.clone_from(&snapshot.lost_runs);
    }
}

impl Cell {
    /// Creates the cell at the start of its owner's term.
    ///
    #[must_use]
    pub fn new(
        cfg: CellConfig,
        (service, epoch): (ServiceId, Epoch),
        recovered: RecoveredLog,
        claim: &TermClaim,
        (now, wall_ms): (Timestamp, u64),
    ) -> Self {
        let handed_over = find_handover(&recovered.segments);
        let last_term = LoggedTerm::find(&recovered.segments, handed_over.is_some(), now);
        let logged_wait = LoggedWait::find(&recovered.segments, claim, now);
        let mut cell = Self {
            cfg,
            service,
            epoch,
            queues: IndexMap::new(),
            logged_queues: IndexMap::new(),
            jobs: super::job_table::JobTable::default(),
            workers: IndexMap::new(),
            log: LogWriter::new(cfg.log, epoch, recovered.next, &recovered.segments),
            live: super::clean::LiveIndex::default(),
            handover: None,
            deferred_effects: std::collections::VecDeque::new(),
            durable_placements: Vec::new(),
            actions: Vec::new(),
            fences: super::Fences::new(epoch),
            inherited_workers: IndexMap::new(),
            sole_until: Timestamp(u64::MAX),
            last_term,
            inherited_starts: InheritedStarts::default(),
            inherited_leases: InheritedLeases::find(&recovered.segments, now),
            inherited_wait: InheritedWait::new(now, claim.sent),
            earlier_leases_expiry: now,
            plan_due: true,
            start_window: super::StartWindow::new(cfg.flow),
            held_back_starts: 0,
            hold_budget: super::HoldBudget::new(cfg.flow, now),
            plan_work: super::work::PlanWork::default(),
            pace_table: super::PaceTable::default(),
            arrivals: super::arrivals::Arrivals::default(),
            admission: super::admit::Admission::new(now),
            staged: super::StagedSubmissions::default(),
            task_cpu_milli_s: (0, 0),
            expected_times: super::ExpectedTimes::default(),
            advice_requests_in_flight: 0,
            drains: IndexMap::new(),
            drains_expiry: Some(now + FLEET_SILENCE),
            fleet_epoch: Epoch::default(),
            last_instruction: super::InstructionNumber::default(),
            suspects: IndexSet::new(),
            lost_workers: Vec::new(),
            has_worker_list: false,
            wall_offset_ms: wall_ms.saturating_sub(now.0),
        };
        let open_starts = InheritedStarts::find(&recovered.segments, cfg.longest_lease(), now);
        let mut used_workers = IndexSet::new();
        let records = recovered.segments.into_iter().flat_map(|segment| segment.records);
        for (position, record) in (1..).map(Position).zip(records) {
            let bytes = EncodedRecord::new(&record).len();
            cell.replay(&record, &mut used_workers, (now, wall_ms));
            cell.track_record(&record, position, bytes);
        }
        cell.jobs.close_ended();
        cell.find_suspects(now);
        // After a handover only the owners before that one may still give orders.
        let handover = last_term.filter(|term| term.is_handed_over);
        let last_order = handover.map_or(claim.earlier_orders_end, |term| {
            claim.earlier_orders_end.min(term.earlier_orders_end)
        });
        cell.earlier_leases_expiry = cell.expiry_after(last_order);
        let expiry = cell.earlier_leases_expiry;
        let is_first_term = used_workers.is_empty() && handed_over.is_none();
        let known_by = match (&handed_over, &logged_wait) {
            (Some(_), _) => "handover",
            (None, Some(_)) => "awaited record",
            (None, None) => "claim",
        };
        cell.inherited_workers = if let Some(pending) = handed_over {
            // The previous owner knew which workers had runs, and when their leases expire.
            let expiry_of = |one: &UnsettledWorker| {
                let counted = unsettled_expiry(one, (now, wall_ms), expiry);
                // That time counts from now, and the one of a worker that it had not used from its claim.
                let wait = logged_wait.as_ref();
                wait.and_then(|wait| wait.expiry(&one.worker, counted)).unwrap_or(counted)
            };
            pending.iter().map(|one| (one.worker.clone(), expiry_of(one))).collect()
        } else {
            cell.expiries_after_loss(used_workers, logged_wait.as_ref(), last_order)
        };
        cell.inherit_open_starts(open_starts);
        cell.note_inherited_wait(known_by, now);
        if !is_first_term {
            cell.record_awaited(now);
        }
        cell.release_inherited_jobs(now);
        cell.log.begin_term(last_order, now);
        cell
    }

    /// When every lease has certainly expired if no order is given after `last_order`.
    pub(super) fn expiry_after(&self, last_order: Timestamp) -> Timestamp {
        last_order + self.cfg.order_life()
    }

    /// When every lease of an inherited worker has certainly expired if the worker is never heard, and no
    /// order is given after `last_order`. One may have found an instance that its owner had not called, and
    /// that is on no record.
    pub(super) fn unheard_expiry(&self, worker: &WorkerId, last_order: Timestamp) -> Timestamp {
        let longest = last_order + self.longest_lease();
        longest.max(self.expiry_after(last_order)).max(self.inherited_leases.expiry(worker))
    }

    /// How long any lease can last by this node's clock.
    pub(super) fn longest_lease(&self) -> Span {
        self.cfg.longest_lease()
    }

    /// Brings forward the assumed expiry of leases of earlier terms once the owner of the term `ended` is
    /// known to have given its last order by `last_order`. Returns until when owners of earlier terms may
    /// give orders.
    ///
    /// That owner may have waited for others before it, which go on. The log says for how long, if that
    /// term is the last one there; otherwise nothing is known of the others.
    pub fn on_predecessor_ended(&mut self, ended: Epoch, last_order: Timestamp) -> Timestamp {
        let is_ended = |term: &LoggedTerm| term.epoch == ended && !term.is_handed_over;
        let Some(term) = self.last_term.filter(is_ended) else {
            return self.log.earlier_orders_end();
        };
        let known_at = last_order;
        let last_order = last_order.max(term.earlier_orders_end);
        self.end_earlier_orders(last_order);
        let earlier = std::mem::take(&mut self.inherited_workers);
        let mut inherited_workers = earlier.clone();
        for (worker, inherited) in &mut inherited_workers {
            *inherited = (*inherited).min(self.unheard_expiry(worker, last_order));
        }
        let is_shorter = inherited_workers != earlier;
        self.inherited_workers = inherited_workers;
        if is_shorter && self.handover.is_none() {
            self.record_awaited(known_at);
        }
        self.log.earlier_orders_end()
    }

    /// Brings forward what follows from the last order of any earlier owner, which is given by `last_order`.
    pub(super) fn end_earlier_orders(&mut self, last_order: Timestamp) {
        self.log.end_earlier_orders(last_order);
        let expiry = self.expiry_after(last_order);
        self.earlier_leases_expiry = self.earlier_leases_expiry.min(expiry);
        // Asked about only once the worker has answered, which says whether it may have got more.
        for worker in self.workers.values_mut() {
            worker.inherited_expiry = worker.inherited_expiry.min(expiry);
        }
    }

    /// When every lease of a worker of this term has certainly expired, with what an order under way brings, as far
    /// as this owner can know if it sends nothing more. Such an order may find an instance that this owner has not
    /// called.
    pub(super) fn expiry_with_orders(&self, worker: &Worker, now: Timestamp) -> Timestamp {
        let longest_lease = self.longest_lease();
        let expiry = worker.lease_expiry(longest_lease, now);
        let is_ordered = self.start_window.has_pending_at(&worker.entry.id);
        if is_ordered { expiry.max(now + longest_lease) } else { expiry }
    }

    /// Ends the term by handover: records that no more orders follow and which workers may still
    /// have runs.
    pub fn hand_over(&mut self, now: Timestamp, wall_ms: u64) {
        self.append_staged(now);
        self.record_unsettled_starts(now);
        // A worker without runs has no order of this term outstanding. One that was never adopted
        // got none; if it is inherited, it is added below.
        let own = self.workers.values().filter(|worker| !worker.runs.is_empty());
        let handover = self.plan_handover(now);
        let own = own.map(|worker| {
            let id = &worker.entry.id;
            let expiry = self.expiry_with_orders(worker, now);
            if !handover.renewed.contains(id) {
                return (id, expiry, expiry);
            }
            let last_renewal_expiry = self.expiry_after(handover.until) + RENEWAL_MARGIN;
            // The next owner counts from a time after its claim, which no renewal follows.
            let renewal_expiry = self.expiry_after(now) + RENEWAL_MARGIN;
            (id, expiry.max(last_renewal_expiry), expiry.max(renewal_expiry))
        });
        let pending = |(worker, expiry, counted): (&WorkerId, Timestamp, Timestamp)| {
            let lapse_in_ms = Some(counted.since(now).0);
            let lapse_wall_ms = wall_ms + expiry.since(now).0;
            UnsettledWorker { worker: worker.clone(), lapse_wall_ms, lapse_in_ms }
        };
        let has_runs =
            |id: &WorkerId| self.workers.get(id).is_some_and(|worker| !worker.runs.is_empty());
        let inherited = self.inherited_workers.iter().filter(|(id, _)| !has_runs(id));
        let inherited = inherited.map(|(id, expiry)| (id, *expiry, *expiry));
        let pending = own.chain(inherited).map(pending).collect();
        self.record(Record::HandedOver { pending }, now, None);
        self.handover = Some(handover);
    }

    /// Decides whose leases are renewed during the handover: those of workers with runs that answer. The
    /// next owner waits for the others no longer than it has to.
    fn plan_handover(&self, now: Timestamp) -> Handover {
        let answers = |worker: &&Worker| worker.is_adopted && worker.hold_failures == 0;
        let with_runs = self.workers.values().filter(|worker| !worker.runs.is_empty());
        let renewed = with_runs.filter(answers).map(|worker| worker.entry.id.clone()).collect();
        Handover { began: now, renewed, until: now + HANDOVER_RENEWALS }
    }

    /// Sends the holds that are due during a handover, which renew leases and order nothing else. Until
    /// `sole_until` no other node can have claimed the cell. None is sent after that: the next owner may
    /// have read the record by then, and counts the leases from there.
    pub fn renew_during_handover(&mut self, now: Timestamp, sole_until: Timestamp) {
        let may_renew = |handover: &&Handover| now < handover.until && now < sole_until;
        let Some(handover) = self.handover.as_ref().filter(may_renew) else {
            return;
        };
        for id in &handover.renewed {
            if let Some(worker) = self.workers.get_mut(id).filter(|one| one.is_hold_due(now)) {
                let lease = Lease::of(&self.cfg, &self.log);
                let fence = self.fences.of_hold(id);
                let is_ordered = self.start_window.has_pending_at(id);
                self.actions.push(holds::hold((id, worker), is_ordered, (lease, fence), now));
            }
        }
    }

    fn replay_settings(&mut self, queue: &QueueId, settings: Option<QueueSettings>) {
        if let Some(settings) = settings {
            self.logged_queues.insert(queue.clone(), settings);
        }
    }

    fn replay(
        &mut self,
        record: &Record,
        used_workers: &mut IndexSet<WorkerId>,
        time: (Timestamp, u64),
    ) {
        match record {
            Record::Accepted { job: id, queue, spec, wall_ms, settings } => {
                self.replay_settings(queue, *settings);
                let mut job = inherited_job(queue, spec.clone().into(), *wall_ms, time);
                job.add_due_occurrences(time.1);
                self.jobs.insert(*id, job);
            }
            Record::Job { job: id, queue, spec, wall_ms, settings, .. } => {
                self.replay_settings(queue, *settings);
                let new = || inherited_job(queue, Arc::clone(spec), *wall_ms, time);
                let job = self.jobs.get_or_insert_with(*id, new);
                replay_job(job, record);
                job.add_due_occurrences(time.1);
            }
            Record::Tasks { job: id, occurrence, step, done, open } => {
                let first = TaskId { job: *id, occurrence: *occurrence, step: *step, index: 0 };
                if let Some(job) = self.jobs.get_mut(id) {
                    replay_tasks(job, first, (done, open));
                }
            }
            Record::Finished { job: id, queue, end, wall_ms } => {
                if let Some(queue) = queue {
                    let new = || inherited_job(queue, Arc::default(), *wall_ms, time);
                    self.jobs.get_or_insert_with(*id, new);
                }
                if let Some(job) = self.jobs.get_mut(id) {
                    job.end = Some(*end);
                    job.is_end_durable = true;
                    job.ended = timestamp_of(*wall_ms, time);
                    job.ended_wall_ms = *wall_ms;
                }
            }
            Record::Ended { task, attempt, how, checkpoint } => {
                let Some(job) = self.jobs.get_mut(&task.job) else {
                    return;
                };
                job.has_started = true;
                job.add_occurrences(task.occurrence.saturating_add(1));
                Self::apply_end(job, (*task, *attempt), *how, checkpoint.as_deref());
            }
            Record::RunLost { task, lost } => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.add_occurrences(task.occurrence.saturating_add(1));
                    super::crashes::replay_lost_run(job, *task, lost);
                }
            }
            Record::Placed { task, attempt, worker, address, instance, is_trial } => {
                let Some(job) = self.jobs.get_mut(&task.job) else {
                    return;
                };
                job.add_occurrences(task.occurrence.saturating_add(1));
                if let Some(task) = job.task_mut(*task) {
                    task.attempt = task.attempt.max(*attempt);
                    task.placement =
                        Some(Placement::recovered(worker.clone(), *address, *instance));
                    task.trial = if *is_trial { Some(*attempt) } else { task.trial };
                }
            }
            Record::WorkerUsed { worker, .. } => {
                used_workers.insert(worker.clone());
                self.drains.shift_remove(worker);
            }
            Record::WorkerGone { worker } => {
                used_workers.shift_remove(worker);
                // The fleet may have been told that it is drained, and may act on that.
                self.drains.insert(worker.clone(), DrainMode::WaitForRuns);
            }
            Record::StartOpen { .. } | Record::Awaited { .. } | Record::HandedOver { .. } => {}
        }
    }

    /// Releases inherited jobs for planning once every inherited worker is adopted and has listed all
    /// its runs and ends after the stops of earlier owners, or its leases have expired.
    pub(super) fn release_inherited_jobs(&mut self, now: Timestamp) {
        let before = self.inherited_workers.len();
        let mut lost_workers = Vec::new();
        let (sole_until, longest_lease) = (self.sole_until, self.longest_lease());
        let (workers, wait) = (&self.workers, &mut self.inherited_wait);
        // One that has answered and is silent again lists nothing more, but its leases expire.
        let is_silent = |worker: &Worker| {
            worker.hold_failures > 0 && now > worker.lease_expiry(longest_lease, now)
        };
        // One that has restarted may do so again before it answers twice. Its list shows what late calls of earlier
        // owners have begun there.
        let is_of_this_term = |worker: &Worker| worker.has_restarted && worker.has_listed_all;
        let needs_no_answer = |worker: &Worker| is_silent(worker) || is_of_this_term(worker);
        self.inherited_workers.retain(|id, expiry| {
            let worker = workers.get(id).filter(|worker| worker.is_adopted);
            let is_adopted = worker.is_some_and(|worker| worker.has_outlasted_stops);
            // The stray lease on record was that of an instance which has ended.
            let restarted = worker.filter(|worker| is_of_this_term(worker));
            let deadline = restarted.map_or(*expiry, |one| one.inherited_expiry.min(*expiry));
            let is_expired = !is_adopted
                && worker.is_none_or(needs_no_answer)
                && now >= deadline
                && deadline <= sole_until;
            wait.adopted += usize::from(is_adopted);
            wait.expired += usize::from(is_expired);
            lost_workers.extend(is_expired.then(|| id.clone()));
            !is_adopted && !is_expired
        });
        self.plan_due |= self.inherited_workers.len() < before;
        for worker in lost_workers.iter().cloned() {
            let change = "leases of earlier terms expired";
            self.actions.push(Action::Log(LogEvent::Worker { worker, change, runs: 0 }));
        }
        self.suspect_inherited_tasks(&lost_workers, now);
        if !self.inherited_workers.is_empty() {
            return;
        }
        self.inherited_wait.ended.get_or_insert(now);
        let inherited = self.jobs.open().filter(|(_, job)| job.is_inherited).count();
        if before > 0 || inherited > 0 {
            let InheritedWait { began, adopted, expired, .. } = self.inherited_wait;
            let waited = now.since(began);
            let event = LogEvent::InheritedReleased { jobs: inherited, waited, adopted, expired };
            self.actions.push(Action::Log(event));
            for job in self.jobs.open_mut() {
                job.is_inherited = false;
            }
            self.plan_due = true;
            self.finish_inherited_jobs(now);
        }
    }

    /// Ends inherited jobs that are done or have failed but have no logged end.
    fn finish_inherited_jobs(&mut self, now: Timestamp) {
        let open_jobs: Vec<JobId> = self.jobs.open().map(|(id, _)| id).collect();
        for id in open_jobs {
            let max_attempts = self.max_attempts(id);
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.is_done() {
                self.finish_job(id, JobEnd::Succeeded, now);
            } else if Self::has_failed(job, max_attempts) || Self::has_deadly_task(job) {
                self.finish_job(id, JobEnd::Failed, now);
            }
        }
    }
}
