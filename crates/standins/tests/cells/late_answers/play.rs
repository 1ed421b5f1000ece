//! Plays drawn histories, and notes what takes too long.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use indexmap::{IndexMap, IndexSet};
use teaselgap_core::{
    Span, Timestamp,
    job::{DrainMode, EndKind, JobId, JobSpec, JobState, LogEvent, Step, TaskId, WorkerId},
};
use teaselgap_standins::model::{CallKind, Fate, Model};

use super::history::{Course, Event, History, Path, Rebirth, Short, WORKERS};
use crate::fixtures::{
    job_spec, long_running_job, new_model_with_link, queue, state, step, task_id,
};

/// The job of the tasks that last.
const LASTING: JobId = JobId(1);

/// Number of tasks that last.
const LASTING_TASKS: u32 = 4;

/// The first of the jobs of short tasks.
const FIRST_SHORT: u64 = 100;

/// Time limit of a call, within which each copy of an order is answered or counts as unanswered, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 600;

/// The longest time from an answer of a worker with an open order until the next list is asked for, in
/// milliseconds.
const HOLD_INTERVAL_MS: u64 = 250;

/// The longest time for which a list may wait at a worker that runs only tasks that last, in milliseconds.
const HOLD_WAIT_MS: u64 = 1_000;

/// Time for which messages may wait for each other in the link, and until the next tick, in milliseconds.
const TRANSIT_MS: u64 = 100;

/// Time from what ends a wait until the next run begins, in milliseconds: a question, the plan and the order.
const PLAN_MS: u64 = 800;

/// How long a history goes on after its last event, in milliseconds.
const END_MS: u64 = 8_000;

/// Number of answers of each worker whose times are drawn, more than there are in a history.
const DRAWN_ANSWERS: usize = 8_000;

/// Number of the tasks that are ordered before a worker restarts.
const REBORN_TASKS: u32 = 5;

/// Time from an order within which the answer to a copy comes while the owner waits, in milliseconds.
const AWAITED_MS: u64 = 480;

/// How often the model is looked at, in milliseconds: at each tick of the owner.
const LOOK_MS: u64 = 5;

impl Path {
    /// How late the answers of a worker are, in milliseconds.
    fn delays(&self, worker: usize) -> impl Iterator<Item = u64> + use<> {
        let Self { late_ms, late_percent, seed, .. } = *self;
        let mut drawn = (seed ^ worker as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut draw = move || {
            drawn ^= drawn << 13;
            drawn ^= drawn >> 7;
            drawn ^= drawn << 17;
            drawn >> 8
        };
        let delays = std::iter::repeat_with(move || {
            if draw() % 100 < late_percent { draw() % (late_ms + 1) } else { 0 }
        });
        delays.take(DRAWN_ANSWERS)
    }

    /// The longest time after which an order is closed that was answered once: each copy that was sent has been
    /// answered, the list that was asked for before has come, and so has the next one. While the run goes on, nothing
    /// waits for that, so that both lists may wait at the worker.
    fn settled(&self) -> Span {
        let list_ms = HOLD_WAIT_MS + self.late_ms;
        Span(CALL_TIMEOUT_MS + HOLD_INTERVAL_MS + 2 * list_ms + TRANSIT_MS)
    }

    /// The longest time from the end of a run until the next one begins: the order of the ended one is closed, its end
    /// is read, and the task is planned.
    fn away(&self) -> Span {
        Span(CALL_TIMEOUT_MS + 2 * self.late_ms + PLAN_MS + TRANSIT_MS)
    }
}

/// A history that was played.
pub(super) struct Play {
    pub(super) history: History,
    pub(super) model: Model,
    /// Since when each open task that has run has no run.
    idle_since: BTreeMap<TaskId, Timestamp>,
    /// Tasks that have run.
    begun: BTreeSet<TaskId>,
    /// Tasks whose end as done the owner has read.
    done: BTreeSet<TaskId>,
    /// When orders were answered of which another copy was still to be answered.
    answered: VecDeque<Timestamp>,
    drains: IndexMap<WorkerId, DrainMode>,
    short_jobs: Vec<Short>,
    events_seen: usize,
    /// Number of orders that were answered while another copy was still to be answered.
    pub(super) crossed: usize,
    /// Number of orders that counted as unanswered.
    pub(super) unanswered: usize,
    /// Number of runs that the owner has stopped.
    pub(super) stopped: usize,
    /// The longest time for which a task was away.
    pub(super) longest_away: Span,
    /// When more orders were open than can be.
    pub(super) open: Vec<String>,
    /// Tasks that were away for too long.
    pub(super) away: Vec<String>,
}

/// Plays a history to its end.
pub(super) fn play(history: History) -> Play {
    let events = history.events.clone();
    let mut play = Play::new(history);
    for (short, pause_ms, event) in events {
        play.submit(short);
        play.run_for(pause_ms);
        play.apply(event);
    }
    play.run_for(END_MS);
    play
}

impl Play {
    fn new(history: History) -> Self {
        let path = history.path;
        let mut model = new_model_with_link(WORKERS, path.link_mbps);
        model.let_copies_cross();
        for worker in 0..WORKERS {
            model.delay_answers(&format!("w{worker}"), path.delays(worker));
        }
        if let Some(max_unavailable) = history.max_unavailable {
            let lasting = long_running_job(LASTING_TASKS, max_unavailable);
            model.submit(LASTING, &queue(), JobSpec { payload: payload(path), ..lasting });
        }
        Self {
            history,
            model,
            idle_since: BTreeMap::new(),
            begun: BTreeSet::new(),
            done: BTreeSet::new(),
            answered: VecDeque::new(),
            drains: IndexMap::new(),
            short_jobs: Vec::new(),
            events_seen: 0,
            crossed: 0,
            unanswered: 0,
            stopped: 0,
            longest_away: Span(0),
            open: Vec::new(),
            away: Vec::new(),
        }
    }

    fn submit(&mut self, short: Short) {
        let id = JobId(FIRST_SHORT + self.short_jobs.len() as u64);
        let step =
            Step { checkpoints: short.saves_checkpoints, ..step(short.tasks, 1_000, short.ms) };
        let spec = JobSpec { payload: payload(self.history.path), ..job_spec(vec![step]) };
        self.model.submit(id, &queue(), spec);
        self.short_jobs.push(short);
    }

    fn apply(&mut self, event: Event) {
        let name = |worker: usize| format!("w{worker}");
        match event {
            Event::Drain(worker, mode) => {
                self.drains.insert(name(worker).as_str().into(), mode);
            }
            Event::EndDrains => self.drains.clear(),
            Event::Leaves(worker, ms) => self.model.announce_leave(&name(worker), ms),
            Event::Stays(worker) => {
                let entry = &mut self.model.worker_mut(&name(worker)).entry;
                (entry.is_draining, entry.leaves_in) = (false, None);
            }
            Event::Cancel => {
                let latest = FIRST_SHORT + self.short_jobs.len() as u64 - 1;
                self.model.cancel(JobId(latest));
            }
            Event::Nothing => {}
            Event::Reborn(worker, birth) => self.bear_again(&name(worker), birth),
        }
        self.set_drains();
    }

    fn set_drains(&mut self) {
        let drains = self.drains.clone();
        self.model.cell_mut().expect("an owner").set_drains(drains);
    }

    /// Submits a job and lets a worker restart while copies of its orders are under way.
    fn bear_again(&mut self, id: &str, birth: Rebirth) {
        let began = self.model.now();
        self.model.count_every_start();
        self.drains.shift_remove(id);
        self.set_drains();
        let drained_after = birth.drained_after.unwrap_or(0);
        let comes_at =
            began + Span(drained_after + birth.restarts_after + birth.away + birth.comes_after);
        let copies = birth.copies.map(|course| fate(course, began, comes_at));
        self.model.script_fates(id, CallKind::Start, &copies);
        self.model.script_fates(id, CallKind::Stop, &[fate(birth.stop, began, comes_at)]);
        self.submit(Short { tasks: REBORN_TASKS, ms: birth.task_ms, saves_checkpoints: false });
        self.run_for(drained_after);
        if birth.drained_after.is_some() {
            self.drains.insert(id.into(), DrainMode::StopAll);
            self.set_drains();
        }
        self.run_for(birth.restarts_after);
        let started = self.model.worker_mut(id).entry.started_wall_ms;
        let wall_ms = if birth.has_same_start { started } else { self.model.wall_ms() };
        self.model.worker_mut(id).next_clock = Some(birth.clock);
        self.model.restart_worker_at(id, wall_ms, birth.away);
        self.model.drop_fates(id);
    }

    /// Lets the time pass, and judges what is open or away.
    fn run_for(&mut self, ms: u64) {
        let end = self.model.now() + Span(ms);
        while self.model.now() < end {
            let now = self.model.now();
            let to_tick = LOOK_MS - now.0 % LOOK_MS;
            self.model.run_for(to_tick.min(end.since(now).0));
            self.note_events();
            // The cell tells what it has logged at each tick.
            if self.model.now().0.is_multiple_of(LOOK_MS) {
                self.check_orders();
            }
            let running = self.running();
            for task in self.tasks() {
                self.check_task(task, running.contains(&task));
            }
        }
    }

    fn tasks(&self) -> Vec<TaskId> {
        let lasting = (0..LASTING_TASKS).map(|index| task_id(LASTING, index));
        let short = (FIRST_SHORT..).zip(&self.short_jobs);
        let short = short
            .flat_map(|(id, short)| (0..short.tasks).map(move |index| task_id(JobId(id), index)));
        lasting.chain(short).collect()
    }

    fn running(&self) -> IndexSet<TaskId> {
        let is_running =
            |task: &TaskId| self.model.workers().any(|worker| worker.is_running(*task));
        self.tasks().into_iter().filter(is_running).collect()
    }

    fn note_events(&mut self) {
        for event in &self.model.log_events()[self.events_seen..] {
            match event {
                LogEvent::StartOpen { is_answered: true, .. } => {
                    self.crossed += 1;
                    self.answered.push_back(self.model.now());
                }
                LogEvent::StartOpen { .. } => self.unanswered += 1,
                LogEvent::Stopping { .. } => self.stopped += 1,
                LogEvent::Ended { run, how: EndKind::Done, .. } => {
                    self.done.insert(run.task);
                }
                _ => {}
            }
        }
        self.events_seen = self.model.log_events().len();
    }

    /// Notes whether more orders are open than were answered so lately that a copy may have to be waited for.
    fn check_orders(&mut self) {
        let now = self.model.now();
        let settled = self.history.path.settled();
        while self.answered.front().is_some_and(|at| now > *at + settled) {
            self.answered.pop_front();
        }
        let open = self.model.cell().map_or(0, |cell| cell.open_starts(now));
        if open > self.answered.len() {
            let late = self.answered.len();
            self.open.push(format!("{now}: {open} orders open, {late} answered in {settled}"));
        }
    }

    fn check_task(&mut self, task: TaskId, is_running: bool) {
        let now = self.model.now();
        let is_over = matches!(state(&self.model, task.job), None | Some(JobState::Ended(_)));
        if is_running {
            self.begun.insert(task);
        }
        if is_running || is_over || self.done.contains(&task) || !self.begun.contains(&task) {
            if let Some(since) = self.idle_since.remove(&task).filter(|_| is_running) {
                self.longest_away = self.longest_away.max(now.since(since));
            }
            return;
        }
        let since = *self.idle_since.entry(task).or_insert(now);
        let latest = since + self.history.path.away();
        if now > latest && now <= latest + Span(LOOK_MS) {
            self.away.push(format!("{now}: {task} away since {since}"));
        }
    }
}

/// The fate of a call that was sent soon after `began`.
fn fate(course: Course, began: Timestamp, comes_at: Timestamp) -> Fate {
    match course {
        Course::Answered => Fate::Answered,
        Course::AnswerLost => Fate::AnswerLost,
        Course::CallLost => Fate::CallLost,
        Course::Next if comes_at < began + Span(AWAITED_MS) => Fate::Slow(comes_at),
        Course::Next => Fate::Late(comes_at),
    }
}

fn payload(path: Path) -> String {
    "x".repeat(path.payload_bytes)
}
