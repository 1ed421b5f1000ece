//! A limit on the log lines of each kind per second.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

/// The most lines of one kind that are written in one second.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Counts the lines of the current second by kind.
#[derive(Debug, Default)]
pub(super) struct LineLimit {
    counts: IndexMap<&'static str, u32>,
}

impl LineLimit {
    /// Counts a line of this kind and returns whether it may be written.
    pub(super) fn admit(&mut self, kind: &'static str) -> bool {
        let count = self.counts.entry(kind).or_default();
        *count += 1;
        *count <= MAX_LINES_PER_SECOND
    }

    /// Starts a new second. Returns the kinds of which lines were left out, with their number.
    pub(super) fn start_second(&mut self) -> Vec<(&'static str, u32)> {
        self.counts
            .drain(..)
            .filter(|(_, count)| *count > MAX_LINES_PER_SECOND)
            .map(|(kind, count)| (kind, count - MAX_LINES_PER_SECOND))
            .collect()
    }
}
