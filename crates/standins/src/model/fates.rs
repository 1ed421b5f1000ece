//! What becomes of each call to a worker, as a test scripts it, and the calls that were carried out late.

use std::collections::{BTreeMap, VecDeque};

use teaselgap_core::{Epoch, Span, Timestamp, job::WorkerId};

use super::{Call, Model, ModelWorker};

/// A call that takes longer than this to reach the worker is late, in milliseconds.
const MAX_TRANSIT_MS: u64 = 100;

/// What becomes of a call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is carried out and answered.
    Answered,
    /// It is carried out, and its answer is lost.
    AnswerLost,
    /// It is never carried out.
    CallLost,
    /// It is carried out at this time, in whichever instance is up then, and not answered.
    Late(Timestamp),
    /// The same, but it is answered if the owner still waits then.
    Slow(Timestamp),
}

/// What a call asks of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// One copy of a start order.
    Start,
    /// A stop order.
    Stop,
    /// A hold that confirms ends; it may renew the lease, too.
    Confirm,
    /// A hold that renews the lease and confirms no ends.
    Renew,
    /// A hold that only looks.
    Look,
}

/// A call that a worker instance got late.
#[derive(Clone, Debug)]
pub struct LateCall {
    /// The worker that got the call.
    pub worker: WorkerId,
    /// What the call asked for.
    pub kind: CallKind,
    /// When the call reached the worker.
    pub at: Timestamp,
    /// Whether the call was sent to an earlier instance.
    pub is_of_earlier_life: bool,
    /// Whether the instance had got no call in time yet, of this term or of a later one.
    pub is_before_first_call: bool,
}

/// The scripted fates of calls, and what came of them.
#[derive(Debug, Default)]
pub(super) struct Fates {
    scripted: BTreeMap<(WorkerId, CallKind), VecDeque<Fate>>,
    /// For each worker the latest instance that got a call in time, and the highest term of such a call.
    first_calls: BTreeMap<WorkerId, (u64, Epoch)>,
    late_calls: Vec<LateCall>,
    /// The workers that answer only some of their calls.
    rare_answers: BTreeMap<WorkerId, RareAnswers>,
}

/// How rarely a worker answers: one call in `one_in`.
#[derive(Debug)]
struct RareAnswers {
    one_in: u32,
    /// Number of calls since the latest one that was answered.
    unanswered: u32,
}

impl RareAnswers {
    /// Counts a call that is carried out, and returns whether it is answered.
    fn answers_next(&mut self) -> bool {
        self.unanswered += 1;
        let is_answered = self.unanswered >= self.one_in;
        if is_answered {
            self.unanswered = 0;
        }
        is_answered
    }
}

impl Call {
    fn kind(&self) -> CallKind {
        match self {
            Self::Start(_) | Self::RepeatedStart(_) => CallKind::Start,
            Self::Stop { .. } => CallKind::Stop,
            Self::Hold { last_seen: 1.., .. } | Self::PendingHold { last_seen: 1.., .. } => {
                CallKind::Confirm
            }
            Self::Hold { lease_end: Some(_), .. } => CallKind::Renew,
            Self::Hold { .. } | Self::PendingHold { .. } => CallKind::Look,
        }
    }
}

impl Model {
    /// Scripts what becomes of the next calls of a kind to a worker; later ones are answered. Calls that
    /// the owner can't send because it doesn't reach the worker don't count.
    pub fn script_fates(&mut self, worker: &str, kind: CallKind, fates: &[Fate]) {
        let queue = self.fates.scripted.entry((worker.into(), kind)).or_default();
        queue.extend(fates.iter().copied());
    }

    /// Drops the fates that are scripted for calls to a worker.
    pub fn drop_fates(&mut self, worker: &str) {
        self.fates.scripted.retain(|(id, _), _| id.as_str() != worker);
    }

    /// Lets a worker carry out all calls and answer only one of `one_in`, whatever they ask for. With 0 or 1 it
    /// answers each.
    pub fn answer_one_in(&mut self, worker: &str, one_in: u32) {
        let rare = RareAnswers { one_in, unanswered: 0 };
        self.fates.rare_answers.insert(worker.into(), rare);
    }

    /// Returns the calls that workers got late so far.
    #[must_use]
    pub fn late_calls(&self) -> &[LateCall] {
        &self.fates.late_calls
    }

    /// Takes the scripted fate of a call that is being sent.
    pub(super) fn take_fate(&mut self, worker: &WorkerId, call: &Call) -> Option<Fate> {
        let queue = self.fates.scripted.get_mut(&(worker.clone(), call.kind()));
        let scripted = queue.and_then(VecDeque::pop_front);
        scripted.or_else(|| self.draw_rare_answer(worker))
    }

    /// The fate of a call to a worker that answers only some of its calls; `None` for other workers.
    fn draw_rare_answer(&mut self, worker: &WorkerId) -> Option<Fate> {
        let rare = self.fates.rare_answers.get_mut(worker)?;
        Some(if rare.answers_next() { Fate::Answered } else { Fate::AnswerLost })
    }

    /// Records that a call to the instance of this number, whose sender stops waiting at `deadline`, has
    /// reached a worker.
    pub(super) fn record_arrival(
        &mut self,
        id: &WorkerId,
        (epoch, call): (Epoch, &Call),
        (instance, deadline): (u64, Timestamp),
    ) {
        let reached = self.workers.get(id).filter(|worker| !worker.is_partitioned(self.now));
        let Some(present) = reached.map(ModelWorker::instance) else {
            return;
        };
        if matches!(call, Call::PendingHold { .. }) {
            return;
        }
        let is_late = self.now + call.timeout() > deadline + Span(MAX_TRANSIT_MS);
        let first_call = self.fates.first_calls.get(id).copied();
        if is_late {
            let was_called = first_call.is_some_and(|first| first.0 == present && first.1 >= epoch);
            let late_call = LateCall {
                worker: id.clone(),
                kind: call.kind(),
                at: self.now,
                is_of_earlier_life: instance < present,
                is_before_first_call: !was_called,
            };
            self.fates.late_calls.push(late_call);
        } else {
            let first_call = first_call.unwrap_or_default().max((present, epoch));
            self.fates.first_calls.insert(id.clone(), first_call);
        }
    }
}
