//! The clients: jobs that are handed in all the time, and in bursts.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

use crate::{
    draw::Rng,
    http,
    json::Json,
    worker::Worker,
    world::{HOST, PREFIX, World},
};

/// How many clients hand jobs in one after the other.
pub const CLIENTS: u64 = 3;

/// How often a client tries to hand one job in.
const MAX_TRIES: usize = 8;

/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// Longer than any play, for work that lasts.
const LASTING_MS: u64 = 3_600_000;

/// What is said of work units that run for longer.
const ESTIMATE_MS: u64 = 1_000;

pub struct Load {
    next_job: AtomicU64,
    is_over: AtomicBool,
    accepted: Mutex<Vec<String>>,
    /// The jobs whose work units run for long.
    long: Mutex<Vec<String>>,
    clients: Mutex<Vec<thread::JoinHandle<()>>>,
}

fn job_id(number: u64) -> String {
    format!("5c0e7a21{number:08x}")
}

fn job(count: u64, run_ms: u64) -> String {
    format!(
        r#"{{"spec":"ms={run_ms} cpu=1000","phases":[{{"count":{count},"cpu":1000,"mem_mb":256,"estimate_ms":{run_ms}}}]}}"#
    )
}

/// A job of work units that fill an eighth of a worker each, for one worker only.
fn job_for(worker: &str, count: u64, run_ms: u64) -> String {
    format!(
        r#"{{"spec":"ms={run_ms} cpu=2000","phases":[{{"count":{count},"cpu":2000,"mem_mb":256,"estimate_ms":{run_ms},"constraints":"r-{worker}"}}]}}"#
    )
}

/// As `job`, of work units that run for longer than it says.
fn long_job(count: u64, run_ms: u64) -> String {
    format!(
        r#"{{"spec":"ms={run_ms} cpu=1000","phases":[{{"count":{count},"cpu":1000,"mem_mb":256,"estimate_ms":{ESTIMATE_MS}}}]}}"#
    )
}

/// A job of one work unit that runs for longer than it says, for one worker only.
fn long_job_for(worker: &str, run_ms: u64) -> String {
    format!(
        r#"{{"spec":"ms={run_ms} cpu=1000","phases":[{{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":{ESTIMATE_MS},"constraints":"r-{worker}"}}]}}"#
    )
}

fn lasting_job() -> String {
    format!(
        r#"{{"spec":"ms={LASTING_MS} cpu=1000","phases":[{{"count":4,"cpu":1000,"mem_mb":256,"estimate_ms":1000,"long_running":true}}]}}"#
    )
}

impl Load {
    /// Starts the clients. Their jobs are a function of the seed; how many there are is not.
    pub fn start(world: &Arc<World>, seed: u64, clients: u64) -> Arc<Self> {
        let load = Arc::new(Self {
            next_job: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
            accepted: Mutex::default(),
            long: Mutex::default(),
            clients: Mutex::default(),
        });
        load.spawn_long(world, lasting_job());
        for client in 0..clients {
            let (load, world) = (Arc::clone(&load), Arc::clone(world));
            let mut rng = Rng::new(seed ^ ((client + 1) << 32));
            let keeper = Arc::clone(&load);
            let handle = thread::spawn(move || {
                while !load.is_over.load(SeqCst) {
                    let is_short = rng.chance(70);
                    let (low, high) = if is_short { (300, 1_000) } else { (4_000, 9_000) };
                    let body = job(rng.between(1, 3), rng.between(low, high));
                    let number = load.next_job.fetch_add(1, SeqCst);
                    load.hand_in(&world, number, &body);
                    thread::sleep(Duration::from_millis(rng.between(200, 900)));
                }
            });
            keeper.clients.lock().unwrap().push(handle);
        }
        load
    }

    fn spawn(self: &Arc<Self>, world: &Arc<World>, body: String) {
        self.spawn_as(self.next_job.fetch_add(1, SeqCst), world, body);
    }

    /// As `spawn`, for a job whose work units run for long.
    fn spawn_long(self: &Arc<Self>, world: &Arc<World>, body: String) {
        let number = self.next_job.fetch_add(1, SeqCst);
        self.long.lock().unwrap().push(job_id(number));
        self.spawn_as(number, world, body);
    }

    fn spawn_as(self: &Arc<Self>, number: u64, world: &Arc<World>, body: String) {
        let (load, world) = (Arc::clone(self), Arc::clone(world));
        let handle = thread::spawn(move || load.hand_in(&world, number, &body));
        self.clients.lock().unwrap().push(handle);
    }

    /// Hands in jobs at the same time.
    pub fn burst(self: &Arc<Self>, world: &Arc<World>, jobs: u64, run_ms: u64) {
        for _ in 0..jobs {
            self.spawn(world, job(2, run_ms));
        }
    }

    /// As `burst`, of work units that run for longer than their job says.
    pub fn long(self: &Arc<Self>, world: &Arc<World>, jobs: u64, run_ms: u64) {
        for _ in 0..jobs {
            self.spawn_long(world, long_job(2, run_ms));
        }
    }

    /// Hands in a job that only one worker may run.
    pub fn units(self: &Arc<Self>, world: &Arc<World>, worker: u64, count: u64, run_ms: u64) {
        if let Some(worker) = world.workers.get(worker as usize) {
            self.spawn(world, job_for(&worker.setup.id, count, run_ms));
        }
    }

    /// Hands in a job of one work unit that only this worker may run, for longer than the job says.
    pub fn long_unit(self: &Arc<Self>, world: &Arc<World>, worker: &Worker, run_ms: u64) {
        self.spawn_long(world, long_job_for(&worker.setup.id, run_ms));
    }

    /// Whether work that lasts or is long runs on a worker.
    pub fn has_long_run(&self, worker: &Worker) -> bool {
        self.long.lock().unwrap().iter().any(|job| worker.runs(job))
    }

    /// Hands a job in: again at the next node after no answer, 502 or 504. A job that is refused
    /// with 429 or 503 never runs, and is forgotten.
    fn hand_in(&self, world: &World, number: u64, body: &str) {
        let id = job_id(number);
        for attempt in 0..MAX_TRIES {
            let node = &world.nodes[(number as usize + attempt) % world.nodes.len()];
            let path = format!("{PREFIX}{id}");
            let answer = http::call(node.front, ("POST", &path, HOST), body, PATIENCE);
            match answer.map(|(status, _)| status) {
                Some(200..=299) => {
                    self.accepted.lock().unwrap().push(id);
                    return;
                }
                Some(429 | 503) => return,
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
    }

    /// Ends the traffic and returns the jobs that were accepted.
    pub fn finish(&self) -> Vec<String> {
        self.is_over.store(true, SeqCst);
        let clients = std::mem::take(&mut *self.clients.lock().unwrap());
        for client in clients {
            let _ = client.join();
        }
        self.accepted.lock().unwrap().clone()
    }
}

/// What the nodes say about a job: the first answer that tells its state.
pub fn state(world: &World, id: &str) -> Option<(u16, String)> {
    world.nodes.iter().find_map(|node| {
        let path = format!("{PREFIX}{id}");
        let (status, body) = http::call(node.front, ("GET", &path, HOST), "", PATIENCE)?;
        let body = Json::parse(&body);
        let state = body.as_ref().and_then(|body| body.text("state")).unwrap_or_default();
        matches!(status, 200 | 410).then(|| (status, state.to_owned()))
    })
}
