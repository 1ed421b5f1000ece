//! The review's record, with a clock that can be set for the next start of a worker.

#[allow(clippy::all, clippy::pedantic, dead_code, reason = "the code of the review stays as it is")]
#[path = "../../../review/standins/src/record.rs"]
mod base;

use std::{
    ops::Deref,
    sync::atomic::{AtomicU64, Ordering::SeqCst},
};

pub use base::{Event, Life};

pub struct Record {
    base: base::Record,
    /// What the next worker that starts reads from its wall clock; zero for the right time.
    next_start_ms: AtomicU64,
}

impl Record {
    pub fn new() -> Self {
        let base = base::Record::new();
        base.note(format!("the wall clock shows {} ms", base.wall_ms()));
        Self { base, next_start_ms: AtomicU64::new(0) }
    }

    /// The time that a worker reads from its wall clock as it starts.
    pub fn wall_ms(&self) -> u64 {
        match self.next_start_ms.swap(0, SeqCst) {
            0 => self.base.wall_ms(),
            set => set,
        }
    }

    /// Sets the clock that the next worker to start reads.
    pub fn set_next_start(&self, wall_ms: u64) {
        self.next_start_ms.store(wall_ms, SeqCst);
    }
}

impl Deref for Record {
    type Target = base::Record;

    fn deref(&self) -> &base::Record {
        &self.base
    }
}
