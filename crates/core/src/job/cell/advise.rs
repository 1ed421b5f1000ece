//! Advice requests, which ask an external service on which workers a step may run.
//!
//! For each worker that it allows, the service issues a ticket: its permission, valid for a limited
//! time, to run tasks of the step on that worker.

use super::{
    super::{
        Action, AdviceAnswer, AdviceRequest, LogEvent, StepId, place::PlacementCandidate,
        task::StepState,
    },
    Cell,
    plan::WaitingStep,
};
use crate::Timestamp;

/// The most advice requests of one cell in flight; the service answers one after the other.
const MAX_ADVICE_REQUESTS_IN_FLIGHT: usize = 4;

impl Cell {
    /// Whether any queue uses advice.
    pub(super) fn has_advice(&self) -> bool {
        self.queues.values().any(|queue| queue.advice.is_some())
    }

    /// Sends the advice requests that are due, in the order of the steps, up to the limit on
    /// requests in flight.
    pub(super) fn ask_advice<'a>(
        &mut self,
        waiting_steps: impl Iterator<Item = &'a WaitingStep>,
        candidates: &[PlacementCandidate],
        now: Timestamp,
    ) {
        if !self.has_advice() {
            return;
        }
        let mut remaining =
            MAX_ADVICE_REQUESTS_IN_FLIGHT.saturating_sub(self.advice_requests_in_flight);
        for waiting_step in waiting_steps {
            if remaining == 0 {
                return;
            }
            let Some(job) = self.jobs.get_mut(&waiting_step.job) else {
                continue;
            };
            let advice = self.queues.get(&job.queue).and_then(|queue| queue.advice);
            let (Some(cfg), id) = (advice, waiting_step.step_id(job)) else {
                continue;
            };
            let request = job
                .step_mut(id)
                .and_then(|step| step.advice.next_request(id, candidates, &cfg, now));
            if let Some(request) = request {
                remaining -= 1;
                self.advice_requests_in_flight += 1;
                self.actions.push(Action::RequestAdvice(request));
            }
        }
    }

    /// Handles the answer to an advice request; `None` if there was no answer.
    pub fn on_advice_answer(
        &mut self,
        request: &AdviceRequest,
        answer: Option<&AdviceAnswer>,
        now: Timestamp,
    ) {
        self.advice_requests_in_flight = self.advice_requests_in_flight.saturating_sub(1);
        let (step, asked) = (request.step, request.workers.len());
        let allowed = answer.map(|answer| answer.allowed.len());
        self.actions.push(Action::Log(LogEvent::AdviceAnswered { step, asked, allowed }));
        if let Some(step) = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step)) {
            step.advice.on_answer(&request.workers, answer, now);
        }
        self.plan_due = true;
    }

    fn step_state(&self, id: StepId) -> Option<&StepState> {
        self.jobs.get(&id.job)?.occurrence(id.occurrence)?.steps.get(id.step as usize)
    }

    /// If a step needs advice, marks each candidate for which it has no valid ticket as disallowed.
    /// Clears the mark on all other candidates.
    pub(super) fn disallow_without_ticket(
        &self,
        id: StepId,
        candidates: &mut [PlacementCandidate],
        now: Timestamp,
    ) {
        let queue = self.jobs.get(&id.job).and_then(|job| self.queues.get(&job.queue));
        let is_advised = queue.is_some_and(|queue| queue.advice.is_some());
        let state = self.step_state(id).filter(|_| is_advised);
        for candidate in candidates {
            candidate.is_disallowed =
                state.is_some_and(|state| state.advice.ticket(&candidate.worker, now).is_none());
        }
    }
}
