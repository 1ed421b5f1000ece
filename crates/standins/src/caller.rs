//! Stand-ins for callers, which count what they were told.

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

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: &'static str,
    /// Service and path.
    pub path: String,
    /// Idempotency key.
    pub id: String,
    /// On whose behalf.
    pub customer: String,
    /// Body.
    pub body: Bytes,
    /// How long the work takes at the worker.
    pub work: Duration,
    /// How long the caller waits.
    pub timeout: Duration,
    /// Bytes that pad the answer.
    pub answer_bytes: usize,
}

impl Call {
    /// A call with ordinary limits.
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

/// What a caller learnt of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallResult {
    /// The whole answer to this very request.
    Answered,
    /// It was not run.
    NotRun,
    /// Nothing certain, or an answer that broke off.
    Unknown,
    /// An answer that is not this request's.
    MixedUp,
}

/// Sends a call and judges the answer.
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

/// What all callers were told, by request.
#[derive(Clone, Debug, Default)]
pub struct CallLog {
    told: HashMap<String, Vec<CallResult>>,
}

/// The callers' log of calls compared with the run counts of the workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallSummary {
    /// Requests that callers made.
    pub sent: usize,
    /// Requests whose caller got the whole answer.
    pub answered: usize,
    /// Requests whose caller was told that they were not run.
    pub not_run: usize,
    /// Requests whose caller learnt nothing certain.
    pub unknown: usize,
    /// Requests that were answered although no worker ran them, or told not to be run although one
    /// did.
    pub lost: usize,
    /// Requests that must run at most once and ran more often.
    pub doubled: usize,
    /// Requests whose caller got another's answer.
    pub mixed_up: usize,
    /// Requests whose connection went away while a worker ran them.
    pub cut_off: usize,
}

impl CallLog {
    /// Records what a caller was told.
    pub fn record(&mut self, id: &str, told: CallResult) {
        self.told.entry(id.to_owned()).or_default().push(told);
    }

    /// Requests that callers were told of.
    #[must_use]
    pub fn len(&self) -> usize {
        self.told.len()
    }

    /// Whether no caller was told anything.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// Compares the log with what the workers counted. `at_most_once` tells which requests must
    /// not run twice.
    #[must_use]
    pub fn summarize(&self, tally: &RunCounts, at_most_once: impl Fn(&str) -> bool) -> CallSummary {
        let mut verdict = CallSummary { sent: self.told.len(), ..CallSummary::default() };
        for (id, told) in &self.told {
            let runs = tally.runs.get(id).copied().unwrap_or(0);
            let heard = |what| told.contains(&what);
            verdict.mixed_up += usize::from(heard(CallResult::MixedUp));
            if heard(CallResult::Answered) {
                verdict.answered += 1;
                verdict.lost += usize::from(runs == 0);
            } else if told.iter().all(|told| *told == CallResult::NotRun) {
                verdict.not_run += 1;
                verdict.lost += usize::from(runs > 0);
            } else {
                verdict.unknown += 1;
            }
            verdict.doubled += usize::from(runs > 1 && at_most_once(id));
        }
        verdict.cut_off = tally.cut_off.len();
        verdict
    }
}
