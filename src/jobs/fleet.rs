//! The owner of the fleet: sends the orders about VMs while this node holds the fleet duty.

#[cfg(test)]
mod tests;
mod wave_states;

use std::{
    cell::{Cell as StdCell, RefCell},
    rc::Rc,
    time::Duration,
};

use futures_util::future::join_all;
use indexmap::{IndexMap, IndexSet};
use slog::{info, o, warn};
use teaselgap_core::{
    Epoch, ServiceId, Span, Timestamp,
    job::{
        DrainMode, Fleet, FleetAction, FleetConfig, FleetOrder, FleetRecord, FleetRequest,
        ORDER_SEND_WINDOW, OrderBasis, OrderOutcome, WorkerId,
    },
};
use teaselgap_platform::{
    machines::VmClient,
    store::{Expected, Item, Outcome, Put, Transaction},
};

use self::wave_states::WaveStates;
use super::{
    duties,
    instruction::PoolInstruction,
    node::{FLEET_DUTY, Node},
    session,
};
use crate::clock;

/// The store key of the fleet's record, which the next owner reads.
const RECORD_KEY: &str = "teaselgap/fleet/record";

/// The pause between two ticks of the fleet.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// The number of ticks from one reading of the list of VMs to the next.
const TICKS_PER_VM_LIST: u32 = 3;

/// The number of missed heartbeats after which the store drops a worker's entry.
const ENTRY_TTL_HEARTBEATS: u64 = 3;

/// How long after the store drops a worker's entry some cell may still use an older reading of the
/// store's list of workers, which contains the entry; in milliseconds.
const WORKER_LIST_DELAY_MS: u64 = 1_500;

/// How long a stopping owner tries to write the record that ends its term.
const HANDOVER_TIMEOUT: Span = Span(1_000);

/// How often a stopping owner checks whether the pending record is written.
const SAVE_POLL: Duration = Duration::from_millis(5);

/// The pause before a failed call to the store is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The owner of the fleet during one term.
pub(crate) struct FleetOwner {
    node: Rc<Node>,
    epoch: Epoch,
    vm_client: VmClient,
    fleet: RefCell<Fleet>,
    is_term_over: StdCell<bool>,
    /// The revision of the record in the store; zero if there is none.
    record_revision: StdCell<u64>,
    /// Number of entries of the latest VM list that could not be read.
    unreadable_vms: StdCell<usize>,
    /// Whether the record of earlier terms has been read.
    is_record_read: StdCell<bool>,
    /// Whether a record is being written to the store.
    is_saving: StdCell<bool>,
    /// Whether the term is being handed over; no orders are sent any more.
    is_handing_over: StdCell<bool>,
    wave_states: RefCell<WaveStates>,
}

fn fleet_config(node: &Node) -> FleetConfig {
    let bounds = &node.settings.bounds;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "short durations")]
    let span_from_seconds = |seconds: f64| Span((seconds.max(0.0) * 1_000.0) as u64);
    // A cell may list a stopped worker until its entry expires and the cell reads the list again.
    FleetConfig {
        takeover_pause: Span(bounds.lease_ms),
        maintenance_duration: span_from_seconds(bounds.maintenance_s),
        move_duration: span_from_seconds(bounds.migrate_s),
        worker_entry_ttl: Span(
            ENTRY_TTL_HEARTBEATS * node.settings.heartbeat_ms + WORKER_LIST_DELAY_MS,
        ),
    }
}

/// Starts a term as the owner of the fleet, if the settings name the platform's VM API.
pub(super) fn start(node: &Rc<Node>, epoch: Epoch) {
    let Some(interface) = &node.settings.vm_api else {
        return;
    };
    let connections = Rc::clone(&node.connections);
    let vm_client = VmClient::new(interface.address, connections, node.id.clone(), epoch);
    let time = (clock::now(), clock::wall_ms());
    let fleet = Fleet::new(fleet_config(node), FleetRecord::default(), time);
    let owner = Rc::new(FleetOwner {
        node: Rc::clone(node),
        epoch,
        vm_client,
        fleet: RefCell::new(fleet),
        is_term_over: StdCell::new(false),
        record_revision: StdCell::new(0),
        unreadable_vms: StdCell::new(0),
        is_record_read: StdCell::new(false),
        is_saving: StdCell::new(false),
        is_handing_over: StdCell::new(false),
        wave_states: RefCell::default(),
    });
    *node.fleet.borrow_mut() = Some(Rc::clone(&owner));
    tokio::task::spawn_local(owner.run());
}

impl FleetOwner {
    pub(super) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Ends the term: this owner sends no more orders.
    pub(super) fn end_term(&self, reason: &'static str) {
        if !self.is_term_over.replace(true) {
            info!(self.node.log, "fleet term ended"; "epoch" => self.epoch.0, "reason" => reason);
        }
    }

    /// Whether the term certainly continues; orders are sent only then.
    fn may_send_orders(&self) -> bool {
        let is_over = self.is_term_over.get() || self.is_handing_over.get();
        !is_over && session::holds_lease(&self.node)
    }

    async fn run(self: Rc<Self>) {
        let Some(record) = self.read_record().await else {
            return;
        };
        let time = (clock::now(), clock::wall_ms());
        *self.fleet.borrow_mut() = Fleet::new(fleet_config(&self.node), record, time);
        self.is_record_read.set(true);
        let mut ticks: u32 = 0;
        while !self.is_term_over.get() {
            if ticks.is_multiple_of(TICKS_PER_VM_LIST) && self.may_send_orders() {
                self.refresh_vms().await;
            }
            ticks = ticks.wrapping_add(1);
            self.apply_operator_input();
            self.instruct_cells().await;
            if self.may_send_orders() {
                self.tick();
            }
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    async fn read_record(&self) -> Option<FleetRecord> {
        while !self.is_term_over.get() {
            match self.node.store.get(RECORD_KEY).await {
                Ok(None) => return Some(FleetRecord::default()),
                Ok(Some(item)) => {
                    self.record_revision.set(item.revision);
                    return Some(self.parse_record(&item));
                }
                Err(err) => {
                    warn!(self.node.log, "failed to read the fleet record"; "error" => %err);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        None
    }

    fn parse_record(&self, item: &Item) -> FleetRecord {
        serde_json::from_slice(&item.value).unwrap_or_else(|err| {
            warn!(self.node.log, "fleet record unreadable; using an empty one"; "error" => %err);
            FleetRecord::default()
        })
    }

    async fn refresh_vms(&self) {
        let asked = clock::now();
        match self.vm_client.list().await {
            Ok(list) => {
                if self.unreadable_vms.replace(list.unreadable) != list.unreadable {
                    warn!(self.node.log, "VM list has unreadable entries";
                        "unreadable" => list.unreadable, "vms" => list.vms.len());
                }
                self.fleet.borrow_mut().set_vms(list.vms, list.unreadable > 0, asked);
            }
            Err(err) => {
                warn!(self.node.log, "failed to list VMs"; "error" => %err);
            }
        }
    }

    /// Passes the operator's maintenance waves and standby pools to the fleet. A wave is a set of
    /// VMs whose maintenance must begin by a deadline.
    fn apply_operator_input(&self) {
        let mut fleet = self.fleet.borrow_mut();
        let waves = self.node.operator.borrow().waves.values().cloned().collect();
        fleet.add_waves(waves);
        if let Some(config) = self.node.shared.config.load_full() {
            let standby = config.pools.iter().filter(|(_, standby)| **standby);
            fleet.set_standby_pools(standby.map(|(pool, _)| pool.clone()).collect());
        }
    }

    /// Tells each cell which workers to drain and what VMs its pool can get, and passes the cells'
    /// reports to the fleet.
    ///
    /// Pools and cells are named by their service: the workers in a service's pool belong to the
    /// cell of that name, if the service has a queue.
    async fn instruct_cells(&self) {
        let Some(cells) = self.cells() else {
            return;
        };
        let now = clock::now();
        let mut drain_requests = self.fleet.borrow().drain_requests(now);
        let instructed = cells.into_iter().map(|cell| {
            let drains = drain_requests.shift_remove(&cell).unwrap_or_default();
            self.instruct_cell(cell, drains)
        });
        // A cell that doesn't answer must not make the reports of the others old.
        join_all(instructed.collect::<Vec<_>>()).await;
        // No tasks run in pools without a cell, so their workers count as drained.
        for (pool, drains) in drain_requests {
            self.fleet.borrow_mut().on_pool_without_cell(&pool, drains, now);
        }
    }

    async fn instruct_cell(&self, cell: ServiceId, drains: IndexMap<WorkerId, DrainMode>) {
        let (number, instruction) = {
            let mut fleet = self.fleet.borrow_mut();
            let number = fleet.on_instruction(&cell, &drains);
            let instruction = PoolInstruction {
                epoch: self.epoch,
                number,
                drains,
                expects_workers: fleet.expects_workers(&cell, clock::now()),
                outlook: fleet.outlook(&cell),
            };
            (number, instruction)
        };
        if let Some(report) = self.node.instruct(&cell, instruction).await {
            let (report, now) = ((report.load, report.drained), clock::now());
            self.fleet.borrow_mut().on_instruction_answered(&cell, number, report, now);
        }
    }

    /// The cells of all services with a queue, and those that still have an owner, or jobs in the log,
    /// although the service's last queue was removed: what lasts goes on there, also while the cell has no
    /// owner. Returns `None` as long as no configuration is known.
    fn cells(&self) -> Option<IndexSet<ServiceId>> {
        let config = self.node.shared.config.load_full()?;
        let configured = config.queues.values().map(|queue| queue.service.clone());
        let members = self.node.members.borrow();
        let owned = members.owners.keys().filter_map(|duty| duties::cell_of_duty(duty));
        let marked = members.marked_logs.iter().cloned();
        Some(configured.chain(owned).chain(marked).collect())
    }

    /// Ticks the fleet and executes the resulting actions. Does nothing while a record is being
    /// written, so that an older record can't overwrite a newer one.
    fn tick(self: &Rc<Self>) {
        if self.is_saving.get() {
            return;
        }
        let actions = {
            let mut fleet = self.fleet.borrow_mut();
            fleet.tick(clock::now());
            fleet.take_actions()
        };
        for action in actions {
            let owner = Rc::clone(self);
            if matches!(action, FleetAction::Save(..)) {
                self.is_saving.set(true);
            }
            tokio::task::spawn_local(async move { owner.execute(action).await });
        }
    }

    async fn execute(self: Rc<Self>, action: FleetAction) {
        match action {
            FleetAction::Save(record, orders) => {
                let send_deadline = clock::now() + ORDER_SEND_WINDOW;
                self.save_record(&record).await;
                self.is_saving.set(false);
                for order in orders {
                    let owner = Rc::clone(&self);
                    tokio::task::spawn_local(async move {
                        owner.send_order(order, send_deadline).await;
                    });
                }
            }
            FleetAction::LogPoolSize(pool, size) => {
                info!(self.node.log, "pool size"; "pool" => %pool, "has" => size.has,
                    "floor" => size.floor, "wants" => size.wants, "epoch" => self.epoch.0);
            }
            FleetAction::LogWaveStep(step) => {
                info!(self.node.log, "wave step"; "wave" => step.wave, "pending" => step.pending,
                    "hard" => step.hard, "draining" => step.draining, "down" => step.down,
                    "pace" => step.pace,
                    "away_ms" => step.time_away.0, "time_left_ms" => step.time_left.0, "chosen" => step.chosen,
                    "epoch" => self.epoch.0);
            }
            FleetAction::LogListing(change) => {
                info!(self.node.log, "VM of a wave listed or not"; "vm" => %change.vm, "wave" => change.wave,
                    "is_listed" => change.is_listed, "has_begun" => change.has_begun,
                    "listed" => change.listed, "epoch" => self.epoch.0);
            }
            FleetAction::LogReopenedWave(reopened) => {
                let vm = reopened.vm.map(|vm| vm.to_string());
                warn!(self.node.log, "wave goes on"; "wave" => reopened.wave, "pending" => reopened.pending,
                    "vm" => vm, "epoch" => self.epoch.0);
            }
            FleetAction::ReportWave { wave, finished, basis } => {
                info!(self.node.log, "wave progress"; "wave" => wave, "finished" => finished,
                    "vms" => basis.vms, "begun" => basis.begun, "unlisted" => basis.unlisted,
                    "list_age_ms" => basis.list_age.map(|age| age.0), "epoch" => self.epoch.0);
                self.write_wave_state(wave, finished).await;
            }
        }
    }

    /// Sends an order whose VM the stored record lists.
    ///
    /// The order is not sent after `deadline`, because a next owner stops waiting for the orders in
    /// the record some time after they were recorded. An order that is not sent counts as answered
    /// by a busy VM, so it may be retried.
    async fn send_order(&self, order: FleetOrder, deadline: Timestamp) {
        if !self.may_send_orders() || clock::now() > deadline {
            self.fleet.borrow_mut().on_order_outcome(order, OrderOutcome::Busy, clock::now());
            return;
        }
        let vm = order.vm();
        let basis = self.fleet.borrow().order_basis(vm, clock::now());
        let sent = clock::now();
        let outcome = match order.request() {
            FleetRequest::Maintain(wave) => self.vm_client.start_maintenance(vm, *wave).await,
            FleetRequest::Move(pool) => self.vm_client.move_to_pool(vm, pool).await,
        };
        self.log_outcome(&order, basis, outcome, sent);
        self.fleet.borrow_mut().on_order_outcome(order, outcome, clock::now());
    }

    /// Logs what the platform answered to an order that was sent at `sent`.
    fn log_outcome(
        &self,
        order: &FleetOrder,
        basis: OrderBasis,
        outcome: OrderOutcome,
        sent: Timestamp,
    ) {
        let fleet = self.fleet.borrow();
        let fields = o!("order" => order.number().to_string(), "vm" => order.vm().to_string(),
            "worker" => basis.worker.map(|id| id.to_string()),
            "from" => basis.pool.map(|pool| pool.to_string()),
            "report_age_ms" => basis.report_age.map(|age| age.0),
            "list_age_ms" => basis.list_age.map(|age| age.0),
            "outcome" => format!("{outcome:?}"), "took_ms" => clock::now().since(sent).0,
            "planned" => planned_text(fleet.planned_request(order.vm())),
            "counts_for_plan" => fleet.counts_for_plan(order), "epoch" => self.epoch.0);
        let log = self.node.log.new(fields);
        match order.request() {
            FleetRequest::Maintain(wave) => info!(log, "maintenance ordered"; "wave" => wave),
            FleetRequest::Move(pool) => info!(log, "move ordered"; "to" => %pool),
        }
    }

    async fn save_record(&self, record: &FleetRecord) {
        match serde_json::to_vec(record) {
            Ok(value) => self.write_record(value).await,
            Err(err) => {
                warn!(self.node.log, "failed to serialize the fleet record"; "error" => %err);
            }
        }
    }

    /// Writes a last record, which marks the term as released: the next owner need not wait for
    /// orders that may still be in flight.
    pub(super) async fn hand_over(&self) {
        let may_hand_over = self.is_record_read.get() && self.may_send_orders();
        if self.is_handing_over.replace(true) || !may_hand_over {
            return;
        }
        let limit = HANDOVER_TIMEOUT.to_std();
        let handover = async {
            while self.is_saving.get() {
                tokio::time::sleep(SAVE_POLL).await;
            }
            let record = self.fleet.borrow().handover_record(clock::now(), clock::wall_ms());
            self.save_record(&record).await;
        };
        if tokio::time::timeout(limit, handover).await.is_err() {
            warn!(self.node.log, "fleet handover timed out");
        }
    }

    /// Writes the record, retrying until it is written or the term has ended.
    async fn write_record(&self, value: Vec<u8>) {
        while !self.is_term_over.get() {
            let txn = record_transaction(self.epoch, self.record_revision.get(), value.clone());
            match self.node.repeater.transact(&self.node.store, &txn).await {
                Ok(Outcome::Done(revision)) => {
                    self.record_revision.set(revision);
                    return;
                }
                Ok(Outcome::Conflict(items)) => match conflict_of(&items, self.epoch, &value) {
                    WriteConflict::Written(revision) => {
                        self.record_revision.set(revision);
                        return;
                    }
                    WriteConflict::OtherValue(revision) => self.record_revision.set(revision),
                    WriteConflict::OtherOwner => {
                        self.end_term("the duty has another owner");
                        return;
                    }
                },
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }
}

/// What is planned about a VM as the log names it.
fn planned_text(request: Option<&FleetRequest>) -> String {
    match request {
        Some(FleetRequest::Maintain(wave)) => format!("maintenance for wave {wave}"),
        Some(FleetRequest::Move(pool)) => format!("move to {pool}"),
        None => "nothing".to_owned(),
    }
}

/// The condition that the fleet is owned in this term.
fn own_duty(epoch: Epoch) -> Expected {
    Expected { key: duties::duty_key(FLEET_DUTY), revision: epoch.0 }
}

/// The write of a key over its value at `revision`, which is zero if there is none. A copy that reaches
/// the store after a later write of the key finds another revision and has no effect.
fn owned_write(epoch: Epoch, key: &str, revision: u64, value: Vec<u8>) -> Transaction {
    Transaction {
        expected: vec![own_duty(epoch), Expected { key: key.to_owned(), revision }],
        puts: vec![Put { key: key.to_owned(), value, lease: None }],
        deletes: Vec::new(),
    }
}

fn record_transaction(epoch: Epoch, revision: u64, value: Vec<u8>) -> Transaction {
    owned_write(epoch, RECORD_KEY, revision, value)
}

/// Why a key could not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteConflict {
    /// It has this value already, at this revision, as a rule by an earlier copy of the write.
    Written(u64),
    /// It has another value, at this revision, as a rule by an earlier write whose answer was lost.
    OtherValue(u64),
    /// Another node owns the fleet.
    OtherOwner,
}

/// Tells from the current items why a key could not be written with this value.
fn conflict_on(items: &[Item], epoch: Epoch, key: &str, value: &[u8]) -> WriteConflict {
    let item_of = |key: &str| items.iter().find(|item| item.key == key);
    if item_of(&own_duty(epoch).key).is_none_or(|item| item.revision != epoch.0) {
        return WriteConflict::OtherOwner;
    }
    match item_of(key) {
        Some(item) if item.value == value => WriteConflict::Written(item.revision),
        item => WriteConflict::OtherValue(item.map_or(0, |item| item.revision)),
    }
}

fn conflict_of(items: &[Item], epoch: Epoch, value: &[u8]) -> WriteConflict {
    conflict_on(items, epoch, RECORD_KEY, value)
}
