use super::*;

#[test]
fn requests_beyond_the_bound_are_not_added() {
    let mut pending = PendingReplies::default();

    for _ in 0..5_000 {
        let _ = pending.insert(oneshot::channel().0);
    }

    assert!(pending.len() <= 1_000, "{}", pending.len());
}
