//! Ways in which a worker, or the list of VMs, may act that the users' pages leave open.

#[cfg(test)]
#[path = "variant/tests.rs"]
mod tests;

use std::{
    cell::Cell,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    draw::Rng,
    http::{Handler, Reply, Request},
    json::{self, Json},
    names::name,
};

/// That of a play.
static CHOSEN: OnceLock<Variant> = OnceLock::new();

/// How many servers have been started.
static LIVES: AtomicU64 = AtomicU64::new(0);

thread_local! {
    /// The processor capacity of the life that this thread starts.
    static ROOM: Cell<u64> = const { Cell::new(u64::MAX) };
}

/// On how many calls the chosen variant had an effect.
static EFFECTS: AtomicU64 = AtomicU64::new(0);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// The number that a hold confirms is kept for the ends to come of its life, which are forgotten at once.
    KeptConfirmation,
    /// The clock of an answer is read up to so many milliseconds later than its lists.
    LateClock { ms: u64 },
    /// The lists of an answer are up to so many milliseconds old, also older than the call.
    OldLists { ms: u64 },
    /// So many of a hundred answers lack one of the runs that go on.
    MissingRun { percent: u64 },
    /// So many of a hundred readings of the VMs lack one of them.
    MissingVm { percent: u64 },
    /// A worker's later lives have so much of the processor capacity of its first one, and refuse starts beyond it.
    NewRoom { percent: u64 },
}

impl Variant {
    /// Chooses the variant of the play.
    pub fn choose(self) {
        let _ = CHOSEN.set(self);
    }

    pub fn chosen() -> Option<Self> {
        CHOSEN.get().copied()
    }

    /// A handler for a server that acts in the chosen way, if there is one.
    pub fn of_server(handler: Handler) -> Handler {
        let Some(variant) = Self::chosen() else { return handler };
        variant.of_life(LIVES.fetch_add(1, SeqCst), handler)
    }

    /// Starts a life of a worker: the server that `start` starts has this room.
    pub fn start_life(room: u64, start: impl FnOnce()) {
        ROOM.set(room);
        start();
        ROOM.set(u64::MAX);
    }

    /// The processor capacity of a life, if the first one has so much.
    pub fn room(self, life: u64, first: u64) -> u64 {
        match self {
            Self::NewRoom { percent } if life > 0 => first * percent / 100,
            _ => first,
        }
    }

    /// The call whose answers differ.
    fn varied_call(self) -> &'static str {
        match self {
            Self::MissingVm { .. } => "machines",
            _ => "hold",
        }
    }

    fn of_life(self, number: u64, handler: Handler) -> Handler {
        let state = Mutex::new(State::new(number));
        let life = Life { variant: self, room: ROOM.get(), state, handler };
        Arc::new(move |request| life.answer(request))
    }
}

/// On how many calls the chosen variant had an effect.
pub fn effects() -> u64 {
    EFFECTS.load(SeqCst)
}

/// One life of a worker, or another server.
struct Life {
    variant: Variant,
    /// The processor capacity.
    room: u64,
    state: Mutex<State>,
    handler: Handler,
}

struct State {
    rng: Rng,
    /// The highest fence number of a call.
    fence: u64,
    /// The highest number that a hold has confirmed.
    kept: u64,
    /// The lists of an answer, and when they were read.
    lists: Option<(Instant, [Json; 2])>,
}

impl State {
    fn new(seed: u64) -> Self {
        Self { rng: Rng::new(seed), fence: 0, kept: 0, lists: None }
    }
}

impl Life {
    fn answer(&self, request: Request) -> Reply {
        let has_lists = request.path == name(self.variant.varied_call());
        let request = match self.variant {
            Variant::KeptConfirmation => self.keep_confirmation(request),
            _ => request,
        };
        if let Some(refusal) = self.refuse_for_room(&request) {
            EFFECTS.fetch_add(1, SeqCst);
            return refusal;
        }
        match (self.handler)(request) {
            Reply::Answer(200, body) if has_lists => Reply::Answer(200, self.vary(body)),
            reply => reply,
        }
    }

    /// Keeps the number that a hold confirms, unless its fence number is too low, and lets the hold confirm
    /// the highest one.
    fn keep_confirmation(&self, request: Request) -> Request {
        let Some(mut call) = Json::parse(&request.body) else { return request };
        let mut state = self.state.lock().unwrap();
        let fence = call.number(name("fence")).unwrap_or(0);
        if fence < state.fence {
            return request;
        }
        state.fence = fence;
        if request.path != name("hold") {
            return request;
        }
        let last_seen = call.number("last_seen").unwrap_or(0);
        state.kept = state.kept.max(last_seen);
        if state.kept > last_seen {
            EFFECTS.fetch_add(1, SeqCst);
            set(&mut call, "last_seen", json::number(state.kept));
        }
        Request { body: call.to_string(), ..request }
    }

    /// Refuses a start that the new room has no place for. The lease is taken from it as from any.
    fn refuse_for_room(&self, request: &Request) -> Option<Reply> {
        if !matches!(self.variant, Variant::NewRoom { .. }) || request.path != name("start") {
            return None;
        }
        let call = Json::parse(&request.body)?;
        let Reply::Answer(200, lists) = self.hold_beside(request, &call, None) else { return None };
        let lists = Json::parse(&lists)?;
        let (task, attempt) = (call.text("task")?, call.number("attempt")?);
        let runs: Vec<Run> = lists.list("running").iter().filter_map(Run::of).collect();
        let is_there = runs.iter().any(|run| run.task == task && run.attempt == attempt);
        let spec = call.text("spec").unwrap_or_default();
        let need = spec.split(' ').find_map(|word| word.strip_prefix("cpu=")?.parse().ok());
        let used: u64 = runs.iter().map(|run| run.cpu).sum();
        if is_there || used + need.unwrap_or(0) <= self.room {
            return None;
        }
        let Reply::Answer(200, lists) =
            self.hold_beside(request, &call, call.number("deadline_ms"))
        else {
            return None;
        };
        let clock_ms = Json::parse(&lists)?.number("clock_ms")?;
        let fields = [("clock_ms", json::number(clock_ms)), ("reason", json::text("room"))];
        Some(Reply::Answer(409, json::object(fields).to_string()))
    }

    /// A hold with the fence number of a call, which confirms nothing.
    fn hold_beside(&self, request: &Request, call: &Json, deadline_ms: Option<u64>) -> Reply {
        let fence = json::number(call.number(name("fence")).unwrap_or(0));
        let deadline = json::number(deadline_ms.unwrap_or(0));
        let hold = json::object([(name("fence"), fence), ("deadline_ms", deadline)]);
        let path = name("hold").to_owned();
        let (query, headers) = (request.query.clone(), request.headers.clone());
        (self.handler)(Request { path, query, headers, body: hold.to_string() })
    }

    /// The answer to a hold as this life gives it.
    fn vary(&self, body: String) -> String {
        let Some(mut answer) = Json::parse(&body) else { return body };
        let has_effect = match self.variant {
            Variant::KeptConfirmation => self.forget_ends(&mut answer),
            Variant::LateClock { ms } => self.read_clock_late(&mut answer, ms),
            Variant::OldLists { ms } => self.show_old_lists(&mut answer, ms),
            Variant::MissingRun { percent } => self.leave_out_row(&mut answer, "running", percent),
            Variant::MissingVm { percent } => self.leave_out_row(&mut answer, "machines", percent),
            Variant::NewRoom { .. } => false,
        };
        if has_effect {
            EFFECTS.fetch_add(1, SeqCst);
        }
        answer.to_string()
    }

    fn forget_ends(&self, answer: &mut Json) -> bool {
        let kept = self.state.lock().unwrap().kept;
        let ends = answer.list("finished");
        let number = |end: &Json| match end {
            Json::List(row) => row.first().map_or(0, |number| match number {
                Json::Number(number) => *number as u64,
                _ => 0,
            }),
            _ => 0,
        };
        let left: Vec<Json> = ends.iter().filter(|end| number(end) > kept).cloned().collect();
        let has_effect = left.len() < ends.len();
        set(answer, "finished", Json::List(left));
        has_effect
    }

    fn read_clock_late(&self, answer: &mut Json, most_ms: u64) -> bool {
        let late_ms = self.state.lock().unwrap().rng.between(0, most_ms);
        thread::sleep(Duration::from_millis(late_ms));
        let clock_ms = answer.number("clock_ms").unwrap_or(0);
        set(answer, "clock_ms", json::number(clock_ms + late_ms));
        late_ms > 0
    }

    fn show_old_lists(&self, answer: &mut Json, most_ms: u64) -> bool {
        let lists = ["running", "finished"].map(|list| Json::List(answer.list(list).to_vec()));
        let mut state = self.state.lock().unwrap();
        let is_old_enough = |read: &Instant| read.elapsed() <= Duration::from_millis(most_ms);
        if let Some((_, old)) = state.lists.as_ref().filter(|(read, _)| is_old_enough(read)) {
            let has_effect = *old != lists;
            set(answer, "running", old[0].clone());
            set(answer, "finished", old[1].clone());
            return has_effect;
        }
        state.lists = Some((Instant::now(), lists));
        false
    }

    fn leave_out_row(&self, answer: &mut Json, list: &str, percent: u64) -> bool {
        let mut rows = answer.list(list).to_vec();
        let mut state = self.state.lock().unwrap();
        if rows.is_empty() || !state.rng.chance(percent) {
            return false;
        }
        let place = state.rng.between(0, rows.len() as u64 - 1);
        rows.remove(place as usize);
        set(answer, list, Json::List(rows));
        true
    }
}

/// A run in a list.
struct Run {
    task: String,
    attempt: u64,
    cpu: u64,
}

impl Run {
    fn of(row: &Json) -> Option<Self> {
        let Json::List(row) = row else { return None };
        match row.as_slice() {
            [Json::Text(task), Json::Number(attempt), .., Json::Number(cpu)] => {
                Some(Self { task: task.clone(), attempt: *attempt as u64, cpu: *cpu as u64 })
            }
            _ => None,
        }
    }
}

/// Sets a field of an object.
pub fn set(object: &mut Json, field: &str, value: Json) {
    let Json::Object(fields) = object else { return };
    fields.retain(|(key, _)| key != field);
    fields.push((field.to_owned(), value));
}
