use super::*;

fn demand(time_left: u64, work: u64) -> Demand {
    Demand { time_left: Span(time_left), work }
}

#[test]
fn earlier_deadlines_are_served_first() {
    let near_deadline = demand(500, 1_000_000);
    let far_deadline = demand(5_000, 9_000_000);

    let required = required_milli(vec![far_deadline, near_deadline]);

    // Serving each at its own constant rate would take 3,800.
    assert_eq!(required, 2_000);
}

#[test]
fn work_with_equal_deadlines_adds_up() {
    assert_eq!(required_milli(vec![demand(1_000, 700_000), demand(1_000, 300_000)]), 1_000);
    assert_eq!(required_milli(Vec::new()), 0);
}
