//! Group commit: which records go into the next write of a cell's log.
//!
//! One write is on its way at a time; all that happens meanwhile goes into the next one, so the rate
//! of writes follows the store's latency and not the rate of requests. A write whose answer was lost
//! is repeated as it was until its outcome is known: its key is created only if absent, so it takes
//! effect once.

use super::{Record, Segment};
use crate::{Epoch, Span, Timestamp};

/// How far the log is, as a count of records since the owner's term began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position(pub u64);

/// The place of a segment in its cell's log.
pub type Sequence = u64;

/// The bounds of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// How long a record waits for others to travel with.
    pub batch_delay: Span,
    /// Most records of one write.
    pub max_records: usize,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self { batch_delay: Span(30), max_records: 1_000 }
    }
}

#[derive(Debug)]
struct Writing {
    sequence: Sequence,
    records: u64,
}

/// The records of one term that are not durable yet.
#[derive(Debug)]
pub struct LogWriter {
    cfg: LogConfig,
    epoch: Epoch,
    next: Sequence,
    waiting: Vec<Record>,
    /// When the waiting records are written at the latest.
    write_deadline: Option<Timestamp>,
    writing: Option<Writing>,
    appended: Position,
    durable: Position,
}

impl LogWriter {
    /// A writer for a term, from the first free place of the log on.
    #[must_use]
    pub fn new(cfg: LogConfig, epoch: Epoch, next: Sequence) -> Self {
        Self {
            cfg,
            epoch,
            next,
            waiting: Vec::new(),
            write_deadline: None,
            writing: None,
            appended: Position::default(),
            durable: Position::default(),
        }
    }

    /// Adds a record; it is durable once [`LogWriter::durable`] has reached the position returned.
    pub fn append(&mut self, record: Record, now: Timestamp) -> Position {
        self.waiting.push(record);
        self.write_deadline.get_or_insert(now + self.cfg.batch_delay);
        self.appended.0 += 1;
        self.appended
    }

    /// How far the log is durable.
    #[must_use]
    pub fn durable(&self) -> Position {
        self.durable
    }

    /// Whether anything waits or is on its way.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.writing.is_none()
    }

    /// The place of the next segment.
    #[must_use]
    pub fn next_sequence(&self) -> Sequence {
        self.next
    }

    /// When the next write is due, unless one is on its way.
    #[must_use]
    pub fn due(&self) -> Option<Timestamp> {
        if self.writing.is_some() { None } else { self.write_deadline }
    }

    /// Hands out the next write if it is due. It is to be repeated until [`LogWriter::on_written`].
    pub fn take(&mut self, now: Timestamp) -> Option<(Sequence, Segment)> {
        if self.due().is_none_or(|due| now < due) {
            return None;
        }
        let count = self.waiting.len().min(self.cfg.max_records);
        let records: Vec<Record> = self.waiting.drain(..count).collect();
        self.write_deadline = if self.waiting.is_empty() { None } else { Some(now) };
        self.writing = Some(Writing { sequence: self.next, records: records.len() as u64 });
        Some((self.next, Segment { epoch: self.epoch, records }))
    }

    /// The write at this place is in the store.
    pub fn on_written(&mut self, sequence: Sequence) {
        if let Some(writing) = self.writing.take_if(|writing| writing.sequence == sequence) {
            self.durable.0 += writing.records;
            self.next = sequence + 1;
        }
    }
}

impl LogWriter {
    /// The position of the last record.
    #[must_use]
    pub fn appended(&self) -> Position {
        self.appended
    }
}
