//! Questions about where steps may run, and what their answers bar.

use super::{
    super::{Action, Advised, Note, Question, StepId, place::Seat, task::StepState},
    Cell,
    plan::Candidate,
};
use crate::Timestamp;

/// Questions of one cell that are on their way at a time; the service answers one after the other.
const MAX_QUESTIONS: usize = 4;

impl Cell {
    /// Asks about the first of the steps that wait for an answer.
    pub(super) fn ask_advice(&mut self, candidates: &[Candidate], seats: &[Seat], now: Timestamp) {
        let mut room = MAX_QUESTIONS.saturating_sub(self.questions);
        for candidate in candidates {
            if room == 0 {
                return;
            }
            let Some(job) = self.jobs.get_mut(&candidate.job) else {
                continue;
            };
            let advice = self.queues.get(&job.queue).and_then(|queue| queue.advice);
            let (Some(cfg), id) = (advice, candidate.step_id(job)) else {
                continue;
            };
            let question =
                job.step_mut(id).and_then(|step| step.advice.question(id, seats, &cfg, now));
            if let Some(question) = question {
                room -= 1;
                self.questions += 1;
                self.out.push(Action::Advise(question));
            }
        }
    }

    /// The service answered a question, or didn't.
    pub fn advised(&mut self, question: &Question, advised: Option<&Advised>, now: Timestamp) {
        self.questions = self.questions.saturating_sub(1);
        let (step, asked) = (question.step, question.workers.len());
        let allowed = advised.map(|advised| advised.allowed.len());
        self.out.push(Action::Note(Note::Advised { step, asked, allowed }));
        if let Some(step) = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step)) {
            step.advice.answered(&question.workers, advised, now);
        }
        self.plan_due = true;
    }

    fn step_state(&self, id: StepId) -> Option<&StepState> {
        self.jobs.get(&id.job)?.occurrence(id.occurrence)?.steps.get(id.step as usize)
    }

    /// Bars the seats on which a step may not run as far as is known now.
    pub(super) fn bar_unadvised(&self, id: StepId, seats: &mut [Seat], now: Timestamp) {
        let queue = self.jobs.get(&id.job).and_then(|job| self.queues.get(&job.queue));
        let is_advised = queue.is_some_and(|queue| queue.advice.is_some());
        let state = self.step_state(id).filter(|_| is_advised);
        for seat in seats {
            seat.is_barred =
                state.is_some_and(|state| state.advice.ticket(&seat.worker, now).is_none());
        }
    }
}
