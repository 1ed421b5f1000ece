//! Orders about single VMs: when they are due, and what follows from their outcomes.

mod copies;
#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

pub(super) use self::copies::SentCopies;
use self::copies::SentCopy;
pub use self::copies::{FleetOrder, FleetRequest, OrderNumber};
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
pub(super) type Purpose = FleetRequest;

/// An order about a VM that the platform has not accepted yet.
#[derive(Clone, Debug)]
pub(super) struct PlannedOrder {
    pub(super) purpose: Purpose,
    pub(super) planned_at: Timestamp,
    /// Whether the VM ran long-running tasks when the order was planned.
    pub(super) hosts_long_running: bool,
    /// Whether the order was sent and has no definite outcome yet.
    pub(super) is_in_flight: bool,
    /// The first copy that was sent for this plan, by which its copies know it.
    pub(super) first_copy: Option<OrderNumber>,
    pub(super) first_sent_at: Option<Timestamp>,
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
            first_copy: None,
            first_sent_at: None,
            next_attempt: now,
            drain_deadline: now + drain_time,
            answer_deadline: Timestamp(u64::MAX),
        }
    }

    /// Whether the order is a move that can be dropped: its VM was not drained in time, or the platform
    /// has not answered in time, and no copy of it can take effect any more.
    pub(super) fn is_move_over(&self, copies: &SentCopies, now: Timestamp) -> bool {
        let deadline = if self.is_in_flight { self.answer_deadline } else { self.drain_deadline };
        let is_move = matches!(self.purpose, Purpose::Move(_));
        is_move && now >= deadline && !copies.has_open_copy(self, now)
    }

    /// Whether maintenance was ordered, and has no definite outcome yet.
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

    /// What is planned about a VM now, sent or not.
    #[must_use]
    pub fn planned_request(&self, vm_id: &VmId) -> Option<&FleetRequest> {
        self.planned_orders.get(vm_id).map(|planned| &planned.purpose)
    }

    /// Whether the answer to an order counts for what is planned about its VM now, because it was sent
    /// for that plan.
    #[must_use]
    pub fn counts_for_plan(&self, order: &FleetOrder) -> bool {
        let copy = self.sent_copies.unanswered(order.number());
        copy.is_some_and(|copy| self.is_planned(copy))
    }

    /// Whether what a copy was sent for is still planned.
    fn is_planned(&self, copy: &SentCopy) -> bool {
        self.planned_orders.get(&copy.vm).is_some_and(|planned| copy.is_of(planned))
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

    /// Whether the latest list shows what the orders about a VM have done, and thus the worker that is on it. A
    /// list that shows a move as done does so before the answer comes. Copies of this plan ask for nothing else than
    /// the next one, also if one of them was refused.
    fn is_shown(&self, vm_id: &VmId, planned: &PlannedOrder) -> bool {
        let is_shown = |copy: &SentCopy| {
            self.is_done(copy) || self.vms_asked.is_some_and(|asked| asked >= copy.open_until())
        };
        let mut others = self.sent_copies.of_vm(vm_id).filter(|copy| !copy.is_of(planned));
        !self.changed_vms.contains_key(vm_id) && others.all(is_shown)
    }

    /// Whether a copy that was sent for another plan about the VM may still change what this order finds or
    /// leaves. One whose VM is listed in the pool that it asks for only asks for what is done.
    fn is_held_back(&self, vm_id: &VmId, planned: &PlannedOrder, now: Timestamp) -> bool {
        let others = self.sent_copies.of_vm(vm_id).filter(|copy| !copy.is_of(planned));
        let mut open = others.filter(|copy| copy.is_open(now));
        open.any(|copy| match (&copy.request, &planned.purpose) {
            (FleetRequest::Move(to), Purpose::Move(pool)) => to != pool,
            _ => !self.is_done(copy),
        })
    }

    /// Whether a copy asks for what a list shows as done, so that it changes nothing while the VM stays there.
    fn is_done(&self, copy: &SentCopy) -> bool {
        match &copy.request {
            FleetRequest::Move(pool) => self.has_arrived(&copy.vm, pool, copy.sent_at),
            FleetRequest::Maintain(_) => false,
        }
    }

    /// Whether an order about a VM may still take effect, so that a move of the VM may have to wait.
    pub(super) fn has_open_order(&self, vm_id: &VmId, now: Timestamp) -> bool {
        self.sent_copies.of_vm(vm_id).any(|copy| copy.is_open(now))
    }

    /// The workers that orders about their VMs may still stop, each with its pool: those that were there when
    /// the orders were sent, and those that are listed on the VMs by now. A list may lack the VM, and the
    /// order may be no longer planned.
    pub(super) fn workers_with_open_orders(&self, now: Timestamp) -> Vec<(ServiceId, WorkerId)> {
        let mut workers = Vec::new();
        for copy in self.sent_copies.open(now) {
            workers.extend(copy.worker.clone().map(|worker| (copy.pool.clone(), worker)));
            let listed = self.vms.get(&copy.vm).filter(|_| !self.is_done(copy));
            workers.extend(listed.and_then(|vm| Some((vm.pool.clone(), vm.worker.clone()?))));
        }
        workers
    }

    /// Drops the orders to move VMs that are up in their new pools by a list that was asked for after the
    /// first copy was sent.
    pub(super) fn drop_finished_moves(&mut self) {
        let finished = self.planned_orders.iter().filter(|(vm_id, planned)| {
            let Purpose::Move(pool) = &planned.purpose else {
                return false;
            };
            let is_up = self.vms.get(*vm_id).is_some_and(|vm| vm.state == VmState::Up);
            let since = planned.first_sent_at;
            let has_arrived = since.is_some_and(|since| self.has_arrived(vm_id, pool, since));
            planned.is_in_flight && is_up && has_arrived
        });
        let finished: Vec<VmId> = finished.map(|(vm_id, _)| vm_id.clone()).collect();
        self.planned_orders.retain(|vm_id, _| !finished.contains(vm_id));
    }

    /// Rewrites [`super::FleetRecord::ordered`] from the times of the latest orders, and drops old ones.
    pub(super) fn record_recent_orders(&mut self, now: Timestamp) {
        let retention = Span(self.cfg.takeover_pause.0 + RECENT_ORDER_MARGIN.0);
        let copies = &self.sent_copies;
        self.ordered_at.retain(|vm_id, at| now <= *at + retention || copies.awaits_answer(vm_id));
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
                // The answers to copies of the move say nothing of the maintenance.
                *planned = PlannedOrder {
                    planned_at: planned.planned_at,
                    ..PlannedOrder::new(Purpose::Maintain(wave), now, WAVE_DRAIN_TIME)
                };
            }
            let planned = &self.planned_orders[&vm_id];
            // Copies of one order change nothing beyond what the first of them did.
            let may_rest_on_list = planned.is_in_flight || self.is_shown(&vm_id, planned);
            if !may_rest_on_list || self.is_held_back(&vm_id, planned, now) {
                continue;
            }
            match &planned.purpose {
                Purpose::Maintain(number) => {
                    let max_down = self.waves.get(number).map_or(0, |wave| wave.max_down as usize);
                    if !self.may_be_down(&vm_id) && self.down_count(*number) >= max_down {
                        continue;
                    }
                    self.record.maintained.insert(vm_id.clone());
                }
                Purpose::Move(_) => {
                    self.record.maintained.shift_remove(&vm_id);
                }
            }
            if let Some(planned) = self.planned_orders.get_mut(&vm_id) {
                let order = self.sent_copies.send(
                    (vm_id.clone(), planned.purpose.clone()),
                    planned.first_copy,
                    (vm.pool.clone(), vm.worker.clone()),
                    now,
                );
                planned.first_copy.get_or_insert(order.number());
                planned.first_sent_at.get_or_insert(now);
                orders.push(order);
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
        }
        orders
    }

    /// Whether a list that was asked for after `since` shows a VM in a pool.
    fn has_arrived(&self, vm_id: &VmId, pool: &ServiceId, since: Timestamp) -> bool {
        let is_listed_there = |vm: &Vm| vm.pool == *pool && vm.state != VmState::Moving;
        self.vms_asked.is_some_and(|asked| asked > since)
            && self.vms.get(vm_id).is_some_and(is_listed_there)
    }

    /// Handles the outcome of a copy of an order. It changes what is planned about the VM only if the copy
    /// was sent for that plan; otherwise it only says what is known of the VM. A second outcome of the same
    /// copy has no effect.
    pub fn on_order_outcome(&mut self, order: FleetOrder, outcome: OrderOutcome, now: Timestamp) {
        let Some((number, copy)) = self.sent_copies.take_answered(order) else {
            return;
        };
        let vm_id = copy.vm.clone();
        let planned = self.planned_orders.get_mut(&vm_id).filter(|planned| copy.is_of(planned));
        match outcome {
            OrderOutcome::Accepted => self.on_accepted_order(copy, now),
            OrderOutcome::Busy => {
                if let Some(planned) = planned {
                    planned.is_in_flight = false;
                    planned.answer_deadline = Timestamp(u64::MAX);
                    planned.next_attempt = now + ORDER_RETRY_INTERVAL;
                }
            }
            OrderOutcome::Invalid => {
                if planned.is_some() {
                    self.planned_orders.shift_remove(&vm_id);
                    let absence = Absence { until: now + Span(2_000), is_maintenance: false };
                    self.absences.insert(vm_id.clone(), absence);
                }
            }
            OrderOutcome::Unknown => {
                if let Some(planned) = planned {
                    planned.next_attempt = now + ORDER_RETRY_INTERVAL;
                }
                self.sent_copies.keep_open(number, copy, now + self.cfg.takeover_pause);
                // The next owner counts the takeover pause from this time on, too.
                self.ordered_at.insert(vm_id.clone(), now);
            }
        }
        // From then on a list of VMs shows the effect of all copies about the VM.
        let effect_end = self.sent_copies.effect_end(&vm_id, now);
        self.unlisted_orders.insert(vm_id, effect_end);
    }

    /// Records that the platform carries out an order, or has done so before.
    fn on_accepted_order(&mut self, copy: SentCopy, now: Timestamp) {
        // An order of a later plan that asks for the same has nothing left to ask for.
        if self.planned_request(&copy.vm) == Some(&copy.request) {
            self.planned_orders.shift_remove(&copy.vm);
        }
        let SentCopy { vm: vm_id, request, pool: former_pool, worker, sent_at, .. } = copy;
        if let Some(worker) = worker {
            let stopped = (former_pool.clone(), now + self.cfg.worker_entry_ttl);
            self.stopped_workers.insert(worker, stopped);
        }
        match request {
            FleetRequest::Maintain(wave) => {
                self.sent_copies.close_all(&vm_id, &request);
                self.record.begun.entry(wave).or_default().insert(vm_id.clone());
                self.changed_vms.insert(vm_id.clone(), now);
                self.expect_worker(vm_id, former_pool, true, now);
            }
            FleetRequest::Move(pool) => {
                if self.has_arrived(&vm_id, &pool, sent_at) {
                    self.last_moved.insert(vm_id, now);
                } else {
                    self.record_move(&vm_id, pool.clone(), now);
                    self.changed_vms.insert(vm_id.clone(), now);
                    self.expect_worker(vm_id, pool, false, now);
                }
            }
        }
    }

    /// Counts a VM whose order was accepted as absent until a new worker is expected in this pool. The
    /// list of VMs may be older than the order.
    fn expect_worker(
        &mut self,
        vm_id: VmId,
        pool: ServiceId,
        is_maintenance: bool,
        now: Timestamp,
    ) {
        let duration =
            if is_maintenance { self.cfg.maintenance_duration } else { self.cfg.move_duration };
        self.expected_starts.push((pool, now + duration));
        let until = now + duration + ORDER_RETRY_INTERVAL;
        // A VM that is down for maintenance stays so, whatever an earlier order has done.
        let is_down_at = |absence: &Absence| absence.is_maintenance && now < absence.until;
        let is_down = self.absences.get(&vm_id).is_some_and(is_down_at);
        if is_maintenance || !is_down {
            self.absences.insert(vm_id, Absence { until, is_maintenance });
        }
    }
}
