//! Start and stop orders to workers, and the answers to them. No other module gives such orders.
//!
//! A start order, or a copy of one, leaves only while its run is booked and not being stopped, its task
//! is open, and no other run of the task is booked that is not known to have ended. A run that a list
//! shows goes before one that is only planned.

use super::{
    super::{
        Action, LogEvent, PlacedTask, RunId, StartAnswer, StartOrder, StartOutcome, TaskId,
        WorkerId,
        worker::{ClockReading, RunState, StopOrder, UNANSWERED_START_LIFETIME, Worker},
    },
    Cell,
    restarts::MAY_START_AGAIN,
    vacate::{WORKER_DRAINED, WORKER_LEAVING},
};
use crate::{Span, Timestamp};

/// The delay before a stop order that was not confirmed is sent again.
const STOP_RETRY_DELAY: Span = Span(250);

/// The delay before a task may start again after a worker did not carry out its start order.
const FAILED_START_DELAY: Span = Span(30);

/// Why a run is stopped whose start order got no answer.
pub(super) const START_UNANSWERED: &str = "start order unanswered";

/// How long a worker that refused a start order gets no new tasks.
const REFUSAL_EXCLUSION: Span = Span(300);

impl Cell {
    /// Why a start order for a run, or a copy of one, must not leave now; `None` if it may.
    fn start_objection(&self, id: &WorkerId, task: TaskId, attempt: u32) -> Option<&'static str> {
        let worker = self.workers.get(id);
        let run = worker.and_then(|worker| worker.runs.get(&task));
        let Some(run) = run.filter(|run| run.attempt == attempt) else {
            return Some("run is not booked");
        };
        let job = self.jobs.get(&task.job).filter(|job| job.end.is_none());
        let Some(state) = job.and_then(|job| job.task(task)).filter(|task| !task.is_done) else {
            return Some("task is over");
        };
        if run.stopping.is_some() {
            Some("run is being stopped")
        } else if state.run_workers.iter().any(|other| other != id) {
            Some("another run may be alive")
        } else {
            None
        }
    }

    /// Whether a start order that was given, or a copy of it, may be sent at this moment. A list may
    /// have shown the run since, or it may have been given up.
    #[must_use]
    pub fn may_send_start(&self, id: &WorkerId, (task, attempt): (TaskId, u32)) -> bool {
        let worker = self.workers.get(id).filter(|worker| !worker.awaits_answer);
        let run = worker.and_then(|worker| worker.runs.get(&task));
        run.is_some_and(|run| run.state == RunState::Ordered)
            && self.start_objection(id, task, attempt).is_none()
    }

    /// Sends a worker the order to start a task, for which a run is booked there. Returns `None` if
    /// no order was sent.
    pub(super) fn start_task(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        now: Timestamp,
    ) -> Option<PlacedTask> {
        let attempt = self.workers.get(id)?.runs.get(&task)?.attempt;
        let is_in_scope = self.start_scope(task, now).allows(id);
        let objection = self
            .start_objection(id, task, attempt)
            .or((!is_in_scope).then_some("an order of before may still be carried out"));
        if let Some(reason) = objection {
            let run = RunId { task, attempt, worker: id.clone() };
            self.actions.push(Action::Log(LogEvent::StartFailed { run, reason }));
            self.withdraw_run(id, task);
            return None;
        }
        let lease = self.cfg.lease;
        let worker = self.workers.get_mut(id)?;
        let Some(lease_end) = worker.lease_end(lease, now) else {
            self.withdraw_run(id, task);
            return None;
        };
        // A worker without runs is rarely sent holds; its first run brings the next one forward, and so
        // does one that is watched.
        if !worker.has_ordered_runs() || worker.runs.get(&task)?.is_suspected {
            worker.next_hold = worker.next_hold.min(now + Span(30));
        }
        let free = worker.free();
        let run = worker.runs.get_mut(&task)?;
        let job = self.jobs.get_mut(&task.job)?;
        let spec = std::sync::Arc::clone(&job.spec);
        let state = job.task_mut(task);
        let checkpoint = state.as_ref().and_then(|state| state.checkpoint.clone());
        if let Some(state) = state {
            state.begin_start((id, worker.known_since), attempt, now);
        }
        let ticket = job.step_mut(task.step_id()).and_then(|step| step.advice.ticket(id, now));
        let free_cpu_milli = (free + run.booked).cpu_milli;
        run.order(now);
        // The duration of a run that resumes from a checkpoint says nothing about a full run.
        run.skips_duration = checkpoint.is_some();
        worker.last_lease_end_sent = worker.last_lease_end_sent.max(lease_end);
        self.start_window.begin(id, (task, attempt), spec.payload.len(), now);
        let order = StartOrder { task, attempt, spec, lease_end, checkpoint, ticket };
        self.actions.push(Action::Start(id.clone(), order));
        Some(PlacedTask { index: task.index, attempt, worker: id.clone(), free_cpu_milli })
    }

    /// Handles the answer to a start order.
    pub fn on_start_answer(
        &mut self,
        id: &WorkerId,
        (task, attempt): (TaskId, u32),
        answer: impl Into<StartAnswer>,
        now: Timestamp,
    ) {
        let StartAnswer { outcome, clock_ms, last_sent } = answer.into();
        self.start_window.end((task, attempt), outcome != StartOutcome::Unknown, now);
        self.plan_due |= self.held_back_starts > 0;
        let is_only_copy_used =
            outcome == StartOutcome::Unknown && self.has_used_only_copy(id, (task, attempt));
        let has_unanswered_copy =
            matches!(outcome, StartOutcome::StartedRepeated | StartOutcome::Unknown)
                && !is_only_copy_used;
        if has_unanswered_copy {
            self.fences.outrank(id);
        }
        let open_until = last_sent.unwrap_or(now) + UNANSWERED_START_LIFETIME;
        let order_expiry = if has_unanswered_copy { open_until } else { now };
        if let Some(task) = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task)) {
            let open_until = has_unanswered_copy.then_some(open_until);
            let is_answered = outcome != StartOutcome::Unknown || is_only_copy_used;
            task.settle_start(attempt, open_until, is_answered);
        }
        if has_unanswered_copy {
            let is_answered = outcome == StartOutcome::StartedRepeated;
            self.note_open_start(id, (task, attempt), (open_until, is_answered), now);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !has_unanswered_copy {
            worker.release_ends(task, now);
        }
        if outcome == StartOutcome::Outranked {
            worker.awaits_answer = true;
            worker.next_hold = worker.next_hold.min(now);
        }
        let asked = worker.runs.get(&task).map_or(Timestamp(0), |run| run.started);
        let may_show = |ms| worker.may_show(ms, (asked, now));
        let is_of_other_instance = clock_ms.is_some_and(|ms| !may_show(ms));
        if is_of_other_instance {
            worker.instance_doubt = Some(now);
            worker.next_hold = worker.next_hold.min(now);
        }
        let run = worker.runs.get_mut(&task).filter(|run| run.attempt == attempt);
        let Some(run) = run else {
            return;
        };
        if matches!(outcome, StartOutcome::Started | StartOutcome::StartedRepeated) {
            run.on_begun(now);
            run.expect_in_lists_after = now;
            run.order_expiry = order_expiry;
            let reading = clock_ms.filter(|_| !is_of_other_instance && !has_unanswered_copy);
            run.clock = reading.map(|worker_ms| ClockReading { worker_ms, asked, at: now });
            if run.state != RunState::Running {
                run.state = RunState::Running;
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.has_started = true;
            }
            return;
        }
        if run.state == RunState::Running {
            // A hold has already listed this run as running, so the order arrived, whatever this
            // outcome says.
            return;
        }
        let reason = match outcome {
            StartOutcome::Refused(reason) | StartOutcome::NotSent(reason) => reason,
            StartOutcome::Outdated => "worker knows a later attempt",
            StartOutcome::NotAdvised => "no valid ticket",
            StartOutcome::Outranked => "outranked by a later call",
            StartOutcome::Started | StartOutcome::StartedRepeated | StartOutcome::Unknown => {
                "no answer"
            }
        };
        let run_id = RunId { task, attempt, worker: id.clone() };
        self.actions.push(Action::Log(LogEvent::StartFailed { run: run_id, reason }));
        if outcome == StartOutcome::Unknown {
            run.state = RunState::Unsettled;
            run.expect_in_lists_after = now;
            run.order_expiry = order_expiry;
            worker.next_hold = worker.next_hold.min(now);
            // A long-running task that runs after all is worth the delay until the worker's list
            // shows it. If the list doesn't, the order is stopped then.
            if !run.is_long_running {
                self.stop_run(id, task, START_UNANSWERED, now);
            }
            self.record_failure_in_place(id, task);
            return;
        }
        worker.runs.shift_remove(&task);
        if let StartOutcome::Refused(_) = outcome {
            worker.excluded_until = worker.excluded_until.max(now + REFUSAL_EXCLUSION);
            worker.next_hold = worker.next_hold.min(now);
        }
        let job = self.jobs.get_mut(&task.job);
        if let Some(job) = job {
            if let (StartOutcome::NotAdvised, Some(step)) = (outcome, job.step_mut(task.step_id()))
            {
                step.advice.forget(id);
            }
            if let Some(task) = job.task_mut(task) {
                task.run_workers.retain(|worker| worker != id);
                task.not_before = now + FAILED_START_DELAY;
            }
        }
        self.plan_due = true;
    }

    /// Whether a list shows that the only copy of a start order has been carried out.
    fn has_used_only_copy(&self, id: &WorkerId, (task, attempt): (TaskId, u32)) -> bool {
        let run = self.workers.get(id).and_then(|worker| worker.runs.get(&task));
        run.is_some_and(|run| run.attempt == attempt && run.has_used_only_copy())
    }

    /// Stops every run of a task.
    pub(super) fn stop_task(&mut self, task: TaskId, reason: &'static str, now: Timestamp) {
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let workers = state.map(|task| task.run_workers.clone()).unwrap_or_default();
        for id in workers {
            self.stop_run(&id, task, reason, now);
        }
    }

    /// Marks a run to be stopped unless it already is; the stop order is sent again until the
    /// worker confirms it.
    pub(super) fn stop_run(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        reason: &'static str,
        now: Timestamp,
    ) {
        let step = self.step_availability(task, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(&task) else {
            return;
        };
        let is_revocable =
            reason == START_UNANSWERED || (reason == MAY_START_AGAIN && run.is_long_running);
        let empties_worker = matches!(reason, WORKER_DRAINED | WORKER_LEAVING);
        if let Some(stop) = &mut run.stopping {
            stop.is_revocable &= is_revocable;
            stop.empties_worker &= empties_worker;
            return;
        }
        if run.state == RunState::Planned {
            self.withdraw_run(id, task);
            return;
        }
        run.stopping = Some(StopOrder { is_revocable, empties_worker, ..StopOrder::new(now) });
        let run_id = RunId { task, attempt: run.attempt, worker: id.clone() };
        self.actions.push(Action::Log(LogEvent::Stopping { run: run_id, reason, step }));
    }

    /// Lets a run go on that is listed although its start order got no answer, unless a stop was
    /// confirmed or there is another reason for one.
    pub(super) fn revoke_stop(&mut self, id: &WorkerId, task: TaskId) {
        let run = self.workers.get_mut(id).and_then(|worker| worker.runs.get_mut(&task));
        let Some(run) = run else {
            return;
        };
        let is_revocable = |stop: &mut StopOrder| stop.is_revocable && stop.confirmed.is_none();
        if run.stopping.take_if(is_revocable).is_some() {
            run.had_stop_order = true;
            let run_id = RunId { task, attempt: run.attempt, worker: id.clone() };
            let reason = "started after all";
            self.actions.push(Action::Log(LogEvent::StopRevoked { run: run_id, reason }));
        }
    }

    /// Sends the stop orders that are due. Each copy of one that empties a worker asks anew whether it
    /// may end the task.
    pub(super) fn send_stops(&mut self, now: Timestamp) {
        for (id, task, empties_worker) in self.due_stops(now) {
            if empties_worker && !self.may_stop_on(&id, task, now) {
                self.hold_back_stop(&id, task, now);
                continue;
            }
            let run = self.workers.get_mut(&id).and_then(|worker| worker.runs.get_mut(&task));
            if let Some((attempt, stop)) =
                run.and_then(|run| Some((run.attempt, run.stopping.as_mut()?)))
            {
                (stop.next, stop.is_sent) = (None, true);
                self.actions.push(Action::Stop(id, task, attempt));
            }
        }
    }

    /// The runs whose stop orders are due, each with whether it is stopped only to empty its worker. Workers that have
    /// long been silent get theirs once they are heard: their leases aren't renewed.
    fn due_stops(&self, now: Timestamp) -> Vec<(WorkerId, TaskId, bool)> {
        let mut due = Vec::new();
        let is_asked =
            |worker: &Worker| worker.is_adopted && !super::holds::is_long_silent(worker, now);
        for (id, worker) in self.workers.iter().filter(|(_, worker)| is_asked(worker)) {
            let stops = worker.runs.iter().filter_map(|(task, run)| Some((task, run.stopping?)));
            let stops = stops.filter(|(_, stop)| {
                stop.confirmed.is_none() && stop.next.is_some_and(|next| now >= next)
            });
            due.extend(stops.map(|(task, stop)| (id.clone(), *task, stop.empties_worker)));
        }
        due
    }

    /// Delays a stop order, or revokes it if no copy of it was sent: the task is drained later.
    fn hold_back_stop(&mut self, id: &WorkerId, task: TaskId, now: Timestamp) {
        let run = self.workers.get_mut(id).and_then(|worker| worker.runs.get_mut(&task));
        let Some(run) = run else {
            return;
        };
        if run.stopping.take_if(|stop| !stop.is_sent).is_some() {
            let run_id = RunId { task, attempt: run.attempt, worker: id.clone() };
            let reason = "must not end now";
            self.actions.push(Action::Log(LogEvent::StopRevoked { run: run_id, reason }));
        } else if let Some(stop) = &mut run.stopping {
            stop.next = Some(now + STOP_RETRY_DELAY);
        }
    }

    /// Handles the outcome of a stop order that was sent at `sent`. If the worker did not confirm it,
    /// the order is sent again after a delay.
    pub fn on_stop_answer(
        &mut self,
        id: &WorkerId,
        (task, attempt): (TaskId, u32),
        is_confirmed: bool,
        (sent, now): (Timestamp, Timestamp),
    ) {
        if !is_confirmed {
            self.fences.outrank(id);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // An earlier instance may have confirmed an order that was sent before the restart was known.
        let is_confirmed = is_confirmed && sent >= worker.known_since;
        let run = worker.runs.get_mut(&task).filter(|run| run.attempt == attempt);
        let Some(stop) = run.and_then(|run| run.stopping.as_mut()) else {
            return;
        };
        if is_confirmed {
            stop.confirmed = Some(now);
            worker.next_hold = worker.next_hold.min(now + Span(1));
        } else {
            stop.next = Some(now + STOP_RETRY_DELAY);
        }
    }
}
