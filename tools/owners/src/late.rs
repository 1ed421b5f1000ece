//! Late calls: calls to workers that get no answer and arrive seconds later, in whichever life is up then.

use std::sync::Mutex;

use crate::{
    draw::Rng,
    json::Json,
    names::name,
    record::{Event, Life},
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Start,
    Stop,
    /// A hold with `last_seen` above 0.
    Confirming,
    /// A hold that only renews the lease.
    Lease,
}

impl Kind {
    pub const ALL: [Self; 4] = [Self::Start, Self::Stop, Self::Confirming, Self::Lease];

    /// The kind of a call; `None` if it can't be late.
    pub fn of(path: &str, call: &Json) -> Option<Self> {
        let is_set = |field| call.number(field).unwrap_or(0) > 0;
        if path == name("start") {
            Some(Self::Start)
        } else if path == name("stop") {
            Some(Self::Stop)
        } else if path != name("hold") {
            None
        } else if is_set("last_seen") {
            Some(Self::Confirming)
        } else {
            is_set("deadline_ms").then_some(Self::Lease)
        }
    }

    fn plural(self) -> &'static str {
        match self {
            Self::Start => "starts",
            Self::Stop => "stops",
            Self::Confirming => "holds with last_seen",
            Self::Lease => "holds with a lease only",
        }
    }
}

/// Which calls are late, as drawn by a scene.
#[derive(Clone, Debug)]
pub struct Lateness {
    pub kinds: Vec<Kind>,
    pub percent: u64,
    /// The most calls that are late.
    pub most: u64,
    /// The shortest and the longest time until a late call arrives, in milliseconds.
    pub delay_ms: (u64, u64),
    pub seed: u64,
}

/// Chooses the calls that are late, on all links of a scene.
#[derive(Debug)]
pub struct Chooser {
    lateness: Lateness,
    /// The generator, and how many more calls may be late.
    state: Mutex<(Rng, u64)>,
}

impl Chooser {
    pub fn new(lateness: &Lateness) -> Self {
        let state = Mutex::new((Rng::new(lateness.seed), lateness.most));
        Self { lateness: lateness.clone(), state }
    }

    /// How late a call of this kind is, in milliseconds; `None` if it isn't.
    pub fn choose(&self, kind: Kind) -> Option<u64> {
        if !self.lateness.kinds.contains(&kind) {
            return None;
        }
        let (rng, left) = &mut *self.state.lock().unwrap();
        if *left == 0 || !rng.chance(self.lateness.percent) {
            return None;
        }
        *left -= 1;
        Some(rng.between(self.lateness.delay_ms.0, self.lateness.delay_ms.1))
    }
}

/// A late call that has arrived at a worker.
#[derive(Clone, Debug)]
pub struct LateCall {
    pub kind: Kind,
    pub worker: String,
    pub sent_ms: u64,
    pub arrived_ms: u64,
    /// The status of its answer; 0 if there was none.
    pub status: u16,
}

impl LateCall {
    fn is_answered(&self) -> bool {
        self.status != 0
    }

    fn is_carried_out(&self) -> bool {
        self.status == 200
    }

    fn is_in_later_life(&self, births: &[(u64, Life)]) -> bool {
        let under_way = self.sent_ms..=self.arrived_ms;
        births.iter().any(|(at, life)| life.0 == self.worker && under_way.contains(at))
    }
}

/// The lives of the workers, each with when it began.
pub fn births(events: &[(u64, Event)]) -> Vec<(u64, Life)> {
    let birth = |(at, event): &(u64, Event)| {
        let Event::Note(note) = event else { return None };
        let (worker, born) = note.strip_prefix("worker ")?.split_once(" is born at ")?;
        Some((*at, (worker.to_owned(), born.parse().ok()?)))
    };
    events.iter().filter_map(birth).collect()
}

/// What the clock of a life shows first that began at `birth`, in milliseconds.
pub fn first_clock_ms(events: &[(u64, Event)], birth: u64, worker: &str) -> u64 {
    let first_ms = |event: &Event| {
        let Event::Note(note) = event else { return None };
        let (one, rest) =
            note.strip_prefix("worker ")?.split_once(": its next clock starts at ")?;
        let (ms, _) = rest.split_once(" ms")?;
        ms.parse().ok().filter(|_| one == worker)
    };
    let before = events.iter().take_while(|(at, _)| *at <= birth);
    before.filter_map(|(_, event)| first_ms(event)).last().unwrap_or(0)
}

/// Whether a late call was answered in a later life than the one it was sent to, if only by a refusal.
pub fn has_reached_later_life(calls: &[LateCall], births: &[(u64, Life)]) -> bool {
    calls.iter().any(|call| call.is_answered() && call.is_in_later_life(births))
}

/// Counts the late calls of each kind that were carried out, and those of them that were in a later life
/// than the one they were sent to.
pub fn summary(calls: &[LateCall], births: &[(u64, Life)]) -> String {
    let count = |kind: Kind| {
        let is_later = |call: &&&LateCall| call.is_in_later_life(births);
        let calls: Vec<&LateCall> = calls.iter().filter(|call| call.kind == kind).collect();
        let later: Vec<&LateCall> = calls.iter().filter(is_later).copied().collect();
        let (all, later) = (count_carried_out(&calls), count_carried_out(&later));
        format!("{} {all} (in a later life {later})", kind.plural())
    };
    let counts = Kind::ALL.map(count).join(", ");
    let worth =
        if has_reached_later_life(calls, births) { "" } else { "; none reached a later life" };
    format!("late calls carried out: {counts}{worth}")
}

fn count_carried_out(calls: &[&LateCall]) -> String {
    let carried_out = calls.iter().filter(|call| call.is_carried_out()).count();
    format!("{carried_out} of {}", calls.len())
}
