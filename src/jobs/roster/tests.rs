use super::*;

/// A list of some 350 workers.
const LIST_BYTES: usize = 130_000;

#[test]
fn on_a_fast_link_the_list_is_read_at_the_usual_interval() {
    assert_eq!(regular_pause(LIST_BYTES, 1_000.0), POLL_INTERVAL);
}

#[test]
fn reading_the_list_takes_a_small_share_of_a_slow_link() {
    let transfer = transfer_time(LIST_BYTES, 10.0);

    assert!(transfer * 10 <= transfer + regular_pause(LIST_BYTES, 10.0));
    assert!(transfer * 4 <= transfer + shortest_pause(LIST_BYTES, 10.0));
}
