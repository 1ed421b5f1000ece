use proptest::prelude::*;

use super::*;

const CFG: Config = Config { min_timeout: Span(10), max_timeout: Span(1_000) };

#[test]
fn the_timeout_approaches_a_steady_round_trip_time() {
    let mut estimator = RttEstimator::default();
    for _ in 0..50 {
        estimator.record(Span(20));
    }

    assert!(estimator.timeout(CFG) <= Span(25), "{}", estimator.timeout(CFG));
}

#[test]
fn the_timeout_adapts_to_a_slower_link_after_a_few_timeouts() {
    let mut estimator = RttEstimator::default();
    for _ in 0..50 {
        estimator.record(Span(2));
    }

    let mut timeouts = 0;
    while estimator.timeout(CFG) < Span(300) {
        estimator.record_timeout(CFG);
        timeouts += 1;
    }

    assert!(timeouts <= 10, "{timeouts}");
}

proptest! {
    #[test]
    fn a_timeout_stays_within_its_bounds(rtts in prop::collection::vec(0..100_000_u64, 0..50)) {
        let mut estimator = RttEstimator::default();
        for rtt in rtts {
            estimator.record(Span(rtt));
            let timeout = estimator.timeout(CFG);
            prop_assert!(timeout >= CFG.min_timeout && timeout <= CFG.max_timeout);
        }
    }
}
