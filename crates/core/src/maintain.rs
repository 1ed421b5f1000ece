//! When VMs of a pool are stopped for maintenance.
//!
//! Every VM is maintained once per period. VMs are stopped in waves: first a single VM, then twice
//! as many in each wave, up to what the declarations of the pool's services tolerate. If a VM does
//! not come back from maintenance, further waves are paused. A stop must leave the declared normal
//! capacity. It must also leave that capacity if one more rack is lost, unless the remaining
//! availability budget covers such a loss.

use std::collections::HashSet;

use indexmap::IndexMap;

use crate::{RackId, Slots, Span, Timestamp, VmId};

/// Period in which each VM is maintained once.
pub const PERIOD: Span = Span(28 * 86_400_000);

/// Minimum interval between two maintenances of a VM: three quarters of the period, which leaves
/// time to spread the stops and to wait for the end of a pause.
const MIN_INTERVAL: Span = Span(21 * 86_400_000);

/// Time without the normal capacity that the loss of a rack is expected to cost a pool; compared
/// with the remaining availability budget.
const RACK_LOSS_OUTAGE: Span = Span(10 * 60_000);

/// How long waves are paused after a VM did not come back from maintenance or failed soon after.
const FAILURE_PAUSE: Span = Span(60 * 60_000);

/// Limits on stops that satisfy the declarations of all services of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// Maximum number of VMs that may be stopped at once.
    pub max_vms: u32,
    /// Maximum number of racks that may have stopped VMs at once.
    pub max_racks: u32,
    /// Normal capacity of the services together, in slots.
    pub normal: Slots,
    /// Remaining availability budget of the strictest service.
    pub budget_left: Span,
}

/// The state of a VM that a decision depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmView {
    /// The VM's rack.
    pub rack: RackId,
    /// The VM's slots.
    pub slots: Slots,
    /// Whether the VM serves requests now.
    pub serves: bool,
    /// Whether the VM is draining for maintenance or in maintenance.
    pub is_out_of_service: bool,
    /// When the VM was last maintained, in wall-clock time.
    pub maintained: Timestamp,
}

/// Why no VM is stopped now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// No VM is due for maintenance.
    NoVmDue,
    /// VMs of the current wave are still stopped, or one more stop would touch too many racks.
    WaveInProgress,
    /// A stop would leave less than the normal capacity of the pool's services.
    TooLittleCapacity,
    /// After a stop, the loss of one more rack would leave less than the normal capacity, and the
    /// remaining availability budget does not cover that.
    NoReserve,
    /// Waves are paused because a VM did not come back from maintenance or failed soon after.
    RecentFailures,
}

/// What to do with the VMs of a pool now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Stop these VMs for maintenance.
    Start(Vec<VmId>),
    /// Stop no VM.
    Wait(WaitReason),
}

/// The state of a pool's maintenance waves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waves {
    /// Maximum number of VMs in the next wave.
    size: u32,
    /// VMs of the current wave that are still stopped.
    in_progress: HashSet<VmId>,
    paused_until: Option<Timestamp>,
}

impl Default for Waves {
    /// The first wave is a canary: a single VM.
    fn default() -> Self {
        Self { size: 1, in_progress: HashSet::new(), paused_until: None }
    }
}

impl Waves {
    /// Records that a VM is back from maintenance and serves requests. Once all VMs of a wave are
    /// back, the size of the next wave doubles.
    pub fn record_return(&mut self, vm: &VmId) {
        if self.in_progress.remove(vm) && self.in_progress.is_empty() {
            self.size = self.size.saturating_mul(2);
        }
    }

    /// Records that a VM's drain was cancelled and that it serves requests as before.
    pub fn record_cancelled_drain(&mut self, vm: &VmId) {
        self.in_progress.remove(vm);
    }

    /// Records that a VM did not come back from maintenance or failed soon after it.
    pub fn record_failure(&mut self, vm: &VmId, now: Timestamp) {
        self.in_progress.remove(vm);
        self.size = 1;
        self.paused_until = Some(now + FAILURE_PAUSE);
    }

    /// Decides which VMs to stop now.
    pub fn decide(
        &mut self,
        vms: &IndexMap<VmId, VmView>,
        tolerance: &Tolerance,
        now: Timestamp,
    ) -> Decision {
        if self.paused_until.is_some_and(|until| now < until) {
            return Decision::Wait(WaitReason::RecentFailures);
        }
        // After a takeover, the new owner learns of its predecessor's stops from the VMs' records.
        self.in_progress
            .extend(vms.iter().filter(|(_, vm)| vm.is_out_of_service).map(|(id, _)| id.clone()));
        self.in_progress.retain(|id| vms.get(id).is_some_and(|vm| vm.is_out_of_service));
        if !self.in_progress.is_empty() {
            return Decision::Wait(WaitReason::WaveInProgress);
        }
        let mut due: Vec<(&VmId, &VmView)> =
            vms.iter().filter(|(_, vm)| vm.serves && now >= vm.maintained + MIN_INTERVAL).collect();
        if due.is_empty() {
            return Decision::Wait(WaitReason::NoVmDue);
        }
        // VMs are chosen rack by rack, starting with the rack of the VM that was
        // maintained longest ago.
        due.sort_by_key(|(id, vm)| {
            (
                oldest_maintenance_in_rack(vms, &vm.rack),
                vm.rack.clone(),
                vm.maintained,
                (*id).clone(),
            )
        });
        let mut chosen = HashSet::new();
        let mut wait_reason = WaitReason::NoVmDue;
        for (id, _) in due {
            if chosen.len() as u64 >= u64::from(self.size.min(tolerance.max_vms)) {
                break;
            }
            match check_stop(vms, &chosen, id, tolerance) {
                Ok(()) => {
                    chosen.insert(id.clone());
                }
                Err(reason) => wait_reason = reason,
            }
        }
        if chosen.is_empty() {
            return Decision::Wait(wait_reason);
        }
        self.in_progress.clone_from(&chosen);
        let mut chosen: Vec<VmId> = chosen.into_iter().collect();
        chosen.sort();
        Decision::Start(chosen)
    }
}

/// When the VM of a rack that was maintained longest ago was last maintained.
fn oldest_maintenance_in_rack(vms: &IndexMap<VmId, VmView>, rack: &RackId) -> Timestamp {
    let of_rack = vms.values().filter(|vm| vm.rack == *rack);
    of_rack.map(|vm| vm.maintained).min().unwrap_or_default()
}

/// Checks whether a VM may be stopped together with those already chosen.
fn check_stop(
    vms: &IndexMap<VmId, VmView>,
    chosen: &HashSet<VmId>,
    id: &VmId,
    tolerance: &Tolerance,
) -> Result<(), WaitReason> {
    let will_stop = |candidate: &VmId| candidate == id || chosen.contains(candidate);
    let mut racks_touched = HashSet::new();
    let mut remaining_slots: IndexMap<&RackId, u32> = IndexMap::new();
    for (candidate, vm) in vms {
        if will_stop(candidate) {
            racks_touched.insert(&vm.rack);
        } else if vm.serves {
            *remaining_slots.entry(&vm.rack).or_default() += vm.slots.0;
        }
    }
    if racks_touched.len() as u64 > u64::from(tolerance.max_racks) {
        return Err(WaitReason::WaveInProgress);
    }
    let total: u32 = remaining_slots.values().sum();
    if total < tolerance.normal.0 {
        return Err(WaitReason::TooLittleCapacity);
    }
    let largest_rack = remaining_slots.values().copied().max().unwrap_or(0);
    let survives_rack_loss = total - largest_rack >= tolerance.normal.0;
    if survives_rack_loss || tolerance.budget_left >= RACK_LOSS_OUTAGE {
        Ok(())
    } else {
        Err(WaitReason::NoReserve)
    }
}

/// Accumulates the time in which a pool had less than its services' normal capacity.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shortfall {
    total: Span,
    /// Time of the last observation if the capacity was too low then; `total` counts up to it.
    since: Option<Timestamp>,
}

impl Shortfall {
    /// Records whether the pool has its normal capacity now.
    pub fn observe(&mut self, has_normal_capacity: bool, now: Timestamp) {
        match (self.since, has_normal_capacity) {
            (None, false) => self.since = Some(now),
            (Some(since), _) => {
                self.total = Span(self.total.0 + now.since(since).0);
                self.since = (!has_normal_capacity).then_some(now);
            }
            (None, true) => {}
        }
    }

    /// Total time without the normal capacity, up to the last observation.
    #[must_use]
    pub fn total(&self) -> Span {
        self.total
    }
}

#[cfg(test)]
mod tests;
