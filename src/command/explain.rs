//! `teaselgap explain`: asks a node why a service or a VM is placed where it is.

use std::time::Duration;

use pico_args::Arguments;
use serde_json::Value;
use teaselgap_proto::peer::ExplainRequest;

use super::{CommandError, block_on, load_settings, reject_remaining, status};
use crate::peer::PeerClients;

const HELP: &str = "\
Usage: teaselgap explain NAME --settings FILE

Asks a live node why the service or VM called NAME is where it is, as JSON.
";

/// The longest wait for one node's reply.
const NODE_TIMEOUT: Duration = Duration::from_secs(1);

pub(super) fn run(mut args: Arguments, help: bool) -> Result<(), CommandError> {
    if help {
        print!("{HELP}");
        return Ok(());
    }
    let settings = load_settings(&mut args)?;
    let name: String = args.free_from_str()?;
    reject_remaining(args)?;
    block_on(async {
        let peers = PeerClients::default();
        for address in status::node_addresses(&settings).await? {
            let Some(mut client) = peers.get(address) else {
                continue;
            };
            let call = client.explain(ExplainRequest { name: name.clone() });
            let Ok(Ok(reply)) = tokio::time::timeout(NODE_TIMEOUT, call).await else {
                continue;
            };
            let answer: Value =
                serde_json::from_slice(&reply.get_ref().answer).map_err(CommandError::failed)?;
            if answer.get("unknown").is_some() {
                return Err(CommandError::Failed(format!("no service or VM is called {name}")));
            }
            println!("{answer:#}");
            return Ok(());
        }
        Err(CommandError::Failed("no node answered".to_owned()))
    })
}
