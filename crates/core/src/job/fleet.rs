//! All orders about VMs, given by one holder: maintenance in waves, and moves between pools.
//!
//! A VM is emptied by the owner of its cell before it is touched: the fleet tells each cell which
//! workers to vacate, the cell reports which of them are empty. The epoch of the holder's key is the
//! fencing token of its orders, and a new holder waits until no order of its predecessor can be
//! counted against it.

mod balance;
mod size;
#[cfg(test)]
mod tests;
mod turns;
mod wave;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use self::size::{Arrivals, SmoothedNeed};
pub use self::{size::PoolSize, turns::BurstHistory};
use super::{DrainMode, Load, Resources, WorkerId};
use crate::{ServiceId, Span, Timestamp, VmId, ZoneId, job::WALL_CLOCK_MARGIN};

/// The pause before an order that brought no answer, or was refused, is repeated.
const ORDER_REPEAT: Span = Span(400);

/// How long a VM stays listed as ordered about after another holder may order it about.
const ORDERED_MARGIN: Span = Span(5_000);

/// How long after a VM was listed for it an order may still be sent.
pub const ORDER_SEND_WINDOW: Span = Span(1_000);

/// How long before its worker starts a VM is looked out for.
const JOIN_MARGIN: Span = Span(100);

/// How long after its start a worker may not be listed yet.
const JOIN_TIME: Span = Span(700);

/// What a VM is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// It runs its worker, or waits in a pool on standby.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It is down for maintenance.
    Maintenance,
    /// It is down.
    Down,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Its name.
    pub id: VmId,
    /// The service whose pool it is in.
    pub pool: ServiceId,
    /// What it is doing.
    pub state: VmState,
    /// Where it is.
    pub zone: ZoneId,
    /// What it has.
    pub capacity: Resources,
    /// Its worker, if it has one.
    pub worker: Option<WorkerId>,
}

/// A wave of maintenance as the operator asks for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The VMs that are due.
    pub vms: IndexSet<VmId>,
    /// Most VMs that may be down for it at once.
    pub max_down: u32,
    /// When the last maintenance must have begun.
    pub deadline: Timestamp,
}

/// What must outlive the holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// VMs that have begun their maintenance, by wave.
    #[serde(default)]
    pub begun: IndexMap<u64, IndexSet<VmId>>,
    /// Waves that are over.
    #[serde(default)]
    pub finished: IndexSet<u64>,
    /// How many VMs the operator gave each pool: what it had before any were moved.
    #[serde(default)]
    pub given: IndexMap<ServiceId, u64>,
    /// The queues' bursts seen so far.
    #[serde(default, rename = "turns")]
    pub bursts: BurstHistory,
    /// VMs that were ordered about lately, and when, in milliseconds since the Unix epoch. A VM
    /// is listed before an order about it is sent.
    #[serde(default)]
    pub ordered: IndexMap<VmId, u64>,
    /// The list is complete: whoever wrote it lists VMs before ordering them about.
    #[serde(default)]
    pub is_complete: bool,
    /// The last holder ended its term in order and gives no more orders.
    #[serde(default)]
    pub is_released: bool,
}

/// The bounds of what the fleet does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// How long a new holder waits before its first order.
    pub takeover_pause: Span,
    /// How long the maintenance of a VM takes.
    pub maintenance: Span,
    /// How long a move takes.
    pub migration: Span,
    /// How long the store lists a worker that ended without a word.
    pub entry_ttl: Span,
}

/// What the holder's surroundings are to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Write down what must outlive the holder; once that is durable, carry out the orders.
    Save(Box<FleetRecord>, Vec<FleetOrder>),
    /// Write to the log what a pool has and should have.
    LogPoolSize(ServiceId, PoolSize),
    /// Tell the operator how far a wave is.
    Report {
        /// The wave.
        wave: u64,
        /// Whether all its VMs have begun their maintenance.
        finished: bool,
    },
}

/// An order about a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetOrder {
    /// Begin its maintenance for a wave.
    Maintain(VmId, u64),
    /// Move it to another pool.
    Move(VmId, ServiceId),
}

/// How the platform answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is carried out, or was before.
    Accepted,
    /// The VM can't take the order now.
    Busy,
    /// The order makes no sense for this VM.
    Invalid,
    /// It may or may not be carried out.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Purpose {
    Maintain(u64),
    Move(ServiceId),
}

#[derive(Clone, Debug)]
struct PlannedOrder {
    purpose: Purpose,
    /// An order is on its way, or its outcome is unknown.
    sent: bool,
    /// When the order may be sent again.
    next: Timestamp,
    /// When it is given up if its VM is not empty.
    deadline: Timestamp,
}

/// What a cell last reported.
#[derive(Clone, Debug, Default)]
struct CellReport {
    load: Load,
    at: Timestamp,
    arrivals: Arrivals,
    need: SmoothedNeed,
    /// The processor capacity that the pool needs, in thousandths of a core.
    need_milli: u64,
    /// Since when its pool has had VMs to spare.
    spare_since: Option<Timestamp>,
}

impl PlannedOrder {
    fn new(purpose: Purpose, now: Timestamp, timeout: Option<Span>) -> Self {
        let deadline = timeout.map_or(Timestamp(u64::MAX), |timeout| now + timeout);
        Self { purpose, sent: false, next: now, deadline }
    }
}

/// A VM that is down or about to be, whatever the list says.
#[derive(Clone, Debug)]
struct Absence {
    until: Timestamp,
}

/// The holder's view of all VMs.
#[derive(Debug)]
pub struct Fleet {
    cfg: FleetConfig,
    record: FleetRecord,
    saved: FleetRecord,
    orders_from: Timestamp,
    /// From when on single VMs may be ordered about.
    not_before: IndexMap<VmId, Timestamp>,
    /// When this holder last gave an order about a VM.
    ordered_at: IndexMap<VmId, Timestamp>,
    vms: IndexMap<VmId, Vm>,
    waves: IndexMap<u64, Wave>,
    reported: IndexMap<u64, bool>,
    planned_orders: IndexMap<VmId, PlannedOrder>,
    /// VMs whose order was accepted, for as long as the list may not show it yet.
    absences: IndexMap<VmId, Absence>,
    /// Workers that ended with an order, with their pool and for how long the store may go on
    /// listing them.
    ended: IndexMap<WorkerId, (ServiceId, Timestamp)>,
    standby: IndexSet<ServiceId>,
    reports: IndexMap<ServiceId, CellReport>,
    /// When VMs were last moved.
    moved: IndexMap<VmId, Timestamp>,
    drained: IndexSet<WorkerId>,
    logged_sizes: IndexMap<ServiceId, PoolSize>,
    /// When the workers of VMs that were ordered about start, with their pool.
    joining: Vec<(ServiceId, Timestamp)>,
    /// This node's wall clock minus its clock, in milliseconds.
    wall_offset: u64,
    /// Work has arrived at some pool.
    has_seen_work: bool,
    actions: Vec<FleetAction>,
}

impl Fleet {
    /// The VMs at the start of a holder's term.
    #[must_use]
    pub fn new(
        cfg: FleetConfig,
        mut record: FleetRecord,
        (now, wall_ms): (Timestamp, u64),
    ) -> Self {
        let is_complete = std::mem::replace(&mut record.is_complete, true);
        let is_released = std::mem::take(&mut record.is_released);
        let orders_from = if is_complete { now } else { now + cfg.takeover_pause };
        // VMs that the last holder may have ordered about wait out the pause, each for itself.
        let latest_order = if is_released { Span(0) } else { ORDER_SEND_WINDOW };
        let settled = cfg.takeover_pause.0 + latest_order.0 + WALL_CLOCK_MARGIN.0;
        let not_before = record.ordered.iter().map(|(vm_id, ordered_wall_ms)| {
            let age = wall_ms.saturating_sub(*ordered_wall_ms);
            let left = settled.saturating_sub(age).min(cfg.takeover_pause.0);
            (vm_id.clone(), now + Span(left))
        });
        let not_before: IndexMap<VmId, Timestamp> = not_before.collect();
        let ordered_at = not_before.keys().map(|vm_id| (vm_id.clone(), now)).collect();
        Self {
            cfg,
            saved: record.clone(),
            record,
            orders_from,
            not_before,
            ordered_at,
            vms: IndexMap::new(),
            waves: IndexMap::new(),
            reported: IndexMap::new(),
            planned_orders: IndexMap::new(),
            absences: IndexMap::new(),
            ended: IndexMap::new(),
            standby: IndexSet::new(),
            reports: IndexMap::new(),
            moved: IndexMap::new(),
            drained: IndexSet::new(),
            logged_sizes: IndexMap::new(),
            joining: Vec::new(),
            wall_offset: wall_ms.saturating_sub(now.0),
            has_seen_work: false,
            actions: Vec::new(),
        }
    }

    /// The record with which a holder ends its term in order; it gives no orders afterwards.
    #[must_use]
    pub fn handover_record(&self, now: Timestamp, wall_ms: u64) -> FleetRecord {
        let recent = self.ordered_at.iter().map(|(vm_id, at)| (vm_id, now.since(*at).0));
        let recent = recent.filter(|(_, age)| *age <= self.cfg.takeover_pause.0);
        let ordered =
            recent.map(|(vm_id, age)| (vm_id.clone(), wall_ms.saturating_sub(age))).collect();
        FleetRecord { ordered, is_released: true, ..self.record.clone() }
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<FleetAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes in the pools that are on standby.
    pub fn set_standby_pools(&mut self, standby: IndexSet<ServiceId>) {
        self.standby = standby;
    }

    /// Takes in the platform's list of VMs.
    pub fn set_vms(&mut self, vms: Vec<Vm>) {
        self.vms = vms.into_iter().map(|one| (one.id.clone(), one)).collect();
        if self.record.given.is_empty() {
            for vm in self.vms.values() {
                *self.record.given.entry(vm.pool.clone()).or_default() += 1;
            }
        }
    }

    /// Takes in the waves that the operator asks for.
    pub fn add_waves(&mut self, waves: Vec<Wave>) {
        for wave in waves {
            self.waves.entry(wave.number).or_insert(wave);
        }
    }

    /// Takes in how busy a cell is and which of the workers to be vacated are empty.
    pub fn on_cell_report(
        &mut self,
        pool: &ServiceId,
        load: Load,
        drained: Vec<WorkerId>,
        now: Timestamp,
    ) {
        self.has_seen_work |= load.arrived_milli_s > 0;
        let given = self.given_milli(pool);
        let report = self.reports.entry(pool.clone()).or_default();
        report.arrivals.record(&load, now);
        let need = size::need_milli(&load, &report.arrivals, now);
        let is_burst = report.arrivals.is_burst(given, now);
        report.need_milli = if is_burst {
            report.need.raise(need, given, now)
        } else {
            report.need.update(need, now)
        };
        if is_burst && report.arrivals.is_sustained(now) {
            self.record.bursts.record(pool, self.wall_offset + now.0);
        }
        report.load = load;
        report.at = now;
        let in_pool: IndexSet<WorkerId> = self
            .vms
            .values()
            .filter(|vm| vm.pool == *pool)
            .filter_map(|vm| vm.worker.clone())
            .collect();
        self.drained.retain(|worker| !in_pool.contains(worker));
        self.drained.extend(drained);
    }

    /// Which workers each cell is to vacate.
    #[must_use]
    pub fn drain_requests(
        &self,
        now: Timestamp,
    ) -> IndexMap<ServiceId, IndexMap<WorkerId, DrainMode>> {
        let mut drain_requests: IndexMap<ServiceId, IndexMap<WorkerId, DrainMode>> =
            IndexMap::new();
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
        for (worker, (pool, _)) in &self.ended {
            let cell = drain_requests.entry(pool.clone()).or_default();
            cell.insert(worker.clone(), DrainMode::WaitForRuns);
        }
        drain_requests
    }

    /// Whether workers of a pool have just started, or will at any moment, that the store may not list
    /// yet.
    #[must_use]
    pub fn expects_workers(&self, pool: &ServiceId, now: Timestamp) -> bool {
        self.joining.iter().any(|(to, at)| to == pool && now + JOIN_MARGIN >= *at)
    }

    /// It is `now`: chooses VMs, sends what is due.
    pub fn tick(&mut self, now: Timestamp) {
        self.absences.retain(|_, absence| now < absence.until);
        self.ended.retain(|_, (_, until)| now < *until);
        self.joining.retain(|(_, at)| now < *at + JOIN_TIME);
        if self.vms.is_empty() || now < self.orders_from {
            return;
        }
        let waves: Vec<u64> = self.waves.keys().copied().collect();
        for wave in waves {
            self.advance_wave(wave, now);
        }
        self.give_up_moves(now);
        self.balance(now);
        let orders = self.due_orders(now);
        if !orders.is_empty() {
            self.record_ordered(now);
        }
        if self.record != self.saved || !orders.is_empty() {
            self.saved = self.record.clone();
            self.actions.push(FleetAction::Save(Box::new(self.saved.clone()), orders));
        }
    }

    fn is_drained(&self, vm: &Vm) -> bool {
        self.standby.contains(&vm.pool)
            || vm.worker.as_ref().is_none_or(|worker| self.drained.contains(worker))
    }

    /// Lists the VMs that were ordered about lately, or are about to be.
    fn record_ordered(&mut self, now: Timestamp) {
        let kept = Span(self.cfg.takeover_pause.0 + ORDERED_MARGIN.0);
        self.ordered_at.retain(|_, at| now <= *at + kept);
        let wall_ms = |at: &Timestamp| self.wall_offset + at.0;
        self.record.ordered =
            self.ordered_at.iter().map(|(vm_id, at)| (vm_id.clone(), wall_ms(at))).collect();
    }

    /// The orders that are due.
    fn due_orders(&mut self, now: Timestamp) -> Vec<FleetOrder> {
        let mut orders = Vec::new();
        let vm_ids: Vec<VmId> = self.planned_orders.keys().cloned().collect();
        for vm_id in vm_ids {
            let Some(vm) = self.vms.get(&vm_id).cloned() else {
                self.planned_orders.shift_remove(&vm_id);
                continue;
            };
            if self.not_before.get(&vm_id).is_some_and(|from| now < *from) {
                continue;
            }
            let planned = &self.planned_orders[&vm_id];
            if now < planned.next || !(planned.sent || self.is_drained(&vm)) {
                continue;
            }
            let order = match planned.purpose.clone() {
                Purpose::Maintain(number) => {
                    let max_down = self.waves.get(&number).map_or(0, |wave| wave.max_down as usize);
                    if !planned.sent && self.down_count(number) >= max_down {
                        continue;
                    }
                    FleetOrder::Maintain(vm_id.clone(), number)
                }
                Purpose::Move(pool) => FleetOrder::Move(vm_id.clone(), pool),
            };
            if let Some(planned) = self.planned_orders.get_mut(&vm_id) {
                planned.sent = true;
                planned.next = Timestamp(u64::MAX);
            }
            self.ordered_at.insert(vm_id.clone(), now);
            orders.push(order);
        }
        orders
    }

    /// The platform answered an order, or didn't.
    pub fn on_order_answer(&mut self, vm_id: &VmId, outcome: OrderOutcome, now: Timestamp) {
        let Some(planned) = self.planned_orders.get_mut(vm_id) else {
            return;
        };
        let former_place = self.vms.get(vm_id).map(|vm| (vm.pool.clone(), vm.worker.clone()));
        match outcome {
            OrderOutcome::Accepted => {
                let purpose = planned.purpose.clone();
                self.planned_orders.shift_remove(vm_id);
                let length = match purpose {
                    Purpose::Maintain(wave) => {
                        self.record.begun.entry(wave).or_default().insert(vm_id.clone());
                        self.cfg.maintenance
                    }
                    Purpose::Move(pool) => {
                        self.record_move(vm_id, pool, now);
                        self.cfg.migration
                    }
                };
                if let Some(vm) = self.vms.get(vm_id) {
                    self.joining.push((vm.pool.clone(), now + length));
                }
                // The list may be older than the order; until then the VM counts as down.
                self.absences.insert(vm_id.clone(), Absence { until: now + length + ORDER_REPEAT });
                if let Some((pool, Some(worker))) = former_place {
                    self.ended.insert(worker, (pool, now + self.cfg.entry_ttl));
                }
            }
            OrderOutcome::Busy => {
                planned.sent = false;
                planned.next = now + ORDER_REPEAT;
            }
            OrderOutcome::Invalid => {
                self.planned_orders.shift_remove(vm_id);
                self.absences.insert(vm_id.clone(), Absence { until: now + Span(2_000) });
            }
            OrderOutcome::Unknown => planned.next = now + ORDER_REPEAT,
        }
    }
}
