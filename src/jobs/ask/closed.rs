//! Queues of which a node passes on no jobs for a while, because their cell's owner can't keep up.
//!
//! Callers that an owner refuses come back, at any node. Each request that a node passes on takes a part of the owner's
//! link, on which start orders and renewals of leases wait. While an owner can't keep up with its start orders, the
//! nodes that it has refused therefore refuse further jobs of the queue themselves.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use indexmap::IndexMap;
use teaselgap_core::{
    QueueId, Span, Timestamp,
    job::{JobSpec, retry_after},
};

use super::{CellRequest, Operation};

/// The longest time for which an owner's word counts. It may get more orders done than it expects.
const MAX_CLOSED_TIME: Span = Span(2_000);

/// The queues that are closed, each with the address of the owner that has said so and until when.
#[derive(Debug, Default)]
pub(in crate::jobs) struct ClosedQueues {
    until: IndexMap<(SocketAddr, QueueId), Timestamp>,
}

/// Whether an owner that can't keep up refuses a job like this. Others are always accepted.
fn may_be_refused(spec: &JobSpec) -> bool {
    !spec.is_long_running() && spec.schedule.is_none()
}

impl ClosedQueues {
    /// Notes that the owner at `owner` wants no more jobs of a queue for a while.
    pub(super) fn close(
        &mut self,
        (owner, queue): (SocketAddr, &QueueId),
        time: Span,
        now: Timestamp,
    ) {
        self.until.retain(|_, until| now < *until);
        let until = now + time.min(MAX_CLOSED_TIME);
        let known = self.until.entry((owner, queue.clone())).or_insert(until);
        *known = (*known).max(until);
    }

    /// When the caller of this request should come back, if it isn't to be passed on to the owner at `owner`.
    pub(super) fn refused_for(
        &self,
        owner: SocketAddr,
        request: &CellRequest,
        now: Timestamp,
    ) -> Option<Span> {
        let Operation::Submit(spec) = &request.operation else {
            return None;
        };
        let until =
            self.until.get(&(owner, request.queue.clone())).filter(|until| now < **until)?;
        may_be_refused(spec).then(|| retry_after(request.job, until.since(now)))
    }
}
