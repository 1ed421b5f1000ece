//! Group commit for a cell's log.
//!
//! At most one write is in flight. Records that are appended meanwhile go into the next one, so the
//! write rate depends on the store's latency and not on the request rate. If the answer to a write
//! is lost, the same write is retried until its outcome is known. It takes effect only once,
//! because it creates its key only if the key does not exist.

use super::{Record, Segment};
use crate::{Epoch, Span, Timestamp};

/// A position in the log, as the number of records appended since the owner's term began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position(pub u64);

/// The sequence number of a segment in its cell's log.
pub type Sequence = u64;

/// Limits on batching records into one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// Longest time that a record waits for others to join its batch.
    pub batch_delay: Span,
    /// Maximum number of records in one write.
    pub max_records: usize,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self { batch_delay: Span(30), max_records: 1_000 }
    }
}

/// The write that is in flight.
#[derive(Debug)]
struct InFlightWrite {
    sequence: Sequence,
    record_count: u64,
}

/// Batches the records of one term into writes and tracks which of them are durable.
#[derive(Debug)]
pub struct LogWriter {
    cfg: LogConfig,
    epoch: Epoch,
    next_sequence: Sequence,
    /// Records that are in no write yet.
    pending: Vec<Record>,
    /// Latest time at which the pending records are to be written.
    write_deadline: Option<Timestamp>,
    in_flight: Option<InFlightWrite>,
    appended: Position,
    durable: Position,
}

impl LogWriter {
    /// Creates the writer of a term. `next_sequence` is the first free sequence number of the log.
    #[must_use]
    pub fn new(cfg: LogConfig, epoch: Epoch, next_sequence: Sequence) -> Self {
        Self {
            cfg,
            epoch,
            next_sequence,
            pending: Vec::new(),
            write_deadline: None,
            in_flight: None,
            appended: Position::default(),
            durable: Position::default(),
        }
    }

    /// Appends a record and returns its position. The record is durable once [`LogWriter::durable`]
    /// has reached that position.
    pub fn append(&mut self, record: Record, now: Timestamp) -> Position {
        self.pending.push(record);
        self.write_deadline.get_or_insert(now + self.cfg.batch_delay);
        self.appended.0 += 1;
        self.appended
    }

    /// Returns the position up to which the log is durable.
    #[must_use]
    pub fn durable(&self) -> Position {
        self.durable
    }

    /// Whether every record is durable: none is pending and no write is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    /// Returns the sequence number of the write that is in flight or, if there is none, of the next
    /// one.
    #[must_use]
    pub fn next_sequence(&self) -> Sequence {
        self.next_sequence
    }

    /// Returns the time at which the next write is due; `None` if there is nothing to write or a
    /// write is in flight.
    #[must_use]
    pub fn write_due(&self) -> Option<Timestamp> {
        if self.in_flight.is_some() { None } else { self.write_deadline }
    }

    /// Returns the next write if it is due. The caller retries it until it succeeds and then calls
    /// [`LogWriter::on_written`].
    pub fn take_write(&mut self, now: Timestamp) -> Option<(Sequence, Segment)> {
        if self.write_due().is_none_or(|due| now < due) {
            return None;
        }
        let count = self.pending.len().min(self.cfg.max_records);
        let records: Vec<Record> = self.pending.drain(..count).collect();
        self.write_deadline = if self.pending.is_empty() { None } else { Some(now) };
        self.in_flight = Some(InFlightWrite {
            sequence: self.next_sequence,
            record_count: records.len() as u64,
        });
        Some((self.next_sequence, Segment { epoch: self.epoch, records }))
    }

    /// Handles the success of the write with this sequence number; its records are now durable.
    pub fn on_written(&mut self, sequence: Sequence) {
        if let Some(write) = self.in_flight.take_if(|write| write.sequence == sequence) {
            self.durable.0 += write.record_count;
            self.next_sequence = sequence + 1;
        }
    }
}

impl LogWriter {
    /// Returns the position of the last appended record.
    #[must_use]
    pub fn appended(&self) -> Position {
        self.appended
    }
}
