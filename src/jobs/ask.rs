//! Requests to a cell, and how they reach the node that owns it.

mod closed;
mod inquiry;

use std::rc::Rc;

use slog::info;
use teaselgap_core::{
    QueueId, ServiceId, Span, Timestamp,
    job::{JobId, JobSpec, JobState},
};
use tokio::sync::oneshot;

pub(super) use self::closed::ClosedQueues;
use self::inquiry::{Inquiry, NextStep};
use super::node::Node;
use crate::clock;

/// The longest wait for the answer of another node, after which the owner is looked up again.
const FORWARD_TIMEOUT: Span = Span(1_500);

/// How long a client should wait before it retries a request that was not started in its time.
const EXPIRED_RETRY_AFTER: Span = Span(1_000);

/// What a request asks a cell to do.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    Submit(JobSpec),
    State,
    Cancel,
    /// Asks how many accepted jobs of the queue have not started.
    Pending,
}

/// A request to the owner of a cell.
#[derive(Clone, Debug)]
pub(crate) struct CellRequest {
    pub(crate) cell: ServiceId,
    pub(crate) queue: QueueId,
    pub(crate) job: JobId,
    pub(crate) operation: Operation,
}

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    /// The job or its cancellation is stored.
    Durable,
    /// The job was not accepted.
    Refused {
        retry_after: Span,
    },
    /// The job was not accepted, and the node that asked should refuse others of its queue for some time.
    Closed {
        retry_after: Span,
        time: Span,
    },
    State(JobState),
    /// The number of accepted jobs of the queue that have not started.
    Pending(u64),
    UnknownJob,
    /// The node asked does not own the cell and has done nothing.
    NotOwner,
    /// Too many requests wait for the node asked, which has done nothing.
    Busy,
    /// The request may or may not have taken effect.
    Uncertain,
}

impl Reply {
    /// The reply as a caller gets it, which says only when to come back.
    fn without_time(self) -> Self {
        match self {
            Self::Closed { retry_after, .. } => Self::Refused { retry_after },
            other => other,
        }
    }
}

/// A request with the channel for its answer.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) request: CellRequest,
    /// Whether another node forwarded the request; it is not forwarded again.
    pub(crate) from_peer: bool,
    pub(crate) deadline: Timestamp,
    pub(crate) reply: oneshot::Sender<Reply>,
}

/// Answers a request by asking the cell's owner, at this node or another one.
pub(super) async fn answer_request(node: Rc<Node>, pending: PendingRequest) {
    let PendingRequest { request, from_peer, deadline, reply } = pending;
    if reply.is_closed() || clock::now() >= deadline {
        let refusal = refuse(&node, &request, "its time was over on arrival", EXPIRED_RETRY_AFTER);
        // The caller has probably stopped waiting.
        let _ = reply.send(refusal);
        return;
    }
    let answer = if from_peer {
        ask_local_cell(&node, &request, deadline).await
    } else {
        ask_owner(&node, &request, deadline).await
    };
    // The caller may have stopped waiting.
    let _ = reply.send(answer);
}

/// Asks the cell's owner at this node.
async fn ask_local_cell(node: &Rc<Node>, request: &CellRequest, deadline: Timestamp) -> Reply {
    let Some(owner) = node.cell_owner(&request.cell) else {
        return reply_without_owner(node, request);
    };
    let answer = owner.handle(request);
    match tokio::time::timeout(clock::until(deadline), answer).await {
        Ok(Ok(reply)) => reply,
        // The term ended or the time ran out. Only the cell's log tells whether the request took
        // effect.
        Ok(Err(_)) | Err(_) => Reply::Uncertain,
    }
}

/// The reply of a node that serves no owner of the cell, but may be recovering it.
fn reply_without_owner(node: &Node, request: &CellRequest) -> Reply {
    let reply = match node.recovering_since(&request.cell) {
        Some(since) => inquiry::reply_while_recovering(clock::now().since(since)),
        None => Reply::NotOwner,
    };
    if let Reply::Refused { retry_after } = reply {
        refuse(node, request, "the cell is being recovered", retry_after);
    }
    reply
}

/// Asks the cell's owner, at this node or another one, retrying until the request can be answered.
async fn ask_owner(node: &Rc<Node>, request: &CellRequest, deadline: Timestamp) -> Reply {
    if let Some(refusal) = refuse_if_closed(node, request) {
        return refusal;
    }
    let mut inquiry = Inquiry::new(&request.operation, clock::now(), deadline);
    loop {
        let reply = ask_once(node, request, inquiry.deadline).await;
        match inquiry.on_reply(reply, clock::now()) {
            NextStep::Answer(answer) => {
                log_ownerless_refusal(node, request, reply, answer);
                return answer;
            }
            NextStep::RetryAt(time) => tokio::time::sleep(clock::until(time)).await,
        }
    }
}

/// Asks the cell's owner once, at this node or another one.
async fn ask_once(node: &Rc<Node>, request: &CellRequest, deadline: Timestamp) -> Reply {
    if node.cell_owner(&request.cell).is_some() {
        return ask_local_cell(node, request, deadline).await.without_time();
    }
    let Some(address) = node.owner_address(&request.cell) else {
        return reply_without_owner(node, request);
    };
    let limit = deadline.min(clock::now() + FORWARD_TIMEOUT);
    let reply = node.peers.forward(address, request, limit).await;
    if let Reply::Closed { time, .. } = reply {
        let closed = (address, &request.queue);
        node.closed_queues.borrow_mut().close(closed, time, clock::now());
    }
    reply.without_time()
}

/// Refuses a job of a queue whose owner, at another node, has asked to pass none on for a while. The
/// refusal speaks for this request only; an earlier one for the same job may have been accepted.
fn refuse_if_closed(node: &Node, request: &CellRequest) -> Option<Reply> {
    let owner = node.owner_address(&request.cell)?;
    let retry_after = node.closed_queues.borrow().refused_for(owner, request, clock::now())?;
    Some(refuse(node, request, "the owner of the cell can't keep up", retry_after))
}

/// Logs a refusal that no owner has decided on; an owner logs its own.
fn log_ownerless_refusal(node: &Node, request: &CellRequest, reply: Reply, answer: Reply) {
    let Reply::Refused { retry_after } = answer else {
        return;
    };
    let reason = match reply {
        Reply::Busy => "too many requests wait for the owner of the cell",
        Reply::NotOwner => "no owner of the cell can be reached",
        Reply::Uncertain => "the owner of the cell does not answer",
        _ => return,
    };
    refuse(node, request, reason, retry_after);
}

/// Logs the refusal of a request and returns the reply.
fn refuse(node: &Node, request: &CellRequest, reason: &'static str, retry_after: Span) -> Reply {
    info!(node.log, "refused"; "job" => %request.job, "queue" => %request.queue,
        "cell" => %request.cell, "reason" => reason, "retry_after_ms" => retry_after.0);
    Reply::Refused { retry_after }
}
