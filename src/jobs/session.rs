//! The node's registration in the store under its lease, and the end of its terms.
//!
//! One lease covers the node's registration and the keys of all its duties, so they all expire
//! together when the node dies. The revision of a duty's key is the epoch of the term. A node that
//! restarts under the same name and address knows that its earlier process has ended, and takes
//! over the duties of that process at once.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use futures_util::future::join_all;
use indexmap::{IndexMap, IndexSet};
use slog::{info, warn};
use teaselgap_core::{
    Epoch, Span, Timestamp,
    job::{Duty, LagMonitor, LinkRate, OrderRate, Permission},
};
use teaselgap_platform::{
    settings::{Limits, StoreSettings},
    store::{Expected, Item, Outcome, Put, StoreError, Transaction},
};

use super::{
    duties, host,
    lease::{LeaseStatus, RenewalConfig},
    members::{MEMBER_PREFIX, NodeRecord},
    node::Node,
    outage::{self, OutageQuestions},
};
use crate::clock;

/// The time-to-live of the node's lease, unless the store's minimum is longer.
const LEASE_TTL: Span = Span(2_000);

/// How often the node looks whether it still has its lease, and retries a failed registration. It
/// is short because the lease is short.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How often the node looks whether its registration is still right.
const REGISTRATION_CHECK_INTERVAL: Span = Span(500);

/// A check of the registration that takes longer than this counts as lost.
const MAX_REGISTRATION_CHECK: Span = Span(10_000);

/// How long the control thread may make no progress before the lease is renewed no more.
const MAX_CONTROL_STALL: Span = Span(3_000);

/// How long a node that has just registered waits for others to register before it claims free
/// duties, and how long its own registration may take to appear among the members.
pub(super) const SETTLE_TIME: Span = Span(600);

/// A node that last reached the store within this time counts as able to reach it.
pub(super) const STORE_REACHABLE_WINDOW: Span = Span(900);

/// The longest time for which an owner may give orders after another node has claimed its duty.
pub(super) fn owner_ttl(node: &Node) -> Span {
    Permission::orders_after_claim(lease_ttl(node))
}

/// The state of the node's registration and of the claims made under its lease.
#[derive(Debug, Default)]
pub(crate) struct Session {
    pub(super) registered_at: Timestamp,
    /// When the registration is checked next.
    next_registration_check: Timestamp,
    /// What the questions to other nodes whether they can reach the store have brought.
    pub(super) outage: OutageQuestions,
    /// Duties whose claim is in progress.
    pub(super) claiming: IndexSet<Duty>,
    /// Claims that may take effect although their outcomes are not known, each with when they no longer
    /// can.
    pub(super) open_claims: IndexMap<Duty, Timestamp>,
    /// When each free duty was first seen to be free.
    pub(super) free_since: IndexMap<Duty, Timestamp>,
    /// A time before the latest claim of each duty was sent, and the epoch that it brought.
    pub(super) claims_sent: IndexMap<Duty, (Epoch, Timestamp)>,
    /// Duties that are being handed over to another node.
    pub(super) handing_over: IndexSet<Duty>,
    /// How late the timers of this thread fire.
    pub(super) lag: LagMonitor,
    /// The order rate of this node in its registration.
    registered_rate: OrderRate,
}

impl Session {
    /// Creates the state of a node that is not registered.
    pub(super) fn new(store: &StoreSettings) -> Self {
        Self { outage: OutageQuestions::new(ttl(store)), ..Self::default() }
    }

    /// Whether a claim of this duty may have taken effect, or may still do so.
    pub(super) fn may_have_claimed(&self, duty: &str, now: Timestamp) -> bool {
        let is_open = self.open_claims.get(duty).is_some_and(|expiry| now < *expiry);
        is_open || self.claiming.contains(duty)
    }
}

/// Keeps the lease, follows members and owners, and claims duties until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    tokio::task::spawn_local(duties::follow_members(Rc::clone(&node)));
    tokio::task::spawn_local(duties::claim_duties(Rc::clone(&node)));
    keep_lease(&node).await;
}

pub(super) fn own_record(node: &Node) -> NodeRecord {
    NodeRecord {
        node: node.id.clone(),
        incarnation: node.incarnation,
        address: node.peer_address,
        order_rate: current_order_rate(node),
    }
}

/// What this node can carry at present.
pub(super) fn current_order_rate(node: &Node) -> OrderRate {
    let order_rate = order_rate(&node.settings.limits);
    if node.session.borrow().lag.is_lagging(clock::now()) {
        return order_rate.while_lagging();
    }
    order_rate
}

fn order_rate(limits: &Limits) -> OrderRate {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "not negative")]
    let cpu_milli = (limits.cpu_share * limits.cores * 1_000.0).max(0.0) as u64;
    OrderRate::from_resources(LinkRate::from_mbps(limits.link_mbps), cpu_milli)
}

pub(super) fn own_record_json(node: &Node) -> Vec<u8> {
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
        outage::ask_if_due(node);
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
    let (lease, granted_ttl) = node.repeater.grant(&node.store, lease_ttl(node).to_std()).await?;
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
    match node.repeater.transact(&node.store, &txn).await? {
        Outcome::Conflict(items) if !is_written(&items, &txn.puts) => {
            Err(StoreError::Unavailable("the registration was changed concurrently".to_owned()))
        }
        Outcome::Done(_) | Outcome::Conflict(_) => {
            node.session.borrow_mut().registered_rate = record.order_rate;
            Ok(())
        }
    }
}

/// Whether the items of a conflict show that an earlier copy of the writes took effect.
fn is_written(items: &[Item], puts: &[Put]) -> bool {
    let is_put = |item: &Item, put: &Put| {
        item.key == put.key && item.value == put.value && Some(item.lease) == put.lease
    };
    puts.iter().all(|put| items.iter().any(|item| is_put(item, put)))
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

/// Ends all terms once other nodes may own the duties. Whatever acts for an owner after it has waited
/// asks first: the process may have been paused meanwhile. A node that can't reach the store continues
/// beyond the end of its lease only while other nodes confirm that they can't reach it either.
pub(super) fn end_expired_terms(node: &Rc<Node>) {
    let valid_until = node.lease.valid_until();
    let now = clock::now();
    if valid_until == Timestamp(0) || has_no_duty(node) {
        return;
    }
    let is_over = node.session.borrow().outage.permission.is_over(valid_until, now);
    if is_over {
        end_all_terms(node, "the lease could not be renewed");
    }
}

/// The time until which certainly no other known node has claimed a duty of this one.
pub(super) fn sole_until(node: &Node) -> Timestamp {
    node.session.borrow().outage.permission.sole_until(node.lease.valid_until())
}

pub(super) fn has_no_duty(node: &Node) -> bool {
    node.cell_owners.borrow().is_empty() && node.fleet.borrow().is_none()
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
    // A silent store is waited for once, whatever the number of cells.
    join_all(cell_owners.iter().map(|owner| owner.flush())).await;
    end_all_terms(node, "the node is stopping");
    let lease = node.lease.take();
    if let Some(lease) = lease
        && let Err(err) = node.store.revoke(lease).await
    {
        warn!(node.log, "failed to revoke the lease"; "error" => %err);
    }
    info!(node.log, "duties handed over"; "cells" => cell_owners.len());
}
