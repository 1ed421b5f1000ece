//! Moves: machines go to the pools that lack them, and wait on standby when nobody does.

use indexmap::IndexMap;

use super::{
    super::WorkerId,
    CellReport, Errand, Fleet, FleetAction, Machine, MachineState, Purpose,
    size::{self, PoolSize},
};
use crate::{ServiceId, Span, Timestamp, VmId};

/// How long a pool must have had machines to spare before one is put on standby.
const PARK_AFTER: Span = Span(1_500);

/// How long a machine stays where it was moved to.
const SETTLE_TIME: Span = Span(3_000);

/// How long a machine may take to become empty for a move before the move is given up.
const MOVE_PATIENCE: Span = Span(4_000);

/// The time from the start of a machine in its new pool until its worker can be used.
const JOINING_TIME: Span = Span(500);

/// The age beyond which a cell's report says nothing.
const REPORT_AGE: Span = Span(1_500);

impl Fleet {
    /// The machine counts as one of its new pool from the order on, before the list says so.
    pub(super) fn note_move(&mut self, vm: &VmId, pool: ServiceId, now: Timestamp) {
        self.moved.insert(vm.clone(), now);
        if let Some(machine) = self.machines.get_mut(vm) {
            machine.pool = pool;
            machine.state = MachineState::Moving;
            machine.worker = None;
        }
    }

    /// Gives up moves whose machine did not become empty in time.
    pub(super) fn give_up_moves(&mut self, now: Timestamp) {
        self.errands.retain(|_, errand| errand.sent || now < errand.deadline);
    }

    /// Machines that a pool has or will have: those that leave it, or are down for upkeep or will be,
    /// don't count.
    pub(super) fn size_of(&self, pool: &ServiceId) -> u64 {
        let here = self.machines.iter().filter(|(vm, machine)| {
            let is_up = matches!(machine.state, MachineState::Up | MachineState::Moving);
            machine.pool == *pool && is_up && !self.errands.contains_key(*vm)
        });
        let coming = self
            .errands
            .values()
            .filter(|errand| matches!(&errand.purpose, Purpose::Move(to) if to == pool));
        (here.count() + coming.count()) as u64
    }

    /// The capacity of one machine of a pool, in thousandths of a core.
    pub(super) fn machine_milli(&self, pool: &ServiceId) -> u64 {
        let machines = self.machines.values().filter(|machine| machine.pool == *pool);
        let most = machines.map(|machine| machine.capacity.cpu_milli).max();
        most.or_else(|| self.machines.values().map(|one| one.capacity.cpu_milli).max())
            .unwrap_or(1)
            .max(1)
    }

    /// The capacity that the operator gave a pool, in thousandths of a core.
    pub(super) fn given_milli(&self, pool: &ServiceId) -> u64 {
        self.record.given.get(pool).copied().unwrap_or(0) * self.machine_milli(pool)
    }

    /// Pools whose queue's turn is about to begin.
    fn foreseen(&self, now: Timestamp) -> Vec<ServiceId> {
        let is_served = |(pool, report): &(&ServiceId, &CellReport)| {
            !self.standby.contains(*pool) && now <= report.at + REPORT_AGE
        };
        let pools: Vec<ServiceId> =
            self.reports.iter().filter(is_served).map(|(pool, _)| pool.clone()).collect();
        let lead = Span(self.cfg.migration.0 + JOINING_TIME.0);
        let due = self.record.turns.due(&pools, lead, self.wall_offset + now.0);
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
                let machine = self.machine_milli(pool);
                let mut need = report.need_milli;
                if foreseen.contains(pool) {
                    need = need.max(self.given_milli(pool));
                }
                let size = PoolSize {
                    has: self.size_of(pool),
                    floor: u64::from(report.load.floor_workers),
                    wants: need.div_ceil(machine),
                };
                (pool.clone(), size)
            })
            .collect()
    }

    /// Moves machines to the pools that lack them, and machines that nobody needs to standby.
    pub(super) fn balance(&mut self, now: Timestamp) {
        // Without a pool on standby moves could only take from one queue what another needs.
        let Some(standby) = self.standby.first().cloned() else {
            return;
        };
        let mut sizes = self.sizes(now);
        for (pool, size) in &sizes {
            if self.logged_sizes.insert(pool.clone(), *size) != Some(*size) {
                self.out.push(FleetAction::LogPoolSize(pool.clone(), *size));
            }
        }
        for (pool, deficit) in size::by_deficit(&sizes) {
            for _ in 0..deficit {
                let Some((vm, from)) = self.donor(&pool, &sizes, now) else {
                    break;
                };
                if let Some(size) = sizes.get_mut(&from) {
                    size.has -= 1;
                }
                let patience = Some(MOVE_PATIENCE);
                self.errands.insert(vm, Errand::new(Purpose::Move(pool.clone()), now, patience));
            }
        }
        // Before any work has come the operator's division is the best guess at where it will.
        if self.has_seen_work {
            self.park(&standby, &sizes, now);
        }
        self.note_standby(&standby);
    }

    /// Notes how many machines wait on standby: those that could be moved now, of all.
    pub(super) fn note_standby(&mut self, standby: &ServiceId) {
        let parked = self.machines.iter().filter(|(_, machine)| machine.pool == *standby);
        let (mut has, mut up) = (0, 0);
        for (vm, machine) in parked {
            has += 1;
            let free = !self.errands.contains_key(vm) && !self.away.contains_key(vm);
            up += u64::from(free && machine.state == MachineState::Up);
        }
        let size = PoolSize { has, floor: 0, wants: up };
        if self.logged_sizes.insert(standby.clone(), size) != Some(size) {
            self.out.push(FleetAction::LogPoolSize(standby.clone(), size));
        }
    }

    /// Whether a machine can be given an order to move now.
    pub(super) fn is_movable(&self, vm: &VmId, now: Timestamp) -> bool {
        let settled = self.moved.get(vm).is_none_or(|at| now >= *at + SETTLE_TIME);
        let up = self.machines.get(vm).is_some_and(|one| one.state == MachineState::Up);
        up && settled && !self.errands.contains_key(vm) && !self.away.contains_key(vm)
    }

    /// The machine that a pool gets: one on standby, or else one that another pool can spare.
    pub(super) fn donor(
        &self,
        to: &ServiceId,
        sizes: &IndexMap<ServiceId, PoolSize>,
        now: Timestamp,
    ) -> Option<(VmId, ServiceId)> {
        let parked = self.machines.iter().find(|(vm, machine)| {
            let up = machine.state == MachineState::Up;
            let free = !self.errands.contains_key(*vm) && !self.away.contains_key(*vm);
            up && free && self.standby.contains(&machine.pool)
        });
        if let Some((vm, machine)) = parked {
            return Some((vm.clone(), machine.pool.clone()));
        }
        let richest = sizes
            .iter()
            .filter(|(pool, size)| *pool != to && size.surplus() > 0)
            .max_by_key(|(_, size)| size.surplus());
        let (pool, _) = richest?;
        Some((self.spare_machine(pool, now)?, pool.clone()))
    }

    /// The machine that a pool gives up most easily.
    pub(super) fn spare_machine(&self, pool: &ServiceId, now: Timestamp) -> Option<VmId> {
        let report = self.reports.get(pool)?;
        let machine_of = |worker: &WorkerId| {
            let is_its = |machine: &&Machine| machine.worker.as_ref() == Some(worker);
            self.machines.values().find(is_its).map(|machine| machine.vm.clone())
        };
        let mut spare = report.load.spare.iter().filter_map(machine_of);
        spare.find(|vm| self.is_movable(vm, now))
    }

    /// Puts machines on standby that their pool has not needed for a while.
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
                let Some(vm) = self.spare_machine(pool, now) else {
                    break;
                };
                let purpose = Purpose::Move(standby.clone());
                self.errands.insert(vm, Errand::new(purpose, now, Some(MOVE_PATIENCE)));
            }
        }
    }
}
