//! Requests to a cell, and how they reach the node that owns it.

use std::rc::Rc;

use slog::info;
use teaselgap_core::{
    QueueId, ServiceId, Span, Timestamp,
    job::{JobId, JobSpec, JobState},
};
use tokio::sync::oneshot;

use super::node::Node;
use crate::clock;

/// The pause before a request without an answer is sent to the cell's owner again.
const RETRY_PAUSE: Span = Span(60);

/// How long a request waits while its cell has no owner that can be reached, before it is refused.
const OWNERLESS_TIMEOUT: Span = Span(120);

/// How long a refused client should wait before it retries while a cell has no owner.
const OWNERLESS_RETRY_AFTER: Span = Span(1_000);

/// The part of the caller's time that is reserved for returning the answer.
const ANSWER_MARGIN: Span = Span(150);

/// The longest wait for the answer of another node, after which the owner is looked up again.
const FORWARD_TIMEOUT: Span = Span(1_500);

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
    State(JobState),
    /// The number of accepted jobs of the queue that have not started.
    Pending(u64),
    UnknownJob,
    /// The node asked does not own the cell and has done nothing.
    NotOwner,
    /// The request may or may not have taken effect.
    Uncertain,
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
        return Reply::NotOwner;
    };
    let answer = owner.handle(request);
    match tokio::time::timeout(clock::until(deadline), answer).await {
        Ok(Ok(reply)) => reply,
        // The term ended or the time ran out. Only the cell's log tells whether the request took
        // effect.
        Ok(Err(_)) | Err(_) => Reply::Uncertain,
    }
}

/// Asks the cell's owner, at this node or another one, retrying until there is an answer or the
/// caller's time is over. Refuses the request if no owner is reached within `OWNERLESS_TIMEOUT`.
async fn ask_owner(node: &Rc<Node>, request: &CellRequest, deadline: Timestamp) -> Reply {
    let deadline = Timestamp(deadline.0.saturating_sub(ANSWER_MARGIN.0));
    let ownerless_until = clock::now() + OWNERLESS_TIMEOUT;
    let mut is_uncertain = false;
    loop {
        let reply = match node.cell_owner(&request.cell) {
            Some(_) => ask_local_cell(node, request, deadline).await,
            None => match node.owner_address(&request.cell) {
                Some(address) => {
                    let limit = deadline.min(clock::now() + FORWARD_TIMEOUT);
                    node.peers.forward(address, request, limit).await
                }
                None => Reply::NotOwner,
            },
        };
        match reply {
            Reply::Uncertain => is_uncertain = true,
            Reply::NotOwner => {}
            reply => return reply,
        }
        let now = clock::now();
        if now + RETRY_PAUSE >= deadline {
            return Reply::Uncertain;
        }
        // Only a request that certainly had no effect is refused; the client may retry it later.
        if !is_uncertain && now >= ownerless_until {
            info!(node.log, "refused"; "job" => %request.job, "queue" => %request.queue,
                "cell" => %request.cell, "reason" => "no owner of the cell can be reached",
                "retry_after_ms" => OWNERLESS_RETRY_AFTER.0);
            return Reply::Refused { retry_after: OWNERLESS_RETRY_AFTER };
        }
        tokio::time::sleep(RETRY_PAUSE.to_std()).await;
    }
}
