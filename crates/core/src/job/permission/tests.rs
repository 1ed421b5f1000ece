use proptest::prelude::*;

use super::*;

const LEASE_END: Timestamp = Timestamp(10_000);

const LEASE_TTL: Span = Span(2_000);

fn words(words: &[PeerWord]) -> Vec<(NodeId, PeerWord)> {
    let name = |index: usize| format!("n{index}").parse().expect("a name");
    words.iter().enumerate().map(|(index, word)| (name(index), *word)).collect()
}

#[test]
fn an_owner_may_act_until_its_lease_expires() {
    let permission = Permission::new(LEASE_TTL);

    assert!(!permission.is_over(LEASE_END, LEASE_END));
    assert!(permission.is_over(LEASE_END, LEASE_END + Span(1)));
}

/// Guards against a process that was paused and goes on with what others allowed it before.
#[test]
fn a_confirmation_from_before_a_pause_allows_nothing_after_it() {
    let mut permission = Permission::new(LEASE_TTL);
    permission.record_round(LEASE_END, &words(&[PeerWord::StoreAway]));

    let soon = LEASE_END + CONFIRMATION_TTL;
    let after_pause = LEASE_END + Span(4_000);

    assert!(!permission.is_over(LEASE_END, soon));
    assert!(permission.is_over(LEASE_END, after_pause));
}

/// How often an owner asks.
const INTERVAL_MS: u64 = 300;

/// Asks at regular intervals from one second before the end of the lease to `until`. `says` tells what
/// the other nodes say to a question sent at a time. Returns when the permission ends; `until` if it
/// doesn't.
fn ask_until(until: Timestamp, says: impl Fn(Timestamp) -> Vec<PeerWord>) -> Timestamp {
    let mut permission = Permission::new(LEASE_TTL);
    let mut now = Timestamp(LEASE_END.0 - 1_000);
    while now < until {
        permission.record_round(now, &words(&says(now)));
        let end = (0..INTERVAL_MS).find(|ms| permission.is_over(LEASE_END, now + Span(*ms)));
        if let Some(ms) = end {
            return now + Span(ms);
        }
        now = now + Span(INTERVAL_MS);
    }
    until
}

/// A node that doesn't answer may have claimed a duty since the last renewal of the lease was sent.
#[test]
fn silence_of_a_node_is_not_taken_for_its_consent() {
    let renewed = Timestamp(LEASE_END.0 - LEASE_TTL.0);

    let end = ask_until(LEASE_END + Span(20_000), |_| {
        vec![PeerWord::StoreAway, PeerWord::Silent, PeerWord::StoreAway]
    });

    assert!(end <= renewed + Permission::orders_after_claim(LEASE_TTL), "{end}");
}

/// Right after leases have expired, the first node that registers knows no other.
#[test]
fn an_owner_that_knows_no_other_node_does_not_confirm_an_outage_to_itself() {
    let end = ask_until(LEASE_END + Span(20_000), |_| Vec::new());

    assert_eq!(end, LEASE_END + Span(1));
}

#[test]
fn an_owner_goes_on_for_as_long_as_all_others_confirm() {
    let until = LEASE_END + Span(20_000);

    let end = ask_until(until, |_| vec![PeerWord::StoreAway; 3]);

    assert_eq!(end, until);
}

/// A node that restarts, or is paused for a moment, does not end the terms of all owners while the store
/// is away.
#[test]
fn an_owner_goes_on_while_a_node_that_had_confirmed_is_silent_for_a_moment() {
    let until = LEASE_END + Span(20_000);
    let silence = LEASE_END + Span(5_000)..LEASE_END + Span(7_000);

    let end = ask_until(until, |asked| {
        let word = if silence.contains(&asked) { PeerWord::Silent } else { PeerWord::StoreAway };
        vec![PeerWord::StoreAway, word]
    });

    assert_eq!(end, until);
}

#[test]
fn a_claim_is_ruled_out_until_the_earliest_of_the_latest_confirmations() {
    let mut permission = Permission::new(LEASE_TTL);
    assert_eq!(permission.sole_until(LEASE_END), LEASE_END);

    permission.record_round(LEASE_END, &words(&[PeerWord::StoreAway, PeerWord::StoreAway]));
    let later = LEASE_END + Span(300);
    permission.record_round(later, &words(&[PeerWord::StoreAway, PeerWord::Silent]));
    assert_eq!(permission.sole_until(LEASE_END), LEASE_END);

    permission.record_round(later, &words(&[PeerWord::StoreAway, PeerWord::StoreAway]));
    assert_eq!(permission.sole_until(LEASE_END), later);
}

/// What another node does: when it claims a duty, if it does, and when the owner can't reach it.
#[derive(Clone, Debug)]
struct Other {
    claims_at: Option<u64>,
    cut_from: u64,
    cut_to: u64,
}

impl Other {
    /// What it says to a question. It confirms whatever it knows of the store, but for its own claims.
    fn word(&self, asked: Timestamp) -> PeerWord {
        if (self.cut_from..self.cut_to).contains(&asked.0) {
            PeerWord::Silent
        } else if self.claims_at.is_some_and(|at| at <= asked.0) {
            PeerWord::Denial
        } else {
            PeerWord::StoreAway
        }
    }
}

fn other() -> impl Strategy<Value = Other> {
    // A claim is only possible once the last renewal was sent.
    let claims_at = prop::option::of(LEASE_END.0 - LEASE_TTL.0..LEASE_END.0 + 15_000);
    (claims_at, LEASE_END.0 - 3_000..LEASE_END.0 + 15_000, 0_u64..20_000).prop_map(
        |(claims_at, cut_from, cut_ms)| Other { claims_at, cut_from, cut_to: cut_from + cut_ms },
    )
}

proptest! {
    /// The claimant starts what it inherits once no order of the owner before can arrive, counted from
    /// its claim.
    #[test]
    fn no_owner_acts_for_longer_after_a_claim_than_the_claimant_waits(
        others in prop::collection::vec(other(), 1..6),
    ) {
        let first_claim = others.iter().filter_map(|other| other.claims_at).min();
        prop_assume!(first_claim.is_some());
        let claimed = Timestamp(first_claim.unwrap_or_default());

        let until = LEASE_END + Span(40_000);
        let end = ask_until(until, |asked| others.iter().map(|one| one.word(asked)).collect());

        let latest = claimed + Permission::orders_after_claim(LEASE_TTL);
        prop_assert!(end <= latest, "{} after {}", end, latest);
    }
}
