//! Holds: the calls that renew the lease of a worker, confirm run ends and get the worker's list of
//! runs.

use super::{
    super::{
        Action, CellConfig, Fence, HoldReport, LinkRate, LogEvent, LogWriter, WorkerId,
        flow::HoldBudget,
        worker::{InstanceOrder, Logged, Worker},
    },
    Cell, roster,
};
use crate::{Span, Timestamp};

/// How long a worker with runs may wait for a run to end before it answers a hold. It takes two
/// answers to notice a run without progress.
const HOLD_WAIT: Span = Span(400);

/// The same for a worker that runs only long-running tasks.
const LONG_RUNNING_HOLD_WAIT: Span = Span(1_000);

/// A worker answers at least this many holds within the duration of a lease, however short that is.
const MIN_HOLDS_PER_LEASE: u64 = 4;

/// The shortest interval between two holds of one worker.
const HOLD_INTERVAL: Span = Span(60);

/// The same while the cell is handed over.
const HANDOVER_HOLD_INTERVAL: Span = Span(400);

/// The interval between holds of a worker without runs.
const IDLE_HOLD_INTERVAL: Span = Span(3_000);

/// The same while a copy of a start order to it is open, which may begin its run in a later instance
/// until that is called.
const OPEN_ORDER_HOLD_INTERVAL: Span = Span(250);

/// A worker whose list of ends brings nothing new takes at most one in this many parts of what holds have, if it is
/// asked each [`OPEN_ORDER_HOLD_INTERVAL`] at least: it answers at once while ends wait, however long a hold could wait.
const KNOWN_LIST_DIVISOR: u64 = 16;

/// The shortest delay before the next hold after one that was not answered.
const FAILED_HOLD_DELAY: Span = Span(250);

/// The longest one. A worker that is back after a long silence is asked within this time.
const MAX_FAILED_HOLD_DELAY: Span = Span(1_000);

/// The delay after an unanswered hold is one in this many of the worker's silence.
const SILENCE_DIVISOR: u64 = 8;

/// A worker that has answered none of several holds for longer than this shares what the link allows for such
/// workers. Until then it is asked at once, as it may have been cut off for a moment.
const LONG_SILENCE: Span = Span(2_500);

/// The number of unanswered holds in a row after which a worker gets no new tasks.
pub(super) const MAX_HOLD_FAILURES: u32 = 2;

/// The part of a lease, in percent, after which its renewal can't wait any more.
const RENEWAL_DUE_PERCENT: u64 = 50;

/// The same before an owner may renew leases.
const FIRST_HOLD_WAIT: Span = Span(100);

/// The lease that holds ask for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    duration: Span,
    /// Whether a segment of the owner's term and the record that it uses the worker are durable. Before that, the
    /// next owner couldn't know that this one has renewed a lease.
    is_granted: bool,
}

impl Lease {
    pub(super) fn of(cfg: &CellConfig, log: &LogWriter) -> Self {
        Self { duration: cfg.lease, is_granted: log.is_term_durable() }
    }

    /// The lease that a hold of this worker asks for.
    fn to(self, worker: &Worker) -> Self {
        Self { is_granted: self.is_granted && worker.is_on_record, ..self }
    }

    /// The longest time that a hold may wait at a worker, which answers several within a lease.
    fn max_wait(self) -> Span {
        let wait = Span(self.duration.0 / MIN_HOLDS_PER_LEASE);
        if self.is_granted { wait } else { wait.min(FIRST_HOLD_WAIT) }
    }
}

/// How urgent a hold that is due is; the most urgent comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum HoldUrgency {
    /// The lease of a worker with runs needs a renewal.
    Renews { due: Timestamp },
    /// The worker gets no orders before it answers.
    Adopts,
    /// The worker has long been silent. One that may have restarted comes first.
    Seeks { is_same_instance: bool, due: Timestamp },
    /// The hold only looks for ends or confirms them.
    CanWait { due: Timestamp },
}

impl HoldUrgency {
    fn of(worker: &Worker, lease: Span, now: Timestamp) -> Self {
        let renewed_at = worker.renewed_at.unwrap_or_default();
        let renewal_due = renewed_at + Span(lease.0 * RENEWAL_DUE_PERCENT / 100);
        if is_long_silent(worker, now) {
            let is_same_instance = !worker.may_have_restarted();
            Self::Seeks { is_same_instance, due: worker.next_hold }
        } else if !worker.is_adopted || worker.awaits_answer || worker.may_have_restarted() {
            Self::Adopts
        } else if now >= renewal_due && !worker.runs.is_empty() {
            Self::Renews { due: renewal_due }
        } else {
            Self::CanWait { due: worker.next_hold }
        }
    }
}

/// Whether several holds of a worker got no answer, and none did for long.
pub(super) fn is_long_silent(worker: &Worker, now: Timestamp) -> bool {
    worker.hold_failures >= MAX_HOLD_FAILURES && now > worker.last_heard + LONG_SILENCE
}

/// How long after an unanswered hold the next one is sent.
fn failed_hold_delay(worker: &Worker, now: Timestamp) -> Span {
    let delay = now.since(worker.last_heard).0 / SILENCE_DIVISOR;
    Span(delay.clamp(FAILED_HOLD_DELAY.0, MAX_FAILED_HOLD_DELAY.0))
}

/// How long after an answer that brings nothing new the next one may be asked for: the longer the list, and the
/// narrower the link, the later.
fn known_list_interval(worker: &Worker, hold_rate: LinkRate) -> Span {
    let entries = worker.runs.len() + usize::try_from(worker.listed_ends).unwrap_or_default();
    let bytes = HoldBudget::message_bytes(0, entries);
    let ms = bytes * 1_000 * KNOWN_LIST_DIVISOR / hold_rate.0.max(1);
    Span(ms.clamp(HOLD_INTERVAL.0, OPEN_ORDER_HOLD_INTERVAL.0))
}

/// How long after an answer of a worker the next hold is sent.
fn hold_interval(worker: &mut Worker, hold_rate: LinkRate, now: Timestamp) -> Span {
    let has_unconfirmed_ends = worker.ends_seen > worker.ends_durable;
    let is_awaited = has_unconfirmed_ends
        || worker.has_confirmable_end(now)
        || worker.is_settling()
        || worker.awaits_list_of_answered(now)
        || worker.is_watched(now);
    if worker.listed_ends > 0 && !worker.runs.is_empty() && !is_awaited {
        known_list_interval(worker, hold_rate)
    } else if !worker.runs.is_empty()
        || has_unconfirmed_ends
        || worker.has_confirmable_end(now)
        || worker.awaits_list_of_answered(now)
    {
        HOLD_INTERVAL
    } else if worker.has_open_orders(now) {
        OPEN_ORDER_HOLD_INTERVAL
    } else {
        IDLE_HOLD_INTERVAL
    }
}

/// Notes in the worker's state that a hold is sent, and returns it. `is_ordered` says whether a start order to the
/// worker has no outcome yet.
pub(super) fn hold(
    (id, worker): (&WorkerId, &mut Worker),
    is_ordered: bool,
    (lease, fence): (Lease, Fence),
    now: Timestamp,
) -> Action {
    let lease = lease.to(worker);
    let is_delayed = worker.holds_in_flight == 0 && now > worker.next_hold + HOLD_INTERVAL;
    let last_seen = worker.confirmable((is_delayed, is_ordered), now);
    worker.read_ends.name(last_seen);
    worker.holds_in_flight += 1;
    worker.next_hold = now + HOLD_INTERVAL;
    // An unanswered order may still be carried out. If the lease of a silent worker were renewed
    // with each hold, it would never be known to have expired.
    let may_renew = lease.is_granted && worker.hold_failures == 0;
    let lease_end = if may_renew { worker.lease_end(lease.duration, now) } else { None };
    worker.last_lease_end_sent = worker.last_lease_end_sent.max(lease_end.unwrap_or(0));
    worker.lease_sent = if lease_end.is_some() { now } else { worker.lease_sent };
    worker.renewing_since = lease_end.and(worker.renewing_since.or(Some(now)));
    let has_unconfirmed_ends = worker.ends_seen > worker.ends_durable;
    let answers_at_once = worker.runs.is_empty()
        || has_unconfirmed_ends
        || worker.is_settling()
        || worker.awaits_list_of_answered(now)
        || worker.is_watched(now)
        || worker.awaits_answer
        || worker.may_have_restarted()
        || !worker.is_adopted;
    let wait = if answers_at_once {
        Span(0)
    } else if worker.has_only_long_running() {
        LONG_RUNNING_HOLD_WAIT.min(lease.max_wait())
    } else {
        HOLD_WAIT.min(lease.max_wait())
    };
    // A hold that waits longer delays the list for which inherited jobs wait.
    let is_known = worker.has_outlasted_stops || !worker.is_adopted;
    let wait = if is_known { wait } else { wait.min(worker.stops_end.since(now)) };
    Action::Hold { worker: id.clone(), lease_end, last_seen, wait, fence }
}

impl Cell {
    /// Estimates the bytes on the wire of a call to a worker, or of its answer, with a payload of this size and this
    /// many entries in its lists.
    #[must_use]
    pub fn message_bytes(payload_bytes: usize, entries: usize) -> u64 {
        HoldBudget::message_bytes(payload_bytes, entries)
    }

    /// Sends the holds that are due. Renewals and adoptions never wait; all others share what the
    /// link allows, the one that has been due the longest first. Workers that have long been silent have
    /// a share of their own.
    pub(super) fn send_holds(&mut self, now: Timestamp) {
        let lease = Lease::of(&self.cfg, &self.log);
        self.hold_budget.refill(now);
        let mut due: Vec<(HoldUrgency, usize)> = self
            .workers
            .values()
            .enumerate()
            .filter(|(_, worker)| worker.is_hold_due(now))
            .map(|(index, worker)| (HoldUrgency::of(worker, lease.duration, now), index))
            .collect();
        due.sort_unstable();
        for (urgency, index) in due {
            if matches!(urgency, HoldUrgency::CanWait { .. }) && !self.hold_budget.has_room() {
                return;
            }
            let is_silent = matches!(urgency, HoldUrgency::Seeks { .. });
            if is_silent && !self.hold_budget.has_room_for_silent() {
                continue;
            }
            if let Some((id, worker)) = self.workers.get_index_mut(index) {
                let listed_ends = usize::try_from(worker.listed_ends).unwrap_or(usize::MAX);
                if is_silent {
                    self.hold_budget.take_for_silent();
                } else {
                    self.hold_budget.take(worker.runs.len().saturating_add(listed_ends));
                }
                // An instance refuses a start order to an earlier one only from its stop on, or from a hold on that
                // outranks the order. Workers that have long been silent get only that: their stops would take
                // many times the link of their holds.
                let stop = |(task, attempt)| Action::Stop(id.clone(), task, attempt);
                if !worker.is_adopted && !is_silent {
                    self.actions.extend(worker.take_stops().map(stop));
                }
                if (!worker.is_adopted || worker.hold_failures > 0) && !is_silent {
                    self.actions.extend(worker.abandoned_orders(now).map(stop));
                }
                let fence = self.fences.of_hold(id);
                let is_ordered = self.start_window.has_pending_at(id);
                self.actions.push(hold((id, worker), is_ordered, (lease, fence), now));
            }
        }
    }

    /// Handles the answer to a hold that was sent at `sent`; `None` if there was no answer.
    pub fn on_hold_answer(
        &mut self,
        id: &WorkerId,
        sent: Timestamp,
        report: Option<HoldReport>,
        now: Timestamp,
    ) {
        self.fences.on_hold_over(id);
        if report.is_none() {
            self.fences.outrank(id);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.holds_in_flight = worker.holds_in_flight.saturating_sub(1);
        let Some(report) = report else {
            if sent < worker.known_since {
                // The hold may have been lost with an earlier instance.
                return;
            }
            worker.hold_failures += 1;
            worker.record_unanswered_hold(sent);
            worker.next_hold = now + failed_hold_delay(worker, now);
            if worker.hold_failures == MAX_HOLD_FAILURES {
                let runs = worker.runs.len();
                self.actions.push(Action::Log(LogEvent::Worker {
                    worker: id.clone(),
                    change: "silent",
                    runs,
                }));
            }
            return;
        };
        if self.handover.as_ref().is_some_and(|handover| handover.only_renews(sent)) {
            worker.next_hold = now + HANDOVER_HOLD_INTERVAL;
            return;
        }
        let named = (report.started_wall_ms, Some(report.clock_ms));
        let order = match worker.place_answer(named.0, report.clock_ms, (sent, now)) {
            InstanceOrder::Same => worker.place_list(&report, sent),
            other => other,
        };
        let event = worker.other_instance("answer", named, order, now);
        self.actions.extend(event.map(LogEvent::OtherInstance).map(Action::Log));
        match order {
            InstanceOrder::Earlier => {
                // The answer or the entry of a later instance overtook this answer.
                worker.next_hold = now + HOLD_INTERVAL;
                return;
            }
            InstanceOrder::Open => {
                if worker.is_newest_instance(report.started_wall_ms) {
                    // Until an answer tells, no end is confirmed: its number may be of another instance.
                    worker.instance_doubt = Some(now);
                }
                worker.next_hold = now;
                return;
            }
            InstanceOrder::Same => {}
            InstanceOrder::Later => self.on_worker_restart(id, report.started_wall_ms, None, now),
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.on_newest_instance_answered(report.started_wall_ms, (sent, now));
        }
        self.on_hold_report(id, sent, &report, now);
    }

    /// Notes that a hold that may renew the lease leaves now. It was decided on earlier, perhaps much earlier on a
    /// busy node.
    pub fn on_renewal_left(&mut self, id: &WorkerId, now: Timestamp) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.renewal_left = worker.renewal_left.max(now);
        }
    }

    /// Handles a hold that wasn't sent, because a later call of this owner has outranked it.
    pub fn on_hold_not_sent(&mut self, id: &WorkerId, now: Timestamp) {
        self.fences.on_hold_over(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.holds_in_flight = worker.holds_in_flight.saturating_sub(1);
            worker.next_hold = worker.next_hold.min(now);
        }
    }

    /// Handles the refusal of a hold that a later call of this owner has outranked. No start order follows
    /// that could outrank the next hold, until one is answered: a refusal of that one is by a later owner.
    pub fn on_hold_outranked(&mut self, id: &WorkerId, now: Timestamp) {
        self.on_hold_not_sent(id, now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.awaits_answer = true;
        }
    }

    fn on_hold_report(
        &mut self,
        id: &WorkerId,
        sent: Timestamp,
        report: &HoldReport,
        now: Timestamp,
    ) {
        let stop_limit = Self::stop_limit(&self.cfg);
        let longest_lease = self.longest_lease();
        let hold_rate = self.cfg.flow.hold_rate;
        let is_inherited = self.inherited_workers.contains_key(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let name = report.started_wall_ms;
        let has_new_lease = worker.stray_lease.on_answer(name, (sent, now), longest_lease);
        worker.instance_doubt.take_if(|since| sent > *since);
        let was_silent = worker.hold_failures >= MAX_HOLD_FAILURES;
        if is_long_silent(worker, now) {
            self.hold_budget.take(report.running.len() + report.ends.len());
        }
        let was_adopted = worker.is_adopted;
        let had_failed_holds = worker.hold_failures > 0;
        let is_newest = report.clock_ms >= worker.listed_clock_ms;
        if is_newest {
            worker.listed_clock_ms = report.clock_ms;
            worker.record_clock(report.clock_ms, sent, now);
        }
        worker.hold_failures = 0;
        worker.awaits_answer = false;
        worker.last_heard = now;
        worker.record_renewal(sent);
        if !worker.is_adopted {
            worker.is_adopted = true;
            worker.has_listed_all = false;
            worker.has_outlasted_stops = false;
            worker.adopted_at = now;
            worker.stops_end = now + stop_limit;
        }
        let lists_all_first = report.is_complete && !worker.has_listed_all;
        worker.has_listed_all |= report.is_complete;
        worker.has_outlasted_stops |= report.is_complete && sent > worker.stops_end;
        if !was_adopted {
            self.forget_losses(id);
        }
        if is_newest && report.is_complete {
            self.settle_answered_orders(id, report, (sent, now));
        }
        self.on_run_ends(id, &report.ends, now);
        // A list that a newer one has overtaken does not show the current runs.
        if is_newest {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.listed_ends = u64::try_from(report.ends.len()).unwrap_or(u64::MAX);
                worker.read_ends.read(report, (sent, now));
            }
            for listed_run in &report.running {
                self.on_listed_run(id, listed_run, (sent, now));
            }
            // What a list that is cut off lacks may have ended as done.
            if report.is_complete {
                self.end_unlisted_runs(id, sent, report, now);
            }
            self.check_progress(id, now);
        }
        if lists_all_first {
            self.await_earlier_stops(id, now);
            self.suspect_unlisted_tasks(id, now);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.next_hold = now + hold_interval(worker, hold_rate, now);
        if !was_adopted || had_failed_holds {
            // The lease can be renewed only now that the worker answers.
            worker.next_hold = now;
        }
        if is_inherited && !worker.has_outlasted_stops {
            worker.next_hold = worker.next_hold.min(now.max(worker.stops_end) + Span(1));
        }
        let is_logged = worker.times_logged > 0;
        // The store may be away, so a start doesn't wait for the record. A worker that is drained gets no
        // orders before it is logged as used.
        let must_record = is_logged && has_new_lease && worker.logged != Logged::Gone;
        let record = must_record.then(|| roster::used_record(worker, now));
        if !was_adopted || was_silent {
            let (worker, runs) = (id.clone(), worker.runs.len());
            let change = if was_adopted { "answers again" } else { "adopted" };
            self.actions.push(Action::Log(LogEvent::Worker { worker, change, runs }));
            self.plan_due = true;
        }
        if let Some(record) = record {
            self.record(record, now, None);
        }
        // The store also lists workers whose VM was moved, which never answer.
        if !is_logged {
            self.log_worker_used(id, now);
        }
    }
}
