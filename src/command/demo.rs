//! `teaselgap demo`: runs a small system in one process under load and reports what callers saw.

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

use super::{CommandError, block_on, files, publish, reject_remaining};
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
const WORKERS_PER_POOL: usize = 5;
const ZONES: [&str; 3] = ["brno", "praha", "olomouc"];
const CALLERS: usize = 24;

/// The results that the demo prints.
#[derive(Serialize)]
struct Report {
    #[serde(flatten)]
    summary: CallSummary,
    rollout_ms: u64,
}

pub(super) fn run(mut args: Arguments, help: bool) -> Result<(), CommandError> {
    if help {
        print!("{HELP}");
        return Ok(());
    }
    let as_json = args.contains("--json");
    let seconds = args.opt_value_from_str("--seconds")?.unwrap_or(5);
    reject_remaining(args)?;
    let report = block_on(run_demo(Duration::from_secs(seconds)))?;
    print_table(&report);
    if as_json {
        println!("{}", serde_json::to_string(&report).map_err(CommandError::failed)?);
    }
    let summary = &report.summary;
    if summary.lost + summary.doubled + summary.mixed_up + summary.cut_off > 0 {
        return Err(CommandError::Failed(
            "requests were lost, run twice, mixed up or cut off; see the table".to_owned(),
        ));
    }
    Ok(())
}

/// The stand-ins for the platform: its store, its list of VMs, and the workers on the VMs.
struct Platform {
    store: store::Handle,
    list: vm_list::Handle,
    workers: Vec<worker::Handle>,
    vms: Vec<vm_list::Vm>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start_platform() -> Result<Platform, CommandError> {
    let store = store::start(any_port(), any_port()).await.map_err(CommandError::failed)?;
    let mut workers = Vec::new();
    let mut vms = Vec::new();
    for pool in POOLS {
        for i in 0..WORKERS_PER_POOL {
            let worker = worker::start(any_port()).await.map_err(CommandError::failed)?;
            vms.push(make_vm(pool, i, worker.address)?);
            workers.push(worker);
        }
    }
    let list = vm_list::start(any_port(), vms.clone()).await.map_err(CommandError::failed)?;
    Ok(Platform { store, list, workers, vms })
}

fn make_vm(pool: &str, i: usize, address: SocketAddr) -> Result<vm_list::Vm, CommandError> {
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

fn node_settings(platform: &Platform, i: usize) -> Result<Settings, CommandError> {
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

fn example_files() -> Vec<(String, String)> {
    let examples = [
        include_str!("../../examples/lamparna/previews.json"),
        include_str!("../../examples/lamparna/cutting-sheets.json"),
        include_str!("../../examples/lamparna/orders.json"),
        include_str!("../../examples/lamparna/catalogue.json"),
        include_str!("../../examples/lamparna/stock-sync.json"),
    ];
    let numbered = examples.iter().enumerate();
    numbered.map(|(i, text)| (format!("example-{i}.json"), (*text).to_owned())).collect()
}

/// A temporary directory that is removed when this value is dropped.
struct TempDirectory(PathBuf);

impl TempDirectory {
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

impl Drop for TempDirectory {
    fn drop(&mut self) {
        // If this fails, the files stay in the system's temporary directory.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

async fn publish_examples(
    settings: &Settings,
    files: &[(String, String)],
) -> Result<Duration, CommandError> {
    let directory = TempDirectory::new()?;
    directory.write(files)?;
    let (declarations, problems) = files::read(std::slice::from_ref(&directory.0))?;
    if !problems.is_empty() {
        return Err(files::problems_error(&problems));
    }
    publish::publish_and_wait(settings, &declarations).await
}

async fn wait_until(what: &str, is_done: impl Fn() -> bool) -> Result<(), CommandError> {
    const LIMIT: Duration = Duration::from_secs(20);
    let started = Instant::now();
    while !is_done() {
        if started.elapsed() > LIMIT {
            return Err(CommandError::Failed(format!("{what} took longer than {LIMIT:?}")));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

async fn run_demo(duration: Duration) -> Result<Report, CommandError> {
    let platform = start_platform().await?;
    let all_settings =
        (0..ZONES.len()).map(|i| node_settings(&platform, i)).collect::<Result<Vec<_>, _>>()?;
    let nodes: Vec<Node> = all_settings
        .iter()
        .map(|settings| node::start(settings.clone()).map_err(CommandError::failed))
        .collect::<Result<_, _>>()?;
    wait_until("starting the nodes", || nodes.iter().all(Node::is_ready)).await?;
    let mut files = example_files();
    publish_examples(&all_settings[0], &files).await?;
    let node_addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.http).collect();
    wait_until("granting the slots", || nodes.iter().all(Node::holds_slots)).await?;

    let call_log = Arc::new(Mutex::new(CallLog::default()));
    let until = Instant::now() + duration;
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| tokio::spawn(call_until(i, node_addresses.clone(), Arc::clone(&call_log), until)))
        .collect();
    let progress = tokio::spawn(show_progress(Arc::clone(&call_log), until));
    tokio::time::sleep(duration / 3).await;
    start_draining_vm(&platform);
    tokio::time::sleep(duration / 3).await;
    if let Some((_, text)) = files.first_mut() {
        *text = text.replace("\"normal\": 16", "\"normal\": 12");
    }
    let rollout = publish_examples(&all_settings[1], &files).await?;
    for caller in callers {
        caller.await.map_err(CommandError::failed)?;
    }
    progress.await.map_err(CommandError::failed)?;
    for node in nodes {
        node.stop().await;
    }
    let run_counts = worker::sum_counts(platform.workers.iter().map(worker::Handle::run_counts));
    platform.store.stop();
    platform.list.stop();
    let call_log = call_log.lock().unwrap_or_else(PoisonError::into_inner);
    let summary = call_log.summarize(&run_counts, |id| id.starts_with("order"));
    let rollout_ms = u64::try_from(rollout.as_millis()).unwrap_or(u64::MAX);
    Ok(Report { summary, rollout_ms })
}

/// Lists the first VM as leaving, upon which the nodes drain it.
fn start_draining_vm(platform: &Platform) {
    if let Some(vm) = platform.vms.first() {
        platform.list.put(vec![vm_list::Vm { state: vm_list::VmState::Leaving, ..vm.clone() }]);
    }
}

async fn call_until(
    caller: usize,
    node_addresses: Vec<SocketAddr>,
    call_log: Arc<Mutex<CallLog>>,
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
        let address = node_addresses[(caller + n) % node_addresses.len()];
        let (result, _) = caller::call(address, &call).await;
        call_log.lock().unwrap_or_else(PoisonError::into_inner).record(&call.id, result);
        n += 1;
    }
}

async fn show_progress(call_log: Arc<Mutex<CallLog>>, until: Instant) {
    while Instant::now() < until {
        let finished = call_log.lock().unwrap_or_else(PoisonError::into_inner).len();
        let remaining = until.saturating_duration_since(Instant::now()).as_secs_f64();
        eprint!("\r{finished} requests finished, {remaining:.1} s left ");
        // A closed standard error does not stop the demo.
        let _ = std::io::stderr().flush();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    eprintln!();
}

fn print_table(report: &Report) {
    let summary = &report.summary;
    let rows = [
        ("sent", summary.sent),
        ("answered", summary.answered),
        ("told not run", summary.not_run),
        ("outcome unknown", summary.unknown),
        ("lost", summary.lost),
        ("run twice though not idempotent", summary.doubled),
        ("given another's answer", summary.mixed_up),
        ("cut off while running", summary.cut_off),
    ];
    for (name, count) in rows {
        println!("{name:<34}{count:>8}");
    }
    println!("{:<34}{:>5} ms", "change in force everywhere after", report.rollout_ms);
}
