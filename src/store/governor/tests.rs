use super::*;

fn bucket(per_second: f64, tokens: f64) -> TokenBucket {
    TokenBucket { tokens, refilled: Timestamp(0), ..TokenBucket::new(per_second) }
}

/// Counts the tokens that can be taken within a time.
fn count_taken(priority: Priority, per_second: f64, seconds: u64) -> u32 {
    let mut bucket = bucket(per_second, 0.0);
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
    let mut bucket = bucket(40.0, 10.0);

    while bucket.try_take(Priority::Background, Timestamp(0)).is_ok() {}

    assert!(bucket.try_take(Priority::Vital, Timestamp(0)).is_ok());
}

/// The longest time in which a change of configuration is in force on all nodes, in milliseconds.
const CHANGE_IN_FORCE_MS: u64 = 8_000;

/// When a call of this priority, which keeps to the waits that it is given, takes a token while
/// vital calls take each one that they can.
fn taken_beside_vital_calls(priority: Priority, per_second: f64) -> Option<u64> {
    let mut bucket = TokenBucket::new(per_second);
    let start = bucket.refilled.0;
    let mut next_try = start;
    for now in start..start + CHANGE_IN_FORCE_MS {
        while bucket.try_take(Priority::Vital, Timestamp(now)).is_ok() {}
        if now < next_try {
            continue;
        }
        match bucket.try_take(priority, Timestamp(now)) {
            Ok(()) => return Some(now - start),
            Err(wait) => next_try = now + u64::try_from(wait.as_millis()).unwrap().max(1),
        }
    }
    None
}

#[test]
fn a_move_of_a_vm_is_written_while_intents_use_up_the_rate() {
    for per_second in [2.0, 50.0, 300.0] {
        let taken = taken_beside_vital_calls(Priority::Control, per_second);

        assert!(taken.is_some(), "at {per_second} a second");
    }
}

#[test]
fn a_snapshot_of_the_journal_is_written_while_intents_use_up_the_rate() {
    for per_second in [50.0, 300.0] {
        let taken = taken_beside_vital_calls(Priority::Background, per_second);

        assert!(taken.is_some(), "at {per_second} a second");
    }
}

#[test]
fn calls_of_low_priority_take_a_small_part_from_intents() {
    const PER_SECOND: f64 = 100.0;
    let mut bucket = TokenBucket::new(PER_SECOND);
    let start = bucket.refilled.0;
    let mut taken = [0_u32; 3];
    for now in start..start + 10_000 {
        for (i, priority) in
            [Priority::Background, Priority::Control, Priority::Vital].into_iter().enumerate()
        {
            while bucket.try_take(priority, Timestamp(now)).is_ok() {
                taken[i] += 1;
            }
        }
    }

    assert!(taken[2] >= 800, "{taken:?}");
    assert!(taken[0] + taken[1] <= 200, "{taken:?}");
}

#[tokio::test]
async fn the_metrics_show_how_long_calls_waited_for_the_rate() {
    let metrics = Metrics::new().unwrap();
    let governor = Governor::new((), metrics.clone(), 1, 1);

    governor.admit(CallKind::Write, Priority::Vital).await.unwrap();

    let text = String::from_utf8(metrics.encode()).unwrap();
    assert!(text.contains("teaselgap_store_wait_seconds_count"), "{text}");
    assert!(text.contains("priority=\"vital\""), "{text}");
}

/// Guards against a circuit breaker that stays open for another pause because the call that is to try the store has
/// to leave a token to a waiting call.
#[tokio::test]
async fn the_call_that_tries_the_store_after_a_pause_tries_it_although_a_token_is_kept() {
    let governor = Governor::new((), Metrics::new().unwrap(), 10, 10);
    {
        let now = clock::now();
        let mut state = governor.state();
        state.circuit = CircuitBreaker { failures: MAX_FAILURES, open_until: Some(now) };
        state.writes.tokens = 1.0;
        state.writes.refilled = now;
        state.writes.control =
            WaitingCalls { retry_deadline: now + RETRY_GRACE, passed: MAX_PASSED_CONTROL };
    }

    let admitted = governor.admit(CallKind::Write, Priority::Vital).await;

    assert!(admitted.is_ok(), "{admitted:?}");
}
