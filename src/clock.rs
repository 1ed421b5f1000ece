//! The two clocks of a node: a monotonic clock for deadlines, and the wall clock.

use std::{
    sync::LazyLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};
use teaselgap_core::Timestamp;

/// The time since boot at the first reading of the clock.
static FIRST_READING_MS: LazyLock<u64> = LazyLock::new(boot_ms);

/// Milliseconds since the VM booted, including the time in which it was suspended.
fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let ms = time.tv_sec * 1_000 + time.tv_nsec / 1_000_000;
    u64::try_from(ms).unwrap_or(0)
}

/// Milliseconds since the first reading of this clock in the process, plus one.
///
/// The clock continues while the process is stopped by a signal and while the VM is suspended, so
/// that the deadlines of a paused node pass meanwhile.
pub(crate) fn now() -> Timestamp {
    let start = *FIRST_READING_MS;
    Timestamp(boot_ms().saturating_sub(start).saturating_add(1))
}

/// Milliseconds since the Unix epoch on the wall clock.
pub(crate) fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a time on the wall clock, in milliseconds, to the monotonic clock. A time in the past
/// becomes the current time.
pub(crate) fn from_wall(time_ms: u64) -> Timestamp {
    let remaining_ms = time_ms.saturating_sub(wall_ms());
    Timestamp(now().0.saturating_add(remaining_ms))
}

/// The time from now until the deadline; zero if the deadline has passed.
pub(crate) fn until(deadline: Timestamp) -> Duration {
    deadline.since(now()).to_std()
}
