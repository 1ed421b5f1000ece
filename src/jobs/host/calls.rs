//! Carries out what a cell asks for: calls to workers and to the advice service, replies to requests
//! and log lines.

use std::{cell::Cell as StdCell, rc::Rc};

use slog::{info, warn};
use teaselgap_core::{
    Span,
    job::{
        Action, AdviceRequest, Answer, Cell, Fence, FencedCall, HoldReport, LogEvent, StartAnswer,
        StartOutcome, TaskId, Token, WorkerId,
    },
};
use teaselgap_platform::{
    advice,
    client::CallError,
    worker::{HoldError, Target},
};

use super::{
    super::{
        ask::Reply,
        owner_load::{CallKind, ListTotals},
        session, start_order,
    },
    CellOwner,
};
use crate::clock;

impl CellOwner {
    /// Sends a call, and counts it for the report of the load. `is_answered` tells whether the
    /// call's result is a worker's answer.
    async fn measured<T>(
        &self,
        kind: CallKind,
        call: impl Future<Output = T>,
        is_answered: impl FnOnce(&T) -> bool,
    ) -> T {
        let id = self.meter.borrow_mut().begin(kind, clock::now());
        let result = call.await;
        self.meter.borrow_mut().end(id, is_answered(&result), clock::now());
        result
    }

    pub(super) fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Reply(token, answer) => self.reply(token, answer),
            Action::Log(event) => {
                match event {
                    LogEvent::Accepted { .. } => self.meter.borrow_mut().record_accepted(),
                    LogEvent::Refused { .. } => self.meter.borrow_mut().record_refused(),
                    _ => {}
                }
                self.node.shared.metrics.record_decision(self.service.as_str(), &event);
                self.log.write(&event);
            }
            Action::Start(worker, order) => {
                let task = (order.task, order.attempt);
                let is_sent = self.spawn_call(&worker, async move |owner, target| {
                    let (repeater, client) = (&owner.order_repeater, &owner.worker_client);
                    let sent = StdCell::new(0);
                    let permit = || {
                        let fence = owner.permit_start(&target.worker, task)?;
                        let earlier_copies = sent.replace(sent.get() + 1);
                        let bytes = Cell::message_bytes(order.spec.payload.len(), 0);
                        owner.meter.borrow_mut().record_start_copy(earlier_copies == 0, bytes);
                        // The copies after that hardly prolong the order's life.
                        if earlier_copies == 1 {
                            let now = clock::now();
                            owner.with_cell(|cell| {
                                cell.on_start_repeated(&target.worker, task, now);
                            });
                        }
                        Ok(fence)
                    };
                    let id = owner.meter.borrow_mut().begin(CallKind::Start, clock::now());
                    let has_open_copy = StdCell::new(false);
                    let on_answer = |answer: StartAnswer| {
                        let (outcome, now) = (answer.outcome, clock::now());
                        has_open_copy.set(outcome == StartOutcome::StartedRepeated);
                        let is_answered = outcome != StartOutcome::Unknown;
                        owner.meter.borrow_mut().end(id, is_answered, now);
                        owner.with_cell(|cell| {
                            cell.on_start_answer(&target.worker, task, answer, now);
                        });
                    };
                    let order = (&target, &order);
                    let is_answered =
                        start_order::send(repeater, client, order, permit, on_answer).await;
                    if is_answered && has_open_copy.get() {
                        let now = clock::now();
                        owner.with_cell(|cell| {
                            cell.on_start_copies_answered(&target.worker, task, now);
                        });
                    }
                });
                if !is_sent {
                    let outcome = StartOutcome::Refused("worker without an address");
                    let now = clock::now();
                    self.with_cell(|cell| cell.on_start_answer(&worker, task, outcome, now));
                }
            }
            Action::RequestAdvice(request) => {
                let owner = Rc::clone(self);
                tokio::task::spawn_local(async move { owner.ask_advice(request).await });
            }
            Action::Stop(worker, task, attempt) => {
                self.spawn_call(&worker, async move |owner, target| {
                    let sent_at = clock::now();
                    let Some(fence) = owner.fence_call(&target.worker, FencedCall::Run) else {
                        return;
                    };
                    let call = owner.worker_client.stop(&target, (task, attempt), fence);
                    let confirmed = owner.measured(CallKind::Stop, call, |ok| *ok).await;
                    let (run, time) = ((task, attempt), (sent_at, clock::now()));
                    owner.with_cell(|cell| {
                        cell.on_stop_answer(&target.worker, run, confirmed, time);
                    });
                });
            }
            Action::Pace(worker, task, attempt, share) => {
                let is_sent = self.spawn_call(&worker, async move |owner, target| {
                    owner.pace(&target, (task, attempt), share).await;
                });
                if !is_sent {
                    self.with_cell(|cell| {
                        cell.on_pace_answer(&worker, (task, attempt), share, false);
                    });
                }
            }
            Action::Hold { worker, lease_end, last_seen, wait, fence } => {
                self.spawn_permitted(&worker, Self::may_renew, async move |owner, target| {
                    owner.hold(&target, (lease_end, last_seen, wait), fence).await;
                });
            }
        }
    }

    /// Orders something of a worker in a task of its own. Returns whether the worker's address is known.
    fn spawn_call(
        self: &Rc<Self>,
        worker: &WorkerId,
        call: impl AsyncFnOnce(Rc<Self>, Target) + 'static,
    ) -> bool {
        self.spawn_permitted(worker, Self::may_order, call)
    }

    /// Calls a worker in a task of its own, if that is permitted at the moment of sending. Returns whether
    /// the worker's address is known.
    fn spawn_permitted(
        self: &Rc<Self>,
        worker: &WorkerId,
        is_permitted: impl Fn(&Self) -> bool + 'static,
        call: impl AsyncFnOnce(Rc<Self>, Target) + 'static,
    ) -> bool {
        let target = self.targets.borrow().get(worker).cloned();
        let Some(target) = target else {
            warn!(self.node.log, "call not sent: worker without an address"; "worker" => %worker);
            return false;
        };
        let owner = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if is_permitted(&owner) {
                call(owner, target).await;
            }
        });
        true
    }

    /// Whether orders may be sent at this moment. The process may have been paused since they were
    /// decided on, or the cell may be being handed over.
    fn may_order(&self) -> bool {
        self.may_renew() && !self.is_handing_over.get()
    }

    /// Whether leases may be renewed at this moment. When a lease ends was fixed when its renewal was
    /// decided on, and the record of a handover allows for it.
    fn may_renew(&self) -> bool {
        session::end_expired_terms(&self.node);
        !self.is_term_over.get()
    }

    /// The fencing token of a start order, or a copy of it, that is sent at this moment.
    ///
    /// # Errors
    ///
    /// Returns the reason if it must not be sent.
    fn permit_start(&self, worker: &WorkerId, run: (TaskId, u32)) -> Result<Fence, &'static str> {
        if !self.may_order() {
            return Err("the term is over");
        }
        let mut cell = self.cell.borrow_mut();
        let cell = cell.as_mut().filter(|cell| cell.may_send_start(worker, run));
        let cell = cell.ok_or("the run is not wanted any more")?;
        Ok(cell.fence_call(worker, FencedCall::Start))
    }

    /// The fencing token of a call that is sent at this moment; `None` once the term has ended.
    fn fence_call(&self, worker: &WorkerId, kind: FencedCall) -> Option<Fence> {
        let mut cell = self.cell.borrow_mut();
        cell.as_mut().map(|cell| cell.fence_call(worker, kind))
    }

    /// Whether this owner has sent the worker a call with a higher fencing token.
    fn is_outranked(&self, worker: &WorkerId, fence: Fence) -> bool {
        let cell = self.cell.borrow();
        cell.as_ref().is_some_and(|cell| cell.is_outranked(worker, fence))
    }

    async fn ask_advice(&self, request: AdviceRequest) {
        let advice = match self.node.settings.advice {
            Some(address) => {
                advice::request_advice(&self.node.connections, address, &request).await
            }
            None => Err(CallError::NoEffect("no advice service in the settings".to_owned())),
        };
        if let Err(err) = &advice {
            warn!(self.node.log, "advice request failed"; "step" => %request.step, "error" => %err,
                "cell" => %self.service, "epoch" => self.epoch.0);
        }
        self.with_cell(|cell| cell.on_advice_answer(&request, advice.as_ref().ok(), clock::now()));
    }

    async fn pace(&self, target: &Target, (task, attempt): (TaskId, u32), share: u64) {
        let Some(fence) = self.fence_call(&target.worker, FencedCall::Run) else {
            return;
        };
        let call = self.worker_client.pace(target, (task, attempt), share, fence);
        let is_confirmed = self.measured(CallKind::Order, call, |ok| *ok).await;
        self.with_cell(|cell| {
            cell.on_pace_answer(&target.worker, (task, attempt), share, is_confirmed);
        });
    }

    async fn hold(
        &self,
        target: &Target,
        (lease_end, last_seen, wait): (Option<u64>, u64, Span),
        fence: Fence,
    ) {
        let sent_at = clock::now();
        if self.is_outranked(&target.worker, fence) {
            self.with_cell(|cell| cell.on_hold_not_sent(&target.worker, sent_at));
            return;
        }
        if lease_end.is_some()
            && let Some(cell) = self.cell.borrow_mut().as_mut()
        {
            cell.on_renewal_left(&target.worker, sent_at);
        }
        let call = self.worker_client.hold(target, lease_end, last_seen, wait, fence);
        let is_answered =
            |result: &Result<_, HoldError>| !matches!(result, Err(HoldError::Call(_)));
        let result = self.measured(CallKind::Hold, call, is_answered).await;
        if matches!(result, Err(HoldError::Fenced)) && self.is_outranked(&target.worker, fence) {
            self.with_cell(|cell| cell.on_hold_outranked(&target.worker, clock::now()));
            return;
        }
        if let Err(HoldError::Fenced) = result {
            warn!(self.node.log, "fenced by a later owner"; "cell" => %self.service,
                "worker" => %target.worker, "epoch" => self.epoch.0);
            self.node
                .cell_owners
                .borrow_mut()
                .retain(|_, owner| !std::ptr::eq(&raw const **owner, self));
            self.end_term("a worker has seen a later owner");
            return;
        }
        if let Ok(report) = &result {
            self.record_lists(&target.worker, report);
        }
        let now = clock::now();
        if let Err(HoldError::Call(err)) = &result
            && last_seen > 0
        {
            info!(self.node.log, "hold that confirms ends got no answer"; "worker" => %target.worker,
                "last_seen" => last_seen, "fence" => %fence, "after_ms" => now.since(sent_at).0, "error" => %err,
                "cell" => %self.service, "epoch" => self.epoch.0);
        }
        self.with_cell(|cell| cell.on_hold_answer(&target.worker, sent_at, result.ok(), now));
    }

    /// Counts what an answer to a hold lists, before the cell reads it.
    fn record_lists(&self, worker: &WorkerId, report: &HoldReport) {
        let last_read = self.cell.borrow().as_ref().map_or(0, |cell| cell.last_end_read(worker));
        let known_ends = report.ends.iter().filter(|end| end.number <= last_read).count();
        let (runs, ends) = (report.running.len(), report.ends.len());
        self.meter.borrow_mut().record_lists(ListTotals {
            runs: runs as u64,
            ends: ends as u64,
            known_ends: known_ends as u64,
            bytes: Cell::message_bytes(0, runs + ends),
        });
    }

    fn reply(&self, token: Token, answer: Answer) {
        let answer = match answer {
            Answer::Durable => Reply::Durable,
            Answer::Refused { retry_after, closed: Span(0) } => Reply::Refused { retry_after },
            Answer::Refused { retry_after, closed } => Reply::Closed { retry_after, time: closed },
            Answer::Unknown => Reply::UnknownJob,
        };
        self.pending_replies.borrow_mut().answer(token, answer);
    }
}
