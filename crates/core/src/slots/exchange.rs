//! The message exchange between a holder of slots and an owner, a node that owns several pools.
//!
//! One message of the holder and one reply renew the grants of all these pools at once. They carry
//! only changes, so their cost depends on the changes in demand and not on the number of VMs. Each
//! side remembers what the other one knows. If a message or a reply is lost, or a pool gets another
//! owner, the sequence numbers or the fingerprints no longer match: the holder renews nothing
//! then, and its next message is a full report, which contains every pool.
//!
//! The owner has one [`SlotLedger`] for each of its pools.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::{HeldSlots, HolderId, Report, SlotLedger};
use crate::{Epoch, PoolId, Slots, Span, Timestamp, VmId, ZoneId};

/// A holder's message to an owner, which asks to renew its grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The holder that sends the message.
    pub holder: HolderId,
    /// The availability zone of the holder.
    pub zone: ZoneId,
    /// The number of the message; it grows with each message of the holder.
    pub sequence: u64,
    /// The last message whose reply the holder applied; zero if this message is a full report.
    pub acknowledged: u64,
    /// A hash of the pools, with their epochs, that the receiver owns in the holder's view.
    pub fingerprint: u64,
    /// Reports of the pools in which something changed.
    pub reports: Vec<(PoolId, Epoch, Report)>,
}

/// The slots that a holder is granted on each VM.
pub type Grants = Vec<(VmId, Slots)>;

/// The owner's reply to a holder's message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Whether the holder must send a full report; it renews nothing then.
    pub resync: bool,
    /// How long the grants are valid after the holder sent its message.
    pub ttl: Span,
    /// The complete sets of grants in the pools in which they changed.
    pub pools: Vec<(PoolId, Epoch, Grants)>,
}

/// A hash of pools and their epochs that does not depend on their order.
fn fingerprint<'a>(pools: impl Iterator<Item = (&'a PoolId, Epoch)>) -> u64 {
    let one = |(pool, epoch): (&PoolId, Epoch)| xxh3_64(format!("{pool}\0{epoch}").as_bytes());
    pools.map(one).fold(0, u64::wrapping_add)
}

/// What an owner remembers of one holder.
#[derive(Clone, Debug, Default)]
struct Session {
    /// The number of the holder's last message.
    sequence: u64,
    /// Pools that the holder reported in this session, with their epochs.
    pools: IndexMap<PoolId, Epoch>,
}

/// What an owner remembers of the holders.
#[derive(Clone, Debug, Default)]
pub struct OwnerSessions {
    sessions: HashMap<HolderId, Session>,
}

impl OwnerSessions {
    /// Handles a message about the pools in `ledgers`; `None` if it arrived out of order.
    pub fn handle(
        &mut self,
        req: &Request,
        ledgers: &mut IndexMap<PoolId, SlotLedger>,
        now: Timestamp,
    ) -> Option<Reply> {
        let session = self.sessions.entry(req.holder.clone()).or_default();
        if req.sequence <= session.sequence {
            return None;
        }
        let in_sync = req.acknowledged == session.sequence && req.acknowledged != 0;
        session.sequence = req.sequence;
        if !in_sync {
            session.pools.clear();
        }
        for (pool, epoch, _) in &req.reports {
            session.pools.insert(pool.clone(), *epoch);
        }
        session
            .pools
            .retain(|pool, epoch| ledgers.get(pool).is_some_and(|ledger| ledger.epoch() == *epoch));
        let expected = fingerprint(session.pools.iter().map(|(pool, epoch)| (pool, *epoch)));
        // A full report acknowledges zero, and its fingerprint covers exactly the pools that it
        // contains.
        let is_full_report = req.acknowledged == 0;
        if !(in_sync || is_full_report) || expected != req.fingerprint {
            session.pools.clear();
            return Some(Reply { resync: true, ttl: Span(0), pools: Vec::new() });
        }
        let reports: HashMap<&PoolId, &Report> =
            req.reports.iter().map(|(pool, _, report)| (pool, report)).collect();
        let mut pools = Vec::new();
        let mut ttl = Span(u64::MAX);
        for (pool, epoch) in &session.pools {
            let Some(ledger) = ledgers.get_mut(pool) else {
                continue;
            };
            ttl = ttl.min(ledger.ttl());
            let report = reports.get(pool).copied();
            match ledger.exchange(&req.holder, &req.zone, report, now) {
                Ok(Some(grants)) => pools.push((pool.clone(), *epoch, grants)),
                Ok(None) => {}
                Err(_) => {
                    session.pools.clear();
                    return Some(Reply { resync: true, ttl: Span(0), pools: Vec::new() });
                }
            }
        }
        if session.pools.is_empty() {
            ttl = Span(0);
        }
        Some(Reply { resync: false, ttl, pools })
    }

    /// Removes the sessions of holders that are not `alive`.
    pub fn retain(&mut self, alive: impl Fn(&HolderId) -> bool) {
        self.sessions.retain(|holder, _| alive(holder));
    }
}

/// What a holder remembers of one owner.
#[derive(Clone, Debug, Default)]
pub struct HolderSession {
    sequence: u64,
    acknowledged: u64,
    /// What the owner is known to have: the last report of each pool, with its ceilings raised to
    /// the grants received since.
    known_to_owner: IndexMap<PoolId, (Epoch, Report)>,
    pending: Option<PendingRequest>,
    last_sent: Timestamp,
    /// Whether the last message or reply contained a change, so that the next one may as well.
    recently_changed: bool,
}

/// The time between two messages to the owner while grants are changing or customers' requests
/// wait for slots.
const SHORT_INTERVAL: Span = Span(200);

/// A message whose reply has not arrived.
#[derive(Clone, Debug)]
struct PendingRequest {
    sequence: u64,
    sent: Timestamp,
    reply_deadline: Timestamp,
    reports: Vec<(PoolId, Epoch, Report)>,
}

impl HolderSession {
    /// Creates the next message. `current` contains the epoch and the report of each pool that has
    /// this owner. An earlier message without a reply counts as lost.
    ///
    /// [`is_awaiting_reply`](Self::is_awaiting_reply) holds until `reply_deadline`.
    pub fn next_request(
        &mut self,
        holder: &HolderId,
        zone: &ZoneId,
        current: &IndexMap<PoolId, (Epoch, Report)>,
        now: Timestamp,
        reply_deadline: Timestamp,
    ) -> Request {
        if self.pending.take().is_some() {
            self.reset();
        }
        self.known_to_owner.retain(|pool, (epoch, _)| {
            current.get(pool).is_some_and(|(current, _)| current == epoch)
        });
        let changed = |pool: &PoolId, report: &(Epoch, Report)| {
            self.known_to_owner.get(pool).is_none_or(|known| !same_report(known, report))
        };
        let reports: Vec<_> = current
            .iter()
            .filter(|(pool, report)| changed(pool, report))
            .map(|(pool, (epoch, report))| (pool.clone(), *epoch, report.clone()))
            .collect();
        self.sequence += 1;
        self.last_sent = now;
        self.recently_changed = !reports.is_empty();
        self.pending = Some(PendingRequest {
            sequence: self.sequence,
            sent: now,
            reply_deadline,
            reports: reports.clone(),
        });
        Request {
            holder: holder.clone(),
            zone: zone.clone(),
            sequence: self.sequence,
            acknowledged: self.acknowledged,
            fingerprint: fingerprint(current.iter().map(|(pool, (epoch, _))| (pool, *epoch))),
            reports,
        }
    }

    /// Applies the reply to the message numbered `sequence`; false if that message is not pending.
    pub fn handle_reply(
        &mut self,
        sequence: u64,
        reply: Reply,
        held_slots: &mut IndexMap<PoolId, HeldSlots>,
    ) -> bool {
        let Some(pending) = self.pending.take_if(|pending| pending.sequence == sequence) else {
            return false;
        };
        if reply.resync {
            self.reset();
            return true;
        }
        self.acknowledged = sequence;
        self.recently_changed |= !reply.pools.is_empty();
        for (pool, epoch, report) in pending.reports {
            self.known_to_owner.insert(pool, (epoch, report));
        }
        let mut grants: HashMap<PoolId, Vec<(VmId, Slots)>> =
            reply.pools.into_iter().map(|(pool, _, grants)| (pool, grants)).collect();
        for (pool, (epoch, report)) in &mut self.known_to_owner {
            let Some(held) = held_slots.get_mut(pool) else {
                continue;
            };
            let granted = grants.remove(pool);
            if let Some(granted) = &granted {
                raise_ceilings(&mut report.ceilings, granted);
            }
            held.renew(*epoch, granted, pending.sent, reply.ttl);
        }
        true
    }

    /// Whether a reply is pending and its deadline has not passed.
    #[must_use]
    pub fn is_awaiting_reply(&self, now: Timestamp) -> bool {
        self.pending.as_ref().is_some_and(|pending| now < pending.reply_deadline)
    }

    /// Whether to send the next message: after `interval`, or sooner while the holder and the owner
    /// are not in sync, something changed recently, or customers' requests wait for slots.
    #[must_use]
    pub fn should_send(
        &self,
        now: Timestamp,
        interval: Span,
        requests_wait_for_slots: bool,
    ) -> bool {
        let is_urgent = requests_wait_for_slots || self.acknowledged == 0 || self.recently_changed;
        let min_interval = if is_urgent { interval.min(SHORT_INTERVAL) } else { interval };
        now >= self.last_sent + min_interval
    }

    /// The pools that were reported to the owner.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.known_to_owner.keys()
    }

    /// Handles the failure of the message numbered `sequence`: the next one will be a full report.
    pub fn handle_failure(&mut self, sequence: u64) {
        if self.pending.take_if(|pending| pending.sequence == sequence).is_some() {
            self.reset();
        }
    }

    /// Forgets what the owner is known to have, so that the next message is a full report.
    fn reset(&mut self) {
        self.acknowledged = 0;
        self.known_to_owner.clear();
    }
}

/// Whether two reports have the same epoch and content; the order of the VMs does not matter.
fn same_report(a: &(Epoch, Report), b: &(Epoch, Report)) -> bool {
    let as_map = |report: &Report| -> HashMap<VmId, u32> {
        report.ceilings.iter().filter(|(_, slots)| *slots > 0).cloned().collect()
    };
    a.0 == b.0 && a.1.demand == b.1.demand && as_map(&a.1) == as_map(&b.1)
}

/// Raises reported ceilings to the grants, as the owner does: it counts the greater of the two.
fn raise_ceilings(ceilings: &mut Vec<(VmId, u32)>, grants: &[(VmId, Slots)]) {
    for (vm, slots) in grants {
        match ceilings.iter_mut().find(|(known, _)| known == vm) {
            Some((_, ceiling)) => *ceiling = (*ceiling).max(slots.0),
            None => ceilings.push((vm.clone(), slots.0)),
        }
    }
}
