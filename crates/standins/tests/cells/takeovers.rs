//! The longest time that a task waits for its next run after changes of owner, one to four at drawn moments, each
//! within the wait of the one before, and whether any task runs twice meanwhile. Histories are drawn from
//! `PROPTEST_RNG_SEED`; `TAKEOVER_HISTORIES` sets their number.

mod history;
mod judge;
mod play;

use std::cell::Cell;

use proptest::test_runner::{TestCaseError, TestError, TestRunner};

use self::{
    history::{Change, End, FOREVER_MS, Fate, History, Kind, history},
    play::{Play, play},
};

/// The longest lease that workers grant, in milliseconds: longer than the one that owners ask for.
const LONGEST_LEASE_MS: u64 = 10_000;

/// The number of histories of a kind.
fn histories(kind: Kind) -> u32 {
    match kind {
        Kind::LivingNodes | Kind::DeadNodes => 12,
        Kind::All => 20,
        Kind::LateCalls => 24,
    }
}

fn runner(kind: Kind) -> TestRunner {
    let cases = std::env::var("TAKEOVER_HISTORIES").ok().and_then(|number| number.parse().ok());
    TestRunner::new(proptest::test_runner::Config {
        cases: cases.unwrap_or(histories(kind)),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..Default::default()
    })
}

/// Plays histories of a kind until `faults` finds one in what was played.
///
/// # Panics
///
/// Panics with the number of the history, and the smallest one that was found.
fn check(kind: Kind, faults: impl Fn(&Play) -> Vec<String>) {
    let (played, first) = (Cell::new(0_u32), Cell::new(None));
    let result = runner(kind).run(&history(kind), |history| {
        played.set(played.get() + 1);
        match faults(&play(&history)).into_iter().next() {
            None => Ok(()),
            Some(fault) => {
                first.set(first.get().or(Some(played.get())));
                Err(TestCaseError::fail(fault))
            }
        }
    });
    match result {
        Ok(()) => {}
        Err(TestError::Fail(fault, history)) => {
            let number = first.get().unwrap_or_default();
            panic!("history {number} has a fault; the smallest: {fault}\n{history:?}")
        }
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}

/// The waits beyond their bounds, and the tasks that ran twice.
fn faults(play: &Play) -> Vec<String> {
    [play.judge.late(), play.model.violations()].concat()
}

#[test]
fn no_task_waits_for_what_the_living_nodes_of_ended_terms_know() {
    check(Kind::LivingNodes, faults);
}

#[test]
fn no_task_waits_longer_because_more_owners_are_lost() {
    check(Kind::DeadNodes, faults);
}

#[test]
fn no_task_waits_beyond_what_anybody_knows_whatever_ends_the_terms() {
    check(Kind::All, faults);
}

#[test]
fn no_task_runs_twice_whatever_ends_the_terms_while_calls_are_late_and_workers_restart() {
    check(Kind::LateCalls, |play| play.model.violations().to_vec());
}

/// A worker with runs is cut off for good, and the owners change so.
fn history_of_a_silent_worker(changes: Vec<Change>) -> History {
    History { short_ms: Vec::new(), fates: vec![(0, 2, Fate::Silent(FOREVER_MS))], changes }
}

/// Leads, section 6: the owner that knew when the leases of the silent worker end lives, and nobody asks it.
#[test]
fn a_task_waits_for_the_longest_lease_although_the_node_of_the_ended_term_lives() {
    let change = Change { life_ms: 200, silent_ms: 2_000, end: End::LostLease, gap_ms: 500 };
    let history = history_of_a_silent_worker(vec![change]);

    let played = play(&history);

    assert_ne!(played.started_again(), 0);
    assert_eq!(faults(&played), [] as [&str; 0]);
}

/// Three owners die within the waits of those before them.
#[test]
fn each_lost_term_starts_the_wait_for_a_silent_worker_anew() {
    let change = Change { life_ms: 4_000, silent_ms: 0, end: End::Dies, gap_ms: 500 };
    let history = history_of_a_silent_worker(vec![change; 3]);

    let played = play(&history);

    assert_ne!(played.started_again(), 0);
    assert_eq!(faults(&played), [] as [&str; 0]);
}
