//! The settings of a node, which are read from JSON and checked before the node starts.

use std::{net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};
use teaselgap_core::{ByteSize, NodeId, Span, ZoneId, journal, route::Policy, slots};

/// The settings of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// The name of the node, unique among all nodes that run at the same time.
    pub(crate) node: NodeId,
    /// The availability zone that the node runs in.
    pub(crate) zone: ZoneId,
    /// The addresses on which the node listens.
    pub(crate) listen: Listen,
    /// The platform's key-value service.
    pub(crate) store: StoreSettings,
    /// The address of the platform's list of VMs, as `address:port`.
    pub(crate) vm_list: SocketAddr,
    /// The peer addresses of some other nodes, which are used if the store is down at the start.
    #[serde(default)]
    pub(crate) peers: Vec<SocketAddr>,
    /// How requests are distributed over VMs.
    #[serde(default)]
    pub(crate) routing: Routing,
    /// Limits on the requests of callers.
    #[serde(default)]
    pub(crate) limits: Limits,
    /// The intervals and time limits for calls between nodes.
    #[serde(default)]
    pub(crate) cluster: Cluster,
    /// The journal of requests.
    #[serde(default)]
    pub(crate) journal: JournalSettings,
    /// The time limits of a graceful shutdown.
    #[serde(default)]
    pub(crate) shutdown: Shutdown,
    /// Logging.
    #[serde(default)]
    pub(crate) log: LogSettings,
}

/// The addresses on which a node listens. For port 0 the system picks a port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Listen {
    /// The address for callers.
    pub(crate) http: SocketAddr,
    /// The address for other nodes.
    pub(crate) peer: SocketAddr,
    /// The address at which other nodes reach this one, if it is not `peer`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) advertise_peer: Option<SocketAddr>,
    /// Whether addresses other than loopback are allowed although traffic is not encrypted.
    #[serde(default)]
    pub(crate) allow_plain_text: bool,
}

/// The platform's key-value service, and limits on its use by all nodes together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StoreSettings {
    /// The addresses of the service.
    pub(crate) endpoints: Vec<SocketAddr>,
    /// The prefix of all keys of this system.
    #[serde(default = "default_prefix")]
    pub(crate) prefix: String,
    /// The time after its last renewal at which a node's registration expires, in whole seconds.
    #[serde(default = "default_lease_ttl")]
    pub(crate) lease_ttl: Span,
    /// The timeout of a call.
    #[serde(default = "default_store_timeout")]
    pub(crate) timeout: Span,
    /// The most writes per second of all nodes together.
    #[serde(default = "default_writes")]
    pub(crate) writes_per_second: u32,
    /// The most reads per second of all nodes together. A waiting watch counts as one read.
    #[serde(default = "default_reads")]
    pub(crate) reads_per_second: u32,
}

/// How requests are distributed over VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Routing {
    /// The policy that picks a VM for each attempt.
    pub(crate) policy: Policy,
    /// How long a new VM takes to warm up.
    pub(crate) warm_up: Span,
    /// Whether failed attempts may be retried.
    pub(crate) retries: bool,
}

/// Limits on the requests of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Limits {
    /// The largest body of a request that must run at most once. Such bodies are written to the
    /// journal.
    pub(crate) journal_body: ByteSize,
    /// The most bytes of a body that are kept for retries and for the history.
    pub(crate) kept_body: ByteSize,
    /// The largest body of a request.
    pub(crate) body: ByteSize,
    /// The most requests that this node handles at the same time.
    pub(crate) requests: u32,
    /// The number of traffic threads; 0 means one per core.
    pub(crate) threads: usize,
}

/// The intervals and time limits for calls between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Cluster {
    /// The time between two probes by one node.
    pub(crate) probe_interval: Span,
    /// The timeout of a probe.
    pub(crate) probe_timeout: Span,
    /// The time that a suspected node has to refute the suspicion.
    pub(crate) suspicion: Span,
    /// The time between two exchanges of slots with one owner of pools; longer in a large cluster.
    pub(crate) slots_interval: Span,
    /// The time for which slots are granted; longer in a large cluster.
    pub(crate) slots_ttl: Span,
}

/// The journal of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct JournalSettings {
    /// The number of partitions. It must be the same on all nodes and must never change.
    pub(crate) partitions: u32,
    /// The number of segments after which the owner of a partition writes a snapshot and regroups
    /// the records of these segments by customer.
    pub(crate) snapshot_every: u64,
    /// The number of concluded requests that a partition remembers, so that it recognises a request
    /// that arrives again.
    pub(crate) remembered: u64,
}

/// The time limits of a graceful shutdown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Shutdown {
    /// The time for which the listener stays open after the node has reported that it is not ready.
    pub(crate) linger: Span,
    /// The longest wait for requests in flight after that.
    pub(crate) drain: Span,
}

/// The settings of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct LogSettings {
    /// The lowest level that is logged: `debug`, `info`, `warning` or `error`. Decisions are
    /// logged at `info`.
    pub(crate) level: Level,
}

/// The lowest level that is logged.
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
    /// The default settings for a service with one address.
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
    /// The time between two exchanges of slots with one owner of pools, in a cluster of `nodes`
    /// nodes.
    ///
    /// Each node exchanges slots with every other node, so the interval grows with the number of
    /// nodes to keep each node's load constant. Waiting demand is reported at once, regardless of
    /// the interval.
    pub(crate) fn exchange_interval(&self, nodes: usize) -> Span {
        let other_nodes = u64::try_from(nodes.saturating_sub(1)).unwrap_or(u64::MAX);
        self.slots_interval.max(Span(other_nodes.saturating_mul(EXCHANGE_SPACING_MS)))
    }

    /// The time limits of slots in a pool whose requests may run as long as `max_request_duration`.
    ///
    /// The number of nodes is rounded up to a power of two, so that the limits seldom change when
    /// nodes join or leave.
    pub(crate) fn slots_config(&self, nodes: usize, max_request_duration: Span) -> slots::Config {
        let interval = self.exchange_interval(nodes.next_power_of_two());
        let ttl = self.slots_ttl.max(Span(interval.0 * EXCHANGES_PER_TTL));
        slots::Config { ttl, max_request_duration }
    }
}

/// The least mean time between two exchanges of one node, with any owner of pools, in milliseconds.
const EXCHANGE_SPACING_MS: u64 = 120;

/// The number of exchanges that may fail in a row before a grant expires.
const EXCHANGES_PER_TTL: u64 = 4;

/// The reason why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Read { file: String, source: std::io::Error },
    /// The file is not JSON or does not have the structure of settings.
    #[error("{file}: {pointer}: {message}")]
    Shape { file: String, pointer: String, message: String },
    /// Some values are invalid; lists all problems.
    #[error("{}", .0.join("\n"))]
    Values(Vec<String>),
}

/// Reads settings from a file and checks them.
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
    /// Checks the values. Returns all problems, each with the JSON pointer to its value.
    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut check = |is_valid: bool, pointer: &str, message: String| {
            if !is_valid {
                problems.push(format!("{pointer}: {message}"));
            }
        };
        for (pointer, address) in
            [("/listen/http", self.listen.http), ("/listen/peer", self.listen.peer)]
        {
            let plain_text_allowed = address.ip().is_loopback() || self.listen.allow_plain_text;
            let message = format!(
                "{address} is not loopback; plain text there needs /listen/allow_plain_text"
            );
            check(plain_text_allowed, pointer, message);
        }
        let store = &self.store;
        check(!store.endpoints.is_empty(), "/store/endpoints", "is empty".to_owned());
        let ttl = store.lease_ttl;
        let is_valid_ttl = ttl >= Span(2_000) && ttl.0.is_multiple_of(1_000);
        check(is_valid_ttl, "/store/lease_ttl", format!("{ttl} is below 2s or not whole seconds"));
        check(
            store.timeout > Span(0) && store.timeout < ttl,
            "/store/timeout",
            format!("{} is not between 0 and /store/lease_ttl, {ttl}", store.timeout),
        );
        check(
            store.writes_per_second > 0 && store.reads_per_second > 0,
            "/store/writes_per_second",
            "this and /store/reads_per_second must be at least 1".to_owned(),
        );
        let prefix = &store.prefix;
        let has_slashes = prefix.starts_with('/') && prefix.ends_with('/');
        check(
            has_slashes,
            "/store/prefix",
            format!("{prefix:?} does not start and end with a slash"),
        );
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
                "{} is above 512KiB, the most that fits in a value of the store",
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
    fn the_default_settings_are_valid_and_survive_a_round_trip() {
        let settings = Settings::default();
        let text = serde_json::to_string(&settings).unwrap();

        assert_eq!(settings.problems(), Vec::<String>::new());
        assert_eq!(serde_json::from_str::<Settings>(&text).unwrap(), settings);
    }

    #[test]
    fn all_problems_are_reported_at_once() {
        let mut settings = Settings::default();
        settings.listen.http = "10.0.0.1:80".parse().unwrap();
        settings.store.endpoints.clear();
        settings.journal.partitions = 0;

        assert_eq!(settings.problems().len(), 3);
    }

    #[test]
    fn unknown_keys_are_rejected() {
        let mut json = serde_json::to_value(Settings::default()).unwrap();
        json["store"]["colour"] = 1.into();

        assert!(serde_json::from_value::<Settings>(json).is_err());
    }
}
