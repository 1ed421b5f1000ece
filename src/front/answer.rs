//! Answers to callers: their header fields, the error answers of this node, and the recording of
//! answers in the journal.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    http::response::Parts,
};
use serde_json::json;
use teaselgap_core::{
    CustomerId, RequestId, ServiceId,
    journal::{Conclusion, Outcome, OutcomeKind, Record},
};
use xitca_web::body::ResponseBody;

use super::{RequestContext, elapsed_seconds, head};
use crate::{
    backend::AnswerObserver, clock, journal::JournalClient, metrics::Metrics,
    traffic::InFlightGuard,
};

/// The name of an outcome in header fields, error answers, logs and metrics.
pub(super) fn outcome_label(kind: OutcomeKind) -> &'static str {
    match kind {
        OutcomeKind::Ran => "ran",
        OutcomeKind::NotRun => "not-run",
        OutcomeKind::Unknown => "unknown",
    }
}

/// Sets the header fields that name the request and its outcome.
pub(super) fn set_outcome_headers(headers: &mut HeaderMap, id: &RequestId, kind: OutcomeKind) {
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        headers.insert(head::REQUEST, value);
    }
    headers.insert(head::OUTCOME, HeaderValue::from_static(outcome_label(kind)));
}

/// An error answer that this node gives instead of a backend server, as problem details (RFC 9457).
#[derive(Debug)]
pub(super) struct Problem {
    status: StatusCode,
    pub(super) reason: &'static str,
    pub(super) outcome: OutcomeKind,
    request: Option<RequestId>,
}

/// Value of `Retry-After` in answers with status 503, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";

impl Problem {
    /// An answer to a request that was not run and will not be.
    pub(super) fn not_run(
        status: StatusCode,
        reason: &'static str,
        request: Option<&RequestId>,
    ) -> Self {
        Self { status, reason, outcome: OutcomeKind::NotRun, request: request.cloned() }
    }

    /// An answer to a request that may have run.
    pub(super) fn unknown(status: StatusCode, reason: &'static str, request: &RequestId) -> Self {
        Self { status, reason, outcome: OutcomeKind::Unknown, request: Some(request.clone()) }
    }

    /// The same answer, for a request that may have run.
    pub(super) fn with_unknown_outcome(mut self) -> Self {
        self.outcome = OutcomeKind::Unknown;
        self
    }

    /// The id of the request; empty if the id is not known.
    pub(super) fn request_text(&self) -> String {
        self.request.as_ref().map(ToString::to_string).unwrap_or_default()
    }

    /// Builds the response to the caller.
    pub(super) fn into_response(self) -> Response<ResponseBody> {
        let detail = match self.outcome {
            OutcomeKind::Unknown => {
                "Send the same request with the same Idempotency-Key to learn how it ended; \
                 a request that must run at most once is not run again."
            }
            _ => "No backend server has acted on the request; it may be sent again.",
        };
        let body = json!({
            "type": "about:blank",
            "title": self.status.canonical_reason().unwrap_or_default(),
            "status": self.status.as_u16(),
            "detail": detail,
            "reason": self.reason,
            "outcome": outcome_label(self.outcome),
            "request": self.request_text(),
        });
        let mut response = Response::new(ResponseBody::bytes(Bytes::from(body.to_string())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("application/problem+json");
        headers.insert(CONTENT_TYPE, content_type);
        headers.insert(head::OUTCOME, HeaderValue::from_static(outcome_label(self.outcome)));
        if let Some(id) = &self.request {
            set_outcome_headers(headers, id, self.outcome);
        }
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            headers.insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
        }
        response
    }
}

/// The answer to a request that was concluded earlier: the recorded answer if the request ran and
/// its answer was recorded in full, and otherwise an error answer with the recorded outcome.
pub(super) fn replay(id: &RequestId, outcome: &Outcome) -> Response<ResponseBody> {
    if outcome.kind != OutcomeKind::Ran || outcome.truncated {
        let (status, reason) = match outcome.kind {
            OutcomeKind::Ran => (StatusCode::CONFLICT, "ran-but-answer-not-kept"),
            _ => (StatusCode::CONFLICT, "outcome-unknown"),
        };
        // The recorded outcome replaces the unknown outcome that this constructor sets.
        let problem = Problem::unknown(status, reason, id);
        return Problem { outcome: outcome.kind, ..problem }.into_response();
    }
    let mut response = Response::new(ResponseBody::bytes(Bytes::copy_from_slice(&outcome.body)));
    *response.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    for (name, value) in &outcome.head {
        if let (Ok(name), Ok(value)) =
            (name.parse::<hyper::header::HeaderName>(), HeaderValue::from_str(value))
        {
            response.headers_mut().append(name, value);
        }
    }
    response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
    set_outcome_headers(response.headers_mut(), id, OutcomeKind::Ran);
    response
}

/// Collects an answer while it is passed on, up to `kept_limit` bytes of its body, and passes its
/// record to the journal when it ends.
pub(super) struct AnswerRecorder {
    journal: JournalClient,
    metrics: Metrics,
    service: ServiceId,
    customer: CustomerId,
    id: RequestId,
    attempt: u64,
    status: StatusCode,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    kept_limit: usize,
    truncated: bool,
    started: Instant,
    /// Counts the request as in flight until its answer has ended.
    _in_flight_guard: InFlightGuard,
}

impl AnswerRecorder {
    pub(super) fn new(
        context: &RequestContext<'_>,
        parts: &Parts,
        in_flight_guard: InFlightGuard,
    ) -> Self {
        let shared = context.shared;
        let kept_limit = shared.settings.limits.kept_body.0;
        Self {
            journal: shared.journal.clone(),
            metrics: shared.metrics.clone(),
            service: context.request_head.service.clone(),
            customer: context.request_head.customer.clone(),
            id: context.request_head.id.clone(),
            attempt: context.request_head.attempt,
            status: parts.status,
            headers: head::header_pairs(&parts.headers),
            body: Vec::new(),
            kept_limit: usize::try_from(kept_limit).unwrap_or(usize::MAX),
            truncated: false,
            started: context.started,
            _in_flight_guard: in_flight_guard,
        }
    }
}

impl AnswerObserver for AnswerRecorder {
    fn on_data(&mut self, bytes: &Bytes) {
        let kept_len = self.kept_limit.saturating_sub(self.body.len()).min(bytes.len());
        self.body.extend_from_slice(&bytes[..kept_len]);
        self.truncated |= kept_len < bytes.len();
    }

    fn on_end(&mut self, is_complete: bool) {
        // The request ran even if its answer was cut off.
        let outcome = Outcome {
            kind: OutcomeKind::Ran,
            status: self.status.as_u16(),
            head: std::mem::take(&mut self.headers),
            body: std::mem::take(&mut self.body),
            truncated: self.truncated || !is_complete,
        };
        let conclusion = Conclusion {
            id: self.id.clone(),
            attempt: self.attempt,
            customer: self.customer.clone(),
            time_ms: clock::wall_ms(),
            outcome,
        };
        self.journal.append(Record::Conclusion(Arc::new(conclusion)));
        let label = if is_complete { "ran" } else { "broken-off" };
        self.metrics.record_request(self.service.as_str(), label, elapsed_seconds(self.started));
    }
}
