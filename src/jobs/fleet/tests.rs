mod status;

use teaselgap_core::{
    Incarnation,
    job::{Load, Resources, Vm, VmState, Wave},
};
use teaselgap_platform::client::Connections;

use super::{
    super::{
        members::NodeRecord,
        test_node::{node, silent_address},
        test_server,
    },
    *,
};

const EPOCH: Epoch = Epoch(3);

fn item(key: &str, revision: u64, value: &[u8]) -> Item {
    Item { key: key.to_owned(), value: value.to_vec(), revision, ..Item::default() }
}

/// The items of a store in which the fleet is owned in [`EPOCH`], with this record.
fn items(revision: u64, value: &[u8]) -> [Item; 2] {
    [item(&own_duty(EPOCH).key, EPOCH.0, b"owner"), item(RECORD_KEY, revision, value)]
}

/// Whether a store with these items executes a transaction.
fn takes_effect(txn: &Transaction, items: &[Item]) -> bool {
    txn.expected.iter().all(|expected| {
        let item = items.iter().find(|item| item.key == expected.key);
        item.map_or(0, |item| item.revision) == expected.revision
    })
}

/// Guards against a record that loses orders because a copy of an older one arrived after it.
#[test]
fn a_late_copy_of_a_write_does_not_replace_a_later_record() {
    let first = record_transaction(EPOCH, 5, b"first".to_vec());
    let second = record_transaction(EPOCH, 6, b"second".to_vec());

    assert!(takes_effect(&first, &items(5, b"none")));
    assert!(takes_effect(&second, &items(6, b"first")));
    assert!(!takes_effect(&first, &items(7, b"second")));
}

#[test]
fn a_record_whose_earlier_copy_took_effect_is_written() {
    let conflict = conflict_of(&items(6, b"first"), EPOCH, b"first");

    assert_eq!(conflict, WriteConflict::Written(6));
}

#[test]
fn a_record_is_written_over_an_earlier_one_that_took_effect_late() {
    let conflict = conflict_of(&items(6, b"first"), EPOCH, b"second");

    assert_eq!(conflict, WriteConflict::OtherValue(6));
    assert!(takes_effect(&record_transaction(EPOCH, 6, b"second".to_vec()), &items(6, b"first")));
}

#[test]
fn a_record_is_not_written_once_the_fleet_has_another_owner() {
    let mut others = items(6, b"first");
    others[0].revision = EPOCH.0 + 1;

    assert_eq!(conflict_of(&others, EPOCH, b"second"), WriteConflict::OtherOwner);
    assert_eq!(conflict_of(&[], EPOCH, b"second"), WriteConflict::OtherOwner);
}

/// Makes another node, at an address where nobody answers, the owner of these cells.
fn give_to_silent_node(node: &Node, services: &[ServiceId]) {
    let record = NodeRecord {
        node: "n2".parse().unwrap(),
        incarnation: Incarnation(1),
        address: silent_address(),
        order_rate: teaselgap_core::job::OrderRate(500),
    };
    let mut members = node.members.borrow_mut();
    for service in services {
        members.owners.insert(duties::cell_duty(service), (record.clone(), 7));
    }
}

fn fleet_owner(node: &Rc<Node>) -> FleetOwner {
    let connections = Rc::new(Connections::default());
    let vm_client = VmClient::new(silent_address(), connections, node.id.clone(), EPOCH);
    let time = (clock::now(), clock::wall_ms());
    FleetOwner {
        node: Rc::clone(node),
        epoch: EPOCH,
        vm_client,
        fleet: RefCell::new(Fleet::new(fleet_config(node), FleetRecord::default(), time)),
        is_term_over: StdCell::new(false),
        record_revision: StdCell::new(0),
        unreadable_vms: StdCell::new(0),
        is_record_read: StdCell::new(true),
        is_saving: StdCell::new(false),
        is_handing_over: StdCell::new(false),
        wave_states: RefCell::default(),
    }
}

/// Guards against a fleet that stands still, as reports are believed for 1.5 s only, because one node with
/// several cells doesn't answer.
#[test]
fn the_cells_of_a_silent_node_hold_up_the_instructions_to_all_others() {
    let services: Vec<ServiceId> =
        ["a", "b", "c", "d"].iter().map(|name| name.parse().unwrap()).collect();

    let is_done = test_server::run(async {
        let node = node(&services, silent_address());
        give_to_silent_node(&node, &services);
        let owner = fleet_owner(&node);
        let limit = Duration::from_millis(1_500);
        tokio::time::timeout(limit, owner.instruct_cells()).await.is_ok()
    });

    assert!(is_done);
}

/// Whether maintenance of the only VM, whose worker is in the pool of `service`, is ordered once the cells
/// have been asked to drain the worker.
async fn orders_maintenance(node: &Rc<Node>, service: &ServiceId) -> bool {
    let owner = fleet_owner(node);
    let now = clock::now();
    let record = FleetRecord { is_complete: true, ..FleetRecord::default() };
    *owner.fleet.borrow_mut() = Fleet::new(fleet_config(node), record, (now, clock::wall_ms()));
    let vm = Vm {
        id: "m0".parse().unwrap(),
        pool: service.clone(),
        state: VmState::Up,
        zone: "a".parse().unwrap(),
        capacity: Resources { cpu_milli: 8_000, memory_mb: 16_384, gpus: 0 },
        worker: Some("w0".into()),
    };
    let vms = IndexSet::from([vm.id.clone()]);
    let deadline = now + Span(60_000);
    {
        let mut fleet = owner.fleet.borrow_mut();
        fleet.set_vms(vec![vm], false, now);
        fleet.add_waves(vec![Wave { number: 1, vms, max_down: 1, deadline }]);
        let load = Load { spare: vec!["w0".into()], ..Load::default() };
        let number = fleet.on_instruction(service, &IndexMap::new());
        fleet.on_instruction_answered(service, number, (load, Vec::new()), now);
        fleet.tick(now);
        fleet.take_actions();
        assert!(fleet.drain_requests(now).contains_key(service));
    }
    owner.instruct_cells().await;
    let mut fleet = owner.fleet.borrow_mut();
    fleet.tick(clock::now());
    let orders =
        |action: &FleetAction| matches!(action, FleetAction::Save(_, orders) if !orders.is_empty());
    fleet.take_actions().iter().any(orders)
}

#[test]
fn maintenance_in_a_pool_without_a_cell_needs_no_report() {
    let service: ServiceId = "a".parse().unwrap();

    let is_ordered = test_server::run(async {
        let node = node(&[], silent_address());
        orders_maintenance(&node, &service).await
    });

    assert!(is_ordered);
}

/// Guards against maintenance that ends tasks: the last queue of a service was removed, what lasts goes on,
/// and its cell has no owner for a moment.
#[test]
fn workers_do_not_count_as_drained_while_the_cell_of_a_removed_queue_has_no_owner() {
    let service: ServiceId = "a".parse().unwrap();

    let is_ordered = test_server::run(async {
        let node = node(&[], silent_address());
        node.members.borrow_mut().marked_logs.insert(service.clone());
        orders_maintenance(&node, &service).await
    });

    assert!(!is_ordered);
}

/// Guards against maintenance that ends tasks: without a configuration, no queue of a service is known.
#[test]
fn workers_do_not_count_as_drained_while_no_configuration_is_known() {
    let service: ServiceId = "a".parse().unwrap();

    let is_ordered = test_server::run(async {
        let node = node(std::slice::from_ref(&service), silent_address());
        give_to_silent_node(&node, std::slice::from_ref(&service));
        node.shared.config.store(None);
        orders_maintenance(&node, &service).await
    });

    assert!(!is_ordered);
}
