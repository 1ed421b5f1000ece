//! What a cell's log holds, and how it is written.

use serde::{Deserialize, Serialize};

use super::{JobId, JobSpec, TaskId, WorkerId};
use crate::{Epoch, QueueId};

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The run failed, through the task's fault or the worker's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease on the worker ran out.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The run waited too long for the other members of its gang.
    Alone,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobEnd {
    /// All tasks are done.
    Succeeded,
    /// A task failed too often.
    Failed,
    /// The client account cancelled it.
    Cancelled,
}

/// A worker on which something may run when its cell is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnsettledWorker {
    /// The worker.
    pub worker: WorkerId,
    /// When every lease there must have run out, in milliseconds since the Unix epoch.
    pub lapse_wall_ms: u64,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// A job was accepted.
    Accepted {
        /// The job.
        job: JobId,
        /// The queue that it was submitted to.
        queue: QueueId,
        /// What it consists of.
        spec: JobSpec,
        /// When it arrived, in milliseconds since the Unix epoch.
        wall_ms: u64,
    },
    /// A job is over; its tasks need not be remembered.
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
        /// Which run of it.
        attempt: u32,
        /// How it ended.
        how: EndKind,
        /// What it saved of its progress.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checkpoint: Option<String>,
    },
    /// The owner may give this worker orders from now on.
    WorkerUsed {
        /// The worker.
        worker: WorkerId,
    },
    /// The owner ends its term and gives no more orders.
    HandedOver {
        /// Workers on which something may run.
        pending: Vec<UnsettledWorker>,
    },
    /// Nothing that was ordered at this worker can run any more; it gets no orders unless it is logged
    /// as used again.
    WorkerGone {
        /// The worker.
        worker: WorkerId,
    },
}

/// One write of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The term in which it was written.
    pub epoch: Epoch,
    /// What it holds, in order.
    pub records: Vec<Record>,
}
