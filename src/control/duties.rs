//! Applies changes of the store's control prefix, and claims and hands over duties.
//!
//! The control prefix holds the registered nodes, the duties' records, the declarations and the
//! VMs' records. The epoch of a term is the store's revision of the duty's record.

use std::{collections::HashSet, sync::Arc};

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use slog::{info, warn};
use teaselgap_core::{
    Epoch, Generation, Incarnation, NodeId, PoolId, ServiceId, Span, Timestamp,
    catalog::{self, Delta},
    declare,
    duty::{Action, DutyId, NodeIncarnation, Record, Term},
    membership::{Member, State},
    slots::{Predecessor, SlotLedger},
};

use super::{Control, DUTY_PLAN_INTERVAL, Event, registration::NodeValue};
use crate::{
    command::publish::{Head, SavedService},
    journal::Owner,
    store::{
        Change, Condition, Priority, RangeResult, Store, StoreError, Transaction, Write,
        keys::ControlKey,
    },
};

/// Most duty records in one transaction. Each takes a few of the operations that the store allows,
/// and the store limits the operations of a transaction.
const MAX_DUTIES_PER_WRITE: usize = 24;

impl Control {
    /// Applies a complete read of the control prefix.
    pub(super) fn apply_range_result(&mut self, result: &RangeResult, now: Timestamp) {
        let changes = self.cache.load(result);
        self.apply_changes(changes, now);
    }

    /// Applies changes from the store's watch or from another node, and skips outdated ones.
    pub(super) fn apply_changes(&mut self, changes: Vec<Change>, now: Timestamp) {
        let mut services = Vec::new();
        let mut head = None;
        let mut nodes_changed = false;
        let mut vms_changed = false;
        let mut duties_changed = false;
        for change in changes {
            let key = self.cfg.keys.parse_control(&change.key);
            let (revision, value) = (change.revision, change.value.clone());
            if !self.cache.apply(change) {
                continue;
            }
            match (key, value) {
                (Some(ControlKey::Head), Some(value)) => head = parse_generation(&value),
                (Some(ControlKey::Service(service)), Some(value)) => {
                    services.push((service, value));
                }
                (Some(ControlKey::Node(node_incarnation)), value) => {
                    nodes_changed = true;
                    self.merge_registered_node(&node_incarnation, value.as_ref(), now);
                }
                (Some(ControlKey::Vm(vm)), value) => {
                    vms_changed = true;
                    self.apply_vm_record(vm, value.as_ref(), revision);
                }
                (Some(ControlKey::Duty(duty)), Some(value)) => {
                    duties_changed = true;
                    if let Ok(record) = serde_json::from_slice(&value) {
                        self.apply_term(duty, Term { epoch: Epoch(revision), record }, now);
                    }
                }
                _ => {}
            }
        }
        self.cache.prune_deleted();
        if nodes_changed {
            self.update_registered_nodes();
        }
        if head.is_some() || !services.is_empty() {
            self.apply_generation(head, services, now);
        }
        if vms_changed {
            self.rebuild_pools_soon(now);
        }
        if nodes_changed || duties_changed {
            self.publish_partition_owners();
            self.plan_duties(now);
        }
    }

    /// Adds the node of a registration key to the members.
    fn merge_registered_node(
        &mut self,
        node_incarnation: &NodeIncarnation,
        value: Option<&Bytes>,
        now: Timestamp,
    ) {
        // A deleted key does not make a member dead: only failed probes do.
        let Some(value) = value.and_then(|v| serde_json::from_slice::<NodeValue>(v).ok()) else {
            return;
        };
        let member = Member {
            incarnation: node_incarnation.incarnation,
            refutation: 0,
            state: State::Alive,
            address: value.peer,
            zone: value.zone,
        };
        self.members.merge(&node_incarnation.node, member, now);
    }

    /// Passes the registered incarnations to the duties, the newest one of each node.
    fn update_registered_nodes(&mut self) {
        let mut registered: IndexMap<NodeId, Incarnation> = IndexMap::new();
        for node_incarnation in self.cache.registered_incarnations(&self.cfg.keys) {
            let newest =
                registered.entry(node_incarnation.node).or_insert(node_incarnation.incarnation);
            *newest = (*newest).max(node_incarnation.incarnation);
        }
        self.duties.set_registered(registered);
        self.set_store_share();
    }

    /// Records a duty's term, and creates or drops the ledger of a pool.
    fn apply_term(&mut self, duty: DutyId, term: Term, now: Timestamp) {
        let is_own = term.record.owner == *self.own_incarnation();
        info!(self.log, "new duty term"; "duty" => %duty, "owner" => %term.record.owner.node,
            "epoch" => term.epoch.0);
        self.duties.set_term(duty.clone(), term);
        if let DutyId::Slots(pool) = duty {
            if is_own {
                self.ensure_ledger(&pool, now);
            } else {
                self.ledgers.shift_remove(&pool);
            }
        }
    }

    /// Creates the ledger of a pool if this node owns the current term and has none for it yet.
    pub(super) fn ensure_ledger(&mut self, pool: &PoolId, now: Timestamp) {
        let Some(term) = self.duties.term(&DutyId::Slots(pool.clone())) else {
            return;
        };
        let ledger_epoch = self.ledgers.get(pool).map(SlotLedger::epoch);
        if term.record.owner != *self.own_incarnation() || ledger_epoch == Some(term.epoch) {
            return;
        }
        let record = &term.record;
        let until = now + record.earlier_grants;
        let predecessor = match (&record.holders, record.has_predecessor) {
            (Some(holders), _) => {
                let ids = holders.iter().map(|node_incarnation| {
                    (node_incarnation.node.clone(), node_incarnation.incarnation)
                });
                Predecessor::HandedOver { holders: ids.collect(), until }
            }
            (None, true) => Predecessor::Lost { until },
            (None, false) => Predecessor::None,
        };
        let epoch = term.epoch;
        self.create_ledger(pool, epoch, predecessor);
    }

    /// Creates the ledger of a pool, in place of an earlier one.
    fn create_ledger(&mut self, pool: &PoolId, epoch: Epoch, predecessor: Predecessor) {
        let mut ledger = SlotLedger::new(epoch, self.slots_config(pool), predecessor);
        ledger.set_vms(self.grantable_vms_in(pool));
        self.ledgers.insert(pool.clone(), ledger);
        // Zero lets the next tick step the fleet at once.
        self.next_fleet_step = Timestamp(0);
    }

    /// Renews the terms of the pools that this node owns and whose longest grant has become longer
    /// than recorded, by a handover to itself.
    fn plan_term_renewals(&self, now: Timestamp) -> Vec<Action> {
        let owned = self
            .duties
            .owned_terms(now)
            .filter(|(duty, _)| !self.duties_being_written.contains(duty));
        let outdated = owned.filter(|(duty, term)| match duty {
            DutyId::Slots(pool) => {
                self.slots_config(pool).max_grant_duration() > term.record.own_grants
            }
            DutyId::Journal(_) => false,
        });
        let to = self.own_incarnation().clone();
        let renew = |(duty, term): (&DutyId, &Term)| Action::HandOver {
            duty: duty.clone(),
            expected_epoch: term.epoch,
            to: to.clone(),
        };
        outdated.map(renew).collect()
    }

    /// How long grants can remain valid, for a duty's next record: those of earlier terms
    /// (`earlier_grants`) and those of the next term (`own_grants`).
    fn grant_durations(&self, duty: &DutyId) -> (Span, Span) {
        let DutyId::Slots(pool) = duty else {
            return (Span(0), Span(0));
        };
        let previous = self.duties.term(duty).map(|term| &term.record);
        let earlier =
            previous.map_or(Span(0), |previous| previous.own_grants.max(previous.earlier_grants));
        (earlier, self.slots_config(pool).max_grant_duration())
    }

    /// Records the new deadline of this node's lease, and plans duties if the lease had expired.
    pub(super) fn on_registered(&mut self, deadline: Timestamp, now: Timestamp) {
        let had_expired = now >= self.duties.lease_deadline();
        self.duties.set_lease_deadline(deadline);
        self.cfg.lease.set(deadline);
        if had_expired {
            self.plan_duties(now);
        }
    }

    /// All duties that need an owner.
    fn required_duties(&self) -> Vec<DutyId> {
        let partitions = self.cfg.shared.settings.journal.partitions;
        let declared = self.catalog.declarations().map(|declaration| &declaration.pool);
        // A VM may belong to a pool that is no longer declared.
        let recorded = self.records.values().map(|stored| &stored.record.pool);
        let pools: IndexSet<&PoolId> = declared.chain(recorded).collect();
        let slots = pools.into_iter().cloned().map(DutyId::Slots);
        (0..partitions).map(DutyId::Journal).chain(slots).collect()
    }

    /// Claims duties that this node should own and hands over those that another node should own.
    pub(super) fn plan_duties(&mut self, now: Timestamp) {
        self.next_duty_plan = now + DUTY_PLAN_INTERVAL;
        self.duties.set_unreliable(self.members.unreliable(now));
        let required = self.required_duties();
        let required = required.iter().filter(|duty| !self.duties_being_written.contains(duty));
        let mut plan = self.duties.plan(required, now);
        if plan.is_empty() {
            plan = self.plan_term_renewals(now);
        }
        for batch in plan.chunks(MAX_DUTIES_PER_WRITE) {
            self.write_duties(batch);
        }
    }

    /// Writes the records of planned claims and handovers in one transaction.
    fn write_duties(&mut self, batch: &[Action]) {
        let mut transaction = Transaction::default();
        let own = self.own_incarnation().clone();
        transaction.conditions.push(Condition::Present(self.cfg.keys.node(&own)));
        let mut incarnations = HashSet::new();
        let mut duties = Vec::new();
        for action in batch {
            let (duty, expected_epoch, owner, holders, has_predecessor) = match action {
                Action::Claim { duty, expected_epoch, expired_owner } => {
                    if let Some(expired_owner) =
                        expired_owner.clone().filter(|node_incarnation| *node_incarnation != own)
                    {
                        incarnations.insert((expired_owner, false));
                    }
                    let has_predecessor = *expected_epoch != Epoch(0);
                    (duty, expected_epoch, own.clone(), None, has_predecessor)
                }
                Action::HandOver { duty, expected_epoch, to } => {
                    incarnations.insert((to.clone(), true));
                    (duty, expected_epoch, to.clone(), self.drop_ledger(duty), true)
                }
            };
            let (earlier_grants, own_grants) = self.grant_durations(duty);
            let record = Record { owner, holders, has_predecessor, earlier_grants, own_grants };
            let key = self.cfg.keys.duty(duty);
            transaction.conditions.push(Condition::Revision(key.clone(), expected_epoch.0));
            let value = serde_json::to_vec(&record).unwrap_or_default().into();
            transaction.writes.push(Write::Put { key, value, lease: None });
            duties.push(duty.clone());
        }
        for (node_incarnation, present) in incarnations {
            let key = self.cfg.keys.node(&node_incarnation);
            let condition = if present { Condition::Present(key) } else { Condition::Absent(key) };
            transaction.conditions.push(condition);
        }
        self.duties_being_written.extend(duties.iter().cloned());
        let (store, tx) = (Arc::clone(&self.cfg.store), self.tx.clone());
        tokio::task::spawn_local(async move {
            let result = store.transact(&transaction, Priority::Control).await;
            // After a lost reply the watch shows whether the write took effect.
            let may_be_written = matches!(result, Ok(Some(_)) | Err(StoreError::Uncertain(_)));
            let _ = tx.send(Event::DutiesWritten { duties, may_be_written });
        });
    }

    /// Drops the ledger of a pool that is handed over, so that this node grants no more slots.
    ///
    /// Returns the nodes that may hold slots of the pool, or `None` if there is no ledger or if
    /// grants of earlier terms that it does not contain may still be valid.
    fn drop_ledger(&mut self, duty: &DutyId) -> Option<Vec<NodeIncarnation>> {
        let DutyId::Slots(pool) = duty else {
            return None;
        };
        let ledger = self.ledgers.shift_remove(pool)?;
        if ledger.is_uncertain() {
            return None;
        }
        let incarnations = ledger.holders().into_iter();
        Some(
            incarnations.map(|(node, incarnation)| NodeIncarnation { node, incarnation }).collect(),
        )
    }

    /// Handles the end of a write of duty records.
    pub(super) fn on_duty_write(
        &mut self,
        duties: &[DutyId],
        may_be_written: bool,
        now: Timestamp,
    ) {
        self.duties_being_written.retain(|duty| !duties.contains(duty));
        if may_be_written {
            return;
        }
        // This node still owns the pools whose handover failed. Their ledgers were dropped, so the
        // new ones start without knowing the holders.
        for duty in duties {
            let owned_epoch = self.duties.owned_epoch(duty, now);
            if let (Some(epoch), DutyId::Slots(pool)) = (owned_epoch, duty)
                && !self.ledgers.contains_key(pool)
            {
                let until = now + self.slots_config(pool).max_grant_duration();
                self.create_ledger(pool, epoch, Predecessor::Lost { until });
            }
        }
    }

    /// Publishes the owners of the journal's partitions to the journal.
    pub(super) fn publish_partition_owners(&self) {
        let partitions = self.cfg.shared.settings.journal.partitions;
        let owners = (0..partitions).map(|partition| {
            let (node_incarnation, epoch) = self.duties.owner(&DutyId::Journal(partition))?;
            let address = self.members.get(&node_incarnation.node)?.address;
            Some(Owner { node_incarnation: node_incarnation.clone(), epoch, address })
        });
        let owners: Vec<_> = owners.collect();
        self.cfg.owners.send_if_modified(|published| {
            let changed = *published != owners;
            if changed {
                *published = owners;
            }
            changed
        });
        self.set_store_share();
    }

    /// Sets this node's share of the limits on the nodes' rates of store calls. The owners of the
    /// journal's partitions get most of the write rate.
    fn set_store_share(&self) {
        let nodes = self.duties.registered_count();
        let partitions = self.cfg.shared.settings.journal.partitions;
        let owned = (0..partitions).filter(|&partition| {
            let owner = self.duties.owner(&DutyId::Journal(partition));
            owner.is_some_and(|(node_incarnation, _)| node_incarnation == self.own_incarnation())
        });
        self.cfg.store.set_share(nodes, owned.count(), partitions as usize);
    }

    /// Applies a new generation of declarations, or none of it if one service can't be parsed.
    fn apply_generation(
        &mut self,
        head: Option<Generation>,
        services: Vec<(ServiceId, Bytes)>,
        now: Timestamp,
    ) {
        let mut records = Vec::new();
        for (service, value) in services {
            match parse_service(&service, &value) {
                Ok(record) => records.push((service, record)),
                Err(reason) => {
                    let generation = head.unwrap_or(self.catalog.generation());
                    warn!(self.log, "generation refused"; "generation" => generation.0,
                        "service" => %service, "reason" => &reason);
                    self.refused_generation = Some((generation, format!("{service}: {reason}")));
                    return;
                }
            }
        }
        let newest = records.iter().map(|(_, record)| record.generation).max();
        let generation = head.or(newest).unwrap_or_default().max(self.catalog.generation());
        if self.catalog.merge(Delta { generation, records }) {
            if self.refused_generation.as_ref().is_some_and(|(refused, _)| *refused < generation) {
                self.refused_generation = None;
            }
            info!(self.log, "generation applied"; "generation" => generation.0);
            self.rebuild_pools(now);
            self.plan_duties(now);
            self.publish_view(now);
        }
    }
}

fn parse_generation(value: &Bytes) -> Option<Generation> {
    serde_json::from_slice::<Head>(value).ok().map(|head| head.generation)
}

/// Parses the declaration stored for a service; the error lists all problems.
fn parse_service(service: &ServiceId, value: &Bytes) -> Result<catalog::Record, String> {
    let saved: SavedService = serde_json::from_slice(value).map_err(|err| err.to_string())?;
    let generation = saved.generation;
    let Some(json) = saved.declaration else {
        return Ok(catalog::Record { generation, declaration: None });
    };
    let text = serde_json::to_vec(&json).map_err(|err| err.to_string())?;
    let declaration = declare::parse(service.as_str(), &text).map_err(|problems| {
        problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
    })?;
    Ok(catalog::Record { generation, declaration: Some(Arc::new(declaration)) })
}
