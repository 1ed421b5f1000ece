use indexmap::IndexSet;

use super::{
    super::{
        FleetRecord, Vm, Wave,
        tests::{config, load, maintained_vms, pool, vm, vm_id, worker},
    },
    *,
};

/// A fleet with a VM in each of two pools, and the wave of the first one.
fn fleet() -> Fleet {
    let record = FleetRecord { is_complete: true, ..FleetRecord::default() };
    let mut fleet = Fleet::new(config(), record, (Timestamp(1_000), 1_000));
    list_vms(&mut fleet, vec![vm(0, &pool("desk")), vm(1, &pool("till"))]);
    let vms = IndexSet::from([vm_id(0)]);
    fleet.add_waves(vec![Wave { number: 1, vms, max_down: 1, deadline: Timestamp(60_000) }]);
    for cell in ["desk", "till"] {
        let number = fleet.on_instruction(&pool(cell), &IndexMap::new());
        let report = (load(0, 0), Vec::new());
        fleet.on_instruction_answered(&pool(cell), number, report, Timestamp(1_000));
    }
    fleet
}

fn list_vms(fleet: &mut Fleet, vms: Vec<Vm>) {
    fleet.set_vms(vms, false, Timestamp(1_000));
}

/// Sends the instruction that is due to a cell, and returns its number and whether it asks to drain the
/// worker of the first VM.
fn instruct(fleet: &mut Fleet, cell: &str, now: Timestamp) -> (InstructionNumber, bool) {
    let cell = pool(cell);
    let drains = fleet.drain_requests(now).shift_remove(&cell).unwrap_or_default();
    (fleet.on_instruction(&cell, &drains), drains.contains_key(&worker(0)))
}

/// Lets a cell answer that the worker of the first VM is drained.
fn answer(fleet: &mut Fleet, cell: &str, number: InstructionNumber, now: Timestamp) {
    fleet.on_instruction_answered(&pool(cell), number, (load(0, 0), vec![worker(0)]), now);
}

/// Drops all plans, as for a VM that a list lacks.
fn drop_plans(fleet: &mut Fleet) {
    fleet.planned_orders.clear();
}

/// The VMs whose maintenance is ordered at this time.
fn orders_at(fleet: &mut Fleet, now: Timestamp) -> Vec<crate::VmId> {
    fleet.tick(now);
    maintained_vms(&fleet.take_actions())
}

/// Guards against an order that ends tasks: an instruction has released the worker meanwhile, and
/// the report that says so was lost.
#[test]
fn a_report_from_before_a_worker_was_released_does_not_make_it_drained() {
    let mut fleet = fleet();
    fleet.tick(Timestamp(1_100));
    let (first, is_asked) = instruct(&mut fleet, "desk", Timestamp(1_100));
    answer(&mut fleet, "desk", first, Timestamp(1_110));
    drop_plans(&mut fleet);
    let (_, is_still_asked) = instruct(&mut fleet, "desk", Timestamp(1_300));

    let on_old_report = orders_at(&mut fleet, Timestamp(1_500));
    let (third, is_asked_again) = instruct(&mut fleet, "desk", Timestamp(1_500));
    let meanwhile = orders_at(&mut fleet, Timestamp(1_600));
    answer(&mut fleet, "desk", third, Timestamp(1_700));
    let on_new_report = orders_at(&mut fleet, Timestamp(1_700));

    assert_eq!((is_asked, is_still_asked, is_asked_again), (true, false, true));
    assert_eq!((on_old_report, meanwhile), (Vec::new(), Vec::new()));
    assert_eq!(on_new_report, [vm_id(0)]);
}

/// Guards against the same if the answer to the first instruction comes last.
#[test]
fn a_late_answer_to_an_instruction_before_a_release_does_not_make_a_worker_drained() {
    let mut fleet = fleet();
    fleet.tick(Timestamp(1_100));
    let (first, _) = instruct(&mut fleet, "desk", Timestamp(1_100));
    drop_plans(&mut fleet);
    instruct(&mut fleet, "desk", Timestamp(1_300));
    fleet.tick(Timestamp(1_400));
    let (_, is_asked_again) = instruct(&mut fleet, "desk", Timestamp(1_500));

    answer(&mut fleet, "desk", first, Timestamp(1_600));
    let ordered = orders_at(&mut fleet, Timestamp(1_600));

    assert!(is_asked_again);
    assert_eq!(ordered, []);
}

/// While each instruction asks for it, a report counts also after the next instruction was sent.
#[test]
fn a_report_counts_while_each_later_instruction_asks_for_the_worker() {
    let mut fleet = fleet();
    fleet.tick(Timestamp(1_100));
    let (first, _) = instruct(&mut fleet, "desk", Timestamp(1_100));
    instruct(&mut fleet, "desk", Timestamp(1_300));

    answer(&mut fleet, "desk", first, Timestamp(1_400));
    let ordered = orders_at(&mut fleet, Timestamp(1_400));

    assert_eq!(ordered, [vm_id(0)]);
}

/// Guards against an order that ends tasks: a worker keeps its id in its new pool, whose cell was never
/// asked to drain it.
#[test]
fn the_report_of_another_cell_does_not_make_a_worker_drained() {
    let mut fleet = fleet();
    fleet.tick(Timestamp(1_100));
    let (first, _) = instruct(&mut fleet, "desk", Timestamp(1_100));
    answer(&mut fleet, "desk", first, Timestamp(1_110));
    drop_plans(&mut fleet);
    let (till, _) = instruct(&mut fleet, "till", Timestamp(1_110));
    fleet.on_instruction_answered(&pool("till"), till, (load(0, 0), Vec::new()), Timestamp(1_120));
    list_vms(&mut fleet, vec![vm(0, &pool("till")), vm(1, &pool("till"))]);

    let ordered = orders_at(&mut fleet, Timestamp(1_200));

    assert_eq!(ordered, []);
}

/// Guards against an order that ends tasks: the queue that a pool was given may have begun some there.
#[test]
fn a_pool_that_has_got_a_cell_is_asked_before_its_workers_count_as_drained() {
    let mut fleet = fleet();
    fleet.tick(Timestamp(1_100));
    let drains = IndexMap::from([(worker(0), DrainMode::WaitForRuns)]);
    fleet.on_pool_without_cell(&pool("desk"), drains, Timestamp(1_100));
    let (first, _) = instruct(&mut fleet, "desk", Timestamp(1_300));

    let before_answer = orders_at(&mut fleet, Timestamp(1_300));
    answer(&mut fleet, "desk", first, Timestamp(1_400));
    let after_answer = orders_at(&mut fleet, Timestamp(1_400));

    assert_eq!(before_answer, []);
    assert_eq!(after_answer, [vm_id(0)]);
}
