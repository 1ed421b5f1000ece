mod status;

use teaselgap_core::Incarnation;
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
