use super::*;

const LEASE_END: Timestamp = Timestamp(10_000);

fn words(words: &[PeerWord]) -> Vec<(NodeId, PeerWord)> {
    let name = |index: usize| format!("n{index}").parse().expect("a name");
    words.iter().enumerate().map(|(index, word)| (name(index), *word)).collect()
}

#[test]
fn an_owner_may_act_until_its_lease_expires() {
    let permission = Permission::default();

    assert!(!permission.is_over(LEASE_END, LEASE_END));
    assert!(permission.is_over(LEASE_END, LEASE_END + Span(1)));
}

/// Guards against a process that was paused and goes on with what others allowed it before.
#[test]
fn a_confirmation_from_before_a_pause_allows_nothing_after_it() {
    let mut permission = Permission::default();
    permission.record_round(LEASE_END, &words(&[PeerWord::StoreAway]));

    let soon = LEASE_END + CONFIRMATION_TTL;
    let after_pause = LEASE_END + Span(4_000);

    assert!(!permission.is_over(LEASE_END, soon));
    assert!(permission.is_over(LEASE_END, after_pause));
}
