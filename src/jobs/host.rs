//! The owner of a cell during one term: its start, its ticks, its log and its end. The requests of
//! clients and the calls to workers are in modules of their own.

mod calls;
mod predecessors;
mod replies;
mod requests;

use std::{
    cell::{Cell as StdCell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use slog::info;
use teaselgap_core::{
    Epoch, ServiceId, Span, Timestamp,
    job::{
        Action, AdmissionPolicy, Cell, CellConfig, FlowLimits, LinkRate, Load, LogConfig,
        TermClaim, WorkerEntry, WorkerId,
    },
};
use teaselgap_platform::{
    config::Config,
    settings::{Bounds, Limits},
    worker::{Target, WorkerClient},
};
use tokio::sync::Notify;

use self::replies::PendingReplies;
use super::{
    duties::cell_duty,
    instruction::{CellReport, PoolInstruction},
    log_store::{LogStore, WriteError},
    node::Node,
    note::{CellLog, StoreState},
    owner_load::{LoadMeter, OwnerLoad},
    repeat::Repeater,
    session,
};
use crate::clock;

/// The longest pause between two ticks of a cell, and between two checks for a segment to write.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// The shortest interval between two ticks of a cell; what happens meanwhile shares a tick.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The interval at which an owner writes its load, and how many log lines it left out.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

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
    /// The term of an earlier owner that is known to have ended, and when that was first known.
    ended_predecessor: StdCell<Option<(Epoch, Timestamp)>>,
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
        max_lease: Span(max_hold_ms),
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
    info!(node.log, "earlier owners may give orders"; "cell" => %service, "epoch" => epoch.0,
        "until_ms" => earlier_orders_end.since(claimed_at).0, "is_own_term" => own_term.is_some());
    let owner = Rc::new(CellOwner {
        node: Rc::clone(node),
        service: service.clone(),
        epoch,
        log: CellLog::new(node.log.clone(), service.clone(), epoch),
        meter: RefCell::default(),
        log_store: LogStore::new(Rc::clone(node), service.clone(), epoch),
        started_at: clock::now(),
        worker_client: WorkerClient::new(Rc::clone(&node.connections)),
        order_repeater: Repeater::for_orders(),
        cell: RefCell::new(None),
        targets: RefCell::new(IndexMap::new()),
        pending_replies: RefCell::default(),
        is_term_over: StdCell::new(false),
        writing_since: StdCell::new(None),
        earlier_orders_end: StdCell::new(earlier_orders_end),
        ended_predecessor: StdCell::new(None),
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

    /// When the wait for workers of earlier terms was over; `None` while it lasts, and before the log has been
    /// read.
    pub(super) fn inherited_wait_end(&self) -> Option<Timestamp> {
        self.cell.borrow().as_ref().and_then(Cell::inherited_wait_end)
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
        self.keep_term_end();
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

    /// What this node knows of the claim of this term and those before.
    fn term_claim(&self) -> TermClaim {
        let duty = cell_duty(&self.service);
        let session = self.node.session.borrow();
        let own = session.claims_sent.get(&duty).filter(|(epoch, _)| *epoch == self.epoch);
        TermClaim {
            earlier_orders_end: self.earlier_orders_end.get(),
            sent: own.map_or(Timestamp(0), |(_, sent)| *sent),
            seen: self.node.members.borrow().claims(&duty),
        }
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
        let cell = Cell::new(cfg, service_and_epoch, recovered, &self.term_claim(), time);
        *self.cell.borrow_mut() = Some(cell);
        self.apply_predecessor_end();
        if let Some(config) = self.node.shared.config.load_full() {
            self.set_queues(&config);
        }
        info!(self.node.log, "cell recovered"; "cell" => %self.service, "epoch" => self.epoch.0,
            "segments" => segments, "bytes" => bytes, "took_ms" => clock::now().since(started).0);
        self.node.roster_refresh.notify_one();
        tokio::task::spawn_local(Rc::clone(&self).write_log());
        tokio::task::spawn_local(Rc::clone(&self).report());
        tokio::task::spawn_local(Rc::clone(&self).learn_last_term_end());
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
        let mut load = self.meter.borrow_mut().take_report(now);
        if let Some(cell) = self.cell.borrow().as_ref() {
            load.held_back_starts = cell.held_back_starts();
            load.waiting_ends = cell.waiting_ends(now);
            load.open_starts = cell.open_starts(now);
        }
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

    /// Passes what the fleet's owner says about the pool to the cell, and reports on the cell. Returns
    /// `None` if the cell has not been recovered, or if a later instruction has come.
    pub(super) fn instruct(&self, instruction: PoolInstruction) -> Option<CellReport> {
        let PoolInstruction { epoch, number, drains, expects_workers, outlook } = instruction;
        if expects_workers {
            self.node.roster_refresh.notify_one();
        }
        let now = clock::now();
        let report = self.with_cell(|cell| {
            if !cell.instruct((epoch, number), drains, now) {
                return None;
            }
            if expects_workers {
                cell.expect_workers(now);
            }
            if let Some(outlook) = outlook {
                cell.set_outlook(outlook, now);
            }
            Some(CellReport { drained: cell.drained_workers(), load: cell.load(now) })
        });
        let Some(report) = report else {
            return Some(CellReport { drained: Vec::new(), load: Load::default() });
        };
        if report.is_none() {
            info!(self.node.log, "outdated instruction of the fleet's owner ignored";
                "cell" => %self.service, "fleet_epoch" => epoch.0, "number" => number.0,
                "epoch" => self.epoch.0);
        }
        report
    }

    /// Advances the cell to the current time and executes the actions that it requests. During a
    /// handover, only replies, log events and renewals of leases are executed.
    fn tick(self: &Rc<Self>) {
        // Other nodes may own the cell by now if this thread was held up.
        session::end_expired_terms(&self.node);
        if self.is_term_over.get() {
            return;
        }
        let started = Instant::now();
        let sole_until = session::sole_until(&self.node);
        let mut actions = {
            let mut cell = self.cell.borrow_mut();
            let Some(cell) = cell.as_mut() else {
                return;
            };
            if self.is_handing_over.get() {
                cell.renew_during_handover(clock::now(), self.node.lease.valid_until());
            } else {
                cell.set_sole_until(sole_until);
                cell.tick(clock::now(), clock::wall_ms());
            }
            cell.take_actions()
        };
        if self.is_handing_over.get() {
            actions.retain(Action::is_allowed_during_handover);
        }
        for action in actions {
            self.execute(action);
        }
        self.meter.borrow_mut().record_tick(started);
    }

    /// Writes the segments that the cell has ready, one after the other, until the term ends.
    async fn write_log(self: Rc<Self>) {
        while !self.is_term_over.get() {
            let write = {
                let mut cell = self.cell.borrow_mut();
                cell.as_mut().and_then(|cell| cell.take_write(clock::now()))
            };
            let Some(write) = write else {
                if self.is_unneeded() {
                    self.log_store.remove_mark().await;
                    continue;
                }
                let due_at = self.cell.borrow().as_ref().and_then(Cell::write_due);
                let pause = due_at
                    .map_or(TICK_INTERVAL, clock::until)
                    .clamp(Duration::from_millis(1), TICK_INTERVAL);
                tokio::time::sleep(pause).await;
                continue;
            };
            self.writing_since.set(Some(clock::now()));
            let holds_jobs = self.cell.borrow().as_ref().is_some_and(Cell::has_jobs);
            match self.log_store.write(&write, holds_jobs, &self.is_term_over).await {
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

    /// Whether the cell needs no owner after this one, which the store doesn't say yet: no route names its
    /// service, and no job is known whose state anyone may ask for.
    fn is_unneeded(&self) -> bool {
        let config = self.node.shared.config.load();
        let Some(config) = config.as_ref().filter(|_| self.log_store.may_be_marked()) else {
            return false;
        };
        let is_routed = config.queues.values().any(|queue| queue.service == self.service);
        !is_routed && self.cell.borrow().as_ref().is_some_and(|cell| !cell.has_jobs())
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
