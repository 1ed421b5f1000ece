mod bursts;

use indexmap::{IndexMap, IndexSet};

use super::*;

const VM_CPU_MILLI: u64 = 64_000;

fn span(ms: u64) -> Span {
    Span(ms)
}

pub(super) fn config() -> FleetConfig {
    FleetConfig {
        takeover_pause: span(3_000),
        maintenance_duration: span(2_000),
        move_duration: span(1_500),
        worker_entry_ttl: span(6_000),
    }
}

pub(super) fn pool(name: &str) -> ServiceId {
    name.parse().unwrap()
}

pub(super) fn vm(number: usize, pool: &ServiceId) -> Vm {
    Vm {
        id: format!("m{number}").parse().unwrap(),
        pool: pool.clone(),
        state: VmState::Up,
        zone: "tartu".parse().unwrap(),
        capacity: Resources { cpu_milli: VM_CPU_MILLI, memory_mb: 131_072, gpus: 0 },
        worker: Some(format!("w{number}").as_str().into()),
    }
}

pub(super) fn worker(number: usize) -> WorkerId {
    format!("w{number}").as_str().into()
}

pub(super) fn vm_id(number: usize) -> VmId {
    format!("m{number}").parse().unwrap()
}

/// Returns a fleet of four VMs that run tasks and four standby VMs; its owner may send orders from
/// 4,000 ms on.
fn fleet() -> Fleet {
    fleet_with_record(FleetRecord::default())
}

fn fleet_with_record(record: FleetRecord) -> Fleet {
    let mut fleet = Fleet::new(config(), record, (Timestamp(1_000), 1_000));
    let (busy, spare) = (pool("desk"), pool("spare"));
    let vms = (0..4).map(|number| vm(number, &busy));
    fleet.set_vms(
        vms.chain((4..8).map(|number| vm(number, &spare))).collect(),
        false,
        Timestamp(1_000),
    );
    fleet.set_standby_pools(IndexSet::from([spare]));
    fleet
}

/// Returns the fleet of an owner whose term begins at zero of its own clock, with the standby VMs.
fn next_owner(record: FleetRecord, wall_ms: u64) -> Fleet {
    let mut next = Fleet::new(config(), record, (Timestamp(0), wall_ms));
    list_standby_vms(&mut next, Timestamp(0));
    next.set_standby_pools(IndexSet::from([pool("spare")]));
    next
}

/// Passes the list of VMs that was asked for at `asked`; all are on standby.
fn list_standby_vms(fleet: &mut Fleet, asked: Timestamp) {
    let vms = (4..8).map(|number| vm(number, &pool("spare")));
    fleet.set_vms(vms.collect(), false, asked);
}

/// Work of each job that arrives, in core-seconds.
const JOB_CORE_S: u64 = 4;

pub(super) fn load(required_cores: u64, arrived_core_s: u64) -> Load {
    Load {
        capacity_milli: 4 * VM_CPU_MILLI,
        required_milli: required_cores * 1_000,
        arrived_milli_s: arrived_core_s * 1_000,
        arrived_jobs: arrived_core_s / JOB_CORE_S,
        correction_percent: 100,
        workers: 4,
        floor_workers: 2,
        spare: (0..4).map(worker).collect(),
        ..Load::default()
    }
}

fn wave(vms: &[usize], max_down: u32) -> Wave {
    let vms = vms.iter().map(|&number| vm_id(number)).collect();
    Wave { number: 1, vms, max_down, deadline: Timestamp(60_000) }
}

pub(super) fn orders(actions: &[FleetAction]) -> Vec<FleetOrder> {
    let orders = |action: &FleetAction| match action {
        FleetAction::Save(_, orders) => orders.clone(),
        _ => Vec::new(),
    };
    actions.iter().flat_map(orders).collect()
}

/// The order that the actions send, if there is one and no other.
fn only_order(actions: &[FleetAction]) -> FleetOrder {
    let mut orders = orders(actions);
    assert_eq!(orders.len(), 1, "{orders:?}");
    orders.remove(0)
}

/// The VMs that orders are about.
pub(super) fn vms_of(orders: &[FleetOrder]) -> Vec<VmId> {
    orders.iter().map(|order| order.vm().clone()).collect()
}

pub(super) fn maintained_vms(actions: &[FleetAction]) -> Vec<VmId> {
    let is_maintenance = |order: &FleetOrder| matches!(order.request(), FleetRequest::Maintain(_));
    vms_of(&orders(actions).into_iter().filter(is_maintenance).collect::<Vec<_>>())
}

pub(super) fn moves(actions: &[FleetAction]) -> Vec<(VmId, ServiceId)> {
    let moved = |order: FleetOrder| match order.request() {
        FleetRequest::Move(to) => Some((order.vm().clone(), to.clone())),
        FleetRequest::Maintain(_) => None,
    };
    orders(actions).into_iter().filter_map(moved).collect()
}

/// Returns the record that was saved last.
pub(super) fn saved(actions: &[FleetAction]) -> FleetRecord {
    let record = |action: &FleetAction| match action {
        FleetAction::Save(record, _) => Some((**record).clone()),
        _ => None,
    };
    actions.iter().rev().find_map(record).unwrap()
}

#[test]
fn a_new_owner_waits_before_its_first_order() {
    let mut fleet = fleet();
    fleet.add_waves(vec![wave(&[4], 1)]);

    fleet.tick(Timestamp(3_900));
    let early = fleet.take_actions();
    fleet.tick(Timestamp(4_100));
    let late = fleet.take_actions();

    assert_eq!(maintained_vms(&early), []);
    assert_eq!(maintained_vms(&late), [vm_id(4)]);
}

#[test]
fn after_a_handover_only_vms_with_a_recent_order_wait() {
    let mut first = fleet();
    first.add_waves(vec![wave(&[4, 5], 2)]);
    first.tick(Timestamp(4_100));
    let sent = orders(&first.take_actions());
    assert_eq!(vms_of(&sent), [vm_id(4), vm_id(5)]);
    for order in sent {
        first.on_order_outcome(order, OrderOutcome::Busy, Timestamp(4_110));
    }
    let record = first.handover_record(Timestamp(4_200), 4_200);

    let mut next = next_owner(record, 4_300);
    next.add_waves(vec![wave(&[4, 5, 6], 3)]);
    next.tick(Timestamp(100));
    let at_once = next.take_actions();
    list_standby_vms(&mut next, Timestamp(3_600));
    next.tick(Timestamp(3_600));
    let later = next.take_actions();

    assert_eq!(maintained_vms(&at_once), [vm_id(6)]);
    assert_eq!(maintained_vms(&later), [vm_id(4), vm_id(5)]);
}

#[test]
fn maintenance_of_a_vm_is_ordered_only_once_its_worker_is_drained() {
    let mut fleet = fleet();
    fleet.add_waves(vec![wave(&[0], 1)]);
    fleet.on_cell_report(&pool("desk"), load(0, 0), Vec::new(), Timestamp(4_000));

    fleet.tick(Timestamp(4_100));
    let before = fleet.take_actions();
    let drains = fleet.drain_requests(Timestamp(4_100));
    fleet.on_cell_report(&pool("desk"), load(0, 0), vec![worker(0)], Timestamp(4_300));
    fleet.tick(Timestamp(4_300));
    let after = fleet.take_actions();

    assert_eq!(maintained_vms(&before), []);
    assert_eq!(drains[&pool("desk")], IndexMap::from([(worker(0), DrainMode::StopCheckpointed)]));
    assert_eq!(maintained_vms(&after), [vm_id(0)]);
}

#[test]
fn no_more_vms_are_down_than_the_wave_allows() {
    let mut fleet = fleet();
    fleet.add_waves(vec![wave(&[4, 5, 6, 7], 2)]);

    fleet.tick(Timestamp(4_100));
    let first = orders(&fleet.take_actions());
    for order in first.clone() {
        fleet.on_order_outcome(order, OrderOutcome::Accepted, Timestamp(4_110));
    }
    fleet.tick(Timestamp(4_300));
    let meanwhile = maintained_vms(&fleet.take_actions());
    fleet.tick(Timestamp(6_600));
    let second = maintained_vms(&fleet.take_actions());

    assert_eq!((first.len(), meanwhile.len(), second.len()), (2, 0, 2));
}

#[test]
fn a_vm_whose_order_got_no_answer_counts_as_down_and_the_order_is_retried() {
    let mut fleet = fleet();
    fleet.add_waves(vec![wave(&[4, 5], 1)]);

    fleet.tick(Timestamp(4_100));
    let actions = fleet.take_actions();
    let first = maintained_vms(&actions);
    fleet.on_order_outcome(only_order(&actions), OrderOutcome::Unknown, Timestamp(5_600));
    fleet.tick(Timestamp(6_100));
    let again = maintained_vms(&fleet.take_actions());

    assert_eq!(first.len(), 1);
    assert_eq!(again, first);
}

#[test]
fn a_worker_stopped_by_an_order_stays_drained_while_the_store_lists_it() {
    let mut fleet = fleet();
    fleet.add_waves(vec![wave(&[0], 1)]);
    fleet.on_cell_report(&pool("desk"), load(0, 0), Vec::new(), Timestamp(4_000));
    fleet.tick(Timestamp(4_100));
    fleet.on_cell_report(&pool("desk"), load(0, 0), vec![worker(0)], Timestamp(4_200));
    fleet.tick(Timestamp(4_200));
    let order = only_order(&fleet.take_actions());
    assert_eq!(*order.vm(), vm_id(0));

    fleet.on_order_outcome(order, OrderOutcome::Accepted, Timestamp(4_210));
    fleet.tick(Timestamp(8_000));
    let listed = fleet.drain_requests(Timestamp(8_000));

    assert!(listed[&pool("desk")].contains_key(&worker(0)));
}

/// In a burst, arrivals rise within a second from zero to more than the capacity of the pool.
#[test]
fn in_a_burst_of_a_queue_standby_vms_are_moved_to_its_pool() {
    let mut fleet = fleet();
    let mut arrived = 0;
    let mut moved = Vec::new();

    for step in 0..10_u64 {
        let now = Timestamp(4_100 + step * 200);
        arrived += step * 12;
        fleet.on_cell_report(&pool("desk"), load(step * 40, arrived), Vec::new(), now);
        fleet.tick(now);
        moved.extend(moves(&fleet.take_actions()));
    }

    let desk = pool("desk");
    assert!(moved.iter().filter(|(_, to)| *to == desk).count() >= 3, "{moved:?}");
}

#[test]
fn vms_of_an_idle_pool_are_moved_to_standby_down_to_its_floor() {
    let mut fleet = fleet();
    let mut moved_to_standby = IndexSet::new();

    for step in 0..30_u64 {
        let now = Timestamp(4_100 + step * 200);
        let drained =
            fleet.drain_requests(now).values().flat_map(|one| one.keys().cloned()).collect();
        fleet.on_cell_report(&pool("desk"), load(0, 1), drained, now);
        fleet.tick(now);
        for order in orders(&fleet.take_actions()) {
            assert_eq!(*order.request(), FleetRequest::Move(pool("spare")));
            moved_to_standby.insert(order.vm().clone());
            fleet.on_order_outcome(order, OrderOutcome::Accepted, now);
        }
    }

    assert_eq!(moved_to_standby.len(), 2);
}

#[test]
fn maintenance_of_a_vm_replaces_its_planned_move() {
    let mut fleet = fleet();
    for step in 0..12_u64 {
        let now = Timestamp(4_100 + step * 200);
        fleet.on_cell_report(&pool("desk"), load(0, 1), Vec::new(), now);
        fleet.tick(now);
    }
    let leaving = fleet.drain_requests(Timestamp(6_500))[&pool("desk")].clone();
    let chosen: Vec<usize> =
        (0..4).filter(|&number| leaving.contains_key(&worker(number))).collect();

    fleet.add_waves(vec![wave(&chosen, 4)]);
    fleet.on_cell_report(&pool("desk"), load(0, 1), Vec::new(), Timestamp(6_600));
    fleet.tick(Timestamp(6_600));
    let drained = chosen.iter().map(|&number| worker(number)).collect();
    fleet.on_cell_report(&pool("desk"), load(0, 1), drained, Timestamp(6_800));
    fleet.take_actions();
    fleet.tick(Timestamp(6_800));
    let actions = fleet.take_actions();

    assert_eq!(chosen.len(), 2);
    assert_eq!(maintained_vms(&actions).len(), 2);
    assert_eq!(moves(&actions), []);
}

#[test]
fn until_work_arrives_each_pool_keeps_the_vms_that_the_operator_gave_it() {
    let mut fleet = fleet();

    for step in 0..30_u64 {
        let now = Timestamp(4_100 + step * 200);
        fleet.on_cell_report(&pool("desk"), load(0, 0), Vec::new(), now);
        fleet.tick(now);
    }

    assert_eq!(moves(&fleet.take_actions()), []);
}

/// At the start of a burst, half of the capacity that the operator gave the pool arrives at once.
#[test]
fn at_the_start_of_a_burst_a_pool_gets_back_the_vms_that_the_operator_gave_it() {
    let given = FleetRecord {
        given: IndexMap::from([(pool("desk"), 6), (pool("spare"), 2)]),
        ..FleetRecord::default()
    };
    let mut fleet = fleet_with_record(given);
    for step in 0..12_u64 {
        fleet.on_cell_report(&pool("desk"), load(0, 0), Vec::new(), Timestamp(4_000 + step * 200));
    }

    fleet.on_cell_report(&pool("desk"), load(0, 180), Vec::new(), Timestamp(6_400));
    fleet.tick(Timestamp(6_400));
    let moved = moves(&fleet.take_actions());

    assert_eq!(moved.len(), 2);
    assert!(moved.iter().all(|(_, to)| *to == pool("desk")));
}

/// In a burst of large jobs, about four arrive per second: now three, now six.
#[test]
fn a_few_more_large_jobs_are_not_extrapolated_as_a_rise() {
    let mut fleet = fleet();
    let mut wanted = 0;
    let mut jobs = 0;

    for (second, arriving) in [4, 3, 4, 6].into_iter().enumerate() {
        for step in 0..5_u64 {
            let now = Timestamp(4_000 + second as u64 * 1_000 + step * 200);
            jobs += if step < arriving % 5 { arriving / 5 + 1 } else { arriving / 5 };
            let arrived = Load { arrived_jobs: jobs, ..load(0, jobs * 64) };
            fleet.on_cell_report(&pool("desk"), arrived, Vec::new(), now);
            wanted = fleet.pool_sizes(now)[&pool("desk")].wants;
        }
    }

    // In the end, five jobs of 64 core-seconds arrive per second, and a quarter is added.
    assert!((6..=7).contains(&wanted), "{wanted}");
}

#[test]
fn after_an_owner_is_lost_only_vms_that_it_recorded_wait() {
    let mut first = fleet();
    first.add_waves(vec![wave(&[4], 1)]);
    first.tick(Timestamp(4_100));
    let record = saved(&first.take_actions());

    let mut next = next_owner(record, 7_000);
    next.add_waves(vec![wave(&[4, 5], 2)]);
    next.tick(Timestamp(100));
    let at_once = next.take_actions();
    next.tick(Timestamp(2_900));
    let early = next.take_actions();
    list_standby_vms(&mut next, Timestamp(3_100));
    next.tick(Timestamp(3_100));
    let later = next.take_actions();

    // The order may have been sent a second after its VM was recorded, by a clock that was behind.
    assert_eq!(maintained_vms(&at_once), [vm_id(5)]);
    assert_eq!(maintained_vms(&early), []);
    assert_eq!(maintained_vms(&later), [vm_id(4)]);
}

#[test]
fn a_vm_is_recorded_before_an_order_about_it_is_sent() {
    let mut fleet = fleet();
    fleet.add_waves(vec![wave(&[4, 5], 1)]);

    fleet.tick(Timestamp(4_100));
    let actions = fleet.take_actions();

    let listed: Vec<VmId> = saved(&actions).ordered.into_keys().collect();
    assert_eq!(maintained_vms(&actions), listed);
}

#[test]
fn a_vm_that_a_lost_owner_recorded_long_ago_does_not_wait() {
    let mut first = fleet();
    first.add_waves(vec![wave(&[4], 1)]);
    first.tick(Timestamp(4_100));
    let record = saved(&first.take_actions());

    let mut next = next_owner(record, 11_000);
    next.add_waves(vec![wave(&[4], 1)]);
    next.tick(Timestamp(100));

    assert_eq!(maintained_vms(&next.take_actions()), [vm_id(4)]);
}

/// Returns a fleet that has sent the order to maintain the first VM, whose worker is drained, and the
/// record that it has stored before.
fn fleet_with_order() -> (Fleet, FleetRecord, FleetOrder) {
    let mut fleet = fleet();
    fleet.add_waves(vec![wave(&[0], 1)]);
    fleet.on_cell_report(&pool("desk"), load(0, 0), Vec::new(), Timestamp(4_000));
    fleet.tick(Timestamp(4_100));
    fleet.on_cell_report(&pool("desk"), load(0, 0), vec![worker(0)], Timestamp(4_200));
    fleet.tick(Timestamp(4_200));
    let actions = fleet.take_actions();
    (fleet, saved(&actions), only_order(&actions))
}

/// Returns the VMs of the busy pool, the first of which has this state and worker.
fn desk_vms(state: VmState, worker: Option<WorkerId>) -> Vec<Vm> {
    let first = Vm { state, worker, ..vm(0, &pool("desk")) };
    std::iter::once(first).chain((1..4).map(|number| vm(number, &pool("desk")))).collect()
}

/// Issue 39: an order about a VM asked once whether its worker is drained, and never again.
#[test]
fn an_order_without_an_answer_is_not_sent_again_to_a_vm_with_another_worker() {
    let (mut fleet, _, order) = fleet_with_order();
    fleet.on_order_outcome(order, OrderOutcome::Unknown, Timestamp(5_700));

    fleet.set_vms(desk_vms(VmState::Up, Some(worker(9))), false, Timestamp(6_200));
    fleet.on_cell_report(&pool("desk"), load(0, 0), Vec::new(), Timestamp(6_200));
    fleet.tick(Timestamp(6_200));
    let at_work = maintained_vms(&fleet.take_actions());
    fleet.on_cell_report(&pool("desk"), load(0, 0), vec![worker(9)], Timestamp(6_700));
    fleet.tick(Timestamp(6_700));
    let drained = maintained_vms(&fleet.take_actions());

    assert_eq!(at_work, []);
    assert_eq!(drained, [vm_id(0)]);
}

#[test]
fn no_order_is_sent_about_a_vm_that_is_down_and_may_be_back_with_a_worker() {
    let mut fleet = fleet();
    fleet.add_waves(vec![wave(&[0], 1)]);
    fleet.on_cell_report(&pool("desk"), load(0, 0), Vec::new(), Timestamp(4_000));
    fleet.tick(Timestamp(4_100));
    fleet.set_vms(desk_vms(VmState::Down, None), false, Timestamp(4_200));

    fleet.on_cell_report(&pool("desk"), load(0, 0), Vec::new(), Timestamp(4_300));
    fleet.tick(Timestamp(4_300));

    assert_eq!(maintained_vms(&fleet.take_actions()), []);
}

#[test]
fn no_order_is_sent_on_an_old_report_of_the_cell() {
    let mut fleet = fleet();
    fleet.add_waves(vec![wave(&[0], 1)]);
    fleet.on_cell_report(&pool("desk"), load(0, 0), Vec::new(), Timestamp(4_000));
    fleet.tick(Timestamp(4_100));
    fleet.on_cell_report(&pool("desk"), load(0, 0), vec![worker(0)], Timestamp(4_200));

    // The cell may have another owner by then.
    fleet.tick(Timestamp(7_000));

    assert_eq!(maintained_vms(&fleet.take_actions()), []);
}

#[test]
fn a_new_owner_keeps_a_worker_drained_while_an_order_of_its_predecessor_may_stop_it() {
    let (_, record, _) = fleet_with_order();
    let mut next = Fleet::new(config(), record, (Timestamp(0), 5_000));
    next.set_vms(desk_vms(VmState::Up, Some(worker(0))), false, Timestamp(0));

    let early = next.drain_requests(Timestamp(100));
    next.tick(Timestamp(5_000));
    let late = next.drain_requests(Timestamp(5_000));

    assert!(early.get(&pool("desk")).is_some_and(|drains| drains.contains_key(&worker(0))));
    assert!(late.is_empty(), "{late:?}");
}

/// Returns a fleet that has moved a standby VM to the busy pool, the VM, and when that was accepted.
fn fleet_with_moved_vm() -> (Fleet, VmId, Timestamp) {
    let mut fleet = fleet();
    for step in 0..10_u64 {
        let now = Timestamp(4_100 + step * 200);
        fleet.on_cell_report(&pool("desk"), load(step * 40, step * step * 6), Vec::new(), now);
        fleet.tick(now);
        let is_move = |order: &FleetOrder| matches!(order.request(), FleetRequest::Move(_));
        if let Some(order) = orders(&fleet.take_actions()).into_iter().find(is_move) {
            let moved = order.vm().clone();
            fleet.on_order_outcome(order, OrderOutcome::Accepted, now);
            return (fleet, moved, now);
        }
    }
    panic!("no VM was moved");
}

/// Returns the VMs as they were given to the pools.
fn given_vms() -> Vec<Vm> {
    let vms = (0..8).map(|number| vm(number, &pool(if number < 4 { "desk" } else { "spare" })));
    vms.collect()
}

/// Issue 42, by reading: an order about a VM on standby rested on a list of any age.
#[test]
fn a_vm_that_was_moved_since_the_list_was_asked_for_gets_no_order_unasked() {
    let (mut fleet, moved, moved_at) = fleet_with_moved_vm();
    fleet.set_vms(given_vms(), false, Timestamp(moved_at.0 - 50));
    fleet.add_waves(vec![wave(&[4, 5, 6, 7], 4)]);

    let with_old_list = moved_at + span(4_000);
    fleet.tick(with_old_list);
    let unasked = maintained_vms(&fleet.take_actions());
    fleet.set_vms(given_vms(), false, with_old_list);
    fleet.tick(with_old_list + span(100));
    let listed_since = maintained_vms(&fleet.take_actions());

    assert!(!unasked.contains(&moved), "{unasked:?}");
    assert_eq!(unasked.len() + listed_since.len(), 4, "{unasked:?} {listed_since:?}");
}

/// Issue 42, by reading: a list from before the previous owner's last order had taken effect.
#[test]
fn a_vm_that_the_previous_owner_may_have_moved_waits_for_a_new_list() {
    let mut first = fleet();
    first.add_waves(vec![wave(&[4], 1)]);
    first.tick(Timestamp(4_100));
    let record = saved(&first.take_actions());
    let mut next = next_owner(record, 7_000);
    next.add_waves(vec![wave(&[4], 1)]);

    next.tick(Timestamp(9_000));
    let with_old_list = maintained_vms(&next.take_actions());
    list_standby_vms(&mut next, Timestamp(9_000));
    next.tick(Timestamp(9_100));
    let with_new_list = maintained_vms(&next.take_actions());

    assert_eq!(with_old_list, []);
    assert_eq!(with_new_list, [vm_id(4)]);
}
