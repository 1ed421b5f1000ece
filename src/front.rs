//! Serves the requests of callers: checks the head, records the request, makes attempts at backend
//! servers and passes the answer on.

mod answer;
pub(crate) mod body;
mod head;
mod pages;

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use hyper::{
    Request, Response, StatusCode,
    header::{CONNECTION, HeaderValue},
    http::request::Parts,
};
use slog::{info, warn};
use teaselgap_core::{
    RackId, Span,
    admit::Refusal,
    declare::{HistoryRule, StoreOutage},
    duty::NodeIncarnation,
    journal::{Conclusion, Intent, Outcome, OutcomeKind, Record, Verdict},
    retry::{self, Failure},
};
use tokio::sync::oneshot;
use xitca_web::{
    body::{RequestBody, ResponseBody},
    http::RequestExt,
};

use self::{
    answer::{AnswerRecorder, Problem},
    body::BodyStart,
    head::Head,
};
use crate::{
    backend::{self, Answer, AttemptError, OutgoingBody},
    clock,
    traffic::{InFlightGuard, Permit, Service, Snapshot, TrafficState},
};

/// A caller's request as the HTTP server passes it on.
pub(crate) type IncomingRequest = Request<RequestExt<RequestBody>>;

/// How long to wait before asking the journal again about a request whose earlier intent is not
/// concluded.
const OPEN_POLL_INTERVAL: Span = Span(50);

/// Answers a request for a service or for one of the node's own pages.
pub(crate) async fn handle(
    shared: &Arc<TrafficState>,
    req: IncomingRequest,
) -> Response<ResponseBody> {
    let (parts, ext) = req.into_parts();
    let (_, body) = ext.replace_body(());
    if let Some(page) = pages::answer(shared, &parts) {
        return page;
    }
    let started = Instant::now();
    let service = parts.uri.path().split('/').nth(1).unwrap_or_default().to_owned();
    let mut answer = match serve(shared, &parts, body, started).await {
        Ok(answer) => answer,
        Err(problem) => {
            let outcome = problem.outcome;
            shared.metrics.record_request(
                &service,
                answer::outcome_label(outcome),
                elapsed_seconds(started),
            );
            info!(shared.log, "refused"; "service" => service, "reason" => problem.reason,
                "outcome" => answer::outcome_label(outcome), "request" => problem.request_text());
            problem.into_response()
        }
    };
    if shared.is_draining() {
        // Makes the caller open a new connection, which a load balancer sends to another node.
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Whether the status means that the backend server failed, rather than that the request was wrong.
fn is_backend_failure(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}

fn elapsed_seconds(started: Instant) -> f64 {
    started.elapsed().as_secs_f64()
}

/// The body of a request, as the attempts send it.
enum Content {
    /// Held in memory, so every attempt can send it.
    Buffered(Bytes),
    /// Passed on as it arrives, so only one attempt can send it.
    Streamed(OutgoingBody),
}

/// A request that is being served, with the state that serving it needs.
struct RequestContext<'a> {
    shared: &'a Arc<TrafficState>,
    snapshot: &'a Snapshot,
    service: &'a Service,
    request_head: Head,
    parts: &'a Parts,
    started: Instant,
}

/// Serves a request for a service.
async fn serve(
    shared: &Arc<TrafficState>,
    parts: &Parts,
    body: RequestBody,
    started: Instant,
) -> Result<Response<ResponseBody>, Problem> {
    let Some(in_flight_guard) = shared.try_start_request() else {
        return Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "node-full", None));
    };
    let snapshot = shared.snapshot.load_full();
    let request_head = Head::read(parts, &snapshot, &shared.settings.limits)?;
    let Some(service) = snapshot.services.get(&request_head.service) else {
        return Err(Problem::not_run(
            StatusCode::NOT_FOUND,
            "unknown-service",
            Some(&request_head.id),
        ));
    };
    let context =
        RequestContext { shared, snapshot: &snapshot, service, request_head, parts, started };
    if context.is_idempotent() {
        context.serve_retryable(body, in_flight_guard).await
    } else {
        context.serve_at_most_once(body, in_flight_guard).await
    }
}

impl RequestContext<'_> {
    /// An error answer to this request, which was not run.
    fn not_run(&self, status: StatusCode, reason: &'static str) -> Problem {
        Problem::not_run(status, reason, Some(&self.request_head.id))
    }

    /// The journal record of this request; `recorded_body` is a prefix of the body if `truncated`.
    fn build_intent(&self, recorded_body: &[u8], truncated: bool, at_most_once: bool) -> Intent {
        let path = self.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(self.parts.method.as_str().as_bytes());
        hasher.update(path.as_bytes());
        hasher.update(recorded_body);
        Intent {
            id: self.request_head.id.clone(),
            attempt: self.request_head.attempt,
            at_most_once,
            customer: self.request_head.customer.clone(),
            service: self.request_head.service.clone(),
            at: self.shared.node_incarnation.clone(),
            time_ms: clock::wall_ms(),
            method: self.parts.method.to_string(),
            path: path.to_owned(),
            head: head::header_pairs(&self.parts.headers),
            body: recorded_body.to_vec(),
            truncated,
            fingerprint: hasher.digest(),
        }
    }

    /// Serves a request that must run at most once. It is sent only after its intent is durable.
    async fn serve_at_most_once(
        &self,
        body: RequestBody,
        in_flight_guard: InFlightGuard,
    ) -> Result<Response<ResponseBody>, Problem> {
        let limit = self.shared.settings.limits.journal_body;
        let collected = body::collect(body, limit, self.request_head.deadline).await;
        let BodyStart::Whole(bytes) = collected.map_err(|err| self.body_problem(&err))? else {
            return Err(self.not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"));
        };
        // Checks admission first, so that a request that would be refused anyway is not recorded.
        let Head { service, customer, deadline, .. } = &self.request_head;
        let admission = self.service.pool.check(service, customer, *deadline);
        admission.map_err(|refusal| self.refusal_problem(refusal))?;
        let intent = self.build_intent(&bytes, false, true);
        // No slot is occupied while the intent is written, so that a slow store blocks no slots.
        loop {
            match self
                .shared
                .journal
                .submit_intent(intent.clone(), self.request_head.deadline)
                .await
            {
                Verdict::Recorded => break,
                Verdict::Refused => {
                    return Err(self.not_run(StatusCode::SERVICE_UNAVAILABLE, "not-recorded"));
                }
                Verdict::Mismatch => {
                    let status = StatusCode::UNPROCESSABLE_ENTITY;
                    return Err(self.not_run(status, "id-used-with-another-request"));
                }
                Verdict::Concluded(outcome) => {
                    return Ok(answer::replay(&self.request_head.id, &outcome));
                }
                Verdict::Open(node_incarnation) => self.wait_for_node(&node_incarnation).await?,
            }
        }
        let answer = self.run_attempts(Content::Buffered(bytes)).await?;
        Ok(self.deliver(answer, in_flight_guard))
    }

    /// Waits for one poll interval for the node that submitted the earlier intent to conclude the
    /// request. Fails if that node is gone or the deadline would pass.
    async fn wait_for_node(&self, node_incarnation: &NodeIncarnation) -> Result<(), Problem> {
        let is_alive = self.snapshot.registered.contains(node_incarnation)
            || *node_incarnation == self.shared.node_incarnation;
        let next_poll = clock::now() + OPEN_POLL_INTERVAL;
        if !is_alive || next_poll >= self.request_head.deadline {
            let reason = "open-elsewhere";
            return Err(Problem::unknown(StatusCode::CONFLICT, reason, &self.request_head.id));
        }
        tokio::time::sleep(OPEN_POLL_INTERVAL.to_std()).await;
        Ok(())
    }

    /// Serves a request that may be retried. It is recorded while it runs.
    async fn serve_retryable(
        &self,
        body: RequestBody,
        in_flight_guard: InFlightGuard,
    ) -> Result<Response<ResponseBody>, Problem> {
        let refuses_during_outage = self.service.declaration.store_outage == StoreOutage::Refuse;
        if refuses_during_outage && !self.snapshot.store_reachable {
            return Err(self.not_run(StatusCode::SERVICE_UNAVAILABLE, "store-down"));
        }
        let kept_limit = self.shared.settings.limits.kept_body;
        let collected = body::collect(body, kept_limit, self.request_head.deadline).await;
        let (content, durable) = match collected.map_err(|err| self.body_problem(&err))? {
            BodyStart::Whole(bytes) => {
                let durable = self.record_intent(&bytes, false)?;
                (Content::Buffered(bytes), durable)
            }
            BodyStart::Larger { start, rest } => {
                let durable = self.record_intent(&start, true)?;
                let limit = self.shared.settings.limits.body;
                (Content::Streamed(body::stream(start, rest, limit)), durable)
            }
        };
        let answer = self.run_attempts(content).await;
        // By now the slot is free again, unless the answer is too large to be held in memory.
        if self.service.declaration.history == HistoryRule::BeforeAnswer {
            let limit = clock::until(self.request_head.deadline);
            let _ = tokio::time::timeout(limit, durable).await;
        }
        Ok(self.deliver(answer?, in_flight_guard))
    }

    /// Passes the record of a retryable request to the journal. The receiver is told when the
    /// record is durable.
    fn record_intent(
        &self,
        recorded_body: &Bytes,
        truncated: bool,
    ) -> Result<oneshot::Receiver<bool>, Problem> {
        let record = Record::Intent(Arc::new(self.build_intent(recorded_body, truncated, false)));
        let handed_over = self.shared.journal.append_with_notice(record);
        handed_over.ok_or_else(|| self.not_run(StatusCode::SERVICE_UNAVAILABLE, "history-full"))
    }

    /// The error answer to a request whose body could not be read.
    fn body_problem(&self, err: &body::BodyError) -> Problem {
        let (status, reason) = match err {
            body::BodyError::Broken => (StatusCode::BAD_REQUEST, "body-broken"),
            body::BodyError::Slow => (StatusCode::REQUEST_TIMEOUT, "body-too-slow"),
        };
        self.not_run(status, reason)
    }

    /// Waits for a slot of a VM, outside `avoid_racks` if possible.
    async fn acquire(&self, avoid_racks: &[RackId]) -> Result<Permit, Problem> {
        let Head { service, customer, deadline, .. } = &self.request_head;
        let permit = self.service.pool.acquire(service, customer, *deadline, avoid_racks).await;
        permit.map_err(|refusal| self.refusal_problem(refusal))
    }

    /// Counts a refusal and returns the error answer for it.
    fn refusal_problem(&self, refusal: Refusal) -> Problem {
        let reason = match refusal {
            Refusal::UnknownService => "unknown-service",
            Refusal::CustomerLimit => "customer-limit",
            Refusal::TooLate => "too-late",
            Refusal::Full => "queue-full",
        };
        self.shared.metrics.record_refusal(reason);
        self.not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
    }

    /// Makes attempts until one is answered or no retry is allowed.
    async fn run_attempts(&self, content: Content) -> Result<Response<Answer>, Problem> {
        let (buffered, mut streamed) = match content {
            Content::Buffered(bytes) => (Some(bytes), None),
            Content::Streamed(body) => (None, Some(body)),
        };
        let mut avoid_racks = Vec::new();
        let mut may_have_run = false;
        self.with_budget(retry::RetryBudget::deposit);
        for attempt in 1.. {
            let body = match (&buffered, streamed.take()) {
                (Some(bytes), _) => backend::buffered_body(bytes.clone()),
                (None, Some(body)) => body,
                (None, None) => break,
            };
            let permit = match self.acquire(&avoid_racks).await {
                Ok(permit) => permit,
                Err(problem) => return Err(self.conclude_without_answer(problem, may_have_run)),
            };
            self.log_decision(&permit, attempt);
            avoid_racks.push(permit.vm.info.rack.clone());
            let (failure, reason) = match self.make_attempt(permit, body).await {
                Ok(answer) if !is_backend_failure(answer.status()) => return Ok(answer),
                Ok(answer) => {
                    // If no retry is allowed, the caller gets this answer: any answer is better
                    // than none.
                    if buffered.is_none() || !self.may_retry(Failure::Unknown) {
                        return Ok(answer);
                    }
                    (Failure::Unknown, answer.status().to_string())
                }
                Err(err) => {
                    if buffered.is_none() || !self.may_retry(err.failure) {
                        may_have_run |= err.failure == Failure::Unknown;
                        self.log_failure(attempt, &err.reason);
                        break;
                    }
                    (err.failure, err.reason)
                }
            };
            may_have_run |= failure == Failure::Unknown;
            self.log_failure(attempt, &reason);
            self.shared.metrics.record_retry(self.request_head.service.as_str());
        }
        let deadline_passed = clock::now() >= self.request_head.deadline;
        let status =
            if deadline_passed { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        Err(self.conclude_without_answer(self.not_run(status, "attempt-failed"), may_have_run))
    }

    /// Makes one attempt. The answer to a retryable request is read into memory if it is small, so
    /// that the request can be retried if the answer is cut off. This also frees the slot before
    /// the node waits for the request's record to become durable.
    async fn make_attempt(
        &self,
        permit: Permit,
        body: OutgoingBody,
    ) -> Result<Response<Answer>, AttemptError> {
        let req = head::outgoing_request(self.parts, &self.request_head, &permit.vm.info, body);
        let answer = backend::exchange(permit, req, self.request_head.deadline).await?;
        if self.is_idempotent() {
            let kept_limit = self.shared.settings.limits.kept_body;
            return Answer::read_if_small(answer, kept_limit).await;
        }
        Ok(answer)
    }

    fn is_idempotent(&self) -> bool {
        let (method, path) = (self.parts.method.as_str(), &self.request_head.path);
        self.service.declaration.is_idempotent(method, path)
    }

    /// Applies an operation to the service's retry budget.
    fn with_budget<T>(&self, operation: impl FnOnce(&mut retry::RetryBudget) -> T) -> T {
        let budget = &self.service.budget;
        operation(&mut budget.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Whether a retry is allowed after this failure; takes its price from the retry budget if so.
    fn may_retry(&self, failure: Failure) -> bool {
        // The expected duration is zero here, because the queue refuses a request that can't end
        // before its deadline.
        let can_retry = retry::may_retry(
            failure,
            self.is_idempotent(),
            self.request_head.deadline,
            Span(0),
            clock::now(),
        );
        can_retry
            && self.shared.settings.routing.retries
            && self.with_budget(retry::RetryBudget::withdraw)
    }

    /// Records that a request ended without an answer from a backend server, and returns the error
    /// answer for the caller.
    fn conclude_without_answer(&self, problem: Problem, may_have_run: bool) -> Problem {
        let kind = if may_have_run { OutcomeKind::Unknown } else { OutcomeKind::NotRun };
        self.conclude(Outcome::without_answer(kind));
        if may_have_run { problem.with_unknown_outcome() } else { problem }
    }

    /// Passes the conclusion of this request to the journal.
    fn conclude(&self, outcome: Outcome) {
        let conclusion = Conclusion {
            id: self.request_head.id.clone(),
            attempt: self.request_head.attempt,
            customer: self.request_head.customer.clone(),
            time_ms: clock::wall_ms(),
            outcome,
        };
        self.shared.journal.append(Record::Conclusion(Arc::new(conclusion)));
    }

    fn log_failure(&self, attempt: u32, reason: &str) {
        warn!(self.shared.log, "attempt failed"; "request" => %self.request_head.id,
            "service" => %self.request_head.service, "attempt" => attempt, "error" => reason);
    }

    fn log_decision(&self, permit: &Permit, attempt: u32) {
        let vm = &permit.vm;
        let (held, in_use) = vm.slots();
        info!(self.shared.log, "routed"; "request" => %self.request_head.id,
            "service" => %self.request_head.service, "vm" => %vm.info.id, "attempt" => attempt,
            "held" => held, "in_use" => in_use, "zone" => %vm.info.zone,
            "weighed" => permit.candidate_count, "waited_us" => self.started.elapsed().as_micros());
    }

    /// Builds the response to the caller from a backend server's answer; the answer is recorded
    /// while its body is passed on.
    fn deliver(
        &self,
        answer: Response<Answer>,
        in_flight_guard: InFlightGuard,
    ) -> Response<ResponseBody> {
        let (mut parts, body) = answer.into_parts();
        head::strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(hyper::header::CONTENT_LENGTH);
        let recorder = AnswerRecorder::new(self, &parts, in_flight_guard);
        answer::set_outcome_headers(&mut parts.headers, &self.request_head.id, OutcomeKind::Ran);
        let body = body.with_observer(Box::new(recorder));
        Response::from_parts(parts, ResponseBody::boxed(body))
    }
}
