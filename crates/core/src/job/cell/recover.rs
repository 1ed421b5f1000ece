//! The start of a term, which recovers the cell's state from the log, and its end by handover.
//! Until each inherited worker, one that earlier owners used, is adopted or its leases have
//! expired, it may still run tasks, and inherited jobs are not planned. A long-running task waits
//! only for the worker that the log names for it.

use indexmap::{IndexMap, IndexSet};

use super::{
    super::{
        JobEnd, JobId, LogWriter, Position, Record, Segment, Sequence, UnsettledWorker, WorkerId,
        task::{Job, Placement},
    },
    Cell, CellConfig,
};
use crate::{Epoch, ServiceId, Span, Timestamp, job::WALL_CLOCK_MARGIN};

/// The contents of a cell's log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// The first free sequence number.
    pub next: Sequence,
    /// The segments, the oldest first.
    pub segments: Vec<Segment>,
}

/// How long a lease can last by this node's clock, in percent of its nominal duration, because the
/// worker's clock may be slow.
const LEASE_STRETCH_PERCENT: u64 = 103;

/// The workers that the previous owner listed in its handover; `None` if its term did not end by
/// handover. Run ends may follow the handover in the log, but no orders.
fn find_handover(segments: &[Segment]) -> Option<Vec<UnsettledWorker>> {
    let last = segments.last()?.epoch;
    let term = segments.iter().rev().take_while(|segment| segment.epoch == last);
    term.flat_map(|segment| &segment.records).find_map(|record| match record {
        Record::HandedOver { pending } => Some(pending.clone()),
        _ => None,
    })
}

impl Cell {
    /// Creates the cell at the start of its owner's term.
    ///
    /// Unless the log shows a handover, owners of earlier terms may have given orders until
    /// `earlier_orders_end`.
    #[must_use]
    pub fn new(
        cfg: CellConfig,
        (service, epoch): (ServiceId, Epoch),
        recovered: RecoveredLog,
        earlier_orders_end: Timestamp,
        (now, wall_ms): (Timestamp, u64),
    ) -> Self {
        let handed_over = find_handover(&recovered.segments);
        let mut cell = Self {
            cfg,
            service,
            epoch,
            queues: IndexMap::new(),
            jobs: IndexMap::new(),
            workers: IndexMap::new(),
            log: LogWriter::new(cfg.log, epoch, recovered.next),
            deferred_effects: std::collections::VecDeque::new(),
            actions: Vec::new(),
            inherited_workers: IndexMap::new(),
            earlier_leases_expiry: now,
            plan_due: true,
            pace_table: super::PaceTable::default(),
            arrived_milli_s: 0,
            arrived_jobs: 0,
            task_cpu_milli_s: (0, 0),
            expected_times: super::ExpectedTimes::default(),
            advice_requests_in_flight: 0,
            drains: IndexMap::new(),
            has_worker_list: false,
            wall_offset_ms: wall_ms.saturating_sub(now.0),
        };
        let mut used_workers = IndexSet::new();
        for segment in recovered.segments {
            for record in segment.records {
                cell.replay(record, &mut used_workers, (now, wall_ms));
            }
        }
        let is_handed_over = handed_over.is_some();
        let last_order =
            if is_handed_over { earlier_orders_end.min(now) } else { earlier_orders_end };
        cell.earlier_leases_expiry = cell.expiry_after(last_order);
        let expiry = cell.earlier_leases_expiry;
        cell.inherited_workers = match handed_over {
            // The previous owner knew which workers had runs, and when their leases expire.
            Some(pending) => {
                let left_ms =
                    |unsettled: &UnsettledWorker| unsettled.lapse_wall_ms.saturating_sub(wall_ms);
                let expiry_of = |unsettled: &UnsettledWorker| {
                    now + Span(left_ms(unsettled) + WALL_CLOCK_MARGIN.0)
                };
                pending
                    .iter()
                    .map(|unsettled| (unsettled.worker.clone(), expiry.min(expiry_of(unsettled))))
                    .collect()
            }
            None => used_workers.into_iter().map(|worker| (worker, expiry)).collect(),
        };
        cell.release_inherited_jobs(now);
        cell
    }

    /// When every lease has certainly expired if no order is given after `last_order`.
    pub(super) fn expiry_after(&self, last_order: Timestamp) -> Timestamp {
        last_order + Span(self.cfg.lease.0 * LEASE_STRETCH_PERCENT / 100)
    }

    /// Brings forward the assumed expiry of leases of earlier terms once the previous owner is
    /// known to have given its last order by `last_order`.
    pub fn on_predecessor_ended(&mut self, last_order: Timestamp) {
        let expiry = self.expiry_after(last_order);
        self.earlier_leases_expiry = self.earlier_leases_expiry.min(expiry);
        for inherited in self.inherited_workers.values_mut() {
            *inherited = (*inherited).min(expiry);
        }
        for worker in self.workers.values_mut() {
            worker.inherited_expiry = worker.inherited_expiry.min(expiry);
        }
    }

    /// Ends the term by handover: records that no more orders follow and which workers may still
    /// have runs.
    pub fn hand_over(&mut self, now: Timestamp, wall_ms: u64) {
        // A worker without runs has no order of this term outstanding. One that was never adopted
        // got none; if it is inherited, it is added below.
        let own = self.workers.values().filter(|worker| !worker.runs.is_empty());
        let own = own.map(|worker| (&worker.entry.id, worker.lease_expiry()));
        let pending = |(worker, expiry): (&WorkerId, Timestamp)| UnsettledWorker {
            worker: worker.clone(),
            lapse_wall_ms: wall_ms + expiry.since(now).0,
        };
        let has_runs =
            |id: &WorkerId| self.workers.get(id).is_some_and(|worker| !worker.runs.is_empty());
        let inherited = self.inherited_workers.iter().map(|(id, expiry)| (id, *expiry));
        let inherited = inherited.filter(|(id, _)| !has_runs(id));
        let pending = own.chain(inherited).map(pending).collect();
        self.record(Record::HandedOver { pending }, now, None);
    }

    fn replay(
        &mut self,
        record: Record,
        used_workers: &mut IndexSet<WorkerId>,
        (now, wall_now_ms): (Timestamp, u64),
    ) {
        match record {
            Record::Accepted { job: id, queue, spec, wall_ms } => {
                let age = wall_now_ms.saturating_sub(wall_ms);
                let arrived = Timestamp(now.0.saturating_sub(age));
                let mut job = Job::new(queue, spec, wall_ms, arrived);
                job.is_durable = true;
                job.is_inherited = true;
                job.add_due_occurrences(wall_now_ms);
                self.jobs.insert(id, job);
            }
            Record::Finished { job: id, end, wall_ms } => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.end = Some(end);
                    job.is_end_durable = true;
                    let age = wall_now_ms.saturating_sub(wall_ms);
                    job.ended = Timestamp(now.0.saturating_sub(age));
                }
            }
            Record::Ended { task, attempt, how, checkpoint } => {
                let Some(job) = self.jobs.get_mut(&task.job) else {
                    return;
                };
                job.has_started = true;
                while job.due_occurrences <= task.occurrence {
                    job.add_due_occurrences(job.due_wall_ms(job.due_occurrences));
                }
                Self::apply_end(job, (task, attempt), how, checkpoint.as_deref());
            }
            Record::Placed { task, attempt, worker } => {
                let Some(job) = self.jobs.get_mut(&task.job) else {
                    return;
                };
                while job.due_occurrences <= task.occurrence {
                    job.add_due_occurrences(job.due_wall_ms(job.due_occurrences));
                }
                if let Some(task) = job.task_mut(task) {
                    task.attempt = task.attempt.max(attempt);
                    let position = Position::default();
                    task.placement = Some(Placement { worker, position, failures: 0 });
                }
            }
            Record::WorkerUsed { worker } => {
                used_workers.insert(worker);
            }
            Record::WorkerGone { worker } => {
                used_workers.shift_remove(&worker);
            }
            Record::HandedOver { .. } => {}
        }
    }

    /// Releases inherited jobs for planning once every inherited worker is adopted or its leases
    /// have expired.
    pub(super) fn release_inherited_jobs(&mut self, now: Timestamp) {
        let before = self.inherited_workers.len();
        let workers = &self.workers;
        self.inherited_workers.retain(|id, expiry| {
            now < *expiry && workers.get(id).is_none_or(|worker| !worker.is_adopted)
        });
        self.plan_due |= self.inherited_workers.len() < before;
        if !self.inherited_workers.is_empty() {
            return;
        }
        if before > 0 || self.jobs.values().any(|job| job.is_inherited) {
            for job in self.jobs.values_mut() {
                job.is_inherited = false;
            }
            self.plan_due = true;
            self.finish_inherited_jobs(now);
        }
    }

    /// Ends inherited jobs that are done or have failed but have no logged end.
    fn finish_inherited_jobs(&mut self, now: Timestamp) {
        let open_jobs: Vec<JobId> =
            self.jobs.iter().filter(|(_, job)| job.end.is_none()).map(|(&id, _)| id).collect();
        for id in open_jobs {
            let max_attempts = self.max_attempts(id);
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.is_done() {
                self.finish_job(id, JobEnd::Succeeded, now);
            } else if Self::has_failed(job, max_attempts) {
                self.finish_job(id, JobEnd::Failed, now);
            }
        }
    }
}
