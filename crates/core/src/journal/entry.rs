//! What a partition remembers of requests that must run at most once.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{Conclusion, Intent, Outcome};
use crate::{RequestId, duty::NodeIncarnation};

/// What a partition knows, in the order of the last change. Entries are shared so that a snapshot
/// can be taken without holding up the partition.
pub type Entries = IndexMap<RequestId, Arc<Entry>>;

/// What is known of a request that must run at most once.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Hash of the request's method, path and body.
    pub fingerprint: u64,
    /// The newest arrival whose intent was recorded.
    pub attempt: u64,
    /// How far that arrival has come.
    pub progress: Progress,
}

/// How far an arrival of a request has come.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// This node incarnation may have sent the request, or may still do so.
    Open(NodeIncarnation),
    /// It ended.
    Concluded(Outcome),
}

impl Entry {
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

    /// Bytes of the body of the answer that is kept.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        match &self.progress {
            Progress::Open(_) => 0,
            Progress::Concluded(outcome) => outcome.body.len(),
        }
    }

    /// Forgets the body of an answer, which is then only in the history.
    pub(super) fn drop_answer(&mut self) {
        if let Progress::Concluded(outcome) = &mut self.progress
            && !outcome.body.is_empty()
        {
            outcome.body = Vec::new();
            outcome.truncated = true;
        }
    }

    /// Takes in the end of an arrival; false if it is not the one that is open here.
    pub(super) fn conclude(&mut self, end: &Conclusion) -> bool {
        let applies = self.is_open() && self.attempt == end.attempt;
        if applies {
            self.progress = Progress::Concluded(end.outcome.clone());
        }
        applies
    }
}
