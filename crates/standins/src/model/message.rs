//! The messages of the model: calls to workers, what comes back, and whatever else is under way.

use teaselgap_core::{
    Epoch, Span, Timestamp,
    job::{
        AdviceAnswer, AdviceRequest, Fence, HoldReport, Sequence, StartAnswer, StartOrder,
        StartOutcome, TaskId, WorkerId,
    },
};

use super::{CALL_TIMEOUT_MS, ModelWorker};

/// A call of the owner to a worker.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Start(StartOrder),
    /// A second copy of a start order that got no answer.
    RepeatedStart(StartOrder),
    /// A stop order for a task's attempt.
    Stop {
        task: TaskId,
        attempt: u32,
        sent: Timestamp,
    },
    /// A hold that has not reached the worker yet.
    Hold {
        lease_end: Option<u64>,
        last_seen: u64,
        wait: Span,
        sent: Timestamp,
        fence: Fence,
    },
    /// A hold that waits at the worker instance of this number until a run ends.
    PendingHold {
        last_seen: u64,
        wait: Span,
        sent: Timestamp,
        instance: u64,
    },
}

impl Call {
    pub(super) fn is_start(&self) -> bool {
        matches!(self, Self::Start(_) | Self::RepeatedStart(_))
    }

    /// Returns how long the owner waits for the answer.
    pub(super) fn timeout(&self) -> Span {
        match self {
            Self::Start(_) | Self::RepeatedStart(_) | Self::Stop { .. } => Span(CALL_TIMEOUT_MS),
            Self::Hold { wait, .. } | Self::PendingHold { wait, .. } => {
                Span(CALL_TIMEOUT_MS + wait.0)
            }
        }
    }

    /// Returns the reply that the owner gets when the call times out.
    pub(super) fn timed_out(&self) -> Reply {
        match self {
            Self::Start(order) | Self::RepeatedStart(order) => {
                Reply::Started(order.task, order.attempt, StartOutcome::Unknown.into())
            }
            Self::Stop { task, attempt, sent } => Reply::Stopped(*task, *attempt, false, *sent),
            Self::Hold { sent, .. } | Self::PendingHold { sent, .. } => Reply::Held(*sent, None),
        }
    }
}

/// The result of a call to a worker, or of a request to the advice service.
#[derive(Clone, Debug)]
pub(super) enum Reply {
    Started(TaskId, u32, StartAnswer),
    /// Whether the worker has confirmed the stop order for a task's attempt, sent at the given time.
    Stopped(TaskId, u32, bool, Timestamp),
    /// The report of a hold sent at the given time; `None` if the hold failed.
    Held(Timestamp, Option<HoldReport>),
    /// A call with a higher fencing token came before a hold.
    Outranked,
    /// The answer to a request for advice; `None` if the service did not answer.
    Advice(AdviceRequest, Option<AdviceAnswer>),
}

/// A message in transit, or the confirmation of a write to the store.
#[derive(Clone, Debug)]
pub(super) enum Delivery {
    /// A call; the owner gets the worker's answer only if `answer_arrives`, and not after
    /// `deadline`.
    ToWorker {
        worker: WorkerId,
        epoch: Epoch,
        fence: Fence,
        call: Call,
        answer_arrives: bool,
        deadline: Timestamp,
        /// The number of the worker instance that lived when the call was sent.
        instance: u64,
    },
    ToCell {
        worker: WorkerId,
        epoch: Epoch,
        reply: Reply,
    },
    SegmentWritten {
        epoch: Epoch,
        sequence: Sequence,
    },
    /// The renewal of the owner's lease, sent at the given time, has reached the store.
    RenewalAtStore {
        epoch: Epoch,
        sent: Timestamp,
    },
    /// The owner has the store's answer to a renewal.
    Renewed {
        epoch: Epoch,
        sent: Timestamp,
    },
    /// A new owner has read the log.
    LogRead,
    /// The owner in this term has waited long enough for the answer to a start order.
    RepeatStart {
        worker: WorkerId,
        epoch: Epoch,
        order: StartOrder,
    },
    /// A task crashes the worker instance of this number on which it has started.
    Crash(WorkerId, u64),
    /// A worker that crashed is followed by a new instance.
    WorkerReturned(Box<ModelWorker>),
}
