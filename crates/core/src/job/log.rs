//! Group commit for a cell's log, and the deletion of its oldest segments.
//!
//! At most one write is in flight. Records that are appended meanwhile go into the next one, so the
//! write rate depends on the store's latency and not on the request rate. If the answer to a write
//! is lost, the same write is retried until its outcome is known. It takes effect only once,
//! because it expects the log as the write before it left it.
//!
//! A segment is deleted by the write that makes the last copy of its live records durable, or by a
//! later one. The newest segment is never deleted, so sequence numbers are never used again.

use std::collections::VecDeque;

use super::{
    StoredSegment,
    record::{self, EncodedRecord},
};
use crate::{Epoch, Span, Timestamp};

/// A position in the log, as the number of records up to it. The first record that the owner read
/// from the store at the start of its term has position 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position(pub u64);

/// The sequence number of a segment in its cell's log.
pub type Sequence = u64;

/// Maximum number of segments that one write deletes. The store limits the entries of a
/// transaction.
const MAX_DELETED_SEGMENTS: usize = 24;

/// Limits on batching records into one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// Longest time that a record waits for others to join its batch.
    pub batch_delay: Span,
    /// Maximum number of records in one write.
    pub max_records: usize,
    /// Maximum size of one write in bytes. A larger record is written alone.
    pub max_segment_bytes: usize,
    /// Size in bytes up to which the log is not cleaned.
    pub min_log_bytes: usize,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            batch_delay: Span(30),
            max_records: 1_000,
            max_segment_bytes: 128 * 1024,
            min_log_bytes: 256 * 1024,
        }
    }
}

/// A write to the store, which takes effect as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogWrite {
    /// The sequence number of the segment to create.
    pub sequence: Sequence,
    /// The segment's value.
    pub value: Vec<u8>,
    /// The segments to delete.
    pub deletes: Vec<Sequence>,
}

/// A segment in the store or in flight.
#[derive(Clone, Copy, Debug)]
struct SegmentInfo {
    sequence: Sequence,
    bytes: usize,
    /// The position of its last record.
    last: Position,
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
    pending: VecDeque<EncodedRecord>,
    /// Latest time at which the pending records and deletions are to be written.
    write_deadline: Option<Timestamp>,
    in_flight: Option<InFlightWrite>,
    /// Whether a segment of this term is durable.
    is_term_durable: bool,
    /// Time until which owners of earlier terms may give orders.
    earlier_orders_end: Timestamp,
    appended: Position,
    durable: Position,
    /// The segments that are not to be deleted, the oldest first.
    segments: VecDeque<SegmentInfo>,
    /// The total size of `segments`.
    stored_bytes: usize,
    /// Segments to delete, each once the log is durable up to a position.
    deletions: VecDeque<(Position, Sequence)>,
}

impl LogWriter {
    /// Creates the writer of a term that starts with these segments, the oldest first.
    /// `next_sequence` is the first free sequence number of the log.
    #[must_use]
    pub fn new(
        cfg: LogConfig,
        epoch: Epoch,
        next_sequence: Sequence,
        segments: &[StoredSegment],
    ) -> Self {
        let mut last = Position::default();
        let info = |segment: &StoredSegment| {
            last.0 += segment.records.len() as u64;
            SegmentInfo { sequence: segment.sequence, bytes: segment.bytes, last }
        };
        let infos: VecDeque<SegmentInfo> = segments.iter().map(info).collect();
        Self {
            cfg,
            epoch,
            next_sequence,
            pending: VecDeque::new(),
            write_deadline: None,
            in_flight: None,
            is_term_durable: false,
            earlier_orders_end: Timestamp(0),
            appended: last,
            durable: last,
            stored_bytes: infos.iter().map(|segment| segment.bytes).sum(),
            segments: infos,
            deletions: VecDeque::new(),
        }
    }

    /// Makes a write due at once, with whatever records there are by then, so that the log shows the term,
    /// and until when owners of earlier terms may give orders.
    pub(super) fn begin_term(&mut self, earlier_orders_end: Timestamp, now: Timestamp) {
        self.earlier_orders_end = earlier_orders_end;
        self.write_deadline = Some(now);
    }

    /// Notes that owners of earlier terms give no orders after this time. The log shows it once it has
    /// come, so that the next owner doesn't wait for them.
    pub(super) fn end_earlier_orders(&mut self, earlier_orders_end: Timestamp) {
        if earlier_orders_end < self.earlier_orders_end {
            self.earlier_orders_end = earlier_orders_end;
            self.write_by(earlier_orders_end);
        }
    }

    /// Returns the time until which owners of earlier terms may give orders.
    #[must_use]
    pub(super) fn earlier_orders_end(&self) -> Timestamp {
        self.earlier_orders_end
    }

    /// Makes a write due by this time, or earlier if it is due earlier anyway.
    fn write_by(&mut self, deadline: Timestamp) {
        let earlier = self.write_deadline.filter(|earlier| *earlier <= deadline);
        self.write_deadline = earlier.or(Some(deadline));
    }

    /// Whether the store has a segment of this term.
    #[must_use]
    pub(super) fn is_term_durable(&self) -> bool {
        self.is_term_durable
    }

    /// Appends a record and returns its position. The record is durable once [`LogWriter::durable`]
    /// has reached that position.
    pub(super) fn append(&mut self, record: EncodedRecord, now: Timestamp) -> Position {
        self.pending.push_back(record);
        self.write_by(now + self.cfg.batch_delay);
        self.appended.0 += 1;
        self.appended
    }

    /// Returns the position of the last appended record.
    #[must_use]
    pub fn appended(&self) -> Position {
        self.appended
    }

    /// Returns the position up to which the log is durable.
    #[must_use]
    pub fn durable(&self) -> Position {
        self.durable
    }

    /// Whether everything is durable: nothing is pending and no write is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.deletions.is_empty() && self.in_flight.is_none()
    }

    /// Returns the sequence number of the write that is in flight or, if there is none, of the next
    /// one.
    #[must_use]
    pub fn next_sequence(&self) -> Sequence {
        self.next_sequence
    }

    /// Returns the total size of the segments that are in the store or in flight and that are not
    /// to be deleted.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Returns the position of the last record of the oldest segment; `None` if no segment may be
    /// deleted.
    #[must_use]
    pub(super) fn oldest_segment_end(&self) -> Option<Position> {
        self.segments.front().filter(|_| self.segments.len() > 1).map(|segment| segment.last)
    }

    /// Returns how many bytes of records the next write has room for beyond the pending ones.
    #[must_use]
    pub(super) fn room_bytes(&self) -> usize {
        let pending: usize = self.pending.iter().map(EncodedRecord::len).sum();
        self.cfg.max_segment_bytes.saturating_sub(pending)
    }

    /// Whether the next write has room for another deletion.
    #[must_use]
    pub(super) fn has_room_for_deletion(&self) -> bool {
        self.deletions.len() < MAX_DELETED_SEGMENTS
    }

    /// Deletes the oldest segment with the write that makes the log durable up to its present end.
    pub(super) fn delete_oldest_segment(&mut self, now: Timestamp) {
        if let Some(segment) = self.segments.pop_front() {
            self.stored_bytes -= segment.bytes;
            self.deletions.push_back((self.appended, segment.sequence));
            self.write_by(now + self.cfg.batch_delay);
        }
    }

    /// Returns the time at which the next write is due; `None` if there is nothing to write or a
    /// write is in flight.
    #[must_use]
    pub fn write_due(&self) -> Option<Timestamp> {
        if self.in_flight.is_some() { None } else { self.write_deadline }
    }

    /// Whether a write is due at `now`.
    #[must_use]
    pub(super) fn is_write_due(&self, now: Timestamp) -> bool {
        self.write_due().is_some_and(|due| now >= due)
    }

    /// Returns the next write if it is due. The caller retries it until it succeeds and then calls
    /// [`LogWriter::on_written`].
    pub fn take_write(&mut self, now: Timestamp) -> Option<LogWrite> {
        if !self.is_write_due(now) {
            return None;
        }
        let records: Vec<EncodedRecord> = self.pending.drain(..self.batch_len()).collect();
        let record_count = records.len() as u64;
        let last = Position(self.durable.0 + record_count);
        let sequence = self.next_sequence;
        let earlier_orders_left = self.earlier_orders_end.since(now);
        let value = record::encode_segment(self.epoch, earlier_orders_left, now, &records);
        self.segments.push_back(SegmentInfo { sequence, bytes: value.len(), last });
        self.stored_bytes += value.len();
        self.in_flight = Some(InFlightWrite { sequence, record_count });
        let deletes = self.take_deletions(last);
        let is_drained = self.pending.is_empty() && self.deletions.is_empty();
        // The next write shows that owners of earlier terms give no more orders.
        let is_settled = earlier_orders_left == Span(0);
        let settles_at = Some(self.earlier_orders_end).filter(|_| !is_settled);
        self.write_deadline = if is_drained { settles_at } else { Some(now) };
        Some(LogWrite { sequence, value, deletes })
    }

    /// Returns how many of the pending records fit into one write; at least one if there are any.
    fn batch_len(&self) -> usize {
        let mut bytes = record::EMPTY_SEGMENT_BYTES;
        let fits = |record: &&EncodedRecord| {
            bytes += record.len() + 1;
            bytes <= self.cfg.max_segment_bytes
        };
        if self.pending.front().is_some_and(EncodedRecord::is_alone) {
            return 1;
        }
        let others = self.pending.iter().take_while(|record| !record.is_alone());
        let count = others.take(self.cfg.max_records).take_while(fits).count();
        count.max(1).min(self.pending.len())
    }

    /// Takes the deletions that may go with a write that makes the log durable up to `last`.
    fn take_deletions(&mut self, last: Position) -> Vec<Sequence> {
        let is_allowed = |(position, _): &&(Position, Sequence)| *position <= last;
        let count = self.deletions.iter().take(MAX_DELETED_SEGMENTS).take_while(is_allowed).count();
        self.deletions.drain(..count).map(|(_, sequence)| sequence).collect()
    }

    /// Handles the success of the write with this sequence number; its records are now durable.
    pub fn on_written(&mut self, sequence: Sequence) {
        if let Some(write) = self.in_flight.take_if(|write| write.sequence == sequence) {
            self.durable.0 += write.record_count;
            self.is_term_durable = true;
            self.next_sequence = sequence + 1;
        }
    }
}
