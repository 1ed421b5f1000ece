//! What a segment of the journal holds.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use super::Sequence;
use crate::{CustomerId, RequestId, ServiceId, duty::NodeIncarnation};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// A backend server ran it.
    Ran,
    /// No backend server ran it.
    NotRun,
    /// It may have run.
    Unknown,
}

/// How a request ended and what was answered.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// How it ended.
    pub kind: OutcomeKind,
    /// Status of the answer; zero if there was none.
    #[serde(default)]
    pub status: u16,
    /// Head fields of the answer.
    #[serde(default)]
    pub head: Vec<(String, String)>,
    /// Body of the answer, as far as it is kept.
    #[serde_as(as = "Base64")]
    #[serde(default)]
    pub body: Vec<u8>,
    /// Whether the body was longer than what is kept.
    #[serde(default)]
    pub truncated: bool,
}

impl Outcome {
    /// An end without an answer.
    #[must_use]
    pub fn without_answer(kind: OutcomeKind) -> Self {
        Self { kind, status: 0, head: Vec::new(), body: Vec::new(), truncated: false }
    }

    /// The end of a request that no backend server ran.
    #[must_use]
    pub fn not_run() -> Self {
        Self::without_answer(OutcomeKind::NotRun)
    }
}

/// Somebody is about to send a request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// The request.
    pub id: RequestId,
    /// Tells this arrival of the request from any other.
    pub attempt: u64,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// On whose behalf.
    pub customer: CustomerId,
    /// To which service.
    pub service: ServiceId,
    /// Who will send it.
    pub at: NodeIncarnation,
    /// When it arrived, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Method.
    pub method: String,
    /// Path below the service, with the query.
    pub path: String,
    /// Head fields.
    pub head: Vec<(String, String)>,
    /// Body, as far as it is kept.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
    /// Whether the body was longer than what is kept.
    #[serde(default)]
    pub truncated: bool,
    /// Hash of method, path and body.
    pub fingerprint: u64,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Conclusion {
    /// The request.
    pub id: RequestId,
    /// The arrival that ended.
    pub attempt: u64,
    /// On whose behalf.
    pub customer: CustomerId,
    /// When it ended, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// How it ended.
    pub outcome: Outcome,
}

impl Conclusion {
    /// The end of an arrival whose request was not and will not be sent.
    #[must_use]
    pub fn not_run(intent: &Intent) -> Self {
        Self {
            id: intent.id.clone(),
            attempt: intent.attempt,
            customer: intent.customer.clone(),
            time_ms: intent.time_ms,
            outcome: Outcome::not_run(),
        }
    }
}

/// One thing that happened to a request. Copies share the content.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// It is about to be sent.
    Intent(Arc<Intent>),
    /// It ended.
    Conclusion(Arc<Conclusion>),
}

/// Bytes that a record takes besides its body and head.
const RECORD_OVERHEAD: usize = 512;

/// Bytes that a head field takes besides its name and value.
const FIELD_OVERHEAD: usize = 64;

impl Record {
    /// On whose behalf the request was made.
    #[must_use]
    pub fn customer(&self) -> &CustomerId {
        match self {
            Self::Intent(intent) => &intent.customer,
            Self::Conclusion(end) => &end.customer,
        }
    }

    /// About how many bytes the record takes.
    #[must_use]
    pub fn size(&self) -> usize {
        let (head, body) = match self {
            Self::Intent(intent) => (&intent.head, &intent.body),
            Self::Conclusion(end) => (&end.outcome.head, &end.outcome.body),
        };
        let head: usize =
            head.iter().map(|(name, value)| name.len() + value.len() + FIELD_OVERHEAD).sum();
        // Bodies are written in base64.
        RECORD_OVERHEAD + head + body.len() * 4 / 3
    }
}

/// What one write of the journal holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// Its place in the partition.
    pub sequence: Sequence,
    /// Tells this write from any other at the same place.
    pub nonce: u64,
    /// What happened, in order.
    pub records: Vec<Record>,
}
