//! The cases.

use std::{
    ops::Range,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Deployment, Options},
    json::Json,
    names::name,
    nodes,
    record::Record,
    worker::Worker,
};

/// How the ids of all jobs begin.
const ID_PREFIX: &str = "5c0e7a21";

/// How many jobs are handed in after the trouble.
const LATER_JOBS: u64 = 8;

/// How long after the last submission a job may still be open. The work takes 20 s at most, and jobs
/// are asked for `finish_s` (14 s) after the end of the traffic.
const FINISH: Duration = Duration::from_secs(30);

/// How long after the start of a worker it writes its next entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A restart that is over before two holds in a row have got no answer.
const BLINK_MS: u64 = 50;

type Trouble = fn(&Deployment) -> Option<()>;

/// The work of a case: jobs of one work unit of two cores each.
#[derive(Clone, Copy)]
struct Load {
    jobs: u64,
    run_ms: u64,
    worker_cpu: u64,
}

/// Two work units fill a worker, and others wait.
const FULL: Load = Load { jobs: 40, run_ms: 3_000, worker_cpu: 4_000 };

/// Every worker has room, and a run takes longer than a lease.
const ROOMY: Load = Load { jobs: 24, run_ms: 9_000, worker_cpu: 16_000 };

/// A case: the trouble, what the workers have to do, and how often an entry of before the trouble is
/// written late.
struct Case(Trouble, Load, u32);

fn find(case: &str) -> Option<Case> {
    Some(match case {
        "late-entry" => Case(restart, ROOMY, 3),
        "late-entry-outage" => Case(restart_in_outage, ROOMY, 3),
        "clock-back" => Case(clock_back, ROOMY, 0),
        "clock-back-owner" => Case(clock_back_owner, ROOMY, 0),
        "same-start" => Case(same_start, FULL, 0),
        "later-start" => Case(later_start, ROOMY, 1),
        _ => return None,
    })
}

/// Plays a case and returns the record with the breaches of rules; `None` if it could not run.
pub fn play(case: &str, has_trouble: bool) -> Option<(Arc<Record>, Vec<String>)> {
    let Case(trouble, load, late_writes) = find(case)?;
    let options = Options { nodes: 3, workers: 8, worker_cpu: load.worker_cpu };
    let deployment = Deployment::start(&options)?;
    let (record, worker) = (Arc::clone(&deployment.record), &deployment.workers[0]);
    let jobs = load.jobs + LATER_JOBS;
    hand_in(&deployment, 0..load.jobs, load)?;
    pause(500);
    let earlier_entry = deployment.store.read(&key(worker))?;
    if has_trouble {
        trouble(&deployment)?;
    }
    hand_in(&deployment, load.jobs..jobs, load)?;
    for _ in 0..if has_trouble { late_writes } else { 0 } {
        if !await_runs(worker) {
            break;
        }
        record.note(format!("worker {}: an earlier entry is written late", worker.setup.id));
        deployment.store.write(&key(worker), &earlier_entry);
        thread::sleep(HEARTBEAT);
    }
    let mut breaches = open_jobs(&deployment, jobs, Instant::now() + FINISH);
    deployment.stop();
    breaches.extend(record.twice());
    Some((record, breaches))
}

fn hand_in(deployment: &Deployment, mut jobs: Range<u64>, load: Load) -> Option<()> {
    let body = job(load.run_ms);
    jobs.all(|number| deployment.submit(&id(number), &body)).then_some(())
}

/// A job of one work unit.
fn job(run_ms: u64) -> String {
    format!(
        r#"{{"spec":"ms={run_ms} cpu=2000","phases":[{{"count":1,"cpu":2000,"mem_mb":256,"estimate_ms":{run_ms}}}]}}"#
    )
}

fn id(number: u64) -> String {
    format!("{ID_PREFIX}{number:08x}")
}

/// Waits for the jobs, and names those that are still open then although nothing of them runs (LOST).
fn open_jobs(deployment: &Deployment, jobs: u64, deadline: Instant) -> Vec<String> {
    let mut open = Vec::new();
    for number in 0..jobs {
        let id = id(number);
        let limit = deadline.saturating_duration_since(Instant::now());
        let state = deployment.await_end(&id, limit);
        let is_done = matches!(&state, Some((200, state)) if state == "succeeded");
        if !is_done && !deployment.workers.iter().any(|worker| worker.runs(&id)) {
            open.push(format!("{id} is shown as {state:?} at the end, and nothing of it runs"));
        }
    }
    open
}

fn key(worker: &Worker) -> String {
    format!("{}{}", name("workers"), worker.setup.id)
}

/// What a worker's entry says about its start.
fn born(entry: &str) -> Option<u64> {
    Json::parse(entry)?.number("born")
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until a worker runs something, and then until its runs are 0.3 s old.
fn await_runs(worker: &Worker) -> bool {
    let deadline = Instant::now() + Duration::from_secs(5);
    while !worker.runs(ID_PREFIX) && Instant::now() < deadline {
        pause(5);
    }
    pause(300);
    worker.runs(ID_PREFIX)
}

/// A worker starts again under its id.
fn restart(deployment: &Deployment) -> Option<()> {
    let worker = deployment.workers.first()?;
    worker.crash();
    pause(400);
    worker.start(Duration::ZERO);
    pause(100);
    Some(())
}

/// The store is down and all leases have expired when it is back, so that the cells are claimed
/// anew. A worker has started again meanwhile; its entry is that of its earlier life until its next
/// heartbeat.
fn restart_in_outage(deployment: &Deployment) -> Option<()> {
    deployment.store.set_down(true);
    deployment.record.note("the store is down");
    pause(500);
    restart(deployment)?;
    pause(3_500);
    deployment.store.set_down(false);
    deployment.store.end_leases();
    deployment.record.note("the store is up, and all leases have expired");
    Some(())
}

/// Starts a worker after its clock was set back.
fn start_back(deployment: &Deployment, worker: &Arc<Worker>, back_ms: u64, heartbeat: Duration) {
    let record = &deployment.record;
    record.set_next_start(record.wall_ms() - back_ms);
    worker.start(heartbeat);
}

/// Two workers crash and start again twice within 1.4 s, the second time with the clock 2 s back.
fn start_twice(deployment: &Deployment, last_heartbeat: Duration) -> Option<()> {
    let workers = deployment.workers.get(..2)?;
    for worker in workers {
        worker.crash();
    }
    pause(400);
    for worker in workers {
        worker.start(Duration::ZERO);
    }
    pause(900);
    for worker in workers {
        worker.crash();
    }
    pause(BLINK_MS);
    for worker in workers {
        start_back(deployment, worker, 2_000, last_heartbeat);
    }
    Some(())
}

/// The third lives write their entries at once.
fn clock_back(deployment: &Deployment) -> Option<()> {
    start_twice(deployment, Duration::ZERO)
}

/// The owner is killed once it has sent start orders to the third lives, which write their entries
/// late: the next owner reads entries of the second lives and gets answers of the third.
fn clock_back_owner(deployment: &Deployment) -> Option<()> {
    start_twice(deployment, 2 * HEARTBEAT)?;
    hand_in(deployment, 100..108, ROOMY)?;
    nodes::kill_owner(deployment)
}

/// A worker that has run work units starts again with its clock set back so far that its start has
/// the same time as the earlier one.
fn same_start(deployment: &Deployment) -> Option<()> {
    let worker = &deployment.workers[0];
    let started_ms = born(&deployment.store.read(&key(worker))?)?;
    pause(4_000);
    worker.crash();
    pause(50);
    deployment.record.set_next_start(started_ms);
    worker.start(Duration::ZERO);
    Some(())
}

/// A worker starts again with its clock 20 s back, and the owner is killed, so that the next one has
/// seen nothing of the earlier life. An entry of that life then names the later start.
fn later_start(deployment: &Deployment) -> Option<()> {
    let worker = &deployment.workers[0];
    let epoch = nodes::epoch(deployment);
    worker.crash();
    nodes::kill_owner(deployment)?;
    pause(50);
    start_back(deployment, worker, 20_000, Duration::ZERO);
    let deadline = Instant::now() + Duration::from_secs(10);
    while nodes::epoch(deployment) == epoch && Instant::now() < deadline {
        pause(20);
    }
    Some(())
}
