//! A run of a task on a worker, as the owner of the cell knows it, and the order to stop it.

use super::{ClockReading, UNANSWERED_START_LIFETIME};
use crate::{
    Span, Timestamp,
    job::{Resources, Step},
};

/// What the owner knows about a run that it ordered or found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::job) enum RunState {
    /// No order has been sent: the task's placement is not durable yet.
    Planned,
    /// The start order is in flight.
    Ordered,
    /// The start order got no answer: the run may exist, or may still start at any time.
    Unsettled,
    /// The worker has confirmed or listed the run.
    Running,
}

/// A run of a task on a worker. It is removed only once it certainly is not alive any more.
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent of each other")]
#[derive(Clone, Debug)]
pub(in crate::job) struct Run {
    pub(in crate::job) attempt: u32,
    pub(in crate::job) booked: Resources,
    pub(in crate::job) is_best_effort: bool,
    pub(in crate::job) is_latency_sensitive: bool,
    /// Whether its task runs until the job is cancelled.
    pub(in crate::job) is_long_running: bool,
    pub(in crate::job) state: RunState,
    /// Whether a list of the worker's runs has shown the run.
    pub(in crate::job) is_listed: bool,
    /// Whether this owner has sent its start order, and no second copy of it since.
    pub(in crate::job) has_single_copy: bool,
    /// Whether workers were lost under its task before it was ordered.
    pub(in crate::job) is_suspected: bool,
    /// A time at which the run had certainly begun: when its order was answered or a list that shows
    /// it arrived, whichever came first; `None` if it may not have begun.
    pub(in crate::job) begun_by: Option<Timestamp>,
    /// How long the run is known to have been alive, from `begun_by` until the latest list that shows
    /// it was asked for.
    pub(in crate::job) alive: Span,
    /// Whether a list has shown the run in the newest known instance of the worker, so that it ends with
    /// that instance. The order's answer doesn't name the instance, and any may show the clock that it has.
    pub(in crate::job) ends_with_instance: bool,
    /// The worker's clock in the answer to the order, if the newest known instance may show that one.
    /// Whichever instance it is of, it tells when the lease of the run ends.
    pub(in crate::job) clock: Option<ClockReading>,
    /// Whether the worker has restarted since the order was sent, so that the run may have got its
    /// lease from an order to an earlier instance.
    pub(in crate::job) outlived_restart: bool,
    /// Whether the leases of the newest known instance have lapsed, and the task waits until the run has
    /// certainly ended in others and none of them can begin the task any more.
    pub(in crate::job) awaits_release: bool,
    /// Time after which no copy of the start order takes effect any more. A restart does not change
    /// it.
    pub(in crate::job) order_expiry: Timestamp,
    pub(in crate::job) started: Timestamp,
    /// A list of runs that the owner requests after this time contains the run if the worker has
    /// it.
    pub(in crate::job) expect_in_lists_after: Timestamp,
    /// When the latest hold was sent that may have renewed the lease of the run although it was meant
    /// for an earlier instance.
    pub(in crate::job) stray_renewal: Timestamp,
    /// When the first list was asked for that lacked the run after its order had expired.
    pub(in crate::job) unlisted_since: Option<Timestamp>,
    /// The order to stop the run, retried until the worker confirms it; `None` if the run is not
    /// being stopped.
    pub(in crate::job) stopping: Option<StopOrder>,
    /// Whether an order to stop the run was revoked, which may still be executed.
    pub(in crate::job) had_stop_order: bool,
    /// Progress in percent or, for a long-running task, the share of its full speed at which it
    /// works.
    pub(in crate::job) progress_percent: u64,
    /// When its progress was last measured.
    pub(in crate::job) measured_at: Timestamp,
    /// Its progress at that time.
    pub(in crate::job) measured_percent: u64,
    /// Whether no total duration is to be recorded any more: it was recorded already, or the run
    /// can't show it.
    pub(in crate::job) skips_duration: bool,
    /// The share of its speed that is in force, in percent; `None` if a call without an answer or an
    /// earlier owner may have set another one. Used for best-effort tasks only.
    pub(in crate::job) confirmed_pace: Option<u64>,
    /// Earliest time at which its share may be sent again.
    pub(in crate::job) next_pace_at: Timestamp,
    /// Whether a call that sets its share has no outcome yet. The worker may carry out two calls in another
    /// order than that of their answers.
    pub(in crate::job) is_pace_under_way: bool,
}

/// The state of an order to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::job) struct StopOrder {
    /// When the order is to be sent next; `None` while it is in flight.
    pub(in crate::job) next: Option<Timestamp>,
    /// When the worker confirmed the order.
    pub(in crate::job) confirmed: Option<Timestamp>,
    /// Whether the run is stopped only because its start order got no answer. It may go on if it
    /// turns out to have started.
    pub(in crate::job) is_revocable: bool,
    /// Whether the run is stopped only to empty its worker, which may have to wait.
    pub(in crate::job) empties_worker: bool,
    /// Whether a copy of the order was sent.
    pub(in crate::job) is_sent: bool,
}

impl StopOrder {
    /// An order that is due now.
    pub(in crate::job) fn new(now: Timestamp) -> Self {
        Self {
            next: Some(now),
            confirmed: None,
            is_revocable: false,
            empties_worker: false,
            is_sent: false,
        }
    }
}

impl Run {
    /// Creates the state of a run of one of the step's tasks.
    pub(in crate::job) fn new(attempt: u32, step: &Step, state: RunState, now: Timestamp) -> Self {
        Self {
            booked: step.booked(),
            is_best_effort: step.is_best_effort,
            is_latency_sensitive: step.tail_target.is_some(),
            is_long_running: step.long_running,
            ..Self::unknown(attempt, state, now)
        }
    }

    /// Creates the state of a run about which only its attempt is known.
    pub(in crate::job) fn unknown(attempt: u32, state: RunState, now: Timestamp) -> Self {
        Self {
            attempt,
            booked: Resources::default(),
            is_best_effort: false,
            is_latency_sensitive: false,
            is_long_running: false,
            state,
            is_listed: false,
            has_single_copy: false,
            is_suspected: false,
            begun_by: None,
            alive: Span(0),
            ends_with_instance: false,
            clock: None,
            outlived_restart: false,
            awaits_release: false,
            order_expiry: now,
            started: now,
            expect_in_lists_after: now,
            stray_renewal: Timestamp(0),
            unlisted_since: None,
            stopping: None,
            had_stop_order: false,
            progress_percent: 0,
            measured_at: now,
            measured_percent: 0,
            skips_duration: false,
            confirmed_pace: Some(100),
            next_pace_at: now,
            is_pace_under_way: false,
        }
    }
}

impl Run {
    /// Records that the start order is sent.
    pub(in crate::job) fn order(&mut self, now: Timestamp) {
        self.state = RunState::Ordered;
        self.has_single_copy = true;
        self.order_expiry = now + UNANSWERED_START_LIFETIME;
        self.started = now;
        self.expect_in_lists_after = now;
        self.measured_at = now;
    }

    /// Whether it is the run of a long-running task, at work at full speed when last listed.
    pub(in crate::job) fn is_at_work(&self) -> bool {
        self.is_long_running && self.is_listed && self.progress_percent >= 100
    }

    /// Records that the run has begun.
    pub(in crate::job) fn on_begun(&mut self, now: Timestamp) {
        self.begun_by.get_or_insert(now);
    }

    /// Records that a list has shown the run, asked for at `sent`.
    pub(in crate::job) fn on_listed(
        &mut self,
        progress_percent: u64,
        (sent, now): (Timestamp, Timestamp),
    ) {
        self.on_begun(now);
        let alive = self.begun_by.map_or(Span(0), |begun_by| sent.since(begun_by));
        self.alive = self.alive.max(alive);
        self.state = RunState::Running;
        self.is_listed = true;
        self.ends_with_instance = true;
        self.awaits_release = false;
        self.order_expiry = self.order_expiry.min(now);
        self.unlisted_since = None;
        self.progress_percent = progress_percent;
    }

    /// Records that the worker has restarted and that its new instance may have the run. It does not
    /// know of any order to stop it, and may get the hold that was sent at `renewal`.
    pub(in crate::job) fn outlive_restart(&mut self, renewal: Timestamp, now: Timestamp) {
        self.outlived_restart = true;
        self.clock = None;
        self.stray_renewal = self.stray_renewal.max(renewal);
        self.is_listed = false;
        // The new instance would begin it anew.
        (self.begun_by, self.alive) = (None, Span(0));
        self.unlisted_since = None;
        if let Some(stop) = &mut self.stopping {
            (stop.next, stop.confirmed) = (Some(now), None);
        }
    }

    /// Records that a copy of the start order may begin the run until `order_expiry`.
    pub(in crate::job) fn may_start_until(&mut self, order_expiry: Timestamp) {
        self.state = RunState::Unsettled;
        self.order_expiry = order_expiry;
        self.stopping = None;
    }

    /// Notes that a list lacks the run, asked for at `asked`.
    pub(in crate::job) fn on_unlisted(&mut self, asked: Timestamp) {
        if self.state == RunState::Unsettled && asked > self.order_expiry {
            self.unlisted_since.get_or_insert(asked);
        }
    }

    /// Whether the run is certainly not on this instance and never will be: its order had expired
    /// when a list lacked it. If it was being stopped then, it has ended since.
    pub(in crate::job) fn has_expired(&self, stop_limit: Span, now: Timestamp) -> bool {
        let is_unsettled = self.state == RunState::Unsettled;
        is_unsettled && self.unlisted_since.is_some_and(|asked| now > asked + stop_limit)
    }

    /// Whether the run may be in another instance of the worker than the newest known one, whose clock
    /// says nothing about its lease.
    pub(super) fn may_be_in_other_instance(&self) -> bool {
        let is_answered = self.state == RunState::Running;
        self.outlived_restart || (is_answered && !self.ends_with_instance)
    }

    /// Whether a copy of the start order may still be carried out.
    pub(super) fn is_unanswered(&self) -> bool {
        matches!(self.state, RunState::Ordered | RunState::Unsettled)
    }

    /// Whether the run was begun by the only copy of its start order, as a list shows it in the instance that was
    /// known when the order was sent. A copy is carried out once at most, so that none may come late.
    pub(in crate::job) fn has_used_only_copy(&self) -> bool {
        let is_shown = self.state == RunState::Running && self.ends_with_instance;
        is_shown && self.has_single_copy && !self.outlived_restart
    }

    /// Whether no copy of the start order can begin the run in the instance that has confirmed its
    /// stop, and no list has ever shown it.
    pub(super) fn is_closed(&self) -> bool {
        let is_confirmed = self.stopping.is_some_and(|stop| stop.confirmed.is_some());
        self.state == RunState::Unsettled && is_confirmed
    }

    /// Whether the worker has the run and it is not being stopped.
    pub(in crate::job) fn is_settled(&self) -> bool {
        self.state == RunState::Running && self.stopping.is_none()
    }
}
