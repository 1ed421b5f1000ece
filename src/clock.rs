//! The two clocks of a node.

use std::{
    sync::LazyLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use teaselgap_core::Timestamp;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Milliseconds on the monotonic clock since the process started, and at least one.
///
/// It goes on while the process is stopped by a signal, so a paused node sees its deadlines pass.
pub(crate) fn now() -> Timestamp {
    Timestamp(u64::try_from(START.elapsed().as_millis()).unwrap_or(u64::MAX).saturating_add(1))
}

/// Milliseconds since the Unix epoch on the wall clock.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// The monotonic point that corresponds to a point on the wall clock.
pub(crate) fn from_wall(wall: u64) -> Timestamp {
    let ahead = wall.saturating_sub(wall_ms());
    Timestamp(now().0.saturating_add(ahead))
}

/// The wait until a point; zero if it has passed.
pub(crate) fn until(deadline: Timestamp) -> Duration {
    deadline.since(now()).to_std()
}
