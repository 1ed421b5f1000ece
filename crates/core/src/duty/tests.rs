use std::collections::{HashSet, VecDeque};

use super::*;

fn life(i: u64, incarnation: u64) -> NodeIncarnation {
    NodeIncarnation {
        node: format!("n{i}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn record(owner: NodeIncarnation) -> Record {
    Record { owner, holders: None, succeeded: false, earlier_grants: Span(0), own_grants: Span(0) }
}

fn registered(count: u64) -> IndexMap<NodeId, Incarnation> {
    (0..count).map(|i| (life(i, 1).node, Incarnation(1))).collect()
}

fn duties(count: u32) -> Vec<DutyId> {
    (0..count).map(DutyId::Journal).collect()
}

fn view(i: u64, members: u64) -> Duties {
    let mut duties = Duties::new(life(i, 1));
    duties.set_lease_deadline(Timestamp(100));
    duties.set_registered(registered(members));
    duties
}

fn claims(members: u64, wanted: &[DutyId]) -> Vec<usize> {
    (0..members).map(|i| view(i, members).plan(wanted, Timestamp(0)).len()).collect()
}

#[test]
fn each_duty_is_claimed_by_exactly_one_member_and_spread_evenly() {
    let wanted = duties(220);

    let counts = claims(7, &wanted);

    assert_eq!(counts.iter().sum::<usize>(), 220);
    assert!(counts.iter().all(|&count| (15..=55).contains(&count)), "{counts:?}");
}

#[test]
fn a_new_member_takes_only_its_own_share() {
    let wanted = duties(220);
    let moved: usize = (0..6)
        .map(|i| {
            let mut duties = view(i, 6);
            let mine = duties.plan(&wanted, Timestamp(0));
            for action in mine {
                let Action::Claim { duty, .. } = action else { panic!("{action:?}") };
                let record = record(life(i, 1));
                duties.set_term(duty, Term { epoch: Epoch(1), record });
            }
            duties.set_registered(registered(7));
            duties.plan(&wanted, Timestamp(0)).len()
        })
        .sum();

    assert!((15..=55).contains(&moved), "{moved}");
}

#[test]
fn an_owner_past_its_deadline_owns_nothing_and_plans_nothing() {
    let mut duties = view(0, 1);
    let duty = DutyId::Journal(0);
    let record = record(life(0, 1));
    duties.set_term(duty.clone(), Term { epoch: Epoch(5), record });

    assert_eq!(duties.owned_epoch(&duty, Timestamp(99)), Some(Epoch(5)));
    assert_eq!(duties.owned_epoch(&duty, Timestamp(100)), None);
    assert_eq!(duties.plan([&DutyId::Journal(1)], Timestamp(100)), Vec::new());
}

#[test]
fn a_leaving_owner_hands_over_to_a_registered_member() {
    let mut duties = view(0, 1);
    let duty = DutyId::Journal(0);
    let record = record(life(0, 1));
    duties.set_term(duty.clone(), Term { epoch: Epoch(5), record });
    duties.set_registered(registered(2));
    duties.leave();

    let plan = duties.plan([&duty], Timestamp(0));

    assert_eq!(plan, [Action::HandOver { duty, expected: Epoch(5), to: life(1, 1) }]);
}

/// The store and two nodes that share one duty, explored breadth first.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    /// Store: the record's owner and its revision.
    owner: Option<usize>,
    revision: u64,
    /// Store: whether each node's registration stands.
    registered: [bool; 2],
    nodes: [Node; 2],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Node {
    /// The node's belief about its own lease; a paused node keeps a stale one until it looks.
    lease_seen_valid: bool,
    /// The term that the node believes to own.
    believes: Option<u64>,
    /// An effect that passed the deadline check but has not reached the store.
    effect_under_way: Option<u64>,
    /// A claim whose answer was lost.
    unsettled: bool,
}

/// Whether the store compares the term when it takes an effect in.
#[derive(Clone, Copy, PartialEq)]
enum Fence {
    On,
    Off,
}

/// The worlds that follow, and for an effect that took place whether its actor owned the duty.
fn successors(world: &World, fence: Fence) -> Vec<(World, Option<bool>)> {
    let mut next = Vec::new();
    for i in 0..2 {
        let mut push = |change: &dyn Fn(&mut World) -> Option<bool>| {
            let mut after = world.clone();
            let effect = change(&mut after);
            if after != *world || effect.is_some() {
                next.push((after, effect));
            }
        };
        // The lease lapses in the store while the node may be paused and see nothing.
        push(&|w| {
            w.registered[i] = false;
            None
        });
        // The node notices that its stored deadline has passed, or registers anew.
        push(&|w| {
            if !w.registered[i] {
                w.nodes[i].lease_seen_valid = false;
                w.nodes[i].believes = None;
            }
            None
        });
        push(&|w| {
            let lapsed = !w.nodes[i].lease_seen_valid && !w.registered[i];
            if lapsed && w.nodes[i].effect_under_way.is_none() {
                w.registered[i] = true;
                w.nodes[i].lease_seen_valid = true;
            }
            None
        });
        // A claim: compare-and-swap that holds only if the former owner's registration is gone.
        for answer_lost in [false, true] {
            push(&|w| {
                let free = w.owner.is_none_or(|owner| !w.registered[owner] || owner == i);
                let may = w.nodes[i].lease_seen_valid && w.registered[i] && w.revision < 3;
                if !free || !may || w.nodes[i].believes.is_some() {
                    return None;
                }
                w.owner = Some(i);
                w.revision += 1;
                w.nodes[i].unsettled = answer_lost;
                w.nodes[i].believes = (!answer_lost).then_some(w.revision);
                None
            });
        }
        // A lost answer is settled by reading the record.
        push(&|w| {
            if w.nodes[i].unsettled {
                w.nodes[i].unsettled = false;
                let mine = w.owner == Some(i) && w.nodes[i].lease_seen_valid;
                w.nodes[i].believes = mine.then_some(w.revision);
            }
            None
        });
        // An effect starts after the deadline check, and arrives any time later.
        push(&|w| {
            if w.nodes[i].lease_seen_valid {
                w.nodes[i].effect_under_way = w.nodes[i].believes;
            }
            None
        });
        push(&|w| {
            let term = w.nodes[i].effect_under_way.take()?;
            let taken = fence == Fence::Off || term == w.revision;
            taken.then_some(w.owner == Some(i))
        });
    }
    next
}

/// Explores every interleaving; true if some effect took place without ownership.
fn violation_exists(fence: Fence) -> bool {
    let start =
        World { owner: None, revision: 0, registered: [true; 2], nodes: Default::default() };
    let start = World {
        nodes: std::array::from_fn(|_| Node { lease_seen_valid: true, ..Node::default() }),
        ..start
    };
    let mut seen = HashSet::from([start.clone()]);
    let mut queue = VecDeque::from([start]);
    while let Some(world) = queue.pop_front() {
        for (after, effect) in successors(&world, fence) {
            if effect == Some(false) {
                return true;
            }
            if seen.insert(after.clone()) {
                queue.push_back(after);
            }
        }
    }
    assert!(seen.len() > 500, "the search covered {} worlds only", seen.len());
    false
}

#[test]
fn no_interleaving_of_pause_lapse_and_lost_answer_gives_an_effect_without_ownership() {
    assert!(!violation_exists(Fence::On));
}

#[test]
fn without_the_fence_the_search_finds_an_effect_without_ownership() {
    assert!(violation_exists(Fence::Off));
}
