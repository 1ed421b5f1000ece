//! The write-ahead journal that makes non-idempotent requests run at most once.
//!
//! Requests are spread over partitions by their id; each partition has one owner, which keeps its
//! newest requests in memory and writes what happens as numbered segments. A segment is made by
//! *create if absent* at the next number and only while the owner's term stands, so that the store
//! itself fences: an owner that was paused past its lease can't commit.
//!
//! All that arrives while one segment is being written goes into the next one, so the rate of
//! writes does not follow the rate of requests. A request that must run at most once is sent only
//! by the node whose intent is durable, and only if that node was told so; a second arrival of the
//! same id is never sent. An answer of the store that was lost is settled by reading the segment
//! back and comparing its nonce.

mod record;

use std::collections::{BTreeMap, HashMap};

use indexmap::IndexMap;

pub use record::{Conclusion, Intent, Outcome, OutcomeKind, Record, Segment};

use crate::{RequestId, duty::Life};

/// The place of a segment in its partition.
pub type Sequence = u64;

/// A caller's name for a question that is still to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);

/// The answer to an intent.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The intent is durable: the asker, and nobody else, may send the request.
    Recorded,
    /// The request is known and not concluded; the life that recorded it may still send it.
    Open(Life),
    /// The request is known and concluded.
    Concluded(Outcome),
    /// The id was used before with another body.
    Mismatch,
    /// The intent is not durable, or it is not known to be; the request must not be sent.
    Refused,
}

/// What the store said to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The segment is in place.
    Done,
    /// The term has ended, or another segment has the number.
    Fenced,
    /// The write had no effect and may be tried again.
    Failed,
    /// The write may or may not have taken effect.
    Uncertain,
}

/// What the owner's surroundings are to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Create the segment if its number is free and the term stands.
    Write(Segment),
    /// Read the segment with this number and report its nonce.
    ReadBack(Sequence),
    /// Answer an intent.
    Answer(Token, Verdict),
    /// A conclusion is durable.
    Durable(Token),
    /// The term has ended; nothing more will be done.
    Stop,
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// An intent stands without a conclusion.
    Open {
        /// Hash of the request's body and head.
        fingerprint: u64,
        /// Who recorded the intent.
        at: Life,
    },
    /// The request ended.
    Concluded {
        /// Hash of the request's body and head.
        fingerprint: u64,
        /// How it ended.
        outcome: Outcome,
    },
}

impl Entry {
    fn fingerprint(&self) -> u64 {
        match self {
            Self::Open { fingerprint, .. } | Self::Concluded { fingerprint, .. } => *fingerprint,
        }
    }
}

/// The limits of one segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Most bytes of heads and bodies in one segment; more waits for the next one.
    pub max_bytes: usize,
    /// Most concluded requests that are remembered for the sake of second arrivals.
    pub max_remembered: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self { max_bytes: 512 * 1024, max_remembered: 100_000 }
    }
}

#[derive(Clone, Debug)]
struct Pending {
    token: Option<Token>,
    record: Record,
}

#[derive(Clone, Debug)]
struct Writing {
    segment: Segment,
    tokens: Vec<Option<Token>>,
    /// Intents of this segment were refused because it was not known to be durable.
    refused: bool,
}

/// One partition at its owner, for one term.
#[derive(Clone, Debug)]
pub struct Partition {
    cfg: Config,
    next: Sequence,
    next_nonce: u64,
    entries: IndexMap<RequestId, Entry>,
    pending: Vec<Pending>,
    writing: Option<Writing>,
    stopped: bool,
}

impl Partition {
    /// A partition as recovered: the entries, in the order of their last change, and the first free
    /// number. `nonce` must differ between terms.
    #[must_use]
    pub fn new(
        cfg: Config,
        next: Sequence,
        entries: IndexMap<RequestId, Entry>,
        nonce: u64,
    ) -> Self {
        Self {
            cfg,
            next,
            next_nonce: nonce,
            entries,
            pending: Vec::new(),
            writing: None,
            stopped: false,
        }
    }

    /// What is known of a request.
    #[must_use]
    pub fn entry(&self, id: &RequestId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// All that is known, in the order of the last change, and the number that follows it. It is
    /// `None` while a segment is on its way.
    #[must_use]
    pub fn snapshot(&self) -> Option<(Sequence, &IndexMap<RequestId, Entry>)> {
        let settled = self.writing.is_none() && self.pending.is_empty();
        settled.then_some((self.next, &self.entries))
    }

    /// Records that waits for the next segment.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.pending.len()
    }

    /// Somebody wants to send a request.
    pub fn intend(&mut self, token: Token, intent: Intent, out: &mut Vec<Action>) {
        if self.stopped {
            out.push(Action::Answer(token, Verdict::Refused));
            return;
        }
        if let Some(verdict) = self.known(&intent) {
            out.push(Action::Answer(token, verdict));
            return;
        }
        let entry = Entry::Open { fingerprint: intent.fingerprint, at: intent.at.clone() };
        self.entries.insert(intent.id.clone(), entry);
        self.pending.push(Pending { token: Some(token), record: Record::Intent(intent) });
        self.flush(out);
    }

    fn known(&self, intent: &Intent) -> Option<Verdict> {
        let entry = self.entries.get(&intent.id)?;
        if entry.fingerprint() != intent.fingerprint {
            return Some(Verdict::Mismatch);
        }
        match entry {
            Entry::Open { at, .. } => Some(Verdict::Open(at.clone())),
            // What certainly did not run may be tried again under the same id.
            Entry::Concluded { outcome, .. } if outcome.kind == OutcomeKind::NotRun => None,
            Entry::Concluded { outcome, .. } => Some(Verdict::Concluded(outcome.clone())),
        }
    }

    /// A request ended, or certainly was not sent.
    pub fn conclude(&mut self, token: Option<Token>, end: Conclusion, out: &mut Vec<Action>) {
        if self.stopped {
            return;
        }
        if let Some(entry) = self.entries.get(&end.id) {
            let fingerprint = entry.fingerprint();
            let outcome = end.outcome.clone();
            self.entries.shift_remove(&end.id);
            self.entries.insert(end.id.clone(), Entry::Concluded { fingerprint, outcome });
            self.forget();
        }
        self.pending.push(Pending { token, record: Record::Conclusion(end) });
        self.flush(out);
    }

    /// Drops the oldest concluded requests beyond the bound; open ones stay.
    fn forget(&mut self) {
        let excess = self.entries.len().saturating_sub(self.cfg.max_remembered);
        // Dropping many at once keeps the cost of shifting the rest low.
        if excess > self.cfg.max_remembered / 16 {
            let mut left = excess;
            self.entries.retain(|_, entry| {
                let drop = left > 0 && matches!(entry, Entry::Concluded { .. });
                left -= usize::from(drop);
                !drop
            });
        }
    }

    /// The store answered the write of the segment with this number.
    pub fn written(&mut self, sequence: Sequence, result: Written, out: &mut Vec<Action>) {
        if self.writing.as_ref().is_none_or(|writing| writing.segment.sequence != sequence) {
            return;
        }
        match result {
            Written::Done => self.commit(out),
            Written::Fenced => self.stop(out),
            Written::Failed => self.fail(out),
            Written::Uncertain => {
                self.refuse_writing(out);
                out.push(Action::ReadBack(sequence));
            }
        }
    }

    /// The segment with this number was read: its nonce, or `None` if there is none.
    pub fn read_back(&mut self, sequence: Sequence, nonce: Option<u64>, out: &mut Vec<Action>) {
        let Some(writing) = &self.writing else {
            return;
        };
        if writing.segment.sequence != sequence {
            return;
        }
        match nonce {
            Some(nonce) if nonce == writing.segment.nonce => self.commit(out),
            Some(_) => self.stop(out),
            // The lost write can still arrive; creating the same number again is safe, because
            // only one of the two can succeed and both have the same content.
            None => out.push(Action::Write(writing.segment.clone())),
        }
    }

    fn commit(&mut self, out: &mut Vec<Action>) {
        let Some(writing) = self.writing.take() else {
            return;
        };
        self.next = writing.segment.sequence + 1;
        let refused = writing.refused;
        for (record, token) in writing.segment.records.into_iter().zip(writing.tokens) {
            match (record, token) {
                (Record::Intent(intent), _) if refused => self.withdraw(&intent),
                (Record::Intent(_), Some(token)) => {
                    out.push(Action::Answer(token, Verdict::Recorded));
                }
                (Record::Conclusion(_), Some(token)) => out.push(Action::Durable(token)),
                (_, None) => {}
            }
        }
        self.flush(out);
    }

    /// Its asker was told not to send the request, so that it certainly did not run.
    fn withdraw(&mut self, intent: &Intent) {
        let outcome = Outcome::not_run();
        let end = Conclusion {
            id: intent.id.clone(),
            customer: intent.customer.clone(),
            time_ms: intent.time_ms,
            outcome: outcome.clone(),
        };
        let entry = Entry::Concluded { fingerprint: intent.fingerprint, outcome };
        self.entries.insert(intent.id.clone(), entry);
        self.pending.push(Pending { token: None, record: Record::Conclusion(end) });
    }

    /// The write had no effect: its intents are refused, its conclusions wait.
    fn fail(&mut self, out: &mut Vec<Action>) {
        let Some(writing) = self.writing.take() else {
            return;
        };
        let mut kept = Vec::new();
        for (record, token) in writing.segment.records.into_iter().zip(writing.tokens) {
            match record {
                Record::Intent(intent) => {
                    self.entries.swap_remove(&intent.id);
                    if let (Some(token), false) = (token, writing.refused) {
                        out.push(Action::Answer(token, Verdict::Refused));
                    }
                }
                record @ Record::Conclusion(_) => kept.push(Pending { token, record }),
            }
        }
        // The failure says that the store takes nothing now, so what waits is refused as well.
        for pending in std::mem::take(&mut self.pending) {
            match pending.record {
                Record::Intent(intent) => {
                    self.entries.swap_remove(&intent.id);
                    out.extend(pending.token.map(|token| Action::Answer(token, Verdict::Refused)));
                }
                Record::Conclusion(_) => kept.push(pending),
            }
        }
        self.pending = kept;
    }

    fn refuse_writing(&mut self, out: &mut Vec<Action>) {
        let Some(writing) = &mut self.writing else {
            return;
        };
        if std::mem::replace(&mut writing.refused, true) {
            return;
        }
        for (record, token) in writing.segment.records.iter().zip(&writing.tokens) {
            if let (Record::Intent(_), Some(token)) = (record, token) {
                out.push(Action::Answer(*token, Verdict::Refused));
            }
        }
    }

    fn stop(&mut self, out: &mut Vec<Action>) {
        self.refuse_writing(out);
        for pending in std::mem::take(&mut self.pending) {
            if let (Record::Intent(_), Some(token)) = (&pending.record, pending.token) {
                out.push(Action::Answer(token, Verdict::Refused));
            }
        }
        self.stopped = true;
        out.push(Action::Stop);
    }

    /// Starts the next segment if none is on its way and something waits.
    pub fn flush(&mut self, out: &mut Vec<Action>) {
        if self.stopped || self.writing.is_some() || self.pending.is_empty() {
            return;
        }
        let count = count_that_fits(&self.pending, self.cfg.max_bytes);
        let batch: Vec<Pending> = self.pending.drain(..count).collect();
        let tokens = batch.iter().map(|pending| pending.token).collect();
        let records = batch.into_iter().map(|pending| pending.record).collect();
        let segment = Segment { sequence: self.next, nonce: self.next_nonce, records };
        self.next_nonce = self.next_nonce.wrapping_add(1);
        out.push(Action::Write(segment.clone()));
        self.writing = Some(Writing { segment, tokens, refused: false });
    }
}

/// How many records fit into one segment; at least one.
fn count_that_fits(pending: &[Pending], max_bytes: usize) -> usize {
    let mut bytes = 0;
    let fitting = pending.iter().take_while(|pending| {
        bytes += pending.record.size();
        bytes <= max_bytes
    });
    fitting.count().max(1)
}

/// Rebuilds the entries of a partition from a snapshot and the segments after it.
#[must_use]
pub fn recover(
    mut entries: IndexMap<RequestId, Entry>,
    segments: impl IntoIterator<Item = Segment>,
) -> IndexMap<RequestId, Entry> {
    for record in segments.into_iter().flat_map(|segment| segment.records) {
        match record {
            Record::Intent(intent) => {
                let entry = Entry::Open { fingerprint: intent.fingerprint, at: intent.at };
                entries.shift_remove(&intent.id);
                entries.insert(intent.id, entry);
            }
            Record::Conclusion(end) => {
                if let Some(entry) = entries.shift_remove(&end.id) {
                    let fingerprint = entry.fingerprint();
                    let outcome = end.outcome;
                    entries.insert(end.id, Entry::Concluded { fingerprint, outcome });
                }
            }
        }
    }
    entries
}

/// One request with all that the journal says of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Story {
    /// The newest intent.
    pub intent: Intent,
    /// The newest conclusion after it.
    pub conclusion: Option<Conclusion>,
}

/// Puts intents and conclusions of one customer together, in the order of the intents' times.
#[must_use]
pub fn stories(records: impl IntoIterator<Item = Record>) -> Vec<Story> {
    let mut by_id: HashMap<RequestId, Story> = HashMap::new();
    let mut order: BTreeMap<(u64, RequestId), ()> = BTreeMap::new();
    for record in records {
        match record {
            Record::Intent(intent) => {
                let id = intent.id.clone();
                if let Some(old) = by_id.get(&id) {
                    order.remove(&(old.intent.time_ms, id.clone()));
                }
                order.insert((intent.time_ms, id.clone()), ());
                by_id.insert(id, Story { intent, conclusion: None });
            }
            Record::Conclusion(end) => {
                if let Some(story) = by_id.get_mut(&end.id) {
                    story.conclusion = Some(end);
                }
            }
        }
    }
    order.into_keys().filter_map(|(_, id)| by_id.remove(&id)).collect()
}

#[cfg(test)]
mod model;
#[cfg(test)]
mod tests;
