//! A property test: whatever the instances of a worker call themselves, and in whatever order entries
//! and answers arrive, each counts as what it is.

use proptest::prelude::*;
use teaselgap_core::{Span, Timestamp, job::WorkerEntry};
use teaselgap_standins::model::{ClockDraw, Model};

use super::{clock_draw, report, restart_count};
use crate::fixtures::{new_model, worker};

/// The longest time after the end of an instance at which an entry of its may appear in the store.
const LATE_WRITE_LIFETIME: Span = Span(10_000);

/// What the second instance calls itself.
const SECOND_NAME: u64 = 1_000;

/// The shortest pause between two steps, in milliseconds.
const PAUSE_MS: u64 = 60;

/// What happens next, after a pause in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The worker restarts and calls its new instance this, unless one of its had that name. Its clock
    /// starts anywhere.
    Restart(u64, ClockDraw),
    /// The living instance answers at once.
    Answer,
    /// The last answer of this many instances ago arrives.
    LateAnswer(usize),
    /// A hold gets no answer.
    NoAnswer,
    /// The store lists the entry of this many instances ago.
    Entry(usize),
}

fn step() -> impl Strategy<Value = (Step, u64)> {
    let step = prop_oneof![
        2 => (1_u64..1_000, clock_draw()).prop_map(|(name, clock)| Step::Restart(name, clock)),
        3 => Just(Step::Answer),
        1 => (1_usize..4).prop_map(Step::LateAnswer),
        1 => Just(Step::NoAnswer),
        3 => (0_usize..4).prop_map(Step::Entry),
    ];
    (step, PAUSE_MS..6_000)
}

/// An instance as it is in truth, on the owner's clock.
#[derive(Clone, Copy, Debug)]
struct Instance {
    name: u64,
    born: Timestamp,
    /// What its clock showed then.
    first_clock_ms: u64,
    ended: Option<Timestamp>,
}

impl Instance {
    fn clock_ms(&self, at: Timestamp) -> u64 {
        self.first_clock_ms + at.since(self.born).0
    }
}

/// What the owner may know by what it was told.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// The number of the newest instance.
    newest: usize,
    since: Timestamp,
    /// When its first and its latest answer came, if any did.
    heard: Option<(Timestamp, Timestamp)>,
    /// Whether no entry of an earlier instance can appear any more.
    is_settled: bool,
    /// Whether the latest hold got no answer.
    is_silent: bool,
}

struct History {
    model: Model,
    now: Timestamp,
    instances: Vec<Instance>,
    known: Known,
    restarts: usize,
}

impl History {
    fn new() -> Self {
        let model = new_model(1);
        let now = model.now();
        let name = worker(0).entry.started_wall_ms;
        let first_clock_ms = worker(0).clock(Timestamp(0));
        let first = Instance { name, born: Timestamp(0), first_clock_ms, ended: None };
        let known =
            Known { newest: 0, since: now, heard: None, is_settled: false, is_silent: false };
        let mut history = Self { model, now, instances: vec![first], known, restarts: 0 };
        // The owner has heard of the first instance for long. What it knows of the second one follows
        // from what it is told here.
        history.apply((Step::Restart(SECOND_NAME, ClockDraw::Small(0)), PAUSE_MS));
        history.apply((Step::Answer, PAUSE_MS));
        history
    }

    fn living(&self) -> usize {
        self.instances.len() - 1
    }

    fn advance(&mut self, number: usize, heard: Option<(Timestamp, Timestamp)>) {
        let (since, is_settled, is_silent) = (self.now, false, false);
        self.known = Known { newest: number, since, heard, is_settled, is_silent };
        self.restarts += 1;
    }

    fn restart(&mut self, name: u64, clock: ClockDraw) {
        if self.instances.iter().any(|instance| instance.name == name) {
            return;
        }
        let living = self.living();
        self.instances[living].ended = Some(self.now);
        let born = self.now + Span(1);
        let first_clock_ms = clock.first_reading(self.instances[living].clock_ms(self.now));
        self.instances.push(Instance { name, born, first_clock_ms, ended: None });
    }

    /// Passes an answer, which an instance gave at `sent` and which arrives now, to the owner.
    fn answer(&mut self, number: usize, sent: Timestamp) {
        let instance = self.instances[number];
        let answer = report(instance.name, instance.clock_ms(sent));
        let cell = self.model.cell_mut().expect("an owner");
        cell.on_hold_answer(&"w0".into(), sent, Some(answer), self.now);
        let heard = self.known.heard;
        let is_asked_since = heard.map_or(sent >= self.known.since, |(_, latest)| sent > latest);
        if number > self.known.newest && is_asked_since {
            self.advance(number, Some((self.now, self.now)));
        } else if number == self.known.newest {
            self.known.is_silent = false;
            self.known.heard = Some((heard.map_or(self.now, |(first, _)| first), self.now));
        }
    }

    fn state_entry(&mut self, number: usize) {
        let Instance { name, ended, .. } = self.instances[number];
        if ended.is_some_and(|ended| self.now > ended + LATE_WRITE_LIFETIME) {
            return;
        }
        let entry = WorkerEntry { started_wall_ms: name, ..worker(0).entry };
        let cell = self.model.cell_mut().expect("an owner");
        cell.update_workers(vec![entry], true, self.now);
        if number > self.known.newest && self.known.is_settled && self.known.is_silent {
            self.advance(number, None);
        } else if number == self.known.newest {
            let is_late = |(first, _): (Timestamp, _)| self.now > first + LATE_WRITE_LIFETIME;
            self.known.is_settled |= self.known.heard.is_some_and(is_late);
        }
    }

    fn apply(&mut self, (step, pause_ms): (Step, u64)) {
        self.now = self.now + Span(pause_ms);
        let living = self.living();
        match step {
            Step::Restart(name, clock) => self.restart(name, clock),
            Step::Answer => {
                let sent = self.now;
                self.now = self.now + Span(1);
                self.answer(living, sent);
            }
            Step::LateAnswer(back) => {
                let number = living.saturating_sub(back);
                if let Some(ended) = self.instances[number].ended {
                    let sent = Timestamp(ended.0 - 1);
                    self.answer(number, sent.max(self.instances[number].born));
                }
            }
            Step::NoAnswer => {
                let cell = self.model.cell_mut().expect("an owner");
                cell.on_hold_answer(&"w0".into(), self.now, None, self.now);
                self.known.is_silent = true;
            }
            Step::Entry(back) => self.state_entry(living.saturating_sub(back)),
        }
        let actions = self.model.cell_mut().expect("an owner").take_actions();
        self.model.note_log_events(actions);
    }
}

proptest! {
    /// A worker counts as restarted exactly when an answer of a later instance arrives that was asked
    /// for after the latest answer of the newest known one had come, or an entry of a later one when none
    /// of an earlier one can appear any more and the worker doesn't answer; never when a statement is
    /// about an earlier one, wherever the clocks start.
    #[test]
    fn each_statement_counts_for_the_instance_that_made_it(
        steps in prop::collection::vec(step(), 1..30),
    ) {
        let mut history = History::new();

        for step in steps {
            history.apply(step);

            prop_assert_eq!(restart_count(&history.model), history.restarts, "{:?}", step);
        }
    }
}
