//! The judge: what the workers saw, and whether accepted jobs get on.

#[cfg(test)]
mod tests;

use std::{collections::BTreeSet, time::Duration};

use crate::{load, record::Record, trouble, world::World};

/// The most lines about one work unit.
const MAX_LINES: usize = 60;

/// The breaches of TWICE, each with what the record says about the work unit: the orders as they
/// arrived (node, worker, fence number), their answers, and the runs.
pub fn twice(record: &Record) -> Vec<String> {
    let breaches = record.twice();
    let text = record.to_text();
    let mut told = BTreeSet::new();
    let tell = |breach: String| {
        let task = breach.split(' ').nth(2).unwrap_or_default().to_owned();
        let needle = format!("{task} ");
        if !told.insert(task) {
            return breach;
        }
        let lines = text.lines().filter(|line| line.contains(&needle)).take(MAX_LINES);
        let lines: Vec<String> = lines.map(|line| format!("    {}", line.trim())).collect();
        format!("TWICE at {breach}\n{}", lines.join("\n"))
    };
    breaches.into_iter().map(tell).collect()
}

/// Waits until all these jobs are done or lasting, and names those for which nothing runs then (LOST).
pub fn open_jobs(world: &World, jobs: &[String], limit: Duration) -> Vec<String> {
    let is_running = |id: &String| world.workers.iter().any(|worker| worker.runs(id));
    let mut open: Vec<String> = jobs.to_vec();
    let done_once =
        |id: &String| matches!(load::state(world, id), Some((200, state)) if state == "succeeded");
    let deadline = std::time::Instant::now() + limit;
    loop {
        open.retain(|id| !done_once(id));
        // The first job lasts.
        let is_calm = open.iter().all(|id| id.ends_with("00000000") && is_running(id));
        if is_calm || std::time::Instant::now() >= deadline {
            break;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    let _ = trouble::await_until(Duration::from_secs(1), || open.iter().all(is_running));
    open.retain(|id| !is_running(id));
    open.iter()
        .map(|id| {
            format!("LOST: {id} is shown as {:?}, nothing of it runs", load::state(world, id))
        })
        .collect()
}
