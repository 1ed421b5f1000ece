//! Operations by which a test controls the model: faults, takeovers and client requests.

use std::time::Duration;

use indexmap::IndexMap;

use super::{
    CountedStarts, EndedInstance, MAX_LATE_WRITE_MS, Model, ModelWorker, OWNER_TTL, OwnerLease,
    TICK_MS, TICKET, Traffic, WorkerFaults, worker::RESTART_DURATION_MS,
};
use teaselgap_core::{
    Epoch, QueueId, Span, Timestamp,
    job::{
        Action, Answer, Cell, EndKind, FlowLimits, JobId, JobSpec, LogEvent, QueueConfig, Sequence,
        TaskId, TermClaim, Token, WorkerId,
    },
};

impl Model {
    /// Returns a worker for modification.
    ///
    /// # Panics
    ///
    /// Panics if the model has no worker of this id.
    pub fn worker_mut(&mut self, id: &str) -> &mut ModelWorker {
        self.workers.get_mut(id).expect("a worker of the model")
    }

    /// Returns the workers in the order in which they were passed to [`Model::new`].
    pub fn workers(&self) -> impl Iterator<Item = &ModelWorker> {
        self.workers.values()
    }

    /// Restarts a worker under its id.
    ///
    /// # Panics
    ///
    /// Panics if the model has no worker of this id.
    pub fn restart_worker(&mut self, id: &str) {
        self.restart_worker_at(id, self.wall_ms(), RESTART_DURATION_MS);
    }

    /// Restarts a worker under its id, whose wall clock reads `started_wall_ms` when the new instance
    /// starts. The worker can't be reached for `away_ms`.
    ///
    /// # Panics
    ///
    /// Panics if the model has no worker of this id.
    pub fn restart_worker_at(&mut self, id: &str, started_wall_ms: u64, away_ms: u64) {
        let now = self.now;
        self.count_crash(&id.into());
        let worker = self.worker_mut(id);
        let ended = EndedInstance { entry: worker.entry.clone(), ended: now };
        worker.restart_in(now, started_wall_ms, away_ms);
        self.ended_instances.entry(id.into()).or_default().push(ended);
    }

    /// Lets a late write put the entry of an earlier instance into the store, `instances_back` before
    /// the living one, until the worker writes again after `duration_ms`. Returns false, and does
    /// nothing, if there was none or if it ended so long ago that no write of it can be late.
    pub fn write_earlier_entry(
        &mut self,
        id: &str,
        instances_back: usize,
        duration_ms: u64,
    ) -> bool {
        let ended = self.ended_instances.get(id).map_or(&[] as &[_], Vec::as_slice);
        let position = ended.len().checked_sub(instances_back);
        let Some(instance) = position.and_then(|position| ended.get(position)) else {
            return false;
        };
        if self.now > instance.ended + Span(MAX_LATE_WRITE_MS) {
            return false;
        }
        let entry = (instance.entry.clone(), self.now + Span(duration_ms));
        self.old_entries.insert(id.into(), entry);
        true
    }

    /// Returns when the instances of a worker ended, the latest last.
    #[must_use]
    pub fn instance_ends(&self, id: &str) -> Vec<Timestamp> {
        let ended = self.ended_instances.get(id).into_iter().flatten();
        ended.map(|instance| instance.ended).collect()
    }

    /// Holds up the next answers of a worker, each for one of these times in milliseconds, so that
    /// they may overtake each other.
    pub fn delay_answers(&mut self, id: &str, delays_ms: impl IntoIterator<Item = u64>) {
        self.answer_delays.entry(id.into()).or_default().extend(delays_ms);
    }

    /// Lets holds leave so long after they were decided on, in milliseconds, as they do on a busy node.
    pub fn set_sending_delay(&mut self, delay_ms: u64) {
        self.sending_delay = Span(delay_ms);
    }

    /// Returns how many second copies of start orders have left the owners.
    #[must_use]
    pub fn sent_copies(&self) -> u32 {
        self.sent_copies
    }

    /// Lets starts count that a worker carries out before an owner has called the instance.
    pub fn count_every_start(&mut self) {
        self.counted_starts = CountedStarts::All;
    }

    /// Counts the crash of a worker for each task that it runs.
    pub(super) fn count_crash(&mut self, id: &WorkerId) {
        for task in self.workers.get(id).into_iter().flat_map(ModelWorker::running_tasks) {
            *self.crash_counts.entry(task).or_default() += 1;
        }
    }

    /// Sets the longest lease that the workers accept, in milliseconds. The next owner knows of it.
    pub fn set_longest_lease(&mut self, max_lease_ms: u64) {
        self.cfg.max_lease = Span(max_lease_ms);
        for worker in self.workers.values_mut() {
            worker.max_lease_ms = max_lease_ms;
        }
    }

    /// Sets the faults of the next start orders to a worker.
    pub fn set_faults(&mut self, id: &str, faults: WorkerFaults) {
        self.faults.insert(id.into(), faults);
    }

    /// Cuts the connection from the owner to a worker, which keeps running and keeps its entry in
    /// the store.
    pub fn make_unreachable(&mut self, id: &str, duration_ms: u64) {
        self.unreachable.insert(id.into(), self.now + Span(duration_ms));
    }

    /// Lets the store list the present entry of a worker for this time, whatever the worker writes
    /// meanwhile.
    pub fn keep_entry(&mut self, id: &str, duration_ms: u64) {
        let entry = self.worker_mut(id).entry.clone();
        self.old_entries.insert(id.into(), (entry, self.now + Span(duration_ms)));
    }

    /// Makes the advice service allow only these workers, and all workers refuse start orders
    /// without a ticket.
    pub fn allow_only(&mut self, ids: &[&str]) {
        self.allowed_workers = ids.iter().map(|&id| id.into()).collect();
        for worker in self.workers.values_mut() {
            worker.ticket = Some(TICKET);
        }
    }

    /// Sets whether the advice service answers.
    pub fn set_advice_available(&mut self, is_available: bool) {
        self.is_advice_available = is_available;
    }

    /// Returns how many requests the advice service has received.
    #[must_use]
    pub fn advice_request_count(&self) -> usize {
        self.advice_request_count
    }

    /// Makes the owner's term depend on a lease in the store, which the owner renews.
    pub fn require_owner_lease(&mut self) {
        self.owner_lease = Some(OwnerLease::new(self.now));
    }

    /// Adds the log events among actions that a test has taken from the owner.
    pub fn note_log_events(&mut self, actions: Vec<Action>) {
        let event_of = |action| match action {
            Action::Log(event) => Some(event),
            _ => None,
        };
        self.log_events.extend(actions.into_iter().filter_map(event_of));
    }

    /// Lets a worker announce that it leaves in `leaves_in_ms`. It goes on running what it runs.
    pub fn announce_leave(&mut self, id: &str, leaves_in_ms: u64) {
        let entry = &mut self.worker_mut(id).entry;
        entry.is_draining = true;
        entry.leaves_in = Some(Span(leaves_in_ms));
    }

    /// Ends a worker with all its runs. It stays away until it is restarted.
    pub fn lose_worker(&mut self, id: &str) {
        let now = self.now;
        self.count_crash(&id.into());
        self.worker_mut(id).lose(now);
    }

    /// Returns the worker that the owner has ordered last to start a task.
    #[must_use]
    pub fn ordered_worker(&self, task: TaskId) -> Option<WorkerId> {
        self.last_orders.get(&task).cloned()
    }

    /// Returns how many terms ended because the owner could not renew its lease in time.
    #[must_use]
    pub fn expired_terms(&self) -> u32 {
        self.expired_terms
    }

    /// Returns the limits on calls that the owner keeps.
    #[must_use]
    pub fn flow_limits(&self) -> FlowLimits {
        self.cfg.flow
    }

    /// Returns the largest number of start orders that an owner waited for at the same time.
    #[must_use]
    pub fn max_starts_in_flight(&self) -> usize {
        self.max_starts_in_flight
    }

    /// Returns the processor time of all ticks so far, and of the longest one.
    #[must_use]
    pub fn tick_times(&self) -> (Duration, Duration) {
        (self.tick_time, self.longest_tick)
    }

    /// Returns the bytes of the answers to holds so far.
    #[must_use]
    pub fn hold_answer_bytes(&self) -> u64 {
        self.traffic.holds.answer_bytes
    }

    /// Returns what the calls to workers have taken on the owners' links so far.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Returns the least time that was left of the lease of a worker with runs so far.
    #[must_use]
    pub fn least_lease_left(&self) -> Span {
        self.least_lease_left
    }

    /// Sets whether the store accepts writes and the owner can read the list of workers.
    pub fn set_store_available(&mut self, is_available: bool) {
        self.is_store_available = is_available;
    }

    /// Returns the size of the log in the store, in bytes.
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the sequence number of the oldest segment of the log, if there is any.
    #[must_use]
    pub fn oldest_segment(&self) -> Option<Sequence> {
        self.log.oldest()
    }

    /// Returns the size of the largest segment that the store has accepted, in bytes.
    #[must_use]
    pub fn largest_segment_bytes(&self) -> usize {
        self.log.largest_segment_bytes()
    }

    /// Returns whether the owner waits for the confirmation of a write that deletes segments.
    #[must_use]
    pub fn is_deleting_segments(&self) -> bool {
        let is_pending =
            self.pending_write.as_ref().is_some_and(|(_, write)| !write.deletes.is_empty());
        is_pending || self.log.is_deletion_unconfirmed()
    }

    /// Returns how many run ends of a kind the owners have logged.
    #[must_use]
    pub fn end_count(&self, kind: EndKind) -> usize {
        let is_kind =
            |event: &&LogEvent| matches!(event, LogEvent::Ended { how, .. } if *how == kind);
        self.log_events.iter().filter(is_kind).count()
    }

    /// Changes the settings of all queues, for this owner and later ones.
    pub fn set_queues(&mut self, queues: IndexMap<QueueId, QueueConfig>) {
        self.queues = queues;
        if let Some(cell) = &mut self.cell {
            cell.set_queues(self.queues.clone());
        }
    }

    /// Ends the owner without a handover.
    pub fn kill_owner(&mut self) {
        self.cell = None;
    }

    /// Lets the owner hand the cell over, and runs until the log is written and the owner ends.
    pub fn hand_over(&mut self) {
        self.hand_over_writing_for(0);
    }

    /// Like [`Model::hand_over`], but the store accepts no write for the first `write_ms`.
    pub fn hand_over_writing_for(&mut self, write_ms: u64) {
        let wall_ms = self.wall_ms();
        if let Some(cell) = &mut self.cell {
            cell.hand_over(self.now, wall_ms);
        }
        self.is_handing_over = true;
        self.is_store_available &= write_ms == 0;
        self.run_for(write_ms);
        self.is_store_available |= write_ms > 0;
        while self.cell.as_ref().is_some_and(|cell| !cell.is_log_idle()) {
            self.run_for(TICK_MS);
        }
        self.cell = None;
        self.is_handing_over = false;
    }

    /// Ends the owner's term without a handover, while its process lives on. The process may claim
    /// the cell again with [`Model::take_over_again`].
    pub fn give_up(&mut self) {
        self.gave_up_at = self.now.max(self.earlier_orders_end);
        if let Some(cell) = self.cell.take() {
            self.term_ends.keep(&cell, self.now);
        }
    }

    /// Begins the term of a new owner, which recovers the cell from the log in the store.
    pub fn take_over(&mut self) {
        self.take_over_reading_for(0);
    }

    /// Like [`Model::take_over`], but the owner reads the log for `read_ms` after its claim.
    pub fn take_over_reading_for(&mut self, read_ms: u64) {
        self.claim(self.now + OWNER_TTL, read_ms);
    }

    /// Lets the process that gave the cell up claim it again, before any other process has claimed
    /// it. Reading the log takes `read_ms`.
    pub fn take_over_again(&mut self, read_ms: u64) {
        self.claim(self.gave_up_at, read_ms);
    }

    fn claim(&mut self, earlier_orders_end: Timestamp, read_ms: u64) {
        self.epoch = Epoch(self.epoch.0 + 1);
        self.claims.push((self.epoch, self.now));
        self.limit_earlier_owners();
        self.earlier_orders_end = earlier_orders_end;
        self.run_for(read_ms);
        self.recover();
    }

    fn recover(&mut self) {
        let recovered = self.log.recover();
        let service_and_epoch = (self.service.clone(), self.epoch);
        let time = (self.now, self.wall_ms());
        let mut cell = Cell::new(self.cfg, service_and_epoch, recovered, &self.term_claim(), time);
        cell.set_queues(self.queues.clone());
        self.cell = Some(cell);
        self.pending_write = None;
        self.next_worker_list = self.now;
        self.term_ends.restart_questions(self.now);
        self.owner_lease = self.owner_lease.map(|_| OwnerLease::new(self.now));
        self.starts_in_flight = 0;
    }

    /// What the present owner knows of its claim and those before.
    fn term_claim(&self) -> TermClaim {
        let own = self.claims.iter().find(|(term, _)| *term == self.epoch);
        TermClaim {
            earlier_orders_end: self.earlier_orders_end,
            sent: own.map_or(Timestamp(0), |(_, claimed)| *claimed),
            seen: self.claims.iter().map(|(term, at)| (*term, *at + self.claim_delay)).collect(),
        }
    }

    /// Sets how late the next owners have seen the claims of earlier terms, in milliseconds.
    pub fn see_claims_after(&mut self, delay_ms: u64) {
        self.claim_delay = Span(delay_ms);
    }

    /// Makes the next owners unaware of the claims of earlier terms.
    pub fn forget_claims(&mut self) {
        self.claims.clear();
    }

    fn new_token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    /// Submits a job; [`Model::answer`] returns the answer once it has come.
    pub fn submit(&mut self, id: JobId, queue: &QueueId, spec: JobSpec) -> Token {
        let token = self.new_token();
        let time = (self.now, self.wall_ms());
        if let Some(cell) = &mut self.cell {
            cell.submit(token, (id, queue.clone()), spec, time);
        }
        token
    }

    /// Cancels a job; [`Model::answer`] returns the answer once it has come.
    pub fn cancel(&mut self, id: JobId) -> Token {
        let token = self.new_token();
        self.cancelled_jobs.insert(id);
        if let Some(cell) = &mut self.cell {
            cell.cancel(token, id, self.now);
        }
        token
    }

    /// Returns the answer to a client's request, if it has come.
    #[must_use]
    pub fn answer(&self, token: Token) -> Option<Answer> {
        self.answers.get(&token).copied()
    }
}
