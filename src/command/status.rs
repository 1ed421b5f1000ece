//! `teaselgap status`: prints the status of each live node.

use std::{net::SocketAddr, time::Duration};

use pico_args::Arguments;
use serde_json::json;
use teaselgap_proto::peer::{StatusReply, StatusRequest};

use super::{CommandError, block_on, load_settings, reject_remaining};
use crate::{
    control::NodeValue,
    peer::PeerClients,
    settings::Settings,
    store::{Priority, etcd::Etcd, keys::Keys, read_all},
};

const HELP: &str = "\
Usage: teaselgap status --settings FILE [--json]

Asks every registered node what it has in force. While the store is down, the nodes that /peers of
the settings names are asked.
";

/// The longest wait for one node's reply.
const NODE_TIMEOUT: Duration = Duration::from_secs(1);

pub(super) fn run(mut args: Arguments, help: bool) -> Result<(), CommandError> {
    if help {
        print!("{HELP}");
        return Ok(());
    }
    let settings = load_settings(&mut args)?;
    let as_json = args.contains("--json");
    reject_remaining(args)?;
    block_on(async {
        let nodes = node_addresses(&settings).await?;
        let statuses = query_status(&PeerClients::default(), &nodes).await;
        for (address, status) in nodes.iter().zip(statuses) {
            print_status(*address, status.as_ref(), as_json);
        }
        Ok(())
    })
}

fn print_status(address: SocketAddr, status: Option<&StatusReply>, as_json: bool) {
    let Some(status) = status else {
        println!("{address}: no answer");
        return;
    };
    if as_json {
        let line = json!({
            "node": status.node, "incarnation": status.incarnation, "peer": address,
            "generation": status.generation, "refused": status.refused, "ready": status.ready,
            "store_reachable": status.store_reachable, "duties": status.duties,
            "members": status.members.len(),
        });
        println!("{line}");
        return;
    }
    println!(
        "{} at {address}: generation {}{}, {}, store {}, {} duties, {} members",
        status.node,
        status.generation,
        if status.refused.is_empty() { String::new() } else { format!(" ({})", status.refused) },
        if status.ready { "ready" } else { "not ready" },
        if status.store_reachable { "reachable" } else { "unreachable" },
        status.duties.len(),
        status.members.len(),
    );
}

/// The peer addresses of all registered nodes, or those in the settings if the store is down.
pub(super) async fn node_addresses(settings: &Settings) -> Result<Vec<SocketAddr>, CommandError> {
    let store = Etcd::new(&settings.store.endpoints, settings.store.timeout)
        .map_err(CommandError::failed)?;
    let keys = Keys::new(&settings.store.prefix);
    match read_all(&store, &keys.nodes(), Priority::Control).await {
        Ok(page) => {
            let values = page
                .items
                .iter()
                .filter_map(|item| serde_json::from_slice::<NodeValue>(&item.value).ok());
            Ok(values.map(|value| value.peer).collect())
        }
        Err(_) if !settings.peers.is_empty() => Ok(settings.peers.clone()),
        Err(err) => Err(CommandError::failed(err)),
    }
}

/// Asks nodes for their status concurrently. The replies are in the order of `nodes`; `None` means
/// that the node did not answer.
pub(super) async fn query_status(
    peers: &PeerClients,
    nodes: &[SocketAddr],
) -> Vec<Option<StatusReply>> {
    let calls = nodes.iter().map(|address| {
        let client = peers.get(*address);
        async move {
            let reply = tokio::time::timeout(NODE_TIMEOUT, client?.status(StatusRequest {})).await;
            reply.ok()?.ok().map(tonic::Response::into_inner)
        }
    });
    futures_util::future::join_all(calls).await
}
