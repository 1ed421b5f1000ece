use super::*;

const DUTY: &str = "cell/drums";

/// Members that were told of terms of [`DUTY`] at the epochs from 1 on, each 100 ms after the one before.
fn members_with_claims(count: u64) -> Members {
    let mut members = Members::default();
    for epoch in 1..=count {
        members.record_claim(DUTY, Epoch(epoch), Timestamp(100 * epoch));
    }
    members
}

/// Guards against a wait that is counted anew from each reading of the store.
#[test]
fn a_claim_that_is_seen_again_counts_from_then() {
    let mut members = members_with_claims(1);

    members.record_claim(DUTY, Epoch(1), Timestamp(900));

    assert_eq!(members.claims(DUTY), [(Epoch(1), Timestamp(100))]);
}

#[test]
fn the_claims_of_a_duty_are_remembered_without_a_bound() {
    let members = members_with_claims(20);

    let claims = members.claims(DUTY);

    assert_eq!(claims.len(), 8);
    assert_eq!(claims.first(), Some(&(Epoch(13), Timestamp(1_300))));
    assert_eq!(claims.last(), Some(&(Epoch(20), Timestamp(2_000))));
}

#[test]
fn a_claim_in_the_store_is_not_remembered_once_its_key_is_deleted() {
    let mut members = Members::default();
    let record = NodeRecord {
        node: "n1".parse().unwrap(),
        incarnation: Incarnation(5),
        address: ([127, 0, 0, 1], 7_000).into(),
        order_rate: OrderRate(500),
    };
    let key = format!("{DUTY_PREFIX}{DUTY}");

    members.apply_change(&key, Some(&serde_json::to_vec(&record).unwrap()), 12);
    members.apply_change(&key, None, 13);

    let epochs: Vec<Epoch> = members.claims(DUTY).into_iter().map(|(epoch, _)| epoch).collect();
    assert_eq!(epochs, [Epoch(12)]);
}

/// The record of this process of a node.
fn record_of(node: &str, incarnation: u64) -> NodeRecord {
    NodeRecord {
        node: node.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        address: ([127, 0, 0, 1], 7_000).into(),
        order_rate: OrderRate(500),
    }
}

/// Members of which `n1` has claimed [`DUTY`] at revision 9 after process 5 of `n2`, whose claim was of revision 5.
fn members_of_n1() -> Members {
    let mut members = Members::default();
    members.record_owner(DUTY, record_of("n2", 5), 5);
    members.record_owner(DUTY, record_of("n1", 1), 9);
    members
}

/// The term that is known to have ended once process 6 of `n2` has registered.
fn ended_once_restarted(mut members: Members) -> Option<Epoch> {
    let value = serde_json::to_vec(&record_of("n2", 6)).unwrap();
    members.apply_change(&format!("{MEMBER_PREFIX}n2"), Some(&value), 12);
    members.ended_predecessor(DUTY, &record_of("n1", 1))
}

#[test]
fn a_claim_that_a_reading_of_all_members_lacks_counts_as_the_term_before_it() {
    let mut members = members_of_n1();

    members.replace_all(&[], 8);

    assert_eq!(ended_once_restarted(members), Some(Epoch(5)));
}

/// The last pages of a reading may be newer than its revision, after which changes are followed.
#[test]
fn a_claim_counts_as_the_term_before_it_when_changes_before_it_are_read() {
    let key = format!("{DUTY_PREFIX}{DUTY}");
    let earlier = serde_json::to_vec(&record_of("n2", 5)).unwrap();
    let mut members = members_of_n1();

    members.apply_change(&key, Some(&earlier), 5);
    members.apply_change(&key, None, 7);

    assert_eq!(members.owners[DUTY].1, 9);
    assert_eq!(ended_once_restarted(members), Some(Epoch(5)));
}
