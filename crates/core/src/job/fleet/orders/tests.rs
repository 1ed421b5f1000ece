//! Answers to orders about VMs, and the lists that orders rest on.

mod silence;

use indexmap::IndexSet;

use super::*;
use crate::job::{
    FleetAction, FleetRecord, Load, Wave,
    fleet::tests::{config, load, maintained_vms, orders, pool, vm, vm_id, vms_of, worker},
};

/// A fleet of two VMs of an idle pool, of which it needs one, and one on standby.
fn fleet() -> Fleet {
    let record = FleetRecord { is_complete: true, ..FleetRecord::default() };
    let mut fleet = Fleet::new(config(), record, (Timestamp(1_000), 1_000));
    fleet.set_vms(fleet_vms(), false, Timestamp(1_000));
    fleet.set_standby_pools(IndexSet::from([pool("spare")]));
    fleet
}

fn fleet_vms() -> Vec<Vm> {
    vec![vm(0, &pool("desk")), vm(1, &pool("desk")), vm(2, &pool("spare"))]
}

/// Whether the pool's cell is to drain the worker of the VM that is moved first.
fn is_drained(fleet: &Fleet, now: Timestamp) -> bool {
    let drains = fleet.drain_requests(now);
    drains.get(&pool("desk")).is_some_and(|drains| drains.contains_key(&worker(0)))
}

/// Answers an order.
fn answer(fleet: &mut Fleet, order: &FleetOrder, outcome: OrderOutcome, now: Timestamp) {
    fleet.on_order_outcome(order.clone(), outcome, now);
}

/// Plans an order about a VM.
fn plan(fleet: &mut Fleet, number: usize, purpose: Purpose, now: Timestamp) {
    fleet.planned_orders.insert(vm_id(number), PlannedOrder::new(purpose, now, Span(4_000)));
}

/// Lets the cell of the pool report these workers as drained, and returns the orders that are sent then.
fn sent_once_drained(fleet: &mut Fleet, drained: &[usize], now: Timestamp) -> Vec<FleetOrder> {
    let drained = drained.iter().map(|&number| worker(number)).collect();
    let idle = Load { floor_workers: 0, ..load(0, 0) };
    fleet.on_cell_report(&pool("desk"), idle, drained, now);
    fleet.tick(now);
    orders(&fleet.take_actions())
}

fn wave(vms: &[usize], max_down: u32) -> Wave {
    let vms = vms.iter().map(|&number| vm_id(number)).collect();
    Wave { number: 1, vms, max_down, deadline: Timestamp(10_000) }
}

/// The list of VMs once the one on standby is in the pool.
fn vms_after_move() -> Vec<Vm> {
    (0..3).map(|number| vm(number, &pool("desk"))).collect()
}

/// Returns a fleet that has sent the order to move the VM on standby to the pool at 1,000 ms, and the order.
fn fleet_with_sent_move() -> (Fleet, FleetOrder) {
    let mut fleet = fleet();
    plan(&mut fleet, 2, Purpose::Move(pool("desk")), Timestamp(1_000));
    let mut sent = sent_once_drained(&mut fleet, &[], Timestamp(1_000));
    assert_eq!(vms_of(&sent), [vm_id(2)]);
    (fleet, sent.remove(0))
}

/// Returns a fleet that has sent the order to maintain the first of these VMs at 1,000 ms, and the order. The
/// others of the wave, of which one may be down at once, are drained and wait for their turn.
fn fleet_with_sent_maintenance(vms: &[usize]) -> (Fleet, FleetOrder) {
    let mut fleet = fleet();
    fleet.add_waves(vec![wave(vms, 1)]);
    for &number in vms {
        plan(&mut fleet, number, Purpose::Maintain(1), Timestamp(1_000));
    }
    let mut sent = sent_once_drained(&mut fleet, vms, Timestamp(1_000));
    assert_eq!(vms_of(&sent), [vm_id(vms[0])]);
    (fleet, sent.remove(0))
}

/// Whether the actions report the wave as finished.
fn is_reported_as_finished(actions: &[FleetAction]) -> bool {
    let is_finished =
        |action: &FleetAction| matches!(action, FleetAction::ReportWave { finished: true, .. });
    actions.iter().any(is_finished)
}

/// Issue 62.
#[test]
fn the_answer_to_a_finished_move_counts_as_maintenance_that_was_never_ordered() {
    let (mut fleet, order) = fleet_with_sent_move();
    fleet.set_vms(vms_after_move(), false, Timestamp(3_000));
    fleet.add_waves(vec![wave(&[2], 1)]);
    let sent = sent_once_drained(&mut fleet, &[], Timestamp(3_010));
    assert_eq!(sent, []);
    let is_planned = fleet.planned_orders.contains_key(&vm_id(2));
    assert!(is_planned);

    answer(&mut fleet, &order, OrderOutcome::Accepted, Timestamp(3_050));
    let idle = Load { floor_workers: 0, ..load(0, 0) };
    fleet.on_cell_report(&pool("desk"), idle, vec![worker(2)], Timestamp(3_200));
    fleet.tick(Timestamp(3_200));
    let actions = fleet.take_actions();

    assert!(!is_reported_as_finished(&actions));
    assert_eq!(maintained_vms(&actions), [vm_id(2)]);
}

#[test]
fn the_answer_to_a_finished_move_counts_as_a_vm_that_is_down_for_a_wave() {
    let (mut fleet, order) = fleet_with_sent_move();
    fleet.set_vms(vms_after_move(), false, Timestamp(3_000));
    fleet.add_waves(vec![wave(&[1, 2], 1)]);
    plan(&mut fleet, 1, Purpose::Maintain(1), Timestamp(3_000));
    plan(&mut fleet, 2, Purpose::Maintain(1), Timestamp(3_000));

    answer(&mut fleet, &order, OrderOutcome::Accepted, Timestamp(3_050));
    let sent = sent_once_drained(&mut fleet, &[1], Timestamp(3_200));

    assert_eq!(vms_of(&sent), [vm_id(1)]);
}

#[test]
fn the_refusal_of_an_old_move_ends_the_doubt_about_maintenance_under_way() {
    let (mut fleet, order) = fleet_with_sent_move();
    fleet.set_vms(vms_after_move(), false, Timestamp(3_000));
    fleet.add_waves(vec![wave(&[1, 2], 1)]);
    plan(&mut fleet, 2, Purpose::Maintain(1), Timestamp(3_000));
    plan(&mut fleet, 1, Purpose::Maintain(1), Timestamp(3_000));
    let first = sent_once_drained(&mut fleet, &[1, 2], Timestamp(3_200));

    answer(&mut fleet, &order, OrderOutcome::Busy, Timestamp(3_250));
    let second = sent_once_drained(&mut fleet, &[1, 2], Timestamp(3_400));

    assert_eq!(vms_of(&first), [vm_id(2)]);
    assert_eq!(vms_of(&second), []);
}

#[test]
fn an_old_move_without_an_answer_sends_maintenance_again_that_is_under_way() {
    let (mut fleet, order) = fleet_with_sent_move();
    fleet.set_vms(vms_after_move(), false, Timestamp(3_000));
    fleet.add_waves(vec![wave(&[2], 1)]);
    plan(&mut fleet, 2, Purpose::Maintain(1), Timestamp(3_000));
    let first = sent_once_drained(&mut fleet, &[2], Timestamp(3_200));

    answer(&mut fleet, &order, OrderOutcome::Unknown, Timestamp(3_250));
    let second = sent_once_drained(&mut fleet, &[2], Timestamp(3_800));

    assert_eq!(vms_of(&first), [vm_id(2)]);
    assert_eq!(vms_of(&second), []);
}

/// 0008, Open 3.
#[test]
fn maintenance_without_an_answer_does_not_count_as_down_once_its_next_copy_is_refused() {
    let (mut fleet, first) = fleet_with_sent_maintenance(&[0, 1]);
    answer(&mut fleet, &first, OrderOutcome::Unknown, Timestamp(2_500));
    let again = sent_once_drained(&mut fleet, &[0, 1], Timestamp(3_000));
    assert_eq!(vms_of(&again), [vm_id(0)]);

    answer(&mut fleet, &again[0], OrderOutcome::Busy, Timestamp(3_100));
    let meanwhile = sent_once_drained(&mut fleet, &[0, 1], Timestamp(3_300));
    // The first copy may take effect until 5,500 ms, and no list has been asked for since then.
    let before_list = sent_once_drained(&mut fleet, &[1], Timestamp(5_600));
    fleet.set_vms(fleet_vms(), false, Timestamp(5_700));
    let after_list = sent_once_drained(&mut fleet, &[1], Timestamp(5_800));

    assert_eq!(vms_of(&meanwhile), []);
    assert_eq!(vms_of(&before_list), []);
    assert_eq!(vms_of(&after_list), [vm_id(1)]);
}

#[test]
fn a_vm_that_one_list_lacks_does_not_count_as_down_though_its_maintenance_is_under_way() {
    let (mut fleet, _) = fleet_with_sent_maintenance(&[0, 1]);

    fleet.set_vms(fleet_vms()[1..].to_vec(), false, Timestamp(1_200));
    let sent = sent_once_drained(&mut fleet, &[0, 1], Timestamp(1_200));

    assert_eq!(vms_of(&sent), []);
}

#[test]
fn accepted_maintenance_of_a_vm_that_one_list_lacked_is_ordered_again() {
    let (mut fleet, order) = fleet_with_sent_maintenance(&[0]);
    fleet.set_vms(fleet_vms()[1..].to_vec(), true, Timestamp(1_200));
    let unlisted = sent_once_drained(&mut fleet, &[0, 1], Timestamp(1_200));

    answer(&mut fleet, &order, OrderOutcome::Accepted, Timestamp(1_300));
    fleet.set_vms(fleet_vms(), false, Timestamp(1_400));
    let listed = sent_once_drained(&mut fleet, &[0, 1], Timestamp(1_600));
    let back = sent_once_drained(&mut fleet, &[0, 1], Timestamp(3_800));

    assert_eq!(vms_of(&unlisted), []);
    assert_eq!(vms_of(&listed), []);
    assert_eq!(vms_of(&back), []);
    assert!(fleet.record.begun[&1].contains(&vm_id(0)));
}

#[test]
fn maintenance_is_ordered_while_a_copy_of_a_dropped_move_may_still_move_its_vm() {
    let (mut fleet, first) = fleet_with_sent_move();
    answer(&mut fleet, &first, OrderOutcome::Unknown, Timestamp(2_500));
    let again = sent_once_drained(&mut fleet, &[], Timestamp(3_000));
    answer(&mut fleet, &again[0], OrderOutcome::Busy, Timestamp(3_100));
    fleet.add_waves(vec![wave(&[2], 1)]);
    // A list from before the end of the doubt, and one from after it.
    fleet.set_vms(fleet_vms(), false, Timestamp(3_300));
    plan(&mut fleet, 2, Purpose::Maintain(1), Timestamp(3_300));
    fleet.on_cell_report(&pool("spare"), Load::default(), vec![worker(2)], Timestamp(3_300));

    let early = sent_once_drained(&mut fleet, &[], Timestamp(3_400));
    fleet.set_vms(fleet_vms(), false, Timestamp(5_600));
    let late = sent_once_drained(&mut fleet, &[], Timestamp(5_700));

    assert_eq!(vms_of(&early), []);
    assert_eq!(vms_of(&late), [vm_id(2)]);
}

#[test]
fn a_vm_is_moved_on_while_a_copy_of_its_last_move_may_move_it_back() {
    let (mut fleet, order) = fleet_with_sent_move();
    fleet.set_vms(vms_after_move(), false, Timestamp(3_000));
    plan(&mut fleet, 2, Purpose::Move(pool("spare")), Timestamp(3_010));

    let early = sent_once_drained(&mut fleet, &[2], Timestamp(3_200));
    answer(&mut fleet, &order, OrderOutcome::Unknown, Timestamp(3_300));
    let open = sent_once_drained(&mut fleet, &[2], Timestamp(6_200));
    let closed = sent_once_drained(&mut fleet, &[2], Timestamp(6_400));

    assert_eq!(vms_of(&early), []);
    assert_eq!(vms_of(&open), []);
    assert_eq!(vms_of(&closed), [vm_id(2)]);
}

#[test]
fn a_wave_that_takes_over_a_move_takes_its_open_copy_for_one_of_the_maintenance() {
    let (mut fleet, first) = fleet_with_sent_move();
    answer(&mut fleet, &first, OrderOutcome::Unknown, Timestamp(2_500));
    let again = sent_once_drained(&mut fleet, &[], Timestamp(3_000));
    answer(&mut fleet, &again[0], OrderOutcome::Busy, Timestamp(3_100));
    // No list is asked for until the doubt ends, so that the VM needs a report to count as drained.
    fleet.on_cell_report(&pool("spare"), Load::default(), vec![worker(2)], Timestamp(3_600));
    fleet.waves.insert(1, wave(&[2], 1));

    let early = fleet.take_due_orders(Timestamp(3_600));
    let is_taken_over = fleet.planned_orders[&vm_id(2)].purpose == Purpose::Maintain(1);
    fleet.on_cell_report(&pool("spare"), Load::default(), vec![worker(2)], Timestamp(5_500));
    let on_old_list = fleet.take_due_orders(Timestamp(5_500));
    fleet.set_vms(fleet_vms(), false, Timestamp(5_500));
    let on_new_list = fleet.take_due_orders(Timestamp(5_500));

    assert_eq!(early, []);
    assert!(is_taken_over);
    assert_eq!(on_old_list, []);
    assert_eq!(vms_of(&on_new_list), [vm_id(2)]);
}

#[test]
fn a_wave_under_a_slow_api_waits_for_the_answer_to_a_finished_move() {
    let (mut fleet, _) = fleet_with_sent_move();
    fleet.set_vms(vms_after_move(), false, Timestamp(3_000));
    fleet.add_waves(vec![wave(&[2], 1)]);
    sent_once_drained(&mut fleet, &[], Timestamp(3_010));

    let sent = sent_once_drained(&mut fleet, &[2], Timestamp(3_200));

    assert_eq!(vms_of(&sent), [vm_id(2)]);
}

#[test]
fn a_list_that_was_asked_for_before_a_move_was_sent_ends_it() {
    let (mut fleet, order) = fleet_with_sent_move();
    fleet.set_vms(vms_after_move(), false, Timestamp(900));
    answer(&mut fleet, &order, OrderOutcome::Busy, Timestamp(1_200));
    fleet.set_vms(fleet_vms(), false, Timestamp(1_300));

    let again = sent_once_drained(&mut fleet, &[], Timestamp(1_700));

    assert_eq!(vms_of(&again), [vm_id(2)]);
}

#[test]
fn a_worker_is_not_drained_while_an_order_may_stop_it_as_one_list_lacks_its_vm() {
    let (mut fleet, order) = fleet_with_sent_maintenance(&[0, 1]);
    let all = fleet_vms();
    fleet.set_vms(all[1..].to_vec(), false, Timestamp(1_200));
    fleet.tick(Timestamp(1_200));
    let unlisted = is_drained(&fleet, Timestamp(1_250));
    answer(&mut fleet, &order, OrderOutcome::Unknown, Timestamp(2_500));
    let unanswered = is_drained(&fleet, Timestamp(5_400));
    fleet.tick(Timestamp(5_600));
    let closed = is_drained(&fleet, Timestamp(5_600));

    assert!(unlisted);
    assert!(unanswered);
    assert!(!closed);
}

#[test]
fn a_new_worker_is_not_drained_although_the_order_for_the_one_before_may_stop_it() {
    let (mut fleet, _) = fleet_with_sent_maintenance(&[0]);
    fleet.set_vms(fleet_vms()[1..].to_vec(), true, Timestamp(1_200));
    fleet.tick(Timestamp(1_200));

    let restarted = Vm { worker: Some(worker(9)), ..vm(0, &pool("desk")) };
    fleet.set_vms(vec![restarted], false, Timestamp(1_400));
    let drains = fleet.drain_requests(Timestamp(1_400));

    assert!(drains[&pool("desk")].contains_key(&worker(9)));
}

#[test]
fn a_handover_leaves_out_a_vm_whose_order_may_still_take_effect() {
    let (mut fleet, order) = fleet_with_sent_maintenance(&[0, 1]);
    answer(&mut fleet, &order, OrderOutcome::Unknown, Timestamp(2_500));

    // The order may take effect until 5,500 ms, more than 3,000 ms after it was sent.
    let record = fleet.handover_record(Timestamp(4_500), 4_500);

    assert!(record.ordered.contains_key(&vm_id(0)));
    assert_eq!(record.ordered[&vm_id(0)], 2_500);
}

#[test]
fn a_handover_leaves_out_a_vm_whose_order_has_no_answer_yet() {
    let (fleet, _) = fleet_with_sent_maintenance(&[0, 1]);

    let record = fleet.handover_record(Timestamp(4_500), 4_500);

    assert_eq!(record.ordered.get(&vm_id(0)), Some(&4_500));
}

#[test]
fn a_second_answer_to_an_order_counts() {
    let (mut fleet, order) = fleet_with_sent_maintenance(&[0]);

    answer(&mut fleet, &order, OrderOutcome::Busy, Timestamp(1_100));
    answer(&mut fleet, &order, OrderOutcome::Accepted, Timestamp(1_200));

    assert!(fleet.record.begun.is_empty());
    assert!(fleet.planned_orders.contains_key(&vm_id(0)));
}

#[test]
fn a_vm_that_one_list_lacked_as_its_move_was_accepted_counts_as_present() {
    let (mut fleet, order) = fleet_with_sent_move();
    fleet.set_vms(fleet_vms()[..2].to_vec(), false, Timestamp(1_200));
    let unlisted = sent_once_drained(&mut fleet, &[], Timestamp(1_200));

    answer(&mut fleet, &order, OrderOutcome::Accepted, Timestamp(1_300));
    fleet.add_waves(vec![wave(&[2], 1)]);
    // The list is from before the move.
    fleet.set_vms(fleet_vms(), false, Timestamp(1_250));
    let listed = sent_once_drained(&mut fleet, &[], Timestamp(1_400));

    assert_eq!(vms_of(&unlisted), []);
    assert_eq!(vms_of(&listed), []);
    assert!(fleet.absences.contains_key(&vm_id(2)));
    assert!(!fleet.planned_orders.contains_key(&vm_id(2)));
}

#[test]
fn an_accepted_move_of_a_vm_that_one_list_lacked_is_ordered_again() {
    let (mut fleet, order) = fleet_with_sent_move();
    fleet.set_vms(fleet_vms()[..2].to_vec(), false, Timestamp(1_200));
    let unlisted = sent_once_drained(&mut fleet, &[], Timestamp(1_200));
    fleet.set_vms(fleet_vms(), false, Timestamp(1_250));
    plan(&mut fleet, 2, Purpose::Move(pool("desk")), Timestamp(1_260));

    answer(&mut fleet, &order, OrderOutcome::Accepted, Timestamp(1_300));
    fleet.set_vms(vms_after_move(), false, Timestamp(3_000));
    let arrived = sent_once_drained(&mut fleet, &[2], Timestamp(3_010));

    assert_eq!(vms_of(&unlisted), []);
    assert_eq!(vms_of(&arrived), []);
}

#[test]
fn a_vm_down_for_maintenance_counts_as_moving_once_its_last_move_is_accepted() {
    let (mut fleet, order) = fleet_with_sent_move();
    fleet.set_vms(vms_after_move(), false, Timestamp(3_000));
    fleet.add_waves(vec![wave(&[1, 2], 1)]);
    plan(&mut fleet, 2, Purpose::Maintain(1), Timestamp(3_000));
    plan(&mut fleet, 1, Purpose::Maintain(1), Timestamp(3_000));
    let first = sent_once_drained(&mut fleet, &[1, 2], Timestamp(3_200));
    assert_eq!(vms_of(&first), [vm_id(2)]);
    answer(&mut fleet, &first[0], OrderOutcome::Accepted, Timestamp(3_250));
    fleet.set_vms(fleet_vms()[..2].to_vec(), false, Timestamp(3_300));

    answer(&mut fleet, &order, OrderOutcome::Accepted, Timestamp(3_350));
    let second = sent_once_drained(&mut fleet, &[1], Timestamp(3_400));

    assert_eq!(vms_of(&second), []);
}

#[test]
fn the_number_of_an_order_can_be_read_from_its_text() {
    let (_, order) = fleet_with_sent_move();

    let number: OrderNumber = order.number().to_string().parse().unwrap();

    assert_eq!(number, order.number());
}

/// The list names the worker that the maintenance has ended, and its cell, which has no such worker any more,
/// takes it for drained.
#[test]
fn an_order_rests_on_a_list_that_is_older_than_the_last_order_about_its_vm() {
    let (mut fleet, order) = fleet_with_sent_maintenance(&[0]);
    answer(&mut fleet, &order, OrderOutcome::Accepted, Timestamp(1_100));
    fleet.add_waves(vec![Wave { number: 2, ..wave(&[0], 1) }]);
    plan(&mut fleet, 0, Purpose::Maintain(2), Timestamp(3_600));

    let on_old_list = sent_once_drained(&mut fleet, &[0], Timestamp(3_800));
    fleet.set_vms(fleet_vms(), false, Timestamp(4_000));
    let on_new_list = sent_once_drained(&mut fleet, &[0], Timestamp(4_100));

    assert_eq!(vms_of(&on_old_list), []);
    assert_eq!(vms_of(&on_new_list), [vm_id(0)]);
}

/// A refusal changes nothing about the VM, so that no list has to show it.
#[test]
fn a_refused_order_waits_for_a_new_list() {
    let (mut fleet, order) = fleet_with_sent_maintenance(&[0]);
    answer(&mut fleet, &order, OrderOutcome::Busy, Timestamp(1_100));

    let again = sent_once_drained(&mut fleet, &[0], Timestamp(1_600));

    assert_eq!(vms_of(&again), [vm_id(0)]);
}

/// A refusal changes nothing about the VM, and each copy asks for the same, so that the next one need not wait until
/// the first, which got no answer, can't take effect any more.
#[test]
fn maintenance_waits_for_the_end_of_its_own_unanswered_copy_once_another_is_refused() {
    let (mut fleet, first) = fleet_with_sent_maintenance(&[0]);
    answer(&mut fleet, &first, OrderOutcome::Unknown, Timestamp(2_500));
    let again = sent_once_drained(&mut fleet, &[0], Timestamp(3_000));
    answer(&mut fleet, &again[0], OrderOutcome::Busy, Timestamp(3_100));
    fleet.set_vms(fleet_vms(), false, Timestamp(3_400));

    let third = sent_once_drained(&mut fleet, &[0], Timestamp(3_600));

    assert_eq!(vms_of(&third), [vm_id(0)]);
}

/// Guards against more VMs down than the wave allows: the maintenance may begin at the last moment, and no list shows
/// the VM for a while.
#[test]
fn a_vm_that_lists_lack_does_not_count_as_down_once_its_unanswered_maintenance_is_over() {
    let (mut fleet, first) = fleet_with_sent_maintenance(&[0, 1]);
    fleet.set_vms(fleet_vms()[1..].to_vec(), false, Timestamp(1_200));
    answer(&mut fleet, &first, OrderOutcome::Unknown, Timestamp(2_500));

    // The order may take effect until 5,500 ms, and the VM is down for 2,000 ms then.
    fleet.set_vms(fleet_vms()[1..].to_vec(), false, Timestamp(5_600));
    let sent = sent_once_drained(&mut fleet, &[1], Timestamp(5_700));

    assert_eq!(vms_of(&sent), []);
}

/// Guards against an order that ends tasks: the VM has another worker than when the previous owner sent the order.
#[test]
fn a_worker_is_not_drained_that_has_begun_while_an_order_of_the_previous_owner_may_stop_it() {
    let (fleet, _) = fleet_with_sent_maintenance(&[0]);
    let record = fleet.record.clone();

    let mut next = Fleet::new(config(), record, (Timestamp(2_000), 2_000));
    let restarted = Vm { worker: Some(worker(9)), ..vm(0, &pool("desk")) };
    next.set_vms(vec![restarted], false, Timestamp(2_000));
    next.tick(Timestamp(2_100));
    let drains = next.drain_requests(Timestamp(2_100));

    assert!(drains[&pool("desk")].contains_key(&worker(0)));
    assert!(drains[&pool("desk")].contains_key(&worker(9)));
}

/// The same for maintenance that the previous owner has ordered.
#[test]
fn a_vm_that_lists_lack_does_not_count_as_down_once_its_former_owners_maintenance_is_over() {
    let (fleet, _) = fleet_with_sent_maintenance(&[0, 1]);
    let record = fleet.record.clone();
    let mut next = Fleet::new(config(), record, (Timestamp(2_000), 2_000));
    next.set_standby_pools(IndexSet::from([pool("spare")]));
    next.add_waves(vec![wave(&[0, 1], 1)]);

    // The order may take effect until 5,000 ms, and the VM is down for 2,000 ms then.
    next.set_vms(fleet_vms()[1..].to_vec(), false, Timestamp(5_100));
    plan(&mut next, 1, Purpose::Maintain(1), Timestamp(5_100));
    let early = sent_once_drained(&mut next, &[1], Timestamp(5_200));
    next.set_vms(fleet_vms()[1..].to_vec(), false, Timestamp(7_100));
    let late = sent_once_drained(&mut next, &[1], Timestamp(7_200));

    assert_eq!(vms_of(&early), []);
    assert_eq!(vms_of(&late), [vm_id(1)]);
}

/// Guards against a VM that is away for longer than needed: its maintenance was carried out long before the answer to
/// the last copy, which only says so.
#[test]
fn a_new_worker_stays_drained_after_the_answer_that_the_maintenance_is_done() {
    let (mut fleet, first) = fleet_with_sent_maintenance(&[0]);
    answer(&mut fleet, &first, OrderOutcome::Unknown, Timestamp(2_500));
    // The worker of the VM after its maintenance is drained, as the copy may take effect.
    let back = Vm { worker: Some(worker(9)), ..vm(0, &pool("desk")) };
    fleet.set_vms(vec![back], false, Timestamp(3_400));
    let again = sent_once_drained(&mut fleet, &[9], Timestamp(3_600));
    assert_eq!(vms_of(&again), [vm_id(0)]);
    answer(&mut fleet, &again[0], OrderOutcome::Accepted, Timestamp(3_650));

    // A list that was asked for after the answer shows the worker.
    let back = Vm { worker: Some(worker(9)), ..vm(0, &pool("desk")) };
    fleet.set_vms(vec![back], false, Timestamp(4_200));
    fleet.tick(Timestamp(4_300));
    let drains =
        fleet.drain_requests(Timestamp(4_300)).shift_remove(&pool("desk")).unwrap_or_default();

    assert!(!drains.contains_key(&worker(9)));
}
