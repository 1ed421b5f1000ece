//! Requests of callers, from their heads to their answers.

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
    backend::{self, Answer, AttemptError, OutBody},
    clock,
    traffic::{InFlightGuard, Permit, Service, Shared, Snapshot},
};

/// A request of a caller as the library hands it over.
pub(crate) type InRequest = Request<RequestExt<RequestBody>>;

/// How often a request that is open at another node is asked for again.
const OPEN_POLL: Span = Span(50);

/// Answers any request.
pub(crate) async fn handle(shared: &Arc<Shared>, req: InRequest) -> Response<ResponseBody> {
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
            shared.metrics.request(&service, answer::outcome_label(outcome), seconds(started));
            info!(shared.log, "refused"; "service" => service, "reason" => problem.reason,
                "outcome" => answer::outcome_label(outcome), "request" => problem.request_text());
            problem.into_response()
        }
    };
    if shared.is_draining() {
        // The caller's next request goes to another node.
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Whether an answer says that the backend server failed, rather than what the caller asked.
fn is_failure(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}

fn seconds(started: Instant) -> f64 {
    started.elapsed().as_secs_f64()
}

/// The body of a request.
enum Content {
    /// It can be sent again.
    Whole(Bytes),
    /// It is passed on as it arrives.
    Stream(OutBody),
}

/// One request on its way through the node.
struct RequestContext<'a> {
    shared: &'a Arc<Shared>,
    snapshot: &'a Snapshot,
    service: &'a Service,
    head: Head,
    parts: &'a Parts,
    started: Instant,
}

async fn serve(
    shared: &Arc<Shared>,
    parts: &Parts,
    body: RequestBody,
    started: Instant,
) -> Result<Response<ResponseBody>, Problem> {
    let Some(in_flight_guard) = shared.try_enter() else {
        return Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "node-full", None));
    };
    let snapshot = shared.snapshot.load_full();
    let head = Head::read(parts, &snapshot, &shared.settings.limits)?;
    let Some(service) = snapshot.services.get(&head.service) else {
        return Err(Problem::not_run(StatusCode::NOT_FOUND, "unknown-service", Some(&head.id)));
    };
    let context = RequestContext { shared, snapshot: &snapshot, service, head, parts, started };
    if context.is_idempotent() {
        context.retryable(body, in_flight_guard).await
    } else {
        context.at_most_once(body, in_flight_guard).await
    }
}

impl RequestContext<'_> {
    fn not_run(&self, status: StatusCode, reason: &'static str) -> Problem {
        Problem::not_run(status, reason, Some(&self.head.id))
    }

    fn intent(&self, kept: &[u8], truncated: bool, at_most_once: bool) -> Intent {
        let path = self.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(self.parts.method.as_str().as_bytes());
        hasher.update(path.as_bytes());
        hasher.update(kept);
        Intent {
            id: self.head.id.clone(),
            attempt: self.head.attempt,
            at_most_once,
            customer: self.head.customer.clone(),
            service: self.head.service.clone(),
            at: self.shared.node_incarnation.clone(),
            time_ms: clock::wall_ms(),
            method: self.parts.method.to_string(),
            path: path.to_owned(),
            head: head::header_pairs(&self.parts.headers),
            body: kept.to_vec(),
            truncated,
            fingerprint: hasher.digest(),
        }
    }

    /// Serves a request that must run at most once: its intent is durable before it is sent.
    async fn at_most_once(
        &self,
        body: RequestBody,
        in_flight_guard: InFlightGuard,
    ) -> Result<Response<ResponseBody>, Problem> {
        let limit = self.shared.settings.limits.journal_body;
        let collected = body::collect(body, limit, self.head.deadline).await;
        let BodyStart::Whole(bytes) = collected.map_err(|err| self.body_problem(&err))? else {
            return Err(self.not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"));
        };
        // A refusal that can be foreseen costs no record.
        let Head { service, customer, deadline, .. } = &self.head;
        let foreseen = self.service.pool.check(service, customer, *deadline);
        foreseen.map_err(|refusal| self.refusal(refusal))?;
        let intent = self.intent(&bytes, false, true);
        // No slot is held meanwhile, so that a slow store takes no slots from other work.
        loop {
            match self.shared.journal.submit_intent(intent.clone(), self.head.deadline).await {
                Verdict::Recorded => break,
                Verdict::Refused => {
                    return Err(self.not_run(StatusCode::SERVICE_UNAVAILABLE, "not-recorded"));
                }
                Verdict::Mismatch => {
                    let status = StatusCode::UNPROCESSABLE_ENTITY;
                    return Err(self.not_run(status, "id-used-with-another-request"));
                }
                Verdict::Concluded(outcome) => {
                    return Ok(answer::replay(&self.head.id, &outcome));
                }
                Verdict::Open(node_incarnation) => self.wait_for_other(&node_incarnation).await?,
            }
        }
        let answer = self.run(Content::Whole(bytes)).await?;
        Ok(self.deliver(answer, in_flight_guard))
    }

    /// Waits a little for the node that has the request; it is known not to have ended yet.
    async fn wait_for_other(&self, node_incarnation: &NodeIncarnation) -> Result<(), Problem> {
        let alive = self.snapshot.registered.contains(node_incarnation)
            || *node_incarnation == self.shared.node_incarnation;
        let next = clock::now() + OPEN_POLL;
        if !alive || next >= self.head.deadline {
            let reason = "open-elsewhere";
            return Err(Problem::unknown(StatusCode::CONFLICT, reason, &self.head.id));
        }
        tokio::time::sleep(OPEN_POLL.to_std()).await;
        Ok(())
    }

    /// Serves a request that may be retried: it is recorded while it runs.
    async fn retryable(
        &self,
        body: RequestBody,
        in_flight_guard: InFlightGuard,
    ) -> Result<Response<ResponseBody>, Problem> {
        let refuses = self.service.declaration.store_outage == StoreOutage::Refuse;
        if refuses && !self.snapshot.store_reachable {
            return Err(self.not_run(StatusCode::SERVICE_UNAVAILABLE, "store-down"));
        }
        let kept = self.shared.settings.limits.kept_body;
        let collected = body::collect(body, kept, self.head.deadline).await;
        let (content, durable) = match collected.map_err(|err| self.body_problem(&err))? {
            BodyStart::Whole(bytes) => {
                let durable = self.record(&bytes, false)?;
                (Content::Whole(bytes), durable)
            }
            BodyStart::Larger { start, rest } => {
                let durable = self.record(&start, true)?;
                let limit = self.shared.settings.limits.body;
                (Content::Stream(body::stream(start, rest, limit)), durable)
            }
        };
        let answer = self.run(content).await;
        // By now the slot is free again unless the answer is a large one.
        if self.service.declaration.history == HistoryRule::BeforeAnswer {
            let limit = clock::until(self.head.deadline);
            let _ = tokio::time::timeout(limit, durable).await;
        }
        Ok(self.deliver(answer?, in_flight_guard))
    }

    /// Hands the record of a retryable request over; the receiver tells when it is durable.
    fn record(&self, kept: &Bytes, truncated: bool) -> Result<oneshot::Receiver<bool>, Problem> {
        let record = Record::Intent(Arc::new(self.intent(kept, truncated, false)));
        let handed_over = self.shared.journal.append_with_notice(record);
        handed_over.ok_or_else(|| self.not_run(StatusCode::SERVICE_UNAVAILABLE, "history-full"))
    }

    fn body_problem(&self, err: &body::BodyError) -> Problem {
        let (status, reason) = match err {
            body::BodyError::Broken => (StatusCode::BAD_REQUEST, "body-broken"),
            body::BodyError::Slow => (StatusCode::REQUEST_TIMEOUT, "body-too-slow"),
        };
        self.not_run(status, reason)
    }

    async fn acquire(&self, avoid: &[RackId]) -> Result<Permit, Problem> {
        let Head { service, customer, deadline, .. } = &self.head;
        let permit = self.service.pool.acquire(service, customer, *deadline, avoid).await;
        permit.map_err(|refusal| self.refusal(refusal))
    }

    fn refusal(&self, refusal: Refusal) -> Problem {
        let reason = match refusal {
            Refusal::UnknownService => "unknown-service",
            Refusal::CustomerLimit => "customer-limit",
            Refusal::TooLate => "too-late",
            Refusal::Full => "queue-full",
        };
        self.shared.metrics.record_refusal(reason);
        self.not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
    }

    /// Makes attempts until one brings an answer or none may follow.
    async fn run(&self, content: Content) -> Result<Response<Answer>, Problem> {
        let (kept, mut stream) = match content {
            Content::Whole(bytes) => (Some(bytes), None),
            Content::Stream(body) => (None, Some(body)),
        };
        let mut avoid = Vec::new();
        let mut may_have_run = false;
        self.budget(retry::RetryBudget::deposit);
        for attempt in 1.. {
            let body = match (&kept, stream.take()) {
                (Some(bytes), _) => backend::whole_body(bytes.clone()),
                (None, Some(stream)) => stream,
                (None, None) => break,
            };
            let permit = match self.acquire(&avoid).await {
                Ok(permit) => permit,
                Err(problem) => return Err(self.ended(problem, may_have_run)),
            };
            self.log_decision(&permit, attempt);
            avoid.push(permit.vm.info.rack.clone());
            let (failure, reason) = match self.attempt(permit, body).await {
                Ok(answer) if !is_failure(answer.status()) => return Ok(answer),
                Ok(answer) => {
                    // An answer of any kind is better than none, so it goes out if it is the last.
                    if kept.is_none() || !self.may_retry(Failure::Unknown) {
                        return Ok(answer);
                    }
                    (Failure::Unknown, answer.status().to_string())
                }
                Err(err) => {
                    if kept.is_none() || !self.may_retry(err.failure) {
                        may_have_run |= err.failure == Failure::Unknown;
                        self.log_failure(attempt, &err.reason);
                        break;
                    }
                    (err.failure, err.reason)
                }
            };
            may_have_run |= failure == Failure::Unknown;
            self.log_failure(attempt, &reason);
            self.shared.metrics.record_retry(self.head.service.as_str());
        }
        let late = clock::now() >= self.head.deadline;
        let status = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        Err(self.ended(self.not_run(status, "attempt-failed"), may_have_run))
    }

    /// One attempt. The answer to a retryable request is read whole if it is small, so that one
    /// that breaks off can be repeated and its slot is free while its record is awaited.
    async fn attempt(
        &self,
        permit: Permit,
        body: OutBody,
    ) -> Result<Response<Answer>, AttemptError> {
        let req = head::outgoing_request(self.parts, &self.head, &permit.vm.info, body);
        let answer = backend::exchange(permit, req, self.head.deadline).await?;
        if self.is_idempotent() {
            let kept = self.shared.settings.limits.kept_body;
            return Answer::read_if_small(answer, kept).await;
        }
        Ok(answer)
    }

    fn is_idempotent(&self) -> bool {
        let (method, path) = (self.parts.method.as_str(), &self.head.path);
        self.service.declaration.is_idempotent(method, path)
    }

    fn budget<T>(&self, act: impl FnOnce(&mut retry::RetryBudget) -> T) -> T {
        let budget = &self.service.budget;
        act(&mut budget.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    fn may_retry(&self, failure: Failure) -> bool {
        // The queue refuses what could not end in time, so nothing is added for the attempt here.
        let safe = retry::may_retry(
            failure,
            self.is_idempotent(),
            self.head.deadline,
            Span(0),
            clock::now(),
        );
        safe && self.shared.settings.routing.retries && self.budget(retry::RetryBudget::withdraw)
    }

    /// Records the end of a request that brought no answer.
    fn ended(&self, problem: Problem, may_have_run: bool) -> Problem {
        let kind = if may_have_run { OutcomeKind::Unknown } else { OutcomeKind::NotRun };
        self.conclude(Outcome::without_answer(kind));
        if may_have_run { problem.with_unknown_outcome() } else { problem }
    }

    fn conclude(&self, outcome: Outcome) {
        let end = Conclusion {
            id: self.head.id.clone(),
            attempt: self.head.attempt,
            customer: self.head.customer.clone(),
            time_ms: clock::wall_ms(),
            outcome,
        };
        self.shared.journal.append(Record::Conclusion(Arc::new(end)));
    }

    fn log_failure(&self, attempt: u32, reason: &str) {
        warn!(self.shared.log, "attempt failed"; "request" => %self.head.id,
            "service" => %self.head.service, "attempt" => attempt, "error" => reason);
    }

    fn log_decision(&self, permit: &Permit, attempt: u32) {
        let vm = &permit.vm;
        let (held, in_use) = vm.slots();
        info!(self.shared.log, "routed"; "request" => %self.head.id,
            "service" => %self.head.service, "vm" => %vm.info.id, "attempt" => attempt,
            "held" => held, "in_use" => in_use, "zone" => %vm.info.zone,
            "weighed" => permit.candidate_count, "waited_us" => self.started.elapsed().as_micros());
    }

    /// Passes an answer on, and records it as it goes by.
    fn deliver(
        &self,
        answer: Response<Answer>,
        in_flight_guard: InFlightGuard,
    ) -> Response<ResponseBody> {
        let (mut parts, body) = answer.into_parts();
        head::strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(hyper::header::CONTENT_LENGTH);
        let recorder = AnswerRecorder::new(self, &parts, in_flight_guard);
        answer::set_outcome_headers(&mut parts.headers, &self.head.id, OutcomeKind::Ran);
        let body = body.with_observer(Box::new(recorder));
        Response::from_parts(parts, ResponseBody::boxed(body))
    }
}
