//! The longest time that a task waits for its next start order, over drawn histories of owners that are lost and
//! workers that fall silent, answer rarely, restart, leave the store or stay listed.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use teaselgap_core::{
    Span, Timestamp,
    job::{EndKind, JobId, JobState, LogEvent, TaskId},
};
use teaselgap_standins::model::Model;

use super::{AWAY_MS, inherited_bound, longest_lease};
use crate::fixtures::{job_spec, long_running_job, new_model, queue, state, step, task_id};

/// The number of workers. The first two answer all calls, and have room for all tasks.
const WORKERS: usize = 5;

/// The first worker that may be in trouble.
const FIRST_TROUBLED: usize = 2;

/// A duration that exceeds every history, in milliseconds.
const FOREVER_MS: u64 = 600_000;

/// The job of the tasks that last.
const LASTING: JobId = JobId(1);

/// Number of tasks that last.
const LASTING_TASKS: u32 = 3;

/// Number of tasks of each short job.
const SHORT_TASKS: u32 = 4;

/// The first of the jobs with short tasks.
const FIRST_SHORT: u64 = 100;

/// The longest time after which the owner counts on an unanswered order, in milliseconds.
const ORDER_LIFETIME_MS: u64 = 15_000;

/// The longest time from an order until its owner has its outcome, with that of its second copy, in milliseconds.
const UNDER_WAY_MS: u64 = 1_000;

/// How long each history goes on after its last trouble, in milliseconds.
const END_MS: u64 = 40_000;

/// What happens to one of the workers, or to the owner. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// The worker is cut off from the owner and the store for good.
    Silent(usize),
    /// The worker is cut off from the owners for good, and keeps its entry.
    StaysListed(usize),
    /// The worker ends for good, and leaves the store.
    Leaves(usize),
    /// The worker carries out all calls and answers one in three.
    AnswersRarely(usize),
    /// The worker restarts now, and goes on to restart, each time after this long, until this time has passed.
    Restarts(usize, u64, u64),
    /// The owner is lost, and another node claims the cell after this time.
    OwnerLost(u64),
    /// The owner gives up and claims the cell again, and reads the log for this time.
    OwnerReturns(u64),
    /// The owner hands the cell over.
    HandsOver,
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let worker = || FIRST_TROUBLED..WORKERS;
    prop_oneof![
        2 => worker().prop_map(Trouble::Silent),
        2 => worker().prop_map(Trouble::StaysListed),
        1 => worker().prop_map(Trouble::Leaves),
        2 => worker().prop_map(Trouble::AnswersRarely),
        4 => (worker(), 50_u64..1_000, 0_u64..25_000)
            .prop_map(|(worker, life, until)| Trouble::Restarts(worker, life, until)),
        4 => (0_u64..2_500).prop_map(Trouble::OwnerLost),
        1 => (0_u64..1_000).prop_map(Trouble::OwnerReturns),
        1 => Just(Trouble::HandsOver),
    ]
}

/// Time before a trouble, in milliseconds. Several often come at once.
fn pause() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0_u64), 0_u64..2_500]
}

/// A model whose tasks are watched.
struct Watch {
    model: Model,
    claimed: Timestamp,
    /// Since when each open task has had no run.
    idle_since: BTreeMap<TaskId, Timestamp>,
    /// Until when an order of each task may be carried out, and what it has begun may run.
    open_until: BTreeMap<TaskId, Timestamp>,
    /// When the latest order for each task was given.
    ordered_at: BTreeMap<TaskId, Timestamp>,
    /// Tasks whose end as done an owner has read.
    done: BTreeSet<TaskId>,
    /// Tasks that pause because they have lost several workers.
    paused: BTreeSet<TaskId>,
    events_seen: usize,
    short_jobs: u64,
    /// The workers that restart, each with when it does so next, after how long again, and until when.
    restarting: BTreeMap<usize, (Timestamp, Span, Timestamp)>,
    late: Vec<String>,
}

impl Watch {
    fn new() -> Self {
        let mut model = new_model(WORKERS);
        model.submit(LASTING, &queue(), long_running_job(LASTING_TASKS, 1));
        Self {
            claimed: model.now(),
            model,
            idle_since: BTreeMap::new(),
            open_until: BTreeMap::new(),
            ordered_at: BTreeMap::new(),
            done: BTreeSet::new(),
            paused: BTreeSet::new(),
            events_seen: 0,
            short_jobs: 0,
            restarting: BTreeMap::new(),
            late: Vec::new(),
        }
    }

    fn submit_short(&mut self, ms: u64) {
        let id = JobId(FIRST_SHORT + self.short_jobs);
        self.short_jobs += 1;
        self.model.submit(id, &queue(), job_spec(vec![step(SHORT_TASKS, 1_000, ms)]));
    }

    fn tasks(&self) -> impl Iterator<Item = TaskId> + use<> {
        let lasting = (0..LASTING_TASKS).map(|index| task_id(LASTING, index));
        let short = FIRST_SHORT..FIRST_SHORT + self.short_jobs;
        let of_job = |id| (0..SHORT_TASKS).map(move |index| task_id(JobId(id), index));
        lasting.chain(short.flat_map(of_job))
    }

    /// Lets the time pass, and notes the tasks that have no run for too long.
    fn run_for(&mut self, ms: u64) {
        let end = self.model.now() + Span(ms);
        while self.model.now() < end {
            self.model.run_for(10);
            self.restart_workers();
            self.note_events();
            for task in self.tasks() {
                self.check(task);
            }
        }
    }

    fn restart_workers(&mut self) {
        let now = self.model.now();
        self.restarting.retain(|_, (next, _, until)| *next <= *until);
        for (worker, (next, interval, _)) in &mut self.restarting {
            if now >= *next {
                *next = now + *interval;
                let wall_ms = self.model.wall_ms();
                self.model.restart_worker_at(&format!("w{worker}"), wall_ms, AWAY_MS);
            }
        }
    }

    fn note_events(&mut self) {
        let now = self.model.now();
        for event in &self.model.log_events()[self.events_seen..] {
            match event {
                LogEvent::StartOpen { run, left, .. } => {
                    let until = now + *left + longest_lease();
                    let known = self.open_until.entry(run.task).or_insert(until);
                    *known = until.max(*known);
                }
                LogEvent::Placed { step, tasks, .. } => {
                    let of_index = |index| TaskId { index, ..task_id(step.job, 0) };
                    let ordered = tasks.iter().map(|placed| (of_index(placed.index), now));
                    self.ordered_at.extend(ordered);
                }
                LogEvent::TaskPaused { task, .. } => {
                    self.paused.insert(*task);
                }
                LogEvent::Ended { run, how: EndKind::Done, .. } => {
                    self.done.insert(run.task);
                }
                _ => {}
            }
        }
        self.events_seen = self.model.log_events().len();
    }

    fn check(&mut self, task: TaskId) {
        let now = self.model.now();
        let is_running = self.model.workers().any(|worker| worker.is_running(task));
        let is_over = matches!(state(&self.model, task.job), None | Some(JobState::Ended(_)));
        let is_over = is_over && self.model.cell().is_some() || self.done.contains(&task);
        if is_running || is_over {
            self.idle_since.remove(&task);
            return;
        }
        let since = *self.idle_since.entry(task).or_insert(now);
        let open_until = self.open_until.get(&task).copied().unwrap_or_default();
        let latest = since.max(self.claimed).max(open_until) + inherited_bound();
        let is_checked = self.model.cell().is_some() && !self.paused.contains(&task);
        if is_checked && now > latest {
            let (started, claimed) = (self.model.start_count(task), self.claimed);
            let late = format!(
                "{now} {task} idle since {since}, claimed {claimed}, open until {open_until}, {started} starts"
            );
            self.late.push(late);
            self.idle_since.insert(task, now + Span(FOREVER_MS));
        }
    }

    /// Notes that the owner ends, after which its orders under way count as open.
    fn note_owner_end(&mut self) {
        let now = self.model.now();
        let is_under_way = |(_, at): &(&TaskId, &Timestamp)| now.since(**at) <= Span(UNDER_WAY_MS);
        for (task, _) in self.ordered_at.iter().filter(is_under_way) {
            let until = now + Span(ORDER_LIFETIME_MS) + longest_lease();
            self.open_until.insert(*task, until);
        }
    }

    /// Notes that an owner has claimed the cell, which counts what is left of open orders from its reading.
    fn note_claim(&mut self, since: Timestamp) {
        let now = self.model.now();
        self.claimed = now;
        for until in self.open_until.values_mut().filter(|until| **until > since) {
            *until = *until + now.since(since);
        }
    }

    fn apply(&mut self, trouble: Trouble) {
        let name = |worker: usize| format!("w{worker}");
        let began = self.model.now();
        match trouble {
            Trouble::Silent(worker) => {
                self.model.worker_mut(&name(worker)).partition_for(began, FOREVER_MS);
            }
            Trouble::StaysListed(worker) => {
                self.model.keep_entry(&name(worker), FOREVER_MS);
                self.model.make_unreachable(&name(worker), FOREVER_MS);
            }
            Trouble::Leaves(worker) => self.model.lose_worker(&name(worker)),
            Trouble::AnswersRarely(worker) => self.model.answer_one_in(&name(worker), 3),
            Trouble::Restarts(worker, life_ms, for_ms) => {
                let restarts = (began, Span(AWAY_MS + life_ms), began + Span(for_ms));
                self.restarting.insert(worker, restarts);
                self.restart_workers();
            }
            Trouble::OwnerLost(ms) => {
                self.note_owner_end();
                self.model.kill_owner();
                self.run_for(ms);
                self.model.take_over();
                self.note_claim(began);
            }
            Trouble::OwnerReturns(ms) => {
                self.note_owner_end();
                self.model.give_up();
                self.run_for(ms);
                self.model.take_over_again(ms);
                self.note_claim(began);
            }
            Trouble::HandsOver => {
                self.note_owner_end();
                self.model.hand_over();
                self.model.take_over();
                self.note_claim(began);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// From the end of the last run of a task, from the latest claim or, where a copy of an order got no answer, from
    /// the time at which what it has begun has ended, no task waits for longer than the bound for its next run.
    #[test]
    fn no_task_waits_for_an_answer_that_never_comes(
        troubles in prop::collection::vec((trouble(), pause(), 300_u64..4_000), 1..7),
    ) {
        let mut watch = Watch::new();
        watch.run_for(500);

        for (trouble, pause_ms, task_ms) in troubles {
            watch.submit_short(task_ms);
            watch.run_for(pause_ms);
            watch.apply(trouble);
        }
        watch.run_for(END_MS);

        prop_assert_eq!(watch.late, [] as [&str; 0]);
    }
}

/// An owner that hands over while a worker is silent that has restarted several times.
#[test]
fn inherited_jobs_do_not_wait_after_a_handover_for_a_silent_worker_that_has_restarted() {
    let mut watch = Watch::new();
    watch.run_for(500);
    let troubles = [
        (Trouble::Restarts(2, 50, 3_071), 0),
        (Trouble::StaysListed(2), 917),
        (Trouble::HandsOver, 0),
    ];

    for (trouble, pause_ms) in troubles {
        watch.submit_short(3_300);
        watch.run_for(pause_ms);
        watch.apply(trouble);
    }
    watch.run_for(END_MS);

    assert_eq!(watch.late, [] as [&str; 0]);
}
