//! Property tests: whatever owners do that are cut off, paused, slow or succeeded by others, no task runs
//! twice at the same time or starts after it was done, no accepted job is lost, and tasks start again in
//! bounded time.

use proptest::prelude::*;
use teaselgap_core::{
    Span,
    job::{JobEnd, JobId, JobState, Token},
};
use teaselgap_standins::model::{Afterlife, Model, OWNER_TTL, StrayOrders};

use super::run_until_durable;
use crate::fixtures::{job_spec, long_running_job, new_model, queue, state, step, task_id};

const WORKERS: usize = 4;

const LONG_RUNNING_JOB: JobId = JobId(1_000);

const LONG_RUNNING_TASKS: u32 = 3;

/// Time until an owner has read the list of workers, and has written nothing yet, in milliseconds.
const LIST_MS: u64 = 10;

/// Time within which an owner reads the clock of an idle worker again, in milliseconds.
const REREAD_MS: u64 = 4_000;

/// The processor need of a task, in thousandths of a core. Tasks have to wait for each other, so that an
/// owner which is cut off still has some to start.
const TASK_CPU_MILLI: u64 = 10_000;

/// The longest estimated time of a task, in milliseconds.
const MAX_TASK_MS: u64 = 14_000;

/// The longest fault of a worker, in milliseconds.
const MAX_FAULT_MS: u64 = 14_000;

/// The longest time that an order is late, in milliseconds.
const MAX_LATE_MS: u64 = 6_000;

/// The longest time after which the owner counts on an unanswered order, in milliseconds.
const ORDER_LIFETIME_MS: u64 = 15_000;

/// The longest lease that a worker grants, on a slow clock, in milliseconds.
const MAX_LEASE_MS: u64 = 6_000 * 103 / 100;

/// The pause of a task that has lost several workers, and the longest exclusion of a worker, in
/// milliseconds.
const MAX_PAUSE_MS: u64 = 12_000;

/// The longest time that all tasks of a play take in turn on its workers, in milliseconds.
const MAX_WORK_MS: u64 = 10 * MAX_TASK_MS;

/// The longest time from the end of all faults until every job is done, in milliseconds.
const MAX_DONE_MS: u64 =
    ORDER_LIFETIME_MS + MAX_LEASE_MS + 2 * OWNER_TTL.0 + MAX_PAUSE_MS + MAX_WORK_MS + 5_000;

/// How the owner of a cell changes.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// It is cut off from the store, and another one claims the cell after this time.
    CutOff {
        afterlife: Afterlife,
        gap_ms: u64,
    },
    /// The same while it gives start orders for a new job. A worker may restart at the same moment.
    CutOffStarting {
        afterlife: Afterlife,
        gap_ms: u64,
        restarting: Option<usize>,
    },
    /// It can't write to the store after its claim, and another one claims the cell.
    CutOffFromClaim {
        afterlife: Afterlife,
        life_ms: u64,
    },
    CutOffInHandover {
        afterlife: Afterlife,
        gap_ms: u64,
    },
    Killed {
        gap_ms: u64,
    },
    Restarted,
    HandedOver {
        write_ms: u64,
    },
    GivenUp {
        gap_ms: u64,
    },
}

/// A fault of a worker, or of the connections to it.
#[derive(Clone, Copy, Debug)]
enum WorkerFault {
    None,
    /// Present owners can't reach the worker, those that are cut off can.
    Unreachable {
        ms: u64,
    },
    /// The present owner can't reach the worker any more, later ones can.
    CutFromOwner,
    Partition {
        ms: u64,
    },
    Restart {
        away_ms: u64,
    },
    LapsedEntry {
        ms: u64,
    },
}

#[derive(Clone, Debug)]
struct Move {
    changes: Vec<(Change, u64)>,
    faults: Vec<(usize, WorkerFault)>,
    pause_ms: u64,
    tasks: u32,
    task_ms: u64,
}

fn afterlife() -> impl Strategy<Value = Afterlife> {
    let late_ms = prop_oneof![2 => Just(0), 1 => 1..MAX_LATE_MS];
    let paused_ms = prop_oneof![2 => Just(0), 1 => 1_u64..4_000];
    (500_u64..12_000, paused_ms, late_ms).prop_map(|(acts_for_ms, paused_ms, late_ms)| Afterlife {
        acts_for_ms,
        paused_ms,
        late_ms,
    })
}

fn change() -> impl Strategy<Value = Change> {
    let gap = || prop_oneof![0_u64..50, 50_u64..2_500];
    prop_oneof![
        4 => (afterlife(), gap()).prop_map(|(afterlife, gap_ms)| Change::CutOff { afterlife, gap_ms }),
        4 => (afterlife(), gap(), prop::option::of(0..WORKERS)).prop_map(
            |(afterlife, gap_ms, restarting)| {
                Change::CutOffStarting { afterlife, gap_ms, restarting }
            }
        ),
        2 => (afterlife(), gap()).prop_map(
            |(afterlife, life_ms)| Change::CutOffFromClaim { afterlife, life_ms }
        ),
        2 => (afterlife(), gap()).prop_map(
            |(afterlife, gap_ms)| Change::CutOffInHandover { afterlife, gap_ms }
        ),
        1 => gap().prop_map(|gap_ms| Change::Killed { gap_ms }),
        3 => Just(Change::Restarted),
        2 => (0_u64..1_500).prop_map(|write_ms| Change::HandedOver { write_ms }),
        1 => gap().prop_map(|gap_ms| Change::GivenUp { gap_ms }),
    ]
}

fn worker_fault() -> impl Strategy<Value = WorkerFault> {
    let ms = || 300..MAX_FAULT_MS;
    prop_oneof![
        1 => Just(WorkerFault::None),
        6 => (2_000..MAX_FAULT_MS).prop_map(|ms| WorkerFault::Unreachable { ms }),
        3 => Just(WorkerFault::CutFromOwner),
        2 => ms().prop_map(|ms| WorkerFault::Partition { ms }),
        2 => (50_u64..1_500).prop_map(|away_ms| WorkerFault::Restart { away_ms }),
        1 => (500_u64..4_000).prop_map(|ms| WorkerFault::LapsedEntry { ms }),
    ]
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let life_ms = prop_oneof![0_u64..300, 300_u64..3_500];
    let changes = prop::collection::vec((change(), life_ms), 1..4);
    let faults = prop::collection::vec((0..WORKERS, worker_fault()), 0..4);
    let task_ms = prop_oneof![1 => 100_u64..1_000, 3 => 1_000..MAX_TASK_MS];
    let one = (changes, faults, 5_u64..4_000, 1_u32..5, task_ms).prop_map(
        |(changes, faults, pause_ms, tasks, task_ms)| Move {
            changes,
            faults,
            pause_ms,
            tasks,
            task_ms,
        },
    );
    prop::collection::vec(one, 1..7)
}

/// How fast the clock of each worker goes, in percent of true time.
fn clock_percents() -> impl Strategy<Value = Vec<u64>> {
    prop::collection::vec(98_u64..=100, WORKERS)
}

fn worker_id(number: usize) -> String {
    format!("w{number}")
}

#[derive(Debug)]
struct Submitted {
    id: JobId,
    tasks: u32,
    token: Token,
}

struct Play {
    model: Model,
    jobs: Vec<Submitted>,
}

impl Play {
    fn new(clock_percents: &[u64], stray_orders: StrayOrders) -> Self {
        let mut model = new_model(WORKERS);
        model.count_every_start();
        model.allow_stray_orders(stray_orders);
        for (number, percent) in clock_percents.iter().enumerate() {
            model.worker_mut(&worker_id(number)).clock_percent = *percent;
        }
        // The owner's readings of the clocks from before that are not those of slow clocks.
        model.run_for(REREAD_MS);
        let spec = long_running_job(LONG_RUNNING_TASKS, LONG_RUNNING_TASKS);
        let token = model.submit(LONG_RUNNING_JOB, &queue(), spec);
        let jobs = vec![Submitted { id: LONG_RUNNING_JOB, tasks: LONG_RUNNING_TASKS, token }];
        Self { model, jobs }
    }

    fn submit(&mut self, tasks: u32, task_ms: u64) {
        let id = JobId(self.jobs.len() as u64);
        let token =
            self.model.submit(id, &queue(), job_spec(vec![step(tasks, TASK_CPU_MILLI, task_ms)]));
        self.jobs.push(Submitted { id, tasks, token });
    }

    fn make(&mut self, one: &Move) {
        self.submit(one.tasks, one.task_ms);
        self.model.run_for(one.pause_ms);
        for (worker, fault) in &one.faults {
            self.apply_fault(&worker_id(*worker), *fault);
        }
        for (change, life_ms) in &one.changes {
            self.apply(*change, one);
            self.model.run_for(*life_ms);
        }
    }

    fn apply_fault(&mut self, worker: &str, fault: WorkerFault) {
        let now = self.model.now();
        let model = &mut self.model;
        match fault {
            WorkerFault::None => {}
            WorkerFault::Unreachable { ms } => model.make_unreachable(worker, ms),
            WorkerFault::CutFromOwner => model.cut_owner_off_from(worker),
            WorkerFault::Partition { ms } => model.worker_mut(worker).partition_for(now, ms),
            WorkerFault::Restart { away_ms } => {
                let wall_ms = model.wall_ms();
                model.restart_worker_at(worker, wall_ms, away_ms);
            }
            WorkerFault::LapsedEntry { ms } => model.lapse_entry(worker, ms),
        }
    }

    fn apply(&mut self, change: Change, one: &Move) {
        if matches!(change, Change::CutOffStarting { .. }) {
            self.submit(one.tasks, one.task_ms);
            run_until_durable(&mut self.model);
        }
        let model = &mut self.model;
        match change {
            Change::CutOffStarting { afterlife, gap_ms, restarting } => {
                model.cut_off_owner(afterlife);
                if let Some(worker) = restarting {
                    model.restart_worker(&worker_id(worker));
                }
                model.run_for(gap_ms);
                model.take_over();
            }
            Change::CutOff { afterlife, gap_ms } => {
                model.cut_off_owner(afterlife);
                model.run_for(gap_ms);
                model.take_over();
            }
            Change::CutOffFromClaim { afterlife, life_ms } => {
                model.kill_owner();
                model.take_over();
                model.run_for(LIST_MS);
                model.set_store_available(false);
                model.run_for(life_ms);
                model.cut_off_owner(afterlife);
                model.set_store_available(true);
                model.take_over();
            }
            Change::CutOffInHandover { afterlife, gap_ms } => {
                model.cut_off_owner_in_handover(afterlife);
                model.run_for(gap_ms);
                model.take_over();
            }
            Change::Killed { gap_ms } => {
                model.kill_owner();
                model.run_for(gap_ms);
                model.take_over();
            }
            Change::Restarted => {
                model.kill_owner();
                model.take_over_after_restart();
            }
            Change::HandedOver { write_ms } => {
                model.hand_over_writing_for(write_ms);
                model.take_over();
            }
            Change::GivenUp { gap_ms } => {
                model.give_up();
                model.take_over_again(gap_ms);
            }
        }
    }

    /// The accepted jobs that are neither done nor, if they last, at work.
    fn open_jobs(&self) -> Vec<JobId> {
        let accepted = self.jobs.iter().filter(|job| self.model.answer(job.token).is_some());
        accepted.filter(|job| !self.is_fulfilled(job)).map(|job| job.id).collect()
    }

    fn is_fulfilled(&self, job: &Submitted) -> bool {
        let mut tasks = (0..job.tasks).map(|index| task_id(job.id, index));
        let is_at_work = |task| self.model.workers().any(|worker| worker.is_running(task));
        match state(&self.model, job.id) {
            Some(JobState::Ended(JobEnd::Succeeded)) => true,
            Some(JobState::Running) => job.id == LONG_RUNNING_JOB && tasks.all(is_at_work),
            _ => false,
        }
    }

    /// Plays all moves, and runs until every job is done, but no longer than that may take. Returns the
    /// jobs that are still open.
    fn play(&mut self, moves: &[Move]) -> Vec<JobId> {
        for one in moves {
            self.make(one);
        }
        self.model.run_for(MAX_FAULT_MS);
        let latest = self.model.now() + Span(MAX_DONE_MS);
        while self.model.now() < latest && !self.open_jobs().is_empty() {
            self.model.run_for(50);
        }
        self.open_jobs()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, ..ProptestConfig::default() })]

    #[test]
    fn no_task_runs_twice_and_no_job_is_lost_while_the_terms_of_owners_overlap(
        (moves, clock_percents) in (moves(), clock_percents()),
    ) {
        let mut play = Play::new(&clock_percents, StrayOrders::None);

        let open = play.play(&moves);

        prop_assert_eq!(play.model.violations(), [] as [&str; 0]);
        prop_assert_eq!(open, []);
    }

    #[test]
    fn a_late_order_of_an_earlier_owner_starts_nothing_twice_in_the_next_life_of_a_worker(
        (moves, clock_percents) in (moves(), clock_percents()),
    ) {
        let mut play = Play::new(&clock_percents, StrayOrders::OfEarlierOwners);

        let open = play.play(&moves);

        prop_assert_eq!(play.model.violations(), [] as [&str; 0]);
        prop_assert_eq!(open, []);
    }
}
