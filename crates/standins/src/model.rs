//! A model of workers and of the store's log in virtual time, which drives a cell directly.
//!
//! It answers the cell's actions as the platform would, with the faults that a test or an experiment
//! asks for: workers that crash, fall silent or start anew, orders whose answers are lost or that are
//! carried out late, owners that end without a word. It notes what no worker may ever see, above all a
//! task that runs twice. A day of load takes milliseconds.

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

/// The time that a message takes one way, in milliseconds.
const LATENCY_MS: u64 = 1;

/// The time that the store takes for a write, in milliseconds.
const WRITE_MS: u64 = 4;

/// How often time passes for the cell, in milliseconds.
const TICK_MS: u64 = 5;

/// How often the list of workers is read, in milliseconds.
const ROSTER_MS: u64 = 500;

/// How long an order waits for its answer, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 600;

/// How long after a worker's last sign its entry is gone, in milliseconds.
const ENTRY_LIFE_MS: u64 = 4_500;

/// The time that the service with advice takes, in milliseconds.
const ADVICE_MS: u64 = 60;

/// How long a ticket holds, in milliseconds.
const TICKET_MS: u64 = 3_000;

/// The only ticket.
const TICKET: &str = "ticket";

/// The wall clock of the model's first millisecond.
const WALL_OFFSET_MS: u64 = 1_700_000_000_000;

/// An order on its way to a worker.
#[derive(Clone, Debug)]
enum Call {
    Start(StartOrder),
    Stop(TaskId, u32),
    Hold {
        lease_end: Option<u64>,
        last_seen: u64,
        wait: Span,
        sent: Timestamp,
    },
    /// A hold that waits for an end in the life of the worker that began at `born`.
    Waiting {
        last_seen: u64,
        wait: Span,
        sent: Timestamp,
        born: u64,
    },
}

/// What a worker says to an order.
#[derive(Clone, Debug)]
enum Said {
    Started(TaskId, u32, StartOutcome),
    Stopped(TaskId, u32, bool),
    Held(Timestamp, Option<HoldReport>),
    Advised(AdviceRequest, Option<AdviceAnswer>),
}

#[derive(Clone, Debug)]
enum Delivery {
    ToWorker { worker: WorkerId, epoch: Epoch, call: Call, answers: bool },
    ToCell { worker: WorkerId, epoch: Epoch, said: Said },
    Written { epoch: Epoch, sequence: Sequence },
}

/// How orders to a worker go astray.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Orders to start whose answer is lost.
    pub lost_answers: u32,
    /// Orders to start that are carried out late and not answered, and how late in milliseconds.
    pub late_orders: u32,
    /// How late those are carried out, in milliseconds.
    pub late_ms: u64,
}

/// One cell with its workers and its log.
#[derive(Debug)]
pub struct Model {
    now: Timestamp,
    cfg: CellConfig,
    service: ServiceId,
    queues: IndexMap<QueueId, QueueConfig>,
    /// The owner in its term; `None` while nobody owns the cell.
    cell: Option<Cell>,
    epoch: Epoch,
    workers: IndexMap<WorkerId, ModelWorker>,
    faults: IndexMap<WorkerId, WorkerFaults>,
    /// Workers that the owner can't reach, and until when.
    unreachable: IndexMap<WorkerId, Timestamp>,
    log: BTreeMap<Sequence, Segment>,
    store_up: bool,
    /// The owner gives no more orders and only finishes its log.
    handing_over: bool,
    /// A write that the store has not taken yet.
    unwritten: Option<(Epoch, Sequence, Segment)>,
    deliveries: BTreeMap<(Timestamp, u64), Delivery>,
    next_delivery: u64,
    next_token: u64,
    next_roster: Timestamp,
    answers: IndexMap<Token, Answer>,
    violations: Vec<String>,
    done: BTreeSet<TaskId>,
    starts: IndexMap<TaskId, u32>,
    last_starts: IndexMap<TaskId, Timestamp>,
    log_events: Vec<LogEvent>,
    /// Workers that the service with advice allows.
    allowed: BTreeSet<WorkerId>,
    /// The service with advice answers.
    advises: bool,
    advice_requests: usize,
}

/// The bounds of a deployment such as the smaller ones of the users.
#[must_use]
pub fn cell_config() -> CellConfig {
    CellConfig {
        lease: Span(5_500),
        owner_ttl: Span(3_000),
        stop_timeout: Span(500),
        status_retention: Span(120_000),
        log: LogConfig::default(),
    }
}

impl Model {
    /// A cell of one service with workers, owned from the start.
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
            epoch: Epoch(0),
            workers: workers.into_iter().map(|one| (one.entry.id.clone(), one)).collect(),
            faults: IndexMap::new(),
            unreachable: IndexMap::new(),
            log: BTreeMap::new(),
            store_up: true,
            handing_over: false,
            unwritten: None,
            deliveries: BTreeMap::new(),
            next_delivery: 0,
            next_token: 0,
            next_roster: Timestamp(0),
            answers: IndexMap::new(),
            violations: Vec::new(),
            done: BTreeSet::new(),
            starts: IndexMap::new(),
            last_starts: IndexMap::new(),
            log_events: Vec::new(),
            allowed: BTreeSet::new(),
            advises: true,
            advice_requests: 0,
        };
        model.take_over();
        model
    }

    /// The model's time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// The model's wall clock in milliseconds.
    #[must_use]
    pub fn wall_ms(&self) -> u64 {
        WALL_OFFSET_MS + self.now.0
    }

    /// The cell at its owner.
    #[must_use]
    pub fn cell(&self) -> Option<&Cell> {
        self.cell.as_ref()
    }

    /// The cell at its owner, to be changed.
    pub fn cell_mut(&mut self) -> Option<&mut Cell> {
        self.cell.as_mut()
    }

    /// What no worker may see and one saw.
    #[must_use]
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// How many times a task has started.
    #[must_use]
    pub fn starts(&self, task: TaskId) -> u32 {
        self.starts.get(&task).copied().unwrap_or(0)
    }

    /// What the owners noted.
    #[must_use]
    pub fn log_events(&self) -> &[LogEvent] {
        &self.log_events
    }

    /// Lets time pass.
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

    /// Lets time pass until `is_done`, for `most_ms` at the longest; whether it came so far.
    pub fn run_until(&mut self, most_ms: u64, is_done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + Span(most_ms);
        while self.now < end {
            if is_done(self) {
                return true;
            }
            self.run_for(TICK_MS);
        }
        is_done(self)
    }

    fn tick(&mut self) {
        if self.now >= self.next_roster && self.store_up {
            self.next_roster = self.now + Span(ROSTER_MS);
            let now = self.now;
            let entries: Vec<WorkerEntry> = self
                .workers
                .values()
                .filter(|worker| now <= worker.last_response() + Span(ENTRY_LIFE_MS))
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
        if !self.handing_over {
            cell.tick(now, wall_ms);
        }
        if self.unwritten.is_none() {
            let write = cell.take_write(now);
            self.unwritten = write.map(|(sequence, segment)| (self.epoch, sequence, segment));
        }
        let mut actions = cell.take_actions();
        if self.handing_over {
            actions.retain(|action| matches!(action, Action::Reply(..) | Action::Log(_)));
        }
        if self.store_up
            && let Some((epoch, sequence, segment)) = self.unwritten.take()
        {
            self.log.insert(sequence, segment);
            self.send(WRITE_MS, Delivery::Written { epoch, sequence });
        }
        for action in actions {
            self.act(action);
        }
    }

    fn send(&mut self, after_ms: u64, delivery: Delivery) {
        self.next_delivery += 1;
        self.deliveries.insert((self.now + Span(after_ms), self.next_delivery), delivery);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Reply(token, answer) => {
                self.answers.insert(token, answer);
            }
            Action::Log(event) => self.log_events.push(event),
            Action::Pace(..) => {}
            Action::RequestAdvice(request) => self.advise(request),
            Action::Start(worker, order) => self.order(worker, Call::Start(order)),
            Action::Stop(worker, task, attempt) => self.order(worker, Call::Stop(task, attempt)),
            Action::Hold { worker, lease_end, last_seen, wait } => {
                let call = Call::Hold { lease_end, last_seen, wait, sent: self.now };
                self.order(worker, call);
            }
        }
    }

    /// The service with advice answers, unless it is down.
    fn advise(&mut self, request: AdviceRequest) {
        let allowed = request.workers.iter().filter(|&worker| self.allowed.contains(worker));
        let allowed = allowed.map(|worker| (worker.clone(), TICKET.into())).collect();
        let answer = self.advises.then_some(AdviceAnswer { allowed, validity: Span(TICKET_MS) });
        self.advice_requests += 1;
        let (worker, epoch) = (request.workers[0].clone(), self.epoch);
        let said = Said::Advised(request, answer);
        self.send(ADVICE_MS, Delivery::ToCell { worker, epoch, said });
    }

    fn is_unreachable(&self, worker: &WorkerId) -> bool {
        self.unreachable.get(worker).is_some_and(|until| self.now < *until)
    }

    /// Sends an order, with whatever fault is due.
    fn order(&mut self, worker: WorkerId, call: Call) {
        let epoch = self.epoch;
        if self.is_unreachable(&worker) {
            self.time_out(worker, epoch, &call);
            return;
        }
        let mut delay = LATENCY_MS;
        let mut answers = true;
        if let (Call::Start(_), Some(faults)) = (&call, self.faults.get_mut(&worker)) {
            if faults.late_orders > 0 {
                faults.late_orders -= 1;
                delay = faults.late_ms;
                answers = false;
            } else if faults.lost_answers > 0 {
                faults.lost_answers -= 1;
                answers = false;
            }
        }
        if !answers {
            self.time_out(worker.clone(), epoch, &call);
        }
        self.send(delay, Delivery::ToWorker { worker, epoch, call, answers });
    }

    /// The owner gives an order up.
    fn time_out(&mut self, worker: WorkerId, epoch: Epoch, call: &Call) {
        let (after, said) = match call {
            Call::Start(order) => {
                let outcome = StartOutcome::Unknown;
                (ORDER_TIMEOUT_MS, Said::Started(order.task, order.attempt, outcome))
            }
            Call::Stop(task, attempt) => (ORDER_TIMEOUT_MS, Said::Stopped(*task, *attempt, false)),
            Call::Hold { wait, sent, .. } | Call::Waiting { wait, sent, .. } => {
                (ORDER_TIMEOUT_MS + wait.0, Said::Held(*sent, None))
            }
        };
        self.send(after, Delivery::ToCell { worker, epoch, said });
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.deliveries.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Delivery::ToWorker { worker, epoch, call, answers } => {
                    self.at_worker(worker, epoch, call, answers);
                }
                Delivery::ToCell { worker, epoch, said } => self.at_cell(&worker, epoch, said),
                Delivery::Written { epoch, sequence } => {
                    let now = self.now;
                    if let Some(cell) = self.cell.as_mut().filter(|cell| cell.epoch() == epoch) {
                        cell.on_segment_written(sequence, now);
                    }
                }
            }
        }
    }

    fn at_worker(&mut self, id: WorkerId, epoch: Epoch, call: Call, answers: bool) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        if worker.is_partitioned(now) {
            if answers {
                self.time_out(id, epoch, &call);
            }
            return;
        }
        let said = match call {
            Call::Start(order) => {
                let outcome = worker.start(&order, epoch, now);
                if outcome == StartOutcome::Started && worker.has_owner_contact() {
                    self.note_start(&id, &order);
                }
                Said::Started(order.task, order.attempt, outcome)
            }
            Call::Stop(task, attempt) => {
                Said::Stopped(task, attempt, worker.stop(task, attempt, epoch, now))
            }
            Call::Waiting { born, sent, .. } if born != worker.entry.started_wall_ms => {
                // The connection ended with the life that it led to.
                Said::Held(sent, None)
            }
            Call::Hold { last_seen, wait, sent, .. }
            | Call::Waiting { last_seen, wait, sent, .. } => {
                let lease_end = match call {
                    Call::Hold { lease_end, .. } => lease_end,
                    _ => None,
                };
                if let Some(left) = worker.wait_left(sent, wait, last_seen, now) {
                    worker.extend(lease_end, epoch, now);
                    let born = worker.entry.started_wall_ms;
                    let call = Call::Waiting { last_seen, wait, sent, born };
                    let again = Delivery::ToWorker { worker: id, epoch, call, answers };
                    self.send(left, again);
                    return;
                }
                let held = worker.hold(lease_end, last_seen, epoch, now);
                let (report, done) =
                    held.map_or((None, Vec::new()), |(report, done)| (Some(report), done));
                self.note_done(done);
                Said::Held(sent, report)
            }
        };
        if answers {
            self.send(LATENCY_MS, Delivery::ToCell { worker: id, epoch, said });
        }
    }

    /// Ends as done that the owner has confirmed.
    fn note_done(&mut self, done: Vec<(TaskId, Timestamp)>) {
        for (task, at) in done {
            if self.last_starts.get(&task).is_some_and(|start| *start > at) {
                self.violations.push(format!("{} {task} started after it was done", self.now));
            }
            self.done.insert(task);
        }
    }

    fn note_start(&mut self, id: &WorkerId, order: &StartOrder) {
        let task = order.task;
        *self.starts.entry(task).or_default() += 1;
        self.last_starts.insert(task, self.now);
        if self.done.contains(&task) {
            self.violations.push(format!("{} {task} started after it was done", self.now));
        }
        let elsewhere: Vec<String> = self
            .workers
            .iter()
            .filter(|(other, worker)| *other != id && worker.runs(task))
            .map(|(other, _)| other.to_string())
            .collect();
        if !elsewhere.is_empty() {
            let at = elsewhere.join(", ");
            self.violations.push(format!("{} {task} runs at {id} and at {at}", self.now));
        }
    }

    fn at_cell(&mut self, id: &WorkerId, epoch: Epoch, said: Said) {
        let now = self.now;
        let Some(cell) = self.cell.as_mut().filter(|cell| cell.epoch() == epoch) else {
            return;
        };
        match said {
            Said::Started(task, attempt, outcome) => {
                cell.on_start_answer(id, (task, attempt), outcome, now);
            }
            Said::Stopped(task, attempt, confirmed) => {
                cell.on_stop_answer(id, (task, attempt), confirmed, now);
            }
            Said::Held(sent, report) => cell.on_hold_answer(id, sent, report, now),
            Said::Advised(request, answer) => cell.on_advice_answer(&request, answer.as_ref(), now),
        }
    }

    /// How many ends of a kind the owners have taken in.
    #[must_use]
    pub fn ends(&self, kind: EndKind) -> usize {
        let is_kind =
            |event: &&LogEvent| matches!(event, LogEvent::Ended { how, .. } if *how == kind);
        self.log_events.iter().filter(is_kind).count()
    }
}
