use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

use super::*;

fn member(incarnation: u64, refutation: u64, state: State) -> Member {
    Member {
        incarnation: Incarnation(incarnation),
        refutation,
        state,
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z1".parse().unwrap(),
    }
}

fn node(i: u8) -> NodeId {
    format!("n{i}").parse().unwrap()
}

fn view() -> Membership {
    Membership::new(node(0), member(1, 0, State::Alive), Config::default())
}

fn states(view: &Membership) -> Vec<(NodeId, Member)> {
    let mut states: Vec<_> = view.members().map(|(n, m)| (n.clone(), m.clone())).collect();
    states.sort_by(|a, b| a.0.cmp(&b.0));
    states
}

fn update() -> impl Strategy<Value = (u8, Member)> {
    let state =
        prop_oneof![Just(State::Alive), Just(State::Suspect), Just(State::Dead), Just(State::Left)];
    (1..4_u8, 1..4_u64, 0..3_u64, state).prop_map(|(i, inc, r, s)| (i, member(inc, r, s)))
}

proptest! {
    #[test]
    fn merging_updates_in_any_order_and_repeatedly_gives_the_same_view(
        (mut updates, shuffled) in prop::collection::vec(update(), 0..12)
            .prop_flat_map(|updates| (Just(updates.clone()), Just(updates).prop_shuffle())),
    ) {
        let mut one = view();
        let mut other = view();
        for (i, member) in shuffled {
            other.merge(&node(i), member, Timestamp(0));
        }
        let again = updates.clone();
        updates.extend(again);
        for (i, member) in updates {
            one.merge(&node(i), member, Timestamp(0));
        }
        prop_assert_eq!(states(&one), states(&other));
    }
}

#[test]
fn a_node_refutes_a_suspicion_of_itself() {
    let mut view = view();

    view.merge(&node(0), member(1, 4, State::Suspect), Timestamp(0));

    assert_eq!(view.get(&node(0)), Some(&member(1, 5, State::Alive)));
}

#[test]
fn an_unrefuted_suspect_becomes_dead_and_its_new_incarnation_is_alive() {
    let mut view = view();
    view.merge(&node(1), member(7, 0, State::Alive), Timestamp(0));
    view.suspect(&node(1), Timestamp(0));

    view.expire(Timestamp(1_999));
    assert_eq!(view.get(&node(1)).unwrap().state, State::Suspect);
    view.expire(Timestamp(2_000));
    assert_eq!(view.get(&node(1)).unwrap().state, State::Dead);
    view.merge(&node(1), member(8, 0, State::Alive), Timestamp(2_001));

    assert_eq!(view.get(&node(1)).unwrap().state, State::Alive);
}

#[test]
fn a_member_that_keeps_refuting_suspicions_is_unreliable_for_a_while() {
    let mut view = view();
    view.merge(&node(1), member(1, 0, State::Alive), Timestamp(0));

    view.merge(&node(1), member(1, 1, State::Alive), Timestamp(1_000));
    assert!(view.unreliable(Timestamp(1_000)).is_empty());
    view.merge(&node(1), member(1, 2, State::Alive), Timestamp(4_000));

    assert!(view.unreliable(Timestamp(4_000)).contains(&node(1)));
    assert!(view.unreliable(Timestamp(21_000)).is_empty());
}

#[test]
fn an_update_of_an_earlier_incarnation_changes_nothing() {
    let mut view = view();
    view.merge(&node(1), member(8, 0, State::Alive), Timestamp(0));

    assert!(!view.merge(&node(1), member(7, 9, State::Dead), Timestamp(0)));
}

#[test]
fn every_peer_is_probed_once_before_any_is_probed_again() {
    let mut view = view();
    for i in 1..8 {
        view.merge(&node(i), member(1, 0, State::Alive), Timestamp(0));
    }
    let mut rng = SmallRng::seed_from_u64(7);

    let targets: IndexSet<_> = (0..7).filter_map(|_| view.next_target(&mut rng)).collect();

    assert_eq!(targets.len(), 7);
}

#[test]
fn a_change_is_passed_on_a_bounded_number_of_times() {
    let mut view = view();
    view.merge(&node(1), member(1, 0, State::Alive), Timestamp(0));

    let transmissions = (0..100).filter(|_| !view.take_gossip_updates(&node(2)).is_empty()).count();

    assert!((3..=9).contains(&transmissions), "{transmissions}");
}
