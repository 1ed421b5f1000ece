//! When callers whose jobs are refused should come back.

use super::JobId;
use crate::Span;

/// The shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Span = Span(1_000);

/// When a refused caller should come back: once the time that the refusal counts has passed, spread over as long
/// again by the job's id, so that not all callers come back in the same second.
#[must_use]
pub fn retry_after(job: JobId, refused_for: Span) -> Span {
    let seconds = refused_for.max(MIN_RETRY_AFTER).0.div_ceil(1_000);
    Span((seconds + job.0 % (seconds + 1)) * 1_000)
}
