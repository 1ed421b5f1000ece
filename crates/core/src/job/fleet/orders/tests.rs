//! Orders about VMs to which the platform gives no answer, or few.

use indexmap::{IndexMap, IndexSet};

use super::*;
use crate::job::{
    FleetRecord, Load,
    fleet::tests::{config, load, moves, pool, vm, worker},
};

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
    open: IndexMap<VmId, Timestamp>,
}

impl Answers {
    fn new(answered: u32) -> Self {
        Self { answered, sent: 0, open: IndexMap::new() }
    }

    fn answer(&mut self, fleet: &mut Fleet, now: Timestamp) {
        let open = std::mem::take(&mut self.open);
        let (over, open): (IndexMap<_, _>, _) = open.into_iter().partition(|(_, at)| now >= *at);
        self.open = open;
        for vm_id in over.keys() {
            fleet.on_order_outcome(vm_id, OrderOutcome::Unknown, now);
        }
        for (vm_id, _) in moves(&fleet.take_actions()) {
            self.sent += 1;
            if self.sent == self.answered {
                fleet.on_order_outcome(&vm_id, OrderOutcome::Accepted, now);
            } else {
                self.open.insert(vm_id, now + CALL_TIMEOUT);
            }
        }
    }
}

/// A fleet of two VMs of an idle pool, of which it needs one, and one on standby.
fn fleet() -> Fleet {
    let spare = pool("spare");
    let record = FleetRecord { is_complete: true, ..FleetRecord::default() };
    let mut fleet = Fleet::new(config(), record, (Timestamp(1_000), 1_000));
    let vms = vec![vm(0, &pool("desk")), vm(1, &pool("desk")), vm(2, &spare)];
    fleet.set_vms(vms, false, Timestamp(1_000));
    fleet.set_standby_pools(IndexSet::from([spare]));
    fleet
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

/// Whether the pool's cell is to drain the worker of the VM that is moved first.
fn is_drained(fleet: &Fleet, now: Timestamp) -> bool {
    let drains = fleet.drain_requests(now);
    drains.get(&pool("desk")).is_some_and(|drains| drains.contains_key(&worker(0)))
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
