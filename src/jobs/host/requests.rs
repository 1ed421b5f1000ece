//! Requests of client accounts to a cell.

use slog::info;
use teaselgap_core::{Span, Timestamp};
use tokio::sync::oneshot;

use super::{
    super::{
        ask::{CellRequest, Operation, Reply},
        peer::BUSY_RETRY_AFTER,
        session,
    },
    CellOwner,
};
use crate::clock;

/// How long a write to the store may be pending before the cell refuses new jobs at once.
const STALLED_WRITE_TIMEOUT: Span = Span(400);

/// How long a refused client should wait before it retries while the store accepts no writes.
const STORE_RETRY_AFTER: Span = Span(1_000);

impl CellOwner {
    /// Passes a request to the cell. A query is answered at once, an accepted submission or
    /// cancellation once it is durable.
    pub(in crate::jobs) fn handle(&self, request: &CellRequest) -> oneshot::Receiver<Reply> {
        let (reply, reply_rx) = oneshot::channel();
        let now = clock::now();
        let immediate = match &request.operation {
            Operation::State => self
                .with_cell(|cell| cell.job_state(request.job))
                .map(|state| state.map_or(Reply::UnknownJob, Reply::State)),
            Operation::Pending => {
                self.with_cell(|cell| Reply::Pending(cell.queued_jobs(&request.queue)))
            }
            Operation::Submit(spec) if self.is_store_unavailable(now) && !self.has_job(request) => {
                self.with_cell(|cell| cell.count_arrival(request.job, &request.queue, spec));
                self.meter.borrow_mut().record_refused();
                let waited_ms = self.writing_since.get().map(|since| now.since(since).0);
                info!(self.node.log, "refused"; "job" => %request.job, "queue" => %request.queue,
                    "reason" => "the store accepts no writes", "write_waits_ms" => waited_ms,
                    "holds_lease" => session::holds_lease(&self.node),
                    "retry_after_ms" => STORE_RETRY_AFTER.0, "epoch" => self.epoch.0);
                Some(Reply::Refused { retry_after: STORE_RETRY_AFTER })
            }
            Operation::Submit(_) | Operation::Cancel => None,
        };
        if let Some(answer) = immediate {
            // The caller may have stopped waiting.
            let _ = reply.send(answer);
            return reply_rx;
        }
        let token = match self.pending_replies.borrow_mut().insert(reply) {
            Ok(token) => token,
            Err(reply) => {
                info!(self.node.log, "refused"; "job" => %request.job, "queue" => %request.queue,
                    "reason" => "too many requests wait for the log",
                    "retry_after_ms" => BUSY_RETRY_AFTER.0, "epoch" => self.epoch.0);
                let _ = reply.send(Reply::Refused { retry_after: BUSY_RETRY_AFTER });
                return reply_rx;
            }
        };
        self.with_cell(|cell| match &request.operation {
            Operation::Submit(spec) => {
                let job_and_queue = (request.job, request.queue.clone());
                cell.submit(token, job_and_queue, spec.clone(), (now, clock::wall_ms()));
            }
            _ => cell.cancel(token, request.job, now),
        });
        reply_rx
    }

    fn has_job(&self, request: &CellRequest) -> bool {
        self.cell.borrow().as_ref().is_some_and(|cell| cell.has_job(request.job))
    }

    /// Whether a write has been pending for too long or this node's lease may have expired.
    fn is_store_unavailable(&self, now: Timestamp) -> bool {
        self.writing_since.get().is_some_and(|since| now > since + STALLED_WRITE_TIMEOUT)
            || !session::holds_lease(&self.node)
    }
}
