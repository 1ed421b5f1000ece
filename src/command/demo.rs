//! `teaselgap demo`: a small system in one process, under load.

use std::{
    io::Write as _,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use pico_args::Arguments;
use serde::Serialize;
use teaselgap_core::{Slots, Span};
use teaselgap_standins::{
    caller::{self, Call, CallLog, CallSummary},
    store, vm_list, worker,
};

use super::{CommandError, block_on, end, files, publish};
use crate::{
    node::{self, Node},
    settings::{Level, Listen, Settings, StoreSettings},
};

const HELP: &str = "\
Usage: teaselgap demo [--json] [--seconds N]

Brings up a stand-in platform, three entry nodes in three availability zones and fifteen stand-in
workers in three pools on loopback, publishes example declarations, sends mixed traffic, drains a VM
and publishes a change meanwhile, and counts what callers and workers saw independently of each
other.
";

const POOLS: [&str; 3] = ["shop", "workshop", "misc-tools"];
const WORKERS_A_POOL: usize = 5;
const ZONES: [&str; 3] = ["brno", "praha", "olomouc"];
const CALLERS: usize = 24;

/// What the demo ends with.
#[derive(Serialize)]
struct Report {
    #[serde(flatten)]
    verdict: CallSummary,
    rollout_ms: u64,
}

pub(super) fn run(mut args: Arguments, help: bool) -> Result<(), CommandError> {
    if help {
        print!("{HELP}");
        return Ok(());
    }
    let as_json = args.contains("--json");
    let seconds = args.opt_value_from_str("--seconds")?.unwrap_or(5);
    end(args)?;
    let report = block_on(demo(Duration::from_secs(seconds)))?;
    print_table(&report);
    if as_json {
        println!("{}", serde_json::to_string(&report).map_err(CommandError::failed)?);
    }
    let verdict = &report.verdict;
    if verdict.lost + verdict.doubled + verdict.mixed_up + verdict.cut_off > 0 {
        return Err(CommandError::Failed("a promise was broken; see the table".to_owned()));
    }
    Ok(())
}

/// The stand-ins that the nodes run against.
struct Platform {
    store: store::Handle,
    list: vm_list::Handle,
    workers: Vec<worker::Handle>,
    vms: Vec<vm_list::Vm>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn platform() -> Result<Platform, CommandError> {
    let store = store::start(any_port(), any_port()).await.map_err(CommandError::failed)?;
    let mut workers = Vec::new();
    let mut vms = Vec::new();
    for pool in POOLS {
        for i in 0..WORKERS_A_POOL {
            let worker = worker::start(any_port()).await.map_err(CommandError::failed)?;
            vms.push(vm(pool, i, worker.address)?);
            workers.push(worker);
        }
    }
    let list = vm_list::start(any_port(), vms.clone()).await.map_err(CommandError::failed)?;
    Ok(Platform { store, list, workers, vms })
}

fn vm(pool: &str, i: usize, address: SocketAddr) -> Result<vm_list::Vm, CommandError> {
    let zone = ZONES[i % ZONES.len()];
    Ok(vm_list::Vm {
        id: format!("{pool}-{i}").parse().map_err(CommandError::failed)?,
        address,
        zone: zone.parse().map_err(CommandError::failed)?,
        rack: format!("{zone}-{}", i / 4).parse().map_err(CommandError::failed)?,
        pool: pool.parse().map_err(CommandError::failed)?,
        slots: Slots(8),
        state: vm_list::VmState::Live,
        accelerators: 0,
        maintained_ms: None,
    })
}

fn settings(platform: &Platform, i: usize) -> Result<Settings, CommandError> {
    let mut settings = Settings {
        node: format!("entry-{i}").parse().map_err(CommandError::failed)?,
        zone: ZONES[i].parse().map_err(CommandError::failed)?,
        listen: Listen {
            http: any_port(),
            peer: any_port(),
            advertise_peer: None,
            allow_plain_text: false,
        },
        store: StoreSettings::at(platform.store.address),
        vm_list: platform.list.address,
        ..Settings::default()
    };
    settings.limits.threads = 2;
    settings.log.level = Level::Error;
    settings.shutdown.linger = Span(200);
    Ok(settings)
}

fn declarations() -> Vec<(String, String)> {
    let examples = [
        include_str!("../../examples/lamparna/previews.json"),
        include_str!("../../examples/lamparna/cutting-sheets.json"),
        include_str!("../../examples/lamparna/orders.json"),
        include_str!("../../examples/lamparna/catalogue.json"),
        include_str!("../../examples/lamparna/stock-sync.json"),
    ];
    let named = examples.iter().enumerate();
    named.map(|(i, text)| (format!("example-{i}.json"), (*text).to_owned())).collect()
}

/// A directory that is removed when it is dropped.
struct Scratch(PathBuf);

impl Scratch {
    fn new() -> Result<Self, CommandError> {
        let name = format!("teaselgap-demo-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).map_err(CommandError::failed)?;
        Ok(Self(path))
    }

    fn write(&self, files: &[(String, String)]) -> Result<(), CommandError> {
        files.iter().try_for_each(|(name, text)| {
            std::fs::write(self.0.join(name), text).map_err(CommandError::failed)
        })
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // What stays behind lies in the system's folder for such things.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

async fn publish_examples(
    settings: &Settings,
    files: &[(String, String)],
) -> Result<Duration, CommandError> {
    let scratch = Scratch::new()?;
    scratch.write(files)?;
    let (declarations, problems) = files::read(std::slice::from_ref(&scratch.0))?;
    if !problems.is_empty() {
        return Err(files::problems_error(&problems));
    }
    publish::publish_and_wait(settings, &declarations).await
}

async fn wait_until(what: &str, holds: impl Fn() -> bool) -> Result<(), CommandError> {
    const LIMIT: Duration = Duration::from_secs(20);
    let started = Instant::now();
    while !holds() {
        if started.elapsed() > LIMIT {
            return Err(CommandError::Failed(format!("{what} took longer than {LIMIT:?}")));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

async fn demo(time: Duration) -> Result<Report, CommandError> {
    let platform = platform().await?;
    let settings =
        (0..ZONES.len()).map(|i| settings(&platform, i)).collect::<Result<Vec<_>, _>>()?;
    let nodes: Vec<Node> = settings
        .iter()
        .map(|one| node::start(one.clone()).map_err(CommandError::failed))
        .collect::<Result<_, _>>()?;
    wait_until("starting the nodes", || nodes.iter().all(Node::is_ready)).await?;
    let mut files = declarations();
    publish_examples(&settings[0], &files).await?;
    let entries: Vec<SocketAddr> = nodes.iter().map(|node| node.http).collect();
    wait_until("lending the slots", || nodes.iter().all(Node::holds_slots)).await?;

    let ledger = Arc::new(Mutex::new(CallLog::default()));
    let until = Instant::now() + time;
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| tokio::spawn(call_until(i, entries.clone(), Arc::clone(&ledger), until)))
        .collect();
    let progress = tokio::spawn(show_progress(Arc::clone(&ledger), until));
    tokio::time::sleep(time / 3).await;
    drain(&platform);
    tokio::time::sleep(time / 3).await;
    if let Some((_, text)) = files.first_mut() {
        *text = text.replace("\"normal\": 16", "\"normal\": 12");
    }
    let rollout = publish_examples(&settings[1], &files).await?;
    for caller in callers {
        caller.await.map_err(CommandError::failed)?;
    }
    progress.await.map_err(CommandError::failed)?;
    for node in nodes {
        node.stop().await;
    }
    let tally = worker::sum_counts(platform.workers.iter().map(worker::Handle::run_counts));
    platform.store.stop();
    platform.list.stop();
    let ledger = ledger.lock().unwrap_or_else(PoisonError::into_inner);
    let verdict = ledger.summarize(&tally, |id| id.starts_with("order"));
    let rollout_ms = u64::try_from(rollout.as_millis()).unwrap_or(u64::MAX);
    Ok(Report { verdict, rollout_ms })
}

/// Shows a VM as leaving.
fn drain(platform: &Platform) {
    if let Some(vm) = platform.vms.first() {
        platform.list.put(vec![vm_list::Vm { state: vm_list::VmState::Leaving, ..vm.clone() }]);
    }
}

async fn call_until(
    caller: usize,
    entries: Vec<SocketAddr>,
    ledger: Arc<Mutex<CallLog>>,
    until: Instant,
) {
    let mut n = 0;
    while Instant::now() < until {
        let (method, path, kind, work) = match n % 5 {
            0 => ("POST", "/orders/new", "order", 5),
            1 => ("GET", "/cutting-sheets/7", "sheet", 10),
            2 => ("PUT", "/stock-sync/all", "stock", 20),
            3 => ("PUT", "/catalogue/photo", "photo", 30),
            _ => ("GET", "/previews/lamp", "preview", 5),
        };
        let mut call = Call::new(method, path, &format!("{kind}-{caller}-{n}"));
        call.customer = format!("lamp-maker-{}", caller % 7);
        call.work = Duration::from_millis(work);
        let entry = entries[(caller + n) % entries.len()];
        let (told, _) = caller::call(entry, &call).await;
        ledger.lock().unwrap_or_else(PoisonError::into_inner).record(&call.id, told);
        n += 1;
    }
}

async fn show_progress(ledger: Arc<Mutex<CallLog>>, until: Instant) {
    while Instant::now() < until {
        let sent = ledger.lock().unwrap_or_else(PoisonError::into_inner).len();
        let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
        eprint!("\r{sent} requests told, {left:.1} s left ");
        // A terminal that went away does not stop the demo.
        let _ = std::io::stderr().flush();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    eprintln!();
}

fn print_table(report: &Report) {
    let verdict = &report.verdict;
    let rows = [
        ("sent", verdict.sent),
        ("answered", verdict.answered),
        ("told not run", verdict.not_run),
        ("outcome unknown", verdict.unknown),
        ("lost", verdict.lost),
        ("run twice though not idempotent", verdict.doubled),
        ("given another's answer", verdict.mixed_up),
        ("cut off while running", verdict.cut_off),
    ];
    for (name, count) in rows {
        println!("{name:<34}{count:>8}");
    }
    println!("{:<34}{:>5} ms", "change in force everywhere after", report.rollout_ms);
}
