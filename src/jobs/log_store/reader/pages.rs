//! Which segments of a log the next page holds, so that each page passes a narrow link in a bounded time.
//!
//! The store returns all keys that have a prefix, and numbers have a fixed length, so a prefix names
//! a group of 1, 16, 256 or 4,096 numbers. The last number is known; the groups are read from there
//! down to the first segment. Numbers are contiguous, because segments are only added at the end of
//! a log and deleted at its start, by writes that take effect as a whole.

#[cfg(test)]
mod tests;

use teaselgap_core::job::Sequence;

/// The bits of a number that one more digit of its group's prefix fixes.
const BITS_PER_DIGIT: u32 = 4;

/// The most digits that a group's prefix leaves open.
const MAX_OPEN_DIGITS: u32 = 3;

/// The digits of a number.
const DIGITS: usize = 16;

/// The digits that the prefix of the first group leaves open, as no segment's size is known.
const FIRST_OPEN_DIGITS: u32 = 1;

/// The log has no segment before this many numbers that have none.
const MIN_ABSENT_NUMBERS: u64 = 16;

/// Segments whose numbers differ only in their last digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Group {
    first: Sequence,
    open_digits: u32,
}

impl Group {
    /// The group with this number among others.
    fn around(number: Sequence, open_digits: u32) -> Self {
        let bits = open_digits * BITS_PER_DIGIT;
        Self { first: number >> bits << bits, open_digits }
    }

    /// How many numbers it has.
    fn size(self) -> u64 {
        1 << (self.open_digits * BITS_PER_DIGIT)
    }

    /// The common prefix of its keys, in the log with this prefix.
    pub(super) fn key_prefix(self, log_prefix: &str) -> String {
        let digits = format!("{:016x}", self.first);
        format!("{log_prefix}{}", &digits[..DIGITS - self.open_digits as usize])
    }
}

/// The pages of one log.
#[derive(Debug)]
pub(super) struct PagePlan {
    max_page_bytes: u64,
    /// All numbers from here on have been handed out.
    end: Sequence,
    /// What was handed out and has not been read.
    open: Vec<Group>,
    /// What has to be handed out again.
    failed: Vec<Group>,
    segments_read: u64,
    bytes_read: u64,
    /// How many numbers had no segment since the last one that had.
    absent_numbers: u64,
}

impl PagePlan {
    /// Plans the pages of the log that ends with this segment.
    pub(super) fn new(last: Sequence, max_page_bytes: u64) -> Self {
        Self {
            max_page_bytes,
            end: last.saturating_add(1),
            open: Vec::new(),
            failed: Vec::new(),
            segments_read: 0,
            bytes_read: 0,
            absent_numbers: 0,
        }
    }

    /// The group to read next; `None` if that is not known before an open one has been read, or if
    /// there is none.
    pub(super) fn next_group(&mut self) -> Option<Group> {
        let group = self.failed.pop().or_else(|| self.group_before(self.end))?;
        self.end = self.end.min(group.first);
        self.open.push(group);
        Some(group)
    }

    fn group_before(&self, end: Sequence) -> Option<Group> {
        let last = end.checked_sub(1).filter(|_| self.absent_numbers < MIN_ABSENT_NUMBERS)?;
        if self.segments_read == 0 {
            return self.open.is_empty().then(|| Group::around(last, FIRST_OPEN_DIGITS));
        }
        let segment_bytes = self.bytes_read.div_ceil(self.segments_read);
        let fits = |group: &Group| {
            let is_new = end - group.first == group.size();
            is_new && group.size() * segment_bytes <= self.max_page_bytes
        };
        let mut groups =
            (1..=MAX_OPEN_DIGITS).rev().map(|open_digits| Group::around(last, open_digits));
        Some(groups.find(fits).unwrap_or(Group::around(last, 0)))
    }

    /// Records that a group has been read, with so many segments and bytes.
    pub(super) fn record(&mut self, group: Group, segments: u64, bytes: u64) {
        self.open.retain(|open| *open != group);
        self.segments_read += segments;
        self.bytes_read += bytes;
        self.absent_numbers = if segments == 0 { self.absent_numbers + group.size() } else { 0 };
    }

    /// Has all open groups handed out again.
    pub(super) fn reopen(&mut self) {
        self.failed.append(&mut self.open);
    }
}
