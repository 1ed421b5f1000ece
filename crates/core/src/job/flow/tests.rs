use super::*;
use crate::job::JobId;

const LIMITS: FlowLimits = FlowLimits {
    max_start_bytes: 8 * CALL_BYTES,
    max_starts: 100,
    hold_rate: LinkRate(10 * CALL_BYTES),
    max_hold_burst_bytes: 2 * CALL_BYTES,
    order_rate: OrderRate(100),
};

fn run(number: u64) -> (TaskId, u32) {
    (TaskId { job: JobId(number), occurrence: 0, step: 0, index: 0 }, 1)
}

/// Sends orders to different workers until the window is full and returns their number.
fn fill(window: &mut StartWindow, now: Timestamp) -> u64 {
    fill_from(window, 0, now)
}

/// Like [`fill`], with orders numbered from `first` on.
fn fill_from(window: &mut StartWindow, first: u64, now: Timestamp) -> u64 {
    let mut next = first;
    while window.has_room() {
        window.begin(&format!("w{next}").as_str().into(), run(next), 0, now);
        next += 1;
    }
    next - first
}

#[test]
fn the_limits_follow_the_link_and_the_processor() {
    let small = FlowLimits::new(LinkRate::from_mbps(10.0), 0.12);
    let large = FlowLimits::new(LinkRate::from_mbps(200.0), 0.5);

    assert_eq!((small.max_start_bytes, small.max_starts), (62_500, 60));
    assert_eq!((large.max_start_bytes, large.max_starts), (1_250_000, 250));
    assert_eq!(small.hold_rate, LinkRate(500_000));
    assert_eq!(large.hold_rate, LinkRate(10_000_000));
}

#[test]
fn a_node_without_known_resources_still_sends_one_order_at_a_time() {
    let mut window = StartWindow::new(FlowLimits::new(LinkRate::from_mbps(0.0), 0.0));

    assert_eq!(fill(&mut window, Timestamp(1_000)), 1);
}

#[test]
fn the_window_is_full_until_an_order_has_an_outcome() {
    let mut window = StartWindow::new(LIMITS);

    let count = fill(&mut window, Timestamp(1_000));
    window.end(run(3), false, Timestamp(1_600));

    assert_eq!(count, 8);
    assert!(window.has_room());
}

#[test]
fn an_order_overtaken_by_the_answer_to_a_later_one_leaves_the_window() {
    let mut window = StartWindow::new(LIMITS);
    let count = fill(&mut window, Timestamp(1_000));
    window.end(run(0), true, Timestamp(1_004));
    window.begin(&"other".into(), run(count), 0, Timestamp(1_200));

    window.end(run(count), true, Timestamp(1_204));

    // Seven orders without an answer are left; all of them were sent long before the answered one.
    assert_eq!(fill_from(&mut window, count + 1, Timestamp(1_205)), 8);
}

#[test]
fn orders_without_an_answer_are_bounded_also_outside_the_window() {
    let mut window = StartWindow::new(LIMITS);
    let mut next = 0;

    for round in 0..100 {
        let now = Timestamp(1_000 + round * 200);
        next += fill_from(&mut window, next, now);
        if !window.has_room() {
            // Only the newest order is answered.
            window.end(run(next.saturating_sub(1)), true, now);
        }
    }

    assert!(next <= 100 + 400, "{next}");
}

#[test]
fn a_late_answer_to_an_overtaken_order_does_not_shrink_the_window() {
    let mut window = StartWindow::new(LIMITS);
    window.begin(&"slow".into(), run(0), 0, Timestamp(1_000));
    window.begin(&"quick".into(), run(1), 0, Timestamp(1_200));
    window.end(run(1), true, Timestamp(1_202));

    window.end(run(0), true, Timestamp(1_500));

    assert_eq!(fill_from(&mut window, 2, Timestamp(1_501)), 8);
}

#[test]
fn an_outcome_counts_once() {
    let mut window = StartWindow::new(LIMITS);
    fill(&mut window, Timestamp(1_000));

    window.end(run(3), true, Timestamp(1_002));
    window.end(run(3), true, Timestamp(1_003));
    window.begin(&"w3".into(), run(3), 0, Timestamp(1_004));

    assert!(!window.has_room());
}

#[test]
fn one_worker_gets_few_orders_at_once() {
    let mut window = StartWindow::new(LIMITS);
    let worker = "w".into();

    for number in 0..u64::from(MAX_STARTS_PER_WORKER) {
        window.begin(&worker, run(number), 0, Timestamp(1_000));
    }

    assert_eq!(window.room_at(&worker), 0);
    assert_eq!(window.room_at(&"other".into()), MAX_STARTS_PER_WORKER);
}

#[test]
fn the_window_shrinks_once_per_round_of_slow_answers_and_grows_with_quick_ones() {
    let mut window = StartWindow::new(LIMITS);
    let count = fill(&mut window, Timestamp(1_000));

    for number in 0..count {
        window.end(run(number), true, Timestamp(1_400 + number));
    }
    let shrunk = fill(&mut window, Timestamp(1_500));
    for round in 0..100 {
        let now = Timestamp(2_000 + round * 10);
        for number in 0..count {
            window.end(run(number), true, now);
        }
        fill(&mut window, now);
    }

    assert_eq!(shrunk, 6);
    assert_eq!(window.window_bytes, LIMITS.max_start_bytes);
}

#[test]
fn slow_answers_leave_a_part_of_the_window() {
    let mut window = StartWindow::new(LIMITS);

    for round in 0..50 {
        let sent = Timestamp(1_000 + round * 1_000);
        let count = fill(&mut window, sent);
        (0..count).for_each(|number| window.end(run(number), true, sent + Span(500)));
    }

    assert_eq!(fill(&mut window, Timestamp(60_000)), 2);
}
/// Sends empty holds until the budget is used up and returns their number.
fn spend(budget: &mut HoldBudget) -> u32 {
    let mut count = 0;
    while budget.has_room() {
        budget.take(0);
        count += 1;
    }
    count
}

#[test]
fn holds_are_spread_over_time() {
    let mut budget = HoldBudget::new(LIMITS, Timestamp(1_000));

    let at_once = spend(&mut budget);
    budget.refill(Timestamp(1_100));
    let after_a_tenth = spend(&mut budget);
    budget.refill(Timestamp(11_100));

    assert_eq!((at_once, after_a_tenth), (2, 1));
    assert_eq!(spend(&mut budget), 2);
}

#[test]
fn what_could_not_wait_is_made_up_for() {
    let mut budget = HoldBudget::new(LIMITS, Timestamp(1_000));

    (0..7).for_each(|_| budget.take(0));
    budget.refill(Timestamp(1_500));

    assert!(!budget.has_room());
}
