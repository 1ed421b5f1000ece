//! The record of what was sent, answered and run, and the checks of the rules on it.

use std::{
    fmt::Write as _,
    sync::Mutex,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Identifies one life of a worker: its id and when it was born.
pub type Life = (String, u64);

#[derive(Clone, Debug)]
pub enum Event {
    Note(String),
    /// A worker has begun to run a work unit.
    Started {
        life: Life,
        task: String,
        attempt: u64,
    },
    /// A run has ended.
    Ended {
        life: Life,
        task: String,
        attempt: u64,
        how: &'static str,
        number: u64,
    },
    /// A hold has confirmed the ends up to this number.
    Confirmed {
        life: Life,
        last_seen: u64,
    },
    /// The lease of a worker has lapsed.
    Lapsed {
        life: Life,
    },
    /// A worker has crashed.
    Crashed {
        life: Life,
    },
}

pub struct Record {
    began: Instant,
    began_wall_ms: u64,
    events: Mutex<Vec<(u64, Event)>>,
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis() as u64)
}

impl Record {
    pub fn new() -> Self {
        Self { began: Instant::now(), began_wall_ms: wall_ms(), events: Mutex::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn wall_ms(&self) -> u64 {
        self.began_wall_ms + self.now_ms()
    }

    pub fn add(&self, event: Event) {
        let mut events = self.events.lock().unwrap();
        let at = self.now_ms();
        events.push((at, event));
    }

    pub fn note(&self, text: impl Into<String>) {
        self.add(Event::Note(text.into()));
    }

    pub fn events(&self) -> Vec<(u64, Event)> {
        self.events.lock().unwrap().clone()
    }

    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (at, event) in self.events() {
            let line = match event {
                Event::Note(note) => note,
                Event::Started { life, task, attempt } => {
                    format!("worker {} ({}) starts {task} attempt {attempt}", life.0, life.1)
                }
                Event::Ended { life, task, attempt, how, number } => format!(
                    "worker {} ({}) end {number}: {task} attempt {attempt} {how}",
                    life.0, life.1
                ),
                Event::Confirmed { life, last_seen } => {
                    format!("worker {} ({}) is told last_seen {last_seen}", life.0, life.1)
                }
                Event::Lapsed { life } => format!("worker {} ({}): lease lapsed", life.0, life.1),
                Event::Crashed { life } => format!("worker {} ({}) crashes", life.0, life.1),
            };
            let _ = writeln!(text, "{:>9.3} s  {line}", at as f64 / 1_000.0);
        }
        text
    }

    /// Returns each breach of TWICE: two runs of a work unit at the same time on workers that are
    /// up, or a start after a run has ended `done` whose end is taken note of, unless the lease
    /// lapsed between the two.
    pub fn twice(&self) -> Vec<String> {
        let events = self.events();
        let mut breaches = Vec::new();
        for (index, (at, event)) in events.iter().enumerate() {
            let Event::Started { life, task, attempt } = event else { continue };
            let mut alive: Vec<(Life, u64)> = Vec::new();
            for (before_index, (_, before)) in events[..index].iter().enumerate() {
                match before {
                    Event::Started { life, task: other, attempt } if other == task => {
                        alive.push((life.clone(), *attempt));
                    }
                    Event::Ended { life, task: other, attempt, how, number } if other == task => {
                        alive.retain(|run| *run != (life.clone(), *attempt));
                        if *how == "done" && was_noted(&events[before_index..], life, *number) {
                            breaches.push(format!(
                                "{:.3} s: {task} attempt {attempt} had ended done on {} and is \
                                 started again",
                                *at as f64 / 1_000.0,
                                life.0
                            ));
                        }
                    }
                    Event::Crashed { life } => alive.retain(|(other, _)| other != life),
                    _ => {}
                }
            }
            for (other, running) in alive {
                breaches.push(format!(
                    "{:.3} s: {task} attempt {attempt} starts on {} while attempt {running} runs \
                     on {}",
                    *at as f64 / 1_000.0,
                    life.0,
                    other.0
                ));
            }
        }
        breaches
    }

    /// The longest time after `from_ms` for which nothing of the job runs, until its last run has
    /// ended or until now.
    pub fn longest_idle_ms(&self, job: &str, from_ms: u64) -> u64 {
        let mut runs: Vec<Life> = Vec::new();
        let (mut idle_since, mut longest, mut is_done) = (Some(from_ms), 0, false);
        for (at, event) in self.events() {
            match event {
                Event::Started { life, task, .. } if task.starts_with(job) => runs.push(life),
                Event::Ended { life, task, how, .. } if task.starts_with(job) => {
                    runs.retain(|other| *other != life);
                    is_done |= how == "done";
                }
                Event::Crashed { life } => runs.retain(|other| *other != life),
                _ => continue,
            }
            if let Some(since) = idle_since {
                longest = longest.max(at.saturating_sub(since));
            }
            idle_since = (runs.is_empty() && !is_done).then_some(at.max(from_ms));
        }
        let rest = idle_since.map_or(0, |since| self.now_ms().saturating_sub(since));
        longest.max(rest)
    }

    /// How many runs of the job's work units have ended in this way.
    pub fn ends(&self, job: &str, kind: &str) -> usize {
        let is_end = |event: &Event| match event {
            Event::Ended { task, how, .. } => task.starts_with(job) && *how == kind,
            _ => false,
        };
        self.events().iter().filter(|(_, event)| is_end(event)).count()
    }
}

/// Whether an end is taken note of by these later events before the worker's lease lapses.
fn was_noted(later: &[(u64, Event)], life: &Life, number: u64) -> bool {
    for (_, event) in later {
        match event {
            Event::Confirmed { life: other, last_seen } if other == life => {
                if *last_seen >= number {
                    return true;
                }
            }
            Event::Lapsed { life: other } | Event::Crashed { life: other } if other == life => {
                return false;
            }
            _ => {}
        }
    }
    false
}
