//! The write-ahead journal that makes non-idempotent requests run at most once.
//!
//! The id of a request determines its partition. Each partition has one owner, which keeps the
//! newest requests in memory and writes their records to the store in numbered segments. A segment
//! is written by *create if absent* under the next number, and only if the owner's term has not
//! ended. The store thus enforces the fencing: an owner that was paused past the expiry of its
//! lease can't commit.
//!
//! Records that arrive while a segment is being written go into the next one, so the rate of writes
//! does not grow with the rate of requests. A request that must run at most once is sent only by
//! the node whose intent is durable, and only after that node was told so; a second arrival of the
//! same id is never sent. When the store's answer to a write is lost, the owner reads the segment
//! back and compares its nonce.

mod entry;
mod record;
mod replay;

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
};

pub use self::{
    entry::{Entries, Entry, Progress},
    record::{Conclusion, Intent, Outcome, OutcomeKind, Record, Segment},
    replay::{RequestHistory, recover, request_histories},
};

use crate::{RequestId, Span, Timestamp, duty::NodeIncarnation};

/// The number of a segment in its partition.
pub type Sequence = u64;

/// Identifies a call of a [`Partition`] that is answered later; the caller chooses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);

/// The answer to an intent.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The intent is durable: its submitter, and no other node, may send the request.
    Recorded,
    /// An earlier intent for the request is not concluded; the node incarnation in that intent may
    /// still send the request.
    Open(NodeIncarnation),
    /// The request was concluded with this outcome.
    Concluded(Outcome),
    /// The id was used before for a request with another method, path or body.
    Mismatch,
    /// The intent is not durable, or it is not known to be; the request must not be sent.
    Refused,
}

/// The result of writing a segment to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The segment was written.
    Done,
    /// The store rejected the write: the term has ended, or a segment with this number exists.
    Fenced,
    /// The write had no effect and may be retried.
    Failed,
    /// The write may or may not have taken effect.
    Uncertain,
}

/// An operation that a [`Partition`] asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Create the segment if its number is free and the term has not ended.
    Write(Segment),
    /// Read the segment with this number and report its nonce.
    ReadBack(Sequence),
    /// Answer the call with this token.
    Answer(Token, Verdict),
    /// Tell the caller with this token that its conclusion is durable.
    Durable(Token),
    /// End the term; the partition accepts no more records.
    Stop,
}

/// The limits of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// The most bytes of records in one segment; further records go into the next one.
    pub max_bytes: usize,
    /// The most concluded requests that are remembered to answer second arrivals.
    pub max_remembered: usize,
    /// The most concluded requests whose answer body is kept.
    pub max_answers: usize,
    /// The largest answer body that is kept, in bytes.
    pub max_answer_bytes: usize,
    /// How long a conclusion waits for an intent to share a segment with before it gets a segment
    /// of its own. No request waits for a conclusion, whereas a segment written at once would delay
    /// the intents that arrive during the write.
    pub conclusion_delay: Span,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_bytes: 512 * 1024,
            max_remembered: 100_000,
            max_answers: 1_000,
            max_answer_bytes: 16 * 1024,
            conclusion_delay: Span(100),
        }
    }
}

/// A record that is not yet in a segment.
#[derive(Clone, Debug)]
struct PendingRecord {
    token: Option<Token>,
    record: Record,
    /// When the record goes into a segment at the latest, unless another write is in flight.
    flush_deadline: Timestamp,
}

/// A segment that is being written to the store.
#[derive(Clone, Debug)]
struct InFlightWrite {
    segment: Segment,
    /// The tokens of the segment's records, in the same order.
    tokens: Vec<Option<Token>>,
    /// Intents whose submitters were refused; if the segment turns out to be written, they are
    /// concluded as not run.
    withdrawn: Vec<Arc<Intent>>,
    /// The result of an earlier attempt of this write is unknown.
    is_uncertain: bool,
    /// A later attempt was rejected, because the term has ended or the earlier attempt succeeded.
    was_fenced: bool,
}

/// The state of one partition at its owner during one term.
#[derive(Clone, Debug)]
pub struct Partition {
    cfg: Config,
    next_sequence: Sequence,
    next_nonce: u64,
    entries: Entries,
    /// Requests whose answer bodies are kept, oldest first.
    answers: VecDeque<RequestId>,
    pending: Vec<PendingRecord>,
    in_flight: Option<InFlightWrite>,
    stopped: bool,
    now: Timestamp,
}

impl Partition {
    /// Creates a partition from recovered state: the entries, in the order of their last change,
    /// and the first free segment number. `nonce` must differ between terms.
    #[must_use]
    pub fn new(cfg: Config, next_sequence: Sequence, entries: Entries, nonce: u64) -> Self {
        let mut partition = Self {
            cfg,
            next_sequence,
            next_nonce: nonce,
            entries,
            answers: VecDeque::new(),
            pending: Vec::new(),
            in_flight: None,
            stopped: false,
            now: Timestamp(0),
        };
        let ids: Vec<RequestId> = partition.entries.keys().cloned().collect();
        for id in ids {
            partition.retain_answer(id);
        }
        partition
    }

    /// The entry of a request that must run at most once.
    #[must_use]
    pub fn entry(&self, id: &RequestId) -> Option<&Entry> {
        self.entries.get(id).map(|entry| &**entry)
    }

    /// The lowest segment number that is not known to be written.
    #[must_use]
    pub fn next_sequence(&self) -> Sequence {
        self.next_sequence
    }

    /// All entries, in the order of their last change, without those whose intent is not durable.
    #[must_use]
    pub fn durable_entries(&self) -> Entries {
        let in_flight = self.in_flight.iter().flat_map(|in_flight| &in_flight.segment.records);
        let pending = self.pending.iter().map(|pending| &pending.record);
        let undurable: HashSet<&RequestId> = in_flight
            .chain(pending)
            .filter_map(|record| match record {
                Record::Intent(intent) => Some(&intent.id),
                Record::Conclusion(_) => None,
            })
            .collect();
        let durable = |id: &RequestId, entry: &Entry| !(entry.is_open() && undurable.contains(id));
        let entries = self.entries.iter().filter(|(id, entry)| durable(id, entry));
        entries.map(|(id, entry)| (id.clone(), Arc::clone(entry))).collect()
    }

    /// Sets the current time; starts a segment if a flush deadline has passed.
    pub fn advance(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.now = now;
        self.flush(out);
    }

    /// When to start a segment for the pending records; `None` if there are none or a write is in
    /// flight.
    #[must_use]
    pub fn next_flush(&self) -> Option<Timestamp> {
        if self.in_flight.is_some() {
            return None;
        }
        self.pending.iter().map(|pending| pending.flush_deadline).min()
    }

    /// Adds a record to those that wait for a segment.
    fn enqueue(&mut self, token: Option<Token>, record: Record) {
        let flush_deadline = match &record {
            Record::Intent(_) => self.now,
            Record::Conclusion(_) => self.now + self.cfg.conclusion_delay,
        };
        self.pending.push(PendingRecord { token, record, flush_deadline });
    }

    /// Handles an intent to send a request that must run at most once.
    ///
    /// The verdict follows once the intent is durable, or at once if the request is already known
    /// or the partition has stopped.
    pub fn submit_intent(&mut self, token: Token, intent: Intent, out: &mut Vec<Action>) {
        if self.stopped {
            out.push(Action::Answer(token, Verdict::Refused));
            return;
        }
        if let Some(verdict) = self.existing_verdict(&intent) {
            out.push(Action::Answer(token, verdict));
            return;
        }
        self.entries.insert(intent.id.clone(), Arc::new(Entry::open(&intent)));
        self.enqueue(Some(token), Record::Intent(Arc::new(intent)));
        self.flush(out);
    }

    /// The verdict on an intent that follows from an earlier arrival of the same request.
    fn existing_verdict(&self, intent: &Intent) -> Option<Verdict> {
        let entry = self.entries.get(&intent.id)?;
        if entry.fingerprint != intent.fingerprint {
            return Some(Verdict::Mismatch);
        }
        match &entry.progress {
            Progress::Open(sender) => Some(Verdict::Open(sender.clone())),
            // A request that certainly did not run may be retried under the same id.
            Progress::Concluded(outcome) if outcome.kind == OutcomeKind::NotRun => None,
            Progress::Concluded(outcome) => Some(Verdict::Concluded(outcome.clone())),
        }
    }

    /// Handles the conclusion of a request that ended or that certainly was not sent.
    pub fn conclude(
        &mut self,
        token: Option<Token>,
        conclusion: Arc<Conclusion>,
        out: &mut Vec<Action>,
    ) {
        if self.stopped {
            out.extend(token.map(|token| Action::Answer(token, Verdict::Refused)));
            return;
        }
        let entry = self.entries.get_mut(&conclusion.id);
        if entry.is_some_and(|entry| Arc::make_mut(entry).conclude(&conclusion)) {
            if let Some(entry) = self.entries.shift_remove(&conclusion.id) {
                self.entries.insert(conclusion.id.clone(), entry);
            }
            self.retain_answer(conclusion.id.clone());
            self.evict_oldest();
        }
        self.enqueue(token, Record::Conclusion(conclusion));
        self.flush(out);
    }

    /// Adds a record that needs no verdict: an intent to send an idempotent request, or a
    /// conclusion.
    pub fn append(&mut self, token: Token, record: Record, out: &mut Vec<Action>) {
        if self.stopped {
            out.push(Action::Answer(token, Verdict::Refused));
            return;
        }
        match record {
            Record::Intent(_) => {
                self.enqueue(Some(token), record);
                self.flush(out);
            }
            Record::Conclusion(conclusion) => self.conclude(Some(token), conclusion, out),
        }
    }

    /// Keeps the body of an answer unless it is too large; drops the oldest kept body if there are
    /// more than `max_answers`.
    fn retain_answer(&mut self, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.answer_bytes() > self.cfg.max_answer_bytes
        {
            Arc::make_mut(entry).drop_answer_body();
        }
        self.answers.push_back(id);
        if self.answers.len() <= self.cfg.max_answers {
            return;
        }
        if let Some(entry) = self.answers.pop_front().and_then(|id| self.entries.get_mut(&id)) {
            Arc::make_mut(entry).drop_answer_body();
        }
    }

    /// Evicts the oldest concluded requests beyond `max_remembered`; open ones stay.
    fn evict_oldest(&mut self) {
        let excess = self.entries.len().saturating_sub(self.cfg.max_remembered);
        // Evicting many entries at once amortizes the cost of shifting the remaining ones.
        if excess > self.cfg.max_remembered / 16 {
            let mut remaining = excess;
            self.entries.retain(|_, entry| {
                let evict = remaining > 0 && !entry.is_open();
                remaining -= usize::from(evict);
                !evict
            });
        }
    }

    /// Handles the store's answer to the write of the segment with this number.
    pub fn handle_write_result(
        &mut self,
        sequence: Sequence,
        result: WriteResult,
        out: &mut Vec<Action>,
    ) {
        if self.in_flight.as_ref().is_none_or(|in_flight| in_flight.segment.sequence != sequence) {
            return;
        }
        let is_uncertain = self.in_flight.as_ref().is_some_and(|in_flight| in_flight.is_uncertain);
        match result {
            WriteResult::Done => self.commit(out),
            // An earlier attempt of the same write may have succeeded, or may still do so.
            WriteResult::Failed if is_uncertain => out.push(Action::ReadBack(sequence)),
            WriteResult::Fenced if is_uncertain => {
                self.in_flight.iter_mut().for_each(|in_flight| in_flight.was_fenced = true);
                out.push(Action::ReadBack(sequence));
            }
            WriteResult::Failed => self.handle_failed_write(out),
            WriteResult::Fenced => self.stop(out),
            WriteResult::Uncertain => {
                self.refuse_in_flight(out);
                out.push(Action::ReadBack(sequence));
            }
        }
    }

    /// Handles the answer to [`Action::ReadBack`]: the nonce of the segment with this number, or
    /// `None` if there is no such segment.
    pub fn handle_read_back(
        &mut self,
        sequence: Sequence,
        nonce: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let Some(in_flight) = &self.in_flight else {
            return;
        };
        if in_flight.segment.sequence != sequence {
            return;
        }
        match nonce {
            Some(nonce) if nonce == in_flight.segment.nonce => self.commit(out),
            Some(_) => self.stop(out),
            None if in_flight.was_fenced => self.stop(out),
            // The lost write may still reach the store. Writing the segment again is safe, because
            // only one of the two writes can succeed and both have the same content.
            None => out.push(Action::Write(in_flight.segment.clone())),
        }
    }

    /// Completes the write in flight: answers the tokens of its records, concludes the withdrawn
    /// intents, and starts the next segment.
    fn commit(&mut self, out: &mut Vec<Action>) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        self.next_sequence = in_flight.segment.sequence + 1;
        for (record, token) in in_flight.segment.records.iter().zip(in_flight.tokens) {
            let Some(token) = token else {
                continue;
            };
            out.push(match record {
                Record::Intent(_) => Action::Answer(token, Verdict::Recorded),
                Record::Conclusion(_) => Action::Durable(token),
            });
        }
        for intent in &in_flight.withdrawn {
            self.withdraw(intent);
        }
        self.flush(out);
    }

    /// Concludes an intent as not run, because its submitter was told not to send the request.
    fn withdraw(&mut self, intent: &Intent) {
        let conclusion = Arc::new(Conclusion::not_run(intent));
        if let Some(entry) = self.entries.get_mut(&intent.id) {
            Arc::make_mut(entry).conclude(&conclusion);
        }
        self.enqueue(None, Record::Conclusion(conclusion));
    }

    /// Handles a write that had no effect: refuses all records with a token and keeps the others.
    fn handle_failed_write(&mut self, out: &mut Vec<Action>) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        let failed = in_flight.segment.records.into_iter().zip(in_flight.tokens);
        let flush_deadline = self.now;
        let failed = failed.map(|(record, token)| PendingRecord { token, record, flush_deadline });
        // The store accepts no writes at present, so the records that wait are refused as well.
        let queued = std::mem::take(&mut self.pending);
        for pending in failed.chain(queued) {
            match pending.token {
                Some(token) => {
                    self.remove_open_entry(&pending.record);
                    out.push(Action::Answer(token, Verdict::Refused));
                }
                None => self.pending.push(pending),
            }
        }
    }

    /// Removes the entry of an intent that is certainly not in the journal.
    fn remove_open_entry(&mut self, record: &Record) {
        let Record::Intent(intent) = record else {
            return;
        };
        let entry = self.entries.get(&intent.id);
        if entry.is_some_and(|entry| entry.is_open() && entry.attempt == intent.attempt) {
            self.entries.shift_remove(&intent.id);
        }
    }

    /// Refuses all records with a token in the segment being written, because it is not known to be
    /// durable.
    fn refuse_in_flight(&mut self, out: &mut Vec<Action>) {
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        in_flight.is_uncertain = true;
        for (record, token) in in_flight.segment.records.iter().zip(&mut in_flight.tokens) {
            let Some(requester) = token.take() else {
                continue;
            };
            out.push(Action::Answer(requester, Verdict::Refused));
            if let Record::Intent(intent) = record
                && intent.at_most_once
            {
                in_flight.withdrawn.push(intent.clone());
            }
        }
    }

    /// Ends the term: refuses all records with a token, in flight or pending.
    fn stop(&mut self, out: &mut Vec<Action>) {
        self.refuse_in_flight(out);
        for pending in std::mem::take(&mut self.pending) {
            out.extend(pending.token.map(|token| Action::Answer(token, Verdict::Refused)));
        }
        self.stopped = true;
        out.push(Action::Stop);
    }

    /// Starts the next segment if no write is in flight and a flush deadline has passed.
    fn flush(&mut self, out: &mut Vec<Action>) {
        if self.stopped || self.next_flush().is_none_or(|flush_at| self.now < flush_at) {
            return;
        }
        let count = count_fitting_records(&self.pending, self.cfg.max_bytes);
        let batch: Vec<PendingRecord> = self.pending.drain(..count).collect();
        let tokens = batch.iter().map(|pending| pending.token).collect();
        let records = batch.into_iter().map(|pending| pending.record).collect();
        let segment = Segment { sequence: self.next_sequence, nonce: self.next_nonce, records };
        self.next_nonce = self.next_nonce.wrapping_add(1);
        out.push(Action::Write(segment.clone()));
        self.in_flight = Some(InFlightWrite {
            segment,
            tokens,
            withdrawn: Vec::new(),
            is_uncertain: false,
            was_fenced: false,
        });
    }
}

/// The number of pending records that fit into one segment; at least one.
fn count_fitting_records(pending: &[PendingRecord], max_bytes: usize) -> usize {
    let mut bytes = 0;
    let fitting_records = pending.iter().take_while(|pending| {
        bytes += pending.record.size();
        bytes <= max_bytes
    });
    fitting_records.count().max(1)
}

#[cfg(test)]
mod model;
#[cfg(test)]
mod tests;
