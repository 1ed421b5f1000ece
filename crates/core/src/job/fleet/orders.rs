//! Orders about single VMs: when they are due, and what follows from their outcomes.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use super::{Fleet, Vm, VmState, balance::MAX_REPORT_AGE, wave::WAVE_DRAIN_TIME};
use crate::{ServiceId, Span, Timestamp, VmId, job::WorkerId};

/// How long to wait before retrying an order that got no answer or whose VM was busy.
pub(super) const ORDER_RETRY_INTERVAL: Span = Span(400);

/// How long a move is sent again while the platform doesn't answer.
const MOVE_ANSWER_TIME: Span = Span(10_000);

/// How much longer than the takeover pause a VM stays in [`super::FleetRecord::ordered`].
const RECENT_ORDER_MARGIN: Span = Span(5_000);

/// How long after its VM was recorded in [`super::FleetRecord::ordered`] an order may still be sent.
pub const ORDER_SEND_WINDOW: Span = Span(1_000);

/// An order about a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetOrder {
    /// Begin the maintenance of the VM for the wave with this number.
    Maintain(VmId, u64),
    /// Move the VM to this pool.
    Move(VmId, ServiceId),
}

impl FleetOrder {
    /// The VM that the order is about.
    #[must_use]
    pub fn vm(&self) -> &VmId {
        let (Self::Maintain(vm_id, _) | Self::Move(vm_id, _)) = self;
        vm_id
    }
}

/// Outcome of an order to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform carries out the order, or has done so before.
    Accepted,
    /// The VM can't take the order now; it may be retried.
    Busy,
    /// The order is not valid for this VM.
    Invalid,
    /// The order may or may not be carried out.
    Unknown,
}

/// Purpose of a planned order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Maintenance for the wave with this number.
    Maintain(u64),
    /// A move to this pool.
    Move(ServiceId),
}

/// An order about a VM that the platform has not accepted yet.
#[derive(Clone, Debug)]
pub(super) struct PlannedOrder {
    pub(super) purpose: Purpose,
    pub(super) planned_at: Timestamp,
    /// Whether the VM ran long-running tasks when the order was planned.
    pub(super) hosts_long_running: bool,
    /// Whether the order was sent and has no definite outcome yet.
    pub(super) is_in_flight: bool,
    /// Time until which a copy of the order that got no answer may take effect.
    pub(super) open_until: Timestamp,
    /// Time before which the order is not sent or retried.
    pub(super) next_attempt: Timestamp,
    /// Time at which a move is dropped if its VM is not drained by then, and from which on a drain for
    /// maintenance holds back no other VM.
    pub(super) drain_deadline: Timestamp,
    /// Time from which on a move that got no answer is not sent again.
    pub(super) answer_deadline: Timestamp,
}

impl PlannedOrder {
    pub(super) fn new(purpose: Purpose, now: Timestamp, drain_time: Span) -> Self {
        Self {
            purpose,
            planned_at: now,
            hosts_long_running: false,
            is_in_flight: false,
            open_until: Timestamp(0),
            next_attempt: now,
            drain_deadline: now + drain_time,
            answer_deadline: Timestamp(u64::MAX),
        }
    }

    /// Whether a copy of the order was just sent and its outcome is still to come.
    fn is_being_sent(&self) -> bool {
        self.is_in_flight && self.next_attempt == Timestamp(u64::MAX)
    }

    /// Whether the order is a move that can be dropped: its VM was not drained in time, or the platform
    /// has not answered in time, and no copy of it can take effect any more.
    pub(super) fn is_move_over(&self, now: Timestamp) -> bool {
        let deadline = if self.is_in_flight { self.answer_deadline } else { self.drain_deadline };
        let is_open = self.is_being_sent() || now < self.open_until;
        matches!(self.purpose, Purpose::Move(_)) && !is_open && now >= deadline
    }

    /// Whether maintenance was ordered, and may begin at any time.
    pub(super) fn may_be_maintained(&self) -> bool {
        self.is_in_flight && matches!(self.purpose, Purpose::Maintain(_))
    }
}

/// A period in which a VM counts as absent, whatever state the platform lists.
#[derive(Clone, Debug)]
pub(super) struct Absence {
    pub(super) until: Timestamp,
    /// Whether it is down for maintenance.
    pub(super) is_maintenance: bool,
}

/// The worker that an order about a VM stops.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedWorker {
    /// The pool of its VM before the order.
    pub pool: ServiceId,
    /// The worker.
    pub worker: WorkerId,
}

/// What an order about a VM rests on, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderBasis {
    /// The worker on the VM, if one is listed.
    pub worker: Option<WorkerId>,
    /// The age of the report of the worker's cell; `None` if there is none.
    pub report_age: Option<Span>,
    /// The pool of the VM.
    pub pool: Option<ServiceId>,
    /// The age of the list of VMs, counted from when it was asked for.
    pub list_age: Option<Span>,
}

impl Fleet {
    /// What an order about a VM rests on at `now`.
    #[must_use]
    pub fn order_basis(&self, vm_id: &VmId, now: Timestamp) -> OrderBasis {
        let vm = self.vms.get(vm_id);
        let report = vm.and_then(|vm| self.cell_reports.get(&vm.pool));
        OrderBasis {
            worker: vm.and_then(|vm| vm.worker.clone()),
            report_age: report.map(|report| now.since(report.at)),
            pool: vm.map(|vm| vm.pool.clone()),
            list_age: self.vms_asked.map(|asked| now.since(asked)),
        }
    }

    /// The order about a VM that is planned now, sent or not.
    #[must_use]
    pub fn planned_order(&self, vm_id: &VmId) -> Option<FleetOrder> {
        let planned = self.planned_orders.get(vm_id)?;
        Some(match &planned.purpose {
            Purpose::Maintain(wave) => FleetOrder::Maintain(vm_id.clone(), *wave),
            Purpose::Move(pool) => FleetOrder::Move(vm_id.clone(), pool.clone()),
        })
    }

    /// Whether a VM is certainly on standby. Only orders move VMs, so a list shows where a VM is if it
    /// was asked for once the latest order about the VM had taken effect.
    fn is_certainly_standby(&self, vm: &Vm) -> bool {
        self.is_standby(vm) && !self.unlisted_orders.contains_key(&vm.id)
    }

    /// Whether an order about a VM ends no task: the VM is on standby, or its cell has just reported
    /// the worker that is on it as drained. A VM without a listed worker may have one by now.
    fn is_drained(&self, vm: &Vm, now: Timestamp) -> bool {
        if self.is_certainly_standby(vm) {
            return true;
        }
        let report = self.cell_reports.get(&vm.pool);
        let is_reported = report.zip(vm.worker.as_ref()).is_some_and(|(report, worker)| {
            now <= report.at + MAX_REPORT_AGE && report.drained.contains(worker)
        });
        vm.state == VmState::Up && is_reported
    }

    /// Whether a VM was to be drained by now, and is not. One that is drained may wait for its turn.
    pub(super) fn is_overdue(&self, vm_id: &VmId, planned: &PlannedOrder, now: Timestamp) -> bool {
        let is_drained = |vm: &Vm| self.is_drained(vm, now);
        let is_late = !planned.is_in_flight && now >= planned.drain_deadline;
        is_late && !self.vms.get(vm_id).is_some_and(is_drained)
    }

    /// Whether an order about a VM may be sent now. Each copy asks anew, unless the VM is already
    /// away or was on standby, so that the copy only asks for the outcome of the one before.
    fn may_send(&self, planned: &PlannedOrder, vm: &Vm, now: Timestamp) -> bool {
        let is_away = matches!(vm.state, VmState::Moving | VmState::Maintenance);
        let asks_for_outcome = is_away || self.is_standby(vm);
        if matches!(planned.purpose, Purpose::Move(_)) && now >= planned.answer_deadline {
            return false;
        }
        (planned.is_in_flight && asks_for_outcome) || self.is_drained(vm, now)
    }

    /// Drops the orders to move VMs that the platform now lists in their new pools.
    pub(super) fn drop_finished_moves(&mut self) {
        let vms = &self.vms;
        self.planned_orders.retain(|vm_id, planned| {
            let vm = vms.get(vm_id).filter(|vm| vm.state == VmState::Up);
            let has_arrived = |vm: &Vm| planned.purpose == Purpose::Move(vm.pool.clone());
            !(planned.is_in_flight && vm.is_some_and(has_arrived))
        });
    }

    /// Rewrites [`super::FleetRecord::ordered`] from the times of the latest orders, and drops old ones.
    pub(super) fn record_recent_orders(&mut self, now: Timestamp) {
        let retention = Span(self.cfg.takeover_pause.0 + RECENT_ORDER_MARGIN.0);
        self.ordered_at.retain(|_, at| now <= *at + retention);
        let wall_ms = |at: &Timestamp| self.wall_offset_ms + at.0;
        self.record.ordered =
            self.ordered_at.iter().map(|(vm_id, at)| (vm_id.clone(), wall_ms(at))).collect();
        let ordered_at = &self.ordered_at;
        self.record.maintained.retain(|vm_id| ordered_at.contains_key(vm_id));
        self.record.ordered_workers.retain(|vm_id, _| ordered_at.contains_key(vm_id));
    }

    /// Returns the orders that are due and marks them as in flight.
    pub(super) fn take_due_orders(&mut self, now: Timestamp) -> Vec<FleetOrder> {
        let mut orders = Vec::new();
        let vm_ids: Vec<VmId> = self.planned_orders.keys().cloned().collect();
        for vm_id in vm_ids {
            let Some(vm) = self.vms.get(&vm_id).cloned() else {
                self.planned_orders.shift_remove(&vm_id);
                continue;
            };
            if self.vm_not_before.get(&vm_id).is_some_and(|from| now < *from) {
                continue;
            }
            let planned = &self.planned_orders[&vm_id];
            if now < planned.next_attempt || !self.may_send(planned, &vm, now) {
                continue;
            }
            let wave = match planned.purpose {
                Purpose::Move(_) if !planned.is_in_flight => self.wave_before_move(&vm_id, now),
                _ => None,
            };
            if let (Some(wave), Some(planned)) = (wave, self.planned_orders.get_mut(&vm_id)) {
                planned.purpose = Purpose::Maintain(wave);
                planned.drain_deadline = now + WAVE_DRAIN_TIME;
            }
            let planned = &self.planned_orders[&vm_id];
            let order = match planned.purpose.clone() {
                Purpose::Maintain(number) => {
                    let max_down = self.waves.get(&number).map_or(0, |wave| wave.max_down as usize);
                    if !planned.is_in_flight && self.down_count(number, now) >= max_down {
                        continue;
                    }
                    self.record.maintained.insert(vm_id.clone());
                    FleetOrder::Maintain(vm_id.clone(), number)
                }
                Purpose::Move(pool) => {
                    self.record.maintained.shift_remove(&vm_id);
                    FleetOrder::Move(vm_id.clone(), pool)
                }
            };
            if let Some(planned) = self.planned_orders.get_mut(&vm_id) {
                let is_maintenance = matches!(planned.purpose, Purpose::Maintain(_));
                if is_maintenance && !planned.is_in_flight && !self.standby.contains(&vm.pool) {
                    self.drain_times.record(now.since(planned.planned_at));
                }
                if !planned.is_in_flight {
                    planned.answer_deadline = now + MOVE_ANSWER_TIME;
                }
                planned.is_in_flight = true;
                planned.next_attempt = Timestamp(u64::MAX);
            }
            self.ordered_at.insert(vm_id.clone(), now);
            self.unlisted_orders.insert(vm_id.clone(), Timestamp(u64::MAX));
            if let Some(worker) = vm.worker.filter(|_| !self.standby.contains(&vm.pool)) {
                let ordered = OrderedWorker { pool: vm.pool, worker };
                self.record.ordered_workers.insert(vm_id, ordered);
            }
            orders.push(order);
        }
        orders
    }

    /// Records from when on a list of VMs shows the effect of an order whose outcome is known, and that
    /// of the copies before it.
    fn note_effect_end(&mut self, vm_id: &VmId, outcome: OrderOutcome, now: Timestamp) {
        let is_open = outcome == OrderOutcome::Unknown;
        let effect_end = if is_open { now + self.cfg.takeover_pause } else { now };
        let planned = self.planned_orders.get(vm_id);
        let open_until = planned.map_or(now, |planned| planned.open_until);
        self.unlisted_orders.insert(vm_id.clone(), effect_end.max(open_until));
    }

    /// Handles the outcome of an order about a VM.
    pub fn on_order_outcome(&mut self, vm_id: &VmId, outcome: OrderOutcome, now: Timestamp) {
        self.note_effect_end(vm_id, outcome, now);
        let Some(planned) = self.planned_orders.get_mut(vm_id) else {
            return;
        };
        let former_location = self.vms.get(vm_id).map(|vm| (vm.pool.clone(), vm.worker.clone()));
        match outcome {
            OrderOutcome::Accepted => {
                let purpose = planned.purpose.clone();
                self.planned_orders.shift_remove(vm_id);
                let is_maintenance = matches!(purpose, Purpose::Maintain(_));
                let duration = match purpose {
                    Purpose::Maintain(wave) => {
                        self.record.begun.entry(wave).or_default().insert(vm_id.clone());
                        self.cfg.maintenance_duration
                    }
                    Purpose::Move(pool) => {
                        self.record_move(vm_id, pool, now);
                        self.cfg.move_duration
                    }
                };
                if let Some(vm) = self.vms.get(vm_id) {
                    self.expected_starts.push((vm.pool.clone(), now + duration));
                }
                // The list of VMs may be older than the order: the VM counts as down meanwhile.
                let until = now + duration + ORDER_RETRY_INTERVAL;
                self.absences.insert(vm_id.clone(), Absence { until, is_maintenance });
                if let Some((pool, Some(worker))) = former_location {
                    self.stopped_workers.insert(worker, (pool, now + self.cfg.worker_entry_ttl));
                }
            }
            OrderOutcome::Busy => {
                planned.is_in_flight = false;
                planned.answer_deadline = Timestamp(u64::MAX);
                planned.next_attempt = now + ORDER_RETRY_INTERVAL;
            }
            OrderOutcome::Invalid => {
                self.planned_orders.shift_remove(vm_id);
                let until = now + Span(2_000);
                self.absences.insert(vm_id.clone(), Absence { until, is_maintenance: false });
            }
            OrderOutcome::Unknown => {
                planned.next_attempt = now + ORDER_RETRY_INTERVAL;
                planned.open_until = now + self.cfg.takeover_pause;
            }
        }
    }
}
