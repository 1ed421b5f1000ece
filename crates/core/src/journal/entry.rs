//! What a partition stores in memory about requests that must run at most once.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{Conclusion, Intent, Outcome};
use crate::{RequestId, duty::NodeIncarnation};

/// The entries of a partition, in the order of their last change. They are shared, so that a
/// snapshot can be taken without blocking the partition.
pub type Entries = IndexMap<RequestId, Arc<Entry>>;

/// The state of a request that must run at most once.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Hash of the request's method, path and body.
    pub fingerprint: u64,
    /// Identifies the newest arrival for which an intent was submitted.
    pub attempt: u64,
    /// The progress of that arrival.
    pub progress: Progress,
}

/// The progress of one arrival of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// This node incarnation may have sent the request, or may still do so.
    Open(NodeIncarnation),
    /// The request was concluded with this outcome.
    Concluded(Outcome),
}

impl Entry {
    /// Creates the entry of a request that is not concluded.
    pub(super) fn open(intent: &Intent) -> Self {
        Self {
            fingerprint: intent.fingerprint,
            attempt: intent.attempt,
            progress: Progress::Open(intent.at.clone()),
        }
    }

    pub(super) fn is_open(&self) -> bool {
        matches!(self.progress, Progress::Open(_))
    }

    /// The size of the kept answer body, in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        match &self.progress {
            Progress::Open(_) => 0,
            Progress::Concluded(outcome) => outcome.body.len(),
        }
    }

    /// Drops the answer body, which from then on only the history contains.
    pub(super) fn drop_answer_body(&mut self) {
        if let Progress::Concluded(outcome) = &mut self.progress
            && !outcome.body.is_empty()
        {
            outcome.body = Vec::new();
            outcome.truncated = true;
        }
    }

    /// Applies a conclusion; false if the entry is not open or belongs to another arrival.
    pub(super) fn conclude(&mut self, conclusion: &Conclusion) -> bool {
        let matches_attempt = self.is_open() && self.attempt == conclusion.attempt;
        if matches_attempt {
            self.progress = Progress::Concluded(conclusion.outcome.clone());
        }
        matches_attempt
    }
}
