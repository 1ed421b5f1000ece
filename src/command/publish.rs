//! `teaselgap publish`: checks declarations together and publishes them as a new generation.

use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use pico_args::Arguments;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use teaselgap_core::{
    Generation, PoolId, Slots,
    catalog::{self, Catalog, Change, Delta, PoolCapacity},
    declare::{self, Declaration},
};

use teaselgap_proto::peer::StatusReply;

use super::{CommandError, block_on, files, load_settings, status};
use crate::{
    peer::PeerClients,
    settings::Settings,
    store::{
        Condition, Priority, RangeResult, Store, StoreError, Transaction, Write,
        etcd::Etcd,
        keys::{ControlKey, Keys},
        read_all,
    },
    vm_list::{self, VmState},
};

const HELP: &str = "\
Usage: teaselgap publish --settings FILE [OPTIONS] DIR…

Collects the declarations in the directories, checks them together and against the fleet, shows what
changes, and delivers them. What is not in the directories any more is withdrawn.

  --expect GENERATION   refuse unless this generation is the newest
  --dry-run             show what would change and deliver nothing
  --wait                return when every live node has it in force, with the time that took
  --wait-limit SECONDS  give up waiting after this long (default 30)
";

/// A service's declaration in its stored form.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SavedService {
    /// The generation in which the declaration last changed.
    pub(crate) generation: Generation,
    /// `None` if the service has been withdrawn.
    pub(crate) declaration: Option<Value>,
}

/// The newest generation in its stored form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) generation: Generation,
    /// A random number that identifies this publication. If the store's answer to it is lost, the
    /// publisher reads the head back and compares this number.
    pub(crate) publication: u64,
}

/// The most declarations in one transaction; the store limits the operations of a transaction.
const MAX_CHANGES_PER_TRANSACTION: usize = 100;

/// The delay between the first two polls of the nodes' status; each further delay is twice as long.
const INITIAL_POLL_DELAY: Duration = Duration::from_millis(5);

/// The longest delay between two polls of the nodes' status.
const MAX_POLL_DELAY: Duration = Duration::from_millis(100);

/// The most attempts to read the head back after the store's answer to a publication was lost.
const READ_BACK_ATTEMPTS: u32 = 50;

/// The delay before each attempt to read the head back.
const READ_BACK_DELAY: Duration = Duration::from_millis(200);

struct Options {
    expect: Option<Generation>,
    dry_run: bool,
    wait: bool,
    wait_limit: Duration,
}

pub(super) fn run(mut args: Arguments, help: bool) -> Result<(), CommandError> {
    if help {
        print!("{HELP}");
        return Ok(());
    }
    let settings = load_settings(&mut args)?;
    let options = Options {
        expect: args.opt_value_from_str("--expect")?,
        dry_run: args.contains("--dry-run"),
        wait: args.contains("--wait"),
        wait_limit: Duration::from_secs(args.opt_value_from_str("--wait-limit")?.unwrap_or(30)),
    };
    let directories = files::directories(args)?;
    let (declarations, problems) = files::read(&directories)?;
    if !problems.is_empty() {
        return Err(files::problems_error(&problems));
    }
    block_on(publish(&settings, &declarations, &options))
}

/// Publishes declarations and waits until every live node has them in force. Returns the time from
/// the start of the publication until then.
#[cfg(feature = "demo")]
pub(super) async fn publish_and_wait(
    settings: &Settings,
    declarations: &files::Declarations,
) -> Result<Duration, CommandError> {
    let publisher = Publisher::new(settings)?;
    let current = publisher.read().await?;
    let desired: Vec<Declaration> =
        declarations.iter().map(|(_, declaration)| declaration.clone()).collect();
    let changes = current.catalog.diff(&desired);
    let started = Instant::now();
    let generation = publisher.publish_changes(current, &changes).await?;
    wait_in_force(settings, generation, DEMO_WAIT_LIMIT).await?;
    Ok(started.elapsed())
}

/// The longest time that the demo waits for a generation to be in force.
#[cfg(feature = "demo")]
const DEMO_WAIT_LIMIT: Duration = Duration::from_secs(20);

async fn publish(
    settings: &Settings,
    declarations: &files::Declarations,
    options: &Options,
) -> Result<(), CommandError> {
    let fleet = read_pool_sizes(settings).await?;
    let problems = catalog::check(declarations, Some(&fleet));
    if !problems.is_empty() {
        return Err(files::problems_error(&problems));
    }
    let publisher = Publisher::new(settings)?;
    let current = publisher.read().await?;
    let newest = current.catalog.generation();
    if let Some(expected) = options.expect.filter(|expected| *expected != newest) {
        return Err(CommandError::Failed(format!(
            "generation {newest} is the newest, not {expected}; somebody else published meanwhile"
        )));
    }
    let desired: Vec<Declaration> =
        declarations.iter().map(|(_, declaration)| declaration.clone()).collect();
    let changes = current.catalog.diff(&desired);
    print_changes(&changes);
    if options.dry_run || changes.is_empty() {
        println!("generation {newest}: nothing delivered");
        return Ok(());
    }
    let started = Instant::now();
    let generation = publisher.publish_changes(current, &changes).await?;
    println!("generation {generation}");
    if options.wait {
        wait_in_force(settings, generation, options.wait_limit).await?;
        println!("in force everywhere after {} ms", started.elapsed().as_millis());
    }
    Ok(())
}

fn print_changes(changes: &[Change]) {
    for change in changes {
        match change {
            Change::Added(new) => println!("+ {}: pool {}", new.service, new.pool),
            Change::Withdrawn(service) => println!("- {service}"),
            Change::Replaced(old, new) => {
                println!("~ {}", new.service);
                let (old, new) = (serde_json::to_value(&**old), serde_json::to_value(new));
                if let (Ok(old), Ok(new)) = (old, new) {
                    print_differences("", &old, &new);
                }
            }
        }
    }
}

fn print_differences(pointer: &str, old: &Value, new: &Value) {
    if let (Value::Object(old), Value::Object(new)) = (old, new) {
        for (name, new) in new {
            let old = old.get(name).unwrap_or(&Value::Null);
            print_differences(&format!("{pointer}/{name}"), old, new);
        }
    } else if old != new {
        println!("    {pointer}: {old} -> {new}");
    }
}

/// Reads the size of each pool from the VM list; only live VMs count.
async fn read_pool_sizes(
    settings: &Settings,
) -> Result<IndexMap<PoolId, PoolCapacity>, CommandError> {
    let page = vm_list::poll(settings.vm_list, 0).await.map_err(CommandError::failed)?;
    let mut sizes: IndexMap<PoolId, PoolCapacity> = IndexMap::new();
    let mut racks = std::collections::HashSet::new();
    for vm in page.vms.into_iter().filter(|vm| vm.state == VmState::Live) {
        let size = sizes.entry(vm.pool.clone()).or_default();
        size.vms += 1;
        size.slots = Slots(size.slots.0 + vm.slots.0);
        size.racks += u32::from(racks.insert((vm.pool, vm.rack)));
    }
    Ok(sizes)
}

/// The published declarations, with the store's revision of their head.
pub(super) struct PublishedState {
    catalog: Catalog,
    head_revision: u64,
}

/// Reads and publishes declarations in the store.
pub(super) struct Publisher {
    store: Etcd,
    keys: Keys,
}

impl Publisher {
    pub(super) fn new(settings: &Settings) -> Result<Self, CommandError> {
        let store = Etcd::new(&settings.store.endpoints, settings.store.timeout)
            .map_err(CommandError::failed)?;
        Ok(Self { store, keys: Keys::new(&settings.store.prefix) })
    }

    async fn read(&self) -> Result<PublishedState, CommandError> {
        let page = read_all(&self.store, &self.keys.control(), Priority::Control).await;
        self.parse(&page.map_err(CommandError::failed)?)
    }

    fn parse(&self, page: &RangeResult) -> Result<PublishedState, CommandError> {
        let mut records = Vec::new();
        let mut generation = Generation(0);
        let mut head_revision = 0;
        for item in &page.items {
            match self.keys.parse_control(&item.key) {
                Some(ControlKey::Head) => {
                    let head: Head =
                        serde_json::from_slice(&item.value).map_err(CommandError::failed)?;
                    generation = head.generation;
                    head_revision = item.revision;
                }
                Some(ControlKey::Service(service)) => {
                    let saved: SavedService =
                        serde_json::from_slice(&item.value).map_err(CommandError::failed)?;
                    let declaration = match &saved.declaration {
                        None => None,
                        Some(json) => declare::parse(&item.key, json.to_string().as_bytes()).ok(),
                    };
                    let declaration = declaration.map(std::sync::Arc::new);
                    let record = catalog::Record { generation: saved.generation, declaration };
                    records.push((service, record));
                }
                _ => {}
            }
        }
        let mut catalog = Catalog::default();
        catalog.merge(Delta { generation, records });
        Ok(PublishedState { catalog, head_revision })
    }

    /// Writes the changes to the store, in several generations if there are too many for one
    /// transaction. Returns the last generation.
    async fn publish_changes(
        &self,
        current: PublishedState,
        changes: &[Change],
    ) -> Result<Generation, CommandError> {
        let mut generation = current.catalog.generation();
        let mut revision = current.head_revision;
        for batch in changes.chunks(MAX_CHANGES_PER_TRANSACTION) {
            generation = generation.next();
            revision = self.publish_batch(batch, generation, revision).await?;
        }
        Ok(generation)
    }

    /// Writes one generation to the store. Returns the new revision of the head.
    async fn publish_batch(
        &self,
        changes: &[Change],
        generation: Generation,
        head_revision: u64,
    ) -> Result<u64, CommandError> {
        let head = Head { generation, publication: rand::rng().random() };
        let mut writes = vec![put(self.keys.head(), &head)?];
        for change in changes {
            let declaration = match change {
                Change::Added(new) | Change::Replaced(_, new) => {
                    Some(serde_json::to_value(new).map_err(CommandError::failed)?)
                }
                Change::Withdrawn(_) => None,
            };
            let saved = SavedService { generation, declaration };
            writes.push(put(self.keys.service(change.service()), &saved)?);
        }
        let conditions = vec![Condition::Revision(self.keys.head(), head_revision)];
        let transaction = Transaction { conditions, writes };
        match self.store.transact(&transaction, Priority::Control).await {
            Ok(Some(revision)) => Ok(revision),
            Ok(None) => Err(self.conflict_error().await),
            Err(StoreError::Uncertain(_)) => self.confirm_publication(head).await,
            Err(err @ StoreError::Unavailable(_)) => Err(CommandError::failed(err)),
        }
    }

    /// Creates the error for a publication that failed because another one took effect after the
    /// declarations were read. Its text names the newest generation and the services it changed.
    async fn conflict_error(&self) -> CommandError {
        match self.read().await {
            Ok(newest) => {
                let generation = newest.catalog.generation();
                let changed =
                    newest.catalog.delta_since(Generation(generation.0.saturating_sub(1)));
                let services: Vec<String> =
                    changed.records.iter().map(|(service, _)| service.to_string()).collect();
                CommandError::Failed(format!(
                    "somebody else published generation {generation} meanwhile, which changed {}; \
                     nothing was delivered",
                    services.join(", ")
                ))
            }
            Err(err) => err,
        }
    }

    /// Reads the head back to find out whether a publication took effect although the store's
    /// answer to it was lost. Returns the new revision of the head.
    async fn confirm_publication(&self, head: Head) -> Result<u64, CommandError> {
        let key = self.keys.head();
        for _ in 0..READ_BACK_ATTEMPTS {
            tokio::time::sleep(READ_BACK_DELAY).await;
            let page = self.store.range(&key, &format!("{key}\0"), 1, Priority::Control).await;
            let Ok(page) = page else {
                continue;
            };
            let head_item = page.items.first();
            let stored_head =
                head_item.and_then(|item| serde_json::from_slice::<Head>(&item.value).ok());
            if let (Some(item), true) = (head_item, stored_head == Some(head)) {
                return Ok(item.revision);
            }
            return Err(CommandError::Failed(
                "the store's answer was lost, and another publication is the newest; this one may \
                 have taken effect; check 'teaselgap status' and publish again"
                    .to_owned(),
            ));
        }
        Err(CommandError::Failed(
            "the store's answer was lost, and the store does not answer now; the publication may \
             be in force: check 'teaselgap status' before publishing again"
                .to_owned(),
        ))
    }
}

fn put(key: String, value: &impl Serialize) -> Result<Write, CommandError> {
    let value = Bytes::from(serde_json::to_vec(value).map_err(CommandError::failed)?);
    Ok(Write::Put { key, value, lease: None })
}

/// Waits until each node that is registered at the start of the wait, or that the settings name if
/// the store is down, has the generation in force. Fails if one of them reports that it refused a
/// generation, or if one does not have the generation in force after `limit`.
async fn wait_in_force(
    settings: &Settings,
    generation: Generation,
    limit: Duration,
) -> Result<(), CommandError> {
    let started = Instant::now();
    let peers = PeerClients::default();
    let mut pending_addresses = status::node_addresses(settings).await?;
    let mut delay = INITIAL_POLL_DELAY;
    loop {
        let statuses = status::query_status(&peers, &pending_addresses).await;
        let refusals = statuses.iter().flatten().filter(|status| !status.refused.is_empty());
        let refusals: Vec<String> =
            refusals.map(|status| format!("{}: {}", status.node, status.refused)).collect();
        if !refusals.is_empty() {
            return Err(CommandError::Failed(format!("refused by\n{}", refusals.join("\n"))));
        }
        // A node that does not answer may be live, so the wait for it continues.
        let in_force = |status: &Option<StatusReply>| {
            status.as_ref().is_some_and(|status| status.generation >= generation.0)
        };
        let nodes = pending_addresses.into_iter().zip(&statuses);
        pending_addresses =
            nodes.filter(|(_, status)| !in_force(status)).map(|(node, _)| node).collect();
        if pending_addresses.is_empty() {
            return Ok(());
        }
        if started.elapsed() > limit {
            let nodes: Vec<String> = pending_addresses.iter().map(ToString::to_string).collect();
            return Err(CommandError::Failed(format!(
                "generation {generation} is not in force at {}",
                nodes.join(", ")
            )));
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_POLL_DELAY);
    }
}
