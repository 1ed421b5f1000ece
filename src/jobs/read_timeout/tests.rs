use super::*;

fn seconds(timeout: ReadTimeout) -> u64 {
    timeout.current().as_secs()
}

/// Guards against a list that is read late after an outage, because the calls before got no answer.
#[test]
fn the_timeout_stays_at_the_longest_while_the_store_is_silent() {
    let mut timeout = ReadTimeout::new(Duration::from_secs(3), Duration::from_secs(14));
    let no_answer = StoreError::Uncertain(String::new());

    let waits: Vec<u64> = (0..5)
        .map(|_| {
            let wait = seconds(timeout);
            timeout.record_failure(&no_answer);
            wait
        })
        .collect();

    assert_eq!(waits, [3, 6, 12, 14, 3]);
}

#[test]
fn refusals_make_the_timeout_longer() {
    let mut timeout = ReadTimeout::new(Duration::from_secs(3), Duration::from_secs(14));

    timeout.record_failure(&StoreError::Unavailable(String::new()));

    assert_eq!(seconds(timeout), 3);
}

#[test]
fn a_fast_link_waits_longer_than_for_the_largest_page() {
    let timeout = ReadTimeout::new(Duration::from_secs(3), Duration::from_secs(2));

    assert_eq!(seconds(timeout), 2);
}
