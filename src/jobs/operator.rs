//! Follows the keys that the operator writes: the configuration and the maintenance waves.

#[cfg(test)]
mod tests;

use std::{rc::Rc, sync::Arc, time::Duration};

use indexmap::IndexMap;
use slog::{info, warn};
use teaselgap_core::{Timestamp, job::Wave};
use teaselgap_platform::{
    config,
    store::{CONFIG_KEY, OPERATOR_PREFIX, StoreError, WAVE_PREFIX},
};

use super::node::Node;
use crate::clock;

/// How long one watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause before the keys are read again after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The maintenance waves that the operator has requested.
#[derive(Debug, Default)]
pub(crate) struct OperatorState {
    pub(super) waves: IndexMap<u64, Wave>,
    /// The revision up to which the store has been read.
    revision: u64,
}

/// Follows the operator's keys until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    loop {
        if let Err(err) = follow_once(&node).await {
            if err != StoreError::Compacted {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            node.operator.borrow_mut().revision = 0;
        }
    }
}

async fn follow_once(node: &Rc<Node>) -> Result<(), StoreError> {
    let after = node.operator.borrow().revision;
    let revision = if after == 0 {
        let range = node.store.range(OPERATOR_PREFIX, false).await?;
        for item in &range.items {
            apply(node, &item.key, &item.value);
        }
        range.revision
    } else {
        let (changes, revision) = node.store.watch(OPERATOR_PREFIX, after, WATCH_TIMEOUT).await?;
        for change in &changes {
            if let Some(value) = &change.value {
                apply(node, &change.key, value);
            }
        }
        revision
    };
    node.operator.borrow_mut().revision = revision;
    Ok(())
}

fn apply(node: &Rc<Node>, key: &str, value: &[u8]) {
    if key == CONFIG_KEY {
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
