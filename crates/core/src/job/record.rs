//! The records of a cell's log, in their stored form.

use serde::{Deserialize, Serialize};

use super::{JobId, JobSpec, TaskId, WorkerId};
use crate::{Epoch, QueueId};

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

/// A worker on which runs may still be alive when the cell is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnsettledWorker {
    /// The worker.
    pub worker: WorkerId,
    /// When every lease of the worker has certainly expired, in milliseconds since the Unix epoch.
    pub lapse_wall_ms: u64,
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
    },
    /// A job ended; the state of its tasks is no longer needed.
    Finished {
        /// The job.
        job: JobId,
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
    /// A long-running task is placed on a worker. Its start orders go to no other worker until a
    /// later record of this kind is durable.
    Placed {
        /// The task.
        task: TaskId,
        /// The number of the attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
    },
    /// From now on, the owner may send orders to this worker.
    WorkerUsed {
        /// The worker.
        worker: WorkerId,
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

/// The records of one write to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The epoch of the term in which it was written.
    pub epoch: Epoch,
    /// The records, in the order in which they were appended.
    pub records: Vec<Record>,
}
