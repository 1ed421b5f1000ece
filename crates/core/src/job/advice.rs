//! Asks an external service, the advice service, on which workers a step may run.
//!
//! The advice service answers one request at a time, and its response time grows with the number of
//! workers in the request. So each step has at most one request in flight, which lists a limited
//! number of placement candidates. Answers are cached, and a worker is asked about again only if
//! the service allowed it and its ticket has expired.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{StepId, WorkerId, place::PlacementCandidate};
use crate::{Span, Timestamp};

/// Maximum number of workers in one request.
const MAX_WORKERS_PER_REQUEST: usize = 30;

/// A ticket is used only if it stays valid for longer than this, so that it is still valid when the
/// order reaches the worker.
const VALIDITY_MARGIN: Span = Span(250);

/// Delay before a request that got no answer is sent again.
const RETRY_DELAY: Span = Span(200);

/// Part of a request's timeout that allows for requests ahead of it in the service's queue.
const QUEUEING_ALLOWANCE: Span = Span(2_000);

/// Response time of the advice service and validity of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceConfig {
    /// Time that the service needs for a request, whatever its size.
    pub decision_time: Span,
    /// Additional time that the service needs for each worker in a request.
    pub time_per_worker: Span,
    /// How long an answer is valid.
    pub validity: Span,
}

/// A request to the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step to be placed.
    pub step: StepId,
    /// The workers on which the step could run.
    pub workers: Vec<WorkerId>,
    /// Timeout of the request.
    pub timeout: Span,
}

/// An answer of the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceAnswer {
    /// The workers that may run the step, each with a ticket that its start orders carry.
    pub allowed: Vec<(WorkerId, Arc<str>)>,
    /// How long the tickets are valid, from the arrival of the answer.
    pub validity: Span,
}

/// A permission to run a step on one worker.
#[derive(Clone, Debug)]
struct Ticket {
    text: Arc<str>,
    valid_until: Timestamp,
}

/// Requests and answers about one step.
#[derive(Clone, Debug, Default)]
pub(super) struct StepAdvice {
    in_flight: bool,
    /// No request is sent before this time.
    retry_at: Timestamp,
    /// Workers about which the service has answered, whether it allowed them or not.
    asked_workers: IndexSet<WorkerId>,
    /// Tickets of allowed workers. An expired one is kept, so that its worker is asked about again.
    tickets: IndexMap<WorkerId, Ticket>,
}

impl StepAdvice {
    /// Returns the ticket for a worker if it stays valid long enough to be used.
    pub(super) fn ticket(&self, worker: &WorkerId, now: Timestamp) -> Option<Arc<str>> {
        let ticket = self.tickets.get(worker)?;
        (now + VALIDITY_MARGIN < ticket.valid_until).then(|| Arc::clone(&ticket.text))
    }

    /// Returns the next request to send, unless one is in flight or the retry delay has not passed.
    /// It lists the candidates whose tickets have expired or, if there are none, the candidates
    /// that the service was not asked about yet; those with the most free processor capacity come
    /// first.
    pub(super) fn next_request(
        &mut self,
        step: StepId,
        candidates: &[PlacementCandidate],
        cfg: &AdviceConfig,
        now: Timestamp,
    ) -> Option<AdviceRequest> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        let expired = |candidate: &&PlacementCandidate| {
            self.tickets.contains_key(&candidate.worker)
                && self.ticket(&candidate.worker, now).is_none()
        };
        let mut selected: Vec<&PlacementCandidate> = candidates.iter().filter(expired).collect();
        if selected.is_empty() {
            selected = candidates
                .iter()
                .filter(|candidate| !self.asked_workers.contains(&candidate.worker))
                .collect();
        }
        selected.sort_by_key(|candidate| std::cmp::Reverse(candidate.free.cpu_milli));
        selected.truncate(MAX_WORKERS_PER_REQUEST);
        let workers: Vec<WorkerId> =
            selected.into_iter().map(|candidate| candidate.worker.clone()).collect();
        if workers.is_empty() {
            return None;
        }
        self.in_flight = true;
        let service_time = cfg.decision_time.0 + cfg.time_per_worker.0 * workers.len() as u64;
        Some(AdviceRequest { step, workers, timeout: Span(service_time + QUEUEING_ALLOWANCE.0) })
    }

    /// Handles the answer to a request about the workers in `asked`; `answer` is `None` if there
    /// was none.
    pub(super) fn on_answer(
        &mut self,
        asked: &[WorkerId],
        answer: Option<&AdviceAnswer>,
        now: Timestamp,
    ) {
        self.in_flight = false;
        let Some(answer) = answer else {
            self.retry_at = now + RETRY_DELAY;
            return;
        };
        self.asked_workers.extend(asked.iter().cloned());
        let valid_until = now + answer.validity;
        for (worker, text) in &answer.allowed {
            let ticket = Ticket { text: Arc::clone(text), valid_until };
            self.tickets.insert(worker.clone(), ticket);
        }
    }

    /// Discards the answer about a worker, which has refused the ticket or restarted, so that the
    /// service is asked about it again.
    pub(super) fn forget(&mut self, worker: &WorkerId) {
        self.asked_workers.swap_remove(worker);
        self.tickets.swap_remove(worker);
    }
}
