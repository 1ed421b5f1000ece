//! Moves of VMs between pools: to pools that lack VMs, and to the standby pool when no pool needs
//! them.

use indexmap::IndexMap;

use super::{
    super::WorkerId,
    CellReport, Fleet, FleetAction, PlannedOrder, Purpose, Vm, VmState,
    size::{self, PoolSize},
};
use crate::{ServiceId, Span, Timestamp, VmId};

/// How long a pool must have had surplus VMs before they are moved to standby.
const STANDBY_DELAY: Span = Span(1_500);

/// How long a VM must stay in a pool after a move; a VM on standby may be moved at once.
const MOVE_COOLDOWN: Span = Span(3_000);

/// How long a VM may take to drain for a move before the move is cancelled.
const MOVE_TIMEOUT: Span = Span(4_000);

/// Time from the start of a VM in its new pool until its worker can run tasks.
pub(super) const WORKER_START_TIME: Span = Span(500);

/// Age beyond which a cell's report is ignored.
pub(super) const MAX_REPORT_AGE: Span = Span(1_500);

impl Fleet {
    /// Records an accepted move: the VM counts towards its new pool before the platform lists it
    /// there.
    pub(super) fn record_move(&mut self, vm_id: &VmId, pool: ServiceId, now: Timestamp) {
        self.last_moved.insert(vm_id.clone(), now);
        if let Some(vm) = self.vms.get_mut(vm_id) {
            vm.pool = pool;
            vm.state = VmState::Moving;
            vm.worker = None;
        }
    }

    /// Cancels planned moves whose VM was not drained in time, or that the platform doesn't answer.
    pub(super) fn cancel_overdue_moves(&mut self, now: Timestamp) {
        let copies = &self.sent_copies;
        self.planned_orders.retain(|_, planned| !planned.is_move_over(copies, now));
    }

    /// Returns the number of VMs that a pool has or will have. VMs that are down, or have a planned
    /// move out of the pool or planned maintenance, don't count.
    pub(super) fn vm_count(&self, pool: &ServiceId) -> u64 {
        let present = self.vms.iter().filter(|(vm_id, vm)| {
            let is_up = matches!(vm.state, VmState::Up | VmState::Moving);
            vm.pool == *pool && is_up && !self.planned_orders.contains_key(*vm_id)
        });
        let arriving = self
            .planned_orders
            .values()
            .filter(|planned| matches!(&planned.purpose, Purpose::Move(to) if to == pool));
        (present.count() + arriving.count()) as u64
    }

    /// Returns the capacity of one VM of a pool, in thousandths of a core.
    pub(super) fn vm_cpu_milli(&self, pool: &ServiceId) -> u64 {
        let vms = self.vms.values().filter(|vm| vm.pool == *pool);
        let max_cpu_milli = vms.map(|vm| vm.capacity.cpu_milli).max();
        max_cpu_milli
            .or_else(|| self.vms.values().map(|vm| vm.capacity.cpu_milli).max())
            .unwrap_or(1)
            .max(1)
    }

    /// Returns the capacity that the operator gave a pool, in thousandths of a core.
    pub(super) fn given_cpu_milli(&self, pool: &ServiceId) -> u64 {
        self.record.given.get(pool).copied().unwrap_or(0) * self.vm_cpu_milli(pool)
    }

    /// Returns the pools whose queue is expected to begin a burst soon.
    fn forecast_burst_pools(&self, now: Timestamp) -> Vec<ServiceId> {
        let is_fresh = |(pool, report): &(&ServiceId, &CellReport)| {
            !self.standby.contains(*pool) && now <= report.at + MAX_REPORT_AGE
        };
        let pools: Vec<ServiceId> =
            self.cell_reports.iter().filter(is_fresh).map(|(pool, _)| pool.clone()).collect();
        let lead = Span(self.cfg.move_duration.0 + WORKER_START_TIME.0);
        let next_pools = self.record.bursts.due_pools(&pools, lead, self.wall_offset_ms + now.0);
        next_pools.into_iter().cloned().collect()
    }

    /// Returns the current and the wanted size of each pool whose cell reported recently.
    pub(super) fn pool_sizes(&self, now: Timestamp) -> IndexMap<ServiceId, PoolSize> {
        let burst_pools = self.forecast_burst_pools(now);
        let fresh = self.cell_reports.iter().filter(|(pool, report)| {
            now <= report.at + MAX_REPORT_AGE && !self.standby.contains(*pool)
        });
        fresh
            .map(|(pool, report)| {
                let vm_cpu_milli = self.vm_cpu_milli(pool);
                let mut need = report.need_milli;
                if burst_pools.contains(pool) {
                    need = need.max(self.given_cpu_milli(pool));
                }
                let size = PoolSize {
                    has: self.vm_count(pool),
                    floor: u64::from(report.load.floor_workers),
                    wants: need.div_ceil(vm_cpu_milli),
                };
                (pool.clone(), size)
            })
            .collect()
    }

    /// Plans moves of VMs to pools that lack them, and of surplus VMs to the standby pool.
    pub(super) fn balance(&mut self, now: Timestamp) {
        // Without a standby pool, moves could only take VMs from one queue for another.
        let Some(standby) = self.standby.first().cloned() else {
            return;
        };
        let mut sizes = self.pool_sizes(now);
        self.update_outlooks(&sizes);
        for (pool, size) in &sizes {
            if self.logged_sizes.insert(pool.clone(), *size) != Some(*size) {
                self.actions.push(FleetAction::LogPoolSize(pool.clone(), *size));
            }
        }
        for (pool, deficit) in size::pools_by_deficit(&sizes) {
            for _ in 0..deficit {
                let Some((vm_id, from)) = self.choose_donor(&pool, &sizes, now) else {
                    break;
                };
                if let Some(size) = sizes.get_mut(&from) {
                    size.has -= 1;
                }
                let purpose = Purpose::Move(pool.clone());
                self.planned_orders.insert(vm_id, PlannedOrder::new(purpose, now, MOVE_TIMEOUT));
            }
        }
        // Until work arrives, the operator's split is the best estimate of where it will arrive.
        if self.has_seen_work {
            self.move_surplus_to_standby(&standby, &sizes, now);
        }
        self.log_standby_size(&standby);
    }

    /// Logs the number of standby VMs as `has`, and the number that can be moved now as `wants`.
    pub(super) fn log_standby_size(&mut self, standby: &ServiceId) {
        let standby_vms = self.vms.iter().filter(|(_, vm)| vm.pool == *standby);
        let (mut has, mut available) = (0, 0);
        for (vm_id, vm) in standby_vms {
            has += 1;
            let is_free =
                !self.planned_orders.contains_key(vm_id) && !self.absences.contains_key(vm_id);
            available += u64::from(is_free && vm.state == VmState::Up);
        }
        let size = PoolSize { has, floor: 0, wants: available };
        if self.logged_sizes.insert(standby.clone(), size) != Some(size) {
            self.actions.push(FleetAction::LogPoolSize(standby.clone(), size));
        }
    }

    /// Whether a move of a VM can be planned now.
    pub(super) fn is_movable(&self, vm_id: &VmId, now: Timestamp) -> bool {
        let is_settled = self.last_moved.get(vm_id).is_none_or(|at| now >= *at + MOVE_COOLDOWN);
        let is_up = self.vms.get(vm_id).is_some_and(|vm| vm.state == VmState::Up);
        is_up
            && is_settled
            && !self.planned_orders.contains_key(vm_id)
            && !self.absences.contains_key(vm_id)
            && !self.has_open_order(vm_id, now)
    }

    /// Standby VMs that no order is planned for.
    pub(super) fn free_standby_vms(&self) -> impl Iterator<Item = (&VmId, &Vm)> + Clone {
        self.vms.iter().filter(|(vm_id, vm)| {
            let is_free =
                !self.planned_orders.contains_key(*vm_id) && !self.absences.contains_key(*vm_id);
            self.is_standby(vm) && vm.state == VmState::Up && is_free
        })
    }

    pub(super) fn is_standby(&self, vm: &Vm) -> bool {
        self.standby.contains(&vm.pool)
    }

    /// Chooses a VM to move to a pool, and returns it with its current pool: a standby VM, or else
    /// a VM of the pool with the largest surplus.
    pub(super) fn choose_donor(
        &self,
        to: &ServiceId,
        sizes: &IndexMap<ServiceId, PoolSize>,
        now: Timestamp,
    ) -> Option<(VmId, ServiceId)> {
        // A VM that is due for maintenance has it while it is on standby anyway. One with an open order may
        // have to wait for it.
        let standby_vm = self.free_standby_vms().min_by_key(|(vm_id, _)| {
            (self.has_open_order(vm_id, now), self.is_due_for_maintenance(vm_id))
        });
        if let Some((vm_id, vm)) = standby_vm {
            return Some((vm_id.clone(), vm.pool.clone()));
        }
        let largest_surplus = sizes
            .iter()
            .filter(|(pool, size)| *pool != to && size.surplus() > 0)
            .max_by_key(|(_, size)| size.surplus());
        let (pool, _) = largest_surplus?;
        Some((self.choose_spare_vm(pool, now)?, pool.clone()))
    }

    /// Chooses the movable VM of a pool whose loss costs the pool least.
    pub(super) fn choose_spare_vm(&self, pool: &ServiceId, now: Timestamp) -> Option<VmId> {
        let report = self.cell_reports.get(pool)?;
        let vm_of = |worker: &WorkerId| {
            let runs_worker = |vm: &&Vm| vm.worker.as_ref() == Some(worker);
            self.vms.values().find(runs_worker).map(|vm| vm.id.clone())
        };
        let mut candidates = report.load.spare.iter().filter_map(vm_of);
        candidates.find(|vm_id| self.is_movable(vm_id, now))
    }

    /// Plans moves to standby from pools that have had a surplus for [`STANDBY_DELAY`].
    pub(super) fn move_surplus_to_standby(
        &mut self,
        standby: &ServiceId,
        sizes: &IndexMap<ServiceId, PoolSize>,
        now: Timestamp,
    ) {
        for (pool, size) in sizes {
            let Some(report) = self.cell_reports.get_mut(pool) else {
                continue;
            };
            if size.surplus() == 0 {
                report.surplus_since = None;
                continue;
            }
            let since = *report.surplus_since.get_or_insert(now);
            if now < since + STANDBY_DELAY {
                continue;
            }
            for _ in 0..size.surplus() {
                let Some(vm_id) = self.choose_spare_vm(pool, now) else {
                    break;
                };
                let purpose = Purpose::Move(standby.clone());
                self.planned_orders.insert(vm_id, PlannedOrder::new(purpose, now, MOVE_TIMEOUT));
            }
        }
    }
}
