//! A limit on the log lines of each kind per second.

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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_beyond_the_limit_are_left_out_and_counted_by_kind() {
        let mut limit = LineLimit::default();

        let written = (0..MAX_LINES_PER_SECOND + 3).filter(|_| limit.admit("start failed")).count();
        let is_other_written = limit.admit("run ended");

        assert_eq!(u32::try_from(written), Ok(MAX_LINES_PER_SECOND));
        assert!(is_other_written);
        assert_eq!(limit.start_second(), [("start failed", 3)]);
    }

    #[test]
    fn a_new_second_allows_as_many_lines_again() {
        let mut limit = LineLimit::default();
        while limit.admit("run ended") {}

        limit.start_second();

        assert!(limit.admit("run ended"));
        assert!(limit.start_second().is_empty());
    }
}
