//! Manages the VMs of the pools that this node owns: their records, drains, moves between
//! pools and maintenance.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use indexmap::IndexMap;
use slog::{info, warn};
use teaselgap_core::{
    Epoch, PoolId, Slots, Span, Timestamp, VmId,
    duty::DutyId,
    fleet::{NextStep, Plan, VmObservation, VmRecord, next_step},
    maintain::{Decision, Shortfall, Tolerance, VmView},
    slots::SlotLedger,
};

use super::{Control, Event};
use crate::{
    clock,
    store::{Condition, Priority, Store, Transaction, Write},
    vm_list::{self, Vm, VmState},
};

/// A VM's record and the revision at which the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StoredRecord {
    pub(super) record: VmRecord,
    revision: u64,
}

/// Longest time between two checks of the VMs for their next steps.
const FLEET_STEP_INTERVAL: Span = Span(500);

/// How long the platform may take to maintain a VM; after that the VM counts as failed.
const MAINTENANCE_TIMEOUT: Span = Span(30 * 60_000);

/// Most VM records in one transaction.
const MAX_RECORDS_PER_WRITE: usize = 50;

/// A planned write of a VM's record.
struct RecordChange {
    vm: VmId,
    /// Revision of the record that is replaced; zero if there is none.
    revision: u64,
    /// `None` deletes the record.
    record: Option<VmRecord>,
}

impl Control {
    /// Applies a VM's record read from the store; `None` for a deleted one.
    pub(super) fn apply_vm_record(&mut self, vm: VmId, value: Option<&Bytes>, revision: u64) {
        match value.and_then(|value| serde_json::from_slice::<VmRecord>(value).ok()) {
            Some(record) => {
                let before = self.records.get(&vm).map(|stored| &stored.record);
                if before != Some(&record) {
                    info!(self.log, "VM record changed"; "vm" => %vm, "pool" => %record.pool,
                        "plan" => format!("{:?}", record.plan));
                }
                self.records.insert(vm, StoredRecord { record, revision });
            }
            None => {
                self.records.shift_remove(&vm);
            }
        }
    }

    /// Handles the end of a write of VM records.
    pub(super) fn on_vm_record_write(&mut self, vms: &[VmId]) {
        for vm in vms {
            self.vms_being_written.remove(vm);
        }
    }

    /// Takes the next steps for the VMs of all pools that this node owns.
    pub(super) fn step_fleet(&mut self, now: Timestamp) {
        self.next_fleet_step = now + FLEET_STEP_INTERVAL;
        let pools: Vec<(PoolId, Epoch)> = self
            .ledgers
            .iter()
            .map(|(pool, ledger)| (pool.clone(), ledger.epoch()))
            .filter(|(pool, _)| {
                self.duties.owned_epoch(&DutyId::Slots(pool.clone()), now).is_some()
            })
            .collect();
        let mut unrecorded: HashMap<PoolId, Vec<VmId>> = HashMap::new();
        for vm in self.fleet.values().filter(|vm| !self.records.contains_key(&vm.id)) {
            unrecorded.entry(vm.pool.clone()).or_default().push(vm.id.clone());
        }
        let mut recorded: HashMap<PoolId, Vec<VmId>> = HashMap::new();
        for (vm, stored) in &self.records {
            recorded.entry(stored.record.pool.clone()).or_default().push(vm.clone());
        }
        for (pool, epoch) in pools {
            let mut changes = self.records_to_add(&pool, unrecorded.remove(&pool));
            let vms = recorded.remove(&pool).unwrap_or_default();
            changes.extend(self.advance_vms(&pool, &vms, now));
            changes.extend(self.start_wave(&pool, &vms, now));
            for batch in changes.chunks(MAX_RECORDS_PER_WRITE) {
                self.write_records(&pool, epoch, batch);
            }
        }
    }

    /// First records of the VMs that the list assigns to the pool and that have no record yet.
    fn records_to_add(&self, pool: &PoolId, unrecorded: Option<Vec<VmId>>) -> Vec<RecordChange> {
        let add =
            |vm| RecordChange { vm, revision: 0, record: Some(VmRecord::serving(pool.clone())) };
        let unrecorded = unrecorded.unwrap_or_default().into_iter();
        unrecorded.filter(|vm| !self.is_being_written(vm)).map(add).collect()
    }

    fn is_being_written(&self, vm: &VmId) -> bool {
        self.vms_being_written.contains(vm)
    }

    /// Takes the next step of each VM's plan; returns the records to write.
    fn advance_vms(&mut self, pool: &PoolId, vms: &[VmId], now: Timestamp) -> Vec<RecordChange> {
        let Some(ledger) = self.ledgers.get(pool) else {
            return Vec::new();
        };
        let drain_deadline = Timestamp(clock::wall_ms()) + self.drain_timeout(pool);
        let mut steps = Vec::new();
        for vm in vms.iter().filter(|vm| !self.is_being_written(vm)) {
            let Some(stored) = self.records.get(vm) else {
                continue;
            };
            let observation =
                observe(vm, &stored.record, self.fleet.get(vm), ledger, drain_deadline);
            steps.push((vm.clone(), stored.clone(), next_step(&stored.record, &observation)));
        }
        let mut changes = Vec::new();
        for (vm, stored, step) in steps {
            match step {
                NextStep::Wait => {}
                NextStep::Write(record) => {
                    self.record_step(pool, &vm, &stored.record, &record);
                    changes.push(RecordChange {
                        vm,
                        revision: stored.revision,
                        record: Some(record),
                    });
                }
                NextStep::DeleteRecord => {
                    changes.push(RecordChange { vm, revision: stored.revision, record: None });
                }
                NextStep::AskForMaintenance => self.request_maintenance(&vm),
                NextStep::Failed => {
                    warn!(self.log, "VM did not return from maintenance"; "vm" => %vm,
                        "pool" => %pool);
                    self.waves.entry(pool.clone()).or_default().record_failure(&vm, now);
                }
            }
        }
        changes
    }

    /// Logs a new plan for a VM, and informs the waves if it ends a maintenance or cancels a drain.
    fn record_step(&mut self, pool: &PoolId, vm: &VmId, from: &VmRecord, to: &VmRecord) {
        info!(self.log, "changing VM plan"; "vm" => %vm, "pool" => %pool, "to_pool" => %to.pool,
            "from" => format!("{:?}", from.plan), "to" => format!("{:?}", to.plan));
        let waves = self.waves.entry(pool.clone()).or_default();
        match (&from.plan, &to.plan) {
            (Plan::Maintain { .. }, Plan::Serve) => waves.record_return(vm),
            (Plan::Drain { .. }, Plan::Serve) => waves.record_cancelled_drain(vm),
            _ => {}
        }
    }

    /// Asks the platform to maintain a drained VM that the list still shows as live.
    fn request_maintenance(&self, vm: &VmId) {
        let listed = self.fleet.get(vm);
        // The list shows a VM as leaving while the platform maintains it.
        if listed.is_none_or(|listed| listed.state != VmState::Live) {
            return;
        }
        let (address, vm) = (self.cfg.shared.settings.vm_list, vm.clone());
        let log = self.log.clone();
        tokio::task::spawn_local(async move {
            if let Err(err) = vm_list::request_maintenance(address, &vm).await {
                warn!(log, "maintenance request failed"; "vm" => %vm, "error" => %err);
            }
        });
    }

    /// Starts a pool's next maintenance wave if it may start now; returns the records that drain
    /// its VMs.
    fn start_wave(&mut self, pool: &PoolId, vms: &[VmId], now: Timestamp) -> Vec<RecordChange> {
        let Some(tolerance) = self.tolerance(pool) else {
            return Vec::new();
        };
        let vms = self.vm_views(vms);
        let serving: u32 = vms.values().filter(|vm| vm.serves).map(|vm| vm.slots.0).sum();
        let has_normal_capacity = serving >= tolerance.normal.0;
        self.shortfalls.entry(pool.clone()).or_default().observe(has_normal_capacity, now);
        let wall_now = Timestamp(clock::wall_ms());
        let waves = self.waves.entry(pool.clone()).or_default();
        let wave_vms = match waves.decide(&vms, &tolerance, wall_now) {
            Decision::Start(wave_vms) => wave_vms,
            Decision::Wait(_) => return Vec::new(),
        };
        info!(self.log, "maintenance wave started"; "pool" => %pool, "vms" => wave_vms.len(),
            "serving" => serving, "normal" => tolerance.normal.0);
        let drain_deadline = wall_now + self.drain_timeout(pool);
        let drain_change = |vm: VmId| {
            let revision = self.records.get(&vm)?.revision;
            let plan = Plan::Drain { drain_deadline };
            let record = Some(VmRecord { pool: pool.clone(), plan });
            Some(RecordChange { vm, revision, record })
        };
        wave_vms.into_iter().filter_map(drain_change).collect()
    }

    /// The interruptions that all services of a pool tolerate together; `None` if none is declared.
    fn tolerance(&self, pool: &PoolId) -> Option<Tolerance> {
        let shortfall = self.shortfalls.get(pool).map_or(Span(0), Shortfall::total);
        let services =
            || self.catalog.declarations().filter(|declaration| declaration.pool == *pool);
        let budget = services().map(|declaration| {
            let rule = &declaration.availability;
            Span(rule.target.budget(rule.period).0.saturating_sub(shortfall.0))
        });
        Some(Tolerance {
            max_vms: services().map(|declaration| declaration.maintenance.max_vms).min()?,
            max_racks: services().map(|declaration| declaration.maintenance.max_racks).min()?,
            normal: Slots(services().map(|declaration| declaration.capacity.normal.0).sum()),
            budget_left: budget.min()?,
        })
    }

    /// The given VMs as the planning of waves needs them, without those that are not listed.
    fn vm_views(&self, vms: &[VmId]) -> IndexMap<VmId, VmView> {
        let view = |id: &VmId| {
            let stored = self.records.get(id)?;
            let vm = self.fleet.get(id)?;
            let plan = &stored.record.plan;
            // A VM without this time is maintained by another system; waves never choose it.
            let maintained = vm.maintained_ms.map_or(Timestamp(u64::MAX), Timestamp);
            let view = VmView {
                rack: vm.rack.clone(),
                slots: vm.slots,
                serves: stored.record.takes_requests() && vm.state == VmState::Live,
                is_out_of_service: matches!(plan, Plan::Drain { .. } | Plan::Maintain { .. }),
                maintained,
            };
            Some((id.clone(), view))
        };
        vms.iter().filter_map(view).collect()
    }

    /// The time limit of a drain: the longest one that a declaration of the pool gives, but at
    /// least twice as long as a grant and the requests under it can last.
    fn drain_timeout(&self, pool: &PoolId) -> Span {
        let declared = self.catalog.declarations().filter(|declaration| declaration.pool == *pool);
        let declared =
            declared.map(|declaration| declaration.maintenance.drain).max().unwrap_or_default();
        declared.max(Span(2 * self.slots_config(pool).max_grant_duration().0))
    }

    /// Writes VM records in one transaction, if the pool's term and the replaced records are
    /// unchanged.
    fn write_records(&mut self, pool: &PoolId, epoch: Epoch, changes: &[RecordChange]) {
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
        self.vms_being_written.extend(vms.iter().cloned());
        let (store, tx) = (Arc::clone(&self.cfg.store), self.tx.clone());
        tokio::task::spawn_local(async move {
            // The watch shows whether the write took effect; if not, the next step plans it again.
            let _ = store.transact(&transaction, Priority::Control).await;
            let _ = tx.send(Event::VmRecordsWritten(vms));
        });
    }
}

/// Collects what the next step of a VM depends on.
fn observe(
    vm: &VmId,
    record: &VmRecord,
    listed: Option<&Vm>,
    ledger: &SlotLedger,
    drain_deadline: Timestamp,
) -> VmObservation {
    let now = Timestamp(clock::wall_ms());
    let plan_start = match &record.plan {
        Plan::Maintain { return_deadline } => {
            return_deadline.0.saturating_sub(MAINTENANCE_TIMEOUT.0)
        }
        _ => now.0,
    };
    let maintained = listed.and_then(|vm| vm.maintained_ms).is_some_and(|at| at >= plan_start);
    VmObservation {
        listed_pool: listed.map(|vm| vm.pool.clone()),
        live: listed.is_some_and(|vm| vm.state == VmState::Live),
        maintained,
        drained: ledger.is_drained(vm),
        now,
        drain_deadline,
        return_deadline: now + MAINTENANCE_TIMEOUT,
    }
}
