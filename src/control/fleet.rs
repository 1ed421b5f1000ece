//! What a keeper does about the VMs of its pools: their records, drains, moves and maintenance.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use indexmap::IndexMap;
use slog::{info, warn};
use teaselgap_core::{
    Epoch, PoolId, Slots, Span, Timestamp, VmId,
    duty::DutyId,
    fleet::{NextStep, Plan, VmObservation, VmRecord, next_step},
    maintain::{Decision, Shortfall, Tolerance, VmView},
    slots::Keeper,
};

use super::{Control, Event};
use crate::{
    clock,
    store::{Condition, Priority, Store, Transaction, Write},
    vm_list::{self, Vm, VmState},
};

/// A VM's record with the store's revision of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StoredRecord {
    pub(super) record: VmRecord,
    revision: u64,
}

/// How often VMs are looked at when nothing changed.
const FLEET_INTERVAL: Span = Span(500);

/// How long the platform may take to maintain a VM.
const RETURN_TIME: Span = Span(30 * 60_000);

/// Records in one transaction.
const RECORDS_A_WRITE: usize = 50;

/// A record to be written: in place of the one at this revision, zero for none.
struct Change {
    vm: VmId,
    revision: u64,
    /// `None` deletes the record.
    record: Option<VmRecord>,
}

impl Control {
    pub(super) fn apply_vm_record(&mut self, vm: VmId, value: Option<&Bytes>, revision: u64) {
        match value.and_then(|value| serde_json::from_slice::<VmRecord>(value).ok()) {
            Some(record) => {
                let before = self.records.get(&vm).map(|known| &known.record);
                if before != Some(&record) {
                    info!(self.log, "VM recorded"; "vm" => %vm, "pool" => %record.pool,
                        "plan" => format!("{:?}", record.plan));
                }
                self.records.insert(vm, StoredRecord { record, revision });
            }
            None => {
                self.records.shift_remove(&vm);
            }
        }
    }

    pub(super) fn on_vm_write(&mut self, vms: &[VmId]) {
        for vm in vms {
            self.writing_vms.remove(vm);
        }
    }

    /// Takes the next steps for the VMs of all pools that this node keeps.
    pub(super) fn step_fleet(&mut self, now: Timestamp) {
        self.next_fleet = now + FLEET_INTERVAL;
        let pools: Vec<(PoolId, Epoch)> = self
            .keepers
            .iter()
            .map(|(pool, keeper)| (pool.clone(), keeper.epoch()))
            .filter(|(pool, _)| {
                self.duties.owned_epoch(&DutyId::Slots(pool.clone()), now).is_some()
            })
            .collect();
        let mut unrecorded: HashMap<PoolId, Vec<VmId>> = HashMap::new();
        for vm in self.fleet.values().filter(|vm| !self.records.contains_key(&vm.id)) {
            unrecorded.entry(vm.pool.clone()).or_default().push(vm.id.clone());
        }
        let mut recorded: HashMap<PoolId, Vec<VmId>> = HashMap::new();
        for (vm, known) in &self.records {
            recorded.entry(known.record.pool.clone()).or_default().push(vm.clone());
        }
        for (pool, epoch) in pools {
            let mut changes = self.records_to_add(&pool, unrecorded.remove(&pool));
            let vms = recorded.remove(&pool).unwrap_or_default();
            changes.extend(self.steps(&pool, &vms, now));
            changes.extend(self.maintenance(&pool, &vms, now));
            for batch in changes.chunks(RECORDS_A_WRITE) {
                self.write_records(&pool, epoch, batch);
            }
        }
    }

    /// VMs that the list puts into the pool and that belong to none yet.
    fn records_to_add(&self, pool: &PoolId, unrecorded: Option<Vec<VmId>>) -> Vec<Change> {
        let add = |vm| Change { vm, revision: 0, record: Some(VmRecord::serving(pool.clone())) };
        let unrecorded = unrecorded.unwrap_or_default().into_iter();
        unrecorded.filter(|vm| !self.is_writing(vm)).map(add).collect()
    }

    fn is_writing(&self, vm: &VmId) -> bool {
        self.writing_vms.contains(vm)
    }

    fn steps(&mut self, pool: &PoolId, vms: &[VmId], now: Timestamp) -> Vec<Change> {
        let Some(keeper) = self.keepers.get(pool) else {
            return Vec::new();
        };
        let drain_deadline = Timestamp(clock::wall_ms()) + self.drain_time(pool);
        let mut steps = Vec::new();
        for vm in vms.iter().filter(|vm| !self.is_writing(vm)) {
            let Some(known) = self.records.get(vm) else {
                continue;
            };
            let seen = observe(vm, &known.record, self.fleet.get(vm), keeper, drain_deadline);
            steps.push((vm.clone(), known.clone(), next_step(&known.record, &seen)));
        }
        let mut changes = Vec::new();
        for (vm, known, step) in steps {
            match step {
                NextStep::Wait => {}
                NextStep::Write(record) => {
                    self.note_step(pool, &vm, &known.record, &record);
                    changes.push(Change { vm, revision: known.revision, record: Some(record) });
                }
                NextStep::DeleteRecord => {
                    changes.push(Change { vm, revision: known.revision, record: None });
                }
                NextStep::AskForMaintenance => self.request_maintenance(&vm),
                NextStep::Failed => {
                    warn!(self.log, "VM did not come back"; "vm" => %vm, "pool" => %pool);
                    self.waves.entry(pool.clone()).or_default().record_failure(&vm, now);
                }
            }
        }
        changes
    }

    fn note_step(&mut self, pool: &PoolId, vm: &VmId, from: &VmRecord, to: &VmRecord) {
        info!(self.log, "VM step"; "vm" => %vm, "pool" => %pool, "to_pool" => %to.pool,
            "from" => format!("{:?}", from.plan), "to" => format!("{:?}", to.plan));
        let waves = self.waves.entry(pool.clone()).or_default();
        match (&from.plan, &to.plan) {
            (Plan::Maintain { .. }, Plan::Serve) => waves.record_return(vm),
            (Plan::Drain { .. }, Plan::Serve) => waves.record_cancelled_drain(vm),
            _ => {}
        }
    }

    fn request_maintenance(&self, vm: &VmId) {
        let listed = self.fleet.get(vm);
        // The list shows a VM that the platform works on as leaving.
        if listed.is_none_or(|listed| listed.state != VmState::Live) {
            return;
        }
        let (address, vm) = (self.cfg.shared.settings.vm_list, vm.clone());
        let log = self.log.clone();
        tokio::task::spawn_local(async move {
            if let Err(err) = vm_list::request_maintenance(address, &vm).await {
                warn!(log, "maintenance not asked for"; "vm" => %vm, "error" => %err);
            }
        });
    }

    /// Stops that the next wave of a pool starts.
    fn maintenance(&mut self, pool: &PoolId, vms: &[VmId], now: Timestamp) -> Vec<Change> {
        let Some(tolerance) = self.tolerance(pool) else {
            return Vec::new();
        };
        let vms = self.vm_views(vms);
        let serving: u32 = vms.values().filter(|vm| vm.serves).map(|vm| vm.slots.0).sum();
        let enough = serving >= tolerance.normal.0;
        self.shortfalls.entry(pool.clone()).or_default().observe(enough, now);
        let wall = Timestamp(clock::wall_ms());
        let waves = self.waves.entry(pool.clone()).or_default();
        let chosen = match waves.decide(&vms, &tolerance, wall) {
            Decision::Start(chosen) => chosen,
            Decision::Wait(_) => return Vec::new(),
        };
        info!(self.log, "wave started"; "pool" => %pool, "vms" => chosen.len(),
            "serving" => serving, "normal" => tolerance.normal.0);
        let drain_deadline = wall + self.drain_time(pool);
        let stop = |vm: VmId| {
            let revision = self.records.get(&vm)?.revision;
            let plan = Plan::Drain { drain_deadline };
            let record = Some(VmRecord { pool: pool.clone(), plan });
            Some(Change { vm, revision, record })
        };
        chosen.into_iter().filter_map(stop).collect()
    }

    /// What all services of a pool tolerate together; `None` if none is declared.
    fn tolerance(&self, pool: &PoolId) -> Option<Tolerance> {
        let used = self.shortfalls.get(pool).map_or(Span(0), Shortfall::total);
        let services = || self.catalog.declarations().filter(|one| one.pool == *pool);
        let budget = services().map(|one| {
            let rule = &one.availability;
            Span(rule.target.budget(rule.period).0.saturating_sub(used.0))
        });
        Some(Tolerance {
            max_vms: services().map(|one| one.maintenance.max_vms).min()?,
            max_racks: services().map(|one| one.maintenance.max_racks).min()?,
            normal: Slots(services().map(|one| one.capacity.normal.0).sum()),
            budget_left: budget.min()?,
        })
    }

    fn vm_views(&self, vms: &[VmId]) -> IndexMap<VmId, VmView> {
        let view = |id: &VmId| {
            let known = self.records.get(id)?;
            let vm = self.fleet.get(id)?;
            let plan = &known.record.plan;
            // A VM that somebody else maintains is never due here.
            let maintained = vm.maintained_ms.map_or(Timestamp(u64::MAX), Timestamp);
            let view = VmView {
                rack: vm.rack.clone(),
                slots: vm.slots,
                serves: known.record.takes_requests() && vm.state == VmState::Live,
                stopped: matches!(plan, Plan::Drain { .. } | Plan::Maintain { .. }),
                maintained,
            };
            Some((id.clone(), view))
        };
        vms.iter().filter_map(view).collect()
    }

    /// How long a drain may take: what the declarations say, and at least as long as grants and the
    /// requests under them can last.
    fn drain_time(&self, pool: &PoolId) -> Span {
        let declared = self.catalog.declarations().filter(|one| one.pool == *pool);
        let declared = declared.map(|one| one.maintenance.drain).max().unwrap_or_default();
        declared.max(Span(2 * self.slots_config(pool).longest_grant().0))
    }

    fn write_records(&mut self, pool: &PoolId, epoch: Epoch, changes: &[Change]) {
        let duty = self.cfg.keys.duty(&DutyId::Slots(pool.clone()));
        let mut transaction = Transaction {
            conditions: vec![Condition::Revision(duty, epoch.0)],
            writes: Vec::new(),
        };
        for change in changes {
            let key = self.cfg.keys.vm(&change.vm);
            transaction.conditions.push(Condition::Revision(key.clone(), change.revision));
            transaction.writes.push(match &change.record {
                Some(record) => {
                    let value = serde_json::to_vec(record).unwrap_or_default().into();
                    Write::Put { key, value, lease: None }
                }
                None => Write::DeleteRange { end: format!("{key}\0"), start: key },
            });
        }
        let vms: Vec<VmId> = changes.iter().map(|change| change.vm.clone()).collect();
        self.writing_vms.extend(vms.iter().cloned());
        let (store, tx) = (Arc::clone(&self.cfg.store), self.tx.clone());
        tokio::task::spawn_local(async move {
            // What took effect shows in the watch; what did not is derived anew from there.
            let _ = store.transact(&transaction, Priority::Control).await;
            let _ = tx.send(Event::VmsWritten(vms));
        });
    }
}

fn observe(
    vm: &VmId,
    record: &VmRecord,
    listed: Option<&Vm>,
    keeper: &Keeper,
    drain_deadline: Timestamp,
) -> VmObservation {
    let now = Timestamp(clock::wall_ms());
    let began = match &record.plan {
        Plan::Maintain { return_deadline } => return_deadline.0.saturating_sub(RETURN_TIME.0),
        _ => now.0,
    };
    let maintained = listed.and_then(|vm| vm.maintained_ms).is_some_and(|at| at >= began);
    VmObservation {
        listed_pool: listed.map(|vm| vm.pool.clone()),
        live: listed.is_some_and(|vm| vm.state == VmState::Live),
        maintained,
        drained: keeper.is_drained(vm),
        now,
        drain_deadline,
        return_deadline: now + RETURN_TIME,
    }
}
