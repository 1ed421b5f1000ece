//! A stand-in for a worker and its machine.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Reply, Request, Server},
    json::{self, Json},
    names::name,
    ports,
    record::{Event, Life, Record},
    store::Store,
};

/// The most ends in one answer.
const ENDS_PER_ANSWER: usize = 500;

#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub service: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub max_hold_ms: u64,
    pub stop_ms: u64,
    pub heartbeat_ms: u64,
}

struct Run {
    attempt: u64,
    cpu: u64,
    began: Instant,
    length: Duration,
    /// When a stop takes effect.
    stops_at: Option<Instant>,
}

struct EndedRun {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    is_up: bool,
    born: u64,
    began: Option<Instant>,
    fence: u64,
    lease_end_ms: u64,
    next_end: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<EndedRun>,
    /// The highest attempt that was stopped or ended, by work unit.
    highest: BTreeMap<String, u64>,
    next_heartbeat: Option<Instant>,
    /// When the store drops the entry of a worker that has fallen silent.
    entry_expires: Option<Instant>,
    seq_no: u64,
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.began.map_or(0, |began| began.elapsed().as_millis() as u64)
    }
}

/// A worker. It can crash and start again under its id.
pub struct Worker {
    pub setup: Setup,
    state: Mutex<State>,
    ended: Condvar,
    record: Arc<Record>,
    store: Arc<Store>,
    server: Mutex<Option<Server>>,
    address: Mutex<Option<SocketAddr>>,
    /// Whether the next start order is carried out late, without an answer.
    delays_start: AtomicBool,
}

/// What a work unit takes: its run time and its `cpu`, from the job's text (`ms=400 cpu=500`).
fn parse_spec(spec: &str) -> (Duration, u64) {
    let field = |wanted: &str| {
        let mut pairs = spec.split(' ').filter_map(|word| word.split_once('='));
        let value = pairs.find(|(key, _)| *key == wanted).map(|(_, value)| value);
        value.and_then(|value| value.parse::<u64>().ok()).unwrap_or(0)
    };
    (Duration::from_millis(field("ms")), field("cpu"))
}

impl Worker {
    pub fn new(setup: Setup, record: Arc<Record>, store: Arc<Store>) -> Arc<Self> {
        Arc::new(Self {
            setup,
            state: Mutex::default(),
            ended: Condvar::new(),
            record,
            store,
            server: Mutex::default(),
            address: Mutex::default(),
            delays_start: AtomicBool::new(false),
        })
    }

    fn life(&self, state: &State) -> Life {
        (self.setup.id.clone(), state.born)
    }

    /// Starts a new life. The first heartbeat comes after `first_heartbeat`.
    pub fn start(self: &Arc<Self>, first_heartbeat: Duration) {
        let mut address = self.address.lock().unwrap();
        let wanted = address.or_else(ports::take).expect("a free port");
        let worker = Arc::clone(self);
        {
            let mut state = self.state.lock().unwrap();
            *state = State {
                is_up: true,
                born: self.record.wall_ms(),
                began: Some(Instant::now()),
                next_end: 1,
                next_heartbeat: Some(Instant::now() + first_heartbeat),
                entry_expires: state.entry_expires,
                ..State::default()
            };
            let (id, born) = self.life(&state);
            self.record.note(format!("worker {id} is born at {born}"));
        }
        let handler = Arc::new(move |request: Request| worker.handle(request));
        let server = Server::start(wanted, handler).expect("a worker's address is free");
        *address = Some(server.address);
        *self.server.lock().unwrap() = Some(server);
    }

    /// Ends the life without a word; everything that runs is gone.
    pub fn crash(&self) {
        {
            let mut state = self.state.lock().unwrap();
            state.is_up = false;
            state.runs.clear();
            state.ends.clear();
            state.next_heartbeat = None;
            self.record.add(Event::Crashed { life: self.life(&state) });
        }
        self.ended.notify_all();
        if let Some(mut server) = self.server.lock().unwrap().take() {
            server.stop();
        }
    }

    pub fn runs(&self, job: &str) -> bool {
        self.state.lock().unwrap().runs.keys().any(|task| task.starts_with(job))
    }

    pub fn unconfirmed_ends(&self) -> usize {
        self.state.lock().unwrap().ends.len()
    }

    fn entry(&self, state: &State) -> String {
        let address = self.address.lock().unwrap().map(|address| address.to_string());
        let capacity = [
            ("cpu", json::number(self.setup.cpu)),
            ("mem_mb", json::number(self.setup.mem_mb)),
            ("gpus", json::number(0)),
        ];
        let labels = vec![json::text("a"), json::text(format!("r-{}", self.setup.id))];
        json::object([
            ("service", json::text(&self.setup.service)),
            ("address", json::text(address.unwrap_or_default())),
            ("zone", json::text("z1")),
            ("version", json::text("v1")),
            ("slots", json::number(8)),
            ("state", json::text("ready")),
            (concat!("cold", "_left_ms"), json::number(0)),
            ("capacity", json::object(capacity)),
            ("labels", Json::List(labels)),
            ("clock_ms", json::number(state.clock_ms())),
            ("born", json::number(state.born)),
            ("seq_no", json::number(state.seq_no)),
        ])
        .to_string()
    }

    /// Ends runs that are done, stopped or whose lease has lapsed, and writes the heartbeat.
    pub fn tick(&self) {
        let now = Instant::now();
        let key = format!("{}{}", name("workers"), self.setup.id);
        let mut entry = None;
        {
            let mut state = self.state.lock().unwrap();
            if state.entry_expires.is_some_and(|at| now >= at) && self.store.remove(&key) {
                state.entry_expires = None;
            }
            if !state.is_up {
                return;
            }
            let has_lapsed = !state.runs.is_empty() && state.clock_ms() > state.lease_end_ms;
            if has_lapsed {
                self.record.add(Event::Lapsed { life: self.life(&state) });
            }
            let how_ended = |run: &Run| {
                if has_lapsed {
                    Some("lapsed")
                } else if now >= run.began + run.length {
                    Some("done")
                } else if run.stops_at.is_some_and(|at| now >= at) {
                    Some("stopped")
                } else {
                    None
                }
            };
            let over: Vec<(String, &'static str)> = state
                .runs
                .iter()
                .filter_map(|(task, run)| Some((task.clone(), how_ended(run)?)))
                .collect();
            for (task, how) in over {
                self.end_run(&mut state, task, how);
            }
            if state.next_heartbeat.is_some_and(|at| now >= at) {
                state.seq_no += 1;
                entry = Some(self.entry(&state));
                let interval = Duration::from_millis(self.setup.heartbeat_ms);
                state.next_heartbeat = Some(now + interval);
                state.entry_expires = Some(now + 3 * interval);
            }
        }
        if let Some(entry) = entry {
            self.store.write(&key, &entry);
        }
    }

    fn end_run(&self, state: &mut State, task: String, how: &'static str) {
        let Some(run) = state.runs.remove(&task) else { return };
        let (number, attempt) = (state.next_end, run.attempt);
        state.next_end += 1;
        let highest = state.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(attempt);
        let life = self.life(state);
        self.record.add(Event::Ended { life, task: task.clone(), attempt, how, number });
        state.ends.push(EndedRun { number, task, attempt, how });
        self.ended.notify_all();
    }

    /// Leaves the next start order without an answer. It is carried out when the worker has crashed
    /// and started again.
    pub fn delay_next_start(&self) {
        self.delays_start.store(true, SeqCst);
    }

    fn handle(self: &Arc<Self>, request: Request) -> Reply {
        if request.path != name("start") || !self.delays_start.swap(false, SeqCst) {
            return self.carry_out(&request);
        }
        self.record.note(format!("worker {} holds back {}", self.setup.id, request.body));
        let born = self.state.lock().unwrap().born;
        let worker = Arc::clone(self);
        thread::spawn(move || {
            while worker.state.lock().unwrap().born == born {
                thread::sleep(Duration::from_millis(5));
            }
            let answer = match worker.carry_out(&request) {
                Reply::Answer(status, body) => format!("{status} {body}"),
                Reply::Close => "not up".to_owned(),
            };
            worker.record.note(format!("worker {} carries it out: {answer}", worker.setup.id));
        });
        // Longer than any caller waits.
        thread::sleep(Duration::from_secs(5));
        Reply::Close
    }

    fn carry_out(&self, request: &Request) -> Reply {
        let wanted = request.header("teaselgap-expected-instance");
        if wanted.is_some_and(|wanted| wanted != self.setup.id) {
            return Reply::Answer(421, "{}".to_owned());
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return Reply::Close;
        }
        let fence = body.number(name("fence")).unwrap_or(0);
        if fence < state.fence {
            return refuse(&state, "fence");
        }
        state.fence = fence;
        let path = request.path.as_str();
        if path == name("hold") {
            return self.hold(state, &body);
        }
        if path == name("start") {
            return self.start_run(&mut state, &body);
        }
        if path == name("stop") {
            let task = body.text("task").unwrap_or_default().to_owned();
            let attempt = body.number("attempt").unwrap_or(0);
            let stop = Duration::from_millis(self.setup.stop_ms / 2);
            if let Some(run) = state.runs.get_mut(&task).filter(|run| run.attempt <= attempt) {
                run.stops_at.get_or_insert(Instant::now() + stop);
            }
            let highest = state.highest.entry(task).or_default();
            *highest = (*highest).max(attempt);
            return Reply::Answer(200, clock(&state));
        }
        if path == name("pace") {
            return Reply::Answer(200, clock(&state));
        }
        Reply::Answer(404, "{}".to_owned())
    }

    fn extend_lease(&self, state: &mut State, body: &Json) {
        let longest = state.clock_ms() + self.setup.max_hold_ms;
        let wanted = body.number("deadline_ms").unwrap_or(0).min(longest);
        state.lease_end_ms = state.lease_end_ms.max(wanted);
    }

    fn start_run(&self, state: &mut State, body: &Json) -> Reply {
        let task = body.text("task").unwrap_or_default().to_owned();
        let attempt = body.number("attempt").unwrap_or(0);
        if body.number("deadline_ms").is_none_or(|deadline| deadline <= state.clock_ms()) {
            return refuse(state, "late");
        }
        self.extend_lease(state, body);
        if state.runs.get(&task).is_some_and(|run| run.attempt == attempt) {
            return Reply::Answer(200, clock(state));
        }
        let is_old = state.highest.get(&task).is_some_and(|highest| attempt <= *highest);
        if is_old || state.runs.contains_key(&task) {
            return refuse(state, "old");
        }
        let (length, cpu) = parse_spec(body.text("spec").unwrap_or_default());
        let used: u64 = state.runs.values().map(|run| run.cpu).sum();
        if used + cpu > self.setup.cpu {
            return refuse(state, "room");
        }
        let life = self.life(state);
        self.record.add(Event::Started { life, task: task.clone(), attempt });
        let run = Run { attempt, cpu, began: Instant::now(), length, stops_at: None };
        state.runs.insert(task, run);
        Reply::Answer(200, clock(state))
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Json) -> Reply {
        self.extend_lease(&mut state, body);
        let last_seen = body.number("last_seen").unwrap_or(0);
        if state.ends.first().is_some_and(|end| end.number <= last_seen) {
            self.record.add(Event::Confirmed { life: self.life(&state), last_seen });
        }
        state.ends.retain(|end| end.number > last_seen);
        let born = state.born;
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
        let deadline = Instant::now() + wait;
        while state.ends.is_empty() && Instant::now() < deadline {
            let rest = deadline.saturating_duration_since(Instant::now());
            state = self.ended.wait_timeout(state, rest).unwrap().0;
            if !state.is_up || state.born != born {
                return Reply::Close;
            }
        }
        let runs = state.runs.iter().map(|(task, run)| {
            let share = run.began.elapsed().as_millis() * 100 / run.length.as_millis().max(1);
            Json::List(vec![
                json::text(task),
                json::number(run.attempt),
                json::text(""),
                json::number((share as u64).min(99)),
                json::number(run.cpu),
            ])
        });
        let runs = runs.collect();
        let ends = state.ends.iter().take(ENDS_PER_ANSWER).map(|end| {
            Json::List(vec![
                json::number(end.number),
                json::text(&end.task),
                json::number(end.attempt),
                json::text(end.how),
                json::text(""),
            ])
        });
        let ends = ends.collect();
        let body = json::object([
            ("clock_ms", json::number(state.clock_ms())),
            ("born", json::number(state.born)),
            ("running", Json::List(runs)),
            ("finished", Json::List(ends)),
        ]);
        Reply::Answer(200, body.to_string())
    }
}

fn clock(state: &State) -> String {
    json::object([("clock_ms", json::number(state.clock_ms()))]).to_string()
}

fn refuse(state: &State, reason: &str) -> Reply {
    let fields = [("clock_ms", json::number(state.clock_ms())), ("reason", json::text(reason))];
    Reply::Answer(409, json::object(fields).to_string())
}
