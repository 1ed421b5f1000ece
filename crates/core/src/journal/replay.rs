//! Reads a journal back, to recover a partition for its next owner and to export the request
//! histories of a customer that leaves.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use super::{Conclusion, Entries, Entry, Intent, Record, Segment};
use crate::RequestId;

/// Rebuilds the entries of a partition from a snapshot and the segments after it.
#[must_use]
pub fn recover(mut entries: Entries, segments: impl IntoIterator<Item = Segment>) -> Entries {
    for record in segments.into_iter().flat_map(|segment| segment.records) {
        match record {
            Record::Intent(intent) if intent.at_most_once => {
                let existing = entries.get(&intent.id);
                // The journal may contain the intent of one arrival twice.
                if existing.is_none_or(|existing| existing.attempt != intent.attempt) {
                    entries.shift_remove(&intent.id);
                    entries.insert(intent.id.clone(), Arc::new(Entry::open(&intent)));
                }
            }
            Record::Intent(_) => {}
            Record::Conclusion(conclusion) => {
                let entry = entries.get_mut(&conclusion.id);
                if entry.is_some_and(|entry| Arc::make_mut(entry).conclude(&conclusion))
                    && let Some(entry) = entries.shift_remove(&conclusion.id)
                {
                    entries.insert(conclusion.id.clone(), entry);
                }
            }
        }
    }
    entries
}

/// One request with its newest records in the journal.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHistory {
    /// The newest intent.
    pub intent: Arc<Intent>,
    /// The newest conclusion of the same arrival.
    pub conclusion: Option<Arc<Conclusion>>,
}

/// Joins the intents and conclusions of one customer's requests, in the order of the intents'
/// times.
#[must_use]
pub fn request_histories(records: impl IntoIterator<Item = Record>) -> Vec<RequestHistory> {
    let mut by_id: HashMap<RequestId, RequestHistory> = HashMap::new();
    let mut by_time: BTreeSet<(u64, RequestId)> = BTreeSet::new();
    for record in records {
        match record {
            Record::Intent(intent) => {
                let id = intent.id.clone();
                if let Some(earlier) = by_id.get(&id) {
                    if earlier.intent.attempt == intent.attempt {
                        continue;
                    }
                    by_time.remove(&(earlier.intent.time_ms, id.clone()));
                }
                by_time.insert((intent.time_ms, id.clone()));
                by_id.insert(id, RequestHistory { intent, conclusion: None });
            }
            Record::Conclusion(conclusion) => {
                let history = by_id.get_mut(&conclusion.id);
                if let Some(history) =
                    history.filter(|history| history.intent.attempt == conclusion.attempt)
                {
                    history.conclusion = Some(conclusion);
                }
            }
        }
    }
    by_time.into_iter().filter_map(|(_, id)| by_id.remove(&id)).collect()
}
