//! A worker as the owner of its cell knows it.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::{Resources, Step, StepId, TaskId, WorkerId, cell::Speed};
use crate::{ServiceId, Span, Timestamp, ZoneId};

/// A worker that has not answered for this long is silent.
const SILENCE: Span = Span(2_500);

/// A worker's clock may run this much slower than true time, in percent.
const CLOCK_DRIFT_PERCENT: u64 = 2;

/// Added to the point at which a lease must have run out, for the resolution of clocks.
const EXPIRY_MARGIN: Span = Span(50);

/// Failed runs in a row, with none done between, after which a worker gets no more work for a while.
const MAX_FAILURES_IN_A_ROW: u32 = 3;

/// Ends that are remembered of one worker.
const MAX_ENDED_ATTEMPTS: usize = 512;

/// How long an order that brought no answer may still be carried out.
pub(super) const UNANSWERED_START_LIFETIME: Span = Span(15_000);

/// How long a worker that fails all it starts is left out the first time; it doubles each time.
const FIRST_EXCLUSION: Span = Span(1_500);

/// The most that the time of an exclusion is doubled.
const MAX_EXCLUSION_DOUBLINGS: u32 = 3;

/// What a worker says of itself in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Its id.
    pub id: WorkerId,
    /// When this life began, in milliseconds since the Unix epoch; zero if it doesn't say.
    pub started_wall_ms: u64,
    /// The service whose tasks it runs.
    pub service: ServiceId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Where it is.
    pub zone: ZoneId,
    /// What it has.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// It is about to leave and takes no new work.
    pub draining: bool,
    /// The least time until it leaves, while it drains.
    pub leaves_in: Option<Span>,
}

impl WorkerEntry {
    /// The rack: the last of the labels.
    #[must_use]
    pub fn rack(&self) -> Option<&str> {
        self.labels.last().map(String::as_str)
    }
}

/// How far an order is known to have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// The order to start is on its way.
    Ordered,
    /// The order to start brought no answer: it may be carried out at any time.
    Unsettled,
    /// The worker has it.
    Running,
}

/// One run of a task on a worker. It is removed only once it certainly does not run any more.
#[expect(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) attempt: u32,
    pub(super) booked: Resources,
    pub(super) is_best_effort: bool,
    pub(super) is_latency_sensitive: bool,
    /// It goes on until its job is cancelled.
    pub(super) is_long_running: bool,
    pub(super) state: RunState,
    pub(super) started: Timestamp,
    /// From when on a list of the worker shows the run if it is there.
    pub(super) listed_after: Timestamp,
    /// It is to end; the order is repeated until the run is gone.
    pub(super) stopping: Option<StopOrder>,
    /// How much of it is done, in percent; for tasks that last, the share at which they work.
    pub(super) percent: u64,
    /// When its progress was last measured, and what it was then.
    pub(super) measured_at: Timestamp,
    pub(super) measured_percent: u64,
    /// How long it takes in all has been recorded, or can't be told.
    pub(super) is_duration_recorded: bool,
    /// The share that the worker confirmed for it, in percent; only for what fills.
    pub(super) confirmed_pace: u64,
    /// When its share may be sent again.
    pub(super) next_pace_at: Timestamp,
}

/// An order to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StopOrder {
    /// When the order is next sent; `None` while it is on its way.
    pub(super) next: Option<Timestamp>,
    /// When the worker confirmed it.
    pub(super) confirmed: Option<Timestamp>,
}

/// A reading of a worker's steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClockReading {
    pub(super) worker_ms: u64,
    pub(super) at: Timestamp,
}

#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    /// Since when its entry has been missing from the store.
    pub(super) missing_since: Option<Timestamp>,
    /// Until when a draining worker certainly stays.
    pub(super) leave_deadline: Option<Timestamp>,
    /// It has refused orders of earlier terms since, and has told what runs there.
    pub(super) is_adopted: bool,
    /// What the log says of it.
    pub(super) logged: Logged,
    /// How often it has been logged as used: what becomes durable of earlier times does not count.
    pub(super) times_logged: u32,
    pub(super) clock: Option<ClockReading>,
    /// The worker's clock in the newest list that was taken in; lists may overtake each other.
    pub(super) listed_clock_ms: u64,
    /// The last attempts that ended here, by task: an older list may still show them.
    pub(super) ended_attempts: IndexMap<TaskId, u32>,
    /// The latest lease that any order carried, on the worker's clock.
    pub(super) lease_sent: u64,
    /// When orders of earlier terms must have run out.
    pub(super) inherited_expiry: Timestamp,
    /// The number of the last end taken in.
    pub(super) ends_seen: u64,
    /// The number of the last end that is durable in the log.
    pub(super) ends_durable: u64,
    pub(super) runs: IndexMap<TaskId, Run>,
    /// Orders to start that brought no answer: task, attempt, and when they were given up. A later
    /// life of the worker knows of no stop that settled them.
    pub(super) unanswered_starts: Vec<(TaskId, u32, Timestamp)>,
    pub(super) holds_in_flight: u32,
    pub(super) next_hold: Timestamp,
    pub(super) hold_failures: u32,
    pub(super) last_heard: Timestamp,
    /// It is to be emptied.
    pub(super) drain: Option<DrainMode>,
    pub(super) failures_in_a_row: u32,
    pub(super) exclusions: u32,
    pub(super) excluded_until: Timestamp,
    pub(super) speed: Speed,
    /// It was too slow, and has not been seen to be well since: it gets one task at a time.
    pub(super) on_probation: bool,
}

/// What the log says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Logged {
    /// Nothing that is durable.
    Nothing,
    /// It is used: it may get orders.
    Used,
    /// Nothing runs there: it gets no orders.
    Gone,
}

/// How soon a worker is to be empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainMode {
    /// What runs there may end by itself.
    WaitForRuns,
    /// What saves its progress is stopped if it can start elsewhere at once; the rest may end.
    StopCheckpointed,
    /// What runs there is stopped as far as availability allows.
    StopAll,
}

impl Run {
    /// A run of a task of `step`, as it is known now.
    pub(super) fn new(attempt: u32, step: &Step, state: RunState, now: Timestamp) -> Self {
        Self {
            booked: step.booked(),
            is_best_effort: step.fills,
            is_latency_sensitive: step.tail_target.is_some(),
            is_long_running: step.long_running,
            ..Self::unknown(attempt, state, now)
        }
    }

    /// A run of which nothing is known but that it may be there, or come.
    pub(super) fn unknown(attempt: u32, state: RunState, now: Timestamp) -> Self {
        Self {
            attempt,
            booked: Resources::default(),
            is_best_effort: false,
            is_latency_sensitive: false,
            is_long_running: false,
            state,
            started: now,
            listed_after: now,
            stopping: None,
            percent: 0,
            measured_at: now,
            measured_percent: 0,
            is_duration_recorded: false,
            confirmed_pace: 100,
            next_pace_at: now,
        }
    }
}

impl Run {
    /// Whether the worker has it and it is not to end.
    pub(super) fn is_settled(&self) -> bool {
        self.state == RunState::Running && self.stopping.is_none()
    }
}

impl Worker {
    pub(super) fn new(entry: WorkerEntry, inherited_expiry: Timestamp, now: Timestamp) -> Self {
        Self {
            entry,
            missing_since: None,
            leave_deadline: None,
            is_adopted: false,
            logged: Logged::Nothing,
            times_logged: 0,
            clock: None,
            listed_clock_ms: 0,
            ended_attempts: IndexMap::new(),
            lease_sent: 0,
            inherited_expiry,
            ends_seen: 0,
            ends_durable: 0,
            runs: IndexMap::new(),
            unanswered_starts: Vec::new(),
            holds_in_flight: 0,
            next_hold: now,
            hold_failures: 0,
            last_heard: now,
            drain: None,
            failures_in_a_row: 0,
            exclusions: 0,
            excluded_until: Timestamp(0),
            speed: Speed::default(),
            on_probation: false,
        }
    }

    /// What is booked by everything that runs, may run or is being stopped.
    pub(super) fn used(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum + run.booked)
    }

    pub(super) fn free(&self) -> Resources {
        self.entry.capacity.saturating_sub(&self.used())
    }

    /// Whether only tasks that last run here, if any.
    pub(super) fn has_only_long_running(&self) -> bool {
        self.runs.values().all(|run| run.is_long_running)
    }

    pub(super) fn count_of(&self, step: StepId) -> u32 {
        let count = self.runs.keys().filter(|task| task.step_id() == step).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Whether the worker has not answered lately.
    pub(super) fn is_silent(&self, now: Timestamp) -> bool {
        self.hold_failures > 0 || self.missing_since.is_some() || now > self.last_heard + SILENCE
    }

    /// The end of a lease that starts now, on the worker's clock.
    pub(super) fn lease_end(&self, lease: Span, now: Timestamp) -> Option<u64> {
        let clock = self.clock?;
        Some(clock.worker_ms + now.since(clock.at).0 + lease.0)
    }

    /// When every lease that was ever sent must have run out: those of this term by the worker's
    /// clock, those of earlier terms by the time that has passed since they ended.
    pub(super) fn lease_expiry(&self) -> Timestamp {
        let Some(clock) = self.clock else {
            return self.inherited_expiry;
        };
        let left = self.lease_sent.saturating_sub(clock.worker_ms);
        let stretched = left * 100 / (100 - CLOCK_DRIFT_PERCENT);
        (clock.at + Span(stretched) + EXPIRY_MARGIN).max(self.inherited_expiry)
    }

    /// Records that a run ended here.
    pub(super) fn record_ended_attempt(&mut self, task: TaskId, attempt: u32) {
        if self.ended_attempts.len() >= MAX_ENDED_ATTEMPTS {
            self.ended_attempts.drain(..MAX_ENDED_ATTEMPTS / 2);
        }
        let last_ended = self.ended_attempts.entry(task).or_insert(attempt);
        *last_ended = (*last_ended).max(attempt);
    }

    /// Whether this run, or a later one of the task, has ended here.
    pub(super) fn has_ended(&self, task: TaskId, attempt: u32) -> bool {
        self.ended_attempts.get(&task).is_some_and(|&last_ended| attempt <= last_ended)
    }

    /// Records a reading of the worker's clock that arrived now.
    pub(super) fn record_clock(&mut self, worker_ms: u64, now: Timestamp) {
        self.clock = Some(ClockReading { worker_ms, at: now });
    }

    /// Counts how a run ended; a worker that fails all it starts is left out for a while.
    pub(super) fn record_outcome(&mut self, done: bool, now: Timestamp) {
        if done {
            self.failures_in_a_row = 0;
            self.exclusions = 0;
            return;
        }
        self.failures_in_a_row += 1;
        if self.failures_in_a_row >= MAX_FAILURES_IN_A_ROW {
            self.exclude(now);
            // One more failure after the exclusion is enough for the next one.
            self.failures_in_a_row = MAX_FAILURES_IN_A_ROW - 1;
        }
    }

    /// Leaves the worker out for a while, longer each time; then it is tried anew.
    pub(super) fn exclude(&mut self, now: Timestamp) {
        let doublings = self.exclusions.min(MAX_EXCLUSION_DOUBLINGS);
        self.excluded_until = now + Span(FIRST_EXCLUSION.0 << doublings);
        self.exclusions += 1;
    }
}
