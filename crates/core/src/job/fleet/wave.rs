//! Waves of maintenance: each VM once, few at a time, those first that are missed least.

use super::{CellReport, Fleet, FleetAction, PlannedOrder, Purpose, VmState, Wave};
use crate::{Span, Timestamp, VmId};

/// Below this part of the time that the rest of a wave needs, in percent, what runs is stopped.
const HURRY_PERCENT: u64 = 130;

/// How long a VM takes to become empty when what runs may end by itself.
const DRAIN_ESTIMATE: Span = Span(3_000);

impl Fleet {
    /// Whether a wave can't be finished in time unless what runs is stopped.
    pub(super) fn is_late(&self, wave: u64, now: Timestamp) -> bool {
        let Some(wave) = self.waves.get(&wave) else {
            return false;
        };
        let left = self.open_vms(wave).count() as u64;
        let rounds = left.div_ceil(u64::from(wave.max_down.max(1)));
        let round = self.cfg.maintenance.0 + DRAIN_ESTIMATE.0;
        now + Span(rounds * round * HURRY_PERCENT / 100) > wave.deadline
    }

    pub(super) fn open_vms<'a>(&'a self, wave: &'a Wave) -> impl Iterator<Item = &'a VmId> {
        let begun = self.record.begun.get(&wave.number);
        wave.vms.iter().filter(move |vm_id| {
            self.vms.contains_key(*vm_id) && begun.is_none_or(|begun| !begun.contains(*vm_id))
        })
    }

    pub(super) fn advance_wave(&mut self, number: u64, now: Timestamp) {
        let Some(wave) = self.waves.get(&number) else {
            return;
        };
        let open: Vec<VmId> = self.open_vms(wave).cloned().collect();
        if open.is_empty() {
            self.record.finished.insert(number);
        } else if self.record.finished.contains(&number) {
            return;
        }
        self.report_wave(number, open.is_empty());
        let max_down = self.waves.get(&number).map_or(0, |wave| wave.max_down as usize);
        let chosen = self
            .planned_orders
            .values()
            .filter(|planned| planned.purpose == Purpose::Maintain(number))
            .count();
        // VMs are emptied while others are down, so that no time is lost between them.
        let mut candidates: Vec<VmId> = open
            .into_iter()
            .filter(|vm_id| self.is_free_for_maintenance(vm_id))
            .filter(|vm_id| self.vms.get(vm_id).is_some_and(|one| one.state == VmState::Up))
            .collect();
        candidates.sort_by_key(|vm_id| self.cost_of_absence(vm_id));
        for vm_id in candidates.into_iter().take(max_down.saturating_sub(chosen)) {
            self.planned_orders
                .insert(vm_id, PlannedOrder::new(Purpose::Maintain(number), now, None));
        }
    }

    /// Whether a VM can be chosen for its maintenance; a move that has not been ordered gives way.
    fn is_free_for_maintenance(&self, vm_id: &VmId) -> bool {
        let may_give_way =
            |planned: &PlannedOrder| !planned.sent && matches!(planned.purpose, Purpose::Move(_));
        !self.absences.contains_key(vm_id)
            && self.planned_orders.get(vm_id).is_none_or(may_give_way)
    }

    /// How much a pool would miss a VM: VMs on standby first, then the idlest pools.
    pub(super) fn cost_of_absence(&self, vm_id: &VmId) -> u64 {
        let Some(vm) = self.vms.get(vm_id) else {
            return u64::MAX;
        };
        if self.standby.contains(&vm.pool) {
            return 0;
        }
        let Some(CellReport { load, .. }) = self.reports.get(&vm.pool) else {
            return u64::MAX - 1;
        };
        let wanted = load.booked_milli + load.waiting_milli;
        1 + wanted * 1_000 / load.capacity_milli.max(1)
    }

    pub(super) fn report_wave(&mut self, wave: u64, finished: bool) {
        if self.reported.insert(wave, finished) != Some(finished) {
            self.actions.push(FleetAction::Report { wave, finished });
        }
    }

    /// VMs that are down for a wave, or may be.
    pub(super) fn down_count(&self, number: u64) -> usize {
        let Some(wave) = self.waves.get(&number) else {
            return 0;
        };
        wave.vms
            .iter()
            .filter(|vm_id| {
                let listed = self.vms.get(*vm_id);
                listed.is_some_and(|one| one.state == VmState::Maintenance)
                    || self.absences.contains_key(*vm_id)
                    || self.planned_orders.get(*vm_id).is_some_and(|planned| planned.sent)
            })
            .count()
    }
}
