//! Simulated callers that record the result of each request.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use serde::Serialize;

use crate::{http, worker::RunCounts};

/// A request that a caller sends.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Request path, which begins with the service's name.
    pub path: String,
    /// Idempotency key.
    pub id: String,
    /// Customer on whose behalf the request is sent.
    pub customer: String,
    /// Request body.
    pub body: Bytes,
    /// Time that the worker spends on the request.
    pub work: Duration,
    /// Time until the request's deadline.
    pub timeout: Duration,
    /// Padding that the worker adds to the answer, in bytes.
    pub answer_bytes: usize,
}

impl Call {
    /// Creates a call for `customer-1` with a timeout of 5 s, no work and no padding.
    #[must_use]
    pub fn new(method: &'static str, path: &str, id: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            id: id.to_owned(),
            customer: "customer-1".to_owned(),
            body: Bytes::from(format!("body of {id}")),
            work: Duration::ZERO,
            timeout: Duration::from_secs(5),
            answer_bytes: 0,
        }
    }
}

/// What a caller knows about its request after the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallResult {
    /// The caller received the complete answer to this request.
    Answered,
    /// The caller was told that the request did not run.
    NotRun,
    /// The caller can't tell whether the request ran: no answer, an incomplete one, or an error.
    Unknown,
    /// The caller received the answer to another request.
    MixedUp,
}

/// Sends a call and classifies the answer. Waits for it up to 2 s past the call's deadline.
pub async fn call(entry: SocketAddr, call: &Call) -> (CallResult, Option<Response<Bytes>>) {
    let deadline = SystemTime::now() + call.timeout;
    let deadline_ms = deadline.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
    let req = Request::builder()
        .method(call.method)
        .uri(&call.path)
        .header("host", entry.to_string())
        .header("idempotency-key", &call.id)
        .header("teaselgap-customer", &call.customer)
        .header("teaselgap-deadline", deadline_ms.to_string())
        .header("standin-work-ms", call.work.as_millis().to_string())
        .header("standin-answer-bytes", call.answer_bytes.to_string())
        .body(Full::new(call.body.clone()));
    let Ok(req) = req else {
        return (CallResult::NotRun, None);
    };
    let grace = Duration::from_secs(2);
    match tokio::time::timeout(call.timeout + grace, http::fetch(entry, req)).await {
        Ok(Ok(answer)) => (classify_answer(call, &answer), Some(answer)),
        Ok(Err(_)) | Err(_) => (CallResult::Unknown, None),
    }
}

fn classify_answer(call: &Call, answer: &Response<Bytes>) -> CallResult {
    let outcome = answer.headers().get("teaselgap-outcome").and_then(|value| value.to_str().ok());
    match outcome {
        Some("not-run") => CallResult::NotRun,
        Some("ran") if answer.status().is_success() => {
            let mut expected = format!("{}\n", call.id).into_bytes();
            expected.extend_from_slice(&call.body);
            expected.resize(expected.len() + call.answer_bytes, b'.');
            if *answer.body() == expected { CallResult::Answered } else { CallResult::MixedUp }
        }
        _ => CallResult::Unknown,
    }
}

/// The results that callers received, by request id.
#[derive(Clone, Debug, Default)]
pub struct CallLog {
    results: HashMap<String, Vec<CallResult>>,
}

/// Counts of requests, from comparing the callers' results with the workers' run counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallSummary {
    /// Requests that callers sent.
    pub sent: usize,
    /// Requests whose caller received the complete answer.
    pub answered: usize,
    /// Requests whose caller was told that they did not run.
    pub not_run: usize,
    /// Requests whose caller can't tell whether they ran.
    pub unknown: usize,
    /// Requests that were answered but that no worker ran, or that were reported as not run but
    /// that a worker ran.
    pub lost: usize,
    /// Requests that must run at most once but ran more than once.
    pub doubled: usize,
    /// Requests whose caller received the answer to another request.
    pub mixed_up: usize,
    /// Requests whose connection to the worker closed while they ran.
    pub cut_off: usize,
}

impl CallLog {
    /// Records the result of a call.
    pub fn record(&mut self, id: &str, result: CallResult) {
        self.results.entry(id.to_owned()).or_default().push(result);
    }

    /// Number of requests with a recorded result.
    #[must_use]
    pub fn len(&self) -> usize {
        self.results.len()
    }

    /// Whether no result was recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    /// Compares the recorded results with the workers' run counts. `at_most_once` is true for the
    /// id of a request that must not run twice.
    #[must_use]
    pub fn summarize(
        &self,
        run_counts: &RunCounts,
        at_most_once: impl Fn(&str) -> bool,
    ) -> CallSummary {
        let mut summary = CallSummary { sent: self.results.len(), ..CallSummary::default() };
        for (id, results) in &self.results {
            let runs = run_counts.runs.get(id).copied().unwrap_or(0);
            let has_result = |result| results.contains(&result);
            summary.mixed_up += usize::from(has_result(CallResult::MixedUp));
            if has_result(CallResult::Answered) {
                summary.answered += 1;
                summary.lost += usize::from(runs == 0);
            } else if results.iter().all(|result| *result == CallResult::NotRun) {
                summary.not_run += 1;
                summary.lost += usize::from(runs > 0);
            } else {
                summary.unknown += 1;
            }
            summary.doubled += usize::from(runs > 1 && at_most_once(id));
        }
        summary.cut_off = run_counts.cut_off.len();
        summary
    }
}
