use super::*;

const SMALL: OrderRate = OrderRate(500);
const LARGE: OrderRate = OrderRate(4_000);

fn node(name: &str) -> NodeId {
    name.parse().unwrap()
}

/// Nodes of these order rates, named `n0`, `n1` and so on, that started together.
fn nodes(rates: &[OrderRate]) -> IndexMap<NodeId, Candidate> {
    let candidate = |&order_rate| Candidate { incarnation: Incarnation(5_000), order_rate };
    let name = |index: usize| node(&format!("n{index}"));
    rates.iter().enumerate().map(|(index, rate)| (name(index), candidate(rate))).collect()
}

fn duties(count: usize) -> IndexSet<Duty> {
    (0..count).map(|index| format!("cell/{index}")).collect()
}

/// The number of duties that each node is the first to take over.
fn first_counts(proposal: &IndexMap<Duty, Vec<NodeId>>) -> IndexMap<NodeId, usize> {
    let mut counts = IndexMap::new();
    for order in proposal.values() {
        *counts.entry(order[0].clone()).or_default() += 1;
    }
    counts
}

#[test]
fn a_cell_is_not_owned_by_a_node_with_a_slow_link_while_a_large_node_is_free() {
    let nodes = nodes(&[SMALL, SMALL, SMALL, SMALL, LARGE, SMALL, LARGE, SMALL]);

    let proposal = propose_owners(&duties(5), &IndexMap::new(), &nodes);

    for order in proposal.values() {
        assert_eq!(nodes[&order[0]].order_rate, LARGE, "{order:?}");
    }
    assert!(first_counts(&proposal).values().all(|count| *count <= 3));
}

#[test]
fn nodes_of_one_size_get_equal_numbers_of_duties() {
    let nodes = nodes(&[SMALL; 3]);

    let proposal = propose_owners(&duties(6), &IndexMap::new(), &nodes);

    assert!(first_counts(&proposal).values().all(|count| *count == 2));
}

#[test]
fn a_large_node_with_many_duties_leaves_the_next_one_to_a_small_node() {
    let nodes = nodes(&[SMALL, LARGE]);
    let owners = (0..8).map(|index| (format!("cell/{index}"), node("n1"))).collect();

    let proposal = propose_owners(&duties(9), &owners, &nodes);

    assert_eq!(proposal["cell/8"][0], node("n0"));
}

#[test]
fn a_node_with_an_unknown_order_rate_comes_last() {
    let nodes = nodes(&[OrderRate(0), SMALL]);

    let proposal = propose_owners(&duties(1), &IndexMap::new(), &nodes);

    assert_eq!(proposal["cell/0"], [node("n1"), node("n0")]);
}

#[test]
fn the_scarcer_resource_decides_what_a_node_can_carry() {
    let fast_link = OrderRate::from_resources(LinkRate::from_mbps(200.0), 120);
    let slow_link = OrderRate::from_resources(LinkRate::from_mbps(10.0), 2_000);

    assert_eq!(fast_link, OrderRate(600));
    assert_eq!(slow_link, OrderRate(500));
    assert_eq!("500/s".parse(), Ok(slow_link));
}

/// The cells `0`, `1` and so on, each owned by the node of this name.
fn owners(names: &[&str]) -> IndexMap<Duty, NodeId> {
    names.iter().enumerate().map(|(index, name)| (format!("cell/{index}"), node(name))).collect()
}

fn duty_that_n0_hands_over(rates: &[OrderRate], owner_names: &[&str]) -> Option<Duty> {
    let owners = owners(owner_names);
    let own = node("n0");
    let movable: Vec<Duty> =
        owners.iter().filter(|(_, owner)| **owner == own).map(|(duty, _)| duty.clone()).collect();
    duty_to_hand_over(&own, &movable, &owners, &nodes(rates))
}

#[test]
fn a_small_node_hands_its_cell_over_once_a_large_one_is_free() {
    let duty = duty_that_n0_hands_over(&[SMALL, LARGE, LARGE], &["n0", "n1"]);

    assert_eq!(duty, Some("cell/0".to_owned()));
}

#[test]
fn an_owner_that_lags_hands_its_cell_over_to_one_that_keeps_up() {
    let rates = [LARGE.while_lagging(), LARGE, LARGE];

    let duty = duty_that_n0_hands_over(&rates, &["n0", "n1", "n2"]);

    assert_eq!(duty, Some("cell/0".to_owned()));
}

#[test]
fn an_owner_keeps_its_cell_if_no_other_node_is_much_better_off() {
    let cases: [(&[OrderRate], &[&str]); 4] = [
        (&[LARGE, LARGE, LARGE], &["n0", "n1"]),
        (&[LARGE, LARGE], &["n0", "n0", "n1"]),
        (&[LARGE.while_lagging(), LARGE.while_lagging(), SMALL], &["n0", "n1"]),
        (&[SMALL, LARGE], &["n0", "n1", "n1", "n1", "n1"]),
    ];

    for (rates, owner_names) in cases {
        assert_eq!(duty_that_n0_hands_over(rates, owner_names), None, "{rates:?} {owner_names:?}");
    }
}

#[test]
fn handing_over_ends_when_no_node_is_much_better_off() {
    let rates = [SMALL, LARGE, SMALL, LARGE.while_lagging()];
    let nodes = nodes(&rates);
    let mut owners = owners(&["n0", "n0", "n2", "n3", "n3", "n3"]);
    let mut moves = 0;

    while let Some((from, duty)) = nodes.keys().find_map(|own| {
        let is_own = |(duty, owner): (&Duty, &NodeId)| (owner == own).then(|| duty.clone());
        let movable: Vec<Duty> = owners.iter().filter_map(is_own).collect();
        Some((own.clone(), duty_to_hand_over(own, &movable, &owners, &nodes)?))
    }) {
        owners.shift_remove(&duty);
        let duties = IndexSet::from([duty.clone()]);
        let next = propose_owners(&duties, &owners, &nodes)[&duty][0].clone();
        assert_ne!(next, from, "{duty} goes back to {from}");
        owners.insert(duty, next);
        moves += 1;
        assert!(moves <= 6, "{owners:?}");
    }

    assert!(moves > 0);
}
