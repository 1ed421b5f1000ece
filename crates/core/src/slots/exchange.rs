//! The exchange between a holder of slots and the node that keeps the ledgers of several pools.
//!
//! One message each way renews all pools at once and carries only what changed, so that its cost
//! follows the changes in demand and not the number of VMs. Each side remembers what the other one
//! knows. If a message or an answer is lost, or a pool changes hands, the two notice it by a number
//! or a fingerprint that does not fit, renew nothing, and start over with everything.

use std::collections::HashMap;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::{HeldSlots, HolderId, Keeper, Report};
use crate::{Epoch, PoolId, Slots, Span, Timestamp, VmId, ZoneId};

/// A holder's message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Who sends it.
    pub holder: HolderId,
    /// Where the holder is.
    pub zone: ZoneId,
    /// Grows with each message.
    pub sequence: u64,
    /// The last message whose answer was taken in; zero asks for everything anew.
    pub acknowledged: u64,
    /// Hash of the pools and epochs that the holder counts on from this keeper.
    pub fingerprint: u64,
    /// What changed, by pool.
    pub reports: Vec<(PoolId, Epoch, Report)>,
}

/// Slots that a holder is granted, by VM.
pub type Grants = Vec<(VmId, Slots)>;

/// The keeper's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The holder must report everything anew; nothing is renewed.
    pub resync: bool,
    /// How long the grants last from when the request was sent.
    pub ttl: Span,
    /// Whole sets of grants of the pools in which they changed.
    pub pools: Vec<(PoolId, Epoch, Grants)>,
}

/// A hash of pools and epochs that does not depend on their order.
fn fingerprint<'a>(pools: impl Iterator<Item = (&'a PoolId, Epoch)>) -> u64 {
    let one = |(pool, epoch): (&PoolId, Epoch)| xxh3_64(format!("{pool}\0{epoch}").as_bytes());
    pools.map(one).fold(0, u64::wrapping_add)
}

#[derive(Clone, Debug, Default)]
struct Session {
    sequence: u64,
    /// Pools that the holder reported in this session, with the epoch it counted on.
    pools: IndexMap<PoolId, Epoch>,
}

/// What a keeper remembers of each holder.
#[derive(Clone, Debug, Default)]
pub struct KeeperSessions {
    sessions: HashMap<HolderId, Session>,
}

impl KeeperSessions {
    /// Handles a message about the pools in `keepers`; `None` if it came out of order.
    pub fn handle(
        &mut self,
        req: &Request,
        keepers: &mut IndexMap<PoolId, Keeper>,
        now: Timestamp,
    ) -> Option<Reply> {
        let session = self.sessions.entry(req.holder.clone()).or_default();
        if req.sequence <= session.sequence {
            return None;
        }
        let in_step = req.acknowledged == session.sequence && req.acknowledged != 0;
        session.sequence = req.sequence;
        if !in_step {
            session.pools.clear();
        }
        for (pool, epoch, _) in &req.reports {
            session.pools.insert(pool.clone(), *epoch);
        }
        session
            .pools
            .retain(|pool, epoch| keepers.get(pool).is_some_and(|keeper| keeper.epoch() == *epoch));
        let known = fingerprint(session.pools.iter().map(|(pool, epoch)| (pool, *epoch)));
        // A holder that starts over asks with a zero, and its fingerprint covers what it reports.
        let starting_over = req.acknowledged == 0;
        if !(in_step || starting_over) || known != req.fingerprint {
            session.pools.clear();
            return Some(Reply { resync: true, ttl: Span(0), pools: Vec::new() });
        }
        let reports: HashMap<&PoolId, &Report> =
            req.reports.iter().map(|(pool, _, report)| (pool, report)).collect();
        let mut pools = Vec::new();
        let mut ttl = Span(u64::MAX);
        for (pool, epoch) in &session.pools {
            let Some(keeper) = keepers.get_mut(pool) else {
                continue;
            };
            ttl = ttl.min(keeper.ttl());
            let report = reports.get(pool).copied();
            match keeper.exchange(&req.holder, &req.zone, report, now) {
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

    /// Forgets sessions of holders that are not in `alive`.
    pub fn retain(&mut self, alive: impl Fn(&HolderId) -> bool) {
        self.sessions.retain(|holder, _| alive(holder));
    }
}

/// What a holder remembers of one keeper.
#[derive(Clone, Debug, Default)]
pub struct HolderSession {
    sequence: u64,
    acknowledged: u64,
    /// What the keeper knows: the last report of each pool, raised by the grants that followed.
    known: IndexMap<PoolId, (Epoch, Report)>,
    pending: Option<Pending>,
    last_sent: Timestamp,
    /// The last message or answer changed something, so the next may as well.
    is_settling: bool,
}

/// Time between two messages while something is to be settled, in milliseconds.
const HURRIED_INTERVAL: Span = Span(200);

#[derive(Clone, Debug)]
struct Pending {
    sequence: u64,
    sent: Timestamp,
    patience: Timestamp,
    reports: Vec<(PoolId, Epoch, Report)>,
}

impl HolderSession {
    /// The next message. `current` gives for each pool that this keeper owns the epoch and what is
    /// to be reported. An earlier message without an answer counts as lost.
    pub fn next_request(
        &mut self,
        holder: &HolderId,
        zone: &ZoneId,
        current: &IndexMap<PoolId, (Epoch, Report)>,
        now: Timestamp,
        patience: Timestamp,
    ) -> Request {
        if self.pending.take().is_some() {
            self.start_over();
        }
        self.known.retain(|pool, (epoch, _)| {
            current.get(pool).is_some_and(|(current, _)| current == epoch)
        });
        let changed = |pool: &PoolId, now: &(Epoch, Report)| {
            self.known.get(pool).is_none_or(|known| !same(known, now))
        };
        let reports: Vec<_> = current
            .iter()
            .filter(|(pool, now)| changed(pool, now))
            .map(|(pool, (epoch, report))| (pool.clone(), *epoch, report.clone()))
            .collect();
        self.sequence += 1;
        self.last_sent = now;
        self.is_settling = !reports.is_empty();
        self.pending = Some(Pending {
            sequence: self.sequence,
            sent: now,
            patience,
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

    /// Takes in the answer to the message numbered `sequence`; false if it is not the one awaited.
    pub fn handle_reply(
        &mut self,
        sequence: u64,
        reply: Reply,
        holdings: &mut IndexMap<PoolId, HeldSlots>,
    ) -> bool {
        let Some(pending) = self.pending.take_if(|pending| pending.sequence == sequence) else {
            return false;
        };
        if reply.resync {
            self.start_over();
            return true;
        }
        self.acknowledged = sequence;
        self.is_settling |= !reply.pools.is_empty();
        for (pool, epoch, report) in pending.reports {
            self.known.insert(pool, (epoch, report));
        }
        let mut grants: HashMap<PoolId, Vec<(VmId, Slots)>> =
            reply.pools.into_iter().map(|(pool, _, grants)| (pool, grants)).collect();
        for (pool, (epoch, report)) in &mut self.known {
            let Some(holding) = holdings.get_mut(pool) else {
                continue;
            };
            let granted = grants.remove(pool);
            if let Some(granted) = &granted {
                raise(&mut report.ceilings, granted);
            }
            holding.renew(*epoch, granted, pending.sent, reply.ttl);
        }
        true
    }

    /// Whether an answer is still awaited.
    #[must_use]
    pub fn is_awaiting_reply(&self, now: Timestamp) -> bool {
        self.pending.as_ref().is_some_and(|pending| now < pending.patience)
    }

    /// Whether it is time for the next message: after `interval`, or sooner while the holder and
    /// keeper are not in step or requests wait for slots.
    #[must_use]
    pub fn is_due(&self, now: Timestamp, interval: Span, waiting: bool) -> bool {
        let hurried = waiting || self.acknowledged == 0 || self.is_settling;
        let pause = if hurried { interval.min(HURRIED_INTERVAL) } else { interval };
        now >= self.last_sent + pause
    }

    /// The pools that the keeper has been told of.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.known.keys()
    }

    /// The message numbered `sequence` got no answer.
    pub fn handle_failure(&mut self, sequence: u64) {
        if self.pending.take_if(|pending| pending.sequence == sequence).is_some() {
            self.start_over();
        }
    }

    fn start_over(&mut self) {
        self.acknowledged = 0;
        self.known.clear();
    }
}

/// Whether two reports say the same; the order of the VMs does not count.
fn same(a: &(Epoch, Report), b: &(Epoch, Report)) -> bool {
    let as_map = |report: &Report| -> HashMap<VmId, u32> {
        report.ceilings.iter().filter(|(_, slots)| *slots > 0).cloned().collect()
    };
    a.0 == b.0 && a.1.demand == b.1.demand && as_map(&a.1) == as_map(&b.1)
}

/// The keeper counts a holder's ceiling at the greater of what it reported and was granted.
fn raise(ceilings: &mut Vec<(VmId, u32)>, grants: &[(VmId, Slots)]) {
    for (vm, slots) in grants {
        match ceilings.iter_mut().find(|(known, _)| known == vm) {
            Some((_, ceiling)) => *ceiling = (*ceiling).max(slots.0),
            None => ceilings.push((vm.clone(), slots.0)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{
        Incarnation,
        slots::{Config, Predecessor, Vm},
    };

    const CFG: Config = Config { ttl: Span(100), longest_request: Span(50) };

    fn zone() -> ZoneId {
        "z1".parse().unwrap()
    }

    fn pool() -> PoolId {
        "shop".parse().unwrap()
    }

    fn holder() -> HolderId {
        ("n1".parse().unwrap(), Incarnation(1))
    }

    fn keepers(epoch: u64) -> IndexMap<PoolId, Keeper> {
        let mut keeper = Keeper::new(Epoch(epoch), CFG, Predecessor::None);
        let vm = Vm { slots: Slots(8), zone: zone() };
        keeper.set_vms(IndexMap::from([("vm1".parse().unwrap(), vm)]));
        IndexMap::from([(pool(), keeper)])
    }

    fn holdings(epoch: u64) -> IndexMap<PoolId, HeldSlots> {
        let mut holding = HeldSlots::default();
        holding.set_epoch(Epoch(epoch));
        IndexMap::from([(pool(), holding)])
    }

    fn current(
        epoch: u64,
        holdings: &IndexMap<PoolId, HeldSlots>,
    ) -> IndexMap<PoolId, (Epoch, Report)> {
        let holding = &holdings[&pool()];
        let ceilings = holding.vms().map(|vm| (vm.clone(), holding.slots(vm).0)).collect();
        IndexMap::from([(pool(), (Epoch(epoch), Report { demand: 1, ceilings }))])
    }

    struct Pair {
        keepers: IndexMap<PoolId, Keeper>,
        keeper_side: KeeperSessions,
        holdings: IndexMap<PoolId, HeldSlots>,
        holder_side: HolderSession,
    }

    fn pair() -> Pair {
        Pair {
            keepers: keepers(1),
            keeper_side: KeeperSessions::default(),
            holdings: holdings(1),
            holder_side: HolderSession::default(),
        }
    }

    impl Pair {
        fn send(&mut self, epoch: u64, now: u64) -> (Request, Reply) {
            let current = current(epoch, &self.holdings);
            let now = Timestamp(now);
            let req = self.holder_side.next_request(&holder(), &zone(), &current, now, now);
            let reply = self.keeper_side.handle(&req, &mut self.keepers, now).unwrap();
            (req, reply)
        }

        fn exchange(&mut self, epoch: u64, now: u64) -> (Request, Reply) {
            let (req, reply) = self.send(epoch, now);
            self.holder_side.handle_reply(req.sequence, reply.clone(), &mut self.holdings);
            (req, reply)
        }
    }

    #[test]
    fn a_quiet_renewal_carries_no_pool_and_prolongs_the_grants() {
        let mut pair = pair();
        pair.exchange(1, 0);

        let (req, reply) = pair.exchange(1, 10);

        assert_eq!((req.reports.len(), reply.pools.len(), reply.resync), (0, 0, false));
        assert_eq!(pair.holdings[&pool()].deadline(), Timestamp(110));
        assert_eq!(pair.holdings[&pool()].slots(&"vm1".parse().unwrap()), Slots(8));
    }

    #[test]
    fn after_a_lost_answer_everything_is_reported_and_granted_anew() {
        let mut pair = pair();
        pair.send(1, 0);

        let (req, reply) = pair.exchange(1, 10);

        assert_eq!((req.acknowledged, req.reports.len(), reply.pools.len()), (0, 1, 1));
        assert_eq!(pair.holdings[&pool()].slots(&"vm1".parse().unwrap()), Slots(8));
    }

    #[test]
    fn a_pool_that_changed_hands_is_not_renewed() {
        let mut pair = pair();
        pair.exchange(1, 0);
        pair.keepers = keepers(2);

        let (_, reply) = pair.exchange(1, 10);

        assert!(reply.resync);
        assert_eq!(pair.holdings[&pool()].deadline(), Timestamp(100));
    }

    #[test]
    fn a_message_out_of_order_is_refused() {
        let mut pair = pair();
        let (req, _) = pair.exchange(1, 0);
        pair.exchange(1, 10);

        assert_eq!(pair.keeper_side.handle(&req, &mut pair.keepers, Timestamp(20)), None);
    }
}
