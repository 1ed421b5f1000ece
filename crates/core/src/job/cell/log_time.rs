//! Times in the log, each on the clock of the owner that wrote it. Owners' clocks can't be compared.

use super::super::StoredSegment;
use crate::{Span, Timestamp};

/// The time that certainly passed between the writes of two segments.
fn time_between((earlier, later): (&StoredSegment, &StoredSegment)) -> Span {
    if earlier.epoch == later.epoch { later.written.since(earlier.written) } else { Span(0) }
}

/// The segments of a log, each with the time that certainly passed from its write until the last one.
pub(super) fn with_time_passed(
    segments: &[StoredSegment],
) -> impl Iterator<Item = (&StoredSegment, Span)> {
    let total = segments.iter().zip(segments.iter().skip(1)).map(time_between);
    let mut passed: u64 = total.map(|time| time.0).sum();
    let mut previous: Option<&StoredSegment> = None;
    segments.iter().map(move |segment| {
        passed -= previous.map_or(0, |previous| time_between((previous, segment)).0);
        previous = Some(segment);
        (segment, Span(passed))
    })
}

/// What was left at the last write of a time that a record of a segment names.
pub(super) fn left(until_ms: u64, segment: &StoredSegment, passed: Span) -> Span {
    let left = Timestamp(until_ms).since(segment.written).0;
    Span(left.saturating_sub(passed.0))
}
