//! What a test does to the model: faults, changes of the owner, requests of client accounts.

use super::{Model, ModelWorker, TICK_MS, TICKET, WorkerFaults};
use teaselgap_core::{
    Epoch, QueueId, Span,
    job::{Answer, Cell, JobId, JobSpec, Recovered, Token},
};

impl Model {
    /// A worker, to be changed.
    ///
    /// # Panics
    ///
    /// There is no such worker.
    pub fn worker_mut(&mut self, id: &str) -> &mut ModelWorker {
        self.workers.get_mut(id).expect("a worker of the model")
    }

    /// Workers, in the order of their ids.
    pub fn workers(&self) -> impl Iterator<Item = &ModelWorker> {
        self.workers.values()
    }

    /// Sets the faults of the next orders to a worker.
    pub fn set_faults(&mut self, id: &str, faults: WorkerFaults) {
        self.faults.insert(id.into(), faults);
    }

    /// Cuts the owner from a worker, which runs on.
    pub fn make_unreachable(&mut self, id: &str, for_ms: u64) {
        self.unreachable.insert(id.into(), self.now + Span(for_ms));
    }

    /// Has the service with advice allow these workers only, and workers refuse what has no ticket.
    pub fn allow_only(&mut self, ids: &[&str]) {
        self.allowed = ids.iter().map(|&id| id.into()).collect();
        for worker in self.workers.values_mut() {
            worker.ticket = Some(TICKET);
        }
    }

    /// Has the service with advice answer, or not.
    pub fn set_advice(&mut self, up: bool) {
        self.advises = up;
    }

    /// How often advice was asked for.
    #[must_use]
    pub fn advice_requests(&self) -> usize {
        self.advice_requests
    }

    /// Lets the store take writes, or not.
    pub fn set_store(&mut self, up: bool) {
        self.store_up = up;
    }

    /// The owner ends without a word.
    pub fn kill_owner(&mut self) {
        self.cell = None;
    }

    /// The owner hands the cell over and ends.
    pub fn hand_over(&mut self) {
        let wall_ms = self.wall_ms();
        if let Some(cell) = &mut self.cell {
            cell.hand_over(self.now, wall_ms);
        }
        self.handing_over = true;
        while self.cell.as_ref().is_some_and(|cell| !cell.is_log_idle()) {
            self.run_for(TICK_MS);
        }
        self.cell = None;
        self.handing_over = false;
    }

    /// A new owner reads the log.
    pub fn take_over(&mut self) {
        self.epoch = Epoch(self.epoch.0 + 1);
        let recovered = Recovered {
            next: self.log.keys().next_back().map_or(0, |last| last + 1),
            segments: self.log.values().cloned().collect(),
        };
        let named = (self.service.clone(), self.epoch);
        let mut cell = Cell::new(self.cfg, named, recovered, (self.now, self.wall_ms()));
        cell.set_queues(self.queues.clone());
        self.cell = Some(cell);
        self.unwritten = None;
        self.next_roster = self.now;
    }

    fn token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    /// Submits a job; the answer comes later.
    pub fn submit(&mut self, id: JobId, queue: &QueueId, spec: JobSpec) -> Token {
        let token = self.token();
        let time = (self.now, self.wall_ms());
        if let Some(cell) = &mut self.cell {
            cell.submit(token, (id, queue.clone()), spec, time);
        }
        token
    }

    /// Cancels a job; the answer comes later.
    pub fn cancel(&mut self, id: JobId) -> Token {
        let token = self.token();
        if let Some(cell) = &mut self.cell {
            cell.cancel(token, id, self.now);
        }
        token
    }

    /// What a client was told.
    #[must_use]
    pub fn answer(&self, token: Token) -> Option<Answer> {
        self.answers.get(&token).copied()
    }
}
