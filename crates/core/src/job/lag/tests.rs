use super::*;

const INTERVAL: Span = Span(100);

/// Runs a monitor on timers that fire this late, one after the other; returns it and the end time.
fn monitor(lateness_ms: &[u64]) -> (LagMonitor, Timestamp) {
    let mut monitor = LagMonitor::default();
    let mut now = Timestamp(1_000);
    for &lateness in lateness_ms {
        let deadline = now + INTERVAL;
        now = deadline + Span(lateness);
        monitor.record_timer(deadline, now);
    }
    (monitor, now)
}

#[test]
fn a_node_whose_timers_keep_firing_late_lags() {
    let (monitor, now) = monitor(&[5, 300, 10, 250, 400, 300]);

    assert!(monitor.is_lagging(now));
}

#[test]
fn a_node_that_was_paused_once_does_not_lag() {
    let (monitor, now) = monitor(&[5, 5, 3_000, 5, 5]);

    assert!(!monitor.is_lagging(now));
}

#[test]
fn a_node_lags_no_more_once_its_timers_have_been_on_time_for_a_while() {
    let late_then_on_time: Vec<u64> = [300; 8].into_iter().chain([0; 60]).collect();
    let (monitor, now) = monitor(&late_then_on_time);

    assert!(!monitor.is_lagging(now));
}

#[test]
fn a_node_still_counts_as_lagging_just_after_its_timers_are_on_time_again() {
    let (monitor, now) = monitor(&[300, 300, 300, 300, 0, 0, 0, 0, 0, 0]);

    assert!(monitor.is_lagging(now));
}
