use indexmap::IndexMap;

use super::{
    super::{
        super::{
            Action, AdmissionPolicy, DrainMode, EndKind, FlowLimits, HoldReport, JobId, JobSpec,
            LinkRate, ListedRun, LogConfig, Resources, RunEnd, RunId, StartAnswer, StartOutcome,
            Step, Token, WorkerEntry,
        },
        CellConfig, QueueConfig, RecoveredLog, TermClaim,
    },
    *,
};
use crate::{Epoch, Span};

const WALL_MS: u64 = 1_700_000_000_000;

/// Time between two steps of a test.
const STEP: Span = Span(100);

fn config() -> CellConfig {
    CellConfig {
        flow: FlowLimits::new(LinkRate::from_mbps(100_000.0), 100.0),
        lease: Span(5_500),
        max_lease: Span(6_000),
        stop_timeout: Span(500),
        status_retention: Span(120_000),
        log: LogConfig::default(),
        admission: AdmissionPolicy::AcceptLate,
    }
}

fn queue() -> QueueConfig {
    QueueConfig {
        service: "drums".parse().unwrap(),
        max_attempts: 3,
        stretch_percent: 160,
        target_latency: Span(600),
        priority: 0,
        advice: None,
    }
}

fn entry(id: &str) -> WorkerEntry {
    WorkerEntry {
        id: id.into(),
        started_wall_ms: 1,
        service: "drums".parse().unwrap(),
        address: ([127, 0, 0, 1], 7_000).into(),
        zone: "tartu".parse().unwrap(),
        capacity: Resources { cpu_milli: 4_000, memory_mb: 65_536, gpus: 0 },
        labels: vec!["a".to_owned(), "rack-1".to_owned()].into(),
        is_draining: false,
        leaves_in: None,
    }
}

/// A job of one task.
fn spec(long_running: bool) -> JobSpec {
    let need = Resources { cpu_milli: 1_000, memory_mb: 1_000, gpus: 0 };
    let step = Step { count: 1, need, estimate: Span(1_000), long_running, ..Step::default() };
    JobSpec { payload: String::new(), steps: vec![step], schedule: None }
}

/// A cell of two workers, which has ordered one of them to start a task.
struct Fixture {
    cell: Cell,
    now: Timestamp,
    run: RunId,
}

impl Fixture {
    /// Creates a cell that has sent an order twice, and has the answer to one copy.
    fn new(is_long_running: bool) -> Self {
        let (now, term) = (Timestamp(100_000), ("drums".parse().unwrap(), Epoch(1)));
        let claim = TermClaim::unseen(Timestamp(0));
        let time = (now, WALL_MS + now.0);
        let mut cell = Cell::new(config(), term, RecoveredLog::default(), &claim, time);
        cell.set_queues(IndexMap::from([("quotes".parse().unwrap(), queue())]));
        cell.update_workers(vec![entry("w0"), entry("w1")], true, now);
        let task = TaskId { job: JobId(7), occurrence: 0, step: 0, index: 0 };
        let run = RunId { task, attempt: 0, worker: "w0".into() };
        let mut fixture = Self { cell, now, run };
        for _ in 0..3 {
            fixture.adopt_workers();
        }
        fixture.submit(is_long_running);
        fixture.run = fixture.next_start().expect("an order");
        let RunId { task, attempt, worker } = fixture.run.clone();
        let answer = StartAnswer {
            outcome: StartOutcome::StartedRepeated,
            clock_ms: Some(fixture.now.0),
            last_sent: Some(fixture.now),
        };
        fixture.cell.on_start_answer(&worker, (task, attempt), answer, fixture.now);
        fixture
    }

    fn submit(&mut self, is_long_running: bool) {
        let time = (self.now, WALL_MS + self.now.0);
        let job = (self.run.task.job, "quotes".parse().unwrap());
        self.cell.submit(Token(1), job, spec(is_long_running), time);
    }

    /// Lets a moment pass, and returns what the cell asks for.
    fn step(&mut self) -> Vec<Action> {
        self.now = self.now + STEP;
        while let Some(write) = self.cell.take_write(self.now) {
            self.cell.on_segment_written(write.sequence, self.now);
        }
        self.cell.tick(self.now, WALL_MS + self.now.0);
        self.cell.take_actions()
    }

    fn adopt_workers(&mut self) {
        for action in self.step() {
            if let Action::Hold { worker, .. } = action {
                let now = self.now;
                self.cell.on_hold_answer(&worker, now, Some(report(now, &[], &[])), now);
            }
        }
    }

    /// The run that is ordered in the next moments.
    fn next_start(&mut self) -> Option<RunId> {
        let started = |action| match action {
            Action::Start(worker, order) => {
                Some(RunId { task: order.task, attempt: order.attempt, worker })
            }
            _ => None,
        };
        (0..3).find_map(|_| self.step().into_iter().find_map(started))
    }

    /// The highest number of an end that the holds of the next moments confirm at the worker.
    fn confirmed(&mut self) -> u64 {
        let id = self.run.worker.clone();
        let number = |action: &Action| match action {
            Action::Hold { worker, last_seen, .. } if *worker == id => Some(*last_seen),
            _ => None,
        };
        let holds = self.step().into_iter().chain(self.step());
        holds.filter_map(|action| number(&action)).max().unwrap_or_default()
    }

    /// Lets the worker answer all holds that are under way, as if they had been sent at `sent`.
    fn list(&mut self, sent: Timestamp, running: &[ListedRun], ends: &[RunEnd]) {
        let (id, now) = (self.run.worker.clone(), self.now);
        for _ in 0..self.cell.workers[&id].holds_in_flight.max(1) {
            self.cell.on_hold_answer(&id, sent, Some(report(now, running, ends)), now);
        }
    }

    fn on_copies_answered(&mut self) {
        let RunId { task, attempt, worker } = self.run.clone();
        self.cell.on_start_copies_answered(&worker, (task, attempt), self.now);
    }

    fn listed_run(&self) -> ListedRun {
        ListedRun {
            task: self.run.task,
            attempt: self.run.attempt,
            checkpoint: None,
            progress_percent: 100,
            tail_ms_or_cpu: 0,
        }
    }

    /// The end of the run, the first one of its worker.
    fn end(&self, kind: EndKind) -> RunEnd {
        let RunId { task, attempt, .. } = self.run;
        RunEnd { number: 1, task, attempt, kind, checkpoint: None }
    }

    /// Lets no task start on the worker of the order.
    fn drain(&mut self) {
        let id = self.run.worker.clone();
        self.cell.set_drains(IndexMap::from([(id, DrainMode::WaitForRuns)]));
    }
}

/// An answer of a worker whose clock shows the same time as the owner's.
fn report(now: Timestamp, running: &[ListedRun], ends: &[RunEnd]) -> HoldReport {
    HoldReport {
        clock_ms: now.0,
        started_wall_ms: 1,
        running: running.to_vec(),
        ends: ends.to_vec(),
        is_complete: true,
    }
}

#[test]
fn an_order_is_open_until_a_list_that_is_asked_for_after_its_last_answer() {
    let mut fixture = Fixture::new(false);
    let (asked, listed) = (fixture.now, [fixture.listed_run()]);
    fixture.step();
    fixture.on_copies_answered();

    fixture.list(asked, &listed, &[]);
    let after_earlier_list = fixture.cell.open_starts(fixture.now);
    fixture.step();
    fixture.list(fixture.now, &listed, &[]);

    assert_eq!(after_earlier_list, 1);
    assert_eq!(fixture.cell.open_starts(fixture.now), 0);
}

#[test]
fn the_end_of_a_run_is_confirmed_once_all_copies_of_its_order_are_answered() {
    let mut fixture = Fixture::new(false);
    let end = [fixture.end(EndKind::Done)];
    fixture.step();
    fixture.list(fixture.now, &[], &end);
    let before = fixture.confirmed();
    let asked = fixture.now;
    fixture.on_copies_answered();
    fixture.list(asked, &[], &end);
    let after_earlier_list = fixture.confirmed();

    fixture.list(fixture.now, &[], &end);

    assert_eq!((before, after_earlier_list), (0, 0));
    assert_eq!(fixture.confirmed(), 1);
}

#[test]
fn a_stopped_task_starts_elsewhere_once_all_copies_of_its_order_are_answered() {
    for is_long_running in [false, true] {
        let mut fixture = Fixture::new(is_long_running);
        fixture.drain();
        let end = [fixture.end(EndKind::Stopped)];
        fixture.step();
        fixture.list(fixture.now, &[], &end);
        let before = fixture.next_start();
        fixture.on_copies_answered();
        let unlisted = fixture.next_start();

        fixture.list(fixture.now, &[], &end);

        assert_eq!((before, unlisted), (None, None), "{is_long_running}");
        let start = fixture.next_start().map(|run| run.worker != fixture.run.worker);
        assert_eq!(start, Some(true), "{is_long_running}");
    }
}

/// Guards against an end that waits until the next hold is due.
#[test]
fn a_list_is_asked_for_at_once_while_the_end_of_an_answered_order_waits() {
    let mut fixture = Fixture::new(false);
    let end = [fixture.end(EndKind::Done)];
    fixture.step();
    fixture.list(fixture.now, &[], &end);
    // A hold is under way that was asked for before the last answer.
    fixture.step();

    fixture.on_copies_answered();
    fixture.cell.tick(fixture.now, WALL_MS + fixture.now.0);

    let id = &fixture.run.worker;
    let is_hold = |action: &Action| matches!(action, Action::Hold { worker, .. } if worker == id);
    assert!(fixture.cell.take_actions().iter().any(is_hold));
}

/// A list that is cut off, or overtaken by one that was read before, doesn't tell what has come of the copies.
#[test]
fn only_a_complete_list_that_is_the_newest_closes_an_order() {
    let mut fixture = Fixture::new(false);
    let (id, listed) = (fixture.run.worker.clone(), [fixture.listed_run()]);
    fixture.step();
    fixture.list(fixture.now, &listed, &[]);
    fixture.on_copies_answered();
    let latest_clock_ms = fixture.now.0;
    let now = fixture.now + Span(1);
    let list = report(now, &listed, &[]);
    let cut_off = HoldReport { is_complete: false, ..list.clone() };
    let overtaken = HoldReport { clock_ms: latest_clock_ms - 1, ..list.clone() };

    let open = [overtaken, cut_off, list].map(|report| {
        fixture.cell.on_hold_answer(&id, now, Some(report), now);
        fixture.cell.open_starts(now)
    });

    assert_eq!(open, [1, 1, 0]);
}

/// The list is of another instance then, in which a copy has begun the run anew.
#[test]
fn a_list_that_shows_a_run_after_its_end_closes_no_order() {
    let mut fixture = Fixture::new(false);
    fixture.on_copies_answered();
    fixture.step();
    let list = report(fixture.now, &[fixture.listed_run()], &[]);
    let RunId { task, attempt, worker } = fixture.run;
    let worker = &mut fixture.cell.workers[&worker];
    worker.record_ended_attempt(task, attempt);

    let closed_by_run = worker.take_answered_orders(&list, fixture.now).len();
    let none = report(fixture.now, &[], &[]);
    let closed_without = worker.take_answered_orders(&none, fixture.now).len();

    assert_eq!((closed_by_run, closed_without), (0, 1));
}
