//! Decides what follows each reply of a cell's owner: another try, or the answer to the caller.

#[cfg(test)]
mod tests;

use teaselgap_core::{Span, Timestamp};

use super::{super::peer::BUSY_RETRY_AFTER, Operation, Reply};

/// The pause before a request without an answer is sent to the cell's owner again.
const RETRY_PAUSE: Span = Span(60);

/// How long a request waits while its cell has no owner that can be reached, before it is refused.
pub(super) const OWNERLESS_TIMEOUT: Span = Span(120);

/// How long a refused client should wait before it retries while a cell has no owner.
pub(super) const OWNERLESS_RETRY_AFTER: Span = Span(1_000);

/// The longest part of the caller's time that is reserved for returning the answer.
const MAX_ANSWER_MARGIN: Span = Span(150);

/// The part of the caller's time that is reserved for returning the answer, in percent.
const ANSWER_MARGIN_PERCENT: u64 = 25;

/// What is known about a caller's request while the owner of its cell is being asked.
#[derive(Debug)]
pub(super) struct Inquiry {
    /// By when the owner must have answered.
    pub(super) deadline: Timestamp,
    /// Until when the request waits for an owner that can be reached.
    ownerless_until: Timestamp,
    /// Whether the request changes nothing, so that it can be refused at any time.
    is_query: bool,
    /// Whether an earlier try may have taken effect.
    is_uncertain: bool,
}

/// What to do with a request after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    Answer(Reply),
    RetryAt(Timestamp),
}

/// The reply of an owner that has been reading the cell's log for this long. A short recovery is
/// waited for; one that has lasted longer is expected to take as long again.
pub(super) fn reply_while_recovering(elapsed: Span) -> Reply {
    if elapsed < OWNERLESS_TIMEOUT {
        return Reply::NotOwner;
    }
    Reply::Refused { retry_after: elapsed.max(OWNERLESS_RETRY_AFTER) }
}

impl Inquiry {
    pub(super) fn new(operation: &Operation, now: Timestamp, caller_deadline: Timestamp) -> Self {
        let margin = caller_deadline.since(now).0 * ANSWER_MARGIN_PERCENT / 100;
        let margin = margin.min(MAX_ANSWER_MARGIN.0);
        Self {
            deadline: Timestamp(caller_deadline.0.saturating_sub(margin)),
            ownerless_until: now + OWNERLESS_TIMEOUT,
            is_query: matches!(operation, Operation::State | Operation::Pending),
            is_uncertain: false,
        }
    }

    /// Decides what follows a reply to the latest try.
    pub(super) fn on_reply(&mut self, reply: Reply, now: Timestamp) -> NextStep {
        let pause = match reply {
            Reply::Uncertain => {
                self.is_uncertain = !self.is_query;
                RETRY_PAUSE
            }
            Reply::NotOwner => RETRY_PAUSE,
            Reply::Busy if !self.is_uncertain => {
                return NextStep::Answer(Reply::Refused { retry_after: BUSY_RETRY_AFTER });
            }
            Reply::Busy => BUSY_RETRY_AFTER,
            // An earlier try may still reach the owner, so the request can't be refused yet.
            Reply::Refused { retry_after } if self.is_uncertain => retry_after.max(RETRY_PAUSE),
            reply => return NextStep::Answer(reply),
        };
        let retry_at = now + pause;
        let is_late = retry_at >= self.deadline;
        if self.is_uncertain && is_late {
            return NextStep::Answer(Reply::Uncertain);
        }
        // Only a request that certainly had no effect is refused; the client may retry it later.
        if !self.is_uncertain && (is_late || now >= self.ownerless_until) {
            return NextStep::Answer(Reply::Refused { retry_after: OWNERLESS_RETRY_AFTER });
        }
        NextStep::RetryAt(retry_at)
    }
}
