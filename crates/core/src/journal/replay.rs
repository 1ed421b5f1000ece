//! Reading a journal back: for its next owner, and for a customer who leaves.

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
                let known = entries.get(&intent.id);
                // The same arrival may have been written twice.
                if known.is_none_or(|known| known.attempt != intent.attempt) {
                    entries.shift_remove(&intent.id);
                    entries.insert(intent.id.clone(), Arc::new(Entry::open(&intent)));
                }
            }
            Record::Intent(_) => {}
            Record::Conclusion(end) => {
                let entry = entries.get_mut(&end.id);
                if entry.is_some_and(|entry| Arc::make_mut(entry).conclude(&end))
                    && let Some(entry) = entries.shift_remove(&end.id)
                {
                    entries.insert(end.id.clone(), entry);
                }
            }
        }
    }
    entries
}

/// One request with all that the journal says of it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHistory {
    /// The newest intent.
    pub intent: Arc<Intent>,
    /// The newest conclusion after it.
    pub conclusion: Option<Arc<Conclusion>>,
}

/// Puts intents and conclusions of one customer together, in the order of the intents' times.
#[must_use]
pub fn request_histories(records: impl IntoIterator<Item = Record>) -> Vec<RequestHistory> {
    let mut by_id: HashMap<RequestId, RequestHistory> = HashMap::new();
    let mut order: BTreeSet<(u64, RequestId)> = BTreeSet::new();
    for record in records {
        match record {
            Record::Intent(intent) => {
                let id = intent.id.clone();
                if let Some(old) = by_id.get(&id) {
                    if old.intent.attempt == intent.attempt {
                        continue;
                    }
                    order.remove(&(old.intent.time_ms, id.clone()));
                }
                order.insert((intent.time_ms, id.clone()));
                by_id.insert(id, RequestHistory { intent, conclusion: None });
            }
            Record::Conclusion(end) => {
                let story = by_id.get_mut(&end.id);
                if let Some(story) = story.filter(|story| story.intent.attempt == end.attempt) {
                    story.conclusion = Some(end);
                }
            }
        }
    }
    order.into_iter().filter_map(|(_, id)| by_id.remove(&id)).collect()
}
