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
    let fast_link = OrderRate::from_resources(25_000_000, 120);
    let slow_link = OrderRate::from_resources(1_250_000, 2_000);

    assert_eq!(fast_link, OrderRate(800));
    assert_eq!(slow_link, OrderRate(500));
    assert_eq!("500/s".parse(), Ok(slow_link));
}
