//! `teaselgap publish`: checks declarations together and puts them in force.

use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use pico_args::Arguments;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use teaselgap_core::{
    Generation, PoolId, Slots,
    catalog::{self, Catalog, Change, Delta, PoolSize},
    declare::{self, Declaration},
};

use teaselgap_proto::peer::StatusReply;

use super::{CommandError, block_on, files, settings, status};
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

/// A service's declaration as the store holds it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SavedService {
    /// Generation in which the declaration last changed.
    pub(crate) generation: Generation,
    /// `None` once the service was withdrawn.
    pub(crate) declaration: Option<Value>,
}

/// The newest generation as the store holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) generation: Generation,
    /// Tells this publication from any other, for when the store's answer is lost.
    pub(crate) publication: u64,
}

/// Most declarations in one transaction; the store bounds its operations.
const MAX_CHANGES: usize = 100;

/// The first pause between two questions to nodes for what they have in force; each further one is
/// twice as long.
const FIRST_POLL: Duration = Duration::from_millis(5);

/// The longest pause between two questions.
const LONGEST_POLL: Duration = Duration::from_millis(100);

/// Tries to read back what a publication whose answer was lost did.
const SETTLE_TRIES: u32 = 50;

/// Pause between two of them.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

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
    let settings = settings(&mut args)?;
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

/// Publishes and waits until every live node has it in force; the time from delivery to then.
#[cfg(feature = "demo")]
pub(super) async fn publish_and_wait(
    settings: &Settings,
    declarations: &files::Declarations,
) -> Result<Duration, CommandError> {
    let publisher = Publisher::new(settings)?;
    let current = publisher.read().await?;
    let wanted: Vec<Declaration> = declarations.iter().map(|(_, one)| one.clone()).collect();
    let changes = current.catalog.diff(&wanted);
    let started = Instant::now();
    let generation = publisher.deliver(current, &changes).await?;
    wait_in_force(settings, generation, DEMO_WAIT).await?;
    Ok(started.elapsed())
}

/// Longest wait of the demo for a generation.
#[cfg(feature = "demo")]
const DEMO_WAIT: Duration = Duration::from_secs(20);

async fn publish(
    settings: &Settings,
    declarations: &files::Declarations,
    options: &Options,
) -> Result<(), CommandError> {
    let fleet = fleet(settings).await?;
    let problems = catalog::check(declarations, Some(&fleet));
    if !problems.is_empty() {
        return Err(files::problems_error(&problems));
    }
    let publisher = Publisher::new(settings)?;
    let current = publisher.read().await?;
    let newest = current.catalog.generation();
    if let Some(expected) = options.expect.filter(|expected| *expected != newest) {
        return Err(CommandError::Failed(format!(
            "generation {newest} is in force, not {expected}; somebody published meanwhile"
        )));
    }
    let wanted: Vec<Declaration> = declarations.iter().map(|(_, one)| one.clone()).collect();
    let changes = current.catalog.diff(&wanted);
    print_changes(&changes);
    if options.dry_run || changes.is_empty() {
        println!("generation {newest}: nothing delivered");
        return Ok(());
    }
    let started = Instant::now();
    let generation = publisher.deliver(current, &changes).await?;
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

/// The pools' sizes as the VM list shows them.
async fn fleet(settings: &Settings) -> Result<IndexMap<PoolId, PoolSize>, CommandError> {
    let page = vm_list::poll(settings.vm_list, 0).await.map_err(CommandError::failed)?;
    let mut sizes: IndexMap<PoolId, PoolSize> = IndexMap::new();
    let mut racks = std::collections::HashSet::new();
    for vm in page.vms.into_iter().filter(|vm| vm.state == VmState::Live) {
        let size = sizes.entry(vm.pool.clone()).or_default();
        size.vms += 1;
        size.slots = Slots(size.slots.0 + vm.slots.0);
        size.racks += u32::from(racks.insert((vm.pool, vm.rack)));
    }
    Ok(sizes)
}

/// What is in force, with the store's revision of its head.
pub(super) struct PublishedState {
    catalog: Catalog,
    head_revision: u64,
}

/// Delivers declarations to the store.
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

    /// Delivers the changes, in several generations if they are too many for one.
    async fn deliver(
        &self,
        current: PublishedState,
        changes: &[Change],
    ) -> Result<Generation, CommandError> {
        let mut generation = current.catalog.generation();
        let mut revision = current.head_revision;
        for batch in changes.chunks(MAX_CHANGES) {
            generation = generation.next();
            revision = self.deliver_batch(batch, generation, revision).await?;
        }
        Ok(generation)
    }

    async fn deliver_batch(
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
            Ok(None) => Err(self.overtaken().await),
            Err(StoreError::Uncertain(_)) => self.settle(head).await,
            Err(err @ StoreError::Unavailable(_)) => Err(CommandError::failed(err)),
        }
    }

    /// Says what another operator changed meanwhile.
    async fn overtaken(&self) -> CommandError {
        match self.read().await {
            Ok(now) => {
                let generation = now.catalog.generation();
                let changed = now.catalog.delta_since(Generation(generation.0.saturating_sub(1)));
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

    /// Reads back whether a publication whose answer was lost took effect.
    async fn settle(&self, head: Head) -> Result<u64, CommandError> {
        let key = self.keys.head();
        for _ in 0..SETTLE_TRIES {
            tokio::time::sleep(SETTLE_PAUSE).await;
            let page = self.store.range(&key, &format!("{key}\0"), 1, Priority::Control).await;
            let Ok(page) = page else {
                continue;
            };
            let found = page.items.first();
            let written = found.and_then(|item| serde_json::from_slice::<Head>(&item.value).ok());
            if let (Some(item), true) = (found, written == Some(head)) {
                return Ok(item.revision);
            }
            return Err(CommandError::Failed(
                "the store's answer was lost and the publication is not the newest; \
                 look at 'teaselgap status' and publish again"
                    .to_owned(),
            ));
        }
        Err(CommandError::Failed(
            "the store's answer was lost and it does not answer now; the publication may be in \
             force: look at 'teaselgap status' before publishing again"
                .to_owned(),
        ))
    }
}

fn put(key: String, value: &impl Serialize) -> Result<Write, CommandError> {
    let value = Bytes::from(serde_json::to_vec(value).map_err(CommandError::failed)?);
    Ok(Write::Put { key, value, lease: None })
}

/// Waits until every live node has a generation in force.
async fn wait_in_force(
    settings: &Settings,
    generation: Generation,
    limit: Duration,
) -> Result<(), CommandError> {
    let started = Instant::now();
    let peers = PeerClients::default();
    let mut behind = status::node_addresses(settings).await?;
    let mut pause = FIRST_POLL;
    loop {
        let statuses = status::query_status(&peers, &behind).await;
        let refusals = statuses.iter().flatten().filter(|status| !status.refused.is_empty());
        let refusals: Vec<String> =
            refusals.map(|status| format!("{}: {}", status.node, status.refused)).collect();
        if !refusals.is_empty() {
            return Err(CommandError::Failed(format!("refused by\n{}", refusals.join("\n"))));
        }
        // A node that does not answer is waited for: it may be live.
        let in_force = |status: &Option<StatusReply>| {
            status.as_ref().is_some_and(|status| status.generation >= generation.0)
        };
        let nodes = behind.into_iter().zip(&statuses);
        behind = nodes.filter(|(_, status)| !in_force(status)).map(|(node, _)| node).collect();
        if behind.is_empty() {
            return Ok(());
        }
        if started.elapsed() > limit {
            let nodes: Vec<String> = behind.iter().map(ToString::to_string).collect();
            return Err(CommandError::Failed(format!(
                "generation {generation} is not in force at {}",
                nodes.join(", ")
            )));
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_POLL);
    }
}
