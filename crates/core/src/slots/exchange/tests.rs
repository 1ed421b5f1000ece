use super::*;
use crate::{
    Incarnation,
    slots::{Config, Predecessor, Vm},
};

const CFG: Config = Config { ttl: Span(100), max_request_duration: Span(50) };

fn zone() -> ZoneId {
    "z1".parse().unwrap()
}

fn pool() -> PoolId {
    "shop".parse().unwrap()
}

fn holder() -> HolderId {
    ("n1".parse().unwrap(), Incarnation(1))
}

fn ledgers(epoch: u64) -> IndexMap<PoolId, SlotLedger> {
    let mut ledger = SlotLedger::new(Epoch(epoch), CFG, Predecessor::None);
    let vm = Vm { slots: Slots(8), zone: zone() };
    ledger.set_vms(IndexMap::from([("vm1".parse().unwrap(), vm)]));
    IndexMap::from([(pool(), ledger)])
}

fn held_slots(epoch: u64) -> IndexMap<PoolId, HeldSlots> {
    let mut held = HeldSlots::default();
    held.set_epoch(Epoch(epoch));
    IndexMap::from([(pool(), held)])
}

fn current(
    epoch: u64,
    held_slots: &IndexMap<PoolId, HeldSlots>,
) -> IndexMap<PoolId, (Epoch, Report)> {
    let held = &held_slots[&pool()];
    let ceilings = held.vms().map(|vm| (vm.clone(), held.slots(vm).0)).collect();
    IndexMap::from([(pool(), (Epoch(epoch), Report { demand: 1, ceilings }))])
}

struct Pair {
    ledgers: IndexMap<PoolId, SlotLedger>,
    owner_side: OwnerSessions,
    held_slots: IndexMap<PoolId, HeldSlots>,
    holder_side: HolderSession,
}

fn pair() -> Pair {
    Pair {
        ledgers: ledgers(1),
        owner_side: OwnerSessions::default(),
        held_slots: held_slots(1),
        holder_side: HolderSession::default(),
    }
}

impl Pair {
    fn send(&mut self, epoch: u64, now: u64) -> (Request, Reply) {
        let current = current(epoch, &self.held_slots);
        let now = Timestamp(now);
        let req = self.holder_side.next_request(&holder(), &zone(), &current, now, now);
        let reply = self.owner_side.handle(&req, &mut self.ledgers, now).unwrap();
        (req, reply)
    }

    fn exchange(&mut self, epoch: u64, now: u64) -> (Request, Reply) {
        let (req, reply) = self.send(epoch, now);
        self.holder_side.handle_reply(req.sequence, reply.clone(), &mut self.held_slots);
        (req, reply)
    }
}

#[test]
fn a_renewal_without_changes_carries_no_pool_and_prolongs_the_grants() {
    let mut pair = pair();
    pair.exchange(1, 0);

    let (req, reply) = pair.exchange(1, 10);

    assert_eq!((req.reports.len(), reply.pools.len(), reply.resync), (0, 0, false));
    assert_eq!(pair.held_slots[&pool()].deadline(), Timestamp(110));
    assert_eq!(pair.held_slots[&pool()].slots(&"vm1".parse().unwrap()), Slots(8));
}

#[test]
fn after_a_lost_reply_everything_is_reported_and_granted_again() {
    let mut pair = pair();
    pair.send(1, 0);

    let (req, reply) = pair.exchange(1, 10);

    assert_eq!((req.acknowledged, req.reports.len(), reply.pools.len()), (0, 1, 1));
    assert_eq!(pair.held_slots[&pool()].slots(&"vm1".parse().unwrap()), Slots(8));
}

#[test]
fn a_pool_with_a_new_owner_is_not_renewed() {
    let mut pair = pair();
    pair.exchange(1, 0);
    pair.ledgers = ledgers(2);

    let (_, reply) = pair.exchange(1, 10);

    assert!(reply.resync);
    assert_eq!(pair.held_slots[&pool()].deadline(), Timestamp(100));
}

#[test]
fn a_request_out_of_order_is_ignored() {
    let mut pair = pair();
    let (req, _) = pair.exchange(1, 0);
    pair.exchange(1, 10);

    assert_eq!(pair.owner_side.handle(&req, &mut pair.ledgers, Timestamp(20)), None);
}
