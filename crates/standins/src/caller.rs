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

use crate::{http, worker::Tally};

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
    pub patience: Duration,
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
            patience: Duration::from_secs(5),
            answer_bytes: 0,
        }
    }
}

/// What a caller learnt of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
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
pub async fn call(entry: SocketAddr, call: &Call) -> (Told, Option<Response<Bytes>>) {
    let deadline = SystemTime::now() + call.patience;
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
        return (Told::NotRun, None);
    };
    let grace = Duration::from_secs(2);
    match tokio::time::timeout(call.patience + grace, http::fetch(entry, req)).await {
        Ok(Ok(answer)) => (judge(call, &answer), Some(answer)),
        Ok(Err(_)) | Err(_) => (Told::Unknown, None),
    }
}

fn judge(call: &Call, answer: &Response<Bytes>) -> Told {
    let outcome = answer.headers().get("teaselgap-outcome").and_then(|value| value.to_str().ok());
    match outcome {
        Some("not-run") => Told::NotRun,
        Some("ran") if answer.status().is_success() => {
            let mut expected = format!("{}\n", call.id).into_bytes();
            expected.extend_from_slice(&call.body);
            expected.resize(expected.len() + call.answer_bytes, b'.');
            if *answer.body() == expected { Told::Answered } else { Told::MixedUp }
        }
        _ => Told::Unknown,
    }
}

/// What all callers were told, by request.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    told: HashMap<String, Vec<Told>>,
}

/// The callers' ledger held against the workers' tally.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
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

impl Ledger {
    /// Notes what a caller was told.
    pub fn note(&mut self, id: &str, told: Told) {
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

    /// Holds the ledger against what the workers counted. `at_most_once` tells which requests must
    /// not run twice.
    #[must_use]
    pub fn verdict(&self, tally: &Tally, at_most_once: impl Fn(&str) -> bool) -> Verdict {
        let mut verdict = Verdict { sent: self.told.len(), ..Verdict::default() };
        for (id, told) in &self.told {
            let runs = tally.runs.get(id).copied().unwrap_or(0);
            let heard = |what| told.contains(&what);
            verdict.mixed_up += usize::from(heard(Told::MixedUp));
            if heard(Told::Answered) {
                verdict.answered += 1;
                verdict.lost += usize::from(runs == 0);
            } else if told.iter().all(|told| *told == Told::NotRun) {
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
