mod killed;

use teaselgap_core::job::OrderRate;

use super::{
    super::{
        members::MEMBER_PREFIX,
        test_node::{node, serves, silent_address},
        test_server,
    },
    *,
};

const INCARNATION: Incarnation = Incarnation(5);

/// A duty's key at this revision, with a record of process [`INCARNATION`] of the node.
fn duty_item(node: &str, revision: u64) -> Item {
    let record = NodeRecord {
        node: node.parse().unwrap(),
        incarnation: INCARNATION,
        address: ([127, 0, 0, 1], 7_000).into(),
        order_rate: OrderRate(500),
    };
    Item { value: serde_json::to_vec(&record).unwrap(), revision, ..Item::default() }
}

fn own_claim_of_n1(item: &Item, earlier_revision: u64) -> Option<Epoch> {
    own_claim(item, (&"n1".parse().unwrap(), INCARNATION), earlier_revision)
}

#[test]
fn a_claim_whose_answer_was_lost_counts_if_it_took_effect() {
    assert_eq!(own_claim_of_n1(&duty_item("n1", 12), 0), Some(Epoch(12)));
    assert_eq!(own_claim_of_n1(&duty_item("n1", 12), 9), Some(Epoch(12)));
}

#[test]
fn a_claim_that_had_no_effect_does_not_begin_a_term_under_the_old_epoch() {
    assert_eq!(own_claim_of_n1(&duty_item("n1", 9), 9), None);
}

#[test]
fn a_duty_that_another_node_has_claimed_is_not_taken_for_an_own_claim() {
    assert_eq!(own_claim_of_n1(&duty_item("n2", 12), 9), None);
}

#[test]
fn a_node_that_lags_counts_with_its_current_order_rate_before_it_is_registered() {
    let mut members = Members::default();
    for name in ["n1", "n2"] {
        let key = format!("{MEMBER_PREFIX}{name}");
        members.apply_change(&key, Some(&duty_item(name, 1).value), 1);
    }
    let own: NodeId = "n1".parse().unwrap();

    let candidates = members.candidates((&own, OrderRate(60)));

    let rates: Vec<OrderRate> = candidates.values().map(|candidate| candidate.order_rate).collect();
    assert_eq!(rates, [OrderRate(60), OrderRate(500)]);
}

/// After a pause the answer to a claim may come when the lease has been replaced.
#[test]
fn a_claim_under_an_expired_lease_begins_no_term_under_the_next_one() {
    assert!(depends_on(Some(7), Some(7)));
    assert!(!depends_on(Some(7), Some(8)));
    assert!(!depends_on(Some(7), None));
    assert!(!depends_on(None, None));
}

/// The key that says that the cell of service `drums` may have open jobs.
const LOG_MARK: &str = "teaselgap/control/log/drums";

/// The members that a node knows that has read the mark of a cell's log.
fn members_with_log() -> Members {
    let mut members = Members::default();
    members.apply_change(LOG_MARK, Some(b"1"), 4);
    members
}

fn is_needed(members: &Members) -> bool {
    needed(&Config::default(), members).contains("cell/drums")
}

/// Guards against accepted jobs that stand still for ever once the last route to their service is gone
/// and their cell's owner is lost.
#[test]
fn a_cell_with_open_jobs_whose_service_no_route_names_is_left_without_an_owner() {
    let members = members_with_log();

    assert!(is_needed(&members));
}

#[test]
fn a_cell_with_open_jobs_is_left_without_an_owner_after_all_members_are_read_again() {
    let mut members = members_with_log();
    let mark = Item { key: LOG_MARK.to_owned(), revision: 4, ..Item::default() };

    members.replace_all(&[mark], 9);

    assert!(is_needed(&members));
}

#[test]
fn a_cell_without_jobs_that_no_route_names_needs_an_owner_for_ever() {
    let mut removed = members_with_log();
    let mut unread = members_with_log();

    removed.apply_change(LOG_MARK, None, 5);
    unread.replace_all(&[], 9);

    assert!(!is_needed(&removed));
    assert!(!is_needed(&unread));
}

/// The lease under which a test claims duties.
const LEASE: u64 = 5;

/// A node with a store at this address and a lease that lasts longer than the test.
fn node_with_lease(store: std::net::SocketAddr) -> Rc<Node> {
    let node = node(&[], store);
    node.lease.set(LEASE, clock::now() + Span(60_000));
    node
}

fn run<T>(test: impl Future<Output = T>) -> T {
    test_server::run(async { tokio::task::LocalSet::new().run_until(test).await })
}

/// Guards against a duty that nobody at this node claims any more because a claim of it got no answer.
#[test]
fn a_claim_that_the_store_never_answers_blocks_its_duty_for_ever() {
    let duty: Duty = "cell/drums".to_owned();

    let (is_over, is_open, is_open_later) = run(async {
        let node = node_with_lease(silent_address());
        node.session.borrow_mut().claiming.insert(duty.clone());
        let claim = claim_duty(Rc::clone(&node), duty.clone(), 0);
        let is_over = tokio::time::timeout(Duration::from_secs(10), claim).await.is_ok();
        let session = node.session.borrow();
        assert!(!session.claiming.contains(&duty));
        let now = clock::now();
        let is_open = session.may_have_claimed(&duty, now);
        (is_over, is_open, session.may_have_claimed(&duty, now + OPEN_CLAIM_TIME))
    });

    assert!(is_over);
    assert!(is_open);
    assert!(!is_open_later);
}

/// The answer of a store that executes a transaction at revision 9.
const DONE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"revision\":9}";

/// Guards against a cell without an owner because answers of the store are lost.
#[test]
fn a_claim_of_which_one_copy_in_three_is_answered_begins_no_term() {
    let (store, _) = test_server::serve(DONE, &[0, 1, 3, 4]);

    let epoch = run(async {
        let node = node_with_lease(store);
        claim_duty(Rc::clone(&node), "cell/drums".to_owned(), 0).await;
        let owners = node.cell_owners.borrow();
        owners.get("drums").map(|owner| owner.epoch())
    });

    assert_eq!(epoch, Some(Epoch(9)));
}

/// Guards against a node that hands no cell over any more because the store didn't answer once.
#[test]
fn a_handover_that_the_store_never_answers_blocks_all_others() {
    let cell: ServiceId = "drums".parse().unwrap();

    let is_over = run(async {
        let node = node_with_lease(silent_address());
        host::start(&node, cell.clone(), Epoch(9), 0);
        let owner = Rc::clone(&node.cell_owners.borrow()["drums"]);
        node.session.borrow_mut().handing_over.insert(cell_duty(&cell));
        let handover = hand_over_cell(Rc::clone(&node), owner);
        let is_over = tokio::time::timeout(Duration::from_secs(10), handover).await.is_ok();
        is_over && node.session.borrow().handing_over.is_empty()
    });

    assert!(is_over);
}

/// Guards against a write of the store each 100 ms for a duty that nobody acts for: the node in these tests
/// has no VM API.
#[test]
fn a_node_without_a_vm_api_claims_the_fleet_again_and_again() {
    let (store, _) = test_server::serve(DONE, &[]);

    let claimable = run(async {
        let node = node_with_lease(store);
        node.members.borrow_mut().revision = 9;
        claim_duty(Rc::clone(&node), FLEET_DUTY.to_owned(), 0).await;
        claimable_duties(&node)
    });

    assert_eq!(claimable, []);
}

/// Guards against a cell that is handed over while its owner waits for workers of earlier terms, so that a second
/// claim and adoption follow in the middle of a recovery.
#[test]
fn a_cell_is_movable_before_its_wait_for_inherited_workers_is_over() {
    let claimed = clock::now();
    let wait_end = claimed + Span(13_300);

    let in_wait = has_settled(None, claimed + Span(60_000));
    let just_after = has_settled(Some(wait_end), Timestamp(wait_end.0 + MIN_TENURE.0 - 1));
    let later = has_settled(Some(wait_end), wait_end + MIN_TENURE);

    assert!(!in_wait);
    assert!(!just_after);
    assert!(later);
}

/// Guards against a cell that no worker is waited for, and that never moves to a node that can carry more.
#[test]
fn an_owner_that_waits_for_nothing_keeps_its_cell_for_ever() {
    let (store, _) = test_server::serve(DONE, &[]);
    let cell: ServiceId = "drums".parse().unwrap();

    let wait_end = run(async {
        let node = node_with_lease(store);
        host::start(&node, cell.clone(), Epoch(9), 0);
        let owner = Rc::clone(&node.cell_owners.borrow()["drums"]);
        assert!(serves(&node, std::slice::from_ref(&cell)).await);
        owner.inherited_wait_end()
    });

    assert!(wait_end.is_some());
}
