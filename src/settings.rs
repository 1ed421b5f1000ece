//! Settings of a node, read from JSON and checked in full before anything starts.

use std::{net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};
use teaselgap_core::{ByteSize, NodeId, Span, ZoneId, journal, route::Policy, slots};

/// Everything that a node is told before it starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// Name of the node; unique among all nodes that live at the same time.
    pub(crate) node: NodeId,
    /// Availability zone that the node runs in.
    pub(crate) zone: ZoneId,
    /// Where the node listens.
    pub(crate) listen: Listen,
    /// Platform's key-value service.
    pub(crate) store: StoreSettings,
    /// Platform's list of VMs, as `address:port`.
    pub(crate) vm_list: SocketAddr,
    /// Peer addresses of some other nodes, for when the store is down at the start.
    #[serde(default)]
    pub(crate) peers: Vec<SocketAddr>,
    /// How work is spread.
    #[serde(default)]
    pub(crate) routing: Routing,
    /// Bounds on what callers may send.
    #[serde(default)]
    pub(crate) limits: Limits,
    /// How nodes watch and share with each other.
    #[serde(default)]
    pub(crate) cluster: Cluster,
    /// The journal of requests.
    #[serde(default)]
    pub(crate) journal: JournalSettings,
    /// How the node stops.
    #[serde(default)]
    pub(crate) shutdown: Shutdown,
    /// What is logged.
    #[serde(default)]
    pub(crate) log: LogSettings,
}

/// Where a node listens. Port 0 lets the system pick one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Listen {
    /// For callers.
    pub(crate) http: SocketAddr,
    /// For other nodes.
    pub(crate) peer: SocketAddr,
    /// Where other nodes reach this one, if not at `peer`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) advertise_peer: Option<SocketAddr>,
    /// Plain text is for loopback; anywhere else it must be allowed here.
    #[serde(default)]
    pub(crate) allow_plain_text: bool,
}

/// The platform's key-value service and this system's share of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StoreSettings {
    /// Addresses of the service.
    pub(crate) endpoints: Vec<SocketAddr>,
    /// Prefix of all keys of this system.
    #[serde(default = "default_prefix")]
    pub(crate) prefix: String,
    /// How long a node's registration outlives its last renewal; whole seconds.
    #[serde(default = "default_lease_ttl")]
    pub(crate) lease_ttl: Span,
    /// How long a call may take.
    #[serde(default = "default_store_timeout")]
    pub(crate) timeout: Span,
    /// Writes a second that all nodes together may make.
    #[serde(default = "default_writes")]
    pub(crate) writes_per_second: u32,
    /// Reads a second that all nodes together may make, a waiting watch counted as one.
    #[serde(default = "default_reads")]
    pub(crate) reads_per_second: u32,
}

/// How work is spread over VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Routing {
    /// Policy that picks a VM.
    pub(crate) policy: Policy,
    /// How long a new VM takes to warm up.
    pub(crate) warm_up: Span,
    /// Whether failed attempts may be repeated.
    pub(crate) retries: bool,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Limits {
    /// Largest body of a request that must run at most once; such bodies go into the journal.
    pub(crate) journal_body: ByteSize,
    /// Largest part of a body that is kept for repeats and for the history.
    pub(crate) kept_body: ByteSize,
    /// Largest body.
    pub(crate) body: ByteSize,
    /// Requests that may be in this node at once.
    pub(crate) requests: u32,
    /// Traffic threads; 0 for one a core.
    pub(crate) threads: usize,
}

/// How nodes watch and share with each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Cluster {
    /// Time between two probes by one node.
    pub(crate) probe_interval: Span,
    /// Longest wait for the answer to a probe.
    pub(crate) probe_timeout: Span,
    /// How long a suspected node may refute it.
    pub(crate) suspicion: Span,
    /// Time between two exchanges of slots with one keeper.
    pub(crate) slots_interval: Span,
    /// How long slots are granted for.
    pub(crate) slots_ttl: Span,
}

/// The journal of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct JournalSettings {
    /// Partitions; each has one owner among the nodes. Must be the same at every node for good.
    pub(crate) partitions: u32,
    /// Segments after which a snapshot is made and earlier ones are regrouped by customer.
    pub(crate) snapshot_every: u64,
    /// Concluded requests that a partition remembers for the sake of second arrivals.
    pub(crate) remembered: u64,
}

/// How a node stops.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Shutdown {
    /// How long the listener stays open after readiness went false.
    pub(crate) linger: Span,
    /// Longest wait for requests in flight after that.
    pub(crate) drain: Span,
}

/// What is logged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct LogSettings {
    /// Least level: `debug`, `info`, `warning` or `error`. Decisions are logged at `info`.
    pub(crate) level: Level,
}

/// Least level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Level {
    Debug,
    #[default]
    Info,
    Warning,
    Error,
}

fn default_prefix() -> String {
    "/teaselgap/".to_owned()
}

const fn default_lease_ttl() -> Span {
    Span(3_000)
}

const fn default_store_timeout() -> Span {
    Span(1_000)
}

const fn default_writes() -> u32 {
    300
}

const fn default_reads() -> u32 {
    1_000
}

impl Default for Routing {
    fn default() -> Self {
        Self { policy: Policy::Weighted, warm_up: Span(5_000), retries: true }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            journal_body: ByteSize(256 << 10),
            kept_body: ByteSize(64 << 10),
            body: ByteSize(64 << 20),
            requests: 10_000,
            threads: 0,
        }
    }
}

impl Default for Cluster {
    fn default() -> Self {
        Self {
            probe_interval: Span(1_000),
            probe_timeout: Span(500),
            suspicion: Span(2_000),
            slots_interval: Span(500),
            slots_ttl: Span(3_000),
        }
    }
}

impl Default for JournalSettings {
    fn default() -> Self {
        let remembered = journal::Config::default().max_remembered as u64;
        Self { partitions: 2, snapshot_every: 512, remembered }
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self { linger: Span(1_000), drain: Span(60_000) }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: Level::Info }
    }
}

impl Default for Settings {
    fn default() -> Self {
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            node: "entry-1".parse().expect("a constant name"),
            zone: "zone-1".parse().expect("a constant name"),
            listen: Listen {
                http: loopback(8080),
                peer: loopback(8081),
                advertise_peer: None,
                allow_plain_text: false,
            },
            store: StoreSettings::at(loopback(2379)),
            vm_list: loopback(8082),
            peers: Vec::new(),
            routing: Routing::default(),
            limits: Limits::default(),
            cluster: Cluster::default(),
            journal: JournalSettings::default(),
            shutdown: Shutdown::default(),
            log: LogSettings::default(),
        }
    }
}

impl StoreSettings {
    /// The default share of a service at one address.
    pub(crate) fn at(endpoint: SocketAddr) -> Self {
        Self {
            endpoints: vec![endpoint],
            prefix: default_prefix(),
            lease_ttl: default_lease_ttl(),
            timeout: default_store_timeout(),
            writes_per_second: default_writes(),
            reads_per_second: default_reads(),
        }
    }
}

impl Cluster {
    /// Time between two exchanges of slots with one keeper, among so many nodes.
    ///
    /// Each node exchanges with every other one, so the interval grows with the nodes to keep the
    /// cost of a node flat. Demand that waits is reported at once whatever the interval.
    pub(crate) fn exchange_interval(&self, nodes: usize) -> Span {
        let others = u64::try_from(nodes.saturating_sub(1)).unwrap_or(u64::MAX);
        self.slots_interval.max(Span(others.saturating_mul(EXCHANGE_SPACING_MS)))
    }

    /// The slots' time limits for a pool whose requests may run as long as `longest_request`.
    ///
    /// The number of nodes is rounded up so that few changes of it change the limits.
    pub(crate) fn slots_config(&self, nodes: usize, longest_request: Span) -> slots::Config {
        let interval = self.exchange_interval(nodes.next_power_of_two());
        let ttl = self.slots_ttl.max(Span(interval.0 * EXCHANGES_IN_TTL));
        slots::Config { ttl, longest_request }
    }
}

/// Time between two exchanges of one node with any keeper, in milliseconds.
const EXCHANGE_SPACING_MS: u64 = 120;

/// Exchanges that may fail in a row before grants end.
const EXCHANGES_IN_TTL: u64 = 4;

/// Settings that can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Read { file: String, source: std::io::Error },
    /// The file holds something other than settings.
    #[error("{file}: {pointer}: {message}")]
    Shape { file: String, pointer: String, message: String },
    /// Values that can't work; all of them.
    #[error("{}", .0.join("\n"))]
    Values(Vec<String>),
}

/// Reads and checks settings.
pub(crate) fn load(path: &Path) -> Result<Settings, SettingsError> {
    let file = path.display().to_string();
    let text =
        std::fs::read(path).map_err(|source| SettingsError::Read { file: file.clone(), source })?;
    let mut json = serde_json::Deserializer::from_slice(&text);
    let settings: Settings = serde_path_to_error::deserialize(&mut json).map_err(|err| {
        let pointer = format!("/{}", err.path().to_string().replace('.', "/"));
        SettingsError::Shape { file: file.clone(), pointer, message: err.inner().to_string() }
    })?;
    let problems = settings.problems();
    if problems.is_empty() {
        return Ok(settings);
    }
    let with_file = problems.into_iter().map(|problem| format!("{file}: {problem}"));
    Err(SettingsError::Values(with_file.collect()))
}

impl Settings {
    /// Everything that is wrong with the values.
    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut check = |holds: bool, pointer: &str, message: String| {
            if !holds {
                problems.push(format!("{pointer}: {message}"));
            }
        };
        for (pointer, address) in
            [("/listen/http", self.listen.http), ("/listen/peer", self.listen.peer)]
        {
            let plain_is_fine = address.ip().is_loopback() || self.listen.allow_plain_text;
            let message = format!(
                "{address} is not loopback; plain text there needs /listen/allow_plain_text"
            );
            check(plain_is_fine, pointer, message);
        }
        let store = &self.store;
        check(!store.endpoints.is_empty(), "/store/endpoints", "is empty".to_owned());
        let ttl = store.lease_ttl;
        let whole = ttl >= Span(2_000) && ttl.0.is_multiple_of(1_000);
        check(whole, "/store/lease_ttl", format!("{ttl} is not whole seconds, at least 2s"));
        check(
            store.timeout > Span(0) && store.timeout < ttl,
            "/store/timeout",
            format!("{} is not between 0 and /store/lease_ttl, {ttl}", store.timeout),
        );
        check(
            store.writes_per_second > 0 && store.reads_per_second > 0,
            "/store/writes_per_second",
            "and /store/reads_per_second must be at least 1".to_owned(),
        );
        let prefix = &store.prefix;
        let framed = prefix.starts_with('/') && prefix.ends_with('/');
        check(framed, "/store/prefix", format!("{prefix:?} does not start and end with a slash"));
        let cluster = &self.cluster;
        check(
            cluster.probe_timeout < cluster.probe_interval && cluster.probe_timeout > Span(0),
            "/cluster/probe_timeout",
            format!(
                "{} is not between 0 and /cluster/probe_interval, {}",
                cluster.probe_timeout, cluster.probe_interval
            ),
        );
        check(
            cluster.slots_ttl.0 >= 3 * cluster.slots_interval.0 && cluster.slots_interval.0 > 0,
            "/cluster/slots_ttl",
            format!(
                "{} is below three times /cluster/slots_interval, {}",
                cluster.slots_ttl, cluster.slots_interval
            ),
        );
        check(
            (1..=64).contains(&self.journal.partitions),
            "/journal/partitions",
            format!("{} is not from 1 to 64", self.journal.partitions),
        );
        check(
            (1..=4_096).contains(&self.journal.snapshot_every),
            "/journal/snapshot_every",
            format!("{} is not from 1 to 4096", self.journal.snapshot_every),
        );
        check(
            self.limits.journal_body <= ByteSize(512 << 10),
            "/limits/journal_body",
            format!(
                "{} is above 512KiB, which a value of the store holds",
                self.limits.journal_body
            ),
        );
        problems
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_default_settings_are_sound_and_read_back_equal() {
        let settings = Settings::default();
        let text = serde_json::to_string(&settings).unwrap();

        assert_eq!(settings.problems(), Vec::<String>::new());
        assert_eq!(serde_json::from_str::<Settings>(&text).unwrap(), settings);
    }

    #[test]
    fn all_problems_are_listed_at_once() {
        let mut settings = Settings::default();
        settings.listen.http = "10.0.0.1:80".parse().unwrap();
        settings.store.endpoints.clear();
        settings.journal.partitions = 0;

        assert_eq!(settings.problems().len(), 3);
    }

    #[test]
    fn unknown_keys_are_refused() {
        let mut json = serde_json::to_value(Settings::default()).unwrap();
        json["store"]["colour"] = 1.into();

        assert!(serde_json::from_value::<Settings>(json).is_err());
    }
}
