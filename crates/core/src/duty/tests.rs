use std::collections::{HashSet, VecDeque};

use super::*;

fn node_incarnation(i: u64, incarnation: u64) -> NodeIncarnation {
    NodeIncarnation {
        node: format!("n{i}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn record(owner: NodeIncarnation) -> Record {
    Record {
        owner,
        holders: None,
        has_predecessor: false,
        earlier_grants: Span(0),
        own_grants: Span(0),
    }
}

fn registered(count: u64) -> IndexMap<NodeId, Incarnation> {
    (0..count).map(|i| (node_incarnation(i, 1).node, Incarnation(1))).collect()
}

fn duties(count: u32) -> Vec<DutyId> {
    (0..count).map(DutyId::Journal).collect()
}

fn view(i: u64, members: u64) -> Duties {
    let mut duties = Duties::new(node_incarnation(i, 1));
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
            let actions = duties.plan(&wanted, Timestamp(0));
            for action in actions {
                let Action::Claim { duty, .. } = action else { panic!("{action:?}") };
                let record = record(node_incarnation(i, 1));
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
    let record = record(node_incarnation(0, 1));
    duties.set_term(duty.clone(), Term { epoch: Epoch(5), record });

    assert_eq!(duties.owned_epoch(&duty, Timestamp(99)), Some(Epoch(5)));
    assert_eq!(duties.owned_epoch(&duty, Timestamp(100)), None);
    assert_eq!(duties.plan([&DutyId::Journal(1)], Timestamp(100)), Vec::new());
}

#[test]
fn a_leaving_owner_hands_over_to_a_registered_member() {
    let mut duties = view(0, 1);
    let duty = DutyId::Journal(0);
    let record = record(node_incarnation(0, 1));
    duties.set_term(duty.clone(), Term { epoch: Epoch(5), record });
    duties.set_registered(registered(2));
    duties.leave();

    let plan = duties.plan([&duty], Timestamp(0));

    assert_eq!(
        plan,
        [Action::HandOver { duty, expected_epoch: Epoch(5), to: node_incarnation(1, 1) }]
    );
}

/// One duty, its record in the store, and two nodes that claim it; explored breadth-first.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct SystemState {
    /// Owner in the store's record.
    owner: Option<usize>,
    /// The store's revision of the record.
    revision: u64,
    /// Whether each node is registered in the store.
    registered: [bool; 2],
    nodes: [Node; 2],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Node {
    /// Whether the node believes that its lease is valid; a paused node does so until it checks.
    believes_lease_valid: bool,
    /// The term that the node believes that it owns.
    believed_term: Option<u64>,
    /// Term of an effect that passed the deadline check but has not reached the store.
    effect_in_flight: Option<u64>,
    /// Whether the answer to the node's last claim was lost.
    claim_answer_lost: bool,
}

/// Whether the store checks the term of an effect before it accepts it.
#[derive(Clone, Copy, PartialEq)]
enum Fencing {
    On,
    Off,
}

/// The states that can follow. If an effect took place, also whether its node owned the duty.
fn next_states(state: &SystemState, fencing: Fencing) -> Vec<(SystemState, Option<bool>)> {
    let mut next = Vec::new();
    for i in 0..2 {
        let mut push = |change: &dyn Fn(&mut SystemState) -> Option<bool>| {
            let mut after = state.clone();
            let effect = change(&mut after);
            if after != *state || effect.is_some() {
                next.push((after, effect));
            }
        };
        // The lease expires in the store; the node may be paused and not notice.
        push(&|s| {
            s.registered[i] = false;
            None
        });
        // The node notices that its lease deadline has passed, or registers again.
        push(&|s| {
            if !s.registered[i] {
                s.nodes[i].believes_lease_valid = false;
                s.nodes[i].believed_term = None;
            }
            None
        });
        push(&|s| {
            let expired = !s.nodes[i].believes_lease_valid && !s.registered[i];
            if expired && s.nodes[i].effect_in_flight.is_none() {
                s.registered[i] = true;
                s.nodes[i].believes_lease_valid = true;
            }
            None
        });
        // A claim: a compare-and-swap that succeeds only if the previous owner is not registered.
        for answer_lost in [false, true] {
            push(&|s| {
                let claimable = s.owner.is_none_or(|owner| !s.registered[owner] || owner == i);
                let may_claim =
                    s.nodes[i].believes_lease_valid && s.registered[i] && s.revision < 3;
                if !claimable || !may_claim || s.nodes[i].believed_term.is_some() {
                    return None;
                }
                s.owner = Some(i);
                s.revision += 1;
                s.nodes[i].claim_answer_lost = answer_lost;
                s.nodes[i].believed_term = (!answer_lost).then_some(s.revision);
                None
            });
        }
        // After a lost answer the node reads the record.
        push(&|s| {
            if s.nodes[i].claim_answer_lost {
                s.nodes[i].claim_answer_lost = false;
                let is_own = s.owner == Some(i) && s.nodes[i].believes_lease_valid;
                s.nodes[i].believed_term = is_own.then_some(s.revision);
            }
            None
        });
        // An effect starts after the deadline check and reaches the store at any later time.
        push(&|s| {
            if s.nodes[i].believes_lease_valid {
                s.nodes[i].effect_in_flight = s.nodes[i].believed_term;
            }
            None
        });
        push(&|s| {
            let term = s.nodes[i].effect_in_flight.take()?;
            let accepted = fencing == Fencing::Off || term == s.revision;
            accepted.then_some(s.owner == Some(i))
        });
    }
    next
}

/// Explores every interleaving; returns true if an effect took place without ownership.
fn violation_exists(fencing: Fencing) -> bool {
    let start =
        SystemState { owner: None, revision: 0, registered: [true; 2], nodes: Default::default() };
    let start = SystemState {
        nodes: std::array::from_fn(|_| Node { believes_lease_valid: true, ..Node::default() }),
        ..start
    };
    let mut seen = HashSet::from([start.clone()]);
    let mut queue = VecDeque::from([start]);
    while let Some(state) = queue.pop_front() {
        for (after, effect) in next_states(&state, fencing) {
            if effect == Some(false) {
                return true;
            }
            if seen.insert(after.clone()) {
                queue.push_back(after);
            }
        }
    }
    assert!(seen.len() > 500, "the search covered only {} states", seen.len());
    false
}

#[test]
fn no_interleaving_of_pause_expiry_and_lost_answer_gives_an_effect_without_ownership() {
    assert!(!violation_exists(Fencing::On));
}

#[test]
fn without_fencing_the_search_finds_an_effect_without_ownership() {
    assert!(violation_exists(Fencing::Off));
}
