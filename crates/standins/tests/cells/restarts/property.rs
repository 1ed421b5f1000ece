//! A property test: whatever the wall clocks of restarting workers show, and however late and in
//! whatever order entries and answers come, no task runs twice, each restart counts once, and every
//! job is done in time.
//!
//! A copy of a start order that reaches the next instance of its worker is a known failure of its own
//! (KNOWN-RED, random.rs and waits.rs). So that this property shows only the failures that it is for,
//! orders are late, or their answers lost, only at [`FAULTY`], which never restarts.

use proptest::prelude::*;
use teaselgap_core::{
    Span, Timestamp,
    job::{JobEnd, JobId, JobState, LogEvent, TaskId, Token},
};
use teaselgap_standins::model::{Model, OWNER_TTL, WorkerFaults};

use super::{MAX_LEASE_MS, ORDER_LIFETIME_MS, SETTLE_MS};
use crate::fixtures::{job_spec, long_running_job, new_model, queue, state, step, task_id};

/// Number of workers that restart; one more does not.
const RESTARTING: usize = 3;

/// The worker whose orders are late or not answered.
const FAULTY: usize = RESTARTING;

const LONG_RUNNING_JOB: JobId = JobId(1_000);

const LONG_RUNNING_TASKS: u32 = 3;

/// The longest estimated time of a task, in milliseconds.
const MAX_TASK_MS: u64 = 6_000;

/// The longest time for which a late entry stays in the store, in milliseconds.
const MAX_LATE_ENTRY_MS: u64 = 4_500;

/// The longest fault, in milliseconds.
const MAX_FAULT_MS: u64 = 5_000;

/// The longest time after which a write of an ended instance is carried out, in milliseconds.
const LATE_WRITE_MS: u64 = 10_000;

/// How long a task may wait that has lost several workers, in milliseconds: the owner's pause, and the
/// longest exclusion of a worker that keeps restarting.
const MAX_PAUSE_MS: u64 = 12_000;

/// The longest time from the end of all faults until every job is done, in milliseconds: an order that
/// was not answered, the lease that it may have brought, a new owner's wait for the one before, the
/// pause after several losses and the task itself.
const MAX_DONE_MS: u64 =
    ORDER_LIFETIME_MS + MAX_LEASE_MS + OWNER_TTL.0 + MAX_PAUSE_MS + MAX_TASK_MS + SETTLE_MS;

/// What the wall clock of a worker shows when it starts again.
#[derive(Clone, Copy, Debug)]
enum WallClock {
    Ahead(u64),
    Back(u64),
    /// What it showed when the instance before started.
    Same,
}

/// A fault, with its length in milliseconds.
#[derive(Clone, Debug)]
enum Fault {
    Restart { worker: usize, clock: WallClock, away_ms: u64 },
    LateEntry { worker: usize, instances_back: usize, ms: u64 },
    LateAnswers { worker: usize, delays_ms: Vec<u64> },
    FaultyOrders(WorkerFaults),
    Partition { worker: usize, ms: u64 },
    Unreachable { worker: usize, ms: u64 },
    StoreOutage { ms: u64 },
    OwnerCrash { down_ms: u64 },
    Handover,
}

fn wall_clock() -> impl Strategy<Value = WallClock> {
    prop_oneof![
        3 => (0_u64..20_000).prop_map(WallClock::Back),
        1 => (0_u64..5_000).prop_map(WallClock::Ahead),
        1 => Just(WallClock::Same),
    ]
}

fn faulty_orders() -> impl Strategy<Value = Fault> {
    (0_u32..3, 0_u32..3, 1_000_u64..9_000, 0_u32..2, 0_u32..2).prop_map(
        |(lost_answers, late_orders, late_ms, lost_stops, late_stops)| {
            let late_holds = 0;
            let faults = WorkerFaults {
                lost_answers,
                late_orders,
                late_stops,
                late_holds,
                late_ms,
                lost_stops,
            };
            Fault::FaultyOrders(faults)
        },
    )
}

fn fault() -> impl Strategy<Value = Fault> {
    let (restarting, any) = (0..RESTARTING, 0..=RESTARTING);
    let ms = 300..MAX_FAULT_MS;
    prop_oneof![
        5 => (restarting.clone(), wall_clock(), 50_u64..1_500)
            .prop_map(|(worker, clock, away_ms)| Fault::Restart { worker, clock, away_ms }),
        5 => (restarting, 1_usize..4, 200..MAX_LATE_ENTRY_MS).prop_map(
            |(worker, instances_back, ms)| Fault::LateEntry { worker, instances_back, ms }
        ),
        4 => (any.clone(), prop::collection::vec(0_u64..1_000, 1..8))
            .prop_map(|(worker, delays_ms)| Fault::LateAnswers { worker, delays_ms }),
        1 => faulty_orders(),
        1 => (any.clone(), ms.clone()).prop_map(|(worker, ms)| Fault::Partition { worker, ms }),
        1 => (any, ms.clone()).prop_map(|(worker, ms)| Fault::Unreachable { worker, ms }),
        1 => ms.prop_map(|ms| Fault::StoreOutage { ms }),
        1 => (0_u64..3_000).prop_map(|down_ms| Fault::OwnerCrash { down_ms }),
        1 => Just(Fault::Handover),
    ]
}

/// A fault, the time until the next one, and a job that is submitted before it.
#[derive(Clone, Debug)]
struct Move {
    fault: Fault,
    pause_ms: u64,
    tasks: u32,
    task_ms: u64,
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let task_ms = prop_oneof![100_u64..1_000, 1_000..MAX_TASK_MS];
    let one = (fault(), 5_u64..1_500, 1_u32..6, task_ms);
    let one =
        one.prop_map(|(fault, pause_ms, tasks, task_ms)| Move { fault, pause_ms, tasks, task_ms });
    prop::collection::vec(one, 2..12)
}

fn worker_id(number: usize) -> String {
    format!("w{number}")
}

/// A job that was submitted.
#[derive(Debug)]
struct Submitted {
    id: JobId,
    tasks: u32,
    token: Token,
}

/// A model, and when the terms of its owners began.
#[derive(Debug)]
struct Play {
    model: Model,
    /// For each term when it began, and how many events were logged before.
    terms: Vec<(Timestamp, usize)>,
    jobs: Vec<Submitted>,
}

impl Play {
    fn new() -> Self {
        let mut model = new_model(RESTARTING + 1);
        model.count_every_start();
        let token = model.submit(
            LONG_RUNNING_JOB,
            &queue(),
            long_running_job(LONG_RUNNING_TASKS, LONG_RUNNING_TASKS),
        );
        let jobs = vec![Submitted { id: LONG_RUNNING_JOB, tasks: LONG_RUNNING_TASKS, token }];
        Self { terms: vec![(Timestamp(0), 0)], model, jobs }
    }

    fn take_over(&mut self) {
        self.terms.push((self.model.now(), self.model.log_events().len()));
        self.model.take_over();
    }

    fn make(&mut self, number: u64, one: &Move) {
        let id = JobId(number);
        let spec = job_spec(vec![step(one.tasks, 4_000, one.task_ms)]);
        let token = self.model.submit(id, &queue(), spec);
        self.jobs.push(Submitted { id, tasks: one.tasks, token });
        self.model.run_for(one.pause_ms);
        self.apply(&one.fault);
    }

    fn apply(&mut self, fault: &Fault) {
        let model = &mut self.model;
        match fault {
            Fault::Restart { worker, clock, away_ms } => {
                let id = worker_id(*worker);
                let started_wall_ms = match clock {
                    WallClock::Ahead(ms) => model.wall_ms() + ms,
                    WallClock::Back(ms) => model.wall_ms() - ms,
                    WallClock::Same => model.worker_mut(&id).entry.started_wall_ms,
                };
                model.restart_worker_at(&id, started_wall_ms, *away_ms);
            }
            Fault::LateEntry { worker, instances_back, ms } => {
                model.write_earlier_entry(&worker_id(*worker), *instances_back, *ms);
            }
            Fault::LateAnswers { worker, delays_ms } => {
                model.delay_answers(&worker_id(*worker), delays_ms.iter().copied());
            }
            Fault::FaultyOrders(faults) => model.set_faults(&worker_id(FAULTY), *faults),
            Fault::Partition { worker, ms } => {
                let now = model.now();
                model.worker_mut(&worker_id(*worker)).partition_for(now, *ms);
            }
            Fault::Unreachable { worker, ms } => model.make_unreachable(&worker_id(*worker), *ms),
            Fault::StoreOutage { ms } => {
                model.set_store_available(false);
                model.run_for(*ms);
                model.set_store_available(true);
            }
            Fault::OwnerCrash { down_ms } => {
                model.kill_owner();
                model.run_for(*down_ms);
                self.take_over();
            }
            Fault::Handover => {
                model.hand_over();
                self.take_over();
            }
        }
    }

    /// The accepted jobs that are neither done nor, if they last, at work.
    fn open_jobs(&self, model: &Model) -> Vec<JobId> {
        let accepted = self.jobs.iter().filter(|job| model.answer(job.token).is_some());
        accepted.filter(|job| !is_fulfilled(model, job)).map(|job| job.id).collect()
    }

    fn run_until_done(&mut self) -> Vec<JobId> {
        let latest = self.model.now() + Span(MAX_DONE_MS);
        while self.model.now() < latest && !self.open_jobs(&self.model).is_empty() {
            self.model.run_for(50);
        }
        self.open_jobs(&self.model)
    }

    /// How often the owners took a worker for restarted, and how often it can have restarted to their
    /// knowledge, for each term in which it was more often.
    fn excess_restarts(&self) -> Vec<(String, usize, usize)> {
        let ends = self.terms[1..].iter().copied();
        let ends = ends.chain([(self.model.now(), self.model.log_events().len())]);
        let terms = self.terms.iter().copied().zip(ends);
        let counts = terms.flat_map(|((began, first), (ended, last))| {
            (0..=RESTARTING).map(move |worker| {
                let id = worker_id(worker);
                let counted = self.restarts_among(first, last, &id);
                let possible = self.restarts_between(began, ended, &id);
                (id, counted, possible)
            })
        });
        counts.filter(|(_, counted, possible)| counted > possible).collect()
    }

    fn restarts_among(&self, first: usize, last: usize, id: &str) -> usize {
        let is_restart = |event: &&LogEvent| {
            matches!(event, LogEvent::Worker { worker, change: "restarted", .. }
                if worker.as_str() == id)
        };
        self.model.log_events()[first..last].iter().filter(is_restart).count()
    }

    /// How often a worker restarted in a term, or so shortly before that a late entry may have misled
    /// the new owner.
    fn restarts_between(&self, began: Timestamp, ended: Timestamp, id: &str) -> usize {
        let ends = self.model.instance_ends(id);
        let longest = Span(LATE_WRITE_MS + MAX_LATE_ENTRY_MS);
        ends.iter().filter(|&&at| at + longest >= began && at <= ended).count()
    }
}

/// Whether a job is done or rightly shown as failed or, if it lasts, at work.
fn is_fulfilled(model: &Model, job: &Submitted) -> bool {
    let tasks = || (0..job.tasks).map(|index| task_id(job.id, index));
    let is_at_work = |task: TaskId| model.workers().any(|worker| worker.is_running(task));
    match state(model, job.id) {
        Some(JobState::Ended(JobEnd::Succeeded)) => true,
        Some(JobState::Running) => job.id == LONG_RUNNING_JOB && tasks().all(is_at_work),
        _ => false,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn no_task_runs_twice_and_no_job_is_lost_whatever_the_clocks_of_restarting_workers_show(
        moves in moves(),
    ) {
        let mut play = Play::new();

        for (number, one) in (1..).zip(&moves) {
            play.make(number, one);
        }
        play.model.run_for(MAX_FAULT_MS);
        let open = play.run_until_done();

        prop_assert_eq!(play.model.violations(), [] as [&str; 0]);
        prop_assert_eq!(open, []);
        prop_assert_eq!(play.excess_restarts(), []);
    }
}
