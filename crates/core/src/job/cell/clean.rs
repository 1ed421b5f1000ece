//! Keeps the size of the cell's log in proportion to what is live: jobs within their retention time
//! and workers on which runs may be alive.
//!
//! When the log is too large, the owner appends the state of whatever is live in the oldest
//! segments, and deletes these segments with the write that contains the last copy. Each write
//! carries a small part of this work, so no answer waits for it.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use indexmap::IndexMap;

use super::{
    super::{
        JobEnd, JobId, Position, QueueSettings, Record, TaskId, TaskSnapshot, WorkerId,
        task::{Job, Occurrence, StepState, Task},
        worker::{Logged, Worker},
    },
    Cell, roster,
};
use crate::Timestamp;

/// The log is cleaned when it is larger than what is live by this factor.
const MAX_LOG_TO_LIVE: usize = 2;

/// The size of the records that one write may copy, in bytes; the state of one job may exceed it.
const COPY_BYTES_PER_WRITE: usize = 16 * 1024;

/// Maximum number of tasks in one record of their state.
const TASKS_PER_RECORD: usize = 256;

/// Approximate size in bytes of the stored state of a task that is done.
const DONE_TASK_BYTES: usize = 6;

/// Approximate size in bytes of the stored state of another task, without its checkpoint.
const OPEN_TASK_BYTES: usize = 64;

/// A thing whose state the log must contain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum LiveKey {
    Job(JobId),
    Worker(WorkerId),
    /// The start orders of a task that a worker may still carry out.
    OpenStart(TaskId, WorkerId),
    /// The list of the workers that may have something from earlier terms.
    Awaited,
}

/// The records of one live thing.
#[derive(Clone, Copy, Debug)]
struct LiveRecords {
    /// The position of the earliest record that is still needed.
    first: Position,
    /// The size of that record.
    first_bytes: usize,
    /// The estimated size of the state that all its records make up.
    bytes: usize,
    /// The estimate is made anew when it exceeds this size.
    max_bytes: usize,
}

/// Where the log contains the state of each live thing.
#[derive(Debug, Default)]
pub(super) struct LiveIndex {
    records: IndexMap<LiveKey, LiveRecords>,
    by_position: BTreeMap<Position, LiveKey>,
    /// The estimated size of the state of all live things.
    bytes: usize,
}

impl LiveIndex {
    /// Sets the first record that a thing needs from now on.
    fn set(&mut self, key: LiveKey, first: Position, bytes: usize) {
        self.remove(&key);
        let records = LiveRecords { first, first_bytes: bytes, bytes, max_bytes: 2 * bytes };
        self.by_position.insert(first, key.clone());
        self.records.insert(key, records);
        self.bytes += bytes;
    }

    pub(super) fn remove(&mut self, key: &LiveKey) {
        if let Some(records) = self.records.swap_remove(key) {
            self.by_position.remove(&records.first);
            self.bytes -= records.bytes;
        }
    }

    /// Adds a later record of a thing. Returns whether its state is to be measured.
    fn add(&mut self, key: &LiveKey, bytes: usize) -> bool {
        let Some(records) = self.records.get_mut(key) else {
            return false;
        };
        records.bytes += bytes;
        self.bytes += bytes;
        records.bytes > records.max_bytes
    }

    /// Sets the size of what a thing's state contains beyond its first record. The measurement
    /// takes time, so the next one is due only once the records have doubled.
    fn set_measured(&mut self, key: &LiveKey, later_bytes: usize) {
        let Some(records) = self.records.get_mut(key) else {
            return;
        };
        self.bytes -= records.bytes;
        records.bytes = records.first_bytes + later_bytes;
        records.max_bytes = 2 * records.bytes;
        self.bytes += records.bytes;
    }

    /// Returns the thing with the earliest record, if that is not after `end`.
    pub(super) fn first_until(&self, end: Position) -> Option<LiveKey> {
        self.by_position.range(..=end).next().map(|(_, key)| key.clone())
    }
}

impl Cell {
    /// Updates the index of live records by a record at this position.
    pub(super) fn track_record(&mut self, record: &Record, position: Position, bytes: usize) {
        match record {
            Record::Accepted { job, .. }
            | Record::Job { job, .. }
            | Record::Finished { job, queue: Some(_), .. } => {
                self.live.set(LiveKey::Job(*job), position, bytes);
            }
            Record::Tasks { job, .. } | Record::Finished { job, queue: None, .. } => {
                self.track_job_bytes(*job, bytes);
            }
            Record::Ended { task, .. }
            | Record::Placed { task, .. }
            | Record::RunLost { task, .. } => {
                self.track_job_bytes(task.job, bytes);
            }
            Record::WorkerUsed { worker, .. } => {
                self.live.set(LiveKey::Worker(worker.clone()), position, bytes);
            }
            // Should the owner be lost, the next one must not use a worker that was drained.
            Record::WorkerGone { worker } if self.drains.contains_key(worker) => {
                self.live.set(LiveKey::Worker(worker.clone()), position, bytes);
            }
            Record::WorkerGone { worker } => self.live.remove(&LiveKey::Worker(worker.clone())),
            // It is live for some seconds only, and noticed to be no more when it would be copied.
            Record::StartOpen { task, worker, .. } => {
                let key = LiveKey::OpenStart(*task, worker.clone());
                if !self.live.records.contains_key(&key) {
                    self.live.set(key, position, 0);
                }
            }
            // One of an earlier term says nothing any more, and is noticed as it would be copied.
            Record::Awaited { .. } => self.live.set(LiveKey::Awaited, position, bytes),
            Record::HandedOver { .. } => {}
        }
    }

    fn track_job_bytes(&mut self, id: JobId, bytes: usize) {
        let key = LiveKey::Job(id);
        if self.live.add(&key, bytes) {
            let measured = self.jobs.get(&id).map_or(0, task_state_bytes);
            self.live.set_measured(&key, measured);
        }
    }

    /// Does a part of the cleaning that is due, if a write can begin at `now`.
    pub(super) fn clean_log(&mut self, now: Timestamp) {
        // The next owner looks for the handover in the segments of the last term.
        let can_write = self.log.is_write_due(now) || self.log.is_idle();
        if self.handover.is_some() || !can_write {
            return;
        }
        let mut copy_bytes = COPY_BYTES_PER_WRITE.min(self.log.room_bytes());
        while self.is_log_too_large() && self.log.has_room_for_deletion() {
            let Some(segment_end) = self.log.oldest_segment_end() else {
                return;
            };
            while let Some(key) = self.live.first_until(segment_end) {
                if copy_bytes == 0 {
                    return;
                }
                copy_bytes = copy_bytes.saturating_sub(self.copy_forward(&key, now));
            }
            self.log.delete_oldest_segment(now);
        }
    }

    fn is_log_too_large(&self) -> bool {
        let max_bytes = (MAX_LOG_TO_LIVE * self.live.bytes).max(self.cfg.log.min_log_bytes);
        self.log.stored_bytes() > max_bytes
    }

    /// Appends the state of a live thing, so that its earlier records are no longer needed. Returns
    /// the size of the new records.
    pub(super) fn copy_forward(&mut self, key: &LiveKey, now: Timestamp) -> usize {
        let records = match key {
            LiveKey::Job(id) => self.jobs.get(id).map(|job| {
                let settings = self.queue_settings(&job.queue);
                job_records(*id, job, settings)
            }),
            LiveKey::Worker(id) => self.worker_record(id, now).map(|record| vec![record]),
            LiveKey::OpenStart(task, worker) => {
                self.open_start_record(*task, worker, now).map(|record| vec![record])
            }
            LiveKey::Awaited => Some(vec![self.awaited_record()]),
        };
        self.live.remove(key);
        let other_bytes = self.live.bytes;
        for record in records.unwrap_or_default() {
            self.record(record, now, None);
        }
        self.live.bytes - other_bytes
    }

    /// Returns the record of a worker that the next owner must know; `None` if no run of this or an
    /// earlier term can be alive on it.
    fn worker_record(&self, id: &WorkerId, now: Timestamp) -> Option<Record> {
        let worker = id.clone();
        let is_drained = |worker: &Worker| worker.logged == Logged::Gone;
        match self.workers.get(id) {
            Some(state) if is_drained(state) => Some(Record::WorkerGone { worker }),
            Some(state) => Some(roster::used_record(state, now)),
            None if self.inherited_workers.contains_key(id) => {
                Some(self.inherited_leases.record(worker, now))
            }
            None => self.drains.contains_key(id).then_some(Record::WorkerGone { worker }),
        }
    }
}

/// Returns the records that make up the state of a job.
fn job_records(id: JobId, job: &Job, settings: Option<QueueSettings>) -> Vec<Record> {
    if let Some(end) = job.end {
        return vec![finished_record(id, job, end)];
    }
    let open = job.occurrences.iter().filter(|occurrence| !occurrence.is_done());
    let mut records = vec![Record::Job {
        job: id,
        queue: job.queue.clone(),
        spec: job.spec.clone(),
        wall_ms: job.arrived_wall_ms,
        settings,
        has_started: job.has_started,
        due_occurrences: job.due_occurrences,
        open_occurrences: open.clone().map(|occurrence| occurrence.number).collect(),
    }];
    for occurrence in open {
        for (step, state) in (0..).zip(&occurrence.steps) {
            let first = TaskId { job: id, occurrence: occurrence.number, step, index: 0 };
            records.extend(task_records(first, state));
        }
    }
    records
}

/// Returns the record of the end of a job.
pub(super) fn finished_record(id: JobId, job: &Job, end: JobEnd) -> Record {
    Record::Finished { job: id, queue: Some(job.queue.clone()), end, wall_ms: job.ended_wall_ms }
}

/// Returns the records of the tasks of the step whose first task is `first`.
fn task_records(first: TaskId, step: &StepState) -> Vec<Record> {
    let TaskId { job, occurrence, step: step_index, .. } = first;
    let is_touched = |task: &Task| {
        task.is_done || task.attempt > 0 || task.checkpoint.is_some() || task.placement.is_some()
    };
    let touched: Vec<(u32, &Task)> =
        (0..).zip(&step.tasks).filter(|(_, task)| is_touched(task)).collect();
    let record = |tasks: &[(u32, &Task)]| Record::Tasks {
        job,
        occurrence,
        step: step_index,
        done: tasks.iter().filter(|(_, task)| task.is_done).map(|(index, _)| *index).collect(),
        open: tasks
            .iter()
            .filter(|(_, task)| !task.is_done)
            .map(|(index, task)| snapshot(*index, task))
            .collect(),
    };
    touched.chunks(TASKS_PER_RECORD).map(record).collect()
}

fn snapshot(index: u32, task: &Task) -> TaskSnapshot {
    TaskSnapshot {
        index,
        attempt: task.attempt,
        failures: task.failures,
        failed_attempts: task.failed_attempts.clone(),
        checkpoint: task.checkpoint.clone(),
        worker: task.placement.as_ref().map(|placement| placement.worker.clone()),
        address: task.placement.as_ref().and_then(|placement| placement.address),
        instance: task.placement.as_ref().and_then(|placement| placement.instance),
        trial: task.trial,
        lost_runs: task.lost_runs.clone(),
    }
}

/// Returns the approximate size of the records of a job's tasks.
fn task_state_bytes(job: &Job) -> usize {
    let task_bytes = |task: &Task| match &task.checkpoint {
        _ if task.is_done => DONE_TASK_BYTES,
        Some(checkpoint) => OPEN_TASK_BYTES + checkpoint.len(),
        None if task.attempt > 0 => OPEN_TASK_BYTES,
        None => 0,
    };
    let open = job.occurrences.iter().filter(|occurrence| !Occurrence::is_done(occurrence));
    let steps = open.flat_map(|occurrence| &occurrence.steps);
    steps.flat_map(|step| &step.tasks).map(task_bytes).sum()
}
