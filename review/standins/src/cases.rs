//! The cases.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Deployment, Options, config},
    names::name,
    record::{Event, Record},
};

/// `finish_s` of the site: how long after the end of the traffic jobs are asked for.
const FINISH_MS: u64 = 14_000;

/// How long a job may have nothing running then, while there is room for it.
const MAX_IDLE_MS: u64 = 3_000;

pub enum Outcome {
    Held,
    Broken(Vec<String>),
    /// The situation that the case is about did not come about.
    NotPlayed(String),
}

/// Plays a case; `None` if it is not known or the deployment does not start.
pub fn play(case: &str, has_trouble: bool) -> Option<(Arc<Record>, Outcome)> {
    match case {
        "many-ends" => many_ends(has_trouble),
        "three-crashes" => three_crashes(has_trouble),
        "crash-loop" => crash_loop(has_trouble),
        "late-copy" => late_copy(has_trouble),
        "dropped-route" => dropped_route(has_trouble),
        "stale-entry" => stale_entry(has_trouble),
        _ => None,
    }
}

fn job(count: u32, cpu: u64, run_ms: u64) -> String {
    format!(
        r#"{{"spec":"ms={run_ms} cpu={cpu}","phases":[{{"count":{count},"cpu":{cpu},"mem_mb":256,"estimate_ms":{run_ms}}}]}}"#
    )
}

fn id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000 + number)
}

fn verdict(breaches: Vec<String>) -> Outcome {
    if breaches.is_empty() { Outcome::Held } else { Outcome::Broken(breaches) }
}

/// The store is down for 4.5 s while the queue has much small work. Its workers list more ends than
/// one answer holds.
fn many_ends(has_trouble: bool) -> Option<(Arc<Record>, Outcome)> {
    const JOBS: u64 = 120;
    let options = Options { nodes: 3, workers: 2, worker_cpu: 64_000 };
    let deployment = Deployment::start(&options)?;
    let record = Arc::clone(&deployment.record);
    let body = job(20, 500, 400);
    let accepted = thread::scope(|scope| {
        let deployment = &deployment;
        let hand_in = |number| {
            let body = &body;
            scope.spawn(move || deployment.submit(&id(number), body))
        };
        let handles: Vec<_> = (0..JOBS).map(hand_in).collect();
        handles.into_iter().filter_map(|handle| handle.join().ok()).filter(|ok| *ok).count()
    });
    record.note(format!("{accepted} of {JOBS} jobs are accepted"));
    if has_trouble {
        deployment.store.set_down(true);
        record.note("the store is down");
        let until = Instant::now() + Duration::from_millis(4_500);
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(500));
            let ends: Vec<usize> =
                deployment.workers.iter().map(|worker| worker.unconfirmed_ends()).collect();
            record.note(format!("ends that are not confirmed, by worker: {ends:?}"));
        }
        deployment.store.set_down(false);
        record.note("the store is up");
    }
    for number in 0..JOBS {
        deployment.await_end(&id(number), Duration::from_secs(30));
    }
    deployment.stop();
    let breaches = record.twice();
    Some((record, verdict(breaches)))
}

/// Three times, the worker on which a work unit runs crashes and starts again.
fn three_crashes(has_trouble: bool) -> Option<(Arc<Record>, Outcome)> {
    let options = Options { nodes: 3, workers: 9, worker_cpu: 64_000 };
    let deployment = Deployment::start(&options)?;
    let record = Arc::clone(&deployment.record);
    let job_id = id(1);
    if !deployment.submit(&job_id, &job(1, 3_500, 4_000)) {
        deployment.stop();
        return Some((record, Outcome::NotPlayed("the job was not accepted".to_owned())));
    }
    let crashes = if has_trouble { 3 } else { 0 };
    for _ in 0..crashes {
        let Some(worker) = deployment.await_run(&job_id, Duration::from_secs(20)) else { break };
        thread::sleep(Duration::from_millis(1_500));
        worker.crash();
        thread::sleep(Duration::from_millis(3_000));
        worker.start(Duration::ZERO);
    }
    let end = deployment.await_end(&job_id, Duration::from_secs(30));
    deployment.stop();
    let failures = record.ends(&job_id, "failed");
    record.note(format!("the job is shown as {end:?}; {failures} of its runs ended failed"));
    let outcome = match end {
        Some((200, state)) if state == "succeeded" => Outcome::Held,
        Some((200, state)) if state == "failed" && failures == 0 => Outcome::Broken(vec![format!(
            "{job_id} is shown as failed; no run of it has ended failed, and max_attempts is 4"
        )]),
        other => Outcome::NotPlayed(format!("the job's last state is {other:?}")),
    };
    Some((record, outcome))
}

/// A worker crashes and starts again under its id while the store is down. When the store is back,
/// its entry is that of the worker's earlier life until the worker's next heartbeat.
fn stale_entry(has_trouble: bool) -> Option<(Arc<Record>, Outcome)> {
    const JOBS: u64 = 14;
    let options = Options { nodes: 3, workers: 8, worker_cpu: 16_000 };
    let deployment = Deployment::start(&options)?;
    let record = Arc::clone(&deployment.record);
    let jobs: Vec<String> = (0..JOBS).map(id).collect();
    for job_id in &jobs {
        if !deployment.submit(job_id, &job(8, 2_000, 6_000)) {
            deployment.stop();
            return Some((record, Outcome::NotPlayed("a job was not accepted".to_owned())));
        }
    }
    if has_trouble {
        let worker = &deployment.workers[0];
        thread::sleep(Duration::from_millis(500));
        deployment.store.set_down(true);
        record.note("the store is down");
        thread::sleep(Duration::from_millis(500));
        worker.crash();
        thread::sleep(Duration::from_millis(500));
        worker.start(Duration::ZERO);
        thread::sleep(Duration::from_millis(3_500));
        deployment.store.set_down(false);
        record.note("the store is up");
    }
    for job_id in &jobs {
        deployment.await_end(job_id, Duration::from_secs(30));
    }
    deployment.stop();
    let breaches = record.twice();
    Some((record, verdict(breaches)))
}

/// A job with a step of one work unit of `first_ms`, and a second step after it.
fn two_steps(first_ms: u64) -> String {
    format!(
        r#"{{"spec":"ms={first_ms} cpu=2000","phases":[{{"count":1,"cpu":2000,"mem_mb":256,"estimate_ms":{first_ms}}},{{"count":2,"cpu":2000,"mem_mb":256,"estimate_ms":{first_ms},"after":[0]}}]}}"#
    )
}

/// The operator removes a route while a job of its queue runs.
fn dropped_route(has_trouble: bool) -> Option<(Arc<Record>, Outcome)> {
    let options = Options { nodes: 3, workers: 3, worker_cpu: 32_000 };
    let deployment = Deployment::start(&options)?;
    let record = Arc::clone(&deployment.record);
    let job_id = id(1);
    if !deployment.submit(&job_id, &two_steps(2_500)) {
        return Some((record, Outcome::NotPlayed("the job was not accepted".to_owned())));
    }
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        deployment.store.write(name("config_key"), &config(2, false));
        record.note("the operator's configuration 2 has no route to the queue any more");
    }
    thread::sleep(Duration::from_secs(20));
    let state = deployment.await_end(&job_id, Duration::from_secs(1));
    record.note(format!("the job's state: {state:?} (404 counts as no answer)"));
    let second = format!("{job_id}.0.1.");
    let is_start = |event: &Event| match event {
        Event::Started { task, .. } => task.starts_with(&second),
        _ => false,
    };
    let starts = record.events().iter().filter(|(_, event)| is_start(event)).count();
    let outcome = if starts >= 2 {
        Outcome::Held
    } else {
        Outcome::Broken(vec![format!(
            "{job_id}: {starts} of 2 work units of the second step have started 17 s after the \
             first step was done; all workers are idle"
        )])
    };
    Some((record, outcome))
}

/// The worker on which a work unit has just started crashes, starts again, and is lost for good
/// shortly after.
fn crash_loop(has_trouble: bool) -> Option<(Arc<Record>, Outcome)> {
    let options = Options { nodes: 3, workers: 14, worker_cpu: 64_000 };
    let deployment = Deployment::start(&options)?;
    let record = Arc::clone(&deployment.record);
    let job_id = id(1);
    if !deployment.submit(&job_id, &job(1, 3_500, 2_000)) {
        return Some((record, Outcome::NotPlayed("the job was not accepted".to_owned())));
    }
    let traffic_ended = record.now_ms();
    if has_trouble {
        let worker = deployment.await_run(&job_id, Duration::from_secs(5))?;
        worker.crash();
        thread::sleep(Duration::from_millis(500));
        worker.start(Duration::ZERO);
        thread::sleep(Duration::from_millis(400));
        worker.crash();
    }
    let end = deployment.await_end(&job_id, Duration::from_secs(50));
    record.note(format!("the job's last state: {end:?}"));
    let idle_ms = record.longest_idle_ms(&job_id, traffic_ended + FINISH_MS);
    record.note(format!(
        "from 14 s after the end of the traffic, nothing of it runs for {idle_ms} ms"
    ));
    let outcome = if idle_ms >= MAX_IDLE_MS {
        Outcome::Broken(vec![format!(
            "{job_id}: nothing runs for {idle_ms} ms, later than 14 s after the end of the \
             traffic, while all other workers are idle"
        )])
    } else {
        Outcome::Held
    };
    Some((record, outcome))
}

/// Two workers leave one start order each without an answer. A copy of the order begins the run, which
/// is done when the workers crash. They carry the first order out as soon as they have started again.
fn late_copy(has_trouble: bool) -> Option<(Arc<Record>, Outcome)> {
    let options = Options { nodes: 3, workers: 15, worker_cpu: 64_000 };
    let deployment = Deployment::start(&options)?;
    let record = Arc::clone(&deployment.record);
    let late_workers = &deployment.workers[..2];
    if has_trouble {
        late_workers.iter().for_each(|worker| worker.delay_next_start());
    }
    let job_id = id(1);
    if !deployment.submit(&job_id, &job(40, 3_500, 500)) {
        return Some((record, Outcome::NotPlayed("the job was not accepted".to_owned())));
    }
    if has_trouble {
        thread::sleep(Duration::from_millis(1_600));
        late_workers.iter().for_each(|worker| worker.crash());
        thread::sleep(Duration::from_millis(500));
        late_workers.iter().for_each(|worker| worker.start(Duration::ZERO));
    }
    deployment.await_end(&job_id, Duration::from_secs(30));
    thread::sleep(Duration::from_secs(4));
    let breaches = record.twice();
    Some((record, verdict(breaches)))
}
