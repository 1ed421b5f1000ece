//! Plays changes of owners under drawn, overlapping trouble against the project's own processes, with
//! the stand-ins of the review.
//!
//! Usage: `owners SEED MS RECORD`, from the folder of the project whose `target/release` is played.
//! The trouble lasts `MS` milliseconds. Exits with 1 if a rule was broken, 0 if it held and 2 if
//! nothing could be played. `TROUBLE=0` leaves the trouble out, `AIM` names the only scenes
//! that are drawn (see `draw`; `recut` only so), and `KEEP_LOGS` names the folder for the processes' logs. `CLOCKS=0` starts
//! the clocks of workers at 0 in each life, and another number draws them by it instead of the seed.

mod clock;
mod draw;
mod http;
mod judge;
mod late;
mod links;
mod load;
mod store;
mod trouble;
mod variant;
mod worker;
mod world;

#[allow(clippy::all, clippy::pedantic, dead_code, reason = "the code of the review stays as it is")]
#[path = "../../../review/standins/src/base64.rs"]
mod base64;
#[allow(clippy::all, clippy::pedantic, dead_code, reason = "the code of the review stays as it is")]
#[path = "../../../review/standins/src/json.rs"]
mod json;
#[path = "../../../review/standins/src/names.rs"]
mod names;
#[path = "../../../review/standins/src/ports.rs"]
mod ports;
#[allow(clippy::all, clippy::pedantic, dead_code, reason = "the code of the review stays as it is")]
#[path = "../../../review/standins/src/record.rs"]
mod record;

use std::{process::ExitCode, sync::Arc, time::Duration};

use clock::Clocks;
use draw::{Plan, Shows};
use load::Load;
use record::Record;
use world::World;

/// How long after the trouble each accepted job may stay without progress.
const CALM: Duration = Duration::from_secs(30);

/// What came of a play.
enum Outcome {
    Held,
    Broken(Vec<String>),
    /// Nothing was played.
    NotPlayed(String),
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let mut number = || args.next().and_then(|text| text.parse::<u64>().ok());
    let (Some(seed), Some(span_ms)) = (number(), number()) else {
        eprintln!("usage: owners SEED MS RECORD");
        return ExitCode::from(2);
    };
    let Some(path) = args.next() else {
        eprintln!("usage: owners SEED MS RECORD");
        return ExitCode::from(2);
    };
    let record = Arc::new(Record::new());
    let (verdict, code) = match play(seed, span_ms, &record) {
        Outcome::Held => ("no rule was broken".to_owned(), 0),
        Outcome::NotPlayed(reason) => (format!("not played: {reason}"), 2),
        Outcome::Broken(breaches) => {
            (format!("rules were broken {} times:\n{}", breaches.len(), breaches.join("\n")), 1)
        }
    };
    let text = record.to_text();
    let effect = text.lines().rev().find(|line| line.contains("trouble that took effect"));
    println!("seed {seed}: {verdict}\n{}", effect.unwrap_or_default().trim());
    if std::fs::write(&path, format!("{text}\n{verdict}\n")).is_err() {
        eprintln!("could not write {path}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}

fn play(seed: u64, span_ms: u64, record: &Arc<Record>) -> Outcome {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let aim = std::env::var("AIM").ok();
    let plan = Plan::draw(seed, span_ms, aim.as_deref());
    Clocks::choose(seed, plan.has_cuts);
    if let Some(variant) = plan.variant {
        variant.choose();
        record.note(format!("workers act in a way that the pages leave open: {variant:?}"));
    }
    record.note(format!("seed {seed}: {} nodes, {} workers", plan.nodes, plan.workers));
    for (at, act) in &plan.acts {
        record.note(format!("drawn for {at} ms: {act:?}"));
    }
    let Some(world) = World::start(&plan, Arc::clone(record)) else {
        return Outcome::NotPlayed("the processes did not become ready".to_owned());
    };
    let world = Arc::new(world);
    // The scenes with cuts say when work arrives.
    let clients = if plan.has_cuts { 0 } else { load::CLIENTS };
    let load = Load::start(&world, seed, clients);
    if has_trouble {
        trouble::play(&world, &load, &plan.acts);
    }
    trouble::wait_until(&world, span_ms);
    let accepted = load.finish();
    record.note(format!("calm from here; {} jobs are accepted", accepted.len()));
    let mut breaches = judge::open_jobs(&world, &accepted, CALM);
    record.note(world.effect());
    breaches.extend(judge::twice(record, &world.calls(), plan.max_hold_ms));
    if !breaches.is_empty() {
        return Outcome::Broken(breaches);
    }
    if plan.variant.is_some() && variant::effects() == 0 {
        return Outcome::NotPlayed("the way that the pages leave open had no effect".to_owned());
    }
    match missing(&world, plan.shows).filter(|_| has_trouble) {
        Some(reason) => Outcome::NotPlayed(reason.to_owned()),
        None => Outcome::Held,
    }
}

/// What didn't take effect, if the play shows nothing without it.
fn missing(world: &World, shows: Shows) -> Option<&'static str> {
    let (has_late_call, has_cut_run) = (world.has_late_call_in_next_life(), world.cut_runs() > 0);
    let has_effect = variant::effects() > 0;
    let (is_shown, reason) = match shows {
        Shows::Effect => (has_effect, "the way that the pages leave open had no effect"),
        Shows::NewOwner => (world.has_new_claim(), "the owner has not changed"),
        Shows::LateCall => (has_late_call, "no late call reached a next life"),
        Shows::CutRun => (has_cut_run, "nothing ran on a restarted worker when it was cut off"),
        Shows::LateCallOrCutRun => (
            has_late_call || has_cut_run,
            "no late call reached a next life, and nothing ran on a restarted worker when it was cut off",
        ),
    };
    (!is_shown).then_some(reason)
}
