//! Maintenance waves: each VM of a wave has its maintenance once, a few VMs at a time, standby VMs
//! and VMs of the least loaded pools first.

use super::{CellReport, Fleet, FleetAction, PlannedOrder, Purpose, VmState, Wave};
use crate::{Span, Timestamp, VmId};

/// A wave is late, so that running tasks are stopped, if the time left is less than this percentage
/// of the estimated time for its remaining VMs.
const LATE_THRESHOLD_PERCENT: u64 = 130;

/// Estimated time to drain a VM whose runs are not stopped.
const DRAIN_ESTIMATE: Span = Span(3_000);

impl Fleet {
    /// Whether a wave is expected to miss its deadline unless running tasks are stopped.
    pub(super) fn is_late(&self, wave: u64, now: Timestamp) -> bool {
        let Some(wave) = self.waves.get(&wave) else {
            return false;
        };
        let pending_count = self.pending_vms(wave).count() as u64;
        let rounds = pending_count.div_ceil(u64::from(wave.max_down.max(1)));
        let round_ms = self.cfg.maintenance_duration.0 + DRAIN_ESTIMATE.0;
        now + Span(rounds * round_ms * LATE_THRESHOLD_PERCENT / 100) > wave.deadline
    }

    /// Returns the listed VMs of a wave whose maintenance has not begun.
    pub(super) fn pending_vms<'a>(&'a self, wave: &'a Wave) -> impl Iterator<Item = &'a VmId> {
        let begun = self.record.begun.get(&wave.number);
        wave.vms.iter().filter(move |vm_id| {
            self.vms.contains_key(*vm_id) && begun.is_none_or(|begun| !begun.contains(*vm_id))
        })
    }

    /// Reports the progress of a wave and plans the maintenance of its next VMs.
    pub(super) fn advance_wave(&mut self, number: u64, now: Timestamp) {
        let Some(wave) = self.waves.get(&number) else {
            return;
        };
        let pending: Vec<VmId> = self.pending_vms(wave).cloned().collect();
        if pending.is_empty() {
            self.record.finished.insert(number);
        } else if self.record.finished.contains(&number) {
            return;
        }
        self.report_wave(number, pending.is_empty());
        let max_down = self.waves.get(&number).map_or(0, |wave| wave.max_down as usize);
        let planned_count = self
            .planned_orders
            .values()
            .filter(|planned| planned.purpose == Purpose::Maintain(number))
            .count();
        // The next VMs are drained while others are still down, to lose no time in between.
        let mut candidates: Vec<VmId> = pending
            .into_iter()
            .filter(|vm_id| self.is_free_for_maintenance(vm_id))
            .filter(|vm_id| self.vms.get(vm_id).is_some_and(|vm| vm.state == VmState::Up))
            .collect();
        candidates.sort_by_key(|vm_id| self.cost_of_absence(vm_id));
        for vm_id in candidates.into_iter().take(max_down.saturating_sub(planned_count)) {
            self.planned_orders
                .insert(vm_id, PlannedOrder::new(Purpose::Maintain(number), now, None));
        }
    }

    /// Whether the maintenance of a VM can be planned; it replaces a planned move that is not in
    /// flight.
    fn is_free_for_maintenance(&self, vm_id: &VmId) -> bool {
        let is_replaceable = |planned: &PlannedOrder| {
            !planned.is_in_flight && matches!(planned.purpose, Purpose::Move(_))
        };
        !self.absences.contains_key(vm_id)
            && self.planned_orders.get(vm_id).is_none_or(is_replaceable)
    }

    /// Returns a sort key for the choice of VMs: 0 for standby VMs, otherwise the load of the VM's
    /// pool in relation to the pool's capacity.
    pub(super) fn cost_of_absence(&self, vm_id: &VmId) -> u64 {
        let Some(vm) = self.vms.get(vm_id) else {
            return u64::MAX;
        };
        if self.standby.contains(&vm.pool) {
            return 0;
        }
        let Some(CellReport { load, .. }) = self.cell_reports.get(&vm.pool) else {
            return u64::MAX - 1;
        };
        let wanted_milli = load.booked_milli + load.waiting_milli;
        1 + wanted_milli * 1_000 / load.capacity_milli.max(1)
    }

    /// Reports the progress of a wave if it has changed.
    pub(super) fn report_wave(&mut self, wave: u64, finished: bool) {
        if self.reported_waves.insert(wave, finished) != Some(finished) {
            self.actions.push(FleetAction::ReportWave { wave, finished });
        }
    }

    /// Returns the number of VMs of a wave that are down, or may be because of an order.
    pub(super) fn down_count(&self, number: u64) -> usize {
        let Some(wave) = self.waves.get(&number) else {
            return 0;
        };
        wave.vms
            .iter()
            .filter(|vm_id| {
                let listed = self.vms.get(*vm_id);
                listed.is_some_and(|vm| vm.state == VmState::Maintenance)
                    || self.absences.contains_key(*vm_id)
                    || self.planned_orders.get(*vm_id).is_some_and(|planned| planned.is_in_flight)
            })
            .count()
    }
}
