//! Follows the keys that the operator writes: the configuration and the maintenance waves.

#[cfg(test)]
mod tests;

use std::{rc::Rc, sync::Arc, time::Duration};

use indexmap::IndexMap;
use slog::{info, warn};
use teaselgap_core::{
    Span, Timestamp,
    job::{LinkRate, Wave},
};
use teaselgap_platform::{
    client::Connections,
    config,
    store::{CONFIG_KEY, OPERATOR_PREFIX, StoreError, WAVE_PREFIX},
    traffic::Traffic,
};

use super::node::Node;
use crate::clock;

/// How long one watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the store may take to say whether the configuration has changed.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The pause before the keys are read again after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A configuration that takes longer than this on the node's link is large: versions of it that nobody needs
/// any more are left out.
const LARGE_TRANSFER: Duration = Duration::from_millis(50);

/// The part of the time within which a configuration must apply that its reading and the wait for it may
/// take, in percent. The rest is for other traffic of the link.
const APPLY_PERCENT: u64 = 75;

/// How long answers to other calls may wait behind what is on its way of the operator's keys.
const QUEUE_TIME: Span = Span(100);

/// The smallest and the largest receive buffer that is set.
const RECEIVE_BUFFERS: std::ops::RangeInclusive<u64> = 16 * 1024..=1024 * 1024;

/// The maintenance waves that the operator has requested, and how far its keys have been read.
#[derive(Debug, Default)]
pub(crate) struct OperatorState {
    pub(super) waves: IndexMap<u64, Wave>,
    /// The revision up to which the store has been read; zero if that is not known.
    revision: u64,
    /// The last change of the configuration that was read; zero if none was.
    config: ConfigRead,
}

/// A reading of the configuration.
#[derive(Clone, Copy, Debug, Default)]
struct ConfigRead {
    /// The revision of its last change.
    revision: u64,
    /// How long its value takes on the link.
    transfer: Duration,
}

impl OperatorState {
    /// Notes that the configuration was read, unless a later one has been.
    fn record_config(&mut self, read: ConfigRead) {
        if read.revision > self.config.revision {
            self.config = read;
        }
    }
}

/// The connections for the operator's keys on a link of this rate. On a narrow one, little of a large
/// configuration is on its way at a time, so that renewals of the lease don't wait long behind it.
pub(super) fn connections(traffic: Arc<Traffic>, link_mbps: f64) -> Connections {
    let connections = Connections::new(traffic);
    let bytes = LinkRate::from_mbps(link_mbps).bytes_in(QUEUE_TIME).max(*RECEIVE_BUFFERS.start());
    match usize::try_from(bytes) {
        Ok(buffer) if RECEIVE_BUFFERS.contains(&bytes) => connections.with_receive_buffer(buffer),
        _ => connections,
    }
}

/// Follows the operator's keys until the process ends.
///
/// A watch returns every version since the last one in full. So it is used only once no version is known to
/// have been written while the last large one passed the link.
pub(super) async fn run(node: Rc<Node>) {
    let mut may_be_behind = false;
    loop {
        let before = node.operator.borrow().config.revision;
        if may_be_behind {
            let caught_up = catch_up(&node).await;
            let revision = node.operator.borrow().config.revision;
            info!(node.log, "looked for a newer configuration"; "known_revision" => before,
                "revision" => revision, "error" => caught_up.err().map(|err| err.to_string()));
            // Without an answer, the watch returns what came meanwhile.
        } else if let Err(err) = follow_once(&node).await {
            if err != StoreError::Compacted {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            node.operator.borrow_mut().revision = 0;
        }
        let config = node.operator.borrow().config;
        may_be_behind = config.revision != before && config.transfer > LARGE_TRANSFER;
        if may_be_behind {
            let bound = Duration::from_millis(node.settings.bounds.config_apply_ms);
            tokio::time::sleep(pause_after(config.transfer, bound)).await;
        }
    }
}

/// How long to wait after a large configuration was read before the next one is, which may have been written
/// just after that reading began and must apply within `bound`. At least half of the link is left to other
/// traffic where that is possible.
fn pause_after(transfer: Duration, bound: Duration) -> Duration {
    let percent = u32::try_from(APPLY_PERCENT).unwrap_or(100);
    (bound * percent / 100).saturating_sub(transfer * 2).min(transfer)
}

async fn follow_once(node: &Rc<Node>) -> Result<(), StoreError> {
    let (after, config) = {
        let state = node.operator.borrow();
        (state.revision, state.config)
    };
    if after == 0 {
        // What is known already must not pass the link again.
        let is_caught_up = config.revision > 0 && catch_up(node).await.is_ok();
        return if is_caught_up { Ok(()) } else { read_all(node).await };
    }
    let (changes, revision) =
        node.operator_store.watch(OPERATOR_PREFIX, after, WATCH_TIMEOUT).await?;
    for change in &changes {
        if let Some(value) = &change.value {
            apply(node, &change.key, value, change.revision);
        }
    }
    node.operator.borrow_mut().revision = revision;
    Ok(())
}

/// Reads all of the operator's keys.
async fn read_all(node: &Rc<Node>) -> Result<(), StoreError> {
    let range = node.operator_store.range(OPERATOR_PREFIX, false).await?;
    for item in &range.items {
        apply(node, &item.key, &item.value, item.revision);
    }
    node.operator.borrow_mut().revision = range.revision;
    Ok(())
}

/// Reads the newest configuration if it has changed, without those between, and the waves.
async fn catch_up(node: &Rc<Node>) -> Result<(), StoreError> {
    let known = node.operator.borrow().config.revision;
    let waves_revision = read_waves(node).await?;
    let newest = node.operator_store.get_if_changed(CONFIG_KEY, known, CATCH_UP_TIMEOUT).await?;
    let mut revision = waves_revision;
    if let Some(item) = newest {
        apply(node, &item.key, &item.value, item.revision);
        if item.revision > waves_revision {
            // Waves may have been written between the two readings.
            read_waves(node).await?;
            revision = item.revision;
        }
    }
    node.operator.borrow_mut().revision = revision;
    Ok(())
}

/// Reads the waves. Returns the revision of the store.
async fn read_waves(node: &Rc<Node>) -> Result<u64, StoreError> {
    let range = node.operator_store.range(WAVE_PREFIX, false).await?;
    for item in &range.items {
        apply(node, &item.key, &item.value, item.revision);
    }
    Ok(range.revision)
}

/// How long a value takes on a link of this rate, in megabits per second, where it is written in base64.
fn transfer_time(bytes: usize, link_mbps: f64) -> Duration {
    let bytes_per_s = LinkRate::from_mbps(link_mbps).bytes_in(Span(1_000)).max(1);
    Duration::from_millis(bytes as u64 * 4 / 3 * 1_000 / bytes_per_s)
}

fn apply(node: &Rc<Node>, key: &str, value: &[u8], revision: u64) {
    if key == CONFIG_KEY {
        let transfer = transfer_time(value.len(), node.settings.limits.link_mbps);
        node.operator.borrow_mut().record_config(ConfigRead { revision, transfer });
        apply_config(node, value);
    } else if key.starts_with(WAVE_PREFIX) {
        apply_wave(node, value);
    }
}

fn apply_config(node: &Rc<Node>, value: &[u8]) {
    let config = match config::parse(value) {
        Ok(config) => config,
        Err(err) => {
            warn!(node.log, "ignored an invalid configuration"; "error" => %err);
            return;
        }
    };
    let current = node.shared.config.load().as_ref().map(|config| config.version);
    if current.is_some_and(|current| config.version <= current) {
        return;
    }
    info!(node.log, "configuration applied"; "version" => config.version, "before" => current,
        "routes" => config.routes.len(), "services" => config.pools.len());
    for owner in node.cell_owners.borrow().values() {
        owner.set_queues(&config);
    }
    node.shared.config.store(Some(Arc::new(config)));
}

fn apply_wave(node: &Rc<Node>, value: &[u8]) {
    let wave = match config::parse_wave(value) {
        Ok(wave) => wave,
        Err(err) => {
            warn!(node.log, "ignored an invalid maintenance wave"; "error" => %err);
            return;
        }
    };
    let deadline = Timestamp(clock::now().0.saturating_add(wave.within.0));
    let mut state = node.operator.borrow_mut();
    state.waves.entry(wave.number).or_insert_with(|| {
        info!(node.log, "maintenance wave requested"; "wave" => wave.number,
            "machines" => wave.vms.len(), "max_down" => wave.max_down,
            "within_ms" => wave.within.0);
        Wave {
            number: wave.number,
            vms: wave.vms.into_iter().collect(),
            max_down: wave.max_down,
            deadline,
        }
    });
}
