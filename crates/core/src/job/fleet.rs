//! Orders about VMs: maintenance in waves, and moves between pools.
//!
//! One owner at a time sends these orders. Before it orders maintenance or a move of a VM, it asks
//! the VM's cell to drain the worker and waits until the cell reports that the worker is drained.
//! The epoch of the owner's term is the fencing token of its orders. A new owner sends no order
//! about a VM while an order that its predecessor sent about the same VM may still take effect.

mod balance;
mod drains;
mod listing;
mod orders;
mod outlook;
mod size;
#[cfg(test)]
mod tests;
mod turns;
mod wave;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

pub use self::{
    drains::InstructionNumber,
    orders::{
        FleetOrder, FleetRequest, ORDER_SEND_WINDOW, OrderBasis, OrderNumber, OrderOutcome,
        OrderedWorker,
    },
    size::PoolSize,
    turns::BurstHistory,
};
use self::{
    listing::ListHistory,
    orders::{Absence, ORDER_RETRY_INTERVAL, PlannedOrder, Purpose, SentCopies},
    size::{Arrivals, SmoothedNeed},
};
use super::{DrainMode, Load, Resources, WorkerId};
use crate::{ServiceId, Span, Timestamp, VmId, ZoneId, job::WALL_CLOCK_MARGIN};

/// How long before the expected start of a worker its cell is told to expect workers.
const WORKER_START_LEAD: Span = Span(100);

/// How long after its start a worker may still be missing from the store's list.
const WORKER_LISTING_DELAY: Span = Span(700);

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// Running its worker, or waiting in a standby pool.
    Up,
    /// Moving to another pool.
    Moving,
    /// Down for maintenance.
    Maintenance,
    /// Down for another reason.
    Down,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub id: VmId,
    /// Service whose pool the VM belongs to.
    pub pool: ServiceId,
    /// State of the VM.
    pub state: VmState,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Resources of the VM.
    pub capacity: Resources,
    /// Worker on the VM, if there is one.
    pub worker: Option<WorkerId>,
}

/// A maintenance wave that the operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// VMs that need maintenance.
    pub vms: IndexSet<VmId>,
    /// Maximum number of VMs that may be down for the wave at once.
    pub max_down: u32,
    /// Time by which the maintenance of every VM must have begun.
    pub deadline: Timestamp,
}

/// State of the fleet that outlives its owner's term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// VMs whose maintenance has begun, by wave.
    #[serde(default)]
    pub begun: IndexMap<u64, IndexSet<VmId>>,
    /// Waves in which each VM has begun its maintenance or counts as gone. One of these goes on if a
    /// VM that has not begun is listed again.
    #[serde(default)]
    pub finished: IndexSet<u64>,
    /// Deadlines of waves in milliseconds since the Unix epoch, also of finished ones, which may go on.
    #[serde(default)]
    pub deadlines: IndexMap<u64, u64>,
    /// Number of VMs that the operator gave each pool, counted before any were moved.
    #[serde(default)]
    pub given: IndexMap<ServiceId, u64>,
    /// Latest bursts of the queues.
    #[serde(default, rename = "turns")]
    pub bursts: BurstHistory,
    /// VMs with a recent order, and its time in milliseconds since the Unix epoch. A VM is recorded
    /// here before an order about it is sent.
    #[serde(default)]
    pub ordered: IndexMap<VmId, u64>,
    /// The workers that the orders in `ordered` stop, by VM.
    #[serde(default)]
    pub ordered_workers: IndexMap<VmId, OrderedWorker>,
    /// VMs of `ordered` whose order was to begin maintenance.
    #[serde(default)]
    pub maintained: IndexSet<VmId>,
    /// Whether `ordered` is complete: its writer records each VM before it sends an order about it.
    #[serde(default)]
    pub is_complete: bool,
    /// Whether the last owner handed over its term and sends no more orders.
    #[serde(default)]
    pub is_released: bool,
}

/// Durations that the fleet plans with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// How long a new owner waits before orders that could overlap with those of its predecessor.
    pub takeover_pause: Span,
    /// Duration of the maintenance of one VM.
    pub maintenance_duration: Span,
    /// Duration of a move.
    pub move_duration: Span,
    /// How long the store still lists a worker that stopped without removing its entry.
    pub worker_entry_ttl: Span,
}

/// An action that the caller carries out for the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Store the record; once it is durable, send the orders.
    Save(Box<FleetRecord>, Vec<FleetOrder>),
    /// Log the current and the wanted size of a pool.
    LogPoolSize(ServiceId, PoolSize),
    /// Log that more VMs are taken for a wave.
    LogWaveStep(WaveStep),
    /// Report the progress of a wave to the operator.
    ReportWave {
        /// Number of the wave.
        wave: u64,
        /// Whether the maintenance of all its VMs has begun.
        finished: bool,
        /// What the report rests on.
        basis: WaveBasis,
    },
    /// Log that a VM of a wave has left the platform's list, or is back in it.
    LogListing(ListingChange),
    /// Log that a wave that was taken for done goes on.
    LogReopenedWave(ReopenedWave),
}

/// What the report of a wave's progress rests on, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaveBasis {
    /// Number of the wave's VMs.
    pub vms: usize,
    /// Number of these whose maintenance has begun.
    pub begun: usize,
    /// Number of the others that the platform's latest list lacks.
    pub unlisted: usize,
    /// The age of that list, counted from when it was asked for.
    pub list_age: Option<Span>,
}

/// A VM of a wave that has left the platform's list, or is back in it, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListingChange {
    /// The VM.
    pub vm: VmId,
    /// Number of the wave.
    pub wave: u64,
    /// Whether the VM is listed now.
    pub is_listed: bool,
    /// Whether its maintenance for the wave has begun.
    pub has_begun: bool,
    /// Number of VMs in the list.
    pub listed: usize,
}

/// A wave that was taken for done and goes on, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReopenedWave {
    /// Number of the wave.
    pub wave: u64,
    /// Number of its listed VMs whose maintenance has not begun.
    pub pending: usize,
    /// One of these.
    pub vm: Option<VmId>,
}

/// A decision to take more VMs for a wave, and what it rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaveStep {
    /// Number of the wave.
    pub wave: u64,
    /// Number of its VMs whose maintenance has not begun.
    pub pending: usize,
    /// Number of these that run long-running tasks.
    pub hard: usize,
    /// Number of VMs that are being drained for it.
    pub draining: usize,
    /// Number of its VMs that are down, or may be because of an order.
    pub down: usize,
    /// Number of VMs that must be away at once for the wave to be in time.
    pub pace: usize,
    /// How long a VM that is not on standby is away.
    pub time_away: Span,
    /// The time left to begin the last maintenance.
    pub time_left: Span,
    /// Number of VMs that are taken next.
    pub chosen: usize,
}

/// Latest report of a cell, and the need of its pool derived from its reports.
#[derive(Clone, Debug, Default)]
struct CellReport {
    load: Load,
    /// Time of the report.
    at: Timestamp,
    /// Workers that are drained according to the report, and that each instruction since has asked to
    /// drain.
    drained: IndexSet<WorkerId>,
    arrivals: Arrivals,
    need: SmoothedNeed,
    /// Processor capacity that the pool needs, in thousandths of a core.
    need_milli: u64,
    /// Since when the pool has had surplus VMs.
    surplus_since: Option<Timestamp>,
}

/// The workers that an order of the previous owner may still stop, each with its pool and the time
/// until which it may.
fn workers_of_predecessor(
    record: &FleetRecord,
    vm_not_before: &IndexMap<VmId, Timestamp>,
) -> IndexMap<WorkerId, (ServiceId, Timestamp)> {
    let ordered = record.ordered_workers.iter();
    let ordered = ordered.filter_map(|(vm_id, ordered)| Some((ordered, vm_not_before.get(vm_id)?)));
    ordered
        .map(|(OrderedWorker { pool, worker }, until)| (worker.clone(), (pool.clone(), *until)))
        .collect()
}

/// The owner's view of all VMs, and the orders that it plans.
#[derive(Debug)]
pub struct Fleet {
    cfg: FleetConfig,
    record: FleetRecord,
    /// The record as it was last emitted in [`FleetAction::Save`].
    saved: FleetRecord,
    /// Time before which no order is sent.
    orders_not_before: Timestamp,
    /// VMs that the previous owner may have sent an order about, and the time before which no order
    /// about them is sent.
    vm_not_before: IndexMap<VmId, Timestamp>,
    /// Time of the latest order about each VM, or when it was known to get no answer, or of the takeover if
    /// the previous owner sent it.
    ordered_at: IndexMap<VmId, Timestamp>,
    /// VMs whose latest order the platform's list may not show, and the time from which on a list must
    /// be asked for to show it for certain.
    unlisted_orders: IndexMap<VmId, Timestamp>,
    /// VMs that an order has changed, or may have if it was the previous owner's, and the time from which on a
    /// list must be asked for to show that.
    changed_vms: IndexMap<VmId, Timestamp>,
    vms: IndexMap<VmId, Vm>,
    /// When the platform's latest list was asked for.
    vms_asked: Option<Timestamp>,
    /// What the lists of this term tell of VMs that the latest one lacks.
    list_history: ListHistory,
    waves: IndexMap<u64, Wave>,
    /// Waves reported to the operator, and whether they were reported as finished.
    reported_waves: IndexMap<u64, bool>,
    planned_orders: IndexMap<VmId, PlannedOrder>,
    sent_copies: SentCopies,
    /// VMs whose order was accepted, for as long as the platform's list may not show it, and VMs
    /// whose order was invalid, for a short time.
    absences: IndexMap<VmId, Absence>,
    /// Workers stopped by an accepted order, with their former pool and the time until which the
    /// store may still list them; also those that an order of the previous owner may still stop, and
    /// until when.
    stopped_workers: IndexMap<WorkerId, (ServiceId, Timestamp)>,
    /// Standby pools.
    standby: IndexSet<ServiceId>,
    cell_reports: IndexMap<ServiceId, CellReport>,
    /// Time of the last move of each VM.
    last_moved: IndexMap<VmId, Timestamp>,
    /// What the cells were asked to drain.
    asked_drains: drains::AskedDrains,
    /// Size of each pool as it was last logged.
    logged_sizes: IndexMap<ServiceId, PoolSize>,
    /// Pools and expected start times of the workers on VMs whose order was accepted.
    expected_starts: Vec<(ServiceId, Timestamp)>,
    /// This node's wall clock minus its monotonic clock, in milliseconds.
    wall_offset_ms: u64,
    /// Whether work has arrived at some pool.
    has_seen_work: bool,
    /// Whether the pools lack more VMs than are free on standby.
    is_short_of_vms: bool,
    /// How long drains for maintenance have taken.
    drain_times: wave::DrainTimes,
    /// The most VMs that each pool can have.
    most_vms: IndexMap<ServiceId, u64>,
    actions: Vec<FleetAction>,
}

impl Fleet {
    /// Creates the fleet at the start of an owner's term from the record of the previous owner.
    #[must_use]
    pub fn new(
        cfg: FleetConfig,
        mut record: FleetRecord,
        (now, wall_ms): (Timestamp, u64),
    ) -> Self {
        let is_complete = std::mem::replace(&mut record.is_complete, true);
        let is_released = std::mem::take(&mut record.is_released);
        let orders_not_before = if is_complete { now } else { now + cfg.takeover_pause };
        // No order is sent about a VM while the previous owner's order about it may take effect.
        let send_window = if is_released { Span(0) } else { ORDER_SEND_WINDOW };
        let settle_ms = cfg.takeover_pause.0 + send_window.0 + WALL_CLOCK_MARGIN.0;
        let vm_not_before = record.ordered.iter().map(|(vm_id, ordered_wall_ms)| {
            let age = wall_ms.saturating_sub(*ordered_wall_ms);
            let remaining_ms = settle_ms.saturating_sub(age).min(cfg.takeover_pause.0);
            (vm_id.clone(), now + Span(remaining_ms))
        });
        let vm_not_before: IndexMap<VmId, Timestamp> = vm_not_before.collect();
        let ordered_at = vm_not_before.keys().map(|vm_id| (vm_id.clone(), now)).collect();
        let stopped_workers = workers_of_predecessor(&record, &vm_not_before);
        let unlisted_orders = vm_not_before.clone();
        let changed_vms = vm_not_before.clone();
        Self {
            cfg,
            saved: record.clone(),
            record,
            orders_not_before,
            vm_not_before,
            ordered_at,
            unlisted_orders,
            changed_vms,
            vms: IndexMap::new(),
            vms_asked: None,
            list_history: ListHistory::default(),
            waves: IndexMap::new(),
            reported_waves: IndexMap::new(),
            planned_orders: IndexMap::new(),
            sent_copies: SentCopies::default(),
            absences: IndexMap::new(),
            stopped_workers,
            standby: IndexSet::new(),
            cell_reports: IndexMap::new(),
            last_moved: IndexMap::new(),
            asked_drains: drains::AskedDrains::default(),
            logged_sizes: IndexMap::new(),
            expected_starts: Vec::new(),
            wall_offset_ms: wall_ms.saturating_sub(now.0),
            has_seen_work: false,
            is_short_of_vms: false,
            drain_times: wave::DrainTimes::default(),
            most_vms: IndexMap::new(),
            actions: Vec::new(),
        }
    }

    /// Returns the record to store at handover; the owner must send no orders after this call.
    #[must_use]
    pub fn handover_record(&self, now: Timestamp, wall_ms: u64) -> FleetRecord {
        let age_ms = |vm_id: &VmId, at: &Timestamp| {
            if self.sent_copies.awaits_answer(vm_id) { 0 } else { now.since(*at).0 }
        };
        let recent = self.ordered_at.iter().map(|(vm_id, at)| (vm_id, age_ms(vm_id, at)));
        let recent = recent.filter(|(_, age)| *age <= self.cfg.takeover_pause.0);
        let ordered =
            recent.map(|(vm_id, age)| (vm_id.clone(), wall_ms.saturating_sub(age))).collect();
        FleetRecord { ordered, is_released: true, ..self.record.clone() }
    }

    /// Returns the actions collected since the last call.
    pub fn take_actions(&mut self) -> Vec<FleetAction> {
        std::mem::take(&mut self.actions)
    }

    /// Sets the standby pools.
    pub fn set_standby_pools(&mut self, standby: IndexSet<ServiceId>) {
        self.standby = standby;
    }

    /// Sets the VMs that the platform lists, as it was asked at `asked`. `has_unreadable_entries` tells
    /// whether the list has others that could not be read.
    pub fn set_vms(&mut self, vms: Vec<Vm>, has_unreadable_entries: bool, asked: Timestamp) {
        self.vms_asked = Some(asked);
        let vms: IndexMap<VmId, Vm> = vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect();
        // A VM that the list lacks may be down until maintenance that began at the last moment is over.
        let maintenance_duration = self.cfg.maintenance_duration;
        self.unlisted_orders.retain(|vm_id, listed_from| {
            let is_listed = vms.contains_key(vm_id);
            asked < if is_listed { *listed_from } else { *listed_from + maintenance_duration }
        });
        self.changed_vms.retain(|_, listed_from| asked < *listed_from);
        self.log_listing_changes(&vms);
        self.list_history.add(&self.vms, &vms, has_unreadable_entries, asked);
        self.vms = vms;
        self.drop_finished_moves();
        if self.record.given.is_empty() {
            for vm in self.vms.values() {
                *self.record.given.entry(vm.pool.clone()).or_default() += 1;
            }
        }
    }

    /// Adds the waves that the operator asks for; a known number is ignored.
    pub fn add_waves(&mut self, waves: Vec<Wave>) {
        for wave in waves {
            let deadline_wall_ms = self.wall_offset_ms.saturating_add(wave.deadline.0);
            let recorded = self.record.deadlines.entry(wave.number).or_insert(deadline_wall_ms);
            *recorded = deadline_wall_ms.min(*recorded);
            if !self.waves.contains_key(&wave.number) {
                self.await_vms(&wave);
                self.waves.insert(wave.number, wave);
            }
        }
    }

    /// Records the load of a cell and the drained workers among those it was asked to drain.
    fn on_cell_report(
        &mut self,
        pool: &ServiceId,
        load: Load,
        drained: Vec<WorkerId>,
        now: Timestamp,
    ) {
        self.has_seen_work |= load.arrived_milli_s > 0;
        let given_milli = self.given_cpu_milli(pool);
        let report = self.cell_reports.entry(pool.clone()).or_default();
        report.arrivals.record(&load, now);
        let need = size::need_milli(&load, &report.arrivals, now);
        let is_burst = report.arrivals.is_burst(given_milli, now);
        report.need_milli = if is_burst {
            report.need.raise(need, given_milli, now)
        } else {
            report.need.update(need, now)
        };
        if is_burst && report.arrivals.is_sustained(now) {
            self.record.bursts.record(pool, self.wall_offset_ms + now.0);
        }
        report.load = load;
        report.at = now;
        report.drained = drained.into_iter().collect();
    }

    /// Returns the workers that each cell must drain.
    #[must_use]
    pub fn drain_requests(
        &self,
        now: Timestamp,
    ) -> IndexMap<ServiceId, IndexMap<WorkerId, DrainMode>> {
        let mut drain_requests: IndexMap<ServiceId, IndexMap<WorkerId, DrainMode>> =
            IndexMap::new();
        for (pool, worker) in self.workers_with_open_orders(now) {
            drain_requests.entry(pool).or_default().insert(worker, DrainMode::WaitForRuns);
        }
        for (vm_id, planned) in &self.planned_orders {
            let Some(vm) = self.vms.get(vm_id) else {
                continue;
            };
            let Some(worker) = &vm.worker else {
                continue;
            };
            let drain_mode = match &planned.purpose {
                Purpose::Maintain(wave) if self.is_late(*wave, now) => DrainMode::StopAll,
                Purpose::Move(pool) if self.standby.contains(pool) => DrainMode::WaitForRuns,
                _ => DrainMode::StopCheckpointed,
            };
            drain_requests.entry(vm.pool.clone()).or_default().insert(worker.clone(), drain_mode);
        }
        for (worker, (pool, _)) in &self.stopped_workers {
            let cell = drain_requests.entry(pool.clone()).or_default();
            cell.insert(worker.clone(), DrainMode::WaitForRuns);
        }
        drain_requests
    }

    /// Whether workers of a pool are about to start, or started too recently for the store to list
    /// them reliably.
    #[must_use]
    pub fn expects_workers(&self, pool: &ServiceId, now: Timestamp) -> bool {
        self.expected_starts.iter().any(|(to, at)| to == pool && now + WORKER_START_LEAD >= *at)
    }

    /// Plans orders and emits the orders that are due at `now`.
    pub fn tick(&mut self, now: Timestamp) {
        self.sent_copies.forget_closed(&self.unlisted_orders, now);
        self.absences.retain(|_, absence| now < absence.until);
        self.stopped_workers.retain(|_, (_, until)| now < *until);
        self.expected_starts.retain(|(_, at)| now < *at + WORKER_LISTING_DELAY);
        if self.vms.is_empty() || now < self.orders_not_before {
            return;
        }
        let waves: Vec<u64> = self.waves.keys().copied().collect();
        for wave in waves {
            self.advance_wave(wave, now);
        }
        self.cancel_overdue_moves(now);
        self.balance(now);
        let orders = self.take_due_orders(now);
        if !orders.is_empty() {
            self.record_recent_orders(now);
        }
        if self.record != self.saved || !orders.is_empty() {
            self.saved = self.record.clone();
            self.actions.push(FleetAction::Save(Box::new(self.saved.clone()), orders));
        }
    }
}
