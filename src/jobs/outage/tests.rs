use teaselgap_core::{Epoch, Incarnation, job::OrderRate};

use super::*;
use crate::jobs::members::{DUTY_PREFIX, MEMBER_PREFIX, Members, NodeRecord};

const DUTY: &str = "cell/shop";

/// Longer than a node that reaches the store goes without an answer of it.
const LONG: Span = Span(5_000);

fn term(epoch: u64) -> Term {
    (DUTY.to_owned(), Epoch(epoch))
}

fn name(node: &str) -> NodeId {
    node.parse().expect("a name")
}

fn record(node: &str) -> Vec<u8> {
    let record = NodeRecord {
        node: name(node),
        incarnation: Incarnation(5),
        address: ([127, 0, 0, 1], 7_000).into(),
        order_rate: OrderRate(500),
    };
    serde_json::to_vec(&record).expect("JSON")
}

fn members(nodes: &[&str]) -> Members {
    let mut members = Members::default();
    for node in nodes {
        members.apply_change(&format!("{MEMBER_PREFIX}{node}"), Some(&record(node)), 1);
    }
    members
}

#[test]
fn a_node_that_may_have_claimed_a_duty_does_not_confirm_that_the_store_is_away() {
    let word = |may_have_claimed| peer_word(Some(StoreWord { age: LONG, may_have_claimed }));

    assert_eq!(word(false), PeerWord::StoreAway);
    assert_eq!(word(true), PeerWord::Denial);
}

#[test]
fn a_claim_whose_outcome_is_not_known_counts_until_it_can_take_effect_no_more() {
    let mut session = Session::default();
    let now = Timestamp(20_000);
    let has_claim = |session: &Session, now| has_claim(session, &term(9), now);
    assert!(!has_claim(&session, now));

    session.claiming.insert(DUTY.to_owned());
    assert!(has_claim(&session, now));

    session.claiming.clear();
    session.open_claims.insert(DUTY.to_owned(), now + LONG);
    assert!(has_claim(&session, now));
    assert!(!has_claim(&session, now + LONG));
}

#[test]
fn a_node_that_has_read_of_a_later_term_may_not_confirm_an_earlier_one() {
    let mut members = members(&["n1", "n2"]);
    members.apply_change(&format!("{DUTY_PREFIX}{DUTY}"), Some(&record("n2")), 12);

    assert!(members.has_later_term(DUTY, Epoch(9)));
    assert!(!members.has_later_term(DUTY, Epoch(12)));
    assert!(!members.has_later_term("fleet", Epoch(9)));
}

/// After an outage in which all leases have expired, the first node that reads the store finds nobody
/// else registered.
#[test]
fn nodes_whose_registrations_have_expired_are_still_asked() {
    let mut members = members(&["n1", "n2", "n3"]);

    members.replace_all(&[], 40);
    let asked = members.possible_claimants(&name("n1"));

    let names: Vec<&str> = asked.iter().map(|(node, _)| node.as_str()).collect();
    assert_eq!(names, ["n2", "n3"]);
}

/// A node that has lost its registration may register, and claim, while this one can't read the store.
#[test]
fn a_node_whose_registration_has_expired_is_forgotten_only_while_the_store_is_read() {
    let mut members = members(&["n1", "n2"]);
    members.replace_all(&[], 40);
    let now = clock::now();

    members.record_reading(now + Span(29_000));
    let still_asked = members.possible_claimants(&name("n1"));
    members.record_reading(now + Span(31_000));
    let later = members.possible_claimants(&name("n1"));

    assert_eq!(still_asked.len(), 1);
    assert!(later.is_empty(), "{later:?}");
}

/// The key of a duty is deleted when its owner hands it over or loses its lease.
#[test]
fn a_later_term_that_is_over_still_denies_an_earlier_one() {
    let mut members = members(&["n1", "n2"]);
    let key = format!("{DUTY_PREFIX}{DUTY}");
    members.apply_change(&key, Some(&record("n2")), 12);

    members.apply_change(&key, None, 13);

    assert!(members.has_later_term(DUTY, Epoch(9)));
}

#[test]
fn a_node_that_registers_again_is_asked_once() {
    let mut members = members(&["n1", "n2"]);

    members.apply_change(&format!("{MEMBER_PREFIX}n2"), None, 2);
    members.apply_change(&format!("{MEMBER_PREFIX}n2"), Some(&record("n2")), 3);

    assert_eq!(members.possible_claimants(&name("n1")).len(), 1);
}
