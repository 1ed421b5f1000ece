//! A simulation of a cell's workers and of its log in the store, in virtual time.
//!
//! [`Model`] drives a [`Cell`] directly and carries out its actions as the platform would. A test
//! can inject faults: workers that restart or are partitioned, start orders that arrive late or
//! whose answers are lost, owners that crash. The model records every violation of the platform's
//! guarantees, above all a task that runs twice at the same time. A day of load takes milliseconds.

mod control;
mod worker;

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;
use teaselgap_core::{
    Epoch, QueueId, ServiceId, Span, Timestamp,
    job::{
        Action, AdviceAnswer, AdviceRequest, Answer, Cell, CellConfig, EndKind, HoldReport,
        LogConfig, LogEvent, QueueConfig, Segment, Sequence, StartOrder, StartOutcome, TaskId,
        Token, WorkerEntry, WorkerId,
    },
};

pub use self::worker::{ModelWorker, TaskTime};

/// One-way latency of a message, in milliseconds.
const LATENCY_MS: u64 = 1;

/// Latency of a write to the store, in milliseconds.
const WRITE_LATENCY_MS: u64 = 4;

/// Interval between two ticks of the cell, in milliseconds.
const TICK_MS: u64 = 5;

/// Interval at which the owner reads the list of workers, in milliseconds.
const WORKER_LIST_INTERVAL_MS: u64 = 500;

/// Timeout of a call to a worker, in milliseconds; a hold's wait time is added to it.
const CALL_TIMEOUT_MS: u64 = 600;

/// Time from a worker's last contact with the store until its entry is removed, in milliseconds.
const WORKER_ENTRY_TTL_MS: u64 = 4_500;

/// Response time of the advice service, in milliseconds.
const ADVICE_LATENCY_MS: u64 = 60;

/// How long a ticket is valid, in milliseconds.
const TICKET_VALIDITY_MS: u64 = 3_000;

/// The ticket that the advice service issues for every allowed worker.
const TICKET: &str = "ticket";

/// The longest time for which an owner may give orders after another one has claimed the cell.
pub const OWNER_TTL: Span = Span(3_000);

/// Wall-clock time at the model's time zero, in milliseconds since the Unix epoch.
const WALL_OFFSET_MS: u64 = 1_700_000_000_000;

/// A call of the owner to a worker.
#[derive(Clone, Debug)]
enum Call {
    Start(StartOrder),
    /// A stop order for a task's attempt.
    Stop(TaskId, u32),
    /// A hold that has not reached the worker yet.
    Hold {
        lease_end: Option<u64>,
        last_seen: u64,
        wait: Span,
        sent: Timestamp,
    },
    /// A hold that waits at the worker instance started at `started_wall_ms` until a run ends.
    PendingHold {
        last_seen: u64,
        wait: Span,
        sent: Timestamp,
        started_wall_ms: u64,
    },
}

/// The result of a call to a worker, or of a request to the advice service.
#[derive(Clone, Debug)]
enum Reply {
    Started(TaskId, u32, StartOutcome),
    /// Whether the worker has confirmed the stop order for a task's attempt.
    Stopped(TaskId, u32, bool),
    /// The report of a hold sent at the given time; `None` if the hold failed.
    Held(Timestamp, Option<HoldReport>),
    /// The answer to a request for advice; `None` if the service did not answer.
    Advice(AdviceRequest, Option<AdviceAnswer>),
}

/// A message in transit, or the confirmation of a write to the store.
#[derive(Clone, Debug)]
enum Delivery {
    /// A call; the owner gets the worker's answer only if `answer_arrives`.
    ToWorker {
        worker: WorkerId,
        epoch: Epoch,
        call: Call,
        answer_arrives: bool,
    },
    ToCell {
        worker: WorkerId,
        epoch: Epoch,
        reply: Reply,
    },
    SegmentWritten {
        epoch: Epoch,
        sequence: Sequence,
    },
}

/// Faults of the next start orders to a worker; late orders come before lost answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Number of start orders that the worker carries out but whose answers are lost.
    pub lost_answers: u32,
    /// Number of start orders that reach the worker late and are not answered.
    pub late_orders: u32,
    /// Time that a late order takes to reach the worker, in milliseconds.
    pub late_ms: u64,
}

/// A cell with its workers, its log and the time.
#[derive(Debug)]
pub struct Model {
    now: Timestamp,
    cfg: CellConfig,
    service: ServiceId,
    queues: IndexMap<QueueId, QueueConfig>,
    /// The cell at its owner; `None` while no node owns it.
    cell: Option<Cell>,
    /// Time until which owners of earlier terms than the current or latest one may have given
    /// orders.
    earlier_orders_end: Timestamp,
    /// When the owner that gave up the cell may have given its last order.
    gave_up_at: Timestamp,
    epoch: Epoch,
    workers: IndexMap<WorkerId, ModelWorker>,
    faults: IndexMap<WorkerId, WorkerFaults>,
    /// Workers that the owner cannot reach, with the time until which that lasts.
    unreachable: IndexMap<WorkerId, Timestamp>,
    log: BTreeMap<Sequence, Segment>,
    is_store_available: bool,
    /// During a handover the owner sends no more calls and only finishes writing its log.
    is_handing_over: bool,
    /// A write that the store has not accepted yet.
    pending_write: Option<(Epoch, Sequence, Segment)>,
    deliveries: BTreeMap<(Timestamp, u64), Delivery>,
    next_delivery: u64,
    next_token: u64,
    next_worker_list: Timestamp,
    /// Answers to client requests.
    answers: IndexMap<Token, Answer>,
    violations: Vec<String>,
    /// Tasks whose end as done an owner has confirmed to the worker.
    confirmed_done: BTreeSet<TaskId>,
    /// How many times each task has started.
    start_counts: IndexMap<TaskId, u32>,
    /// When each task last started.
    last_starts: IndexMap<TaskId, Timestamp>,
    log_events: Vec<LogEvent>,
    /// Workers that the advice service allows.
    allowed_workers: BTreeSet<WorkerId>,
    /// Whether the advice service answers.
    is_advice_available: bool,
    advice_request_count: usize,
}

/// Returns the cell configuration of a typical small deployment.
#[must_use]
pub fn cell_config() -> CellConfig {
    CellConfig {
        lease: Span(5_500),
        stop_timeout: Span(500),
        status_retention: Span(120_000),
        log: LogConfig::default(),
    }
}

impl Model {
    /// Creates a cell with its workers and lets a first owner take it over.
    #[must_use]
    pub fn new(
        service: ServiceId,
        queues: IndexMap<QueueId, QueueConfig>,
        workers: Vec<ModelWorker>,
    ) -> Self {
        let mut model = Self {
            now: Timestamp(10_000),
            cfg: cell_config(),
            service,
            queues,
            cell: None,
            earlier_orders_end: Timestamp(0),
            gave_up_at: Timestamp(0),
            epoch: Epoch(0),
            workers: workers.into_iter().map(|one| (one.entry.id.clone(), one)).collect(),
            faults: IndexMap::new(),
            unreachable: IndexMap::new(),
            log: BTreeMap::new(),
            is_store_available: true,
            is_handing_over: false,
            pending_write: None,
            deliveries: BTreeMap::new(),
            next_delivery: 0,
            next_token: 0,
            next_worker_list: Timestamp(0),
            answers: IndexMap::new(),
            violations: Vec::new(),
            confirmed_done: BTreeSet::new(),
            start_counts: IndexMap::new(),
            last_starts: IndexMap::new(),
            log_events: Vec::new(),
            allowed_workers: BTreeSet::new(),
            is_advice_available: true,
            advice_request_count: 0,
        };
        model.take_over();
        model
    }

    /// Returns the current time of the model.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the current wall-clock time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn wall_ms(&self) -> u64 {
        WALL_OFFSET_MS + self.now.0
    }

    /// Returns the cell at its owner, or `None` while no node owns it.
    #[must_use]
    pub fn cell(&self) -> Option<&Cell> {
        self.cell.as_ref()
    }

    /// Returns the cell at its owner for modification, or `None` while no node owns it.
    pub fn cell_mut(&mut self) -> Option<&mut Cell> {
        self.cell.as_mut()
    }

    /// Returns the violations of the platform's guarantees that were seen so far: tasks that ran
    /// twice at the same time or started after they were done.
    #[must_use]
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns how many times a task has started.
    #[must_use]
    pub fn start_count(&self, task: TaskId) -> u32 {
        self.start_counts.get(&task).copied().unwrap_or(0)
    }

    /// Returns the log events of all owners so far.
    #[must_use]
    pub fn log_events(&self) -> &[LogEvent] {
        &self.log_events
    }

    /// Advances the time by `ms` milliseconds.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + Span(ms);
        while self.now < end {
            self.now = self.now + Span(1);
            self.deliver();
            for worker in self.workers.values_mut() {
                worker.advance(self.now);
            }
            if self.now.0.is_multiple_of(TICK_MS) {
                self.tick();
            }
        }
    }

    /// Advances the time until `condition` holds, by at most `timeout_ms`, and returns whether it
    /// holds.
    pub fn run_until(&mut self, timeout_ms: u64, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + Span(timeout_ms);
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.run_for(TICK_MS);
        }
        condition(self)
    }

    fn tick(&mut self) {
        if self.now >= self.next_worker_list && self.is_store_available {
            self.next_worker_list = self.now + Span(WORKER_LIST_INTERVAL_MS);
            let now = self.now;
            let entries: Vec<WorkerEntry> = self
                .workers
                .values()
                .filter(|worker| now <= worker.last_store_contact(now) + Span(WORKER_ENTRY_TTL_MS))
                .map(|worker| worker.entry.clone())
                .collect();
            if let Some(cell) = &mut self.cell {
                cell.update_workers(entries, true, now);
            }
        }
        let (now, wall_ms) = (self.now, self.wall_ms());
        let Some(cell) = &mut self.cell else {
            return;
        };
        if !self.is_handing_over {
            cell.tick(now, wall_ms);
        }
        if self.pending_write.is_none() {
            let write = cell.take_write(now);
            self.pending_write = write.map(|(sequence, segment)| (self.epoch, sequence, segment));
        }
        let mut actions = cell.take_actions();
        if self.is_handing_over {
            actions.retain(|action| matches!(action, Action::Reply(..) | Action::Log(_)));
        }
        if self.is_store_available
            && let Some((epoch, sequence, segment)) = self.pending_write.take()
        {
            self.log.insert(sequence, segment);
            self.send(WRITE_LATENCY_MS, Delivery::SegmentWritten { epoch, sequence });
        }
        for action in actions {
            self.perform(action);
        }
    }

    fn send(&mut self, delay_ms: u64, delivery: Delivery) {
        self.next_delivery += 1;
        self.deliveries.insert((self.now + Span(delay_ms), self.next_delivery), delivery);
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Reply(token, answer) => {
                self.answers.insert(token, answer);
            }
            Action::Log(event) => self.log_events.push(event),
            Action::Pace(..) => {}
            Action::RequestAdvice(request) => self.request_advice(request),
            Action::Start(worker, order) => self.call(worker, Call::Start(order)),
            Action::Stop(worker, task, attempt) => self.call(worker, Call::Stop(task, attempt)),
            Action::Hold { worker, lease_end, last_seen, wait } => {
                let call = Call::Hold { lease_end, last_seen, wait, sent: self.now };
                self.call(worker, call);
            }
        }
    }

    /// Sends a request to the advice service, which answers unless it is unavailable.
    fn request_advice(&mut self, request: AdviceRequest) {
        let allowed =
            request.workers.iter().filter(|&worker| self.allowed_workers.contains(worker));
        let allowed = allowed.map(|worker| (worker.clone(), TICKET.into())).collect();
        let answer = self
            .is_advice_available
            .then_some(AdviceAnswer { allowed, validity: Span(TICKET_VALIDITY_MS) });
        self.advice_request_count += 1;
        let (worker, epoch) = (request.workers[0].clone(), self.epoch);
        let reply = Reply::Advice(request, answer);
        self.send(ADVICE_LATENCY_MS, Delivery::ToCell { worker, epoch, reply });
    }

    fn is_unreachable(&self, worker: &WorkerId) -> bool {
        self.unreachable.get(worker).is_some_and(|until| self.now < *until)
    }

    /// Sends a call to a worker, subject to the injected faults.
    fn call(&mut self, worker: WorkerId, call: Call) {
        let epoch = self.epoch;
        if self.is_unreachable(&worker) {
            self.schedule_timeout(worker, epoch, &call);
            return;
        }
        let mut delay_ms = LATENCY_MS;
        let mut answer_arrives = true;
        if let (Call::Start(_), Some(faults)) = (&call, self.faults.get_mut(&worker)) {
            if faults.late_orders > 0 {
                faults.late_orders -= 1;
                delay_ms = faults.late_ms;
                answer_arrives = false;
            } else if faults.lost_answers > 0 {
                faults.lost_answers -= 1;
                answer_arrives = false;
            }
        }
        if !answer_arrives {
            self.schedule_timeout(worker.clone(), epoch, &call);
        }
        self.send(delay_ms, Delivery::ToWorker { worker, epoch, call, answer_arrives });
    }

    /// Schedules the reply that the owner gets when a call times out.
    fn schedule_timeout(&mut self, worker: WorkerId, epoch: Epoch, call: &Call) {
        let (delay_ms, reply) = match call {
            Call::Start(order) => {
                let outcome = StartOutcome::Unknown;
                (CALL_TIMEOUT_MS, Reply::Started(order.task, order.attempt, outcome))
            }
            Call::Stop(task, attempt) => (CALL_TIMEOUT_MS, Reply::Stopped(*task, *attempt, false)),
            Call::Hold { wait, sent, .. } | Call::PendingHold { wait, sent, .. } => {
                (CALL_TIMEOUT_MS + wait.0, Reply::Held(*sent, None))
            }
        };
        self.send(delay_ms, Delivery::ToCell { worker, epoch, reply });
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.deliveries.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Delivery::ToWorker { worker, epoch, call, answer_arrives } => {
                    self.on_call(worker, epoch, call, answer_arrives);
                }
                Delivery::ToCell { worker, epoch, reply } => self.on_reply(&worker, epoch, reply),
                Delivery::SegmentWritten { epoch, sequence } => {
                    let now = self.now;
                    if let Some(cell) = self.cell.as_mut().filter(|cell| cell.epoch() == epoch) {
                        cell.on_segment_written(sequence, now);
                    }
                }
            }
        }
    }

    fn on_call(&mut self, id: WorkerId, epoch: Epoch, call: Call, answer_arrives: bool) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        if worker.is_partitioned(now) {
            if answer_arrives {
                self.schedule_timeout(id, epoch, &call);
            }
            return;
        }
        let reply = match call {
            Call::Start(order) => {
                let outcome = worker.start(&order, epoch, now);
                if outcome == StartOutcome::Started && worker.has_owner_contact() {
                    self.record_start(&id, &order);
                }
                Reply::Started(order.task, order.attempt, outcome)
            }
            Call::Stop(task, attempt) => {
                Reply::Stopped(task, attempt, worker.stop(task, attempt, epoch, now))
            }
            Call::PendingHold { started_wall_ms, sent, .. }
                if started_wall_ms != worker.entry.started_wall_ms =>
            {
                // The connection was lost when the worker instance ended.
                Reply::Held(sent, None)
            }
            Call::Hold { last_seen, wait, sent, .. }
            | Call::PendingHold { last_seen, wait, sent, .. } => {
                let lease_end = match call {
                    Call::Hold { lease_end, .. } => lease_end,
                    _ => None,
                };
                if let Some(delay_ms) = worker.remaining_wait(sent, wait, last_seen, now) {
                    worker.extend_lease(lease_end, epoch, now);
                    let started_wall_ms = worker.entry.started_wall_ms;
                    let call = Call::PendingHold { last_seen, wait, sent, started_wall_ms };
                    let pending = Delivery::ToWorker { worker: id, epoch, call, answer_arrives };
                    self.send(delay_ms, pending);
                    return;
                }
                let hold_result = worker.hold(lease_end, last_seen, epoch, now);
                let (report, done) =
                    hold_result.map_or((None, Vec::new()), |(report, done)| (Some(report), done));
                self.record_done(done);
                Reply::Held(sent, report)
            }
        };
        if answer_arrives {
            self.send(LATENCY_MS, Delivery::ToCell { worker: id, epoch, reply });
        }
    }

    /// Records tasks that an owner has confirmed as done, each with the time of its end, and checks
    /// that none of them has started since.
    fn record_done(&mut self, done: Vec<(TaskId, Timestamp)>) {
        for (task, at) in done {
            if self.last_starts.get(&task).is_some_and(|start| *start > at) {
                self.violations.push(format!("{} {task} started after it was done", self.now));
            }
            self.confirmed_done.insert(task);
        }
    }

    /// Records the start of a task, and checks that it is neither done nor running on another
    /// worker.
    fn record_start(&mut self, id: &WorkerId, order: &StartOrder) {
        let task = order.task;
        *self.start_counts.entry(task).or_default() += 1;
        self.last_starts.insert(task, self.now);
        if self.confirmed_done.contains(&task) {
            self.violations.push(format!("{} {task} started after it was done", self.now));
        }
        let elsewhere: Vec<String> = self
            .workers
            .iter()
            .filter(|(other, worker)| *other != id && worker.is_running(task))
            .map(|(other, _)| other.to_string())
            .collect();
        if !elsewhere.is_empty() {
            let at = elsewhere.join(", ");
            self.violations.push(format!("{} {task} runs at {id} and at {at}", self.now));
        }
    }

    fn on_reply(&mut self, id: &WorkerId, epoch: Epoch, reply: Reply) {
        let now = self.now;
        let Some(cell) = self.cell.as_mut().filter(|cell| cell.epoch() == epoch) else {
            return;
        };
        match reply {
            Reply::Started(task, attempt, outcome) => {
                cell.on_start_answer(id, (task, attempt), outcome, now);
            }
            Reply::Stopped(task, attempt, confirmed) => {
                cell.on_stop_answer(id, (task, attempt), confirmed, now);
            }
            Reply::Held(sent, report) => cell.on_hold_answer(id, sent, report, now),
            Reply::Advice(request, answer) => cell.on_advice_answer(&request, answer.as_ref(), now),
        }
    }

    /// Returns how many run ends of a kind the owners have logged.
    #[must_use]
    pub fn end_count(&self, kind: EndKind) -> usize {
        let is_kind =
            |event: &&LogEvent| matches!(event, LogEvent::Ended { how, .. } if *how == kind);
        self.log_events.iter().filter(is_kind).count()
    }
}
