//! A cluster for tests and measurements: real node processes, with a simulated platform and
//! simulated workers.
//!
//! Each node has two fault-injecting proxies of its own: one to the store, and one through which
//! the other nodes reach it.

mod node;

use std::{
    collections::HashSet,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Output, Stdio},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};
use teaselgap_core::{Slots, VmId};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::Command,
    sync::watch,
};

pub use self::node::Node;
use crate::{
    http, proxy, store,
    vm_list::{self, Vm, VmState},
    worker,
};

/// Size and settings of a cluster.
#[derive(Clone, Debug)]
pub struct Config {
    /// Path of the `teaselgap` binary.
    pub binary: PathBuf,
    /// Number of entry nodes.
    pub nodes: usize,
    /// Names of the pools, with the number of VMs in each.
    pub pools: Vec<(String, usize)>,
    /// Number of slots of each VM.
    pub slots: u32,
    /// Number of availability zones over which nodes and VMs are spread.
    pub zones: usize,
    /// Number of VMs in a rack.
    pub rack_size: usize,
    /// Whether to start a worker for each VM. Without workers, VMs are entries of the list only.
    pub workers: bool,
    /// JSON object that is merged into the settings of every node and overrides them.
    pub settings: Value,
}

impl Config {
    /// Three nodes in three zones, and two pools of four VMs with workers.
    #[must_use]
    pub fn small(binary: &str) -> Self {
        Self {
            binary: PathBuf::from(binary),
            nodes: 3,
            pools: vec![("shop".to_owned(), 4), ("workshop".to_owned(), 4)],
            slots: 8,
            zones: 3,
            rack_size: 2,
            workers: true,
            settings: json!({}),
        }
    }
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Configuration with which the cluster was started.
    pub cfg: Config,
    /// The simulated key-value store.
    pub store: store::Handle,
    /// The simulated list of VMs.
    pub list: vm_list::Handle,
    /// The VMs as first listed, apart from moves to other pools.
    pub vms: Vec<Vm>,
    /// The VMs' workers, in the order of `vms`; empty without workers.
    pub workers: Vec<worker::Handle>,
    /// The nodes, in the order in which they were added.
    pub nodes: Vec<Node>,
    dir: PathBuf,
    nodes_started: usize,
}

/// An error of a cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// An operation of the operating system failed, such as starting a process or binding a port.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A node ended before it printed its addresses, or printed something else.
    #[error("{0} did not start; see {1}")]
    NodeDidNotStart(String, PathBuf),
    /// A condition did not hold in time.
    #[error("timed out waiting for: {0}")]
    Timeout(String),
    /// Another failure, such as a failed command or an invalid configuration.
    #[error("{0}")]
    Command(String),
}

/// Longest wait for any condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Waits until `holds` returns true; `condition` describes it in the error.
///
/// # Errors
///
/// [`ClusterError::Timeout`] if the condition does not hold within [`WAIT_TIMEOUT`].
pub async fn wait_for<F, Fut>(condition: &str, mut holds: F) -> Result<(), ClusterError>
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let started = Instant::now();
    while !holds().await {
        if started.elapsed() > WAIT_TIMEOUT {
            return Err(ClusterError::Timeout(condition.to_owned()));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

impl Cluster {
    /// Starts the simulated platform, the workers and the nodes, and waits until the nodes are
    /// ready.
    ///
    /// # Errors
    ///
    /// If a part of the cluster does not start.
    pub async fn start(cfg: Config) -> Result<Self, ClusterError> {
        let mut cluster = Self::start_without_nodes(cfg).await?;
        for i in 0..cluster.cfg.nodes {
            cluster.add_node(&format!("entry-{i}")).await?;
        }
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Starts the simulated platform and the workers, but no nodes.
    ///
    /// # Errors
    ///
    /// If the store, the list or a worker does not start.
    pub async fn start_without_nodes(cfg: Config) -> Result<Self, ClusterError> {
        let store = store::start(any_port(), any_port()).await?;
        let mut workers = Vec::new();
        let mut vms = Vec::new();
        for (pool, count) in &cfg.pools {
            for i in 0..*count {
                let mut address = SocketAddr::from(([127, 0, 0, 1], 9));
                if cfg.workers {
                    let worker = worker::start(any_port()).await?;
                    address = worker.address;
                    workers.push(worker);
                }
                vms.push(vm(&cfg, pool, i, address)?);
            }
        }
        let list = vm_list::start(any_port(), vms.clone()).await?;
        let dir_name = format!("teaselgap-{}-{}", std::process::id(), store.address.port());
        let dir = std::env::temp_dir().join(dir_name);
        std::fs::create_dir_all(&dir)?;
        Ok(Self { cfg, store, list, vms, workers, nodes: Vec::new(), dir, nodes_started: 0 })
    }

    /// Starts another node.
    ///
    /// # Errors
    ///
    /// If the node does not start.
    pub async fn add_node(&mut self, name: &str) -> Result<(), ClusterError> {
        let node = self.spawn(name).await?;
        self.nodes.push(node);
        Ok(())
    }

    /// Starts a node with the name of the one at `index` and replaces that one, which must have
    /// ended.
    ///
    /// # Errors
    ///
    /// If the node does not start.
    pub async fn replace_node(&mut self, index: usize) -> Result<(), ClusterError> {
        let name = self.nodes[index].name.clone();
        let node = self.spawn(&name).await?;
        self.nodes[index] = node;
        Ok(())
    }

    async fn spawn(&mut self, name: &str) -> Result<Node, ClusterError> {
        self.nodes_started += 1;
        let store_proxy = proxy::start(any_port(), Some(self.store.address)).await?;
        let peer_proxy = proxy::start(any_port(), None).await?;
        let zone = format!("zone-{}", (self.nodes_started - 1) % self.cfg.zones.max(1));
        let mut settings = json!({
            "node": name,
            "zone": zone,
            "listen": {
                "http": "127.0.0.1:0", "peer": "127.0.0.1:0", "advertise_peer": peer_proxy.address,
            },
            "store": {"endpoints": [store_proxy.address]},
            "vm_list": self.list.address,
            "peers": self.nodes.iter().map(|node| node.peer_proxy.address).collect::<Vec<_>>(),
            "limits": {"threads": 1},
            "shutdown": {"linger": "300ms", "drain": "30s"},
        });
        merge(&mut settings, &self.cfg.settings);
        let file = self.dir.join(format!("{name}-{}.json", self.nodes_started));
        std::fs::write(&file, settings.to_string())?;
        let log = self.dir.join(format!("{name}-{}.log", self.nodes_started));
        let mut child = Command::new(&self.cfg.binary)
            .args(["serve", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(std::fs::File::create(&log)?)
            .kill_on_drop(true)
            .spawn()?;
        let did_not_start = || ClusterError::NodeDidNotStart(name.to_owned(), log.clone());
        let stdout = child.stdout.take().ok_or_else(did_not_start)?;
        let line = BufReader::new(stdout).lines().next_line().await?.ok_or_else(did_not_start)?;
        let startup: Value = serde_json::from_str(&line).map_err(|_| did_not_start())?;
        let address = |kind: &str| -> Option<SocketAddr> {
            startup["listening"][kind].as_str()?.parse().ok()
        };
        let (http_address, peer_address) =
            address("http").zip(address("peer")).ok_or_else(did_not_start)?;
        peer_proxy.set_target(peer_address);
        Ok(Node {
            name: name.to_owned(),
            address: http_address,
            store_proxy,
            peer_proxy,
            log,
            child,
        })
    }

    /// Waits until every node reports that it is ready.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Timeout`] if a node isn't ready in time.
    pub async fn wait_ready(&self) -> Result<(), ClusterError> {
        for node in &self.nodes {
            wait_for(&format!("{} ready", node.name), || async {
                get(node.address, "/readyz").await.is_some_and(|(status, _)| status == 200)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until every node holds slots in every declared pool.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Timeout`] if a node doesn't hold them in time.
    pub async fn wait_slots(&self) -> Result<(), ClusterError> {
        for node in &self.nodes {
            wait_for(&format!("{} holds slots", node.name), || async {
                let status = node.status().await;
                let pools = status["pools"].as_array().cloned().unwrap_or_default();
                let holds = |pool: &Value| pool["held"].as_u64() > Some(0);
                !pools.is_empty() && pools.iter().all(holds)
            })
            .await?;
        }
        Ok(())
    }

    /// Writes each declaration, a JSON object, to a file in `directory`, which it empties first.
    /// Returns the path of the directory.
    ///
    /// # Errors
    ///
    /// If the directory or a file can't be written.
    pub fn write_declarations(
        &self,
        directory: &str,
        declarations: &[Value],
    ) -> Result<PathBuf, ClusterError> {
        let directory = self.dir.join(directory);
        if directory.exists() {
            std::fs::remove_dir_all(&directory)?;
        }
        std::fs::create_dir_all(&directory)?;
        for (i, declaration) in declarations.iter().enumerate() {
            let file = directory.join(format!("declaration-{i:04}.json"));
            std::fs::write(file, declaration.to_string())?;
        }
        Ok(directory)
    }

    /// Writes the settings file for commands, which reach the platform without proxies. Returns the
    /// path of the file.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn command_settings(&self) -> Result<PathBuf, ClusterError> {
        let mut settings = json!({
            "node": "operator",
            "zone": "zone-0",
            "listen": {"http": "127.0.0.1:0", "peer": "127.0.0.1:0"},
            "store": {"endpoints": [self.store.address]},
            "vm_list": self.list.address,
            "peers": self.nodes.iter().map(|node| node.peer_proxy.address).collect::<Vec<_>>(),
        });
        merge(&mut settings, &self.cfg.settings);
        let file = self.dir.join("operator.json");
        std::fs::write(&file, settings.to_string())?;
        Ok(file)
    }

    /// Runs a command of the binary with the settings for commands and waits until it ends.
    ///
    /// # Errors
    ///
    /// If the process can't be started.
    pub async fn command(&self, args: &[&str]) -> Result<Output, ClusterError> {
        let settings = self.command_settings()?;
        let (command, rest) = args.split_at(1.min(args.len()));
        let output = Command::new(&self.cfg.binary)
            .args(command)
            .args(rest)
            .arg("--settings")
            .arg(settings)
            .kill_on_drop(true)
            .output();
        Ok(output.await?)
    }

    /// Publishes `declarations`, which replace all earlier ones, and waits until they are in force
    /// on every node. Returns the command's standard output.
    ///
    /// # Errors
    ///
    /// If the command fails; the error holds the command's standard error.
    pub async fn publish(&self, declarations: &[Value]) -> Result<String, ClusterError> {
        let directory = self.write_declarations("published", declarations)?;
        let directory = directory.display().to_string();
        let output = self.command(&["publish", "--wait", &directory]).await?;
        if !output.status.success() {
            let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(ClusterError::Command(stderr));
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Returns the sum of all workers' run counts.
    #[must_use]
    pub fn run_counts(&self) -> worker::RunCounts {
        worker::sum_counts(self.workers.iter().map(worker::Handle::run_counts))
    }

    /// Returns the addresses at which callers reach the nodes.
    #[must_use]
    pub fn node_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.address).collect()
    }

    /// Lists all VMs as last maintained `age` ago and starts a task that maintains each VM once,
    /// when its maintenance is requested: the VM is listed as leaving for `duration`, and its
    /// worker closes its connections. The receiver holds the number of VMs maintained so far.
    #[must_use]
    pub fn maintain_on_request(&self, age: Duration, duration: Duration) -> watch::Receiver<usize> {
        let wall_ms_ago = |age: Duration| {
            let time = SystemTime::now().checked_sub(age).unwrap_or(UNIX_EPOCH);
            let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        };
        let listed = move |vm: &Vm, state, age| Vm {
            state,
            maintained_ms: Some(wall_ms_ago(age)),
            ..vm.clone()
        };
        self.list.put(self.vms.iter().map(|vm| listed(vm, VmState::Live, age)).collect());
        let (done_tx, done) = watch::channel(0);
        let mut requested = self.list.maintenance();
        let (list, vms, workers) = (self.list.clone(), self.vms.clone(), self.workers.clone());
        tokio::spawn(async move {
            let mut handled = 0;
            let mut finished: HashSet<VmId> = HashSet::new();
            while requested.wait_for(|ids| ids.len() > handled).await.is_ok() {
                let batch: Vec<VmId> = requested.borrow()[handled..].to_vec();
                handled += batch.len();
                for id in batch {
                    let Some(i) = vms.iter().position(|vm| vm.id == id) else { continue };
                    // A repeated request for the same VM has no effect.
                    if !finished.insert(id) {
                        continue;
                    }
                    list.put(vec![listed(&vms[i], VmState::Leaving, age)]);
                    if let Some(worker) = workers.get(i) {
                        worker.disconnect();
                    }
                    tokio::time::sleep(duration).await;
                    list.put(vec![listed(&vms[i], VmState::Live, Duration::ZERO)]);
                    done_tx.send_modify(|count| *count += 1);
                }
            }
        });
        done
    }

    /// Lists a VM in another pool.
    pub fn move_vm(&mut self, index: usize, pool: &str) {
        if let Ok(pool) = pool.parse() {
            self.vms[index].pool = pool;
            self.list.put(vec![self.vms[index].clone()]);
        }
    }

    /// Changes a VM's state in the list.
    pub fn set_vm_state(&self, index: usize, state: VmState) {
        self.list.put(vec![Vm { state, ..self.vms[index].clone() }]);
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.store.stop();
        self.list.stop();
        if std::env::var_os("TEASELGAP_KEEP_LOGS").is_none() {
            // If this fails, the files stay in the system's temporary directory.
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Longest wait for a response of a node.
const GET_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a GET request and returns the status and the body, or `None` if no response arrives in
/// time.
pub async fn get(address: SocketAddr, path: &str) -> Option<(u16, bytes::Bytes)> {
    let req = hyper::Request::get(path)
        .header("host", address.to_string())
        .body(http_body_util::Full::new(bytes::Bytes::new()))
        .ok()?;
    let answer = tokio::time::timeout(GET_TIMEOUT, http::fetch(address, req)).await.ok()?.ok()?;
    Some((answer.status().as_u16(), answer.into_body()))
}

fn vm(cfg: &Config, pool: &str, i: usize, address: SocketAddr) -> Result<Vm, ClusterError> {
    let invalid = |err: teaselgap_core::IdError| ClusterError::Command(err.to_string());
    let zone = format!("zone-{}", i % cfg.zones.max(1));
    let rack = format!("{pool}-rack-{}", i / cfg.rack_size.max(1));
    Ok(Vm {
        id: format!("{pool}-{i}").parse().map_err(invalid)?,
        address,
        zone: zone.parse().map_err(invalid)?,
        rack: rack.parse().map_err(invalid)?,
        pool: pool.parse().map_err(invalid)?,
        slots: Slots(cfg.slots),
        state: VmState::Live,
        accelerators: 0,
        maintained_ms: None,
    })
}

/// Merges `from` into `into`, key by key; values of `from` override those of `into`.
fn merge(into: &mut Value, from: &Value) {
    match (into, from) {
        (Value::Object(into), Value::Object(from)) => {
            for (name, value) in from {
                merge(into.entry(name.clone()).or_insert(Value::Null), value);
            }
        }
        (into, from) => *into = from.clone(),
    }
}

/// Returns the path of a binary in the directory of the running program.
///
/// # Errors
///
/// If the binary does not exist.
pub fn sibling_binary(name: &str) -> Result<PathBuf, ClusterError> {
    let current_exe = std::env::current_exe()?;
    let path = current_exe.parent().unwrap_or(Path::new(".")).join(name);
    if path.exists() {
        return Ok(path);
    }
    Err(ClusterError::Command(format!(
        "{} is missing; build it with the same profile: cargo build --release",
        path.display()
    )))
}
