//! The judge: what the workers saw, and whether accepted jobs get on.

#[cfg(test)]
mod tests;

use std::{collections::BTreeSet, time::Duration};

use crate::{
    late,
    links::WorkerCall,
    load,
    record::{Event, Life, Record},
    trouble,
    world::World,
};

/// The most lines about one work unit.
const MAX_LINES: usize = 60;

type Events = Vec<(u64, Event)>;

/// The breaches of TWICE, each with what the record says about the work unit: the orders as they
/// arrived (node, worker, fence number), their answers, and the runs.
pub fn twice(record: &Record, calls: &[WorkerCall], max_hold_ms: u64) -> Vec<String> {
    let mut events = record.events();
    events.extend(lapses(&events, calls, max_hold_ms));
    events.sort_by_key(|(at, _)| *at);
    let text = record.to_text();
    let mut told = BTreeSet::new();
    let tell = |(task, breach): (String, String)| {
        if !told.insert(task.clone()) {
            return format!("TWICE at {breach}");
        }
        let needle = format!("{task} ");
        let lines = text.lines().filter(|line| line.contains(&needle)).take(MAX_LINES);
        let lines: Vec<String> = lines.map(|line| format!("    {}", line.trim())).collect();
        format!("TWICE at {breach}\n{}", lines.join("\n"))
    };
    breaches(&events).into_iter().map(tell).collect()
}

/// The ends of leases, from the calls that arrived. The workers record none while nothing runs, after
/// which an end that is noted doesn't count, and record the others late on a busy machine.
fn lapses(events: &Events, calls: &[WorkerCall], max_hold_ms: u64) -> Events {
    let mut lapses = Vec::new();
    for (birth, life) in late::births(events) {
        let is_end = |event: &Event| matches!(event, Event::Crashed { life: one } if *one == life);
        let death = events.iter().find(|(at, event)| *at >= birth && is_end(event));
        let death = death.map_or(u64::MAX, |(at, _)| *at);
        let first_ms = late::first_clock_ms(events, birth, &life.0);
        let (mut fence, mut lease_end) = (0, None);
        let is_of_life =
            |call: &&WorkerCall| call.worker == life.0 && (birth..death).contains(&call.at_ms);
        for call in calls.iter().filter(is_of_life).filter(|call| call.deadline_ms > 0) {
            if call.fence < fence {
                continue;
            }
            fence = call.fence;
            if let Some(end) = lease_end.filter(|end| *end < call.at_ms) {
                lapses.push((end, Event::Lapsed { life: life.clone() }));
            }
            let wanted =
                (birth + call.deadline_ms.saturating_sub(first_ms)).min(call.at_ms + max_hold_ms);
            lease_end = Some(lease_end.unwrap_or(0).max(wanted));
        }
        let end = lease_end.filter(|end| *end < death);
        lapses.extend(end.map(|end| (end, Event::Lapsed { life })));
    }
    lapses
}

/// As the review's record judges, with each breach's work unit.
fn breaches(events: &Events) -> Vec<(String, String)> {
    let mut breaches = Vec::new();
    for (index, (at, event)) in events.iter().enumerate() {
        let Event::Started { life, task, attempt } = event else { continue };
        let mut tell = |what: String| {
            let at = *at as f64 / 1_000.0;
            let run = format!("{task} attempt {attempt} starts on {}", life.0);
            breaches.push((task.clone(), format!("{at:.3} s: {run} {what}")));
        };
        let mut alive: Vec<(&Life, u64)> = Vec::new();
        for (before_index, (_, before)) in events[..index].iter().enumerate() {
            match before {
                Event::Started { life, task: other, attempt } if other == task => {
                    alive.push((life, *attempt));
                }
                Event::Ended { life, task: other, attempt, how, number } if other == task => {
                    alive.retain(|run| *run != (life, *attempt));
                    if *how == "done" && was_noted(&events[before_index..], life, *number) {
                        tell(format!("after attempt {attempt} was done on {}", life.0));
                    }
                }
                Event::Crashed { life } | Event::Lapsed { life } => {
                    alive.retain(|(other, _)| *other != life);
                }
                _ => {}
            }
        }
        for (other, running) in alive {
            tell(format!("while attempt {running} runs on {}", other.0));
        }
    }
    breaches
}

/// Whether an end is taken note of by these later events before the worker's lease lapses.
fn was_noted(later: &[(u64, Event)], life: &Life, number: u64) -> bool {
    let decisive = later.iter().find_map(|(_, event)| match event {
        Event::Confirmed { life: other, last_seen } if other == life && *last_seen >= number => {
            Some(true)
        }
        Event::Lapsed { life: other } | Event::Crashed { life: other } if other == life => {
            Some(false)
        }
        _ => None,
    });
    decisive.unwrap_or(false)
}

/// Workers that no node reached from a time on.
#[derive(Clone, Debug)]
pub struct Cut {
    pub at_ms: u64,
    pub workers: Vec<String>,
}

/// How many runs on restarted workers, in a later life than the first one, went on when their worker was
/// cut off.
pub fn cut_runs(events: &Events, cuts: &[Cut]) -> usize {
    let births = late::births(events);
    let is_first = |life: &Life| {
        births.iter().find(|(_, one)| one.0 == life.0).is_none_or(|(_, one)| one == life)
    };
    let is_cut = |index: usize, start_ms: u64, life: &Life, task: &str, attempt: u64| {
        let is_end = |event: &Event| match event {
            Event::Ended { life: one, task: other, attempt: number, .. } => {
                one == life && other == task && *number == attempt
            }
            Event::Crashed { life: one } | Event::Lapsed { life: one } => one == life,
            _ => false,
        };
        let end = events[index..].iter().find(|(_, event)| is_end(event));
        let end_ms = end.map_or(u64::MAX, |(at, _)| *at);
        cuts.iter()
            .any(|cut| cut.workers.contains(&life.0) && (start_ms..end_ms).contains(&cut.at_ms))
    };
    let is_wanted = |(index, (at, event)): &(usize, &(u64, Event))| match event {
        Event::Started { life, task, attempt } => {
            !is_first(life) && is_cut(*index, *at, life, task, *attempt)
        }
        _ => false,
    };
    events.iter().enumerate().filter(is_wanted).count()
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
