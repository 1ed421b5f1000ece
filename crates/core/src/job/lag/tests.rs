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

/// Guards against an owner that is slowed down in a burst and found late: its answers take long
/// seconds before its timers do.
#[test]
fn a_node_whose_answers_take_long_for_two_reports_lags() {
    let mut lag = LagMonitor::default();

    lag.record_answers(Span(414), Timestamp(1_000));
    let after_one = lag.is_lagging(Timestamp(1_000));
    lag.record_answers(Span(551), Timestamp(2_000));

    assert!(!after_one);
    assert!(lag.is_lagging(Timestamp(2_000)));
    assert!(!lag.is_lagging(Timestamp(7_000)));
}

#[test]
fn a_node_that_uses_its_whole_window_of_orders_does_not_lag() {
    let mut lag = LagMonitor::default();

    for second in 1..20 {
        lag.record_answers(Span(200), Timestamp(second * 1_000));
    }
    lag.record_answers(Span(600), Timestamp(21_000));
    lag.record_answers(Span(120), Timestamp(22_000));
    lag.record_answers(Span(600), Timestamp(23_000));

    assert!(!lag.is_lagging(Timestamp(23_000)));
}
