//! A simulation of a cell's workers and of its log in the store, in virtual time.
//!
//! [`Model`] drives a [`Cell`] directly and carries out its actions as the platform would. A test
//! can inject faults: workers that restart or are partitioned, start orders that arrive late or
//! whose answers are lost, owners that crash. The model records every violation of the platform's
//! guarantees, above all a task that runs twice at the same time, and an order that ends a long-running
//! task while too many others of its step are away. A day of load takes milliseconds.

mod availability;
mod calls;
mod control;
mod copies;
mod fates;
mod lease;
mod link;
mod log;
mod message;
mod owners;
mod term_ends;
mod worker;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use indexmap::IndexMap;
use rustix::time::{ClockId, clock_gettime};
use teaselgap_core::{
    Epoch, QueueId, ServiceId, Span, Timestamp,
    job::{
        Action, AdmissionPolicy, Answer, Cell, CellConfig, FlowLimits, JobId, LinkRate, LogConfig,
        LogEvent, LogWrite, QueueConfig, TaskId, Token, WorkerEntry, WorkerId,
    },
};

use self::{
    availability::AvailabilityWatch,
    copies::CrossingCopies,
    lease::OwnerLease,
    message::{Call, Delivery, Reply},
};
pub use self::{
    fates::{CallKind, Fate, LateCall},
    link::{CallTraffic, Link, Traffic},
    log::MAX_VALUE_BYTES,
    owners::{Afterlife, StrayOrders},
    worker::{ClockDraw, ModelWorker, TaskTime},
};

/// One-way latency of a message, in milliseconds.
const LATENCY_MS: u64 = 1;

/// Latency of a write to the store, in milliseconds.
const WRITE_LATENCY_MS: u64 = 4;

/// Interval between two ticks of the cell, in milliseconds.
const TICK_MS: u64 = 5;

/// Interval at which the owner reads the list of workers, in milliseconds.
const WORKER_LIST_INTERVAL_MS: u64 = 500;

/// Timeout of a call to a worker, in milliseconds; a hold's wait time is added to it.
const CALL_TIMEOUT_MS: u64 = 600;

/// Time without an answer after which a start order is sent again, in milliseconds.
const REPEAT_MS: u64 = 60;

/// Time from a worker's last contact with the store until its entry is removed, in milliseconds.
const WORKER_ENTRY_TTL_MS: u64 = 4_500;

/// Time from a worker's crash until a new instance runs at its address, in milliseconds.
const CRASH_DURATION_MS: u64 = 3_300;

/// Response time of the advice service, in milliseconds.
const ADVICE_LATENCY_MS: u64 = 60;

/// The longest time after which a write to the store that got no answer is carried out, in milliseconds.
const MAX_LATE_WRITE_MS: u64 = 10_000;

/// How long a ticket is valid, in milliseconds.
const TICKET_VALIDITY_MS: u64 = 3_000;

/// The ticket that the advice service issues for every allowed worker.
const TICKET: &str = "ticket";

/// Share of a core of an owner behind a link.
const LINKED_OWNER_CPU_SHARE: f64 = 0.12;

/// The longest time for which an owner may give orders after another one has claimed the cell.
pub const OWNER_TTL: Span = Span(3_000);

/// Wall-clock time at the model's time zero, in milliseconds since the Unix epoch.
const WALL_OFFSET_MS: u64 = 1_700_000_000_000;

/// Faults of the next calls to a worker; late start orders come before lost answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Number of start orders that the worker carries out but whose answers are lost.
    pub lost_answers: u32,
    /// Number of start orders that reach the worker late and are not answered.
    pub late_orders: u32,
    /// Number of stop orders that reach the worker late and are not answered; they come after those
    /// that are lost.
    pub late_stops: u32,
    /// Number of holds that confirm ends, reach the worker late and are not answered.
    pub late_holds: u32,
    /// Time that a late call takes to reach the worker, in milliseconds.
    pub late_ms: u64,
    /// Number of stop orders that have no effect and are not answered.
    pub lost_stops: u32,
}

/// Which starts count for the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CountedStarts {
    /// Those that a worker instance carries out once an owner has called it.
    AfterContact,
    All,
}

/// An instance of a worker that has ended.
#[derive(Clone, Debug)]
struct EndedInstance {
    /// Its last entry in the store.
    entry: WorkerEntry,
    ended: Timestamp,
}

/// A cell with its workers, its log and the time.
#[derive(Debug)]
pub struct Model {
    now: Timestamp,
    cfg: CellConfig,
    service: ServiceId,
    queues: IndexMap<QueueId, QueueConfig>,
    /// The cell at its owner; `None` while no node owns it.
    cell: Option<Cell>,
    /// Owners of earlier terms that still act.
    earlier_owners: Vec<owners::EarlierOwner>,
    /// What owners of earlier terms know whose nodes live.
    term_ends: term_ends::TermEnds,
    /// Workers whose entries the store has lost, each with when the worker writes it again.
    lapsed_entries: IndexMap<WorkerId, Timestamp>,
    /// Time until which owners of earlier terms than the current or latest one may have given
    /// orders.
    earlier_orders_end: Timestamp,
    /// When the owner that gave up the cell may have given its last order.
    gave_up_at: Timestamp,
    epoch: Epoch,
    /// When each term was claimed, as far as later owners know.
    claims: Vec<(Epoch, Timestamp)>,
    /// How much later other nodes have seen these claims.
    claim_delay: Span,
    workers: IndexMap<WorkerId, ModelWorker>,
    faults: IndexMap<WorkerId, WorkerFaults>,
    fates: fates::Fates,
    /// Workers that the owner cannot reach, with the time until which that lasts.
    unreachable: IndexMap<WorkerId, Timestamp>,
    /// The owners, by their epochs, that reach a worker no more.
    cut_off_from: BTreeSet<(Epoch, WorkerId)>,
    /// Entries that the store lists in place of what their workers have written since, each with
    /// the time until which it does.
    old_entries: IndexMap<WorkerId, (WorkerEntry, Timestamp)>,
    /// The instances of each worker that have ended, the latest last.
    ended_instances: IndexMap<WorkerId, Vec<EndedInstance>>,
    /// How long the next answers of a worker take, in milliseconds.
    answer_delays: IndexMap<WorkerId, VecDeque<u64>>,
    /// How many second copies of start orders have left the owners.
    sent_copies: u32,
    /// Which starts count.
    counted_starts: CountedStarts,
    stray_orders: StrayOrders,
    log: log::LogStore,
    is_store_available: bool,
    /// During a handover the owner sends no more calls and only finishes writing its log.
    is_handing_over: bool,
    /// A write that the store has not accepted yet.
    pending_write: Option<(Epoch, LogWrite)>,
    deliveries: BTreeMap<(Timestamp, u64), Delivery>,
    next_delivery: u64,
    next_token: u64,
    next_worker_list: Timestamp,
    /// How long after it was decided on a hold leaves.
    sending_delay: Span,
    /// Answers to client requests.
    answers: IndexMap<Token, Answer>,
    violations: Vec<String>,
    /// Tasks whose end as done an owner has confirmed to the worker.
    confirmed_done: BTreeSet<TaskId>,
    /// Jobs that a client account has cancelled.
    cancelled_jobs: BTreeSet<JobId>,
    /// The long-running tasks that have been at work.
    availability: AvailabilityWatch,
    /// How many times each task has started.
    start_counts: IndexMap<TaskId, u32>,
    /// How many workers have crashed while they ran each task.
    crash_counts: IndexMap<TaskId, u32>,
    /// When each task last started.
    last_starts: IndexMap<TaskId, Timestamp>,
    /// The worker of the latest start order for each task.
    last_orders: IndexMap<TaskId, WorkerId>,
    /// The start orders of which copies may cross; `None` if an order is sent again only once its first copy is lost.
    copies: Option<CrossingCopies>,
    log_events: Vec<LogEvent>,
    /// Workers that the advice service allows.
    allowed_workers: BTreeSet<WorkerId>,
    /// Whether the advice service answers.
    is_advice_available: bool,
    advice_request_count: usize,
    /// The owner's link; `None` if messages don't wait for each other.
    link: Option<Link>,
    /// The owner's lease in the store; `None` if it never expires.
    owner_lease: Option<OwnerLease>,
    /// Number of terms that ended because the owner's lease expired.
    expired_terms: u32,
    /// Start orders of this term that the owner has no outcome of.
    starts_in_flight: usize,
    max_starts_in_flight: usize,
    /// Processing time of all ticks of the owners, on the machine's clock.
    tick_time: Duration,
    longest_tick: Duration,
    /// What the calls to workers have taken on the owners' links.
    traffic: Traffic,
    /// The least time that was left of the lease of a worker with runs.
    least_lease_left: Span,
}

/// Returns the processor time that this thread has taken, which other load on the machine does not
/// extend.
#[must_use]
pub fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns the cell configuration of a typical small deployment. Jobs are accepted however late they
/// end, so that a test can overload a cell.
#[must_use]
pub fn cell_config() -> CellConfig {
    CellConfig {
        lease: Span(5_500),
        max_lease: Span(worker::MAX_LEASE_MS),
        stop_timeout: Span(500),
        status_retention: Span(120_000),
        // Small, so that short tests clean the log too.
        log: LogConfig { min_log_bytes: 4 * 1024, ..LogConfig::default() },
        admission: AdmissionPolicy::AcceptLate,
        flow: FlowLimits::new(LinkRate::from_mbps(1_000.0), 1.0),
    }
}

impl Model {
    /// Creates a cell with its workers and lets a first owner take it over.
    #[must_use]
    pub fn new(
        service: ServiceId,
        queues: IndexMap<QueueId, QueueConfig>,
        workers: Vec<ModelWorker>,
    ) -> Self {
        Self::with_config(cell_config(), service, queues, workers)
    }

    /// Creates a cell like [`Model::new`], whose owner passes all calls to workers and to the store
    /// over a link.
    #[must_use]
    pub fn with_link(
        link: Link,
        service: ServiceId,
        queues: IndexMap<QueueId, QueueConfig>,
        workers: Vec<ModelWorker>,
    ) -> Self {
        Self::with_link_and_config(link, cell_config(), service, queues, workers)
    }

    /// Creates a cell like [`Model::with_link`], of this configuration except for the limits that follow
    /// from the link.
    #[must_use]
    pub fn with_link_and_config(
        link: Link,
        cfg: CellConfig,
        service: ServiceId,
        queues: IndexMap<QueueId, QueueConfig>,
        workers: Vec<ModelWorker>,
    ) -> Self {
        let flow = FlowLimits::new(link.rate(), LINKED_OWNER_CPU_SHARE);
        let cfg = CellConfig { flow, ..cfg };
        let mut model = Self::with_config(cfg, service, queues, workers);
        model.link = Some(link);
        model
    }

    /// Creates a cell of this configuration with its workers and lets a first owner take it over.
    #[must_use]
    pub fn with_config(
        cfg: CellConfig,
        service: ServiceId,
        queues: IndexMap<QueueId, QueueConfig>,
        workers: Vec<ModelWorker>,
    ) -> Self {
        let mut model = Self {
            now: Timestamp(10_000),
            cfg,
            service,
            queues,
            cell: None,
            earlier_owners: Vec::new(),
            term_ends: term_ends::TermEnds::default(),
            lapsed_entries: IndexMap::new(),
            earlier_orders_end: Timestamp(0),
            gave_up_at: Timestamp(0),
            epoch: Epoch(0),
            claims: Vec::new(),
            claim_delay: Span(0),
            workers: workers.into_iter().map(|one| (one.entry.id.clone(), one)).collect(),
            faults: IndexMap::new(),
            fates: fates::Fates::default(),
            unreachable: IndexMap::new(),
            cut_off_from: BTreeSet::new(),
            old_entries: IndexMap::new(),
            ended_instances: IndexMap::new(),
            answer_delays: IndexMap::new(),
            sent_copies: 0,
            counted_starts: CountedStarts::AfterContact,
            stray_orders: StrayOrders::All,
            log: log::LogStore::default(),
            is_store_available: true,
            is_handing_over: false,
            pending_write: None,
            deliveries: BTreeMap::new(),
            next_delivery: 0,
            next_token: 0,
            next_worker_list: Timestamp(0),
            sending_delay: Span(0),
            answers: IndexMap::new(),
            violations: Vec::new(),
            confirmed_done: BTreeSet::new(),
            cancelled_jobs: BTreeSet::new(),
            availability: AvailabilityWatch::default(),
            start_counts: IndexMap::new(),
            crash_counts: IndexMap::new(),
            last_starts: IndexMap::new(),
            last_orders: IndexMap::new(),
            copies: None,
            log_events: Vec::new(),
            allowed_workers: BTreeSet::new(),
            is_advice_available: true,
            advice_request_count: 0,
            link: None,
            owner_lease: None,
            expired_terms: 0,
            starts_in_flight: 0,
            max_starts_in_flight: 0,
            tick_time: Duration::ZERO,
            longest_tick: Duration::ZERO,
            traffic: Traffic::default(),
            least_lease_left: Span(u64::MAX),
        };
        model.take_over();
        model
    }

    /// Returns the current time of the model.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the current wall-clock time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn wall_ms(&self) -> u64 {
        WALL_OFFSET_MS + self.now.0
    }

    /// Returns the cell at its owner, or `None` while no node owns it.
    #[must_use]
    pub fn cell(&self) -> Option<&Cell> {
        self.cell.as_ref()
    }

    /// Returns the cell at its owner for modification, or `None` while no node owns it.
    pub fn cell_mut(&mut self) -> Option<&mut Cell> {
        self.cell.as_mut()
    }

    /// Returns the violations of the platform's guarantees that were seen so far: tasks that ran
    /// twice at the same time or started after they were done, and long-running tasks that an order
    /// ended while too many others of their step were away.
    #[must_use]
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns how many times a task has started.
    #[must_use]
    pub fn start_count(&self, task: TaskId) -> u32 {
        self.start_counts.get(&task).copied().unwrap_or(0)
    }

    /// Returns how many workers have crashed while they ran a task.
    #[must_use]
    pub fn crash_count(&self, task: TaskId) -> u32 {
        self.crash_counts.get(&task).copied().unwrap_or(0)
    }

    /// Returns the log events of all owners so far.
    #[must_use]
    pub fn log_events(&self) -> &[LogEvent] {
        &self.log_events
    }

    /// Advances the time by `ms` milliseconds.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + Span(ms);
        while self.now < end {
            self.now = self.now + Span(1);
            self.deliver();
            for worker in self.workers.values_mut() {
                worker.advance(self.now);
                if let Some(left) = worker.lease_left(self.now) {
                    self.least_lease_left = self.least_lease_left.min(left);
                }
            }
            self.watch_availability();
            if self.now.0.is_multiple_of(TICK_MS) {
                self.tick();
            }
        }
    }

    /// Records which long-running tasks are at work, and checks the ends that orders have caused.
    fn watch_availability(&mut self) {
        let (now, cancelled_jobs) = (self.now, &self.cancelled_jobs);
        let mut ends = Vec::new();
        for worker in self.workers.values_mut() {
            ends.extend(worker.take_ordered_ends());
            for task in worker.tasks_at_work(now) {
                self.availability.record_at_work(task, now);
            }
        }
        for end in &mut ends {
            end.is_allowed |= cancelled_jobs.contains(&end.task.job);
        }
        let violations = self.availability.record_ends(&ends, now);
        self.violations.extend(violations);
    }

    /// Advances the time until `condition` holds, by at most `timeout_ms`, and returns whether it
    /// holds.
    pub fn run_until(&mut self, timeout_ms: u64, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + Span(timeout_ms);
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.run_for(TICK_MS);
        }
        condition(self)
    }

    fn tick(&mut self) {
        self.tick_earlier_owners();
        self.keep_owner_lease();
        if self.now >= self.next_worker_list && self.is_store_available {
            self.next_worker_list = self.now + Span(WORKER_LIST_INTERVAL_MS);
            let now = self.now;
            let is_listed = |worker: &&ModelWorker| {
                self.has_entry(&worker.entry.id)
                    && now <= worker.last_store_contact(now) + Span(WORKER_ENTRY_TTL_MS)
            };
            let entries: Vec<WorkerEntry> =
                self.workers.values().filter(is_listed).map(|one| self.listed_entry(one)).collect();
            if let Some(cell) = &mut self.cell {
                cell.update_workers(entries, true, now);
            }
        }
        self.ask_for_term_ends();
        let (now, wall_ms) = (self.now, self.wall_ms());
        let Some(cell) = &mut self.cell else {
            return;
        };
        if self.is_handing_over {
            cell.renew_during_handover(now, Timestamp(u64::MAX));
        } else {
            let started = processor_time();
            cell.tick(now, wall_ms);
            let elapsed = processor_time().saturating_sub(started);
            self.tick_time += elapsed;
            self.longest_tick = self.longest_tick.max(elapsed);
        }
        if self.pending_write.is_none() {
            let write = cell.take_write(now);
            self.pending_write = write.map(|write| (self.epoch, write));
        }
        let mut actions = cell.take_actions();
        if self.is_handing_over {
            actions.retain(Action::is_allowed_during_handover);
        }
        if self.is_store_available
            && let Some((epoch, write)) = self.pending_write.take()
        {
            self.write_segment(epoch, write);
        }
        let sender = self.present_sender();
        for action in actions {
            self.perform(sender, action);
        }
    }

    /// Returns the entry of a worker as the store lists it.
    fn listed_entry(&self, worker: &ModelWorker) -> WorkerEntry {
        let old = self.old_entries.get(&worker.entry.id).filter(|(_, until)| self.now < *until);
        old.map_or(&worker.entry, |(entry, _)| entry).clone()
    }

    /// Writes a segment to the store. The owner repeats a write that the store refuses.
    fn write_segment(&mut self, epoch: Epoch, write: LogWrite) {
        let sequence = write.sequence;
        if self.log.write(&write) {
            let delay_ms = self.send_over_link(write.value.len() as u64).0 + WRITE_LATENCY_MS;
            self.send(delay_ms, Delivery::SegmentWritten { epoch, sequence });
        } else {
            self.violations.push(format!("{} segment {sequence} is too large", self.now));
            self.pending_write = Some((epoch, write));
        }
    }
}
