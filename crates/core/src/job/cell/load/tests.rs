use super::*;

fn demand(left: u64, work: u64) -> Demand {
    Demand { left: Span(left), work }
}

#[test]
fn what_is_due_later_is_done_after_what_is_due_first() {
    let near_its_end = demand(500, 1_000_000);
    let just_begun = demand(5_000, 9_000_000);

    let required = required_milli(vec![just_begun, near_its_end]);

    // Each at its own constant rate would take 3,800.
    assert_eq!(required, 2_000);
}

#[test]
fn work_that_is_due_together_adds_up() {
    assert_eq!(required_milli(vec![demand(1_000, 700_000), demand(1_000, 300_000)]), 1_000);
    assert_eq!(required_milli(Vec::new()), 0);
}
