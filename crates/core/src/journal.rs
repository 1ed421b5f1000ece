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
    /// The request is known and not concluded; the node incarnation that recorded it may still
    /// send it.
    Open(NodeIncarnation),
    /// The request is known and concluded.
    Concluded(Outcome),
    /// The id was used before with another body.
    Mismatch,
    /// The intent is not durable, or it is not known to be; the request must not be sent.
    Refused,
}

/// What the store said to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
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

/// The limits of one segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Most bytes of heads and bodies in one segment; more waits for the next one.
    pub max_bytes: usize,
    /// Most concluded requests that are remembered for the sake of second arrivals.
    pub max_remembered: usize,
    /// Of those, how many keep the body of their answer.
    pub max_answers: usize,
    /// The largest body that is kept, in bytes.
    pub max_answer_bytes: usize,
    /// How long conclusions wait for an intent to travel with before they get a segment of their
    /// own. Nobody waits for a conclusion, and a segment that starts now would hold up the intents
    /// that arrive meanwhile.
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

#[derive(Clone, Debug)]
struct Pending {
    token: Option<Token>,
    record: Record,
    /// A segment is started for it at this point at the latest.
    flush_deadline: Timestamp,
}

#[derive(Clone, Debug)]
struct Writing {
    segment: Segment,
    tokens: Vec<Option<Token>>,
    /// Intents whose askers were refused; if the segment is in place after all, they are concluded.
    withdrawn: Vec<Arc<Intent>>,
    /// The answer to an earlier try was lost.
    doubtful: bool,
    /// A later try was refused, by the end of the term or by the earlier try.
    fenced: bool,
}

/// One partition at its owner, for one term.
#[derive(Clone, Debug)]
pub struct Partition {
    cfg: Config,
    next: Sequence,
    next_nonce: u64,
    entries: Entries,
    /// Requests whose answers' bodies are kept, oldest first.
    answers: VecDeque<RequestId>,
    pending: Vec<Pending>,
    writing: Option<Writing>,
    stopped: bool,
    now: Timestamp,
}

impl Partition {
    /// A partition as recovered: the entries, in the order of their last change, and the first free
    /// number. `nonce` must differ between terms.
    #[must_use]
    pub fn new(cfg: Config, next: Sequence, entries: Entries, nonce: u64) -> Self {
        let mut partition = Self {
            cfg,
            next,
            next_nonce: nonce,
            entries,
            answers: VecDeque::new(),
            pending: Vec::new(),
            writing: None,
            stopped: false,
            now: Timestamp(0),
        };
        let ids: Vec<RequestId> = partition.entries.keys().cloned().collect();
        for id in ids {
            partition.keep_answer(id);
        }
        partition
    }

    /// What is known of a request.
    #[must_use]
    pub fn entry(&self, id: &RequestId) -> Option<&Entry> {
        self.entries.get(id).map(|entry| &**entry)
    }

    /// The number of the next segment that is not in place yet.
    #[must_use]
    pub fn next_sequence(&self) -> Sequence {
        self.next
    }

    /// All that is known, in the order of the last change, but for intents that are not durable.
    #[must_use]
    pub fn durable_entries(&self) -> Entries {
        let writing = self.writing.iter().flat_map(|writing| &writing.segment.records);
        let pending = self.pending.iter().map(|pending| &pending.record);
        let open: HashSet<&RequestId> = writing
            .chain(pending)
            .filter_map(|record| match record {
                Record::Intent(intent) => Some(&intent.id),
                Record::Conclusion(_) => None,
            })
            .collect();
        let durable = |id: &RequestId, entry: &Entry| !(entry.is_open() && open.contains(id));
        let entries = self.entries.iter().filter(|(id, entry)| durable(id, entry));
        entries.map(|(id, entry)| (id.clone(), Arc::clone(entry))).collect()
    }

    /// It is `now`; starts a segment if one is due.
    pub fn advance(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.now = now;
        self.flush(out);
    }

    /// When a segment is to be started for what waits, unless one is under way.
    #[must_use]
    pub fn next_flush(&self) -> Option<Timestamp> {
        if self.writing.is_some() {
            return None;
        }
        self.pending.iter().map(|pending| pending.flush_deadline).min()
    }

    fn wait(&mut self, token: Option<Token>, record: Record) {
        let flush_deadline = match &record {
            Record::Intent(_) => self.now,
            Record::Conclusion(_) => self.now + self.cfg.conclusion_delay,
        };
        self.pending.push(Pending { token, record, flush_deadline });
    }

    /// Somebody wants to send a request.
    pub fn submit_intent(&mut self, token: Token, intent: Intent, out: &mut Vec<Action>) {
        if self.stopped {
            out.push(Action::Answer(token, Verdict::Refused));
            return;
        }
        if let Some(verdict) = self.known(&intent) {
            out.push(Action::Answer(token, verdict));
            return;
        }
        self.entries.insert(intent.id.clone(), Arc::new(Entry::open(&intent)));
        self.wait(Some(token), Record::Intent(Arc::new(intent)));
        self.flush(out);
    }

    fn known(&self, intent: &Intent) -> Option<Verdict> {
        let entry = self.entries.get(&intent.id)?;
        if entry.fingerprint != intent.fingerprint {
            return Some(Verdict::Mismatch);
        }
        match &entry.progress {
            Progress::Open(at) => Some(Verdict::Open(at.clone())),
            // What certainly did not run may be tried again under the same id.
            Progress::Concluded(outcome) if outcome.kind == OutcomeKind::NotRun => None,
            Progress::Concluded(outcome) => Some(Verdict::Concluded(outcome.clone())),
        }
    }

    /// A request ended, or certainly was not sent.
    pub fn conclude(&mut self, token: Option<Token>, end: Arc<Conclusion>, out: &mut Vec<Action>) {
        if self.stopped {
            out.extend(token.map(|token| Action::Answer(token, Verdict::Refused)));
            return;
        }
        let entry = self.entries.get_mut(&end.id);
        if entry.is_some_and(|entry| Arc::make_mut(entry).conclude(&end)) {
            if let Some(entry) = self.entries.shift_remove(&end.id) {
                self.entries.insert(end.id.clone(), entry);
            }
            self.keep_answer(end.id.clone());
            self.forget();
        }
        self.wait(token, Record::Conclusion(end));
        self.flush(out);
    }

    /// Adds a record that needs no verdict: an intent to send an idempotent request, or its end.
    pub fn append(&mut self, token: Token, record: Record, out: &mut Vec<Action>) {
        if self.stopped {
            out.push(Action::Answer(token, Verdict::Refused));
            return;
        }
        match record {
            Record::Intent(_) => {
                self.wait(Some(token), record);
                self.flush(out);
            }
            Record::Conclusion(end) => self.conclude(Some(token), end, out),
        }
    }

    /// Keeps the body of this answer in place of the oldest one beyond the bound.
    fn keep_answer(&mut self, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.answer_bytes() > self.cfg.max_answer_bytes
        {
            Arc::make_mut(entry).drop_answer();
        }
        self.answers.push_back(id);
        if self.answers.len() <= self.cfg.max_answers {
            return;
        }
        if let Some(entry) = self.answers.pop_front().and_then(|id| self.entries.get_mut(&id)) {
            Arc::make_mut(entry).drop_answer();
        }
    }

    /// Drops the oldest concluded requests beyond the bound; open ones stay.
    fn forget(&mut self) {
        let excess = self.entries.len().saturating_sub(self.cfg.max_remembered);
        // Dropping many at once keeps the cost of shifting the rest low.
        if excess > self.cfg.max_remembered / 16 {
            let mut left = excess;
            self.entries.retain(|_, entry| {
                let drop = left > 0 && !entry.is_open();
                left -= usize::from(drop);
                !drop
            });
        }
    }

    /// The store answered the write of the segment with this number.
    pub fn handle_write_result(
        &mut self,
        sequence: Sequence,
        result: WriteResult,
        out: &mut Vec<Action>,
    ) {
        if self.writing.as_ref().is_none_or(|writing| writing.segment.sequence != sequence) {
            return;
        }
        let doubtful = self.writing.as_ref().is_some_and(|writing| writing.doubtful);
        match result {
            WriteResult::Done => self.commit(out),
            // An earlier try of the same write may have taken the number, or may still do so.
            WriteResult::Failed if doubtful => out.push(Action::ReadBack(sequence)),
            WriteResult::Fenced if doubtful => {
                self.writing.iter_mut().for_each(|writing| writing.fenced = true);
                out.push(Action::ReadBack(sequence));
            }
            WriteResult::Failed => self.fail(out),
            WriteResult::Fenced => self.stop(out),
            WriteResult::Uncertain => {
                self.refuse_writing(out);
                out.push(Action::ReadBack(sequence));
            }
        }
    }

    /// The segment with this number was read: its nonce, or `None` if there is none.
    pub fn handle_read_back(
        &mut self,
        sequence: Sequence,
        nonce: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let Some(writing) = &self.writing else {
            return;
        };
        if writing.segment.sequence != sequence {
            return;
        }
        match nonce {
            Some(nonce) if nonce == writing.segment.nonce => self.commit(out),
            Some(_) => self.stop(out),
            None if writing.fenced => self.stop(out),
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
        for (record, token) in writing.segment.records.iter().zip(writing.tokens) {
            let Some(token) = token else {
                continue;
            };
            out.push(match record {
                Record::Intent(_) => Action::Answer(token, Verdict::Recorded),
                Record::Conclusion(_) => Action::Durable(token),
            });
        }
        for intent in &writing.withdrawn {
            self.withdraw(intent);
        }
        self.flush(out);
    }

    /// Its asker was told not to send the request, so that it certainly did not run.
    fn withdraw(&mut self, intent: &Intent) {
        let end = Arc::new(Conclusion::not_run(intent));
        if let Some(entry) = self.entries.get_mut(&intent.id) {
            Arc::make_mut(entry).conclude(&end);
        }
        self.wait(None, Record::Conclusion(end));
    }

    /// The write had no effect: those who wait are told so, and what nobody waits for is kept.
    fn fail(&mut self, out: &mut Vec<Action>) {
        let Some(writing) = self.writing.take() else {
            return;
        };
        let tried = writing.segment.records.into_iter().zip(writing.tokens);
        let flush_deadline = self.now;
        let tried = tried.map(|(record, token)| Pending { token, record, flush_deadline });
        // The failure says that the store takes nothing now, so what waits is refused as well.
        let rest = std::mem::take(&mut self.pending);
        for pending in tried.chain(rest) {
            match pending.token {
                Some(token) => {
                    self.drop_open(&pending.record);
                    out.push(Action::Answer(token, Verdict::Refused));
                }
                None => self.pending.push(pending),
            }
        }
    }

    /// Forgets an intent that is certainly not in the journal.
    fn drop_open(&mut self, record: &Record) {
        let Record::Intent(intent) = record else {
            return;
        };
        let entry = self.entries.get(&intent.id);
        if entry.is_some_and(|entry| entry.is_open() && entry.attempt == intent.attempt) {
            self.entries.shift_remove(&intent.id);
        }
    }

    /// Tells all who wait for the segment under way that it is not known to be durable.
    fn refuse_writing(&mut self, out: &mut Vec<Action>) {
        let Some(writing) = &mut self.writing else {
            return;
        };
        writing.doubtful = true;
        for (record, token) in writing.segment.records.iter().zip(&mut writing.tokens) {
            let Some(asker) = token.take() else {
                continue;
            };
            out.push(Action::Answer(asker, Verdict::Refused));
            if let Record::Intent(intent) = record
                && intent.at_most_once
            {
                writing.withdrawn.push(intent.clone());
            }
        }
    }

    fn stop(&mut self, out: &mut Vec<Action>) {
        self.refuse_writing(out);
        for pending in std::mem::take(&mut self.pending) {
            out.extend(pending.token.map(|token| Action::Answer(token, Verdict::Refused)));
        }
        self.stopped = true;
        out.push(Action::Stop);
    }

    /// Starts the next segment if none is on its way and one is due.
    fn flush(&mut self, out: &mut Vec<Action>) {
        if self.stopped || self.next_flush().is_none_or(|due| self.now < due) {
            return;
        }
        let count = count_that_fits(&self.pending, self.cfg.max_bytes);
        let batch: Vec<Pending> = self.pending.drain(..count).collect();
        let tokens = batch.iter().map(|pending| pending.token).collect();
        let records = batch.into_iter().map(|pending| pending.record).collect();
        let segment = Segment { sequence: self.next, nonce: self.next_nonce, records };
        self.next_nonce = self.next_nonce.wrapping_add(1);
        out.push(Action::Write(segment.clone()));
        self.writing = Some(Writing {
            segment,
            tokens,
            withdrawn: Vec::new(),
            doubtful: false,
            fenced: false,
        });
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

#[cfg(test)]
mod model;
#[cfg(test)]
mod tests;
