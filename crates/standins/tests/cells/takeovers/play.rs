//! Plays a history, and lets the judge watch.

use indexmap::IndexMap;
use teaselgap_core::{
    Epoch, Span, Timestamp,
    job::{JobId, TaskId},
};
use teaselgap_standins::model::{Model, OWNER_TTL, StrayOrders, WorkerFaults};

use super::{
    LONGEST_LEASE_MS,
    history::{Change, End, FIRST_TROUBLED, FOREVER_MS, Fate, History, SPARES, WORKERS},
    judge::Judge,
};
use crate::fixtures::{
    job_spec, long_running_job, queue, queue_config, service, step, task_id, worker,
};

/// The job of the tasks that last.
const LASTING: JobId = JobId(1);

/// Number of tasks that last.
const LASTING_TASKS: u32 = 6;

/// Number of tasks of each short job.
const SHORT_TASKS: u32 = 3;

/// The first of the jobs with short tasks.
const FIRST_SHORT: u64 = 100;

/// How long each history goes on after its last trouble, in milliseconds.
const CALM_MS: u64 = 15_000;

/// How often the judge looks, in milliseconds.
const LOOK_MS: u64 = 10;

/// A model with the judge of its tasks.
pub(crate) struct Play {
    pub model: Model,
    pub judge: Judge,
    is_store_available: bool,
    short_jobs: u64,
    spares_used: usize,
    /// Workers that begin, each with when it does so.
    births: Vec<(Timestamp, String)>,
    /// What comes to workers, the next one last.
    fates: Vec<(Timestamp, usize, Fate)>,
    /// When the nodes of ended terms die.
    deaths: Vec<Timestamp>,
    epoch: Epoch,
}

fn name(worker: usize) -> String {
    format!("w{worker}")
}

/// Plays a history until all its waits are over.
pub(crate) fn play(history: &History) -> Play {
    let mut play = Play::new();
    play.begin(history);
    for change in &history.changes {
        play.apply(*change);
    }
    play.run_for(CALM_MS);
    play
}

/// The longest time for which a worker holds an answer back that runs only tasks that last, and the pause between
/// two holds.
const HOLD_WAIT: Span = Span(1_060);

impl Play {
    fn new() -> Self {
        let queues = IndexMap::from([(queue(), queue_config())]);
        let workers = (0..WORKERS + SPARES).map(worker).collect();
        let mut model = Model::new(service(), queues, workers);
        model.set_longest_lease(LONGEST_LEASE_MS);
        model.count_every_start();
        model.allow_stray_orders(StrayOrders::OfEarlierOwners);
        for spare in WORKERS..WORKERS + SPARES {
            model.lapse_entry(&name(spare), FOREVER_MS);
        }
        // That of the second owner.
        let epoch = Epoch(2);
        Self {
            judge: Judge::new(epoch, model.now()),
            model,
            is_store_available: true,
            short_jobs: 0,
            spares_used: 0,
            births: Vec::new(),
            fates: Vec::new(),
            deaths: Vec::new(),
            epoch,
        }
    }

    /// Submits the jobs, once no owner of before can give orders, and lets the fates come.
    fn begin(&mut self, history: &History) {
        // The first owner was created before the longest lease was set.
        self.model.kill_owner();
        self.model.take_over();
        self.run_for(OWNER_TTL.0 + 500);
        self.model.submit(LASTING, &queue(), long_running_job(LASTING_TASKS, LASTING_TASKS));
        self.run_for(2_000);
        for ms in &history.short_ms {
            let id = JobId(FIRST_SHORT + self.short_jobs);
            self.short_jobs += 1;
            self.model.submit(id, &queue(), job_spec(vec![step(SHORT_TASKS, 1_000, *ms)]));
        }
        let now = self.model.now();
        self.fates = history
            .fates
            .iter()
            .map(|(at, worker, fate)| (now + Span(*at), *worker, *fate))
            .collect();
        self.fates.sort_by_key(|(at, ..)| std::cmp::Reverse(*at));
    }

    fn tasks(&self) -> Vec<TaskId> {
        let lasting = (0..LASTING_TASKS).map(|index| task_id(LASTING, index));
        let short = FIRST_SHORT..FIRST_SHORT + self.short_jobs;
        let of_job = |id| (0..SHORT_TASKS).map(move |index| task_id(JobId(id), index));
        lasting.chain(short.flat_map(of_job)).collect()
    }

    /// The number of tasks that last and have started more than once.
    pub(crate) fn started_again(&self) -> usize {
        let starts = |index: &u32| self.model.start_count(task_id(LASTING, *index));
        (0..LASTING_TASKS).filter(|index| starts(index) > 1).count()
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.model.now() + Span(ms);
        while self.model.now() < end {
            self.model.run_for(LOOK_MS.min(end.since(self.model.now()).0));
            self.bring_fates();
            let tasks = self.tasks();
            self.judge.judge(&self.model, self.is_store_available, (LASTING, tasks));
        }
    }

    fn bring_fates(&mut self) {
        let now = self.model.now();
        while let Some((_, worker, fate)) = self.fates.pop_if(|(at, ..)| *at <= now) {
            self.bring(worker, fate);
        }
        for (_, born) in self.births.extract_if(.., |(at, _)| *at <= now) {
            self.model.lapse_entry(&born, 0);
        }
        for _ in self.deaths.extract_if(.., |at| *at <= now) {
            self.model.lose_ended_owners();
            self.judge.note_deaths(now);
        }
    }

    fn bring(&mut self, worker: usize, fate: Fate) {
        assert!(worker >= FIRST_TROUBLED);
        let (now, id) = (self.model.now(), name(worker));
        let model = &mut self.model;
        let away_ms = match fate {
            Fate::Silent(ms) => {
                model.worker_mut(&id).partition_for(now, ms);
                ms
            }
            Fate::StaysListed(ms) => {
                model.keep_entry(&id, ms);
                model.make_unreachable(&id, ms);
                ms
            }
            Fate::Lost => {
                model.lose_worker(&id);
                FOREVER_MS
            }
            Fate::Reborn(ms) => {
                model.lose_worker(&id);
                if self.spares_used < SPARES {
                    self.births.push((now + Span(ms), name(WORKERS + self.spares_used)));
                    self.spares_used += 1;
                }
                FOREVER_MS
            }
            Fate::Restarts(ms) => {
                let wall_ms = model.wall_ms();
                model.restart_worker_at(&id, wall_ms, ms);
                ms
            }
            Fate::AnswersLate(calls, late_ms) => {
                let faults = WorkerFaults {
                    late_orders: calls,
                    late_holds: calls,
                    late_ms,
                    ..WorkerFaults::default()
                };
                model.set_faults(&id, faults);
                return;
            }
        };
        // An answer that the worker holds back still comes, and renews the lease once more.
        let heard_for = if matches!(fate, Fate::StaysListed(_)) { HOLD_WAIT } else { Span(0) };
        self.judge.note_absence(&id, now + heard_for, now + Span(away_ms));
    }

    fn set_store_available(&mut self, is_available: bool) {
        if is_available && !self.is_store_available {
            self.judge.note_store_back(self.model.now());
        }
        self.is_store_available = is_available;
        self.model.set_store_available(is_available);
    }

    fn take_over(&mut self, claim: impl Fn(&mut Model)) {
        self.epoch = Epoch(self.epoch.0 + 1);
        self.judge.note_claim(self.epoch, self.model.now());
        claim(&mut self.model);
    }

    fn apply(&mut self, change: Change) {
        let Change { life_ms, silent_ms, end, gap_ms } = change;
        self.run_for(life_ms);
        if silent_ms > 0 && end != End::HandsOver {
            self.set_store_available(false);
            self.run_for(silent_ms);
        }
        let now = self.model.now();
        match end {
            End::HandsOver => self.model.hand_over(),
            End::LostLease | End::ClaimsAgain => self.model.end_owner_term(),
            End::DiesLater(ms) => {
                self.model.end_owner_term();
                self.deaths.push(now + Span(ms));
            }
            End::Dies | End::Restarts => self.model.kill_owner(),
            End::CutOff(afterlife) => self.model.cut_off_owner(afterlife),
        }
        self.judge.note_end(now, end);
        self.set_store_available(true);
        self.run_for(gap_ms);
        match end {
            End::Restarts => self.take_over(Model::take_over_after_restart),
            End::ClaimsAgain => self.take_over(|model| model.take_over_again(0)),
            _ => self.take_over(Model::take_over),
        }
    }
}
