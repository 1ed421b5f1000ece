//! `teaselgap history`: exports the history of a customer's requests, verifies exports and deletes
//! exported history.

use std::{
    fs::File,
    io::{BufRead, BufReader, BufWriter, Write as _},
    path::{Path, PathBuf},
    sync::Arc,
};

use pico_args::Arguments;
use serde::{Deserialize, Serialize};
use teaselgap_core::{
    CustomerId,
    journal::{Conclusion, Intent, Record, RequestHistory, request_histories},
};
use xxhash_rust::xxh3::Xxh3;

use super::{CommandError, block_on, load_settings, reject_remaining};
use crate::{
    journal::{decode, recover},
    settings::Settings,
    store::{Priority, Store, Transaction, Write, etcd::Etcd, keys::Keys, prefix_end},
};

const HELP: &str = "\
Usage: teaselgap history export --settings FILE --customer ID --out FILE
       teaselgap history verify FILE
       teaselgap history forget --settings FILE --customer ID --export FILE

export writes every request of a customer, oldest first, one JSON object a line, and a manifest as
the last line. verify checks a file against its manifest. forget deletes a customer's regrouped
history once FILE is an export that verifies and holds all that the store has of the customer.
";

/// One request in an export.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ExportedRequest {
    request: Arc<Intent>,
    /// `None` if no conclusion was recorded; the request may have run.
    end: Option<Arc<Conclusion>>,
}

/// The last line of an export.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Manifest {
    customer: CustomerId,
    requests: u64,
    /// The hash of all lines before this one, including their line feeds.
    xxh3: String,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ExportLine {
    Request(Box<ExportedRequest>),
    Manifest(Manifest),
}

pub(super) fn run(mut args: Arguments, help: bool) -> Result<(), CommandError> {
    if help {
        print!("{HELP}");
        return Ok(());
    }
    match args.subcommand()?.as_deref() {
        Some("export") => {
            let settings = load_settings(&mut args)?;
            let customer: CustomerId = args.value_from_str("--customer")?;
            let out: PathBuf = args.value_from_str("--out")?;
            reject_remaining(args)?;
            let manifest = block_on(export(&settings, &customer, &out))?;
            println!("{} requests of {customer} in {}", manifest.requests, out.display());
            Ok(())
        }
        Some("verify") => {
            let file: PathBuf = args.free_from_str()?;
            reject_remaining(args)?;
            let manifest = verify(&file)?;
            println!(
                "{} requests of {}, as the manifest says",
                manifest.requests, manifest.customer
            );
            Ok(())
        }
        Some("forget") => {
            let settings = load_settings(&mut args)?;
            let customer: CustomerId = args.value_from_str("--customer")?;
            let file: PathBuf = args.value_from_str("--export")?;
            reject_remaining(args)?;
            block_on(forget(&settings, &customer, &file))
        }
        _ => Err(CommandError::Usage("history needs export, verify or forget".to_owned())),
    }
}

/// The records of a customer that the store contains.
struct StoredHistory {
    requests: Vec<RequestHistory>,
    /// How many of the records are still in segments, not yet grouped by customer by a compaction.
    records_in_segments: usize,
}

async fn read_stored(
    settings: &Settings,
    customer: &CustomerId,
) -> Result<StoredHistory, CommandError> {
    let store = Etcd::new(&settings.store.endpoints, settings.store.timeout)
        .map_err(CommandError::failed)?;
    let keys = Keys::new(&settings.store.prefix);
    // The segments are read first: a record that a compaction groups by customer meanwhile is then
    // read twice rather than missed.
    let mut recent = Vec::new();
    for partition in 0..settings.journal.partitions {
        let segments = recover::read_segments(&store, &keys, partition, 0).await;
        let segments = segments.map_err(CommandError::failed)?;
        let records = segments.into_iter().flat_map(|segment| segment.records);
        recent.extend(records.filter(|record| record.customer() == customer));
    }
    let records_in_segments = recent.len();
    let mut records = read_regrouped(&store, &keys.history(customer)).await?;
    records.extend(recent);
    Ok(StoredHistory { requests: request_histories(records), records_in_segments })
}

async fn read_regrouped(store: &Etcd, prefix: &str) -> Result<Vec<Record>, CommandError> {
    /// The most parts that one call reads.
    const PARTS_PER_PAGE: u32 = 8;
    let end = prefix_end(prefix);
    let mut start = prefix.to_owned();
    let mut records = Vec::new();
    loop {
        let page = store.range(&start, &end, PARTS_PER_PAGE, Priority::Background).await;
        let page = page.map_err(CommandError::failed)?;
        for item in &page.items {
            let part: Vec<Record> = decode(&item.value).map_err(CommandError::failed)?;
            records.extend(part);
        }
        match page.items.last() {
            Some(last) if page.has_more => start = format!("{}\0", last.key),
            _ => return Ok(records),
        }
    }
}

async fn export(
    settings: &Settings,
    customer: &CustomerId,
    out: &Path,
) -> Result<Manifest, CommandError> {
    let stored = read_stored(settings, customer).await?;
    let fail = |err| CommandError::Failed(format!("{}: {err}", out.display()));
    let mut file = BufWriter::new(File::create(out).map_err(fail)?);
    let mut hasher = Xxh3::new();
    let mut requests = 0;
    for history in stored.requests {
        let line = ExportedRequest { request: history.intent, end: history.conclusion };
        let text = line_to_json(&ExportLine::Request(Box::new(line)))?;
        hasher.update(text.as_bytes());
        file.write_all(text.as_bytes()).map_err(fail)?;
        requests += 1;
    }
    let xxh3 = format!("{:032x}", hasher.digest128());
    let manifest = Manifest { customer: customer.clone(), requests, xxh3 };
    let text = line_to_json(&ExportLine::Manifest(manifest.clone()))?;
    file.write_all(text.as_bytes()).map_err(fail)?;
    file.flush().map_err(fail)?;
    Ok(manifest)
}

fn line_to_json(line: &ExportLine) -> Result<String, CommandError> {
    let mut text = serde_json::to_string(line).map_err(CommandError::failed)?;
    text.push('\n');
    Ok(text)
}

fn verify(path: &Path) -> Result<Manifest, CommandError> {
    let fail = |reason: String| CommandError::Failed(format!("{}: {reason}", path.display()));
    let file = File::open(path).map_err(|err| fail(err.to_string()))?;
    let mut hasher = Xxh3::new();
    let mut requests = 0;
    let mut ids = std::collections::HashSet::new();
    let mut last_time = 0;
    for (line_number, line) in BufReader::new(file).lines().enumerate() {
        let line_number = line_number + 1;
        let text = line.map_err(|err| fail(err.to_string()))?;
        let line = serde_json::from_str(&text)
            .map_err(|err| fail(format!("line {line_number}: {err}")))?;
        match line {
            ExportLine::Request(line) => {
                let request = line.request;
                if !ids.insert(request.id.clone()) {
                    return Err(fail(format!("line {line_number}: {} occurs twice", request.id)));
                }
                if request.time_ms < last_time {
                    return Err(fail(format!(
                        "line {line_number}: the request is older than the previous one"
                    )));
                }
                last_time = request.time_ms;
                requests += 1;
                hasher.update(text.as_bytes());
                hasher.update(b"\n");
            }
            ExportLine::Manifest(manifest) => {
                let xxh3 = format!("{:032x}", hasher.digest128());
                if manifest.requests != requests || manifest.xxh3 != xxh3 {
                    return Err(fail(format!(
                        "found {requests} requests with hash {xxh3}, the manifest has {} and {}",
                        manifest.requests, manifest.xxh3
                    )));
                }
                return Ok(manifest);
            }
        }
    }
    Err(fail("the manifest is missing; the export is incomplete".to_owned()))
}

async fn forget(
    settings: &Settings,
    customer: &CustomerId,
    export: &Path,
) -> Result<(), CommandError> {
    let manifest = verify(export)?;
    let stored = read_stored(settings, customer).await?;
    if manifest.customer != *customer || manifest.requests != stored.requests.len() as u64 {
        return Err(CommandError::Failed(format!(
            "the export contains {} requests of {}, the store {} of {customer}; export again",
            manifest.requests,
            manifest.customer,
            stored.requests.len()
        )));
    }
    if stored.records_in_segments > 0 {
        return Err(CommandError::Failed(format!(
            "{} records of {customer} are not regrouped yet; nothing was deleted, try again later",
            stored.records_in_segments
        )));
    }
    let store = Etcd::new(&settings.store.endpoints, settings.store.timeout)
        .map_err(CommandError::failed)?;
    let start = Keys::new(&settings.store.prefix).history(customer);
    let delete = Write::DeleteRange { end: prefix_end(&start), start };
    let transaction = Transaction { conditions: Vec::new(), writes: vec![delete] };
    store.transact(&transaction, Priority::Background).await.map_err(CommandError::failed)?;
    println!("{} requests of {customer} forgotten", manifest.requests);
    Ok(())
}
