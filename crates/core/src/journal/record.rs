//! The records of the journal, which are stored in segments.

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
    /// A backend server may have run it.
    Unknown,
}

/// How a request ended, with its answer if there was one.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// How it ended.
    pub kind: OutcomeKind,
    /// HTTP status of the answer; zero if there was none.
    #[serde(default)]
    pub status: u16,
    /// Header fields of the answer.
    #[serde(default)]
    pub head: Vec<(String, String)>,
    /// Body of the answer, possibly truncated.
    #[serde_as(as = "Base64")]
    #[serde(default)]
    pub body: Vec<u8>,
    /// Whether the body was longer than the part that is kept.
    #[serde(default)]
    pub truncated: bool,
}

impl Outcome {
    /// The outcome of a request that got no answer.
    #[must_use]
    pub fn without_answer(kind: OutcomeKind) -> Self {
        Self { kind, status: 0, head: Vec::new(), body: Vec::new(), truncated: false }
    }

    /// The outcome of a request that no backend server ran.
    #[must_use]
    pub fn not_run() -> Self {
        Self::without_answer(OutcomeKind::NotRun)
    }
}

/// Announces that a node is about to send a request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// Id of the request.
    pub id: RequestId,
    /// Distinguishes this arrival of the request from any other.
    pub attempt: u64,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// The customer that made the request.
    pub customer: CustomerId,
    /// The service to which the request goes.
    pub service: ServiceId,
    /// The node incarnation that will send the request.
    pub at: NodeIncarnation,
    /// When the request arrived, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// HTTP method.
    pub method: String,
    /// Path relative to the service, with the query.
    pub path: String,
    /// Header fields.
    pub head: Vec<(String, String)>,
    /// Body, possibly truncated.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
    /// Whether the body was longer than the part that is kept.
    #[serde(default)]
    pub truncated: bool,
    /// Hash of the method, path and body.
    pub fingerprint: u64,
}

/// Records how an arrival of a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Conclusion {
    /// Id of the request.
    pub id: RequestId,
    /// The arrival that ended; see [`Intent::attempt`].
    pub attempt: u64,
    /// The customer that made the request.
    pub customer: CustomerId,
    /// When the request ended, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// How the request ended.
    pub outcome: Outcome,
}

impl Conclusion {
    /// Concludes an arrival whose request was not sent and will not be.
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

/// One event in the life cycle of a request. Clones share the content.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// The request is about to be sent.
    Intent(Arc<Intent>),
    /// The request ended.
    Conclusion(Arc<Conclusion>),
}

/// Estimated size of a record without its body and header fields, in bytes.
const RECORD_OVERHEAD: usize = 512;

/// Estimated size of a header field without its name and value, in bytes.
const FIELD_OVERHEAD: usize = 64;

impl Record {
    /// The customer that made the request.
    #[must_use]
    pub fn customer(&self) -> &CustomerId {
        match self {
            Self::Intent(intent) => &intent.customer,
            Self::Conclusion(conclusion) => &conclusion.customer,
        }
    }

    /// The estimated size of the record in a segment, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let (head, body) = match self {
            Self::Intent(intent) => (&intent.head, &intent.body),
            Self::Conclusion(conclusion) => (&conclusion.outcome.head, &conclusion.outcome.body),
        };
        let head_bytes: usize =
            head.iter().map(|(name, value)| name.len() + value.len() + FIELD_OVERHEAD).sum();
        // Bodies are stored in base64.
        RECORD_OVERHEAD + head_bytes + body.len() * 4 / 3
    }
}

/// The records that one write adds to the journal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// The number of the segment in its partition.
    pub sequence: Sequence,
    /// Distinguishes this write from any other with the same number.
    pub nonce: u64,
    /// The records, in the order in which they were submitted.
    pub records: Vec<Record>,
}
