//! The duties that this node claims, owns and hands over.
//!
//! The store keeps a key for each duty, whose revision is the epoch of the term. All nodes follow
//! these keys and compute the same proposal of owners from them.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use slog::{info, warn};
use teaselgap_core::{
    Epoch, Incarnation, NodeId, ServiceId, Span, Timestamp,
    job::{Duty, duty_to_hand_over, propose_owners},
};
use teaselgap_platform::{
    config::Config,
    store::{Change, Expected, Item, Outcome, Put, StoreError, Transaction},
};

use super::{
    fleet, host,
    members::{CONTROL_PREFIX, DUTY_PREFIX, LOG_MARK_PREFIX, Members, NodeRecord},
    node::{FLEET_DUTY, Node},
    session::{
        SETTLE_TIME, STORE_REACHABLE_WINDOW, current_order_rate, own_record, own_record_json,
    },
};
use crate::clock;

/// How long one watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause before members and owners are read again after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// How much longer a node waits before claiming a free duty for each candidate that precedes it.
const RANK_DELAY: Span = Span(250);

/// How often the node looks for duties that it should claim.
const DUTY_POLL_INTERVAL: Span = Span(100);

/// How long a claim that got no answer may still take effect.
const OPEN_CLAIM_TIME: Span = Span(15_000);

/// How long an owner keeps a cell that waits for no workers of earlier terms before it may hand it over to a
/// node that can carry more.
const MIN_TENURE: Span = Span(3_000);

/// The name of the duty to own a service's cell.
pub(super) fn cell_duty(cell: &ServiceId) -> Duty {
    format!("cell/{cell}")
}

/// The service whose cell a duty is to own; `None` for other duties.
pub(super) fn cell_of_duty(duty: &str) -> Option<ServiceId> {
    duty.strip_prefix("cell/")?.parse().ok()
}

/// The duties that need an owner: the fleet, the cell of each configured service, and each cell whose log
/// may hold jobs although no route names its service any more.
pub(super) fn needed(config: &Config, members: &Members) -> IndexSet<Duty> {
    let configured = config.queues.values().map(|queue| &queue.service);
    let cells = configured.chain(&members.marked_logs).map(cell_duty);
    std::iter::once(FLEET_DUTY.to_owned()).chain(cells).collect()
}

/// The store key of the mark that a cell's log may hold jobs.
pub(super) fn log_mark_key(cell: &ServiceId) -> String {
    format!("{LOG_MARK_PREFIX}{cell}")
}

/// The store key of a duty.
pub(super) fn duty_key(duty: &str) -> String {
    format!("{DUTY_PREFIX}{duty}")
}

/// Keeps the members and owners up to date with the store.
pub(super) async fn follow_members(node: Rc<Node>) {
    loop {
        if let Err(err) = follow_once(&node).await {
            if err != StoreError::Compacted {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            node.members.borrow_mut().revision = 0;
        }
    }
}

/// What was read of the members and owners.
#[derive(Debug)]
enum Reading {
    /// All of them, as of this revision.
    All(Vec<Item>, u64),
    /// What has changed up to this revision.
    Changes(Vec<Change>, u64),
}

async fn follow_once(node: &Rc<Node>) -> Result<(), StoreError> {
    let after = node.members.borrow().revision;
    let reading = if after == 0 {
        let range = node.store.range(CONTROL_PREFIX, false).await?;
        Reading::All(range.items, range.revision)
    } else {
        let (changes, revision) = node.store.watch(CONTROL_PREFIX, after, WATCH_TIMEOUT).await?;
        Reading::Changes(changes, revision)
    };
    apply_reading(node, reading);
    Ok(())
}

fn apply_reading(node: &Rc<Node>, reading: Reading) {
    let mut members = node.members.borrow_mut();
    match reading {
        Reading::All(items, revision) => members.replace_all(&items, revision),
        Reading::Changes(changes, revision) => {
            for Change { key, value, revision } in changes {
                members.apply_change(&key, value.as_deref(), revision);
            }
            members.revision = revision;
        }
    }
    members.record_reading(clock::now());
    drop(members);
    check_own_duties(node);
    report_ended_predecessors(node);
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

/// Tells the owners of cells whose previous owner's process is known to have ended: it sends no more orders.
fn report_ended_predecessors(node: &Rc<Node>) {
    let members = node.members.borrow();
    let own = own_record(node);
    for owner in node.cell_owners.borrow().values() {
        if let Some(ended) = members.ended_predecessor(&cell_duty(owner.service()), &own) {
            owner.on_predecessor_ended(ended);
        }
    }
}

/// Claims, at regular intervals, the duties that this node should own, and hands over those that
/// another node should own.
pub(super) async fn claim_duties(node: Rc<Node>) {
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
    let own_rate = current_order_rate(node);
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
    let proposal = propose_owners(&duties, &owners, &members.candidates((&node.id, own_rate)));
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

/// Whether the owner of a cell may hand it over, whose wait for workers of earlier terms was over at
/// `wait_end`; `None` while it lasts. The next owner would have to adopt all workers again.
fn has_settled(wait_end: Option<Timestamp>, now: Timestamp) -> bool {
    wait_end.is_some_and(|end| now >= end + MIN_TENURE)
}

/// The cell that this node should hand over now, if any; one at a time.
fn cell_to_hand_over(node: &Rc<Node>) -> Option<Rc<host::CellOwner>> {
    let now = clock::now();
    let own_rate = current_order_rate(node);
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
    let movable: Vec<Duty> = cell_owners
        .values()
        .filter(|owner| owner.is_serving() && has_settled(owner.inherited_wait_end(), now))
        .map(|owner| cell_duty(owner.service()))
        .filter(|duty| owners.get(duty) == Some(&node.id))
        .collect();
    let candidates = members.candidates((&node.id, own_rate));
    let duty = duty_to_hand_over(&node.id, &movable, &owners, &candidates)?;
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
    if let Err(err) = node.repeater.transact(&node.store, &txn).await {
        // This node claims the duty again if its key is still there.
        warn!(node.log, "failed to release a duty"; "seat" => &duty, "error" => %err);
    }
    node.session.borrow_mut().handing_over.swap_remove(&duty);
}

async fn claim_duty(node: Rc<Node>, duty: Duty, key_revision: u64) {
    let key = duty_key(&duty);
    let lease = node.lease.lease();
    let sent = clock::now();
    let claim = write_claim(&node, &key, (key_revision, lease)).await;
    let epoch = claim.map(|claim| claim.epoch);
    if let Some(epoch) = epoch.filter(|epoch| is_claim_current(&node, &duty, (*epoch, lease))) {
        // A claim that was found in the store may have been sent at any time.
        let sent = if claim.is_some_and(|claim| claim.is_answered) { sent } else { Timestamp(0) };
        begin_term(&node, &duty, (epoch, key_revision), sent);
    }
    let mut session = node.session.borrow_mut();
    session.claiming.swap_remove(&duty);
    session.free_since.swap_remove(&duty);
}

/// Begins the term of a claim that was sent at `sent` and has taken effect. The duty's key had `key_revision`
/// before; zero if there was none.
fn begin_term(node: &Rc<Node>, duty: &Duty, (epoch, key_revision): (Epoch, u64), sent: Timestamp) {
    let own_rate = current_order_rate(node);
    let largest_rate = node.members.borrow().largest_order_rate((&node.id, own_rate));
    info!(node.log, "duty claimed"; "seat" => duty, "epoch" => epoch.0,
        "earlier_revision" => key_revision, "order_rate" => %own_rate,
        "largest_order_rate" => %largest_rate);
    node.members.borrow_mut().record_owner(duty, own_record(node), epoch.0);
    node.members.borrow_mut().record_claim(duty, epoch, clock::now());
    node.session.borrow_mut().claims_sent.insert(duty.clone(), (epoch, sent));
    if duty == FLEET_DUTY {
        fleet::start(node, epoch);
    } else if let Some(cell) = cell_of_duty(duty) {
        host::start(node, cell, epoch, key_revision);
        report_ended_predecessors(node);
    }
    node.roster_refresh.notify_one();
}

/// Whether the term of a claim may begin that was made under this lease. The process may have been
/// paused meanwhile, so that the lease has expired, another one has replaced it, and other nodes have
/// claimed the duty since.
fn is_claim_current(node: &Node, duty: &Duty, (epoch, lease): (Epoch, Option<u64>)) -> bool {
    let is_later_known = node.members.borrow().has_later_term(duty, epoch);
    let is_current = depends_on(lease, node.lease.lease()) && !is_later_known;
    if !is_current {
        warn!(node.log, "claim not used"; "seat" => duty, "epoch" => epoch.0, "lease" => lease,
            "newest_lease" => node.lease.lease(), "later_term_known" => is_later_known);
    }
    is_current
}

/// Whether a key that was written under the first lease depends on the node's present one.
fn depends_on(written_under: Option<u64>, present: Option<u64>) -> bool {
    written_under.is_some() && written_under == present
}

/// A claim that has taken effect.
#[derive(Clone, Copy, Debug)]
struct NewClaim {
    epoch: Epoch,
    /// Whether the store has said so in answer to this claim, and not only its key, which may show an earlier
    /// one.
    is_answered: bool,
}

/// Writes the duty's key under this lease of the node. Returns the claim if this node owns the duty now.
async fn write_claim(
    node: &Rc<Node>,
    key: &str,
    (key_revision, lease): (u64, Option<u64>),
) -> Option<NewClaim> {
    let lease = lease?;
    let txn = Transaction {
        expected: vec![Expected { key: key.to_owned(), revision: key_revision }],
        puts: vec![Put { key: key.to_owned(), value: own_record_json(node), lease: Some(lease) }],
        deletes: Vec::new(),
    };
    let duty = key.strip_prefix(DUTY_PREFIX).unwrap_or(key);
    let expiry = clock::now() + OPEN_CLAIM_TIME;
    node.session.borrow_mut().open_claims.insert(duty.to_owned(), expiry);
    let result = node.repeater.transact(&node.store, &txn).await;
    if !matches!(result, Err(StoreError::Uncertain(_) | StoreError::Compacted)) {
        node.session.borrow_mut().open_claims.swap_remove(duty);
    }
    match result {
        Ok(Outcome::Done(revision)) => Some(NewClaim { epoch: Epoch(revision), is_answered: true }),
        // An earlier copy of this claim may have taken effect without an answer.
        Ok(Outcome::Conflict(items)) => {
            let item = items.iter().find(|item| item.key == key && item.lease == lease)?;
            let epoch = own_claim(item, (&node.id, node.incarnation), key_revision)?;
            (!had_term(node, key, epoch)).then_some(NewClaim { epoch, is_answered: false })
        }
        Err(StoreError::Unavailable(_) | StoreError::NoLease) => None,
        Err(StoreError::Uncertain(_) | StoreError::Compacted) => {
            // The answer was lost, so the key's current value decides. A write that reaches the
            // store late, after another claim, finds another revision and fails.
            let item = node.store.get(key).await.ok()?.filter(|item| item.lease == lease)?;
            let epoch = own_claim(&item, (&node.id, node.incarnation), key_revision)?;
            (!had_term(node, key, epoch)).then_some(NewClaim { epoch, is_answered: false })
        }
    }
}

/// Whether this process has acted as the owner of the duty with this key in the term of `epoch`.
fn had_term(node: &Node, key: &str, epoch: Epoch) -> bool {
    let fleet_epoch = node.fleet.borrow().as_ref().map(|fleet_owner| fleet_owner.epoch());
    let is_cell = |service: &ServiceId| duty_key(&cell_duty(service)) == key;
    let cell_owners = node.cell_owners.borrow();
    let ended_terms = node.ended_terms.borrow();
    let mut current = cell_owners.values().filter(|owner| is_cell(owner.service()));
    let mut ended = ended_terms.iter().filter(|(service, _)| is_cell(service));
    current.any(|owner| owner.epoch() == epoch)
        || ended.any(|(_, term)| term.epoch() == epoch)
        || (key == duty_key(FLEET_DUTY) && fleet_epoch == Some(epoch))
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
