//! Shares the slots of a pool's VMs among all nodes without exceeding them.
//!
//! One node at a time owns a pool and its [`SlotLedger`]. One continuous ownership is a term, and
//! its epoch is the fencing token. Every node that sends requests to the pool is a holder and
//! exchanges one message with the owner about twice a second. The holder counts the duration of a
//! grant from the moment it *sent* its message, whereas the owner counts from the moment it
//! *received* the message, so that a grant always expires at the holder first. A slot that a silent
//! holder may still occupy is granted to no other holder until both the grant and the longest
//! request that could have started under it have ended.
//!
//! A new owner does not know what its predecessor granted. It lets every holder keep the grants
//! that the holder reports, and grants nothing new until all earlier grants must have expired, or
//! until every holder that the predecessor named has reported.
//!
//! Slots are assigned by weighted rendezvous hashing, with weights that follow demand. A change in
//! one holder's weight moves only slots to or from that holder, and with many more nodes than slots
//! each node gets a stable subset of the VMs without any further mechanism.

pub mod exchange;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Epoch, Incarnation, NodeId, Slots, Span, Timestamp, VmId, ZoneId};

/// A holder of slots: a node and its incarnation.
pub type HolderId = (NodeId, Incarnation);

/// The time limits of grants in one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long a grant is valid at its holder.
    pub ttl: Span,
    /// The longest time that a request started under a grant can run.
    pub max_request_duration: Span,
}

impl Config {
    /// The owner of the pool extends a grant by the TTL divided by this number, because its clock
    /// and the holder's may run at slightly different rates.
    const DRIFT_DIVISOR: u64 = 8;

    /// When a grant made at `now`, and the last request under it, must have ended, on the owner's
    /// clock.
    #[must_use]
    pub fn expiry(self, now: Timestamp) -> Timestamp {
        now + self.max_grant_duration()
    }

    /// The longest time that a grant and the requests under it can last, on the owner's clock.
    #[must_use]
    pub fn max_grant_duration(self) -> Span {
        let drift = self.ttl.0 / Self::DRIFT_DIVISOR + 1;
        Span(self.ttl.0 + drift + self.max_request_duration.0)
    }
}

/// A VM whose slots are shared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// The number of slots of the VM.
    pub slots: Slots,
    /// The availability zone of the VM.
    pub zone: ZoneId,
}

/// A holder's report to the owner of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Slots that the holder could use now; see [`round_up_demand`].
    pub demand: u32,
    /// The most slots that the holder may occupy on each VM until the next reply of the owner: the
    /// greater of the slots granted and the slots in use. It is zero for a VM that is not listed.
    pub ceilings: Vec<(VmId, u32)>,
}

/// Rounds a demand up to a power of two, so that small changes need not be reported.
#[must_use]
pub fn round_up_demand(demand: u32) -> u32 {
    if demand == 0 { 0 } else { demand.next_power_of_two() }
}

#[derive(Clone, Debug)]
struct Holder {
    zone: ZoneId,
    demand: u32,
    /// When the holder's last grants, and the requests under them, must have ended.
    expiry: Timestamp,
    /// The reported ceilings, raised by the grants since that report.
    ceilings: IndexMap<VmId, u32>,
    /// The grants in the last reply that listed them.
    granted: IndexMap<VmId, u32>,
}

/// A period at the start of a term in which holders keep their grants and nothing new is granted.
#[derive(Clone, Debug)]
struct Quarantine {
    /// When the grants of earlier terms, and the requests under them, must have ended.
    until: Timestamp,
    /// Holders of earlier terms that have not reported yet; the quarantine ends early when all
    /// have. `None` if those holders are not known.
    unreported: Option<IndexSet<HolderId>>,
}

/// The ledger of one pool's slots during one term.
#[derive(Clone, Debug)]
pub struct SlotLedger {
    epoch: Epoch,
    cfg: Config,
    vms: IndexMap<VmId, Vm>,
    holders: IndexMap<HolderId, Holder>,
    /// The slots that each holder is to be granted on each VM.
    targets: IndexMap<HolderId, IndexMap<VmId, u32>>,
    targets_are_stale: bool,
    quarantine: Option<Quarantine>,
}

/// What a new owner of a pool knows of the grants of earlier terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// The pool never had an owner.
    None,
    /// The previous owner handed over and named its holders.
    HandedOver {
        /// The holders that may have grants.
        holders: Vec<HolderId>,
        /// When the last of its grants, and the requests under it, must have ended.
        until: Timestamp,
    },
    /// The previous owner's term ended without a handover.
    Lost {
        /// When the last of its grants, and the requests under it, must have ended.
        until: Timestamp,
    },
}

impl SlotLedger {
    /// Starts a term with an empty ledger.
    #[must_use]
    pub fn new(epoch: Epoch, cfg: Config, predecessor: Predecessor) -> Self {
        let quarantine = match predecessor {
            Predecessor::None => None,
            Predecessor::HandedOver { holders, .. } if holders.is_empty() => None,
            Predecessor::HandedOver { holders, until } => {
                Some(Quarantine { until, unreported: Some(holders.into_iter().collect()) })
            }
            Predecessor::Lost { until } => Some(Quarantine { until, unreported: None }),
        };
        Self {
            epoch,
            cfg,
            vms: IndexMap::new(),
            holders: IndexMap::new(),
            targets: IndexMap::new(),
            targets_are_stale: false,
            quarantine,
        }
    }

    /// The fencing token of the term.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Changes the time limits of future grants. The owner must tell its successor of limits at
    /// least as long, because the successor waits only that long.
    pub fn set_config(&mut self, cfg: Config) {
        self.cfg = cfg;
    }

    /// How long a grant is valid at its holder.
    #[must_use]
    pub fn ttl(&self) -> Span {
        self.cfg.ttl
    }

    /// Whether grants of earlier terms that this ledger does not contain may still be valid.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.quarantine.is_some()
    }

    /// Whether `vm` is no longer shared and no holder can occupy a slot of it.
    #[must_use]
    pub fn is_drained(&self, vm: &VmId) -> bool {
        let holds_slots = |holder: &Holder| holder.ceilings.get(vm).is_some_and(|&slots| slots > 0);
        !self.is_uncertain()
            && !self.vms.contains_key(vm)
            && !self.holders.values().any(holds_slots)
    }

    /// The holders that may have grants, to be named to a successor.
    #[must_use]
    pub fn holders(&self) -> Vec<HolderId> {
        self.holders.keys().cloned().collect()
    }

    /// Replaces the VMs whose slots are shared.
    pub fn set_vms(&mut self, vms: IndexMap<VmId, Vm>) {
        if self.vms != vms {
            self.vms = vms;
            self.targets_are_stale = true;
        }
    }

    /// Applies a holder's report and renews its grants.
    ///
    /// `report` is `None` if nothing changed since the last one. Returns the complete set of the
    /// holder's grants, or `None` if there was no report and the grants did not change.
    ///
    /// # Errors
    ///
    /// [`UnknownHolder`] if `report` is `None` and the holder's grants have expired or it never
    /// reported; the owner then needs a report.
    pub fn exchange(
        &mut self,
        id: &HolderId,
        zone: &ZoneId,
        report: Option<&Report>,
        now: Timestamp,
    ) -> Result<Option<Vec<(VmId, Slots)>>, UnknownHolder> {
        self.expire(now);
        match report {
            Some(report) => self.apply_report(id, zone, report),
            None if self.holders.contains_key(id) => {}
            None => return Err(UnknownHolder),
        }
        self.refresh_targets();
        let grants = self.grants_for(id);
        let expiry = self.cfg.expiry(now);
        let holder = self.holders.get_mut(id).ok_or(UnknownHolder)?;
        holder.expiry = expiry;
        for (vm, &slots) in &grants {
            let ceiling = holder.ceilings.entry(vm.clone()).or_default();
            *ceiling = slots.max(*ceiling);
        }
        if report.is_none() && holder.granted == grants {
            return Ok(None);
        }
        holder.granted.clone_from(&grants);
        Ok(Some(grants.into_iter().map(|(vm, slots)| (vm, Slots(slots))).collect()))
    }

    /// Removes holders whose grants have expired, and ends the quarantine when its time has passed.
    fn expire(&mut self, now: Timestamp) {
        let count_before = self.holders.len();
        self.holders.retain(|_, holder| now < holder.expiry);
        self.targets_are_stale |= self.holders.len() != count_before;
        if self.quarantine.as_ref().is_some_and(|quarantine| quarantine.until <= now) {
            self.quarantine = None;
        }
    }

    fn apply_report(&mut self, id: &HolderId, zone: &ZoneId, report: &Report) {
        let new_holder = || Holder {
            zone: zone.clone(),
            demand: 0,
            expiry: Timestamp(0),
            ceilings: IndexMap::new(),
            granted: IndexMap::new(),
        };
        let known = self.holders.contains_key(id);
        let holder = self.holders.entry(id.clone()).or_insert_with(new_holder);
        self.targets_are_stale |= !known || holder.demand != report.demand;
        holder.demand = report.demand;
        holder.ceilings = report.ceilings.iter().cloned().collect();
        let Some(quarantine) = &mut self.quarantine else {
            return;
        };
        if let Some(unreported) = &mut quarantine.unreported {
            unreported.swap_remove(id);
            if unreported.is_empty() {
                self.quarantine = None;
            }
        }
    }

    /// The grants of a holder: its targets, limited by the free slots or, during a quarantine, by
    /// its own ceilings.
    fn grants_for(&self, id: &HolderId) -> IndexMap<VmId, u32> {
        let mut grants = IndexMap::new();
        let Some(targets) = self.targets.get(id) else {
            return grants;
        };
        for (vm, &target) in targets {
            let own = self.ceiling(id, vm);
            let available = if self.quarantine.is_some() { own } else { self.free_slots(id, vm) };
            let slots = target.min(available);
            if slots > 0 {
                grants.insert(vm.clone(), slots);
            }
        }
        grants
    }

    fn ceiling(&self, id: &HolderId, vm: &VmId) -> u32 {
        self.holders.get(id).and_then(|holder| holder.ceilings.get(vm)).copied().unwrap_or(0)
    }

    /// The slots of a VM that no other holder can occupy.
    fn free_slots(&self, id: &HolderId, vm: &VmId) -> u32 {
        let slots = self.vms.get(vm).map_or(0, |vm| vm.slots.0);
        let others = self.holders.iter().filter(|(other, _)| *other != id);
        let occupied: u32 = others.filter_map(|(_, holder)| holder.ceilings.get(vm)).sum();
        slots.saturating_sub(occupied)
    }

    /// Recomputes the targets if the VMs, the holders or their demands changed.
    fn refresh_targets(&mut self) {
        if !std::mem::take(&mut self.targets_are_stale) {
            return;
        }
        self.targets.clear();
        let weights = self.weights();
        let total_weight: f64 = weights.values().sum();
        let slots: u32 = self.vms.values().map(|vm| vm.slots.0).sum();
        let limit = |id: &HolderId| slot_limit(f64::from(slots) * weights[id] / total_weight);
        let mut assigned: IndexMap<HolderId, f64> = IndexMap::new();
        for (vm, info) in &self.vms {
            for slot in 0..info.slots.0 {
                let is_below_limit =
                    |id: &HolderId| assigned.get(id).is_none_or(|&has| has < limit(id));
                let Some(id) =
                    self.highest_scoring_holder(vm, info, slot, &weights, is_below_limit).cloned()
                else {
                    continue;
                };
                *assigned.entry(id.clone()).or_default() += 1.0;
                let targets = self.targets.entry(id).or_default();
                *targets.entry(vm.clone()).or_default() += 1;
            }
        }
    }

    /// The weight of each holder, to which its share of the slots is proportional.
    ///
    /// Every holder has the same base weight, so that one that was idle a moment ago can serve a
    /// burst before its next exchange. Demand adds at most twice the base weight: beyond that every
    /// holder is overloaded, and differences in demand don't show which one needs slots more.
    fn weights(&self) -> IndexMap<HolderId, f64> {
        let slots: u32 = self.vms.values().map(|vm| vm.slots.0).sum();
        #[expect(clippy::cast_precision_loss, reason = "a count of holders")]
        let holders = self.holders.len().max(1) as f64;
        let base = (f64::from(slots) / holders).max(1.0);
        let weight = |holder: &Holder| base + f64::from(holder.demand).min(2.0 * base);
        self.holders.iter().map(|(id, holder)| (id.clone(), weight(holder))).collect()
    }

    /// The holder below its limit that has the highest score for a slot.
    fn highest_scoring_holder(
        &self,
        vm: &VmId,
        info: &Vm,
        slot: u32,
        weights: &IndexMap<HolderId, f64>,
        is_below_limit: impl Fn(&HolderId) -> bool,
    ) -> Option<&HolderId> {
        let score = |id: &HolderId, holder: &Holder| {
            let zone_factor = if holder.zone == info.zone { LOCAL_ZONE_FACTOR } else { 1.0 };
            weighted_score(&id.0, vm, slot, weights[id] * zone_factor)
        };
        let eligible = self.holders.iter().filter(|(id, _)| is_below_limit(id));
        let scored = eligible.map(|(id, holder)| (id, score(id, holder)));
        scored.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(id, _)| id)
    }
}

/// The most slots that a holder with this share, in slots, may be assigned.
///
/// With few holders, and thus large shares, random variation of the hash could leave a holder with
/// half of its share. A share below four slots has no limit: a limit would move slots between
/// holders that a change does not concern, and a stable subset of VMs matters more.
fn slot_limit(share: f64) -> f64 {
    const MIN_LIMITED_SHARE: f64 = 4.0;
    if share < MIN_LIMITED_SHARE { f64::INFINITY } else { share.floor() + 1.0 }
}

/// Factor on the weight of a holder for slots in its own availability zone.
const LOCAL_ZONE_FACTOR: f64 = 2.0;

/// The score of a node for a slot, by the logarithm method of weighted rendezvous hashing.
fn weighted_score(node: &NodeId, vm: &VmId, slot: u32, weight: f64) -> f64 {
    let mut key = Vec::with_capacity(node.as_str().len() + vm.as_str().len() + 5);
    key.extend_from_slice(node.as_str().as_bytes());
    key.push(0);
    key.extend_from_slice(vm.as_str().as_bytes());
    key.extend_from_slice(&slot.to_le_bytes());
    #[expect(clippy::cast_precision_loss, reason = "53 bits are precise enough for a score")]
    let uniform = ((xxh3_64(&key) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / uniform.ln()
}

/// The error for a renewal without a report by a holder that the ledger does not contain, because
/// it never reported or its grants have expired. The holder must send a report of its demand and
/// ceilings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the pool's owner has no report of this holder; send one")]
pub struct UnknownHolder;

/// The grants of a node in one pool.
#[derive(Clone, Debug, Default)]
pub struct HeldSlots {
    epoch: Epoch,
    /// When the grants expire; requests that were started before may still run.
    deadline: Timestamp,
    grants: IndexMap<VmId, Slots>,
}

impl HeldSlots {
    /// Sets the term whose replies are accepted from now on.
    ///
    /// Call this before sending a report to a new owner: a late reply of the old owner must not
    /// raise the grants above the reported ones. Existing grants stay valid until their deadline.
    pub fn set_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
    }

    /// Applies an owner's reply to the message sent at `sent`; false if it is from another term.
    ///
    /// `grants` is `None` if the grants did not change.
    pub fn renew(
        &mut self,
        epoch: Epoch,
        grants: Option<Vec<(VmId, Slots)>>,
        sent: Timestamp,
        ttl: Span,
    ) -> bool {
        if epoch != self.epoch {
            return false;
        }
        if let Some(grants) = grants {
            self.grants = grants.into_iter().collect();
        }
        self.deadline = sent + ttl;
        true
    }

    /// Drops the grants if they have expired; true if there were any.
    ///
    /// Call this before making a report: the owner may have granted the slots to other holders,
    /// and a new owner would trust a report that still claims them.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        if now < self.deadline || self.grants.is_empty() {
            return false;
        }
        self.grants.clear();
        true
    }

    /// When the grants expire. Requests that were started under them may run longer.
    #[must_use]
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// The term whose replies are accepted.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The slots granted on a VM, whether or not the grants have expired.
    #[must_use]
    pub fn slots(&self, vm: &VmId) -> Slots {
        self.grants.get(vm).copied().unwrap_or_default()
    }

    /// The VMs on which slots are granted.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.grants.keys()
    }
}

#[cfg(test)]
mod tests;
