//! What the store says of nodes, duties and declarations, and what this node does about duties.

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
    slots::{Keeper, Predecessor},
};

use super::{Control, Event, PLAN_INTERVAL, registration::NodeValue};
use crate::{
    command::publish::{Head, SavedService},
    journal::Owner,
    store::{
        Change, Condition, Priority, RangeResult, Store, StoreError, Transaction, Write,
        keys::ControlKey,
    },
};

/// Duties that one transaction writes; each takes a few operations of the store's limit.
const DUTIES_A_WRITE: usize = 24;

impl Control {
    pub(super) fn apply_range_result(&mut self, page: &RangeResult, now: Timestamp) {
        let changes = self.cache.load(page);
        self.apply_changes(changes, now);
    }

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
                    self.take_node(&node_incarnation, value.as_ref(), now);
                }
                (Some(ControlKey::Vm(vm)), value) => {
                    vms_changed = true;
                    self.apply_vm_record(vm, value.as_ref(), revision);
                }
                (Some(ControlKey::Duty(duty)), Some(value)) => {
                    duties_changed = true;
                    if let Ok(record) = serde_json::from_slice(&value) {
                        self.take_term(duty, Term { epoch: Epoch(revision), record }, now);
                    }
                }
                _ => {}
            }
        }
        self.cache.forget_gone();
        if nodes_changed {
            self.take_registered();
        }
        if head.is_some() || !services.is_empty() {
            self.take_generation(head, services, now);
        }
        if vms_changed {
            self.rebuild_soon(now);
        }
        if nodes_changed || duties_changed {
            self.publish_owners();
            self.plan_duties(now);
        }
    }

    fn take_node(
        &mut self,
        node_incarnation: &NodeIncarnation,
        value: Option<&Bytes>,
        now: Timestamp,
    ) {
        // A key that is gone says nothing about the node: only probes tell who is dead.
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

    /// Tells duties which incarnations are registered; of two of one node the later one counts.
    fn take_registered(&mut self) {
        let mut registered: IndexMap<NodeId, Incarnation> = IndexMap::new();
        for node_incarnation in self.cache.registered(&self.cfg.keys) {
            let known =
                registered.entry(node_incarnation.node).or_insert(node_incarnation.incarnation);
            *known = (*known).max(node_incarnation.incarnation);
        }
        self.duties.set_registered(registered);
        self.set_store_share();
    }

    fn take_term(&mut self, duty: DutyId, term: Term, now: Timestamp) {
        let mine = term.record.owner == *self.own_incarnation();
        info!(self.log, "duty owned"; "duty" => %duty, "owner" => %term.record.owner.node,
            "epoch" => term.epoch.0);
        self.duties.set_term(duty.clone(), term);
        if let DutyId::Slots(pool) = duty {
            if mine {
                self.ensure_keeper(&pool, now);
            } else {
                self.keepers.shift_remove(&pool);
            }
        }
    }

    /// Starts keeping a pool's ledger if this node's term is new.
    pub(super) fn ensure_keeper(&mut self, pool: &PoolId, now: Timestamp) {
        let Some(term) = self.duties.term(&DutyId::Slots(pool.clone())) else {
            return;
        };
        let known = self.keepers.get(pool).map(Keeper::epoch);
        if term.record.owner != *self.own_incarnation() || known == Some(term.epoch) {
            return;
        }
        let record = &term.record;
        let until = now + record.earlier_grants;
        let predecessor = match (&record.holders, record.succeeded) {
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
        self.start_keeping(pool, epoch, predecessor);
    }

    fn start_keeping(&mut self, pool: &PoolId, epoch: Epoch, predecessor: Predecessor) {
        let mut keeper = Keeper::new(epoch, self.slots_config(pool), predecessor);
        keeper.set_vms(self.pool_slots(pool));
        self.keepers.insert(pool.clone(), keeper);
        self.next_fleet = Timestamp(0);
    }

    /// Owned pools whose record names shorter grants than are to be made; their terms are renewed.
    fn outgrown(&self, now: Timestamp) -> Vec<Action> {
        let owned = self.duties.owned_terms(now).filter(|(duty, _)| !self.writing.contains(duty));
        let outgrown = owned.filter(|(duty, term)| match duty {
            DutyId::Slots(pool) => self.slots_config(pool).longest_grant() > term.record.own_grants,
            DutyId::Journal(_) => false,
        });
        let to = self.own_incarnation().clone();
        let renew = |(duty, term): (&DutyId, &Term)| Action::HandOver {
            duty: duty.clone(),
            expected: term.epoch,
            to: to.clone(),
        };
        outgrown.map(renew).collect()
    }

    /// What a new record says of grants, given what the last one said.
    fn grants(&self, duty: &DutyId) -> (Span, Span) {
        let DutyId::Slots(pool) = duty else {
            return (Span(0), Span(0));
        };
        let last = self.duties.term(duty).map(|term| &term.record);
        let earlier = last.map_or(Span(0), |last| last.own_grants.max(last.earlier_grants));
        (earlier, self.slots_config(pool).longest_grant())
    }

    pub(super) fn on_registered(&mut self, deadline: Timestamp, now: Timestamp) {
        let had_lapsed = now >= self.duties.lease_deadline();
        self.duties.set_lease_deadline(deadline);
        self.cfg.lease.set(deadline);
        if had_lapsed {
            self.plan_duties(now);
        }
    }

    /// All duties that there should be.
    fn wanted(&self) -> Vec<DutyId> {
        let partitions = self.cfg.shared.settings.journal.partitions;
        let declared = self.catalog.declarations().map(|declaration| &declaration.pool);
        // A VM may still belong to a pool that is not declared any more.
        let recorded = self.records.values().map(|known| &known.record.pool);
        let pools: IndexSet<&PoolId> = declared.chain(recorded).collect();
        let slots = pools.into_iter().cloned().map(DutyId::Slots);
        (0..partitions).map(DutyId::Journal).chain(slots).collect()
    }

    /// Claims and hands over what should be elsewhere than it is.
    pub(super) fn plan_duties(&mut self, now: Timestamp) {
        self.next_plan = now + PLAN_INTERVAL;
        self.duties.set_unreliable(self.members.unreliable(now));
        let wanted = self.wanted();
        let wanted = wanted.iter().filter(|duty| !self.writing.contains(duty));
        let mut plan = self.duties.plan(wanted, now);
        if plan.is_empty() {
            plan = self.outgrown(now);
        }
        for batch in plan.chunks(DUTIES_A_WRITE) {
            self.write_duties(batch);
        }
    }

    fn write_duties(&mut self, batch: &[Action]) {
        let mut transaction = Transaction::default();
        let own = self.own_incarnation().clone();
        transaction.conditions.push(Condition::Present(self.cfg.keys.node(&own)));
        let mut incarnations = HashSet::new();
        let mut duties = Vec::new();
        for action in batch {
            let (duty, expected, owner, holders, succeeded) = match action {
                Action::Claim { duty, expected, expired_owner } => {
                    if let Some(expired_owner) =
                        expired_owner.clone().filter(|node_incarnation| *node_incarnation != own)
                    {
                        incarnations.insert((expired_owner, false));
                    }
                    let succeeded = *expected != Epoch(0);
                    (duty, expected, own.clone(), None, succeeded)
                }
                Action::HandOver { duty, expected, to } => {
                    incarnations.insert((to.clone(), true));
                    (duty, expected, to.clone(), self.stop_keeping(duty), true)
                }
            };
            let (earlier_grants, own_grants) = self.grants(duty);
            let record = Record { owner, holders, succeeded, earlier_grants, own_grants };
            let key = self.cfg.keys.duty(duty);
            transaction.conditions.push(Condition::Revision(key.clone(), expected.0));
            let value = serde_json::to_vec(&record).unwrap_or_default().into();
            transaction.writes.push(Write::Put { key, value, lease: None });
            duties.push(duty.clone());
        }
        for (node_incarnation, present) in incarnations {
            let key = self.cfg.keys.node(&node_incarnation);
            let condition = if present { Condition::Present(key) } else { Condition::Absent(key) };
            transaction.conditions.push(condition);
        }
        self.writing.extend(duties.iter().cloned());
        let (store, tx) = (Arc::clone(&self.cfg.store), self.tx.clone());
        tokio::task::spawn_local(async move {
            let result = store.transact(&transaction, Priority::Control).await;
            // A write whose answer was lost shows in the watch if it took effect.
            let written = matches!(result, Ok(Some(_)) | Err(StoreError::Uncertain(_)));
            let _ = tx.send(Event::DutiesWritten { duties, written });
        });
    }

    /// Grants nothing more in a pool that is handed over; those who may hold slots of it.
    fn stop_keeping(&mut self, duty: &DutyId) -> Option<Vec<NodeIncarnation>> {
        let DutyId::Slots(pool) = duty else {
            return None;
        };
        let keeper = self.keepers.shift_remove(pool)?;
        if keeper.is_uncertain() {
            return None;
        }
        let incarnations = keeper.holders().into_iter();
        Some(
            incarnations.map(|(node, incarnation)| NodeIncarnation { node, incarnation }).collect(),
        )
    }

    pub(super) fn on_duty_write(&mut self, duties: &[DutyId], written: bool, now: Timestamp) {
        self.writing.retain(|duty| !duties.contains(duty));
        if written {
            return;
        }
        // What was to be handed over is kept after all, with nothing known of its holders.
        for duty in duties {
            let still_mine = self.duties.owned_epoch(duty, now);
            if let (Some(epoch), DutyId::Slots(pool)) = (still_mine, duty)
                && !self.keepers.contains_key(pool)
            {
                let until = now + self.slots_config(pool).longest_grant();
                self.start_keeping(pool, epoch, Predecessor::Lost { until });
            }
        }
    }

    /// Tells the journal who owns its partitions.
    pub(super) fn publish_owners(&self) {
        let partitions = self.cfg.shared.settings.journal.partitions;
        let owners = (0..partitions).map(|partition| {
            let (node_incarnation, epoch) = self.duties.owner(&DutyId::Journal(partition))?;
            let address = self.members.get(&node_incarnation.node)?.address;
            Some(Owner { node_incarnation: node_incarnation.clone(), epoch, address })
        });
        let owners: Vec<_> = owners.collect();
        self.cfg.owners.send_if_modified(|known| {
            let changed = *known != owners;
            if changed {
                *known = owners;
            }
            changed
        });
        self.set_store_share();
    }

    /// Divides the store's budget: most of the writes go to those who own the journal.
    fn set_store_share(&self) {
        let nodes = self.duties.registered_count();
        let partitions = self.cfg.shared.settings.journal.partitions;
        let owned = (0..partitions).filter(|&partition| {
            let owner = self.duties.owner(&DutyId::Journal(partition));
            owner.is_some_and(|(node_incarnation, _)| node_incarnation == self.own_incarnation())
        });
        self.cfg.store.set_share(nodes, owned.count(), partitions as usize);
    }

    /// Takes in a new generation, whole or not at all.
    fn take_generation(
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
                    self.refused = Some((generation, format!("{service}: {reason}")));
                    return;
                }
            }
        }
        let newest = records.iter().map(|(_, record)| record.generation).max();
        let generation = head.or(newest).unwrap_or_default().max(self.catalog.generation());
        if self.catalog.merge(Delta { generation, records }) {
            if self.refused.as_ref().is_some_and(|(refused, _)| *refused < generation) {
                self.refused = None;
            }
            info!(self.log, "generation in force"; "generation" => generation.0);
            self.rebuild_pools(now);
            self.plan_duties(now);
            self.publish_view(now);
        }
    }
}

fn parse_generation(value: &Bytes) -> Option<Generation> {
    serde_json::from_slice::<Head>(value).ok().map(|head| head.generation)
}

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
