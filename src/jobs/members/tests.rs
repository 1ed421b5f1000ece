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
