//! Orders about VMs to which the platform gives no answer, or few.

use super::*;

/// The interval between two ticks of the fleet.
const TICK: Span = Span(200);

/// How long a call to the platform takes that gets no answer.
const CALL_TIMEOUT: Span = Span(1_500);

/// The platform's answers to orders.
struct Answers {
    /// The number of each order that is answered, counted from 1; none if zero.
    answered: u32,
    sent: u32,
    /// Calls without an answer, each with when that is known.
    open: Vec<(FleetOrder, Timestamp)>,
}

impl Answers {
    fn new(answered: u32) -> Self {
        Self { answered, sent: 0, open: Vec::new() }
    }

    fn answer(&mut self, fleet: &mut Fleet, now: Timestamp) {
        let open = std::mem::take(&mut self.open);
        let (over, open): (Vec<_>, _) = open.into_iter().partition(|(_, at)| now >= *at);
        self.open = open;
        for (order, _) in over {
            fleet.on_order_outcome(order, OrderOutcome::Unknown, now);
        }
        for order in orders(&fleet.take_actions()) {
            assert!(matches!(order.request(), FleetRequest::Move(_)));
            self.sent += 1;
            if self.sent == self.answered {
                fleet.on_order_outcome(order, OrderOutcome::Accepted, now);
            } else {
                self.open.push((order, now + CALL_TIMEOUT));
            }
        }
    }
}

/// Lets the pool's cell report for this time, and drain whatever it is asked to. `is_busy` tells whether it
/// needs both VMs.
fn run(fleet: &mut Fleet, answers: &mut Answers, (from, to): (u64, u64), is_busy: bool) {
    for ms in (from..to).step_by(usize::try_from(TICK.0).unwrap()) {
        let now = Timestamp(ms);
        let drains = fleet.drain_requests(now).shift_remove(&pool("desk")).unwrap_or_default();
        let cores = if is_busy { 128 } else { 0 };
        let spare = vec![worker(0), worker(1)];
        let report = Load { spare, short_running_workers: 2, floor_workers: 1, ..load(cores, 1) };
        fleet.on_cell_report(&pool("desk"), report, drains.into_keys().collect(), now);
        fleet.tick(now);
        answers.answer(fleet, now);
    }
}

/// Guards against a pool that lacks VMs because the platform fell silent as they were to be moved.
#[test]
fn a_move_that_the_platform_never_answers_keeps_its_worker_drained_for_ever() {
    let mut fleet = fleet();
    let mut answers = Answers::new(0);
    run(&mut fleet, &mut answers, (1_000, 8_000), false);
    assert!(answers.sent > 0);
    assert!(is_drained(&fleet, Timestamp(8_000)));

    run(&mut fleet, &mut answers, (8_000, 30_000), true);

    assert!(!is_drained(&fleet, Timestamp(30_000)));
}

#[test]
fn a_move_is_given_up_although_the_platform_answers_one_call_in_three() {
    let mut fleet = fleet();
    let mut answers = Answers::new(3);

    run(&mut fleet, &mut answers, (1_000, 14_000), false);

    assert_eq!(answers.sent, 3);
    assert!(answers.open.is_empty());
}
