//! Maintenance waves: each VM of a wave has its maintenance once, before the wave's deadline.
//!
//! A wave competes with the queues for VMs. Draining one for the wave costs its pool more than the
//! maintenance itself, so a wave takes VMs that are empty anyway, on standby or on their way from one
//! pool to another, and drains only as many as it needs to be in time.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use super::{
    CellReport, Fleet, FleetAction, ListingChange, ORDER_RETRY_INTERVAL, PlannedOrder, Purpose,
    ReopenedWave, Vm, VmState, Wave, WaveBasis, WaveStep, balance::MAX_REPORT_AGE,
};
use crate::{
    Span, Timestamp, VmId,
    job::{Load, WorkerId},
};

/// A wave is late, so that running tasks are stopped, if the time left is less than this percentage
/// of the estimated time for its remaining VMs.
const LATE_THRESHOLD_PERCENT: u64 = 130;

/// Time to drain a VM whose runs are not stopped, as long as few were drained.
const DRAIN_ESTIMATE: Span = Span(3_000);

/// How long the drain of a VM may take before the next VM of its wave is taken, too.
pub(super) const WAVE_DRAIN_TIME: Span = Span(10_000);

/// The same for a VM with long-running tasks, which may have to wait until others of their steps are back.
const LONG_DRAIN_TIME: Span = Span(30_000);

/// Weight of [`DRAIN_ESTIMATE`] in the mean time of a drain, as a number of drains.
const ESTIMATED_DRAINS: u64 = 8;

/// How much faster than just in time a wave goes, in percent.
const PACE_PERCENT: u64 = 110;

/// The time before its deadline at which a wave is to be done, for VMs that take longer to drain
/// than others.
const SLOW_DRAIN_RESERVE: Span = Span(5_000);

/// Returns the fewest VMs that must be away at once so that `pending` VMs, each of them away for
/// `time_away`, have begun their maintenance in `time_left`.
fn least_at_once(pending: usize, time_away: Span, time_left: Span) -> usize {
    let time_left_ms = time_left.0.saturating_sub(SLOW_DRAIN_RESERVE.0).max(1);
    let work_ms = (pending as u64).saturating_mul(time_away.0).saturating_mul(PACE_PERCENT) / 100;
    usize::try_from(work_ms.div_ceil(time_left_ms)).unwrap_or(usize::MAX)
}

impl Fleet {
    /// The time by which the maintenance of every VM of a wave must have begun. A node that started
    /// after the wave was requested counts its duration from too late, so the earliest deadline that
    /// any owner of the fleet knew counts.
    fn deadline(&self, wave: &Wave) -> Timestamp {
        let recorded = self.record.deadlines.get(&wave.number);
        let recorded = recorded.map(|wall_ms| wall_ms.saturating_sub(self.wall_offset_ms));
        recorded.map_or(wave.deadline, |deadline| wave.deadline.min(Timestamp(deadline)))
    }

    /// How long a VM that is not on standby is away for a wave: its drain and its maintenance.
    fn time_away(&self, now: Timestamp) -> Span {
        let is_being_drained = |(vm_id, planned): &(&VmId, &PlannedOrder)| {
            matches!(planned.purpose, Purpose::Maintain(_))
                && !planned.is_in_flight
                && self.vms.get(*vm_id).is_some_and(|vm| !self.is_standby(vm))
        };
        let unfinished = self.planned_orders.iter().filter(is_being_drained);
        // One that never ends says nothing of the others.
        let age_ms =
            |planned: &PlannedOrder| now.min(planned.drain_deadline).since(planned.planned_at).0;
        let unfinished_ms = unfinished.map(|(_, planned)| age_ms(planned)).sum();
        let drain = self.drain_times.estimate(Span(unfinished_ms));
        Span(self.cfg.maintenance_duration.0 + drain.0)
    }

    /// Whether a wave is expected to miss its deadline unless running tasks are stopped.
    pub(super) fn is_late(&self, wave: u64, now: Timestamp) -> bool {
        let Some(wave) = self.waves.get(&wave) else {
            return false;
        };
        let pending_count = self.pending_vms(wave).count() as u64;
        let rounds = pending_count.div_ceil(u64::from(wave.max_down.max(1)));
        let time_away_ms = self.time_away(now).0;
        now + Span(rounds * time_away_ms * LATE_THRESHOLD_PERCENT / 100) > self.deadline(wave)
    }

    /// Returns the listed VMs of a wave whose maintenance has not begun: the others can't be ordered, so
    /// the pace of the wave doesn't rest on them.
    pub(super) fn pending_vms<'a>(&'a self, wave: &'a Wave) -> impl Iterator<Item = &'a VmId> {
        let begun = self.record.begun.get(&wave.number);
        wave.vms.iter().filter(move |vm_id| {
            let is_listed = self.vms.contains_key(*vm_id);
            is_listed && begun.is_none_or(|begun| !begun.contains(*vm_id))
        })
    }

    /// Reports the progress of a wave and plans the maintenance of its next VMs.
    pub(super) fn advance_wave(&mut self, number: u64, now: Timestamp) {
        let Some(wave) = self.waves.get(&number) else {
            return;
        };
        let pending: Vec<VmId> = self.pending_vms(wave).cloned().collect();
        let was_finished = self.record.finished.contains(&number);
        let is_finished = pending.is_empty() && (was_finished || !self.awaits_vm(wave));
        if is_finished {
            self.record.finished.insert(number);
        } else if was_finished {
            self.reopen_wave(number, &pending);
        }
        self.report_wave(number, is_finished, now);
        let Some(wave) = self.waves.get(&number) else {
            return;
        };
        let efforts = self.drain_efforts();
        let (mut quota, step) = self.wave_quota(wave, &pending, &efforts, now);
        let mut candidates: Vec<VmId> = pending
            .into_iter()
            .filter(|vm_id| self.is_free_for_maintenance(vm_id, now))
            .filter(|vm_id| self.vms.get(vm_id).is_some_and(|vm| vm.state == VmState::Up))
            .filter(|vm_id| !self.is_drained_in_vain(vm_id, now))
            .collect();
        candidates.sort_by_cached_key(|vm_id| self.cost_of_absence(vm_id, &efforts));
        let mut chosen = 0;
        for vm_id in candidates {
            let (kind, ..) = self.cost_of_absence(&vm_id, &efforts);
            if quota.take(kind) {
                chosen += 1;
                let hosts_long_running = kind == VmKind::HardToDrain;
                let drain_time = if hosts_long_running { LONG_DRAIN_TIME } else { WAVE_DRAIN_TIME };
                let planned = PlannedOrder {
                    hosts_long_running,
                    ..PlannedOrder::new(Purpose::Maintain(number), now, drain_time)
                };
                self.planned_orders.insert(vm_id, planned);
            }
        }
        if chosen > 0 {
            self.actions.push(FleetAction::LogWaveStep(WaveStep { chosen, ..step }));
        }
    }

    /// Goes on with a wave that was taken for done, as these listed VMs of it have not begun.
    fn reopen_wave(&mut self, number: u64, pending: &[VmId]) {
        self.record.finished.shift_remove(&number);
        let reopened =
            ReopenedWave { wave: number, pending: pending.len(), vm: pending.first().cloned() };
        self.actions.push(FleetAction::LogReopenedWave(reopened));
    }

    /// Whether VMs of the same pool are drained and their cell is silent. Were more of them taken, all
    /// would be drained at once when it is heard again.
    fn is_drained_in_vain(&self, vm_id: &VmId, now: Timestamp) -> bool {
        let Some(pool) = self.vms.get(vm_id).map(|vm| &vm.pool) else {
            return false;
        };
        let is_overdue = |(vm_id, planned): (&VmId, &PlannedOrder)| {
            self.is_overdue(vm_id, planned, now)
                && self.vms.get(vm_id).is_some_and(|vm| vm.pool == *pool)
        };
        let is_recent = |report: &CellReport| now <= report.at + MAX_REPORT_AGE;
        !self.cell_reports.get(pool).is_some_and(is_recent)
            && self.planned_orders.iter().any(is_overdue)
    }

    /// How many more VMs of a wave may be taken now, given those whose maintenance has not begun.
    ///
    /// VMs move between pools all the time and are empty then. Others are drained only while too few of
    /// the wave are down for it to be in time, or if they run long-running tasks, because such VMs are
    /// never moved.
    fn wave_quota(
        &self,
        wave: &Wave,
        pending: &[VmId],
        efforts: &IndexMap<WorkerId, DrainEffort>,
        now: Timestamp,
    ) -> (WaveQuota, WaveStep) {
        let is_of_wave =
            |planned: &&PlannedOrder| planned.purpose == Purpose::Maintain(wave.number);
        let is_overdue = |(vm_id, planned): &(&VmId, &PlannedOrder)| {
            is_of_wave(planned) && self.is_overdue(vm_id, planned, now)
        };
        let planned = self.planned_orders.iter().filter(|(_, planned)| is_of_wave(planned));
        let planned = planned.filter(|entry| !is_overdue(entry)).map(|(_, planned)| planned);
        // A drain that may never end holds back no other VM. Were there no bound, the whole pool would be drained
        // in vain, one VM after the other.
        let overdue = self.planned_orders.iter().filter(is_overdue).count();
        let max_down = wave.max_down as usize;
        let planned_count = planned.clone().count() + overdue.saturating_sub(max_down);
        let draining = planned.filter(|planned| !planned.is_in_flight);
        let hard_draining = draining.clone().filter(|planned| planned.hosts_long_running).count();
        let draining = draining.count();
        let down = self.down_count(wave.number);
        let is_hard = |vm_id: &&VmId| {
            !self.planned_orders.contains_key(*vm_id) && self.is_hard_to_drain(vm_id, efforts)
        };
        let hard_count = hard_draining + pending.iter().filter(is_hard).count();

        let time_away = self.time_away(now);
        let time_left = self.time_left(wave, now);
        let down_pace = self.down_pace(wave, pending.len(), now);
        let pace = least_at_once(pending.len(), time_away, time_left);
        let hard_pace = least_at_once(hard_count, time_away, time_left);
        // Drains make up for the share of the pace that VMs without a drain leave.
        let missing = down_pace.saturating_sub(down);
        let needed_drains = pace.saturating_sub(down_pace) * missing / down_pace.max(1);
        let quota = WaveQuota {
            // The next VMs are drained while others are still down, to lose no time in between.
            total: max_down.saturating_sub(planned_count),
            drains: needed_drains.saturating_sub(draining),
            hard_drains: hard_pace.saturating_sub(hard_draining),
            unneeded: if self.is_short_of_vms {
                down_pace.saturating_sub(down)
            } else {
                usize::MAX
            },
        };
        let step = WaveStep {
            wave: wave.number,
            pending: pending.len(),
            hard: hard_count,
            draining,
            down,
            pace,
            time_away,
            time_left,
            chosen: 0,
        };
        (quota, step)
    }

    /// The time left to begin the last maintenance of a wave.
    fn time_left(&self, wave: &Wave, now: Timestamp) -> Span {
        self.deadline(wave).since(now + self.cfg.maintenance_duration)
    }

    /// How many VMs of a wave must be down at once for it to be in time.
    fn down_pace(&self, wave: &Wave, pending: usize, now: Timestamp) -> usize {
        let down_time = Span(self.cfg.maintenance_duration.0 + ORDER_RETRY_INTERVAL.0);
        least_at_once(pending, down_time, self.time_left(wave, now))
    }

    /// Returns the wave for which a VM that is drained for a move has its maintenance first, because
    /// too few VMs of the wave are down.
    pub(super) fn wave_before_move(&self, vm_id: &VmId, now: Timestamp) -> Option<u64> {
        let takes_vm = |wave: &&Wave| {
            let is_due = !self.record.finished.contains(&wave.number)
                && self.pending_vms(wave).any(|pending| pending == vm_id);
            is_due && {
                let pace = self.down_pace(wave, self.pending_vms(wave).count(), now);
                self.down_count(wave.number) < pace.min(wave.max_down as usize)
            }
        };
        self.waves.values().find(takes_vm).map(|wave| wave.number)
    }

    fn is_hard_to_drain(&self, vm_id: &VmId, efforts: &IndexMap<WorkerId, DrainEffort>) -> bool {
        let worker = self.vms.get(vm_id).and_then(|vm| vm.worker.as_ref());
        let effort = worker.and_then(|worker| efforts.get(worker));
        effort.is_some_and(|effort| effort.hosts_long_running)
    }

    /// Whether the maintenance of a VM is pending in a wave.
    pub(super) fn is_due_for_maintenance(&self, vm_id: &VmId) -> bool {
        self.waves.values().any(|wave| {
            let begun = self.record.begun.get(&wave.number);
            wave.vms.contains(vm_id) && begun.is_none_or(|begun| !begun.contains(vm_id))
        })
    }

    /// Whether a VM is free on standby, or is being drained to go there.
    fn is_unneeded(&self, vm_id: &VmId) -> bool {
        let Some(vm) = self.vms.get(vm_id).filter(|vm| vm.state == VmState::Up) else {
            return false;
        };
        match self.planned_orders.get(vm_id).map(|planned| &planned.purpose) {
            Some(Purpose::Move(to)) => self.standby.contains(to),
            Some(Purpose::Maintain(_)) => false,
            None => self.is_standby(vm) && !self.absences.contains_key(vm_id),
        }
    }

    /// Whether the maintenance of a VM can be planned; it replaces a planned move that is not in
    /// flight.
    fn is_free_for_maintenance(&self, vm_id: &VmId, now: Timestamp) -> bool {
        let is_replaceable = |planned: &PlannedOrder| {
            !planned.is_in_flight && matches!(planned.purpose, Purpose::Move(_))
        };
        let waits_for_predecessor = self.vm_not_before.get(vm_id).is_some_and(|from| now < *from);
        !waits_for_predecessor
            && !self.absences.contains_key(vm_id)
            && self.planned_orders.get(vm_id).is_none_or(is_replaceable)
    }

    /// How each worker that its cell could give up would be drained.
    fn drain_efforts(&self) -> IndexMap<WorkerId, DrainEffort> {
        let effort_of = |(load, place): (&Load, usize)| {
            let hosts_long_running = place >= load.short_running_workers as usize;
            (load.spare[place].clone(), DrainEffort { hosts_long_running, place })
        };
        let loads = self.cell_reports.values().map(|report| &report.load);
        let spare = loads.flat_map(|load| (0..load.spare.len()).map(move |place| (load, place)));
        spare.map(effort_of).collect()
    }

    /// Returns a sort key for the choice of VMs: by kind, then the load of the VM's pool in relation
    /// to the pool's capacity, then the order in which its cell would give up workers.
    fn cost_of_absence(
        &self,
        vm_id: &VmId,
        efforts: &IndexMap<WorkerId, DrainEffort>,
    ) -> (VmKind, u64, usize) {
        if self.is_unneeded(vm_id) {
            return (VmKind::Unneeded, 0, 0);
        }
        let vm = self.vms.get(vm_id);
        let report = vm.and_then(|vm| self.cell_reports.get(&vm.pool));
        let load_permille = report.map_or(u64::MAX, |CellReport { load, .. }| {
            let wanted_milli = load.booked_milli + load.waiting_milli;
            wanted_milli.saturating_mul(1_000) / load.capacity_milli.max(1)
        });
        let effort = vm.and_then(|vm| efforts.get(vm.worker.as_ref()?));
        match effort {
            Some(effort) if effort.hosts_long_running => {
                (VmKind::HardToDrain, load_permille, effort.place)
            }
            Some(effort) => (VmKind::InUse, load_permille, effort.place),
            None => (VmKind::InUse, u64::MAX, 0),
        }
    }

    /// Reports the progress of a wave if it has changed.
    pub(super) fn report_wave(&mut self, wave: u64, finished: bool, now: Timestamp) {
        if self.reported_waves.insert(wave, finished) != Some(finished) {
            let basis = self.wave_basis(wave, now);
            self.actions.push(FleetAction::ReportWave { wave, finished, basis });
        }
    }

    /// What a report of a wave's progress rests on at `now`.
    fn wave_basis(&self, number: u64, now: Timestamp) -> WaveBasis {
        let Some(wave) = self.waves.get(&number) else {
            return WaveBasis::default();
        };
        let begun = self.record.begun.get(&number);
        let has_begun = |vm_id: &&VmId| begun.is_some_and(|begun| begun.contains(*vm_id));
        let open = wave.vms.iter().filter(|vm_id| !has_begun(vm_id));
        WaveBasis {
            vms: wave.vms.len(),
            begun: wave.vms.iter().filter(has_begun).count(),
            unlisted: open.filter(|vm_id| !self.vms.contains_key(*vm_id)).count(),
            list_age: self.vms_asked.map(|asked| now.since(asked)),
        }
    }

    /// Logs which VMs of waves are in only one of the platform's latest list and `new`, the next one.
    pub(super) fn log_listing_changes(&mut self, new: &IndexMap<VmId, Vm>) {
        let change_of = |wave: &Wave, vm_id: &VmId| {
            let begun = self.record.begun.get(&wave.number);
            ListingChange {
                vm: vm_id.clone(),
                wave: wave.number,
                is_listed: new.contains_key(vm_id),
                has_begun: begun.is_some_and(|begun| begun.contains(vm_id)),
                listed: new.len(),
            }
        };
        let vms_of_waves =
            self.waves.values().flat_map(|wave| wave.vms.iter().map(move |vm_id| (wave, vm_id)));
        let differing = vms_of_waves
            .filter(|(_, vm_id)| self.vms.contains_key(*vm_id) != new.contains_key(*vm_id));
        let changes: Vec<FleetAction> = differing
            .map(|(wave, vm_id)| FleetAction::LogListing(change_of(wave, vm_id)))
            .collect();
        self.actions.extend(changes);
    }

    /// Whether maintenance of a VM that the previous owner ordered may still begin, or may have begun and is not
    /// shown by the latest list.
    fn may_be_down_for_predecessor(&self, vm_id: &VmId) -> bool {
        self.record.maintained.contains(vm_id)
            && self.vm_not_before.contains_key(vm_id)
            && self.unlisted_orders.contains_key(vm_id)
    }

    /// Whether a VM is down for maintenance, or may be because of an order of this owner or of its
    /// predecessor.
    pub(super) fn may_be_down(&self, vm_id: &VmId) -> bool {
        self.vms.get(vm_id).is_some_and(|vm| vm.state == VmState::Maintenance)
            || self.absences.get(vm_id).is_some_and(|absence| absence.is_maintenance)
            || self.planned_orders.get(vm_id).is_some_and(PlannedOrder::may_be_maintained)
            || self.sent_copies.may_be_maintained(vm_id)
            || self.may_be_down_for_predecessor(vm_id)
    }

    /// Returns the number of VMs of a wave that are down for maintenance, or may be.
    pub(super) fn down_count(&self, number: u64) -> usize {
        let Some(wave) = self.waves.get(&number) else {
            return 0;
        };
        wave.vms.iter().filter(|vm_id| self.may_be_down(vm_id)).count()
    }
}

/// How long the drains of VMs for maintenance have taken in this term.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DrainTimes {
    total: Span,
    count: u64,
}

impl DrainTimes {
    pub(super) fn record(&mut self, time: Span) {
        self.total = Span(self.total.0.saturating_add(time.0));
        self.count += 1;
    }

    /// The mean time of a drain. The time that unfinished drains have taken so far counts too, so
    /// that the mean does not rest on the quick ones only.
    fn estimate(&self, unfinished: Span) -> Span {
        let estimated_ms = DRAIN_ESTIMATE.0 * ESTIMATED_DRAINS;
        let total_ms = self.total.0.saturating_add(unfinished.0).saturating_add(estimated_ms);
        Span(total_ms / (self.count + ESTIMATED_DRAINS))
    }
}

/// What draining a worker takes.
#[derive(Clone, Copy, Debug)]
struct DrainEffort {
    /// Whether it runs long-running tasks, which must be moved.
    hosts_long_running: bool,
    /// Its place in the order in which its cell would give up workers.
    place: usize,
}

/// How many more VMs of a wave may be drained now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct WaveQuota {
    /// The most that the wave allows.
    total: usize,
    /// How many VMs of pools may be drained.
    drains: usize,
    /// How many VMs with long-running tasks may be drained, even if `drains` is less.
    hard_drains: usize,
    /// How many VMs that need no drain may be taken.
    unneeded: usize,
}

impl WaveQuota {
    /// Takes a VM if the quota allows it.
    fn take(&mut self, kind: VmKind) -> bool {
        let quota = match kind {
            VmKind::Unneeded => &mut self.unneeded,
            VmKind::HardToDrain => &mut self.hard_drains,
            VmKind::InUse => &mut self.drains,
        };
        if self.total == 0 || *quota == 0 {
            return false;
        }
        *quota -= 1;
        self.total -= 1;
        if kind == VmKind::HardToDrain {
            self.drains = self.drains.saturating_sub(1);
        }
        true
    }
}

/// What taking a VM for a wave costs; the cheapest kind comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum VmKind {
    /// No pool needs it.
    Unneeded,
    /// It runs long-running tasks. Their moves may have to wait for each other, so they begin early.
    HardToDrain,
    /// It runs other tasks or waits for some.
    InUse,
}
