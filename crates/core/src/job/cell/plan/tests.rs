use super::{
    super::{
        super::{
            AdmissionPolicy, FlowLimits, HoldReport, JobSpec, LinkRate, ListedRun, LogConfig,
            Resources, StartOutcome, Token, WorkerEntry,
        },
        CellConfig, QueueConfig, RecoveredLog, TermClaim,
    },
    *,
};
use crate::{
    Epoch,
    job::worker::{Run, RunState},
};

const WORKERS: usize = 20;

/// The number of tasks that fill a worker.
const TASKS_PER_WORKER: u32 = 3;

const WALL_MS: u64 = 1_700_000_000_000;

fn entry(number: usize) -> WorkerEntry {
    WorkerEntry {
        id: format!("w{number}").as_str().into(),
        started_wall_ms: 1,
        service: "drums".parse().unwrap(),
        address: ([127, 0, 0, 1], 7_000).into(),
        zone: "tartu".parse().unwrap(),
        capacity: Resources {
            cpu_milli: u64::from(TASKS_PER_WORKER) * 1_000,
            memory_mb: 65_536,
            gpus: 0,
        },
        labels: vec!["a".to_owned(), "rack-1".to_owned()].into(),
        is_draining: false,
        leaves_in: None,
    }
}

fn spec() -> JobSpec {
    let need = Resources { cpu_milli: 1_000, memory_mb: 1_000, gpus: 0 };
    let step = Step { count: TASKS_PER_WORKER, need, estimate: Span(1_000), ..Step::default() };
    JobSpec { payload: String::new(), steps: vec![step], schedule: None }
}

/// A cell and the time.
struct Fixture {
    cell: Cell,
    now: Timestamp,
    jobs: u64,
}

impl Fixture {
    /// Creates a cell that has adopted its workers.
    fn new() -> Self {
        let cfg = CellConfig {
            flow: FlowLimits::new(LinkRate::from_mbps(100_000.0), 100.0),
            lease: Span(5_500),
            max_lease: Span(6_000),
            stop_timeout: Span(500),
            status_retention: Span(120_000),
            log: LogConfig::default(),
            admission: AdmissionPolicy::AcceptLate,
        };
        let queue = QueueConfig {
            service: "drums".parse().unwrap(),
            max_attempts: 3,
            stretch_percent: 160,
            target_latency: Span(600),
            priority: 0,
            advice: None,
        };
        let (now, recovered) = (Timestamp(100_000), RecoveredLog::default());
        let term = ("drums".parse().unwrap(), Epoch(1));
        let mut cell = Cell::new(
            cfg,
            term,
            recovered,
            &TermClaim::unseen(Timestamp(0)),
            (now, WALL_MS + now.0),
        );
        cell.set_queues(IndexMap::from([("quotes".parse().unwrap(), queue)]));
        cell.update_workers((0..WORKERS).map(entry).collect(), true, now);
        let mut fixture = Self { cell, now, jobs: 0 };
        // The records of the workers become durable, then their empty lists arrive.
        fixture.advance();
        fixture.advance();
        fixture
    }

    /// Creates a cell whose first worker runs a best-effort task that this cell has started.
    fn with_best_effort_run() -> Self {
        let mut fixture = Self::new();
        let step = Step { is_best_effort: true, ..spec().steps[0].clone() };
        let run = Run::new(1, &step, RunState::Running, fixture.now);
        fixture.cell.workers[&WorkerId::from("w0")].runs.insert(task(JobId(1)), run);
        fixture
    }

    /// Writes the log, ticks, and answers all orders.
    fn advance(&mut self) {
        self.now = self.now + Span(100);
        let now = self.now;
        while let Some(write) = self.cell.take_write(now) {
            self.cell.on_segment_written(write.sequence, now);
        }
        self.cell.tick(now, WALL_MS + now.0);
        for action in self.cell.take_actions() {
            match action {
                Action::Hold { worker, .. } if !self.cell.workers[&worker].is_adopted => {
                    let report = HoldReport {
                        clock_ms: now.0,
                        started_wall_ms: 1,
                        running: Vec::new(),
                        ends: Vec::new(),
                        is_complete: true,
                    };
                    self.cell.on_hold_answer(&worker, now, Some(report), now);
                }
                Action::Start(worker, order) => {
                    let run = (order.task, order.attempt);
                    self.cell.on_start_answer(&worker, run, StartOutcome::Started, now);
                }
                _ => {}
            }
        }
    }

    fn submit(&mut self) -> JobId {
        self.jobs += 1;
        let id = JobId(self.jobs);
        let time = (self.now, WALL_MS + self.now.0);
        self.cell.submit(Token(self.jobs), (id, "quotes".parse().unwrap()), spec(), time);
        id
    }

    /// Plans once more and returns what that looked at.
    fn plan_again(&mut self) -> PlanWork {
        self.cell.plan_due = true;
        self.advance();
        self.cell.plan_work
    }
}

#[test]
fn ended_jobs_are_not_looked_at() {
    let mut fixture = Fixture::new();
    for _ in 0..200 {
        let job = fixture.submit();
        let now = fixture.now;
        fixture.cell.cancel(Token(0), job, now);
    }
    fixture.submit();
    fixture.advance();

    let work = fixture.plan_again();

    assert!(work.jobs <= 1, "{} jobs were looked at", work.jobs);
}

#[test]
fn steps_without_room_do_not_look_at_all_workers() {
    let mut fixture = Fixture::new();
    for _ in 0..WORKERS + 100 {
        fixture.submit();
    }
    fixture.advance();
    let runs: usize = fixture.cell.workers.values().map(|worker| worker.runs.len()).sum();
    assert_eq!(runs, WORKERS * TASKS_PER_WORKER as usize);

    let work = fixture.plan_again();

    assert!(work.searches <= 1, "all workers were looked at for {} steps", work.searches);
}

#[test]
fn planning_stops_once_no_waiting_step_fits() {
    let mut fixture = Fixture::new();
    for _ in 0..WORKERS + 100 {
        fixture.submit();
    }
    fixture.advance();

    let work = fixture.plan_again();

    assert!(work.steps <= 1, "{} steps were considered", work.steps);
}

/// The shares that the cell asks for.
fn asked_shares(cell: &mut Cell) -> Vec<u64> {
    let share = |action| match action {
        Action::Pace(_, _, _, share) => Some(share),
        _ => None,
    };
    cell.take_actions().into_iter().filter_map(share).collect()
}

/// The shares that the cell asks for at `now`, as a latency-sensitive task on the worker shows this tail
/// latency, in percent of its target.
fn paces(cell: &mut Cell, tail_percent: u64, now: Timestamp) -> Vec<u64> {
    let (worker, sensitive) = (WorkerId::from("w0"), task(JobId(99)));
    cell.pace_table.record_tail(&worker, sensitive, Span(100), tail_percent, now);
    cell.pace(now);
    asked_shares(cell)
}

fn task(job: JobId) -> TaskId {
    TaskId { job, occurrence: 0, step: 0, index: 0 }
}

/// Guards against a task that stays slow: of two paces under way, the worker may carry out the first one last,
/// while the answers come in the order of the calls.
#[test]
fn a_pace_leaves_only_once_the_one_before_is_answered() {
    let mut fixture = Fixture::with_best_effort_run();
    let (cell, id, start) = (&mut fixture.cell, WorkerId::from("w0"), fixture.now);

    let halved = paces(cell, 100, start + Span(600));
    let while_under_way = paces(cell, 100, start + Span(1_200));
    cell.on_pace_answer(&id, (task(JobId(1)), 1), 50, false);
    let after_no_answer = paces(cell, 100, start + Span(1_800));

    assert_eq!(halved, [50]);
    assert_eq!(while_under_way, Vec::<u64>::new());
    assert_eq!(after_no_answer, [12]);
}

/// Guards against a task that stays slow: a pace without an answer may have been carried out, and the full
/// speed was the last that was confirmed.
#[test]
fn the_full_speed_is_asked_for_after_a_pace_without_an_answer() {
    let mut fixture = Fixture::with_best_effort_run();
    let (cell, id, start) = (&mut fixture.cell, WorkerId::from("w0"), fixture.now);
    let halved = paces(cell, 100, start + Span(600));
    cell.on_pace_answer(&id, (task(JobId(1)), 1), 50, false);

    // No reading is recent any more.
    cell.pace(start + Span(4_000));
    let later = asked_shares(cell);

    assert_eq!((halved, later), (vec![50], vec![100]));
}

/// Guards against a task that stays slow: an earlier owner may have paced what this one finds.
#[test]
fn the_full_speed_is_asked_for_of_a_run_of_an_earlier_owner() {
    let mut fixture = Fixture::new();
    let best_effort = Step { is_best_effort: true, ..spec().steps[0].clone() };
    let time = (fixture.now, WALL_MS + fixture.now.0);
    let id = (JobId(7), "quotes".parse().unwrap());
    let spec = JobSpec { steps: vec![Step { count: 1, ..best_effort }], ..spec() };
    fixture.cell.submit(Token(7), id, spec, time);
    let listed = ListedRun {
        task: task(JobId(7)),
        attempt: 1,
        checkpoint: None,
        progress_percent: 0,
        tail_ms_or_cpu: 0,
    };
    let now = fixture.now + Span(50);

    fixture.cell.adopt_run(&"w0".into(), &listed, (fixture.now, now));
    fixture.cell.pace(now);

    assert_eq!(asked_shares(&mut fixture.cell), [100]);
}

/// Guards against tasks that wait through a long outage of the store: the last list before it lacked entries
/// that had expired in a short one.
#[test]
fn workers_that_one_list_lacked_are_used_until_a_later_one_lacks_them_too() {
    let mut fixture = Fixture::new();
    let usable = |fixture: &Fixture| {
        let is_usable = |worker: &&Worker| Cell::is_usable(worker, fixture.now);
        fixture.cell.workers.values().filter(is_usable).count()
    };
    fixture.cell.update_workers(Vec::new(), true, fixture.now);

    fixture.now = fixture.now + Span(10_000);
    let after_one_list = usable(&fixture);
    fixture.cell.update_workers(Vec::new(), false, fixture.now);
    let after_incomplete_list = usable(&fixture);
    fixture.cell.update_workers(Vec::new(), true, fixture.now);
    let after_later_list = usable(&fixture);

    assert_eq!((after_one_list, after_incomplete_list, after_later_list), (WORKERS, WORKERS, 0));
}
