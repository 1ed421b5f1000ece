//! Plays the trouble that was drawn.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    draw::{Act, To, Who},
    late::{Chooser, Lateness},
    links::{Link, Way},
    load::Load,
    names::name,
    worker::Worker,
    world::World,
};

/// How long the answer to a late call may take, in milliseconds.
const ANSWER_MS: u64 = 300;

/// How long the work runs that is handed in for workers that have none, in milliseconds.
const AWAITED_RUN_MS: u64 = 9_500;

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until so many milliseconds after the beginning of the trouble.
pub fn wait_until(world: &World, at_ms: u64) {
    let due = world.began_ms() + at_ms;
    pause(due.saturating_sub(world.record.now_ms()));
}

/// Plays all acts, each in a thread of its own, and returns when the last is over.
pub fn play(world: &Arc<World>, load: &Arc<Load>, acts: &[(u64, Act)]) {
    let mut threads = Vec::new();
    let mut put_off_ms = 0;
    for (at, act) in acts {
        wait_until(world, at + put_off_ms);
        if let Act::AwaitWork { workers, ms } = act {
            put_off_ms += await_work(world, load, *workers, *ms);
            continue;
        }
        let (world, load, act) = (Arc::clone(world), Arc::clone(load), act.clone());
        threads.push(thread::spawn(move || carry_out(&world, &load, &act)));
    }
    for thread in threads {
        let _ = thread.join();
    }
    world.calm();
    world.record.note("the trouble is over");
}

/// Waits until long work runs on one of some workers. Returns how long that took, in milliseconds.
fn await_work(world: &Arc<World>, load: &Arc<Load>, workers: u64, limit_ms: u64) -> u64 {
    let chosen = chosen(world, workers);
    let has_work = || chosen.iter().any(|worker| load.has_long_run(worker));
    if has_work() {
        return 0;
    }
    let began_ms = world.record.now_ms();
    chosen.iter().for_each(|worker| load.long_unit(world, worker, AWAITED_RUN_MS));
    let deadline = Instant::now() + Duration::from_millis(limit_ms);
    while !has_work() && Instant::now() < deadline {
        pause(1);
    }
    let waited_ms = world.record.now_ms() - began_ms;
    world.record.note(format!(
        "waited {waited_ms} ms for work on workers {workers:b}; it runs: {}",
        has_work()
    ));
    waited_ms
}

fn carry_out(world: &Arc<World>, load: &Arc<Load>, act: &Act) {
    let index = |who: &Who| resolve(world, *who);
    match act {
        Act::Burst { jobs, run_ms } => load.burst(world, *jobs, *run_ms),
        Act::Long { jobs, run_ms } => load.long(world, *jobs, *run_ms),
        Act::Units { worker, count, run_ms } => load.units(world, *worker, *count, *run_ms),
        Act::Freeze { who, ms } => freeze(world, index(who), *ms),
        Act::Kill { who, down_ms } => kill(world, index(who), *down_ms),
        Act::KillTwice { who, gap_ms } => {
            let node = index(who);
            kill(world, node, 0);
            pause(*gap_ms);
            kill(world, node, 0);
        }
        Act::Stop { who, down_ms } => stop(world, index(who), *down_ms),
        Act::Hold { who, to, way, ms } => {
            let node = index(who);
            world.record.note(format!("node {node} -> {to:?}, {way:?}: held for {ms} ms"));
            let links = links(world, node, *to);
            links.iter().for_each(|link| link.hold(*way, *ms));
            pause(*ms);
        }
        Act::Slow { who, to, way, latency_ms, ms } => {
            let node = index(who);
            slow(world, &links(world, node, *to), (node, *way), *latency_ms, *ms);
        }
        Act::Store { who, mode, ms } => {
            let node = index(who);
            world.record.note(format!("the store is {mode:?} for node {node} for {ms} ms"));
            world.store.set_mode(node, *mode, *ms);
            pause(*ms);
        }
        Act::Down { ms, expires, entries } => down(world, *ms, *expires, *entries),
        Act::Late { workers, lateness, ms } => late(world, *workers, lateness, *ms),
        Act::Crash { worker, down_ms } => {
            if let Some(worker) = world.workers.get(*worker as usize) {
                worker.crash();
                pause(*down_ms);
                worker.start(Duration::ZERO);
            }
        }
        Act::Restart { workers, down_ms, entry_ms } => {
            let restarting = chosen(world, *workers);
            restarting.iter().for_each(|worker| worker.crash());
            pause(*down_ms);
            let entry = Duration::from_millis(*entry_ms);
            restarting.iter().for_each(|worker| worker.start(entry));
        }
        Act::Unheard { workers, ms } => {
            for node in 0..world.nodes.len() {
                let links = links(world, node, To::Workers(*workers));
                links.iter().for_each(|link| link.keep_holds(*ms));
            }
            pause(*ms);
        }
        Act::Cut { workers, ms } => cut(world, *workers, *ms),
        // Waited for before the acts that come later.
        Act::AwaitWork { .. } => {}
    }
}

/// The workers whose bits are set.
fn chosen(world: &World, bits: u64) -> Vec<&Arc<Worker>> {
    let workers = world.workers.iter().enumerate();
    workers.filter(|(worker, _)| bits & (1 << worker) != 0).map(|(_, worker)| worker).collect()
}

/// Cuts both ways of all links to some workers.
fn cut(world: &World, workers: u64, ms: u64) {
    let cut_off = chosen(world, workers).iter().map(|worker| worker.setup.id.clone()).collect();
    world.record.note(format!("no node reaches {cut_off:?} for {ms} ms"));
    world.note_cut(cut_off);
    for node in 0..world.nodes.len() {
        for link in links(world, node, To::Workers(workers)) {
            link.hold(Way::Out, ms);
            link.hold(Way::Back, ms);
        }
    }
    pause(ms);
}

fn resolve(world: &World, who: Who) -> usize {
    let owner = world.store.owner();
    match who {
        Who::Owner => owner,
        Who::Other(places) => (owner + places) % world.nodes.len(),
    }
}

fn links(world: &World, node: usize, to: To) -> Vec<Arc<Link>> {
    let node = &world.nodes[node];
    match to {
        To::Workers(bits) => {
            let links = node.worker_links.iter().enumerate();
            let links = links.filter(|(worker, _)| bits & (1 << worker) != 0);
            links.map(|(_, link)| Arc::clone(link)).collect()
        }
        To::Node(who) => node.node_links[resolve(world, who)].iter().cloned().collect(),
        To::Nodes => node.node_links.iter().flatten().cloned().collect(),
        To::Store => vec![Arc::clone(&node.store_link)],
    }
}

fn freeze(world: &World, node: usize, ms: u64) {
    if world.signal(node, "-STOP") {
        world.record.note(format!("node {node} is frozen for {ms} ms"));
        pause(ms);
        world.signal(node, "-CONT");
        world.record.note(format!("node {node} goes on"));
    }
}

fn kill(world: &World, node: usize, down_ms: u64) {
    if world.kill(node) {
        world.record.note(format!("node {node} is killed"));
        pause(down_ms);
        let _ = world.spawn(node);
        world.record.note(format!("node {node} is started"));
    }
}

fn stop(world: &World, node: usize, down_ms: u64) {
    if world.signal(node, "-TERM") {
        world.record.note(format!("node {node} is told to stop"));
        world.await_exit(node);
        world.record.note(format!("node {node} has stopped"));
        pause(down_ms);
        let _ = world.spawn(node);
        world.record.note(format!("node {node} is started"));
    }
}

fn slow(world: &World, links: &[Arc<Link>], (node, way): (usize, Way), latency_ms: u64, ms: u64) {
    let note = format!("node {node}: {} links slow, {way:?}, {latency_ms} ms", links.len());
    world.record.note(format!("{note}, for {ms} ms"));
    links.iter().for_each(|link| link.set_latency(way, latency_ms));
    pause(ms);
    links.iter().for_each(|link| link.set_latency(way, 0));
}

/// Makes calls late, and waits until all of them have arrived.
fn late(world: &World, workers: u64, lateness: &Lateness, ms: u64) {
    let Lateness { kinds, percent, most, delay_ms, .. } = lateness;
    world.record.note(format!(
        "{percent} % of the calls {kinds:?} to workers {workers:b}, at most {most}, are late by {delay_ms:?} ms, \
         for {ms} ms"
    ));
    let chooser = Arc::new(Chooser::new(lateness));
    let nodes = 0..world.nodes.len();
    let links: Vec<Arc<Link>> =
        nodes.flat_map(|node| links(world, node, To::Workers(workers))).collect();
    links.iter().for_each(|link| link.set_chooser(&chooser));
    pause(ms);
    links.iter().for_each(|link| link.remove_chooser(&chooser));
    pause(lateness.delay_ms.1 + ANSWER_MS);
}

fn down(world: &World, ms: u64, expires: bool, entries: u64) {
    world.record.note(format!("the store is down for {ms} ms"));
    world.store.set_down(true);
    pause(ms);
    world.store.set_down(false);
    if expires {
        world.store.end_leases();
    }
    let gone = world.workers.iter().enumerate();
    let gone: Vec<&str> = gone
        .filter(|(worker, _)| entries & (1 << worker) != 0)
        .map(|(_, worker)| worker.setup.id.as_str())
        .collect();
    for worker in &gone {
        world.store.remove(&format!("{}{worker}", name("workers")));
    }
    let leases = if expires { "all leases have expired" } else { "leases have paused" };
    world.record.note(format!("the store is up; {leases}; entries that expired: {gone:?}"));
}

/// Waits until a condition holds, but no longer than the limit.
pub fn await_until(limit: Duration, is_met: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while !is_met() {
        if Instant::now() >= deadline {
            return false;
        }
        pause(100);
    }
    true
}
