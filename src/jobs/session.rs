//! The node's lease in the store, its registration, and the duties that it claims and owns.
//!
//! One lease covers the node's registration and the keys of all its duties, so they all expire
//! together when the node dies. The revision of a duty's key is the epoch of the term. A node that
//! restarts under the same name and address knows that its earlier process has ended, and takes
//! over the duties of that process at once.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use slog::{info, warn};
use teaselgap_core::{
    Epoch, Incarnation, NodeId, ServiceId, Span, Timestamp,
    job::{Duty, LagMonitor, OrderRate, duty_to_hand_over, propose_owners},
};
use teaselgap_platform::{
    settings::{Limits, StoreSettings},
    store::{Change, Expected, Item, Outcome, Put, StoreError, Transaction},
};

use super::{
    fleet, host,
    lease::{LeaseStatus, RenewalConfig},
    members::{CONTROL_PREFIX, DUTY_PREFIX, MEMBER_PREFIX, NodeRecord},
    node::{FLEET_DUTY, Node},
};
use crate::clock;

/// The time-to-live of the node's lease, unless the store's minimum is longer.
const LEASE_TTL: Span = Span(2_000);

/// How long one watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause before members and owners are read again after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// How often the node looks whether it still has its lease, and retries a failed registration. It
/// is short because the lease is short.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How often the node looks whether its registration is still right.
const REGISTRATION_CHECK_INTERVAL: Span = Span(500);

/// A check of the registration that takes longer than this counts as lost.
const MAX_REGISTRATION_CHECK: Span = Span(10_000);

/// The shortest interval between two rounds of questions whether the store can be reached.
const OUTAGE_QUESTION_INTERVAL: Span = Span(300);

/// How long the control thread may make no progress before the lease is renewed no more.
const MAX_CONTROL_STALL: Span = Span(3_000);

/// How long a node that has just registered waits for others to register before it claims free
/// duties, and how long its own registration may take to appear among the members.
const SETTLE_TIME: Span = Span(600);

/// How much longer a node waits before claiming a free duty for each candidate that precedes it.
const RANK_DELAY: Span = Span(250);

/// How often the node looks for duties that it should claim.
const DUTY_POLL_INTERVAL: Span = Span(100);

/// How long an owner keeps a cell before it may hand it over to a node that can carry more.
const MIN_TENURE: Span = Span(3_000);

/// How long an owner whose lease has expired continues after other nodes last confirmed that they
/// can't reach the store either. No node can claim its duties while the store is unreachable.
const OUTAGE_CONFIRMATION_TTL: Span = Span(1_000);

/// A node that last reached the store within this time counts as able to reach it.
const STORE_REACHABLE_WINDOW: Span = Span(900);

/// Bytes in a megabit.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// The longest time for which an owner may continue after another node has claimed its duty.
///
/// The store drops the key of a duty only once the owner's lease has ended there, and an owner
/// counts its lease from before it asked for it. It continues beyond that only while the other
/// nodes confirm that the store is away. The node that claimed the duty denies that from its next
/// renewal on, at the latest when its own lease would end; a confirmation counts for
/// `OUTAGE_CONFIRMATION_TTL`. An owner that can't reach the claimant is not covered.
pub(super) fn owner_ttl(node: &Node) -> Span {
    Span(lease_ttl(node).0 + OUTAGE_CONFIRMATION_TTL.0)
}

/// The name of the duty to own a service's cell.
pub(super) fn cell_duty(cell: &ServiceId) -> Duty {
    format!("cell/{cell}")
}

/// The store key of a duty.
pub(super) fn duty_key(duty: &str) -> String {
    format!("{DUTY_PREFIX}{duty}")
}

/// The state of the node's registration and of the claims made under its lease.
#[derive(Debug, Default)]
pub(crate) struct Session {
    registered_at: Timestamp,
    /// When the registration is checked next.
    next_registration_check: Timestamp,
    /// When other nodes may be asked next whether they can't reach the store either.
    next_outage_question: Timestamp,
    /// When this node sent the latest calls to other nodes whose answers confirmed an outage of the
    /// store.
    outage_confirmed_at: Timestamp,
    /// Duties whose claim is in progress.
    claiming: IndexSet<Duty>,
    /// When each free duty was first seen to be free.
    free_since: IndexMap<Duty, Timestamp>,
    /// When this node claimed each of the duties that it owns.
    claimed_at: IndexMap<Duty, Timestamp>,
    /// Duties that are being handed over to another node.
    handing_over: IndexSet<Duty>,
    /// How late the timers of this thread fire.
    lag: LagMonitor,
    /// The order rate of this node in its registration.
    registered_rate: OrderRate,
}

/// Keeps the lease, follows members and owners, and claims duties until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    tokio::task::spawn_local(follow_members(Rc::clone(&node)));
    tokio::task::spawn_local(claim_duties(Rc::clone(&node)));
    keep_lease(&node).await;
}

fn own_record(node: &Node) -> NodeRecord {
    NodeRecord {
        node: node.id.clone(),
        incarnation: node.incarnation,
        address: node.peer_address,
        order_rate: current_order_rate(node),
    }
}

/// What this node can carry at present.
fn current_order_rate(node: &Node) -> OrderRate {
    let order_rate = order_rate(&node.settings.limits);
    if node.session.borrow().lag.is_lagging(clock::now()) {
        return order_rate.while_lagging();
    }
    order_rate
}

fn order_rate(limits: &Limits) -> OrderRate {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "not negative")]
    let whole = |value: f64| value.max(0.0) as u64;
    let link_bytes_per_s = whole(limits.link_mbps * BYTES_PER_MEGABIT);
    OrderRate::from_resources(link_bytes_per_s, whole(limits.cpu_share * limits.cores * 1_000.0))
}

fn own_record_json(node: &Node) -> Vec<u8> {
    // A record can always be serialized to JSON.
    serde_json::to_vec(&own_record(node)).unwrap_or_default()
}

fn lease_ttl(node: &Node) -> Span {
    ttl(&node.settings.store)
}

fn ttl(store: &StoreSettings) -> Span {
    Span(LEASE_TTL.0.max(store.min_ttl_ms))
}

/// How the lease of a node with this store is renewed.
pub(super) fn renewal_config(store: &StoreSettings) -> RenewalConfig {
    RenewalConfig { store: store.address, ttl: ttl(store), max_stall: MAX_CONTROL_STALL }
}

/// Registers the node whenever it has no lease, and ends its terms when its lease has ended.
async fn keep_lease(node: &Rc<Node>) {
    let mut is_registered = true;
    loop {
        match node.lease.poll() {
            LeaseStatus::Expired => {
                warn!(node.log, "lease expired");
                end_all_terms(node, "the lease has expired");
            }
            LeaseStatus::Held(lease) => start_registration_check(node, lease),
            LeaseStatus::Missing if node.is_draining() => return,
            LeaseStatus::Missing => {
                let result = register(node).await;
                log_registration(node, &result, &mut is_registered);
            }
        }
        tokio::time::sleep(LEASE_POLL_INTERVAL).await;
        confirm_outage_if_due(node);
        end_expired_terms(node);
    }
}

fn log_registration(node: &Node, result: &Result<(), StoreError>, is_registered: &mut bool) {
    if result.is_ok() == *is_registered {
        return;
    }
    *is_registered = result.is_ok();
    match result {
        Ok(()) => info!(node.log, "registration succeeds again"),
        Err(err) => warn!(node.log, "registration fails"; "error" => %err),
    }
}

async fn register(node: &Rc<Node>) -> Result<(), StoreError> {
    let sent_at = clock::now();
    let (lease, granted_ttl) = node.store.grant(lease_ttl(node).to_std()).await?;
    let granted_ttl = Span(u64::try_from(granted_ttl.as_millis()).unwrap_or(u64::MAX));
    write_member(node, lease).await?;
    node.lease.set(lease, sent_at + granted_ttl);
    node.session.borrow_mut().registered_at = clock::now();
    info!(node.log, "registered"; "lease" => lease, "ttl_ms" => granted_ttl.0);
    Ok(())
}

/// Writes the node's registration. A write that reaches the store late finds another revision and
/// fails, so it can't bind the registration to an earlier lease.
async fn write_member(node: &Rc<Node>, lease: u64) -> Result<(), StoreError> {
    let key = format!("{MEMBER_PREFIX}{}", node.id);
    let revision = node.store.get(&key).await?.map_or(0, |item| item.revision);
    let record = own_record(node);
    // A record can always be serialized to JSON.
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let txn = Transaction {
        expected: vec![Expected { key: key.clone(), revision }],
        puts: vec![Put { key, value, lease: Some(lease) }],
        deletes: Vec::new(),
    };
    match node.store.transact(&txn).await? {
        Outcome::Done(_) => {
            node.session.borrow_mut().registered_rate = record.order_rate;
            Ok(())
        }
        Outcome::Conflict(_) => {
            Err(StoreError::Unavailable("the registration was changed concurrently".to_owned()))
        }
    }
}

/// Whether the store has lost the node's registration. Only meaningful while the lease is valid.
fn is_registration_missing(node: &Node) -> bool {
    let members = node.members.borrow();
    let since = node.session.borrow().registered_at;
    members.revision > 0
        && !members.nodes.contains_key(&node.id)
        && clock::now() > since + SETTLE_TIME
}

/// Registers the order rate anew if it has changed, so that all nodes propose the same owners.
async fn update_order_rate(node: &Rc<Node>, lease: u64) -> Result<(), StoreError> {
    let registered_rate = node.session.borrow().registered_rate;
    let order_rate = current_order_rate(node);
    if order_rate == registered_rate {
        return Ok(());
    }
    info!(node.log, "order rate changed"; "registered" => %registered_rate, "now" => %order_rate);
    write_member(node, lease).await
}

/// Checks the registration now and then, in a task of its own: the store may take long to answer,
/// and the end of the lease must be noticed meanwhile.
fn start_registration_check(node: &Rc<Node>, lease: u64) {
    let now = clock::now();
    {
        let mut session = node.session.borrow_mut();
        if now < session.next_registration_check || node.is_draining() {
            return;
        }
        // Longer than a check may take.
        session.next_registration_check = now + MAX_REGISTRATION_CHECK;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        if let Err(err) = check_registration(&node, lease).await {
            warn!(node.log, "registration fails"; "error" => %err);
        }
        node.session.borrow_mut().next_registration_check =
            clock::now() + REGISTRATION_CHECK_INTERVAL;
    });
}

/// Writes the registration again if the store has lost it or the order rate has changed.
async fn check_registration(node: &Rc<Node>, lease: u64) -> Result<(), StoreError> {
    if is_registration_missing(node) {
        warn!(node.log, "registration lost; writing it again"; "lease" => lease);
        write_member(node, lease).await?;
        node.session.borrow_mut().registered_at = clock::now();
    }
    update_order_rate(node, lease).await
}

/// Ends all terms once other nodes may own the duties. A node that can't reach the store continues
/// beyond the end of its lease only while other nodes confirm that they can't reach it either.
pub(super) fn end_expired_terms(node: &Rc<Node>) {
    let valid_until = node.lease.valid_until();
    let outage_confirmed_at = node.session.borrow().outage_confirmed_at;
    let now = clock::now();
    if valid_until == Timestamp(0) || has_no_duty(node) {
        return;
    }
    if now > valid_until && now > outage_confirmed_at + OUTAGE_CONFIRMATION_TTL {
        end_all_terms(node, "the lease could not be renewed");
    }
}

fn has_no_duty(node: &Node) -> bool {
    node.cell_owners.borrow().is_empty() && node.fleet.borrow().is_none()
}

/// Asks the other nodes whether the store is away, before the lease expires, so that their answers
/// arrive in time.
fn confirm_outage_if_due(node: &Rc<Node>) {
    let valid_until = node.lease.valid_until();
    let now = clock::now();
    let is_close = valid_until != Timestamp(0) && now + OUTAGE_CONFIRMATION_TTL > valid_until;
    if !is_close || has_no_duty(node) || now < node.session.borrow().next_outage_question {
        return;
    }
    node.session.borrow_mut().next_outage_question = now + OUTAGE_QUESTION_INTERVAL;
    tokio::task::spawn_local(confirm_store_outage(Rc::clone(node)));
}

/// Asks the other nodes when they last reached the store, and records an outage if none of those
/// that answer can reach it. If no other node is registered, the outage counts as confirmed.
async fn confirm_store_outage(node: Rc<Node>) {
    let asked_at = clock::now();
    let addresses = node.members.borrow().other_addresses(&node.id);
    let ages = addresses.iter().map(|&address| node.peers.store_age(address));
    let ages: Vec<Span> =
        futures_util::future::join_all(ages).await.into_iter().flatten().collect();
    let is_outage = ages.iter().all(|&age| age > STORE_REACHABLE_WINDOW);
    if is_outage && (addresses.is_empty() || !ages.is_empty()) {
        let mut session = node.session.borrow_mut();
        session.outage_confirmed_at = session.outage_confirmed_at.max(asked_at);
    }
}

fn end_all_terms(node: &Rc<Node>, reason: &'static str) {
    let cell_owners: Vec<Rc<host::CellOwner>> =
        node.cell_owners.borrow_mut().drain(..).map(|(_, owner)| owner).collect();
    for owner in cell_owners {
        owner.end_term(reason);
    }
    if let Some(fleet_owner) = node.fleet.borrow_mut().take() {
        fleet_owner.end_term(reason);
    }
}

/// Whether this node's lease is certainly valid.
pub(super) fn holds_lease(node: &Node) -> bool {
    clock::now() < node.lease.valid_until()
}

/// How much longer this node's lease is certainly valid.
pub(super) fn lease_validity(node: &Node) -> Span {
    node.lease.valid_until().since(clock::now())
}

/// Keeps the members and owners up to date with the store.
async fn follow_members(node: Rc<Node>) {
    loop {
        if let Err(err) = follow_once(&node).await {
            if err != StoreError::Compacted {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            node.members.borrow_mut().revision = 0;
        }
    }
}

async fn follow_once(node: &Rc<Node>) -> Result<(), StoreError> {
    let after = node.members.borrow().revision;
    if after == 0 {
        let range = node.store.range(CONTROL_PREFIX, false).await?;
        node.members.borrow_mut().replace_all(&range.items, range.revision);
        check_own_duties(node);
        return Ok(());
    }
    let (changes, revision) = node.store.watch(CONTROL_PREFIX, after, WATCH_TIMEOUT).await?;
    {
        let mut members = node.members.borrow_mut();
        for Change { key, value, revision } in changes {
            members.apply_change(&key, value.as_deref(), revision);
        }
        members.revision = revision;
    }
    check_own_duties(node);
    report_ended_predecessors(node);
    Ok(())
}

/// Ends the terms of duties that have another owner, or none, according to the store.
fn check_own_duties(node: &Rc<Node>) {
    let members = node.members.borrow();
    let epoch_of = |duty: &str| members.owners.get(duty).map(|(_, revision)| Epoch(*revision));
    let read_revision = members.revision;
    // Claims made after the store was read are missing from what was read.
    let is_lost =
        |duty: &str, epoch: Epoch| epoch.0 <= read_revision && epoch_of(duty) != Some(epoch);
    let lost_cells: Vec<Rc<host::CellOwner>> = node
        .cell_owners
        .borrow()
        .values()
        .filter(|owner| is_lost(&cell_duty(owner.service()), owner.epoch()))
        .cloned()
        .collect();
    for owner in lost_cells {
        node.cell_owners.borrow_mut().shift_remove(owner.service());
        owner.end_term("the store names another owner or none");
    }
    let is_fleet_lost = node
        .fleet
        .borrow()
        .as_ref()
        .is_some_and(|fleet_owner| is_lost(FLEET_DUTY, fleet_owner.epoch()));
    if is_fleet_lost && let Some(fleet_owner) = node.fleet.borrow_mut().take() {
        fleet_owner.end_term("the store names another owner or none");
    }
}

/// Tells a cell's owner when the previous owner's node has restarted: the earlier process sends no
/// more orders.
fn report_ended_predecessors(node: &Rc<Node>) {
    let members = node.members.borrow();
    for owner in node.cell_owners.borrow().values() {
        let predecessor = members.predecessors.get(&cell_duty(owner.service()));
        if predecessor.is_some_and(|record| members.has_successor(record)) {
            owner.on_predecessor_ended();
        }
    }
}

/// Claims, at regular intervals, the duties that this node should own, and hands over those that
/// another node should own.
async fn claim_duties(node: Rc<Node>) {
    loop {
        let timer_deadline = clock::now() + DUTY_POLL_INTERVAL;
        tokio::time::sleep(DUTY_POLL_INTERVAL.to_std()).await;
        node.session.borrow_mut().lag.record_timer(timer_deadline, clock::now());
        node.lease.record_progress();
        for (duty, key_revision) in claimable_duties(&node) {
            node.session.borrow_mut().claiming.insert(duty.clone());
            tokio::task::spawn_local(claim_duty(Rc::clone(&node), duty, key_revision));
        }
        if let Some(owner) = cell_to_hand_over(&node) {
            let duty = cell_duty(owner.service());
            node.session.borrow_mut().handing_over.insert(duty);
            tokio::task::spawn_local(hand_over_cell(Rc::clone(&node), owner));
        }
    }
}

/// Whether this node acts as the owner of a duty.
fn acts_as_owner(node: &Node, duty: &str) -> bool {
    if duty == FLEET_DUTY {
        return node.fleet.borrow().is_some();
    }
    node.cell_owners.borrow().keys().any(|service| cell_duty(service) == duty)
}

/// The duties that this node should claim now, each with the revision that its key must have.
fn claimable_duties(node: &Rc<Node>) -> Vec<(Duty, u64)> {
    let now = clock::now();
    let mut session = node.session.borrow_mut();
    let session = &mut *session;
    let members = node.members.borrow();
    let is_settled = now >= session.registered_at + SETTLE_TIME;
    let may_claim =
        node.lease.lease().is_some() && now < node.lease.valid_until() && members.revision > 0;
    if node.is_draining() || !may_claim {
        return Vec::new();
    }
    let duties = node.duties();
    let mut claimable = Vec::new();
    let mut owners = IndexMap::new();
    for (duty, (record, revision)) in &members.owners {
        // Nobody acts as the owner of a duty that the store assigns to an earlier process of this
        // node, or to this one after its term ended.
        let is_reclaimable = record.node == node.id
            && record.address.ip() == node.peer_address.ip()
            && (record.incarnation < node.incarnation || !acts_as_owner(node, duty));
        if is_reclaimable && duties.contains(duty) {
            claimable.push((duty.clone(), *revision));
        }
        owners.insert(duty.clone(), record.node.clone());
    }
    let proposal = propose_owners(&duties, &owners, &members.candidates());
    session.free_since.retain(|duty, _| proposal.contains_key(duty));
    for (duty, candidates) in proposal {
        let since = *session.free_since.entry(duty.clone()).or_insert(now);
        let rank = candidates
            .iter()
            .position(|candidate| *candidate == node.id)
            .unwrap_or(candidates.len()) as u64;
        if is_settled && now >= since + Span(rank * RANK_DELAY.0) {
            claimable.push((duty, 0));
        }
    }
    claimable.retain(|(duty, _)| {
        !session.claiming.contains(duty) && !session.handing_over.contains(duty)
    });
    claimable
}

/// The cell that this node should hand over now, if any; one at a time.
fn cell_to_hand_over(node: &Rc<Node>) -> Option<Rc<host::CellOwner>> {
    let now = clock::now();
    let session = node.session.borrow();
    let is_store_reached = now < node.lease.store_reached_at() + STORE_REACHABLE_WINDOW;
    if node.is_draining() || !is_store_reached || !session.handing_over.is_empty() {
        return None;
    }
    let members = node.members.borrow();
    let owners: IndexMap<Duty, NodeId> = members
        .owners
        .iter()
        .map(|(duty, (record, _))| (duty.clone(), record.node.clone()))
        .collect();
    let cell_owners = node.cell_owners.borrow();
    let has_settled = |duty: &Duty| {
        session.claimed_at.get(duty).is_some_and(|claimed_at| now >= *claimed_at + MIN_TENURE)
    };
    let movable: Vec<Duty> = cell_owners
        .values()
        .filter(|owner| owner.is_serving())
        .map(|owner| cell_duty(owner.service()))
        .filter(|duty| has_settled(duty) && owners.get(duty) == Some(&node.id))
        .collect();
    let duty = duty_to_hand_over(&node.id, &movable, &owners, &members.candidates())?;
    cell_owners.values().find(|owner| cell_duty(owner.service()) == duty).cloned()
}

/// Ends a cell's term in order and deletes the duty's key, so that another node claims it at once.
async fn hand_over_cell(node: Rc<Node>, owner: Rc<host::CellOwner>) {
    let duty = cell_duty(owner.service());
    info!(node.log, "handing over a cell"; "cell" => %owner.service(), "epoch" => owner.epoch().0,
        "order_rate" => %current_order_rate(&node));
    owner.hand_over();
    owner.flush().await;
    node.cell_owners.borrow_mut().retain(|_, other| !Rc::ptr_eq(other, &owner));
    owner.end_term("handed over to a node that can carry more");
    let key = duty_key(&duty);
    let txn = Transaction {
        expected: vec![Expected { key: key.clone(), revision: owner.epoch().0 }],
        puts: Vec::new(),
        deletes: vec![key],
    };
    if let Err(err) = node.store.transact(&txn).await {
        // This node claims the duty again if its key is still there.
        warn!(node.log, "failed to release a duty"; "seat" => &duty, "error" => %err);
    }
    node.session.borrow_mut().handing_over.swap_remove(&duty);
}

async fn claim_duty(node: Rc<Node>, duty: Duty, key_revision: u64) {
    let key = duty_key(&duty);
    if let Some(epoch) = write_claim(&node, &key, key_revision).await {
        info!(node.log, "duty claimed"; "seat" => &duty, "epoch" => epoch.0,
            "earlier_revision" => key_revision);
        {
            let mut members = node.members.borrow_mut();
            let previous = members.owners.insert(duty.clone(), (own_record(&node), epoch.0));
            if let Some((previous, _)) = previous {
                members.predecessors.insert(duty.clone(), previous);
            }
        }
        node.session.borrow_mut().claimed_at.insert(duty.clone(), clock::now());
        if duty == FLEET_DUTY {
            fleet::start(&node, epoch);
        } else if let Some(Ok(cell)) = duty.strip_prefix("cell/").map(str::parse) {
            host::start(&node, cell, epoch, key_revision);
        }
        node.roster_refresh.notify_one();
    }
    let mut session = node.session.borrow_mut();
    session.claiming.swap_remove(&duty);
    session.free_since.swap_remove(&duty);
}

/// Writes the duty's key under this node's lease. Returns the epoch if this node owns the duty now.
async fn write_claim(node: &Rc<Node>, key: &str, key_revision: u64) -> Option<Epoch> {
    let lease = node.lease.lease()?;
    let txn = Transaction {
        expected: vec![Expected { key: key.to_owned(), revision: key_revision }],
        puts: vec![Put { key: key.to_owned(), value: own_record_json(node), lease: Some(lease) }],
        deletes: Vec::new(),
    };
    match node.store.transact(&txn).await {
        Ok(Outcome::Done(revision)) => Some(Epoch(revision)),
        Ok(Outcome::Conflict(_)) | Err(StoreError::Unavailable(_) | StoreError::NoLease) => None,
        Err(StoreError::Uncertain(_) | StoreError::Compacted) => {
            // The answer was lost, so the key's current value decides. A write that reaches the
            // store late, after another claim, finds another revision and fails.
            let item = node.store.get(key).await.ok()??;
            own_claim(&item, (&node.id, node.incarnation), key_revision)
        }
    }
}

/// The epoch of a claim whose answer was lost, if the duty's key shows that it took effect.
fn own_claim(
    item: &Item,
    (node, incarnation): (&NodeId, Incarnation),
    earlier_revision: u64,
) -> Option<Epoch> {
    let owner = serde_json::from_slice::<NodeRecord>(&item.value).ok()?;
    // A key that this process had claimed before shows its record without any effect of this claim.
    let is_new = item.revision != earlier_revision;
    let is_own = owner.node == *node && owner.incarnation == incarnation;
    (is_own && is_new).then_some(Epoch(item.revision))
}

/// Hands over all duties before the process ends, so that other nodes claim them at once.
pub(super) async fn hand_over(node: &Rc<Node>) {
    let cell_owners: Vec<Rc<host::CellOwner>> =
        node.cell_owners.borrow().values().cloned().collect();
    for owner in &cell_owners {
        owner.hand_over();
    }
    let fleet_owner = node.fleet.borrow().clone();
    if let Some(fleet_owner) = fleet_owner {
        fleet_owner.hand_over().await;
    }
    for owner in &cell_owners {
        owner.flush().await;
    }
    end_all_terms(node, "the node is stopping");
    let lease = node.lease.take();
    if let Some(lease) = lease
        && let Err(err) = node.store.revoke(lease).await
    {
        warn!(node.log, "failed to revoke the lease"; "error" => %err);
    }
    info!(node.log, "duties handed over"; "cells" => cell_owners.len());
}
