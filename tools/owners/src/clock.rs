//! The clocks of the workers' lives.
//!
//! Each life's clock starts anew; the platform doesn't say where. The clock of the review's worker starts at
//! 0 in each life, so the server of a life shifts the times in what it receives and answers.

#[cfg(test)]
#[path = "clock/tests.rs"]
mod tests;

use std::{
    cell::Cell,
    sync::{Arc, OnceLock},
};

use crate::{
    http::{Handler, Reply, Request},
    json::{self, Json},
};

/// The least that a clock shows which starts at a large value, in milliseconds.
const LARGE_MS: u64 = 1 << 40;

/// The most by which a clock starts at a small value, or beside the clock before, in milliseconds.
const FAR_MS: u64 = 8_000_000;

/// The most by which a clock starts beside one that it seems to continue, in milliseconds.
const NEAR_MS: u64 = 20;

/// Where the clocks of a play's workers start.
static CLOCKS: OnceLock<Clocks> = OnceLock::new();

thread_local! {
    /// The clock of the life that this thread starts.
    static STARTING: Cell<Option<Clock>> = const { Cell::new(None) };
}

/// Where the clocks of workers' lives start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Clocks {
    #[default]
    AtZero,
    /// At values that are drawn by this seed.
    Drawn(u64),
    /// The same, but most start behind the one before.
    OftenBehind(u64),
}

impl Clocks {
    /// Those that `CLOCKS` names, a seed or 0 for `AtZero`; drawn by `seed` if it is unset.
    pub fn named(text: Option<&str>, seed: u64) -> Self {
        match text.map_or(Some(seed), |text| text.parse().ok()) {
            Some(0) if text.is_some() => Self::AtZero,
            drawn => Self::Drawn(drawn.unwrap_or(seed)),
        }
    }

    /// Chooses those of the play, as `CLOCKS` or else the seed says.
    pub fn choose(seed: u64, is_often_behind: bool) {
        let text = std::env::var("CLOCKS").ok();
        let clocks = match Self::named(text.as_deref(), seed) {
            Self::Drawn(seed) if is_often_behind => Self::OftenBehind(seed),
            clocks => clocks,
        };
        let _ = CLOCKS.set(clocks);
    }

    /// Those of the play.
    pub fn chosen() -> Self {
        CLOCKS.get().copied().unwrap_or_default()
    }

    /// The draw for a life of a worker.
    pub fn draw(self, worker: &str, life: u64) -> Draw {
        match self {
            Self::AtZero => Draw::Small(0),
            Self::Drawn(seed) => Draw::of(seed, worker, life),
            Self::OftenBehind(seed) => {
                let drawn = mix(!seed, worker, life);
                match drawn % 4 {
                    // Far enough on for the next ones to start behind it.
                    _ if life == 0 => Draw::Small(FAR_MS + drawn / 4 % FAR_MS),
                    0 => Draw::of(seed, worker, life),
                    _ => Draw::Behind(drawn / 4 % FAR_MS),
                }
            }
        }
    }
}

/// Where the clock of a life starts. All times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Draw {
    /// At a value below some hours.
    Small(u64),
    /// At a value of many years.
    Large(u64),
    /// Ahead of what the clock of the life before showed at its end.
    Ahead(u64),
    /// Behind that.
    Behind(u64),
    /// Just where the clock of the life before goes on.
    Inside(u64),
}

impl Draw {
    fn of(seed: u64, worker: &str, life: u64) -> Self {
        let drawn = mix(seed, worker, life);
        let far = drawn / 8 % FAR_MS;
        match drawn % 5 {
            0 => Self::Small(far),
            1 => Self::Large(far),
            2 => Self::Ahead(far),
            3 => Self::Behind(far),
            _ => Self::Inside(far % NEAR_MS),
        }
    }

    /// The clock, if that of the life before showed `last_ms` at its end.
    pub fn clock(self, last_ms: u64) -> Clock {
        let first_ms = match self {
            Self::Small(ms) => ms,
            Self::Large(ms) => LARGE_MS + ms,
            Self::Ahead(ms) | Self::Inside(ms) => last_ms + ms,
            Self::Behind(ms) => last_ms.saturating_sub(ms),
        };
        Clock { first_ms }
    }
}

/// A number that is drawn by these alone, so that plays repeat.
fn mix(seed: u64, worker: &str, life: u64) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    let bytes = seed.to_le_bytes().into_iter().chain(worker.bytes()).chain(life.to_le_bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    (hash ^ (hash >> 29)).wrapping_mul(PRIME) >> 16
}

/// The clock of a life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clock {
    /// What it shows first, in milliseconds.
    pub first_ms: u64,
}

impl Clock {
    /// Starts a life with this clock: the server that `start` starts shows it.
    pub fn start_life(self, start: impl FnOnce()) {
        STARTING.set(Some(self));
        start();
        STARTING.set(None);
    }

    /// A handler for the server that is being started, which shows the clock of the life that this
    /// thread starts, if any. It belongs to one life as its server does: a call that comes late has the
    /// clock of the life that carries it out.
    pub fn of_server(handler: Handler) -> Handler {
        let Some(clock) = STARTING.get() else { return handler };
        Arc::new(move |request: Request| {
            let body = clock.call(&request.body);
            match handler(Request { body, ..request }) {
                Reply::Answer(status, body) => Reply::Answer(status, clock.answer(&body)),
                Reply::Close => Reply::Close,
            }
        })
    }

    /// The body of a call, with the deadline on a clock that starts at 0. A deadline before the start of
    /// the life has passed: it becomes 0.
    pub fn call(self, body: &str) -> String {
        shift(body, "deadline_ms", |ms| ms.saturating_sub(self.first_ms))
    }

    /// The body of an answer, with the reading of this clock.
    pub fn answer(self, body: &str) -> String {
        shift(body, "clock_ms", |ms| ms + self.first_ms)
    }
}

/// Replaces the number in a field of an object, if it is there.
fn shift(body: &str, field: &str, shifted: impl Fn(u64) -> u64) -> String {
    let Some(Json::Object(mut fields)) = Json::parse(body) else { return body.to_owned() };
    let numbers = fields.iter_mut().filter(|(key, _)| key == field);
    for (_, value) in numbers {
        if let Json::Number(ms) = value {
            *value = json::number(shifted(*ms as u64));
        }
    }
    Json::Object(fields).to_string()
}
