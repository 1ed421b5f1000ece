//! The monotonic clocks of a worker's instances.
//!
//! Each instance's clock starts anew; the platform doesn't say where. So each starts at a drawn value, which
//! tells nothing of when the instance started.

use teaselgap_core::{Timestamp, job::WorkerId};

/// The least that a clock shows which starts at a large value, in milliseconds.
const LARGE_MS: u64 = 1 << 40;

/// The most that a clock shows which starts at a small value, in milliseconds: so little that orders to the
/// instance before aren't late by it.
const SMALL_MS: u64 = 2_000;

/// The most by which a clock starts beside the clock before, in milliseconds.
const FAR_MS: u64 = 8_000_000;

/// The most by which a clock starts beside one that it seems to continue, in milliseconds.
const NEAR_MS: u64 = 20;

/// Where the clock of an instance starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockDraw {
    /// At a value of some seconds at most.
    Small(u64),
    /// At a value of many years.
    Large(u64),
    /// Ahead of what the clock of the instance before showed at its end.
    Ahead(u64),
    /// Behind that.
    Behind(u64),
    /// Just where the clock of the instance before goes on.
    Inside(u64),
}

impl ClockDraw {
    /// The draw for an instance of a worker.
    #[must_use]
    pub fn of(worker: &WorkerId, instance: u64) -> Self {
        let drawn = mix(worker, instance);
        let far = drawn / 8 % FAR_MS;
        match drawn % 5 {
            0 => Self::Small(far % SMALL_MS),
            1 => Self::Large(far),
            2 => Self::Ahead(far),
            3 => Self::Behind(far),
            _ => Self::Inside(far % NEAR_MS),
        }
    }

    /// What the clock shows first, in milliseconds, if that of the instance before showed `last_ms` at its
    /// end.
    #[must_use]
    pub fn first_reading(self, last_ms: u64) -> u64 {
        match self {
            Self::Small(ms) => ms,
            Self::Large(ms) => LARGE_MS + ms,
            Self::Ahead(ms) | Self::Inside(ms) => last_ms + ms,
            Self::Behind(ms) => last_ms.saturating_sub(ms),
        }
    }
}

/// A number that is drawn by a worker's id and instance alone, so that plays repeat.
fn mix(worker: &WorkerId, instance: u64) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    let id = worker.to_string();
    let bytes = id.bytes().chain(instance.to_le_bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    (hash ^ (hash >> 29)).wrapping_mul(PRIME) >> 16
}

/// The monotonic clock of an instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerClock {
    first_ms: u64,
    started: Timestamp,
}

impl WorkerClock {
    /// The clock of a worker's first instance.
    pub(super) fn first(worker: &WorkerId) -> Self {
        Self::of_next_instance(ClockDraw::of(worker, 0), 0, Timestamp(0))
    }

    pub(super) fn of_next_instance(draw: ClockDraw, last_ms: u64, started: Timestamp) -> Self {
        Self { first_ms: draw.first_reading(last_ms), started }
    }

    /// What the clock shows if it goes at this percentage of true time.
    pub(super) fn reading(self, percent: u64, now: Timestamp) -> u64 {
        self.first_ms + now.since(self.started).0 * percent / 100
    }
}
