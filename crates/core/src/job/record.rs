//! The records of a cell's log, in their stored form.

#[cfg(test)]
mod tests;

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{AdviceConfig, JobId, JobSpec, QueueConfig, Sequence, TaskId, WorkerId};
use crate::{Epoch, QueueId, ServiceId, Span, Timestamp};

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndKind {
    /// The run completed its task.
    Done,
    /// The run failed, because of a fault of the task or of the worker.
    Failed,
    /// The worker stopped the run on the owner's order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another run of the gang ended.
    Broken,
    /// The run waited too long for the other runs of its gang.
    Alone,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobEnd {
    /// All tasks are done.
    Succeeded,
    /// A task reached the maximum number of failed attempts.
    Failed,
    /// The client account cancelled the job.
    Cancelled,
}

/// The settings of a job's queue. They last with the job: its queue may be removed before the cell
/// changes owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueSettings {
    max_attempts: u32,
    stretch_percent: u64,
    target_latency: Span,
    priority: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    advice: Option<AdviceConfig>,
}

impl QueueSettings {
    pub(super) fn of(queue: &QueueConfig) -> Self {
        let QueueConfig {
            service: _,
            max_attempts,
            stretch_percent,
            target_latency,
            priority,
            advice,
        } = *queue;
        Self { max_attempts, stretch_percent, target_latency, priority, advice }
    }

    /// Returns the settings of the queue while its jobs went to this service.
    pub(super) fn for_service(&self, service: ServiceId) -> QueueConfig {
        let Self { max_attempts, stretch_percent, target_latency, priority, advice } = *self;
        QueueConfig { service, max_attempts, stretch_percent, target_latency, priority, advice }
    }
}

/// A worker on which runs may still be alive when the cell is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnsettledWorker {
    /// The worker.
    pub worker: WorkerId,
    /// When every lease of the worker has certainly expired, in milliseconds since the Unix epoch. Used
    /// only for a handover that doesn't say how long that takes.
    pub lapse_wall_ms: u64,
    /// How long leases last at most once the handover is over, in milliseconds. The next owner counts it
    /// on its own clock, as owners' wall clocks may differ by any time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lapse_in_ms: Option<u64>,
}

/// A worker that may have something from terms before that of an owner which waits for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AwaitedWorker {
    /// The worker.
    pub worker: WorkerId,
    /// When that has certainly expired, in milliseconds after a time before the owner's claim was sent, by the
    /// owner's clock.
    pub after_claim_ms: u64,
}

impl AwaitedWorker {
    /// When that has certainly expired, counted from the owner's claim.
    pub(super) fn after_claim(&self) -> Span {
        Span(self.after_claim_ms)
    }
}

/// A run that was lost with its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRun {
    /// The number of the attempt.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
    /// The worker's address, if it was known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// Whether the worker certainly crashed. It may have been cut off otherwise.
    pub is_crash: bool,
    /// The longest time, in milliseconds, for which this run of the task or a later one is known to
    /// have been alive. Records of earlier builds don't say it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub alive_ms: Option<u64>,
    /// Whether the start was made as a trial of a task that has lost workers at its start before.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_trial: bool,
    /// When the pause of the task that began with this loss ends, in milliseconds since the Unix epoch;
    /// `None` if none began. Records of earlier builds don't say it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause_end_wall_ms: Option<u64>,
}

/// The state of a task that is not done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSnapshot {
    /// The index of the task in its step.
    pub index: u32,
    /// The highest attempt so far.
    pub attempt: u32,
    /// How many attempts have failed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// The attempts that failed, as far as they are remembered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_attempts: Vec<u32>,
    /// The last checkpoint, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Arc<str>>,
    /// The worker of the latest [`Record::Placed`], if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerId>,
    /// The address in the latest [`Record::Placed`], if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// The worker's instance in the latest [`Record::Placed`], if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<u64>,
    /// The latest attempt that was made as a trial, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trial: Option<u32>,
    /// The runs that were lost with their workers, as far as they are remembered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lost_runs: Vec<LostRun>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// A job was accepted.
    Accepted {
        /// The job.
        job: JobId,
        /// The queue that it was submitted to.
        queue: QueueId,
        /// Its specification.
        spec: JobSpec,
        /// When it arrived, in milliseconds since the Unix epoch.
        wall_ms: u64,
        /// The settings of the queue at that time. Earlier builds don't record them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        settings: Option<QueueSettings>,
    },
    /// A job ended; what earlier records say about it is no longer needed.
    Finished {
        /// The job.
        job: JobId,
        /// The queue that it was submitted to. A record without it belongs to a job of an earlier
        /// record.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        queue: Option<QueueId>,
        /// How it ended.
        end: JobEnd,
        /// When it ended, in milliseconds since the Unix epoch.
        wall_ms: u64,
    },
    /// A run of a task ended.
    Ended {
        /// The task.
        task: TaskId,
        /// The number of the attempt.
        attempt: u32,
        /// How it ended.
        how: EndKind,
        /// The last checkpoint, if the run saved one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checkpoint: Option<String>,
    },
    /// The state of a job that has not ended, without its tasks.
    ///
    /// Together with the [`Record::Tasks`] that follow, it contains all that earlier records say
    /// about the job.
    Job {
        /// The job.
        job: JobId,
        /// The queue that it was submitted to.
        queue: QueueId,
        /// Its specification.
        spec: Arc<JobSpec>,
        /// When it arrived, in milliseconds since the Unix epoch.
        wall_ms: u64,
        /// The settings of the queue when the record was made. Earlier builds don't record them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        settings: Option<QueueSettings>,
        /// Whether any of its tasks has started.
        has_started: bool,
        /// How many occurrences have fallen due.
        due_occurrences: u32,
        /// The occurrences among them that are not done.
        open_occurrences: Vec<u32>,
    },
    /// The state of tasks of one step; tasks that were never ordered may be left out.
    Tasks {
        /// The job.
        job: JobId,
        /// The number of the occurrence.
        occurrence: u32,
        /// The index of the step in the job.
        step: u32,
        /// The indices of tasks that are done.
        done: Vec<u32>,
        /// Tasks that are not done.
        open: Vec<TaskSnapshot>,
    },
    /// A long-running or suspected task is placed on a worker. Its start orders go to no other
    /// worker until a later record of this kind is durable.
    Placed {
        /// The task.
        task: TaskId,
        /// The number of the attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// The worker's address.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        address: Option<SocketAddr>,
        /// The worker's instance that is known, named by when it started in milliseconds since the Unix
        /// epoch.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        instance: Option<u64>,
        /// Whether the start is a trial of a task that has lost workers at its start before. Earlier
        /// builds don't say so, and no start of theirs counts as one.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        is_trial: bool,
    },
    /// A copy of a start order got no answer, and any instance of the worker may carry it out.
    StartOpen {
        /// The task.
        task: TaskId,
        /// The number of the attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// Time after which it takes effect no more, in milliseconds of the clock that the segments of the
        /// same term show.
        until_ms: u64,
    },
    /// A run was lost with its worker, or the worker is now known to have crashed.
    RunLost {
        /// The task.
        task: TaskId,
        /// The run.
        lost: LostRun,
    },
    /// From now on, the owner may send orders to this worker.
    WorkerUsed {
        /// The worker.
        worker: WorkerId,
        /// The instance that carries out no call any more which was meant for another one, named by when it
        /// started in milliseconds since the Unix epoch; `None` if none is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        instance: Option<u64>,
        /// When each lease that it may have got from such a call has certainly expired, in milliseconds of
        /// the clock that the segments of the same term show.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        stray_until_ms: Option<u64>,
        /// Whether it only repeats what an earlier term has recorded: this one has granted the worker no lease, and has
        /// given it no order.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        is_copy: bool,
    },
    /// All workers that may have something from terms before the owner's. A worker that is neither named nor
    /// recorded as used in the same term has nothing. The latest list of a term counts.
    Awaited {
        /// The workers.
        workers: Vec<AwaitedWorker>,
    },
    /// The owner ended its term and sends no more orders.
    HandedOver {
        /// Workers on which runs may still be alive.
        pending: Vec<UnsettledWorker>,
    },
    /// No run that was ordered on this worker can be alive any more. The owner sends it no orders
    /// before it has logged the worker as used again.
    WorkerGone {
        /// The worker.
        worker: WorkerId,
    },
}

/// A record in its stored form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EncodedRecord {
    bytes: Vec<u8>,
    /// Whether it gets a segment of its own. Builds that don't know the record skip its whole segment.
    is_alone: bool,
}

impl EncodedRecord {
    pub(super) fn new(record: &Record) -> Self {
        // Serialisation can't fail: records hold only values that JSON can represent.
        let bytes = serde_json::to_vec(record).unwrap_or_default();
        Self { bytes, is_alone: matches!(record, Record::Awaited { .. }) }
    }

    pub(super) fn is_alone(&self) -> bool {
        self.is_alone
    }

    /// Returns the size in bytes.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }
}

/// The records of one write to the log, in the order in which they were appended.
#[derive(Deserialize)]
struct Segment {
    epoch: Epoch,
    /// Missing if owners of earlier terms could give no more orders.
    #[serde(default)]
    earlier_orders_ms: u64,
    /// Missing in segments of earlier versions.
    #[serde(default)]
    clock_ms: u64,
    records: Vec<Record>,
}

/// The size of a segment without records, whatever its epoch.
pub(super) const EMPTY_SEGMENT_BYTES: usize = 144;

/// Returns the stored form of a segment, which [`StoredSegment::decode`] reads.
///
/// `earlier_orders_left` is how much longer owners of earlier terms than this one may give orders. The
/// next owner counts it from its reading, on its own clock. `now` is the time of the write, on the clock
/// of the writing owner, which times in its records refer to.
pub(super) fn encode_segment(
    epoch: Epoch,
    earlier_orders_left: Span,
    now: Timestamp,
    records: &[EncodedRecord],
) -> Vec<u8> {
    let records_bytes: usize = records.iter().map(|record| record.len() + 1).sum();
    let mut buf = Vec::with_capacity(EMPTY_SEGMENT_BYTES + records_bytes);
    buf.extend_from_slice(format!("{{\"epoch\":{}", epoch.0).as_bytes());
    if earlier_orders_left > Span(0) {
        let left = format!(",\"earlier_orders_ms\":{}", earlier_orders_left.0);
        buf.extend_from_slice(left.as_bytes());
    }
    buf.extend_from_slice(format!(",\"clock_ms\":{}", now.0).as_bytes());
    buf.extend_from_slice(b",\"records\":[");
    for (index, record) in records.iter().enumerate() {
        if index > 0 {
            buf.push(b',');
        }
        buf.extend_from_slice(&record.bytes);
    }
    buf.extend_from_slice(b"]}");
    buf
}

/// A segment of the log: the records of one write, as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSegment {
    /// Its sequence number.
    pub sequence: Sequence,
    /// Its size in the store.
    pub bytes: usize,
    /// The epoch of the term in which it was written.
    pub epoch: Epoch,
    /// How much longer owners of earlier terms than that may give orders, from when it is read.
    pub earlier_orders_left: Span,
    /// When it was written, on the clock of the owner that wrote it.
    pub written: Timestamp,
    /// The records, in the order in which they were appended.
    pub records: Vec<Record>,
}

impl StoredSegment {
    /// Parses a segment from its value in the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a valid segment.
    pub fn decode(sequence: Sequence, value: &[u8]) -> Result<Self, serde_json::Error> {
        let Segment { epoch, earlier_orders_ms, clock_ms, records } =
            serde_json::from_slice(value)?;
        let (earlier_orders_left, written) = (Span(earlier_orders_ms), Timestamp(clock_ms));
        Ok(Self { sequence, bytes: value.len(), epoch, earlier_orders_left, written, records })
    }
}
