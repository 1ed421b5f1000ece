//! The calls of an owner to workers and to the advice service, and their delivery in virtual time.

use std::collections::VecDeque;

use teaselgap_core::{
    Epoch, Span, Timestamp,
    job::{
        Action, AdviceAnswer, AdviceRequest, Fence, FencedCall, StartAnswer, StartOrder,
        StartOutcome, TaskId, WorkerEntry, WorkerId,
    },
};

use super::{
    ADVICE_LATENCY_MS, CRASH_DURATION_MS, Call, CountedStarts, Delivery, Fate, LATENCY_MS, Model,
    ModelWorker, REPEAT_MS, Reply, TICKET, TICKET_VALIDITY_MS, owners::Sender,
};

impl Model {
    pub(super) fn send(&mut self, delay_ms: u64, delivery: Delivery) {
        self.next_delivery += 1;
        self.deliveries.insert((self.now + Span(delay_ms), self.next_delivery), delivery);
    }

    /// Passes a message of the owner over its link, and returns how long that takes.
    pub(super) fn send_over_link(&mut self, bytes: u64) -> Span {
        let now = self.now;
        self.link.as_mut().map_or(Span(0), |link| link.send(bytes, now))
    }

    /// Passes a message to the owner over its link, and returns how long that takes.
    pub(super) fn receive_over_link(&mut self, bytes: u64) -> Span {
        let now = self.now;
        self.link.as_mut().map_or(Span(0), |link| link.receive(bytes, now))
    }

    pub(super) fn perform(&mut self, sender: Sender, action: Action) {
        match action {
            Action::Reply(token, answer) => {
                self.answers.insert(token, answer);
            }
            Action::Log(event) => self.log_events.push(event),
            Action::Pace(..) => {}
            Action::RequestAdvice(request) => self.request_advice(sender, request),
            Action::Start(worker, order) => {
                self.starts_in_flight += usize::from(sender.epoch == self.epoch);
                self.max_starts_in_flight = self.max_starts_in_flight.max(self.starts_in_flight);
                self.last_orders.insert(order.task, worker.clone());
                self.call(sender, worker, Call::Start(order));
            }
            Action::Stop(worker, task, attempt) => {
                let sent = self.now;
                self.call(sender, worker, Call::Stop { task, attempt, sent });
            }
            Action::Hold { worker, lease_end, last_seen, wait, fence } => {
                let sent = self.now + self.sending_delay;
                if let (Some(_), Some(cell)) = (lease_end, self.cell_of(sender.epoch)) {
                    cell.on_renewal_left(&worker, sent);
                }
                let call = Call::Hold { lease_end, last_seen, wait, sent, fence };
                self.call(sender, worker, call);
            }
        }
    }

    /// Sends a request to the advice service, which answers unless it is unavailable.
    pub(super) fn request_advice(&mut self, sender: Sender, request: AdviceRequest) {
        let allowed =
            request.workers.iter().filter(|&worker| self.allowed_workers.contains(worker));
        let allowed = allowed.map(|worker| (worker.clone(), TICKET.into())).collect();
        let answer = self
            .is_advice_available
            .then_some(AdviceAnswer { allowed, validity: Span(TICKET_VALIDITY_MS) });
        self.advice_request_count += 1;
        let (worker, epoch) = (request.workers[0].clone(), sender.epoch);
        let reply = Reply::Advice(request, answer);
        self.send(ADVICE_LATENCY_MS, Delivery::ToCell { worker, epoch, reply });
    }

    pub(super) fn is_unreachable(&self, worker: &WorkerId) -> bool {
        self.unreachable.get(worker).is_some_and(|until| self.now < *until)
    }

    /// Returns the fencing token of a call that is sent now.
    fn fence_of(&mut self, worker: &WorkerId, epoch: Epoch, call: &Call) -> Fence {
        let kind = match call {
            Call::Hold { fence, .. } => return *fence,
            Call::Start(_) | Call::RepeatedStart(_) => FencedCall::Start,
            Call::Stop { .. } | Call::PendingHold { .. } => FencedCall::Run,
        };
        let owner = self.cell_of(epoch);
        owner.map_or(Fence::first_of(epoch), |owner| owner.fence_call(worker, kind))
    }

    /// Sends a call to a worker, subject to the injected faults.
    pub(super) fn call(&mut self, sender: Sender, worker: WorkerId, call: Call) {
        let epoch = sender.epoch;
        let fence = self.fence_of(&worker, epoch, &call);
        self.sent_copies += u32::from(matches!(call, Call::RepeatedStart(_)));
        self.traffic.record_call(&call);
        self.begin_copy(epoch, &worker, &call);
        let is_cut_off = self.cut_off_from.contains(&(epoch, worker.clone()));
        if is_cut_off || epoch == self.epoch && self.is_unreachable(&worker) {
            self.schedule_timeout(worker, epoch, &call);
            return;
        }
        if let (Call::Stop { .. }, Some(faults)) = (&call, self.faults.get_mut(&worker))
            && faults.lost_stops > 0
        {
            faults.lost_stops -= 1;
            self.schedule_timeout(worker, epoch, &call);
            return;
        }
        let deadline = self.now + call.timeout();
        let mut delay_ms = LATENCY_MS + sender.late_ms + self.send_over_link(call.bytes()).0;
        let mut answer_arrives = self.now + Span(delay_ms) < deadline;
        if let Some(faults) = self.faults.get_mut(&worker) {
            let late = match &call {
                Call::Stop { .. } => &mut faults.late_stops,
                Call::Hold { last_seen: 1.., .. } => &mut faults.late_holds,
                _ => &mut 0,
            };
            if *late > 0 {
                *late -= 1;
                delay_ms = faults.late_ms;
                answer_arrives = false;
            }
        }
        if let Some(faults) = self.faults.get_mut(&worker).filter(|_| call.is_start()) {
            if faults.late_orders > 0 {
                faults.late_orders -= 1;
                delay_ms = faults.late_ms;
                answer_arrives = false;
            } else if faults.lost_answers > 0 {
                faults.lost_answers -= 1;
                answer_arrives = false;
            }
        }
        let fate = self.take_fate(&worker, &call);
        answer_arrives &= matches!(fate, None | Some(Fate::Answered | Fate::Slow(_)));
        if let Some(Fate::Late(at) | Fate::Slow(at)) = fate {
            delay_ms = at.since(self.now).0;
        }
        match &call {
            Call::Start(order) if !answer_arrives && self.copies.is_none() => {
                let order = order.clone();
                let worker = worker.clone();
                self.send(REPEAT_MS, Delivery::RepeatStart { worker, epoch, order });
            }
            _ if !answer_arrives => self.schedule_timeout(worker.clone(), epoch, &call),
            _ => {}
        }
        if fate == Some(Fate::CallLost) {
            return;
        }
        let instance = self.workers.get(&worker).map_or(0, ModelWorker::instance);
        let delivery =
            Delivery::ToWorker { worker, epoch, fence, call, answer_arrives, deadline, instance };
        self.send(delay_ms, delivery);
    }

    /// Schedules the reply that the owner gets when a call times out.
    pub(super) fn schedule_timeout(&mut self, worker: WorkerId, epoch: Epoch, call: &Call) {
        let mut reply = call.timed_out();
        if let Reply::Started(_, _, answer) = &mut reply {
            answer.last_sent = Some(self.now);
        }
        self.send(call.timeout().0, Delivery::ToCell { worker, epoch, reply });
    }

    /// Sends a worker's answer to the owner, which stops waiting for it at `deadline`.
    pub(super) fn answer_call(
        &mut self,
        (worker, epoch): (WorkerId, Epoch),
        (reply, timed_out): (Reply, Reply),
        deadline: Timestamp,
    ) {
        self.traffic.record_answer(&reply);
        let held_up_ms = self.take_answer_delay(&worker, &reply);
        let delay_ms = LATENCY_MS + held_up_ms + self.receive_over_link(reply.bytes()).0;
        if self.now + Span(delay_ms) <= deadline {
            self.send(delay_ms, Delivery::ToCell { worker, epoch, reply });
        } else {
            let delay_ms = deadline.since(self.now).0;
            self.send(delay_ms, Delivery::ToCell { worker, epoch, reply: timed_out });
        }
    }

    /// Returns how long the next answer of a worker is held up. Unless copies may cross, the answer to a start order
    /// comes before the owner sends a copy of it.
    fn take_answer_delay(&mut self, worker: &WorkerId, reply: &Reply) -> u64 {
        let delay_ms = self.answer_delays.get_mut(worker).and_then(VecDeque::pop_front);
        let longest_ms = match reply {
            Reply::Started(..) if self.copies.is_none() => REPEAT_MS - 2 * LATENCY_MS,
            _ => u64::MAX,
        };
        delay_ms.unwrap_or(0).min(longest_ms)
    }

    pub(super) fn deliver(&mut self) {
        while let Some(entry) = self.deliveries.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Delivery::ToWorker {
                    worker,
                    epoch,
                    fence,
                    call,
                    answer_arrives,
                    deadline,
                    instance,
                } => {
                    if call.is_start() && !self.may_deliver_start(&worker, epoch, instance) {
                        if answer_arrives {
                            self.schedule_timeout(worker, epoch, &call);
                        }
                        continue;
                    }
                    self.record_arrival(&worker, (epoch, &call), (instance, deadline));
                    self.on_call((worker, epoch, fence), call, answer_arrives, deadline);
                }
                Delivery::ToCell { worker, epoch, reply } => self.on_reply(&worker, epoch, reply),
                Delivery::SegmentWritten { epoch, sequence } => {
                    let now = self.now;
                    self.log.confirm();
                    if let Some(cell) = self.cell.as_mut().filter(|cell| cell.epoch() == epoch) {
                        cell.on_segment_written(sequence, now);
                    }
                }
                Delivery::RenewalAtStore { epoch, sent } => self.on_renewal_at_store(epoch, sent),
                Delivery::Renewed { epoch, sent } => self.on_renewed(epoch, sent),
                Delivery::LogRead => self.take_over_again(0),
                Delivery::RepeatStart { worker, epoch, order } if self.copies.is_some() => {
                    let sender = self.sender_of(epoch);
                    self.repeat_crossing(sender, worker, order, epoch);
                }
                Delivery::RepeatStart { worker, epoch, order } => {
                    let run = (order.task, order.attempt);
                    let now = self.now;
                    let cell = self.cell_of(epoch).filter(|cell| cell.may_send_start(&worker, run));
                    let may_send = cell.is_some();
                    if let Some(cell) = cell {
                        cell.on_start_repeated(&worker, run, now);
                    }
                    if let Some(sender) = self.sender_of(epoch).filter(|_| may_send) {
                        self.call(sender, worker, Call::RepeatedStart(order));
                    } else {
                        self.schedule_timeout(worker, epoch, &Call::Start(order));
                    }
                }
                Delivery::Crash(worker, instance) => {
                    let current = self.workers.get(&worker).map(ModelWorker::instance);
                    if current == Some(instance) {
                        self.crash(&worker);
                    }
                }
                Delivery::WorkerReturned(worker) => {
                    self.workers.insert(worker.entry.id.clone(), *worker);
                }
            }
        }
    }

    pub(super) fn on_call(
        &mut self,
        (id, epoch, fence): (WorkerId, Epoch, Fence),
        call: Call,
        answer_arrives: bool,
        deadline: Timestamp,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        if worker.is_partitioned(now) {
            if answer_arrives {
                self.schedule_timeout(id, epoch, &call);
            }
            return;
        }
        let timed_out = call.timed_out();
        let reply = match call {
            Call::Start(order) => {
                let clock_ms = Some(worker.clock(now));
                let outcome = self.start_at(&id, &order, fence);
                Reply::Started(
                    order.task,
                    order.attempt,
                    StartAnswer { outcome, clock_ms, last_sent: None },
                )
            }
            Call::RepeatedStart(order) => {
                let clock_ms = Some(worker.clock(now));
                let outcome = match self.start_at(&id, &order, fence) {
                    outcome if self.copies.is_some() => outcome,
                    StartOutcome::Started => StartOutcome::StartedRepeated,
                    _ => StartOutcome::Unknown,
                };
                Reply::Started(
                    order.task,
                    order.attempt,
                    StartAnswer { outcome, clock_ms, last_sent: None },
                )
            }
            Call::Stop { task, attempt, sent } => {
                let is_confirmed = worker.stop((task, attempt), fence, (sent, now));
                Reply::Stopped(task, attempt, is_confirmed, sent)
            }
            Call::PendingHold { instance, sent, .. } if instance != worker.instance() => {
                // The connection was lost when the worker instance ended.
                Reply::Held(sent, None)
            }
            Call::PendingHold { last_seen, wait, sent, .. } => {
                let held = (last_seen, wait, sent);
                let Some(reply) =
                    self.answer_hold((id.clone(), epoch, fence), held, (answer_arrives, deadline))
                else {
                    return;
                };
                reply
            }
            Call::Hold { lease_end, last_seen, wait, sent, .. } => {
                let Some(done) = worker.hold(lease_end, last_seen, fence, now) else {
                    self.refuse_hold((id, epoch, fence), answer_arrives, deadline);
                    return;
                };
                self.record_done(done);
                let held = (last_seen, wait, sent);
                let Some(reply) =
                    self.answer_hold((id.clone(), epoch, fence), held, (answer_arrives, deadline))
                else {
                    return;
                };
                reply
            }
        };
        if answer_arrives {
            self.answer_call((id, epoch), (reply, timed_out), deadline);
        }
    }

    /// Returns the answer to a hold that a worker has carried out; `None` if it waits for a run to end.
    fn answer_hold(
        &mut self,
        (worker, epoch, fence): (WorkerId, Epoch, Fence),
        (last_seen, wait, sent): (u64, Span, Timestamp),
        (answer_arrives, deadline): (bool, Timestamp),
    ) -> Option<Reply> {
        let now = self.now;
        let model = self.workers.get(&worker)?;
        let Some(delay_ms) = model.remaining_wait(sent, wait, last_seen, now) else {
            return Some(Reply::Held(sent, Some(model.report(now))));
        };
        let instance = model.instance();
        let call = Call::PendingHold { last_seen, wait, sent, instance };
        let pending =
            Delivery::ToWorker { worker, epoch, fence, call, answer_arrives, deadline, instance };
        self.send(delay_ms, pending);
        None
    }

    /// Answers a hold of an owner whose later call, or that of a later owner, came before.
    fn refuse_hold(
        &mut self,
        (id, epoch, fence): (WorkerId, Epoch, Fence),
        answer_arrives: bool,
        deadline: Timestamp,
    ) {
        if !answer_arrives {
            return;
        }
        if self.cell_of(epoch).is_some_and(|cell| cell.is_outranked(&id, fence)) {
            self.answer_call(
                (id, epoch),
                (Reply::Outranked, Reply::Held(self.now, None)),
                deadline,
            );
        } else {
            self.end_earlier_owner(epoch);
            self.answer_call(
                (id, epoch),
                (Reply::Held(self.now, None), Reply::Held(self.now, None)),
                deadline,
            );
        }
    }

    /// Executes a start order at a worker, and records the start if the run was not there before.
    fn start_at(&mut self, id: &WorkerId, order: &StartOrder, fence: Fence) -> StartOutcome {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return StartOutcome::Unknown;
        };
        let was_running = worker.is_running(order.task);
        let outcome = worker.start(order, fence, now);
        let is_new = outcome == StartOutcome::Started && !was_running;
        let counts_all = self.counted_starts == CountedStarts::All;
        if is_new && (counts_all || worker.has_owner_contact()) {
            self.record_start(id, order);
        }
        if is_new {
            self.crash_on_start(id, order.task);
        }
        outcome
    }

    /// Crashes a worker if it is set to crash when this task starts, or soon after.
    fn crash_on_start(&mut self, id: &WorkerId, task: TaskId) {
        let worker = self.workers.get(id);
        match worker.and_then(|worker| Some((worker.instance(), worker.crash_delay_ms(task)?))) {
            Some((_, 0)) => self.crash(id),
            Some((instance, ms)) => self.send(ms, Delivery::Crash(id.clone(), instance)),
            None => {}
        }
    }

    /// Crashes a worker, which returns at its address as a new instance.
    fn crash(&mut self, id: &WorkerId) {
        self.count_crash(id);
        let (now, wall_ms) = (self.now, self.wall_ms() + CRASH_DURATION_MS);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let entry = WorkerEntry { started_wall_ms: wall_ms, ..worker.crash(now) };
        let mut next = ModelWorker::new(entry);
        next.task_time = worker.task_time;
        self.send(CRASH_DURATION_MS, Delivery::WorkerReturned(Box::new(next)));
    }

    /// Records tasks that an owner has confirmed as done, each with the time of its end, and checks
    /// that none of them has started since.
    pub(super) fn record_done(&mut self, done: Vec<(TaskId, Timestamp)>) {
        for (task, at) in done {
            if self.last_starts.get(&task).is_some_and(|start| *start > at) {
                self.violations.push(format!("{} {task} started after it was done", self.now));
            }
            self.confirmed_done.insert(task);
        }
    }

    /// Records the start of a task, and checks that it is neither done nor running on another
    /// worker.
    pub(super) fn record_start(&mut self, id: &WorkerId, order: &StartOrder) {
        let task = order.task;
        *self.start_counts.entry(task).or_default() += 1;
        self.last_starts.insert(task, self.now);
        if self.confirmed_done.contains(&task) {
            self.violations.push(format!("{} {task} started after it was done", self.now));
        }
        let elsewhere: Vec<String> = self
            .workers
            .iter()
            .filter(|(other, worker)| *other != id && worker.is_running(task))
            .map(|(other, _)| other.to_string())
            .collect();
        if !elsewhere.is_empty() {
            let at = elsewhere.join(", ");
            self.violations.push(format!("{} {task} runs at {id} and at {at}", self.now));
        }
    }

    pub(super) fn on_reply(&mut self, id: &WorkerId, epoch: Epoch, reply: Reply) {
        let now = self.now;
        if let Some(until) = self.paused_until(epoch) {
            let (worker, delay_ms) = (id.clone(), until.since(now).0);
            self.send(delay_ms, Delivery::ToCell { worker, epoch, reply });
            return;
        }
        if let Reply::Started(task, attempt, answer) = reply {
            self.on_copy_answer(id, epoch, (task, attempt), answer);
            return;
        }
        let Some(cell) = self.cell_of(epoch) else {
            return;
        };
        match reply {
            Reply::Started(..) => {}
            Reply::Stopped(task, attempt, confirmed, sent) => {
                cell.on_stop_answer(id, (task, attempt), confirmed, (sent, now));
            }
            Reply::Held(sent, report) => cell.on_hold_answer(id, sent, report, now),
            Reply::Outranked => cell.on_hold_outranked(id, now),
            Reply::Advice(request, answer) => cell.on_advice_answer(&request, answer.as_ref(), now),
        }
    }
}
