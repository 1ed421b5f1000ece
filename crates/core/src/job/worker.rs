//! The state of a worker and its runs, as kept by the owner of the cell.

mod confirmation;
mod instance;
mod listed_ends;
mod open_orders;
mod run;
mod stray_lease;
#[cfg(test)]
mod tests;

use std::{net::SocketAddr, sync::Arc};

use indexmap::IndexMap;

pub(super) use self::{
    confirmation::HeldEnd,
    instance::InstanceOrder,
    listed_ends::ListedEnds,
    open_orders::OpenOrder,
    run::{Run, RunState, StopOrder},
    stray_lease::StrayLease,
};
use self::{instance::Instances, stray_lease::LATE_CALL_LIFETIME};
use super::{
    OtherInstance, Resources, StepId, TaskId, WorkerId,
    cell::WorkerSpeed,
    life::{self, CLOCK_DRIFT_PERCENT},
};
use crate::{ServiceId, Span, Timestamp, ZoneId};

/// How long a worker's entry may be missing from the store before the worker gets no new tasks.
const MISSING_GRACE: Span = Span(2_000);

/// A worker that has not answered for longer than this counts as silent.
const SILENCE_TIMEOUT: Span = Span(2_500);

/// The age of a lease, in percent of its duration, from which on it counts as about to expire.
const MAX_LEASE_AGE_PERCENT: u64 = 66;

/// Added to the computed expiry of a lease, to allow for the resolution of clocks.
const EXPIRY_MARGIN: Span = Span(50);

/// The least difference between two readings of clocks that says anything.
const CLOCK_MARGIN: Span = Span(50);

/// Number of failed runs in a row, with none done in between, after which a worker is excluded from
/// placement for a while.
const MAX_FAILURES_IN_A_ROW: u32 = 3;

/// Maximum number of tasks whose last ended attempt is remembered for one worker.
const MAX_ENDED_ATTEMPTS: usize = 512;

/// Longest time after which a copy of a start order that got no answer may still take effect, counted
/// from when it was sent.
pub(super) const UNANSWERED_START_LIFETIME: Span = Span(15_000);

/// Duration of a worker's first exclusion from placement; each further exclusion takes twice as
/// long.
const INITIAL_EXCLUSION: Span = Span(1_500);

/// Maximum number of times that the duration of an exclusion is doubled.
const MAX_EXCLUSION_DOUBLINGS: u32 = 3;

/// The entry that a worker keeps about itself in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// The id of the worker instance.
    pub id: WorkerId,
    /// When the worker instance started, in milliseconds since the Unix epoch; zero if not stated.
    pub started_wall_ms: u64,
    /// The service whose tasks it runs.
    pub service: ServiceId,
    /// The address to which orders are sent.
    pub address: SocketAddr,
    /// The availability zone of its VM.
    pub zone: ZoneId,
    /// Its resources.
    pub capacity: Resources,
    /// Its labels, such as its kind; the last one is the name of its rack.
    pub labels: Arc<[String]>,
    /// Whether it is about to leave and accepts no new work.
    pub is_draining: bool,
    /// Minimum time until it leaves, if it is draining.
    pub leaves_in: Option<Span>,
}

impl WorkerEntry {
    /// Returns the name of the worker's rack, which is the last label.
    #[must_use]
    pub fn rack(&self) -> Option<&str> {
        self.labels.last().map(String::as_str)
    }
}

/// A reading of a worker's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClockReading {
    pub(super) worker_ms: u64,
    /// When the owner asked for the reading, on this node's clock.
    pub(super) asked: Timestamp,
    /// When the reading arrived, on this node's clock.
    pub(super) at: Timestamp,
}

/// The state of a worker.
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent of each other")]
#[derive(Clone, Debug)]
pub(super) struct Worker {
    /// The latest entry that counts. It may still be that of an earlier instance.
    pub(super) entry: WorkerEntry,
    /// When the newest instance that the owner knows of started by its own account, in milliseconds
    /// since the Unix epoch; zero if that was not stated. It names the instance.
    pub(super) started_wall_ms: u64,
    /// What is known of the other instances.
    pub(super) instances: Instances,
    /// When the owner learned of that instance.
    pub(super) known_since: Timestamp,
    /// Since when its entry has been missing from the store.
    pub(super) missing_since: Option<Timestamp>,
    /// When the last complete list was read that lacks its entry.
    pub(super) missing_until: Timestamp,
    /// Time until which a draining worker certainly stays.
    pub(super) stays_until: Option<Timestamp>,
    /// Whether the worker has answered a hold in this term, and so has listed its runs and rejects
    /// orders of earlier terms. Reset when its leases expire.
    pub(super) is_adopted: bool,
    /// Whether it has listed everything since it was adopted, so that what its lists lack has ended.
    pub(super) has_listed_all: bool,
    /// Whether it has listed everything since every stop that an earlier owner ordered has taken effect. A
    /// run that is being stopped is in no list.
    pub(super) has_outlasted_stops: bool,
    /// When every stop that an earlier owner ordered has taken effect; meaningful once it is adopted.
    pub(super) stops_end: Timestamp,
    /// When the worker was adopted; meaningful only if it is.
    pub(super) adopted_at: Timestamp,
    /// Since when each hold that was sent carried a renewal of the lease; `None` if the latest one
    /// carried none.
    pub(super) renewing_since: Option<Timestamp>,
    /// When the latest renewal of the lease that the worker confirmed was sent; `None` if it
    /// confirmed none.
    pub(super) renewed_at: Option<Timestamp>,
    /// What the log says about the worker.
    pub(super) logged: Logged,
    /// How often the worker has been logged as used or gone. Only the latest of these records
    /// counts, once it is durable.
    pub(super) times_logged: u32,
    /// Whether a record of this term that the worker is used has become durable. Before that the next owner
    /// couldn't know that this one has granted it a lease.
    pub(super) is_on_record: bool,
    /// The latest reading of the worker's clock.
    pub(super) clock: Option<ClockReading>,
    /// The worker's clock in the newest list that was processed; lists may arrive out of order.
    pub(super) listed_clock_ms: u64,
    /// The last attempt that ended on the worker, by task; an older list may still show it as
    /// running.
    pub(super) ended_attempts: IndexMap<TaskId, u32>,
    /// The latest lease expiry sent to the worker, on its clock.
    pub(super) last_lease_end_sent: u64,
    /// When the latest hold that renews the lease was sent.
    pub(super) lease_sent: Timestamp,
    /// When every lease of earlier terms has certainly expired.
    pub(super) inherited_expiry: Timestamp,
    /// What the newest known instance may have got from calls to others.
    pub(super) stray_lease: StrayLease,
    /// When an order was last answered by another instance than the known one; `None` once a hold that was
    /// sent since is answered.
    pub(super) instance_doubt: Option<Timestamp>,
    /// The number of the last run end that was processed.
    pub(super) ends_seen: u64,
    /// The number of the last run end that is durable in the log.
    pub(super) ends_durable: u64,
    /// Number of ends in the newest list. The worker lists them until they are confirmed.
    pub(super) listed_ends: u64,
    /// What the ends that were read prove about the instance.
    pub(super) read_ends: ListedEnds,
    pub(super) runs: IndexMap<TaskId, Run>,
    /// Start orders of which a copy got no answer. A restarted worker doesn't know the stop orders
    /// that cancelled them, so those are sent again.
    pub(super) open_orders: Vec<OpenOrder>,
    /// Ends that wait for the expiry of open orders before they are confirmed.
    pub(super) held_ends: Vec<HeldEnd>,
    pub(super) holds_in_flight: u32,
    pub(super) next_hold: Timestamp,
    /// Number of holds in a row that got no answer.
    pub(super) hold_failures: u32,
    /// When the latest hold that got no answer was sent.
    pub(super) unanswered_hold: Timestamp,
    /// The same for holds that may have renewed the lease; `None` if each of those was answered.
    pub(super) unanswered_renewal: Option<Timestamp>,
    /// When the latest hold that may renew the lease left, which is after it was decided on.
    pub(super) renewal_left: Timestamp,
    /// When the worker last answered a hold.
    pub(super) last_heard: Timestamp,
    /// Whether it has refused a call that a later one has outranked, and answered no hold since.
    pub(super) awaits_answer: bool,
    /// How the worker is to be drained; `None` if it is not.
    pub(super) drain: Option<DrainMode>,
    pub(super) failures_in_a_row: u32,
    /// Whether the worker is known to have restarted in this term, so that what it ran in earlier terms has ended.
    pub(super) has_restarted: bool,
    /// Number of restarts since a run was last done.
    pub(super) restarts_in_a_row: u32,
    /// Number of exclusions since a run was last done.
    pub(super) exclusions: u32,
    pub(super) excluded_until: Timestamp,
    pub(super) speed: WorkerSpeed,
    /// Whether the worker was too slow and has not reached normal speed since. It then gets one
    /// task at a time.
    pub(super) on_probation: bool,
}

/// The runs of a worker taken together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RunTotals {
    pub(super) booked: Resources,
    pub(super) latency_sensitive: u32,
    pub(super) best_effort: u32,
}

/// What the log says about a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Logged {
    /// No durable record.
    Nothing,
    /// The worker is in use and may get orders.
    Used,
    /// No run is alive there; the worker gets no orders.
    Gone,
}

/// How a worker is drained: which of its runs are stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainMode {
    /// Runs of long-running tasks are stopped once their tasks can start on other workers. All
    /// other runs are left to end.
    WaitForRuns,
    /// Like [`DrainMode::WaitForRuns`], but runs that save checkpoints are stopped in the same way.
    StopCheckpointed,
    /// All runs are stopped at once, those of long-running tasks only as far as availability
    /// allows.
    StopAll,
}

impl Worker {
    pub(super) fn new(entry: WorkerEntry, inherited_expiry: Timestamp, now: Timestamp) -> Self {
        Self {
            started_wall_ms: entry.started_wall_ms,
            instances: Instances::default(),
            known_since: now,
            entry,
            missing_since: None,
            missing_until: Timestamp(0),
            stays_until: None,
            is_adopted: false,
            has_listed_all: false,
            has_outlasted_stops: false,
            stops_end: now,
            adopted_at: now,
            renewing_since: None,
            renewed_at: None,
            logged: Logged::Nothing,
            times_logged: 0,
            is_on_record: false,
            clock: None,
            listed_clock_ms: 0,
            ended_attempts: IndexMap::new(),
            last_lease_end_sent: 0,
            lease_sent: Timestamp(0),
            inherited_expiry,
            stray_lease: StrayLease::NONE,
            instance_doubt: None,
            ends_seen: 0,
            ends_durable: 0,
            listed_ends: 0,
            read_ends: ListedEnds::default(),
            runs: IndexMap::new(),
            open_orders: Vec::new(),
            held_ends: Vec::new(),
            holds_in_flight: 0,
            next_hold: now,
            hold_failures: 0,
            unanswered_hold: Timestamp(0),
            unanswered_renewal: None,
            renewal_left: Timestamp(0),
            last_heard: now,
            awaits_answer: false,
            drain: None,
            failures_in_a_row: 0,
            has_restarted: false,
            restarts_in_a_row: 0,
            exclusions: 0,
            excluded_until: Timestamp(0),
            speed: WorkerSpeed::default(),
            on_probation: false,
        }
    }

    /// The labels that certainly apply to the newest instance. A restart may change all but the
    /// rack, so those in the entry of an earlier instance don't count.
    pub(super) fn known_labels(&self) -> Arc<[String]> {
        if self.is_newest_instance(self.entry.started_wall_ms) {
            return Arc::clone(&self.entry.labels);
        }
        self.entry.labels.last().cloned().into_iter().collect()
    }

    /// Returns the resources booked by all runs that may be alive, including those being stopped.
    pub(super) fn used(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum + run.booked)
    }

    pub(super) fn free(&self) -> Resources {
        self.entry.capacity.saturating_sub(&self.used())
    }

    /// Whether an order was sent for any of the runs.
    pub(super) fn has_ordered_runs(&self) -> bool {
        self.runs.values().any(|run| run.state != RunState::Planned)
    }

    /// Whether all runs on the worker, if any, are of long-running tasks.
    pub(super) fn has_only_long_running(&self) -> bool {
        self.runs.values().all(|run| run.is_long_running)
    }

    /// Returns what the runs book, and how many of them are of each kind.
    pub(super) fn totals(&self) -> RunTotals {
        let mut totals = RunTotals::default();
        for run in self.runs.values() {
            totals.booked += run.booked;
            totals.latency_sensitive += u32::from(run.is_latency_sensitive);
            totals.best_effort += u32::from(run.is_best_effort);
        }
        totals
    }

    pub(super) fn count_step_runs(&self, step: StepId) -> u32 {
        let count = self.runs.keys().filter(|task| task.step_id() == step).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Whether any order is unsettled: a start without an answer, or a stop.
    pub(super) fn is_settling(&self) -> bool {
        let is_unsettled = |run: &Run| run.state == RunState::Unsettled || run.stopping.is_some();
        self.runs.values().any(is_unsettled)
    }

    /// Notes that the record that the worker is used is durable, and lets its lease be renewed at once.
    pub(super) fn begin_renewals(&mut self, now: Timestamp) {
        self.is_on_record = true;
        if self.is_adopted {
            self.next_hold = self.next_hold.min(now);
        }
    }

    /// Whether a hold is to be sent.
    pub(super) fn is_hold_due(&self, now: Timestamp) -> bool {
        if now < self.next_hold {
            return false;
        }
        // While an order is unsettled, a second hold may be in flight: the first may wait for a run
        // to end and must not delay the list that settles the order, or the answer of a new instance.
        match self.holds_in_flight {
            0 => true,
            1 => {
                self.is_settling()
                    || self.awaits_list_of_answered(now)
                    || self.awaits_answer
                    || self.instance_doubt.is_some()
            }
            _ => false,
        }
    }

    /// Whether the worker has not answered lately or its entry is missing from the store.
    pub(super) fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.hold_failures > 0
            || self.missing_since.is_some()
            || now > self.last_heard + SILENCE_TIMEOUT
    }

    /// Whether the worker has confirmed a lease of which enough is left that it won't expire before
    /// the next renewals, even if some of them fail.
    pub(super) fn has_safe_lease(&self, lease: Span, now: Timestamp) -> bool {
        let max_age = Span(lease.0 * MAX_LEASE_AGE_PERCENT / 100);
        self.renewed_at.is_some_and(|sent| now <= sent + max_age)
    }

    /// Records that the worker answered a hold that was sent at `sent`.
    pub(super) fn record_renewal(&mut self, sent: Timestamp) {
        if self.renewing_since.is_some_and(|since| sent >= since) {
            self.renewed_at = self.renewed_at.max(Some(sent));
        }
    }

    /// Whether something says that another instance than the known one is up, and no answer has settled it.
    pub(super) fn may_have_restarted(&self) -> bool {
        self.instance_doubt.is_some() || self.instances.open_entry.is_some()
    }

    /// Returns when a lease that is granted now expires, on the worker's clock; `None` if the clock
    /// is unknown, or may be that of an instance which has ended: another one would take any time for its
    /// own. However old the reading of the clock is, the lease isn't longer than asked for.
    pub(super) fn lease_end(&self, lease: Span, now: Timestamp) -> Option<u64> {
        let clock = self.clock.filter(|_| !self.may_have_restarted())?;
        Some(clock.worker_ms + life::least_advance(now.since(clock.at)).0 + lease.0)
    }

    /// Returns when every run on the worker has certainly ended if the worker never answers again.
    ///
    /// For leases of this term, this follows from the worker's clock; for those of earlier terms, from
    /// `inherited_expiry`; for those that a run may have got from an order to an earlier instance,
    /// from the expiry of that order and the longest lease; for what the instance itself may have got
    /// from a call to another one, from its `stray_lease`.
    pub(super) fn lease_expiry(&self, longest_lease: Span, now: Timestamp) -> Timestamp {
        let ends = self.runs.values().map(|run| self.end_of_run(run, longest_lease, now));
        self.own_lease_expiry().max(ends.max().unwrap_or_default())
    }

    /// Returns when a run has certainly ended if the worker never answers again and no copy of its order is open.
    fn end_of_run(&self, run: &Run, longest_lease: Span, now: Timestamp) -> Timestamp {
        let own = self.own_lease_expiry();
        if !run.may_be_in_other_instance() {
            return own;
        }
        own.max(match run.clock {
            Some(clock) => self.lease_end_by(clock),
            None => self.end_of_outlived(run, longest_lease, now),
        })
    }

    /// Returns when every run in the newest known instance has certainly ended if the worker never answers
    /// again, whatever other instances may have.
    pub(super) fn own_lease_expiry(&self) -> Timestamp {
        let earliest = self.inherited_expiry.max(self.stray_lease.expiry());
        self.clock.map_or(earliest, |clock| self.lease_end_by(clock).max(earliest))
    }

    /// Returns when a run has certainly ended if the worker never answers again, whatever other runs wait for;
    /// `None` if it isn't known which instance's lease it has.
    fn known_end(&self, run: &Run) -> Option<Timestamp> {
        if run.state != RunState::Running || run.outlived_restart {
            return None;
        }
        let own = self.own_lease_expiry();
        if run.ends_with_instance {
            return Some(own);
        }
        run.clock.map(|clock| self.lease_end_by(clock).max(own))
    }

    /// Returns when the latest lease that was sent has certainly expired on the clock of this reading.
    fn lease_end_by(&self, clock: ClockReading) -> Timestamp {
        let remaining = self.last_lease_end_sent.saturating_sub(clock.worker_ms);
        let stretched = remaining * 100 / (100 - CLOCK_DRIFT_PERCENT);
        clock.at + Span(stretched) + EXPIRY_MARGIN
    }

    /// Returns when a run that may be in another instance than the known one has certainly ended.
    fn end_of_outlived(&self, run: &Run, longest_lease: Span, now: Timestamp) -> Timestamp {
        let is_silent = self.unanswered_hold > run.order_expiry;
        if run.is_closed() && is_silent && self.is_gone(now) {
            // The newest known instance refuses the order, and no other has shown itself.
            return run.order_expiry;
        }
        // A hold for the known instance may have reached the other one, whose clock may show less.
        let renewal =
            if run.outlived_restart { run.stray_renewal } else { self.last_renewal_of(run) };
        // So may each order that is still to be carried out.
        let open = self.runs.values().filter(|run| run.is_unanswered()).map(|run| run.order_expiry);
        let open = open.chain(self.open_orders.iter().map(|order| order.expiry)).max();
        run.order_expiry.max(renewal).max(open.unwrap_or_default()) + longest_lease
    }

    /// Until when a hold may renew the lease of a run in another instance than the known one. A hold that got no
    /// answer may come late, and that instance counts the lease from its arrival. The run's order outranks the holds
    /// before it there; by the clock of its answer, if that is known, a hold brings no more than was asked for. A
    /// long-running task may not wait for a late one.
    pub(super) fn last_renewal_of(&self, run: &Run) -> Timestamp {
        let is_counted = run.clock.is_none() && !run.is_long_running;
        let may_be_late = |sent: &Timestamp| is_counted && *sent >= run.started;
        let late = self.unanswered_renewal.filter(may_be_late);
        self.lease_sent.max(late.map(|sent| sent + LATE_CALL_LIFETIME).unwrap_or_default())
    }

    /// Records that a hold which left at `sent` got no answer.
    pub(super) fn record_unanswered_hold(&mut self, sent: Timestamp) {
        self.unanswered_hold = self.unanswered_hold.max(sent);
        let may_have_renewed = sent <= self.renewal_left;
        self.unanswered_renewal = self.unanswered_renewal.max(may_have_renewed.then_some(sent));
    }

    /// Whether the worker's entry has been missing from the store for so long that it counts as gone: a
    /// later list lacks it, too. An entry that one list lacks may have expired while the store was away.
    pub(super) fn is_gone(&self, now: Timestamp) -> bool {
        let last_seen_missing = self.missing_until.min(now);
        self.missing_since.is_some_and(|since| last_seen_missing > since + MISSING_GRACE)
    }

    /// Takes the stop orders that the worker has not confirmed, each with its task and attempt, even
    /// if one is in flight.
    pub(super) fn take_stops(&mut self) -> impl Iterator<Item = (TaskId, u32)> {
        let unconfirmed = |run: &mut Run| {
            let stop = run.stopping.as_mut().filter(|stop| stop.confirmed.is_none())?;
            (stop.next, stop.is_sent) = (None, true);
            Some(run.attempt)
        };
        self.runs.iter_mut().filter_map(move |(task, run)| Some((*task, unconfirmed(run)?)))
    }

    /// Records that a run ended on the worker.
    pub(super) fn record_ended_attempt(&mut self, task: TaskId, attempt: u32) {
        if self.ended_attempts.len() >= MAX_ENDED_ATTEMPTS {
            self.ended_attempts.drain(..MAX_ENDED_ATTEMPTS / 2);
        }
        let last_ended = self.ended_attempts.entry(task).or_insert(attempt);
        *last_ended = (*last_ended).max(attempt);
    }

    /// Whether this attempt of the task, or a later one, has ended on the worker.
    pub(super) fn has_ended(&self, task: TaskId, attempt: u32) -> bool {
        self.ended_attempts.get(&task).is_some_and(|&last_ended| attempt <= last_ended)
    }

    /// Records a reading of the worker's clock that has just arrived.
    pub(super) fn record_clock(&mut self, worker_ms: u64, asked: Timestamp, now: Timestamp) {
        self.clock = Some(ClockReading { worker_ms, asked, at: now });
    }

    /// Records whether a run succeeded; excludes the worker for a while after too many failures in
    /// a row.
    pub(super) fn record_outcome(&mut self, succeeded: bool, now: Timestamp) {
        if succeeded {
            self.failures_in_a_row = 0;
            self.restarts_in_a_row = 0;
            self.exclusions = 0;
            return;
        }
        self.failures_in_a_row += 1;
        if self.failures_in_a_row >= MAX_FAILURES_IN_A_ROW {
            self.exclude(now);
            // After the exclusion, a single further failure excludes the worker again.
            self.failures_in_a_row = MAX_FAILURES_IN_A_ROW - 1;
        }
    }

    /// Records that the worker has restarted, after `earlier` was known of it. It is excluded for a
    /// while if it has restarted before and no run was done since.
    pub(super) fn record_restart(&mut self, earlier: &Self, now: Timestamp) {
        self.has_restarted = true;
        self.restarts_in_a_row = earlier.restarts_in_a_row + 1;
        self.exclusions = earlier.exclusions;
        if self.restarts_in_a_row > 1 {
            self.exclude(now);
        }
    }

    /// Excludes the worker from placement for a while, longer each time.
    pub(super) fn exclude(&mut self, now: Timestamp) {
        let doublings = self.exclusions.min(MAX_EXCLUSION_DOUBLINGS);
        self.excluded_until = now + Span(INITIAL_EXCLUSION.0 << doublings);
        self.exclusions += 1;
    }
}
