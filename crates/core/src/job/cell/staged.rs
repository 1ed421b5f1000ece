//! Submissions that arrive while a write of the log is in flight.
//!
//! The next write could contain them at the earliest, so they are not appended to the log before
//! the write in flight is durable. Until then they have certainly had no effect. If the write
//! stalls, they are refused, so that their callers need not wait until their time is over.

use indexmap::IndexMap;

use super::{
    super::{Action, Answer, JobId, JobSpec, LogEvent, Token},
    Cell,
};
use crate::{QueueId, Span, Timestamp};

/// How long a submission waits for the write in flight before it is refused. It leaves a caller the
/// time for another try.
const MAX_STAGED_TIME: Span = Span(1_200);

/// How long a refused client should wait before it retries while the store accepts no writes.
const STALL_RETRY_AFTER: Span = Span(1_000);

/// A submission that has passed admission and is not in the log.
#[derive(Debug)]
pub(super) struct Submission {
    pub(super) queue: QueueId,
    pub(super) spec: JobSpec,
    pub(super) arrived: Timestamp,
    pub(super) arrived_wall_ms: u64,
}

/// The submissions that wait for a write in flight.
#[derive(Debug, Default)]
pub(super) struct StagedSubmissions {
    /// The submissions with the requests that wait for their answers.
    submissions: IndexMap<JobId, (Submission, Vec<Token>)>,
    is_write_in_flight: bool,
}

impl StagedSubmissions {
    pub(super) fn on_write_taken(&mut self) {
        self.is_write_in_flight = true;
    }

    pub(super) fn is_write_in_flight(&self) -> bool {
        self.is_write_in_flight
    }

    pub(super) fn contains(&self, job: JobId) -> bool {
        self.submissions.contains_key(&job)
    }

    /// The queues of the submissions.
    pub(super) fn queues(&self) -> impl Iterator<Item = &QueueId> {
        self.submissions.values().map(|(submission, _)| &submission.queue)
    }

    pub(super) fn add(&mut self, job: JobId, token: Token, submission: Submission) {
        self.submissions.insert(job, (submission, vec![token]));
    }

    /// Adds a request to a job that is already waiting; returns whether it is.
    pub(super) fn join(&mut self, job: JobId, token: Token) -> bool {
        let staged = self.submissions.get_mut(&job);
        staged.map(|(_, tokens)| tokens.push(token)).is_some()
    }

    /// Removes the submissions that have waited too long, the oldest first.
    fn take_overdue(&mut self, now: Timestamp) -> Vec<(JobId, (Submission, Vec<Token>))> {
        let is_overdue = |submission: &Submission| now > submission.arrived + MAX_STAGED_TIME;
        let count =
            self.submissions.values().take_while(|(submission, _)| is_overdue(submission)).count();
        self.submissions.drain(..count).collect()
    }
}

impl Cell {
    /// Appends the submissions that waited for the write that is now durable.
    pub(super) fn on_write_finished(&mut self, now: Timestamp) {
        self.staged.is_write_in_flight = false;
        self.append_staged(now);
    }

    /// Appends all submissions that are not in the log.
    pub(super) fn append_staged(&mut self, now: Timestamp) {
        for (id, (submission, tokens)) in std::mem::take(&mut self.staged.submissions) {
            self.append_submission(id, submission, tokens, now);
        }
    }

    /// Refuses the submissions that have waited too long for the write in flight.
    pub(super) fn refuse_stalled(&mut self, now: Timestamp) {
        for (id, (submission, tokens)) in self.staged.take_overdue(now) {
            let wait = now.since(submission.arrived);
            self.refuse_staged(id, submission.queue, tokens, wait, "the store accepts no writes");
        }
    }

    /// Refuses a submission that is not in the log because its job has been cancelled.
    pub(super) fn refuse_cancelled(&mut self, id: JobId) {
        if let Some((submission, tokens)) = self.staged.submissions.shift_remove(&id) {
            self.refuse_staged(id, submission.queue, tokens, Span(0), "it was cancelled meanwhile");
        }
    }

    fn refuse_staged(
        &mut self,
        job: JobId,
        queue: QueueId,
        tokens: Vec<Token>,
        wait: Span,
        reason: &'static str,
    ) {
        let (waiting, retry_after) = (self.waiting_jobs(), STALL_RETRY_AFTER);
        let order_rate = None;
        let event =
            LogEvent::Refused { job, queue, waiting, reason, wait, retry_after, order_rate };
        self.actions.push(Action::Log(event));
        let refusals = tokens.into_iter();
        let answer = Answer::Refused { retry_after, closed: Span(0) };
        let refusals = refusals.map(|token| Action::Reply(token, answer));
        self.actions.extend(refusals);
    }
}
