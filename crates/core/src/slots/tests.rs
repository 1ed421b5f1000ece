use proptest::prelude::*;

use super::*;

const SLOTS: u32 = 8;
const CFG: Config = Config { ttl: Span(100), max_request_duration: Span(50) };

fn zone() -> ZoneId {
    "z1".parse().unwrap()
}

fn vms(count: usize) -> IndexMap<VmId, Vm> {
    let vm = Vm { slots: Slots(SLOTS), zone: zone() };
    (0..count).map(|i| (format!("vm{i}").parse().unwrap(), vm.clone())).collect()
}

fn holder(i: usize) -> HolderId {
    (format!("n{i}").parse().unwrap(), Incarnation(1))
}

fn ledger(count: usize, predecessor: Predecessor) -> SlotLedger {
    let mut ledger = SlotLedger::new(Epoch(1), CFG, predecessor);
    ledger.set_vms(vms(count));
    ledger
}

fn total(grants: &[(VmId, Slots)]) -> u32 {
    grants.iter().map(|(_, slots)| slots.0).sum()
}

fn settle(ledger: &mut SlotLedger, demands: &[u32]) -> Vec<Vec<(VmId, Slots)>> {
    let mut grants = vec![Vec::new(); demands.len()];
    for round in 0..3 {
        for (i, &demand) in demands.iter().enumerate() {
            let ceilings =
                grants[i].iter().map(|(vm, slots): &(VmId, Slots)| (vm.clone(), slots.0));
            let report = Report { demand, ceilings: ceilings.collect() };
            let now = Timestamp(round);
            let answer = ledger.exchange(&holder(i), &zone(), Some(&report), now).unwrap();
            grants[i] = answer.unwrap();
        }
    }
    grants
}

#[test]
fn all_slots_are_granted_and_follow_demand() {
    let mut ledger = ledger(10, Predecessor::None);

    let grants = settle(&mut ledger, &[256, 0, 0]);

    assert_eq!(grants.iter().map(|g| total(g)).sum::<u32>(), 80);
    // Three fifths of 80, give or take a slot.
    assert!((47..=49).contains(&total(&grants[0])), "{}", total(&grants[0]));
}

#[test]
fn few_holders_get_even_shares_and_a_new_holder_moves_few_other_slots() {
    let mut ledger = ledger(10, Predecessor::None);
    let before = settle(&mut ledger, &[0; 6]);

    let after = settle(&mut ledger, &[0; 7]);

    assert!(before.iter().all(|grants| (12..=14).contains(&total(grants))), "{before:?}");
    let moved: u32 =
        before.iter().zip(&after).map(|(b, a)| total(b).saturating_sub(total(a))).sum();
    assert!(moved <= 2 * total(&after[6]), "{moved}");
}

#[test]
fn a_holder_without_demand_keeps_slots_for_a_burst() {
    let mut ledger = ledger(10, Predecessor::None);

    let grants = settle(&mut ledger, &[16, 16, 0]);

    assert!(total(&grants[2]) >= 12, "{}", total(&grants[2]));
}

#[test]
fn with_many_nodes_each_node_uses_a_subset_of_the_vms_and_churn_is_small() {
    let mut ledger = ledger(10, Predecessor::None);
    let before = settle(&mut ledger, &[0; 40]);

    let after = settle(&mut ledger, &[0; 41]);

    assert!(before.iter().all(|grants| grants.len() < 10));
    let moved: u32 =
        before.iter().zip(&after).map(|(b, a)| total(b).saturating_sub(total(a))).sum();
    assert!(moved <= total(&after[40]), "only slots of the new holder move");
}

#[test]
fn a_new_owner_grants_nothing_new_while_unknown_grants_may_be_valid() {
    let mut ledger = ledger(1, Predecessor::Lost { until: CFG.expiry(Timestamp(0)) });
    let vm: VmId = "vm0".parse().unwrap();
    let report = Report { demand: 8, ceilings: vec![(vm.clone(), 3)] };

    let during = ledger.exchange(&holder(0), &zone(), Some(&report), Timestamp(10)).unwrap();
    let after = ledger.exchange(&holder(0), &zone(), None, Timestamp(163)).unwrap();

    assert_eq!(during, Some(vec![(vm.clone(), Slots(3))]));
    assert_eq!(after, Some(vec![(vm, Slots(8))]));
}

#[test]
fn a_holder_drops_expired_grants_so_that_it_does_not_report_them() {
    let vm: VmId = "vm0".parse().unwrap();
    let mut held = HeldSlots::default();
    held.renew(Epoch(0), Some(vec![(vm.clone(), Slots(8))]), Timestamp(0), Span(100));

    assert!(!held.expire(Timestamp(99)));
    assert_eq!(held.slots(&vm), Slots(8));
    assert!(held.expire(Timestamp(100)));
    assert_eq!(held.slots(&vm), Slots(0));
}

#[test]
fn the_quarantine_after_a_handover_ends_once_all_holders_have_reported() {
    let mut ledger = ledger(
        1,
        Predecessor::HandedOver {
            holders: vec![holder(0), holder(1)],
            until: CFG.expiry(Timestamp(0)),
        },
    );
    let none = Report::default();

    ledger.exchange(&holder(0), &zone(), Some(&none), Timestamp(1)).unwrap();
    let before = ledger.exchange(&holder(0), &zone(), None, Timestamp(2)).unwrap();
    ledger.exchange(&holder(1), &zone(), Some(&none), Timestamp(3)).unwrap();
    let after = ledger.exchange(&holder(0), &zone(), Some(&none), Timestamp(4)).unwrap().unwrap();

    assert_eq!(before, None);
    assert!(total(&after) > 0);
}

/// A node of the adversarial model; it always occupies every slot that it is allowed to.
struct Node {
    id: HolderId,
    held: HeldSlots,
    /// Requests in flight, each with its VM and its end.
    running: Vec<(VmId, Timestamp)>,
    /// The message in flight: the epoch for which it was sent, the report, and the time of sending.
    pending: Option<(Epoch, Report, Timestamp)>,
    crashed: bool,
}

impl Node {
    fn in_use(&self, vm: &VmId) -> u32 {
        u32::try_from(self.running.iter().filter(|(other, _)| other == vm).count()).unwrap()
    }

    fn occupy_all(&mut self, now: Timestamp) {
        if self.crashed || now >= self.held.deadline() {
            return;
        }
        let limits: Vec<_> = self.held.vms().map(|vm| (vm.clone(), self.held.slots(vm))).collect();
        for (vm, limit) in limits {
            while self.in_use(&vm) < limit.0 {
                self.running.push((vm.clone(), now + CFG.max_request_duration));
            }
        }
    }

    fn report(&self, demand: u32) -> Report {
        let mut ceilings: IndexMap<VmId, u32> =
            self.held.vms().map(|vm| (vm.clone(), self.held.slots(vm).0)).collect();
        for (vm, _) in &self.running {
            let ceiling = ceilings.entry(vm.clone()).or_default();
            *ceiling = (*ceiling).max(self.in_use(vm));
        }
        Report { demand, ceilings: ceilings.into_iter().collect() }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Send { node: usize, demand: u32 },
    Deliver { node: usize, answer_lost: bool },
    Lose { node: usize },
    Finish { node: usize },
    Crash { node: usize },
    Replace { node: usize },
    OwnerCrashes,
    OwnerHandsOver,
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..3_usize;
    prop_oneof![
        6 => (node.clone(), 0..40_u32).prop_map(|(node, demand)| Step::Send { node, demand }),
        6 => (node.clone(), prop::bool::weighted(0.2))
            .prop_map(|(node, answer_lost)| Step::Deliver { node, answer_lost }),
        1 => node.clone().prop_map(|node| Step::Lose { node }),
        2 => node.clone().prop_map(|node| Step::Finish { node }),
        1 => node.clone().prop_map(|node| Step::Crash { node }),
        1 => node.prop_map(|node| Step::Replace { node }),
        1 => Just(Step::OwnerCrashes),
        1 => Just(Step::OwnerHandsOver),
        4 => (1..60_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// Runs an interleaving and returns the most slots of one VM that were occupied at the same time.
fn find_max_occupied(steps: &[Step], new_ledger: impl Fn(Epoch, Predecessor) -> SlotLedger) -> u32 {
    let mut now = Timestamp(1_000);
    let mut ledger = new_ledger(Epoch(1), Predecessor::None);
    ledger.set_vms(vms(2));
    let mut nodes: Vec<Node> = (0..3).map(new_node).collect();
    // Requests of replaced nodes may still run on their VMs.
    let mut orphans: Vec<(VmId, Timestamp)> = Vec::new();
    let mut incarnations = 1;
    let mut max_occupied = 0;
    for step in steps {
        match *step {
            Step::Send { node, demand } => {
                let node = &mut nodes[node];
                if node.held.epoch() != ledger.epoch() {
                    node.held.set_epoch(ledger.epoch());
                }
                node.held.expire(now);
                node.pending = Some((ledger.epoch(), node.report(demand), now));
            }
            Step::Deliver { node, answer_lost } => {
                let node = &mut nodes[node];
                if let Some((epoch, report, sent)) = node.pending.take()
                    && epoch == ledger.epoch()
                    && !node.crashed
                {
                    let answer = ledger.exchange(&node.id, &zone(), Some(&report), now).unwrap();
                    if !answer_lost {
                        node.held.renew(epoch, answer, sent, CFG.ttl);
                    }
                }
            }
            Step::Lose { node } => nodes[node].pending = None,
            Step::Finish { node } => {
                nodes[node].running.pop();
            }
            Step::Crash { node } => nodes[node].crashed = true,
            Step::Replace { node } => {
                incarnations += 1;
                orphans.append(&mut nodes[node].running);
                nodes[node] = new_node(node);
                nodes[node].id.1 = Incarnation(incarnations);
            }
            Step::OwnerCrashes => {
                ledger = new_ledger(
                    Epoch(ledger.epoch().0 + 1),
                    Predecessor::Lost { until: CFG.expiry(now) },
                );
                ledger.set_vms(vms(2));
            }
            Step::OwnerHandsOver => {
                // An owner in quarantine may not know all holders of earlier terms, so it can't
                // name them to its successor.
                let predecessor = match ledger.quarantine {
                    None => Predecessor::HandedOver {
                        holders: ledger.holders(),
                        until: CFG.expiry(now),
                    },
                    Some(_) => Predecessor::Lost { until: CFG.expiry(now) },
                };
                ledger = new_ledger(Epoch(ledger.epoch().0 + 1), predecessor);
                ledger.set_vms(vms(2));
            }
            Step::Wait { ms } => now = now + Span(ms),
        }
        orphans.retain(|(_, end)| now < *end);
        for node in &mut nodes {
            node.running.retain(|(_, end)| now < *end);
            node.occupy_all(now);
        }
        for vm in vms(2).keys() {
            let orphaned = orphans.iter().filter(|(other, _)| other == vm).count();
            let used: u32 = nodes.iter().map(|node| node.in_use(vm)).sum();
            max_occupied = max_occupied.max(used + u32::try_from(orphaned).unwrap());
        }
    }
    max_occupied
}

fn new_node(i: usize) -> Node {
    Node {
        id: holder(i),
        held: HeldSlots::default(),
        running: Vec::new(),
        pending: None,
        crashed: false,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn no_interleaving_gives_a_vm_more_than_its_slots(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let new_ledger = |epoch, predecessor| SlotLedger::new(epoch, CFG, predecessor);
        let max = find_max_occupied(&steps, new_ledger);
        prop_assert!(max <= SLOTS, "{max}");
    }
}

#[test]
fn without_the_quarantine_the_search_finds_an_overrun() {
    let send =
        |node, demand| [Step::Send { node, demand }, Step::Deliver { node, answer_lost: false }];
    let steps: Vec<Step> = [send(0, 8), [Step::OwnerCrashes, Step::Wait { ms: 1 }], send(1, 8)]
        .into_iter()
        .flatten()
        .collect();

    let max_without_quarantine =
        find_max_occupied(&steps, |epoch, _| SlotLedger::new(epoch, CFG, Predecessor::None));
    let max_with_quarantine =
        find_max_occupied(&steps, |epoch, predecessor| SlotLedger::new(epoch, CFG, predecessor));

    assert!(max_without_quarantine > SLOTS);
    assert!(max_with_quarantine <= SLOTS);
}
