//! The deployment of a play: stand-ins, links and the project's own processes.

use std::{
    fs,
    io::Write as _,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    draw::Plan,
    http::{self, Reply, Request, Server},
    json::{self, Json},
    judge::{self, Cut},
    late,
    links::{Link, Passed, WorkerCall},
    names::name,
    ports,
    record::Record,
    store::{Mode, Store},
    variant::{self, Variant},
    worker::{Setup, Worker},
};

/// What is played, unless `PROGRAM` names another build.
const PROGRAM: &str = "target/release/teaselgap";

pub const HOST: &str = "shop.example";
pub const PREFIX: &str = "/jobs/";
const SERVICE: &str = "shop";
const WORKER_CPU: u64 = 16_000;

/// The bits of a fencing token below the epoch.
const GENERATION_BITS: u32 = 24;

/// How long a stopping process has before it is killed (`grace_s` of the settings).
const GRACE: Duration = Duration::from_secs(6);

/// One of the project's processes, with its links.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub store_link: Arc<Link>,
    pub worker_links: Vec<Arc<Link>>,
    /// The links to the other nodes, by their index; `None` for the node itself.
    pub node_links: Vec<Option<Arc<Link>>>,
    child: Mutex<Option<Child>>,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub nodes: Vec<Node>,
    passed: Arc<Passed>,
    folder: PathBuf,
    is_over: Arc<AtomicBool>,
    longest_stall_ms: Arc<AtomicU64>,
    cuts: Mutex<Vec<Cut>>,
    /// The longest lease of a worker, in milliseconds.
    pub max_hold_ms: u64,
    /// When the processes were ready, in milliseconds of the record.
    began_ms: u64,
    _servers: Vec<Server>,
}

impl World {
    /// Starts everything; `None` if the processes don't become ready.
    pub fn start(plan: &Plan, record: Arc<Record>) -> Option<Self> {
        let store = Arc::new(Store::new(plan.nodes, &record));
        store.write(name("config_key"), include_str!("../config.json").trim());
        let workers: Vec<Arc<Worker>> = (1..=plan.workers)
            .map(|index| setup(index, plan.max_hold_ms))
            .map(|setup| Worker::new(setup, Arc::clone(&record), Arc::clone(&store)))
            .collect();
        for worker in &workers {
            worker.start(Duration::ZERO);
        }
        let machines = machine_list(&workers);
        let machine_server =
            Server::start(ports::take()?, Arc::new(move |request| list(&request, &machines)))
                .ok()?;
        let machine_address = machine_server.address;
        let mut world = Self {
            folder: std::env::temp_dir().join(format!("owners-{}", std::process::id())),
            is_over: Arc::default(),
            longest_stall_ms: Arc::default(),
            cuts: Mutex::default(),
            max_hold_ms: plan.max_hold_ms,
            passed: Arc::default(),
            nodes: Vec::new(),
            began_ms: 0,
            _servers: vec![machine_server],
            record,
            store,
            workers,
        };
        fs::create_dir_all(&world.folder).ok()?;
        world.keep_ticking();
        world.add_nodes(plan.nodes, machine_address)?;
        for index in 0..plan.nodes {
            world.spawn(index)?;
        }
        let is_ready = world.await_ready();
        world.began_ms = world.record.now_ms();
        is_ready.then_some(world)
    }

    fn add_nodes(&mut self, count: usize, machines: SocketAddr) -> Option<()> {
        let peers: Option<Vec<SocketAddr>> = (0..count).map(|_| ports::take()).collect();
        let peers = peers?;
        let addresses: Option<Vec<SocketAddr>> =
            self.workers.iter().map(|worker| address(&self.store, worker)).collect();
        let addresses = addresses?;
        for index in 0..count {
            let store = Arc::clone(&self.store);
            let answer = Arc::new(move |request| store.answer(index, request));
            let server = Server::start(ports::take()?, answer).ok()?;
            let link = |what: String, target: SocketAddr| {
                Link::start(format!("node {index} -> {what}"), target, &self.record, &self.passed)
            };
            let store_link = link("store".to_owned(), server.address)?;
            let worker_links = addresses.iter().enumerate();
            let worker_links: Option<Vec<Arc<Link>>> = worker_links
                .map(|(number, target)| link(self.workers[number].setup.id.clone(), *target))
                .collect();
            let node_links: Vec<Option<Arc<Link>>> = (0..count)
                .map(|other| {
                    (other != index).then(|| link(format!("node {other}"), peers[other]))?
                })
                .collect();
            let node = Node {
                name: format!("edge-z1-{index}"),
                front: ports::take()?,
                store_link,
                worker_links: worker_links?,
                node_links,
                child: Mutex::default(),
            };
            let workers = addresses.iter().zip(&node.worker_links);
            let workers = workers.map(|(target, link)| (*target, link.address));
            let others = peers.iter().zip(&node.node_links);
            let others = others.filter_map(|(peer, link)| Some((*peer, link.as_ref()?.address)));
            let links = workers.chain(others).map(|(a, b)| (a.to_string(), b.to_string()));
            self.store.set_links(index, links.collect());
            let path = self.folder.join(format!("{}.toml", node.name));
            fs::write(path, settings(&node, peers[index], machines, self.max_hold_ms)?).ok()?;
            self.nodes.push(node);
            self._servers.push(server);
        }
        Some(())
    }

    /// Starts a node's process, unless it runs.
    pub fn spawn(&self, index: usize) -> Option<()> {
        let node = &self.nodes[index];
        let mut child = node.child.lock().unwrap();
        if child.is_some() || self.is_over.load(SeqCst) {
            return None;
        }
        let path = self.folder.join(format!("{}.log", node.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(path).ok()?;
        let program = std::env::var_os("PROGRAM").unwrap_or_else(|| PROGRAM.into());
        let mut command = Command::new(program);
        command.args(["serve", "--platform"]);
        command.env("TEASELGAP_BOOT", self.folder.join(format!("{}.toml", node.name)));
        command.stdin(Stdio::null()).stdout(log.try_clone().ok()?).stderr(log);
        let started = command.spawn().ok()?;
        // The script ends these if this process is interrupted.
        let pids = self.folder.join("pids");
        let mut pids = fs::OpenOptions::new().create(true).append(true).open(pids).ok()?;
        let _ = writeln!(pids, "{}", started.id());
        *child = Some(started);
        Some(())
    }

    /// Sends a signal to a node's process. Returns whether there is one.
    pub fn signal(&self, index: usize, signal: &str) -> bool {
        let child = self.nodes[index].child.lock().unwrap();
        let Some(child) = child.as_ref() else { return false };
        let pid = child.id().to_string();
        Command::new("kill").args([signal, &pid]).status().is_ok_and(|status| status.success())
    }

    /// Waits until a node's process has ended, but no longer than the grace; kills it then.
    pub fn await_exit(&self, index: usize) {
        let deadline = Instant::now() + GRACE;
        loop {
            {
                let mut child = self.nodes[index].child.lock().unwrap();
                match child.as_mut().map(Child::try_wait) {
                    Some(Ok(None)) if Instant::now() < deadline => {}
                    Some(Ok(None)) => break,
                    _ => {
                        *child = None;
                        return;
                    }
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.kill(index);
    }

    /// Kills a node's process. Returns whether there was one.
    pub fn kill(&self, index: usize) -> bool {
        let Some(mut child) = self.nodes[index].child.lock().unwrap().take() else { return false };
        let _ = child.kill();
        let _ = child.wait();
        true
    }

    /// Waits until every node answers a count of the queue.
    fn await_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            let is_ready = |node: &Node| {
                let call = ("GET", PREFIX, HOST);
                let answer = http::call(node.front, call, "", Duration::from_secs(1));
                answer.is_some_and(|(status, _)| status == 200)
            };
            if self.nodes.iter().all(is_ready) {
                // Long enough for the workers to be adopted.
                thread::sleep(Duration::from_secs(3));
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn keep_ticking(&self) {
        let (is_over, store) = (Arc::clone(&self.is_over), Arc::clone(&self.store));
        let (workers, longest) = (self.workers.clone(), Arc::clone(&self.longest_stall_ms));
        thread::spawn(move || {
            let mut ticks: u64 = 0;
            let mut last = Instant::now();
            while !is_over.load(SeqCst) {
                thread::sleep(Duration::from_millis(1));
                longest.fetch_max(last.elapsed().as_millis() as u64, SeqCst);
                last = Instant::now();
                for worker in &workers {
                    worker.tick();
                }
                ticks += 1;
                if ticks.is_multiple_of(20) {
                    store.tick();
                }
            }
        });
    }

    /// When the trouble begins, in milliseconds of the record.
    pub fn began_ms(&self) -> u64 {
        self.began_ms
    }

    pub fn longest_stall_ms(&self) -> u64 {
        self.longest_stall_ms.load(SeqCst)
    }

    /// The calls that reached workers.
    pub fn calls(&self) -> Vec<WorkerCall> {
        self.passed.calls.lock().unwrap().clone()
    }

    /// Whether the cell was claimed again after the first claim. Without that a play shows nothing.
    pub fn has_new_claim(&self) -> bool {
        self.store.claims().len() > 1
    }

    /// Whether a late call reached a later life than the one it was sent to.
    pub fn has_late_call_in_next_life(&self) -> bool {
        let calls = self.passed.late_calls.lock().unwrap();
        late::has_reached_later_life(&calls, &late::births(&self.record.events()))
    }

    pub fn note_cut(&self, workers: Vec<String>) {
        let at_ms = self.record.now_ms();
        self.cuts.lock().unwrap().push(Cut { at_ms, workers });
    }

    /// How many runs on restarted workers went on when their worker was cut off.
    pub fn cut_runs(&self) -> usize {
        judge::cut_runs(&self.record.events(), &self.cuts.lock().unwrap())
    }

    /// Counts the late calls of each kind.
    fn late_effect(&self) -> String {
        let calls = self.passed.late_calls.lock().unwrap();
        late::summary(&calls, &late::births(&self.record.events()))
    }

    /// Counts the trouble that took effect. Without a change of owner, a play shows nothing.
    pub fn effect(&self) -> String {
        let claims = self.store.claims();
        let calls = self.calls();
        let orders: Vec<&WorkerCall> = calls.iter().filter(|call| call.is_start).collect();
        let is_late = |order: &&&WorkerCall| {
            claims.iter().any(|claim| {
                claim.at_ms < order.at_ms && claim.epoch > order.fence >> GENERATION_BITS
            })
        };
        let changes = claims.windows(2).filter(|pair| pair[0].node != pair[1].node).count();
        let cut_runs = self.cut_runs();
        let is_without_owner = self.has_late_call_in_next_life() || cut_runs > 0;
        let worth = if claims.len() < 2 && !is_without_owner {
            "; without a change of owner, this shows nothing"
        } else {
            ""
        };
        format!(
            "trouble that took effect: {} claims of the cell, {changes} of them by another node \
             than before; {} of {} start orders arrived after a later claim; {} bytes late, {} lost; the \
             stand-ins stood still for {} ms at most{worth}; {}; runs on restarted workers that were \
             cut off: {cut_runs}, with leases of {} ms at most{}",
            claims.len(),
            orders.iter().filter(is_late).count(),
            orders.len(),
            self.passed.late_bytes.load(SeqCst),
            self.passed.lost_bytes.load(SeqCst),
            self.longest_stall_ms(),
            self.late_effect(),
            self.max_hold_ms,
            Variant::chosen().map_or(String::new(), |variant| format!(
                "; {variant:?} had an effect on {} calls",
                variant::effects()
            ))
        )
    }

    /// Ends what holds anything up.
    pub fn calm(&self) {
        self.store.set_down(false);
        for index in 0..self.nodes.len() {
            self.store.set_mode(index, Mode::Up, 0);
            self.signal(index, "-CONT");
            self.spawn(index);
        }
    }
}

/// Ends all processes that were started. Keeps their logs in `KEEP_LOGS`, if set.
impl Drop for World {
    fn drop(&mut self) {
        self.is_over.store(true, SeqCst);
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
        if let Some(kept) = std::env::var_os("KEEP_LOGS") {
            let _ = fs::create_dir_all(&kept);
            for node in &self.nodes {
                let file = format!("{}.log", node.name);
                let _ = fs::copy(self.folder.join(&file), PathBuf::from(&kept).join(file));
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn setup(index: usize, max_hold_ms: u64) -> Setup {
    Setup {
        id: format!("i-{index:08x}"),
        service: SERVICE.to_owned(),
        cpu: WORKER_CPU,
        mem_mb: 131_072,
        max_hold_ms,
        stop_ms: 200,
        heartbeat_ms: 1_500,
    }
}

/// The address that a worker's entry names, once it has written it.
pub fn address(store: &Store, worker: &Worker) -> Option<SocketAddr> {
    let key = format!("{}{}", name("workers"), worker.setup.id);
    let query = vec![("key".to_owned(), key)];
    let request =
        Request { path: name("get").to_owned(), query, headers: Vec::new(), body: String::new() };
    for _ in 0..200 {
        if let Reply::Answer(200, body) = store.handle(&request) {
            let value = crate::base64::decode(Json::parse(&body)?.text("value")?);
            return Json::parse(&String::from_utf8(value).ok()?)?.text("address")?.parse().ok();
        }
        thread::sleep(Duration::from_millis(10));
    }
    None
}

fn settings(
    node: &Node,
    peer: SocketAddr,
    machines: SocketAddr,
    max_hold_ms: u64,
) -> Option<String> {
    let (ready, control) = (ports::take()?, ports::take()?);
    let fields = [
        ("@node@", node.name.clone()),
        ("@port@", peer.port().to_string()),
        ("@front@", node.front.to_string()),
        ("@ready@", ready.to_string()),
        ("@control@", control.to_string()),
        ("@max_hold@", max_hold_ms.to_string()),
        ("@store@", node.store_link.address.to_string()),
        ("@machines@", machines.to_string()),
    ];
    let template = include_str!("../settings.toml").to_owned();
    Some(fields.iter().fold(template, |text, (field, value)| text.replace(field, value)))
}

fn machine_list(workers: &[Arc<Worker>]) -> String {
    let machine = |worker: &Arc<Worker>| {
        let Setup { id, service, cpu, mem_mb, .. } = &worker.setup;
        let capacity = [
            ("cpu", json::number(*cpu)),
            ("mem_mb", json::number(*mem_mb)),
            ("gpus", json::number(0)),
        ];
        json::object([
            ("machine", json::text(format!("m-{id}"))),
            ("pool", json::text(service)),
            ("state", json::text("up")),
            ("zone", json::text("z1")),
            ("labels", Json::List(vec![json::text("a"), json::text(format!("r-{id}"))])),
            ("capacity", json::object(capacity)),
            ("id", json::text(id)),
        ])
    };
    let machines = Json::List(workers.iter().map(machine).collect());
    json::object([("machines", machines), ("next_token", Json::Null)]).to_string()
}

/// The machines' interface: there is one pool, so nothing is ever moved.
fn list(request: &Request, machines: &str) -> Reply {
    if request.path == name("machines") {
        return Reply::Answer(200, machines.to_owned());
    }
    Reply::Answer(400, "{}".to_owned())
}
