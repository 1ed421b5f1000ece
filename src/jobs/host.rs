//! The owner of a cell: has the cell's log written, calls its workers and answers requests.

mod replies;

use std::{
    cell::{Cell as StdCell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use slog::{info, warn};
use teaselgap_core::{
    Epoch, ServiceId, Span, Timestamp,
    job::{
        Action, AdmissionPolicy, AdviceRequest, Answer, Cell, CellConfig, DrainMode, FlowLimits,
        LinkRate, Load, LogConfig, LogEvent, StartOrder, StartOutcome, TaskId, Token, WorkerEntry,
        WorkerId,
    },
};
use teaselgap_platform::{
    advice,
    client::CallError,
    config::Config,
    settings::{Bounds, Limits},
    worker::{HoldError, Target, WorkerClient},
};
use tokio::sync::{Notify, oneshot};

use self::replies::PendingReplies;
use super::{
    ask::{CellRequest, Operation, Reply},
    log_store::{LogStore, WriteError},
    node::Node,
    note::{CellLog, StoreState},
    owner_load::{CallKind, LoadMeter, OwnerLoad},
    peer::{BUSY_RETRY_AFTER, CellReport},
    repeat::{MAX_ORDER_COPIES, Repeater},
    session,
};
use crate::clock;

/// The longest pause between two ticks of a cell, and between two checks for a segment to write.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// The shortest interval between two ticks of a cell; what happens meanwhile shares a tick.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The interval at which an owner writes its load, and how many log lines it left out.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a write to the store may be pending before the cell refuses new jobs at once.
const STALLED_WRITE_TIMEOUT: Span = Span(400);

/// How long a refused client should wait before it retries while the store accepts no writes.
const STORE_RETRY_AFTER: Span = Span(1_000);

/// How long a stopping node waits for a cell's last segments to be written.
const FLUSH_TIMEOUT: Span = Span(1_500);

/// The lease that the owner requests for a worker, in percent of the longest lease allowed.
const LEASE_PERCENT: u64 = 93;

/// The longest lease that the owner requests for a worker. It outlasts the failover of a cell.
const MAX_WORKER_LEASE: Span = Span(6_000);

/// The owner of a cell during one term.
pub(crate) struct CellOwner {
    node: Rc<Node>,
    service: ServiceId,
    epoch: Epoch,
    log: CellLog,
    meter: RefCell<LoadMeter>,
    log_store: LogStore,
    started_at: Timestamp,
    worker_client: WorkerClient,
    /// Sends start orders again while workers don't answer.
    order_repeater: Repeater,
    cell: RefCell<Option<Cell>>,
    targets: RefCell<IndexMap<WorkerId, Target>>,
    pending_replies: RefCell<PendingReplies>,
    is_term_over: StdCell<bool>,
    /// When the pending write of a segment was first sent; `None` if no write is pending.
    writing_since: StdCell<Option<Timestamp>>,
    /// Time until which owners of earlier terms may have given orders.
    earlier_orders_end: StdCell<Timestamp>,
    is_handing_over: StdCell<bool>,
    wake: Notify,
}

fn cell_config(node: &Node) -> CellConfig {
    let Bounds { max_hold_ms, stop_ms, status_s, .. } = node.settings.bounds;
    let Limits { link_mbps, cpu_share, cores } = node.settings.limits;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "short durations")]
    let status_retention = Span((status_s.max(0.0) * 1_000.0) as u64);
    let defaults = LogConfig::default();
    let max_segment_bytes = defaults.max_segment_bytes.min(node.settings.store.value_bytes);
    CellConfig {
        lease: Span((max_hold_ms * LEASE_PERCENT / 100).min(MAX_WORKER_LEASE.0)),
        stop_timeout: Span(stop_ms),
        status_retention,
        log: LogConfig { max_segment_bytes, ..defaults },
        admission: AdmissionPolicy::ByForecast,
        flow: FlowLimits::new(LinkRate::from_mbps(link_mbps), cpu_share * cores),
    }
}

/// A term of this process that is over.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedTerm {
    epoch: Epoch,
    /// Time until which this owner, or one of an earlier term, may have given orders.
    orders_end: Timestamp,
}

impl EndedTerm {
    pub(super) fn epoch(&self) -> Epoch {
        self.epoch
    }
}

/// Starts a term as the owner of a cell, whose key in the store this node has just claimed.
/// `earlier_revision` is the key's revision before that; zero if there was no key.
///
/// Another process may give orders for `owner_ttl` after the claim. If the term before was one of
/// this process, nobody has given any order since that term ended.
pub(super) fn start(node: &Rc<Node>, service: ServiceId, epoch: Epoch, earlier_revision: u64) {
    let claimed_at = clock::now();
    let previous = node.cell_owners.borrow_mut().shift_remove(&service);
    if let Some(previous) = previous {
        previous.end_term("a new term has begun");
    }
    let own_term = node.ended_terms.borrow().get(&service).copied();
    let own_term = own_term.filter(|term| term.epoch.0 == earlier_revision);
    let earlier_orders_end =
        own_term.map_or(claimed_at + session::owner_ttl(node), |term| term.orders_end);
    let owner = Rc::new(CellOwner {
        node: Rc::clone(node),
        service: service.clone(),
        epoch,
        log: CellLog::new(node.log.clone(), service.clone(), epoch),
        meter: RefCell::default(),
        log_store: LogStore::new(Rc::clone(node), service.clone(), epoch),
        started_at: clock::now(),
        worker_client: WorkerClient::new(Rc::clone(&node.connections), epoch),
        order_repeater: Repeater::new(MAX_ORDER_COPIES),
        cell: RefCell::new(None),
        targets: RefCell::new(IndexMap::new()),
        pending_replies: RefCell::default(),
        is_term_over: StdCell::new(false),
        writing_since: StdCell::new(None),
        earlier_orders_end: StdCell::new(earlier_orders_end),
        is_handing_over: StdCell::new(false),
        wake: Notify::new(),
    });
    node.cell_owners.borrow_mut().insert(service, Rc::clone(&owner));
    tokio::task::spawn_local(owner.run());
}

impl CellOwner {
    pub(super) fn service(&self) -> &ServiceId {
        &self.service
    }

    pub(super) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the log has been read and the term is neither over nor being handed over.
    pub(super) fn is_serving(&self) -> bool {
        !self.is_term_over.get() && !self.is_handing_over.get() && self.cell.borrow().is_some()
    }

    /// Since when the log has been read; `None` once it has been, and once the term is over.
    pub(super) fn recovering_since(&self) -> Option<Timestamp> {
        let is_recovering = !self.is_term_over.get() && self.cell.borrow().is_none();
        is_recovering.then_some(self.started_at)
    }

    /// Ends the term: this owner sends no more orders and writes no more segments. Pending requests
    /// get no reply, and the nodes that received them from clients look up the owner and ask again.
    pub(super) fn end_term(&self, reason: &'static str) {
        if self.is_term_over.replace(true) {
            return;
        }
        let orders_end = clock::now().max(self.earlier_orders_end.get());
        let ended_term = EndedTerm { epoch: self.epoch, orders_end };
        self.node.ended_terms.borrow_mut().insert(self.service.clone(), ended_term);
        info!(self.node.log, "cell term ended"; "cell" => %self.service, "epoch" => self.epoch.0,
            "reason" => reason, "open_questions" => self.pending_replies.borrow().len());
        self.pending_replies.borrow_mut().clear();
        self.wake.notify_one();
    }

    /// Calls `f` on the cell and wakes the loop that executes the resulting actions. Returns `None`
    /// without calling `f` before the log has been read and once the term has ended.
    fn with_cell<T>(&self, f: impl FnOnce(&mut Cell) -> T) -> Option<T> {
        if self.is_term_over.get() {
            return None;
        }
        let result = self.cell.borrow_mut().as_mut().map(f);
        self.wake.notify_one();
        result
    }

    async fn run(self: Rc<Self>) {
        let started = clock::now();
        let Some(recovered) = self.log_store.read(&self.is_term_over).await else {
            return;
        };
        let segments = recovered.segments.len();
        let bytes: usize = recovered.segments.iter().map(|segment| segment.bytes).sum();
        let time = (clock::now(), clock::wall_ms());
        let cfg = cell_config(&self.node);
        let service_and_epoch = (self.service.clone(), self.epoch);
        let earlier_orders_end = self.earlier_orders_end.get();
        let cell = Cell::new(cfg, service_and_epoch, recovered, earlier_orders_end, time);
        *self.cell.borrow_mut() = Some(cell);
        if let Some(config) = self.node.shared.config.load_full() {
            self.set_queues(&config);
        }
        info!(self.node.log, "cell recovered"; "cell" => %self.service, "epoch" => self.epoch.0,
            "segments" => segments, "bytes" => bytes, "took_ms" => clock::now().since(started).0);
        self.node.roster_refresh.notify_one();
        tokio::task::spawn_local(Rc::clone(&self).write_log());
        tokio::task::spawn_local(Rc::clone(&self).report());
        let mut next_tick = tokio::time::Instant::now();
        while !self.is_term_over.get() {
            let _ = tokio::time::timeout(TICK_INTERVAL, self.wake.notified()).await;
            tokio::time::sleep_until(next_tick).await;
            next_tick = tokio::time::Instant::now() + MIN_TICK_INTERVAL;
            self.tick();
        }
    }

    async fn report(self: Rc<Self>) {
        while !self.is_term_over.get() {
            tokio::time::sleep(REPORT_INTERVAL).await;
            self.log.start_second();
            self.report_load();
        }
        // The gauges would otherwise keep showing the last second of this term.
        let (service, none) = (self.service.as_str(), OwnerLoad::default());
        self.node.shared.metrics.record_owner_load(service, &none, Span(0), Span(0));
    }

    /// Writes the load of the last second to the log and the metrics.
    fn report_load(&self) {
        let now = clock::now();
        let held_back_starts = self.cell.borrow().as_ref().map_or(0, Cell::held_back_starts);
        let load = OwnerLoad { held_back_starts, ..self.meter.borrow_mut().take_report(now) };
        let write_age = self.writing_since.get().map_or(Span(0), |since| now.since(since));
        let lease_validity = session::lease_validity(&self.node);
        self.node.session.borrow_mut().lag.record_answers(load.median_answer, now);
        let repeats = self.node.repeater.repeats();
        self.log.write_load(&load, &StoreState { write_age, repeats, lease_validity });
        let service = self.service.as_str();
        self.node.shared.metrics.record_owner_load(service, &load, write_age, lease_validity);
    }

    pub(super) fn set_queues(&self, config: &Config) {
        let queues = config.queues.clone();
        self.with_cell(|cell| cell.set_queues(queues));
    }

    pub(super) fn update_workers(&self, entries: Vec<WorkerEntry>, is_complete: bool) {
        {
            let mut targets = self.targets.borrow_mut();
            for entry in &entries {
                let target = Target { address: entry.address, worker: entry.id.clone() };
                targets.insert(entry.id.clone(), target);
            }
        }
        self.with_cell(|cell| cell.update_workers(entries, is_complete, clock::now()));
    }

    /// Passes a request to the cell. A query is answered at once, an accepted submission or
    /// cancellation once it is durable.
    pub(super) fn handle(&self, request: &CellRequest) -> oneshot::Receiver<Reply> {
        let (reply, reply_rx) = oneshot::channel();
        let now = clock::now();
        let immediate = match &request.operation {
            Operation::State => self
                .with_cell(|cell| cell.job_state(request.job))
                .map(|state| state.map_or(Reply::UnknownJob, Reply::State)),
            Operation::Pending => {
                self.with_cell(|cell| Reply::Pending(cell.queued_jobs(&request.queue)))
            }
            Operation::Submit(spec) if self.is_store_unavailable(now) && !self.has_job(request) => {
                self.with_cell(|cell| cell.count_arrival(request.job, &request.queue, spec));
                self.meter.borrow_mut().record_refused();
                let waited_ms = self.writing_since.get().map(|since| now.since(since).0);
                info!(self.node.log, "refused"; "job" => %request.job, "queue" => %request.queue,
                    "reason" => "the store accepts no writes", "write_waits_ms" => waited_ms,
                    "holds_lease" => session::holds_lease(&self.node),
                    "retry_after_ms" => STORE_RETRY_AFTER.0, "epoch" => self.epoch.0);
                Some(Reply::Refused { retry_after: STORE_RETRY_AFTER })
            }
            Operation::Submit(_) | Operation::Cancel => None,
        };
        if let Some(answer) = immediate {
            // The caller may have stopped waiting.
            let _ = reply.send(answer);
            return reply_rx;
        }
        let token = match self.pending_replies.borrow_mut().insert(reply) {
            Ok(token) => token,
            Err(reply) => {
                info!(self.node.log, "refused"; "job" => %request.job, "queue" => %request.queue,
                    "reason" => "too many requests wait for the log",
                    "retry_after_ms" => BUSY_RETRY_AFTER.0, "epoch" => self.epoch.0);
                let _ = reply.send(Reply::Refused { retry_after: BUSY_RETRY_AFTER });
                return reply_rx;
            }
        };
        self.with_cell(|cell| match &request.operation {
            Operation::Submit(spec) => {
                let job_and_queue = (request.job, request.queue.clone());
                cell.submit(token, job_and_queue, spec.clone(), (now, clock::wall_ms()));
            }
            _ => cell.cancel(token, request.job, now),
        });
        reply_rx
    }

    fn has_job(&self, request: &CellRequest) -> bool {
        self.cell.borrow().as_ref().is_some_and(|cell| cell.has_job(request.job))
    }

    /// Whether a write has been pending for too long or this node's lease may have expired.
    fn is_store_unavailable(&self, now: Timestamp) -> bool {
        self.writing_since.get().is_some_and(|since| now > since + STALLED_WRITE_TIMEOUT)
            || !session::holds_lease(&self.node)
    }

    pub(super) fn set_drains(
        &self,
        drains: IndexMap<WorkerId, DrainMode>,
        expects_workers: bool,
    ) -> CellReport {
        if expects_workers {
            self.node.roster_refresh.notify_one();
        }
        let now = clock::now();
        let report = self.with_cell(|cell| {
            cell.set_drains(drains);
            if expects_workers {
                cell.expect_workers(now);
            }
            CellReport { drained: cell.drained_workers(), load: cell.load(now) }
        });
        report.unwrap_or_else(|| CellReport { drained: Vec::new(), load: Load::default() })
    }

    /// Advances the cell to the current time and executes the actions that it requests. During a
    /// handover, only replies and log events are executed.
    fn tick(self: &Rc<Self>) {
        // Other nodes may own the cell by now if this thread was held up.
        session::end_expired_terms(&self.node);
        if self.is_term_over.get() {
            return;
        }
        let started = Instant::now();
        let mut actions = {
            let mut cell = self.cell.borrow_mut();
            let Some(cell) = cell.as_mut() else {
                return;
            };
            if !self.is_handing_over.get() {
                cell.tick(clock::now(), clock::wall_ms());
            }
            cell.take_actions()
        };
        if self.is_handing_over.get() {
            actions.retain(|action| matches!(action, Action::Reply(..) | Action::Log(_)));
        }
        for action in actions {
            self.execute(action);
        }
        self.meter.borrow_mut().record_tick(started);
    }

    /// Sends a call, and counts it for the report of the load. `is_answered` tells whether the
    /// call's result is a worker's answer.
    async fn measured<T>(
        &self,
        kind: CallKind,
        call: impl Future<Output = T>,
        is_answered: impl FnOnce(&T) -> bool,
    ) -> T {
        let id = self.meter.borrow_mut().begin(kind, clock::now());
        let result = call.await;
        self.meter.borrow_mut().end(id, is_answered(&result), clock::now());
        result
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Reply(token, answer) => self.reply(token, answer),
            Action::Log(event) => {
                match event {
                    LogEvent::Accepted { .. } => self.meter.borrow_mut().record_accepted(),
                    LogEvent::Refused { .. } => self.meter.borrow_mut().record_refused(),
                    _ => {}
                }
                self.log.write(&event);
            }
            Action::Start(worker, order) => {
                let task = (order.task, order.attempt);
                let is_sent = self.spawn_call(&worker, async move |owner, target| {
                    let call = owner.start(&target, &order);
                    let is_answered = |outcome: &StartOutcome| *outcome != StartOutcome::Unknown;
                    let outcome = owner.measured(CallKind::Start, call, is_answered).await;
                    let now = clock::now();
                    owner
                        .with_cell(|cell| cell.on_start_answer(&target.worker, task, outcome, now));
                });
                if !is_sent {
                    let outcome = StartOutcome::Refused("worker without an address");
                    let now = clock::now();
                    self.with_cell(|cell| cell.on_start_answer(&worker, task, outcome, now));
                }
            }
            Action::RequestAdvice(request) => {
                let owner = Rc::clone(self);
                tokio::task::spawn_local(async move { owner.ask_advice(request).await });
            }
            Action::Stop(worker, task, attempt) => {
                self.spawn_call(&worker, async move |owner, target| {
                    let call = owner.worker_client.stop(&target, task, attempt);
                    let confirmed = owner.measured(CallKind::Order, call, |ok| *ok).await;
                    let (run, now) = ((task, attempt), clock::now());
                    owner
                        .with_cell(|cell| cell.on_stop_answer(&target.worker, run, confirmed, now));
                });
            }
            Action::Pace(worker, task, attempt, share) => {
                self.spawn_call(&worker, async move |owner, target| {
                    owner.pace(&target, (task, attempt), share).await;
                });
            }
            Action::Hold { worker, lease_end, last_seen, wait } => {
                self.spawn_call(&worker, async move |owner, target| {
                    owner.hold(&target, lease_end, last_seen, wait).await;
                });
            }
        }
    }

    /// Calls a worker in a task of its own. Returns whether the worker's address is known.
    fn spawn_call(
        self: &Rc<Self>,
        worker: &WorkerId,
        call: impl AsyncFnOnce(Rc<Self>, Target) + 'static,
    ) -> bool {
        let target = self.targets.borrow().get(worker).cloned();
        let Some(target) = target else {
            warn!(self.node.log, "call not sent: worker without an address"; "worker" => %worker);
            return false;
        };
        let owner = Rc::clone(self);
        tokio::task::spawn_local(async move { call(owner, target).await });
        true
    }

    /// Orders a worker to start a task. Copies of the order are the same run, so at most one takes
    /// effect while this instance of the worker lives.
    async fn start(&self, target: &Target, order: &StartOrder) -> StartOutcome {
        let call = async || self.worker_client.start(target, order).await.0;
        let is_started = |outcome: &StartOutcome| *outcome == StartOutcome::Started;
        let is_unknown = |outcome: &StartOutcome| *outcome == StartOutcome::Unknown;
        let started = self.order_repeater.call(call, is_started, is_unknown).await;
        match started.result {
            StartOutcome::Started if started.has_open_copy => StartOutcome::StartedRepeated,
            outcome => outcome,
        }
    }

    async fn ask_advice(&self, request: AdviceRequest) {
        let advice = match self.node.settings.advice {
            Some(address) => {
                advice::request_advice(&self.node.connections, address, &request).await
            }
            None => Err(CallError::NoEffect("no advice service in the settings".to_owned())),
        };
        if let Err(err) = &advice {
            warn!(self.node.log, "advice request failed"; "step" => %request.step, "error" => %err,
                "cell" => %self.service, "epoch" => self.epoch.0);
        }
        self.with_cell(|cell| cell.on_advice_answer(&request, advice.as_ref().ok(), clock::now()));
    }

    async fn pace(&self, target: &Target, (task, attempt): (TaskId, u32), share: u64) {
        let call = self.worker_client.pace(target, task, attempt, share);
        if self.measured(CallKind::Order, call, |ok| *ok).await {
            self.with_cell(|cell| cell.on_pace_answer(&target.worker, (task, attempt), share));
        }
    }

    async fn hold(&self, target: &Target, lease_end: Option<u64>, last_seen: u64, wait: Span) {
        let sent_at = clock::now();
        let call = self.worker_client.hold(target, lease_end, last_seen, wait);
        let is_answered =
            |result: &Result<_, HoldError>| !matches!(result, Err(HoldError::Call(_)));
        let result = self.measured(CallKind::Hold, call, is_answered).await;
        if let Err(HoldError::Fenced) = result {
            warn!(self.node.log, "fenced by a later owner"; "cell" => %self.service,
                "worker" => %target.worker, "epoch" => self.epoch.0);
            self.node
                .cell_owners
                .borrow_mut()
                .retain(|_, owner| !std::ptr::eq(&raw const **owner, self));
            self.end_term("a worker has seen a later owner");
            return;
        }
        let now = clock::now();
        self.with_cell(|cell| cell.on_hold_answer(&target.worker, sent_at, result.ok(), now));
    }

    fn reply(&self, token: Token, answer: Answer) {
        let answer = match answer {
            Answer::Durable => Reply::Durable,
            Answer::Refused { retry_after } => Reply::Refused { retry_after },
            Answer::Unknown => Reply::UnknownJob,
        };
        self.pending_replies.borrow_mut().answer(token, answer);
    }

    /// Writes the segments that the cell has ready, one after the other, until the term ends.
    async fn write_log(self: Rc<Self>) {
        while !self.is_term_over.get() {
            let write = {
                let mut cell = self.cell.borrow_mut();
                cell.as_mut().and_then(|cell| cell.take_write(clock::now()))
            };
            let Some(write) = write else {
                let due_at = self.cell.borrow().as_ref().and_then(Cell::write_due);
                let pause = due_at
                    .map_or(TICK_INTERVAL, clock::until)
                    .clamp(Duration::from_millis(1), TICK_INTERVAL);
                tokio::time::sleep(pause).await;
                continue;
            };
            self.writing_since.set(Some(clock::now()));
            match self.log_store.write(&write, &self.is_term_over).await {
                Ok(()) => {}
                Err(WriteError::TermOver) => return,
                Err(WriteError::OtherOwner) => {
                    self.node.cell_owners.borrow_mut().retain(|_, owner| !Rc::ptr_eq(owner, &self));
                    self.end_term("another owner holds the duty or has written the segment");
                    return;
                }
            }
            self.writing_since.set(None);
            self.with_cell(|cell| cell.on_segment_written(write.sequence, clock::now()));
        }
    }

    /// Records that the previous owner sends no more orders.
    pub(super) fn on_predecessor_ended(&self) {
        let now = clock::now();
        if now < self.earlier_orders_end.get() {
            self.earlier_orders_end.set(now);
            info!(self.node.log, "previous owner has ended"; "cell" => %self.service);
            self.with_cell(|cell| cell.on_predecessor_ended(now));
        }
    }

    /// Stops sending orders and has the cell write the handover to its log.
    pub(super) fn hand_over(&self) {
        self.with_cell(|cell| cell.hand_over(clock::now(), clock::wall_ms()));
        self.is_handing_over.set(true);
    }

    /// Waits until the cell has nothing left to write, but no longer than `FLUSH_TIMEOUT`.
    pub(super) async fn flush(&self) {
        let deadline = clock::now() + FLUSH_TIMEOUT;
        while clock::now() < deadline {
            let is_idle = self.cell.borrow().as_ref().is_none_or(Cell::is_log_idle);
            if is_idle || self.is_term_over.get() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}
