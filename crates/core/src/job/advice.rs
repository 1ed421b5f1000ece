//! Which workers a step may run on, where a service outside decides that.
//!
//! The service takes its time for each request and for each worker in it, and answers one request
//! at a time. So it is asked once a step, about workers with room and about no more than a step
//! needs; its answer is kept, and only workers that it allowed are asked about again.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::{StepId, WorkerId, place::PlacementCandidate};
use crate::{Span, Timestamp};

/// Most workers in one request.
const MAX_WORKERS: usize = 30;

/// What must be left of an answer's validity for an order that is given now.
const VALIDITY_MARGIN: Span = Span(250);

/// The pause before a request that brought no answer is sent again.
const ASK_AGAIN: Span = Span(200);

/// The time that a request takes beside what the service needs for it: other requests come first.
const QUEUE_TIME: Span = Span(2_000);

/// What the service is known to need, and how long its answer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdviceConfig {
    /// For each request.
    pub decision_time: Span,
    /// For each worker that is asked about.
    pub time_per_worker: Span,
    /// How long its answer holds.
    pub validity: Span,
}

/// A request to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepId,
    /// The workers that it may be allowed to run on.
    pub workers: Vec<WorkerId>,
    /// How long to wait for the answer.
    pub timeout: Span,
}

/// The service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceAnswer {
    /// The workers that may run the step, each with its ticket.
    pub allowed: Vec<(WorkerId, Arc<str>)>,
    /// How long the tickets hold.
    pub validity: Span,
}

#[derive(Clone, Debug)]
struct Ticket {
    text: Arc<str>,
    valid_until: Timestamp,
}

/// What is known of one step.
#[derive(Clone, Debug, Default)]
pub(super) struct StepAdvice {
    in_flight: bool,
    ask_again: Timestamp,
    asked: IndexSet<WorkerId>,
    tickets: IndexMap<WorkerId, Ticket>,
}

impl StepAdvice {
    /// The ticket for a worker, if it holds long enough.
    pub(super) fn ticket(&self, worker: &WorkerId, now: Timestamp) -> Option<Arc<str>> {
        let ticket = self.tickets.get(worker)?;
        (now + VALIDITY_MARGIN < ticket.valid_until).then(|| Arc::clone(&ticket.text))
    }

    /// The request that is due: about workers that were allowed and whose tickets have run out, or
    /// else about workers that were not asked about, the roomiest first.
    pub(super) fn next_request(
        &mut self,
        step: StepId,
        candidates: &[PlacementCandidate],
        cfg: &AdviceConfig,
        now: Timestamp,
    ) -> Option<AdviceRequest> {
        if self.in_flight || now < self.ask_again {
            return None;
        }
        let expired = |candidate: &&PlacementCandidate| {
            self.tickets.contains_key(&candidate.worker)
                && self.ticket(&candidate.worker, now).is_none()
        };
        let mut about: Vec<&PlacementCandidate> = candidates.iter().filter(expired).collect();
        if about.is_empty() {
            about = candidates
                .iter()
                .filter(|candidate| !self.asked.contains(&candidate.worker))
                .collect();
        }
        about.sort_by_key(|candidate| std::cmp::Reverse(candidate.free.cpu_milli));
        about.truncate(MAX_WORKERS);
        let workers: Vec<WorkerId> =
            about.into_iter().map(|candidate| candidate.worker.clone()).collect();
        if workers.is_empty() {
            return None;
        }
        self.in_flight = true;
        let needs = cfg.decision_time.0 + cfg.time_per_worker.0 * workers.len() as u64;
        Some(AdviceRequest { step, workers, timeout: Span(needs + QUEUE_TIME.0) })
    }

    /// The service answered, or didn't.
    pub(super) fn on_answer(
        &mut self,
        asked: &[WorkerId],
        answer: Option<&AdviceAnswer>,
        now: Timestamp,
    ) {
        self.in_flight = false;
        let Some(answer) = answer else {
            self.ask_again = now + ASK_AGAIN;
            return;
        };
        self.asked.extend(asked.iter().cloned());
        let valid_until = now + answer.validity;
        for (worker, text) in &answer.allowed {
            let ticket = Ticket { text: Arc::clone(text), valid_until };
            self.tickets.insert(worker.clone(), ticket);
        }
    }

    /// A worker refused the ticket, or has started anew: it must be asked about again.
    pub(super) fn forget(&mut self, worker: &WorkerId) {
        self.asked.swap_remove(worker);
        self.tickets.swap_remove(worker);
    }
}
