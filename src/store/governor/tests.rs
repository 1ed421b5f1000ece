use super::*;

/// Counts the tokens that can be taken within a time.
fn count_taken(priority: Priority, per_second: f64, seconds: u64) -> u32 {
    let mut bucket = TokenBucket { per_second, tokens: 0.0, refilled: Timestamp(0) };
    let mut taken = 0;
    for ms in 0..seconds * 1_000 {
        while bucket.try_take(priority, Timestamp(ms)).is_ok() {
            taken += 1;
        }
    }
    taken
}

#[test]
fn a_token_bucket_never_exceeds_its_rate() {
    let taken = count_taken(Priority::Vital, 50.0, 10);

    assert!((490..=500).contains(&taken), "{taken}");
}

#[test]
fn background_calls_leave_a_reserve_for_vital_calls() {
    let mut bucket = TokenBucket { per_second: 40.0, tokens: 10.0, refilled: Timestamp(0) };

    while bucket.try_take(Priority::Background, Timestamp(0)).is_ok() {}

    assert!(bucket.try_take(Priority::Vital, Timestamp(0)).is_ok());
}
