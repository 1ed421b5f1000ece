//! Moves: VMs go to the pools that lack them, and wait on standby when nobody does.

use indexmap::IndexMap;

use super::{
    super::WorkerId,
    CellReport, Fleet, FleetAction, PlannedOrder, Purpose, Vm, VmState,
    size::{self, PoolSize},
};
use crate::{ServiceId, Span, Timestamp, VmId};

/// How long a pool must have had VMs to spare before one is put on standby.
const PARK_AFTER: Span = Span(1_500);

/// How long a VM stays where it was moved to.
const SETTLE_TIME: Span = Span(3_000);

/// How long a VM may take to become empty for a move before the move is given up.
const MOVE_TIMEOUT: Span = Span(4_000);

/// The time from the start of a VM in its new pool until its worker can be used.
const JOINING_TIME: Span = Span(500);

/// The age beyond which a cell's report says nothing.
const REPORT_AGE: Span = Span(1_500);

impl Fleet {
    /// The VM counts as one of its new pool from the order on, before the list says so.
    pub(super) fn record_move(&mut self, vm_id: &VmId, pool: ServiceId, now: Timestamp) {
        self.moved.insert(vm_id.clone(), now);
        if let Some(vm) = self.vms.get_mut(vm_id) {
            vm.pool = pool;
            vm.state = VmState::Moving;
            vm.worker = None;
        }
    }

    /// Gives up moves whose VM did not become empty in time.
    pub(super) fn give_up_moves(&mut self, now: Timestamp) {
        self.planned_orders.retain(|_, planned| planned.sent || now < planned.deadline);
    }

    /// VMs that a pool has or will have: those that leave it, or are down for maintenance or will
    /// be, don't count.
    pub(super) fn size_of(&self, pool: &ServiceId) -> u64 {
        let here = self.vms.iter().filter(|(vm_id, vm)| {
            let is_up = matches!(vm.state, VmState::Up | VmState::Moving);
            vm.pool == *pool && is_up && !self.planned_orders.contains_key(*vm_id)
        });
        let coming = self
            .planned_orders
            .values()
            .filter(|planned| matches!(&planned.purpose, Purpose::Move(to) if to == pool));
        (here.count() + coming.count()) as u64
    }

    /// The capacity of one VM of a pool, in thousandths of a core.
    pub(super) fn vm_milli(&self, pool: &ServiceId) -> u64 {
        let vms = self.vms.values().filter(|vm| vm.pool == *pool);
        let most = vms.map(|vm| vm.capacity.cpu_milli).max();
        most.or_else(|| self.vms.values().map(|one| one.capacity.cpu_milli).max())
            .unwrap_or(1)
            .max(1)
    }

    /// The capacity that the operator gave a pool, in thousandths of a core.
    pub(super) fn given_milli(&self, pool: &ServiceId) -> u64 {
        self.record.given.get(pool).copied().unwrap_or(0) * self.vm_milli(pool)
    }

    /// Pools whose queue's next burst is about to begin.
    fn foreseen(&self, now: Timestamp) -> Vec<ServiceId> {
        let is_served = |(pool, report): &(&ServiceId, &CellReport)| {
            !self.standby.contains(*pool) && now <= report.at + REPORT_AGE
        };
        let pools: Vec<ServiceId> =
            self.reports.iter().filter(is_served).map(|(pool, _)| pool.clone()).collect();
        let lead = Span(self.cfg.migration.0 + JOINING_TIME.0);
        let due = self.record.bursts.due_pools(&pools, lead, self.wall_offset + now.0);
        due.into_iter().cloned().collect()
    }

    /// What each pool with a cell has and should have.
    pub(super) fn sizes(&self, now: Timestamp) -> IndexMap<ServiceId, PoolSize> {
        let foreseen = self.foreseen(now);
        let fresh = self.reports.iter().filter(|(pool, report)| {
            now <= report.at + REPORT_AGE && !self.standby.contains(*pool)
        });
        fresh
            .map(|(pool, report)| {
                let vm_milli = self.vm_milli(pool);
                let mut need = report.need_milli;
                if foreseen.contains(pool) {
                    need = need.max(self.given_milli(pool));
                }
                let size = PoolSize {
                    has: self.size_of(pool),
                    floor: u64::from(report.load.floor_workers),
                    wants: need.div_ceil(vm_milli),
                };
                (pool.clone(), size)
            })
            .collect()
    }

    /// Moves VMs to the pools that lack them, and VMs that nobody needs to standby.
    pub(super) fn balance(&mut self, now: Timestamp) {
        // Without a pool on standby moves could only take from one queue what another needs.
        let Some(standby) = self.standby.first().cloned() else {
            return;
        };
        let mut sizes = self.sizes(now);
        for (pool, size) in &sizes {
            if self.logged_sizes.insert(pool.clone(), *size) != Some(*size) {
                self.actions.push(FleetAction::LogPoolSize(pool.clone(), *size));
            }
        }
        for (pool, deficit) in size::by_deficit(&sizes) {
            for _ in 0..deficit {
                let Some((vm_id, from)) = self.donor(&pool, &sizes, now) else {
                    break;
                };
                if let Some(size) = sizes.get_mut(&from) {
                    size.has -= 1;
                }
                let timeout = Some(MOVE_TIMEOUT);
                self.planned_orders
                    .insert(vm_id, PlannedOrder::new(Purpose::Move(pool.clone()), now, timeout));
            }
        }
        // Before any work has come the operator's division is the best guess at where it will.
        if self.has_seen_work {
            self.park(&standby, &sizes, now);
        }
        self.log_standby_size(&standby);
    }

    /// Logs how many VMs wait on standby: those that could be moved now, of all.
    pub(super) fn log_standby_size(&mut self, standby: &ServiceId) {
        let parked = self.vms.iter().filter(|(_, vm)| vm.pool == *standby);
        let (mut has, mut up) = (0, 0);
        for (vm_id, vm) in parked {
            has += 1;
            let free =
                !self.planned_orders.contains_key(vm_id) && !self.absences.contains_key(vm_id);
            up += u64::from(free && vm.state == VmState::Up);
        }
        let size = PoolSize { has, floor: 0, wants: up };
        if self.logged_sizes.insert(standby.clone(), size) != Some(size) {
            self.actions.push(FleetAction::LogPoolSize(standby.clone(), size));
        }
    }

    /// Whether a VM can be given an order to move now.
    pub(super) fn is_movable(&self, vm_id: &VmId, now: Timestamp) -> bool {
        let settled = self.moved.get(vm_id).is_none_or(|at| now >= *at + SETTLE_TIME);
        let up = self.vms.get(vm_id).is_some_and(|one| one.state == VmState::Up);
        up && settled
            && !self.planned_orders.contains_key(vm_id)
            && !self.absences.contains_key(vm_id)
    }

    /// The VM that a pool gets: one on standby, or else one that another pool can spare.
    pub(super) fn donor(
        &self,
        to: &ServiceId,
        sizes: &IndexMap<ServiceId, PoolSize>,
        now: Timestamp,
    ) -> Option<(VmId, ServiceId)> {
        let parked = self.vms.iter().find(|(vm_id, vm)| {
            let up = vm.state == VmState::Up;
            let free =
                !self.planned_orders.contains_key(*vm_id) && !self.absences.contains_key(*vm_id);
            up && free && self.standby.contains(&vm.pool)
        });
        if let Some((vm_id, vm)) = parked {
            return Some((vm_id.clone(), vm.pool.clone()));
        }
        let richest = sizes
            .iter()
            .filter(|(pool, size)| *pool != to && size.surplus() > 0)
            .max_by_key(|(_, size)| size.surplus());
        let (pool, _) = richest?;
        Some((self.spare_vm(pool, now)?, pool.clone()))
    }

    /// The VM that a pool gives up most easily.
    pub(super) fn spare_vm(&self, pool: &ServiceId, now: Timestamp) -> Option<VmId> {
        let report = self.reports.get(pool)?;
        let vm_of = |worker: &WorkerId| {
            let is_its = |vm: &&Vm| vm.worker.as_ref() == Some(worker);
            self.vms.values().find(is_its).map(|vm| vm.id.clone())
        };
        let mut spare = report.load.spare.iter().filter_map(vm_of);
        spare.find(|vm_id| self.is_movable(vm_id, now))
    }

    /// Puts VMs on standby that their pool has not needed for a while.
    pub(super) fn park(
        &mut self,
        standby: &ServiceId,
        sizes: &IndexMap<ServiceId, PoolSize>,
        now: Timestamp,
    ) {
        for (pool, size) in sizes {
            let Some(report) = self.reports.get_mut(pool) else {
                continue;
            };
            if size.surplus() == 0 {
                report.spare_since = None;
                continue;
            }
            let since = *report.spare_since.get_or_insert(now);
            if now < since + PARK_AFTER {
                continue;
            }
            for _ in 0..size.surplus() {
                let Some(vm_id) = self.spare_vm(pool, now) else {
                    break;
                };
                let purpose = Purpose::Move(standby.clone());
                self.planned_orders
                    .insert(vm_id, PlannedOrder::new(purpose, now, Some(MOVE_TIMEOUT)));
            }
        }
    }
}
