//! How the slots of a pool's VMs are shared by all nodes without being exceeded.
//!
//! One node keeps the ledger of a pool: the [`Keeper`]. Every node that sends requests to the pool
//! is a holder and exchanges one message with the keeper about twice a second. A grant lasts until
//! a deadline that the holder counts from the moment it *sent* its message, while the keeper counts
//! from the moment it *received* it, so that the holder always stops first. A slot that a silent
//! holder may still occupy is lent to nobody until the grant and the longest request that could
//! have started under it have both ended.
//!
//! A new keeper does not know what its predecessor granted. It lets every holder go on with what
//! the holder reports, and lends nothing new until all earlier grants must have ended, or until
//! each holder that the predecessor named has reported.
//!
//! Shares follow demand by weighted rendezvous hashing per slot: a change in one holder's weight
//! moves only slots to or from that holder, and with many more nodes than slots each node gets a
//! stable subset of the VMs with no further mechanism.

pub mod exchange;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Epoch, Incarnation, NodeId, Slots, Span, Timestamp, VmId, ZoneId};

/// One incarnation of a node that holds slots.
pub type HolderId = (NodeId, Incarnation);

/// The time limits of grants in one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long a grant lasts for its holder.
    pub ttl: Span,
    /// The longest that a request started under a grant can run.
    pub longest_request: Span,
}

impl Config {
    /// The keeper's share of caution for clocks that run at slightly different rates.
    const DRIFT_DIVISOR: u64 = 8;

    /// When the last request under a grant made at `now` has ended, as the keeper reckons.
    #[must_use]
    pub fn expiry(self, now: Timestamp) -> Timestamp {
        now + self.longest_grant()
    }

    /// The longest that a grant and the requests under it can last, as the keeper reckons.
    #[must_use]
    pub fn longest_grant(self) -> Span {
        let drift = self.ttl.0 / Self::DRIFT_DIVISOR + 1;
        Span(self.ttl.0 + drift + self.longest_request.0)
    }
}

/// A VM whose slots are shared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Slots that the VM has.
    pub slots: Slots,
    /// Where the VM is.
    pub zone: ZoneId,
}

/// What a holder tells its keeper.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Slots that the holder could use now; see [`round_up_demand`].
    pub demand: u32,
    /// The most slots the holder may occupy on each VM until it hears from the keeper: the greater
    /// of its limit and what is in use. VMs that are left out have none.
    pub ceilings: Vec<(VmId, u32)>,
}

/// Rounds a demand up to a power of two, so that small changes cost no message.
#[must_use]
pub fn round_up_demand(demand: u32) -> u32 {
    if demand == 0 { 0 } else { demand.next_power_of_two() }
}

#[derive(Clone, Debug)]
struct Holder {
    zone: ZoneId,
    demand: u32,
    expiry: Timestamp,
    ceilings: IndexMap<VmId, u32>,
    granted: IndexMap<VmId, u32>,
}

/// While it stands, holders keep what they have and nothing new is lent.
#[derive(Clone, Debug)]
struct Quarantine {
    until: Timestamp,
    /// Holders whose reports would end it early; `None` when they are not known.
    missing: Option<IndexSet<HolderId>>,
}

/// The ledger of one pool's slots, for one term of ownership.
#[derive(Clone, Debug)]
pub struct Keeper {
    epoch: Epoch,
    cfg: Config,
    vms: IndexMap<VmId, Vm>,
    holders: IndexMap<HolderId, Holder>,
    targets: IndexMap<HolderId, IndexMap<VmId, u32>>,
    stale_targets: bool,
    quarantine: Option<Quarantine>,
}

/// What a keeper knows of grants made before its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// The pool never had a keeper.
    None,
    /// A keeper ended in order and named its holders.
    HandedOver {
        /// Those who may hold slots.
        holders: Vec<HolderId>,
        /// When the last of its grants ends.
        until: Timestamp,
    },
    /// A keeper ended without a word.
    Lost {
        /// When the last of its grants ends.
        until: Timestamp,
    },
}

impl Keeper {
    /// Starts a term.
    #[must_use]
    pub fn new(epoch: Epoch, cfg: Config, predecessor: Predecessor) -> Self {
        let quarantine = match predecessor {
            Predecessor::None => None,
            Predecessor::HandedOver { holders, .. } if holders.is_empty() => None,
            Predecessor::HandedOver { holders, until } => {
                Some(Quarantine { until, missing: Some(holders.into_iter().collect()) })
            }
            Predecessor::Lost { until } => Some(Quarantine { until, missing: None }),
        };
        Self {
            epoch,
            cfg,
            vms: IndexMap::new(),
            holders: IndexMap::new(),
            targets: IndexMap::new(),
            stale_targets: false,
            quarantine,
        }
    }

    /// The term's fencing token.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Changes the limits of grants made from now on; they must not exceed those that a successor
    /// is told of.
    pub fn set_config(&mut self, cfg: Config) {
        self.cfg = cfg;
    }

    /// How long a grant lasts for its holder.
    #[must_use]
    pub fn ttl(&self) -> Span {
        self.cfg.ttl
    }

    /// Whether grants of earlier terms may stand that this ledger does not show.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.quarantine.is_some()
    }

    /// Whether nobody can occupy a slot of a VM that is not lent any more.
    #[must_use]
    pub fn is_drained(&self, vm: &VmId) -> bool {
        let held = |holder: &Holder| holder.ceilings.get(vm).is_some_and(|&slots| slots > 0);
        !self.is_uncertain() && !self.vms.contains_key(vm) && !self.holders.values().any(held)
    }

    /// Those who may hold slots, for a successor.
    #[must_use]
    pub fn holders(&self) -> Vec<HolderId> {
        self.holders.keys().cloned().collect()
    }

    /// Replaces the VMs whose slots are shared.
    pub fn set_vms(&mut self, vms: IndexMap<VmId, Vm>) {
        if self.vms != vms {
            self.vms = vms;
            self.stale_targets = true;
        }
    }

    /// Takes in a holder's report and renews its grants.
    ///
    /// `report` is `None` where nothing changed since the last one. The answer is the holder's whole
    /// set of grants, or `None` where it equals the last answer. `Err` means that the keeper does
    /// not know the holder and needs a report.
    ///
    /// # Errors
    ///
    /// [`UnknownHolder`] for a renewal without report by a holder whose grants have expired or that
    /// never reported.
    pub fn exchange(
        &mut self,
        id: &HolderId,
        zone: &ZoneId,
        report: Option<&Report>,
        now: Timestamp,
    ) -> Result<Option<Vec<(VmId, Slots)>>, UnknownHolder> {
        self.expire(now);
        match report {
            Some(report) => self.take_report(id, zone, report),
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

    fn expire(&mut self, now: Timestamp) {
        let before = self.holders.len();
        self.holders.retain(|_, holder| now < holder.expiry);
        self.stale_targets |= self.holders.len() != before;
        if self.quarantine.as_ref().is_some_and(|quarantine| quarantine.until <= now) {
            self.quarantine = None;
        }
    }

    fn take_report(&mut self, id: &HolderId, zone: &ZoneId, report: &Report) {
        let new = || Holder {
            zone: zone.clone(),
            demand: 0,
            expiry: Timestamp(0),
            ceilings: IndexMap::new(),
            granted: IndexMap::new(),
        };
        let known = self.holders.contains_key(id);
        let holder = self.holders.entry(id.clone()).or_insert_with(new);
        self.stale_targets |= !known || holder.demand != report.demand;
        holder.demand = report.demand;
        holder.ceilings = report.ceilings.iter().cloned().collect();
        let Some(quarantine) = &mut self.quarantine else {
            return;
        };
        if let Some(missing) = &mut quarantine.missing {
            missing.swap_remove(id);
            if missing.is_empty() {
                self.quarantine = None;
            }
        }
    }

    fn grants_for(&self, id: &HolderId) -> IndexMap<VmId, u32> {
        let mut grants = IndexMap::new();
        let Some(targets) = self.targets.get(id) else {
            return grants;
        };
        for (vm, &target) in targets {
            let own = self.ceiling(id, vm);
            let room = if self.quarantine.is_some() { own } else { self.room(id, vm) };
            let slots = target.min(room);
            if slots > 0 {
                grants.insert(vm.clone(), slots);
            }
        }
        grants
    }

    fn ceiling(&self, id: &HolderId, vm: &VmId) -> u32 {
        self.holders.get(id).and_then(|holder| holder.ceilings.get(vm)).copied().unwrap_or(0)
    }

    /// Slots of a VM that no other holder can occupy.
    fn room(&self, id: &HolderId, vm: &VmId) -> u32 {
        let slots = self.vms.get(vm).map_or(0, |vm| vm.slots.0);
        let others = self.holders.iter().filter(|(other, _)| *other != id);
        let taken: u32 = others.filter_map(|(_, holder)| holder.ceilings.get(vm)).sum();
        slots.saturating_sub(taken)
    }

    fn refresh_targets(&mut self) {
        if !std::mem::take(&mut self.stale_targets) {
            return;
        }
        self.targets.clear();
        let weights = self.weights();
        let sum: f64 = weights.values().sum();
        let slots: u32 = self.vms.values().map(|vm| vm.slots.0).sum();
        let most = |id: &HolderId| most_slots(f64::from(slots) * weights[id] / sum);
        let mut given: IndexMap<HolderId, f64> = IndexMap::new();
        for (vm, info) in &self.vms {
            for slot in 0..info.slots.0 {
                let has_room = |id: &HolderId| given.get(id).is_none_or(|&has| has < most(id));
                let Some(id) = self.winner(vm, info, slot, &weights, has_room).cloned() else {
                    continue;
                };
                *given.entry(id.clone()).or_default() += 1.0;
                let targets = self.targets.entry(id).or_default();
                *targets.entry(vm.clone()).or_default() += 1;
            }
        }
    }

    /// What each holder's share is in proportion to.
    ///
    /// Each has an equal share by right, so that one that was idle a moment ago can take a burst
    /// before the next exchange. Demand counts up to twice that share: beyond it everybody is
    /// flooded, and differences say nothing about who needs slots more.
    fn weights(&self) -> IndexMap<HolderId, f64> {
        let slots: u32 = self.vms.values().map(|vm| vm.slots.0).sum();
        #[expect(clippy::cast_precision_loss, reason = "a count of holders")]
        let holders = self.holders.len().max(1) as f64;
        let base = (f64::from(slots) / holders).max(1.0);
        let weight = |holder: &Holder| base + f64::from(holder.demand).min(2.0 * base);
        self.holders.iter().map(|(id, holder)| (id.clone(), weight(holder))).collect()
    }

    fn winner(
        &self,
        vm: &VmId,
        info: &Vm,
        slot: u32,
        weights: &IndexMap<HolderId, f64>,
        has_room: impl Fn(&HolderId) -> bool,
    ) -> Option<&HolderId> {
        let score = |id: &HolderId, holder: &Holder| {
            let affinity = if holder.zone == info.zone { LOCAL_ZONE_WEIGHT } else { 1.0 };
            weighted_score(&id.0, vm, slot, weights[id] * affinity)
        };
        let able = self.holders.iter().filter(|(id, _)| has_room(id));
        let scored = able.map(|(id, holder)| (id, score(id, holder)));
        scored.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(id, _)| id)
    }
}

/// The most slots for a holder whose share is this.
///
/// Among few holders chance alone would leave one with half of what it should have. Among many, a
/// bound would move slots between those whom a change does not concern, and a stable subset of VMs
/// counts for more.
fn most_slots(share: f64) -> f64 {
    const LEAST_BOUNDED: f64 = 4.0;
    if share < LEAST_BOUNDED { f64::INFINITY } else { share.floor() + 1.0 }
}

/// How much likelier a holder gets a slot in its own availability zone than elsewhere.
const LOCAL_ZONE_WEIGHT: f64 = 2.0;

/// The logarithm method of weighted rendezvous hashing.
fn weighted_score(node: &NodeId, vm: &VmId, slot: u32, weight: f64) -> f64 {
    let mut key = Vec::with_capacity(node.as_str().len() + vm.as_str().len() + 5);
    key.extend_from_slice(node.as_str().as_bytes());
    key.push(0);
    key.extend_from_slice(vm.as_str().as_bytes());
    key.extend_from_slice(&slot.to_le_bytes());
    #[expect(clippy::cast_precision_loss, reason = "53 bits decide a tie well enough")]
    let uniform = ((xxh3_64(&key) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / uniform.ln()
}

/// A renewal by a holder that the keeper has no report of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the keeper has no report of this holder; send one")]
pub struct UnknownHolder;

/// The grants that a node holds in one pool.
#[derive(Clone, Debug, Default)]
pub struct HeldSlots {
    epoch: Epoch,
    deadline: Timestamp,
    grants: IndexMap<VmId, Slots>,
}

impl HeldSlots {
    /// From now on only answers of this term count.
    ///
    /// Call it before a report goes to a new keeper: what the old one may still answer must not
    /// raise what was reported. What is held stays held until its deadline.
    pub fn set_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
    }

    /// Takes in a keeper's answer to the message sent at `sent`; false if the term is another.
    ///
    /// `grants` is `None` where the keeper's answer did not change.
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

    /// Gives up grants that have ended; true if there were any.
    ///
    /// Call it before a report: the keeper lent the slots to others in good faith, and a new keeper
    /// would believe a holder that still claims them.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        if now < self.deadline || self.grants.is_empty() {
            return false;
        }
        self.grants.clear();
        true
    }

    /// When the grants end.
    #[must_use]
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// The term the grants belong to.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Slots held on a VM, whatever the time.
    #[must_use]
    pub fn slots(&self, vm: &VmId) -> Slots {
        self.grants.get(vm).copied().unwrap_or_default()
    }

    /// All VMs on which slots are held.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.grants.keys()
    }
}

#[cfg(test)]
mod tests;
