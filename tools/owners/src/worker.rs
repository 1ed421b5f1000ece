//! The review's worker, with a clock that starts at a drawn value in each life.

#[allow(clippy::all, clippy::pedantic, dead_code, reason = "the code of the review stays as it is")]
#[path = "../../../review/standins/src/worker.rs"]
mod base;
#[cfg(test)]
#[path = "worker/tests.rs"]
mod tests;

use std::{
    ops::Deref,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

pub use base::Setup;

use crate::{
    clock::{Clock, Clocks},
    record::Record,
    store::Store,
    variant::Variant,
};

/// What is known of the clocks of the lives so far.
#[derive(Default)]
struct Lives {
    count: u64,
    /// The clock of the life that is up, and when it started.
    current: Option<(Clock, Instant)>,
    /// What the clock of the last life showed at its end, in milliseconds.
    last_ms: u64,
    /// How many crashes are not over yet.
    crashes: u64,
}

pub struct Worker {
    base: Arc<base::Worker>,
    clocks: Clocks,
    lives: Mutex<Lives>,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Worker {
    /// A worker with the clocks of the play.
    pub fn new(setup: Setup, record: Arc<Record>, store: Arc<Store>) -> Arc<Self> {
        Self::with_clocks(Clocks::chosen(), setup, record, store)
    }

    pub fn with_clocks(
        clocks: Clocks,
        setup: Setup,
        record: Arc<Record>,
        store: Arc<Store>,
    ) -> Arc<Self> {
        let base = base::Worker::new(setup, Arc::clone(&record), Arc::clone(&store));
        Arc::new(Self { base, clocks, lives: Mutex::default(), record, store })
    }

    /// Starts a new life unless another crash is not over yet, and records where its clock starts just before.
    pub fn start(&self, first_heartbeat: Duration) {
        let Some(clock) = self.next_clock() else { return };
        let life = self.lives.lock().unwrap().count - 1;
        let room = self.store.start_life(&self.setup.id, life, self.setup.cpu);
        Variant::start_life(room, || clock.start_life(|| self.base.start(first_heartbeat)));
    }

    fn next_clock(&self) -> Option<Clock> {
        let id = &self.setup.id;
        let mut lives = self.lives.lock().unwrap();
        lives.crashes = lives.crashes.saturating_sub(1);
        if lives.crashes > 0 {
            return None;
        }
        let draw = self.clocks.draw(id, lives.count);
        let clock = draw.clock(lives.last_ms);
        lives.count += 1;
        lives.current = Some((clock, Instant::now()));
        self.record
            .note(format!("worker {id}: its next clock starts at {} ms, {draw:?}", clock.first_ms));
        Some(clock)
    }

    /// Ends the life, if the worker is up, without a word.
    pub fn crash(&self) {
        let mut lives = self.lives.lock().unwrap();
        lives.crashes += 1;
        let Some((clock, started)) = lives.current.take() else { return };
        lives.last_ms = clock.first_ms + started.elapsed().as_millis() as u64;
        drop(lives);
        self.base.crash();
    }
}

impl Deref for Worker {
    type Target = base::Worker;

    fn deref(&self) -> &base::Worker {
        &self.base
    }
}
