//! When VMs of a pool are stopped for maintenance.
//!
//! Every VM is maintained once a period. Stops come in waves: first a single VM, then twice as many
//! each time, up to what the declarations of the pool's services tolerate. A wave whose VMs come back
//! bad stops further waves. No stop is started that would leave less than the declared normal
//! capacity, and none while the loss of one more rack would, unless the availability budget that is
//! left covers such a loss.

use std::collections::HashSet;

use indexmap::IndexMap;

use crate::{RackId, Slots, Span, Timestamp, VmId};

/// Each VM is maintained once in this time.
pub const PERIOD: Span = Span(28 * 86_400_000);

/// A VM may be maintained again from three quarters of the period on, so that there is room to
/// spread the stops and to wait out a pause.
const EARLIEST: Span = Span(21 * 86_400_000);

/// How long a pool goes without capacity when a rack is lost, for weighing the budget.
const RACK_LOSS: Span = Span(10 * 60_000);

/// How long waves stay stopped after one that correlated with failures.
const STOPPED: Span = Span(60 * 60_000);

/// What the declarations of a pool's services tolerate together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// VMs that may be out at once.
    pub max_vms: u32,
    /// Racks that may be touched at once.
    pub max_racks: u32,
    /// Slots that the services need on an ordinary day.
    pub normal: Slots,
    /// Availability budget that is left of the strictest service.
    pub budget_left: Span,
}

/// A VM as the decision sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmView {
    /// Its rack.
    pub rack: RackId,
    /// Its slots.
    pub slots: Slots,
    /// Whether it serves requests now.
    pub serves: bool,
    /// Whether it is draining for maintenance or being maintained.
    pub stopped: bool,
    /// When it was last maintained, on the wall clock.
    pub maintained: Timestamp,
}

/// Why no stop is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// No VM is due.
    NothingDue,
    /// Stops of the present wave are under way.
    WaveUnderWay,
    /// The pool would have less than its services' normal capacity.
    NoCapacity,
    /// The loss of one more rack would break a promise that the budget left does not cover.
    NoReserve,
    /// VMs came back bad from the last wave.
    Failures,
}

/// What to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Stop these VMs.
    Start(Vec<VmId>),
    /// Stop none.
    Wait(WaitReason),
}

/// The waves of one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waves {
    /// Stops that the next wave may start.
    size: u32,
    /// VMs of the present wave that are not back.
    out: HashSet<VmId>,
    stopped_until: Option<Timestamp>,
}

impl Default for Waves {
    /// The first wave is a canary: a single VM.
    fn default() -> Self {
        Self { size: 1, out: HashSet::new(), stopped_until: None }
    }
}

impl Waves {
    /// A VM came back and serves.
    pub fn record_return(&mut self, vm: &VmId) {
        if self.out.remove(vm) && self.out.is_empty() {
            self.size = self.size.saturating_mul(2);
        }
    }

    /// A drain was cancelled; the VM serves as before.
    pub fn record_cancelled_drain(&mut self, vm: &VmId) {
        self.out.remove(vm);
    }

    /// A VM did not come back, or failed soon after.
    pub fn record_failure(&mut self, vm: &VmId, now: Timestamp) {
        self.out.remove(vm);
        self.size = 1;
        self.stopped_until = Some(now + STOPPED);
    }

    /// Decides which VMs to stop now.
    pub fn decide(
        &mut self,
        vms: &IndexMap<VmId, VmView>,
        tolerance: &Tolerance,
        now: Timestamp,
    ) -> Decision {
        if self.stopped_until.is_some_and(|until| now < until) {
            return Decision::Wait(WaitReason::Failures);
        }
        // A new keeper learns of its predecessor's stops from the VMs' records.
        self.out.extend(vms.iter().filter(|(_, vm)| vm.stopped).map(|(id, _)| id.clone()));
        self.out.retain(|id| vms.get(id).is_some_and(|vm| vm.stopped));
        if !self.out.is_empty() {
            return Decision::Wait(WaitReason::WaveUnderWay);
        }
        let mut due: Vec<(&VmId, &VmView)> =
            vms.iter().filter(|(_, vm)| vm.serves && now >= vm.maintained + EARLIEST).collect();
        if due.is_empty() {
            return Decision::Wait(WaitReason::NothingDue);
        }
        // VMs of one rack go together, the rack that waits longest first.
        due.sort_by_key(|(id, vm)| {
            (oldest_of_rack(vms, &vm.rack), vm.rack.clone(), vm.maintained, (*id).clone())
        });
        let mut chosen = HashSet::new();
        let mut refusal = WaitReason::NothingDue;
        for (id, _) in due {
            if chosen.len() as u64 >= u64::from(self.size.min(tolerance.max_vms)) {
                break;
            }
            match may_stop(vms, &chosen, id, tolerance) {
                Ok(()) => {
                    chosen.insert(id.clone());
                }
                Err(reason) => refusal = reason,
            }
        }
        if chosen.is_empty() {
            return Decision::Wait(refusal);
        }
        self.out.clone_from(&chosen);
        let mut chosen: Vec<VmId> = chosen.into_iter().collect();
        chosen.sort();
        Decision::Start(chosen)
    }
}

fn oldest_of_rack(vms: &IndexMap<VmId, VmView>, rack: &RackId) -> Timestamp {
    let of_rack = vms.values().filter(|vm| vm.rack == *rack);
    of_rack.map(|vm| vm.maintained).min().unwrap_or_default()
}

/// Whether a VM may be stopped besides those already chosen.
fn may_stop(
    vms: &IndexMap<VmId, VmView>,
    chosen: &HashSet<VmId>,
    id: &VmId,
    tolerance: &Tolerance,
) -> Result<(), WaitReason> {
    let stops = |candidate: &VmId| candidate == id || chosen.contains(candidate);
    let mut racks_touched = HashSet::new();
    let mut left: IndexMap<&RackId, u32> = IndexMap::new();
    for (candidate, vm) in vms {
        if stops(candidate) {
            racks_touched.insert(&vm.rack);
        } else if vm.serves {
            *left.entry(&vm.rack).or_default() += vm.slots.0;
        }
    }
    if racks_touched.len() as u64 > u64::from(tolerance.max_racks) {
        return Err(WaitReason::WaveUnderWay);
    }
    let total: u32 = left.values().sum();
    if total < tolerance.normal.0 {
        return Err(WaitReason::NoCapacity);
    }
    let largest_rack = left.values().copied().max().unwrap_or(0);
    let survives = total - largest_rack >= tolerance.normal.0;
    if survives || tolerance.budget_left >= RACK_LOSS { Ok(()) } else { Err(WaitReason::NoReserve) }
}

/// Counts how long a pool had less than its services' normal capacity.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shortfall {
    /// Time without the normal capacity so far.
    total: Span,
    since: Option<Timestamp>,
}

impl Shortfall {
    /// Notes whether the normal capacity is there now.
    pub fn observe(&mut self, enough: bool, now: Timestamp) {
        match (self.since, enough) {
            (None, false) => self.since = Some(now),
            (Some(since), _) => {
                self.total = Span(self.total.0 + now.since(since).0);
                self.since = (!enough).then_some(now);
            }
            (None, true) => {}
        }
    }

    /// Time without the normal capacity so far.
    #[must_use]
    pub fn total(&self) -> Span {
        self.total
    }
}

#[cfg(test)]
mod tests;
