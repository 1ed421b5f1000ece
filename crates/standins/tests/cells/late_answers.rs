//! Answers of workers that are only late, so that copies of start orders cross them, over drawn histories. They are
//! drawn from `PROPTEST_RNG_SEED`; `LATE_HISTORIES` sets their number.

mod history;
mod plain;
mod play;

use std::sync::LazyLock;

use proptest::{
    strategy::{Strategy, ValueTree},
    test_runner::{Config, TestRunner},
};

use self::{
    history::{History, history, history_of_reborn_workers},
    play::{Play, play},
};

/// The number of histories.
const HISTORIES: usize = 20;

/// Draws histories and plays them, the shortest first, so that the first one that fails is easy to read.
fn play_all(strategy: &impl Strategy<Value = History>) -> Vec<Play> {
    let number = std::env::var("LATE_HISTORIES").ok().and_then(|number| number.parse().ok());
    let mut runner = TestRunner::new(Config::default());
    let mut draw = || strategy.new_tree(&mut runner).expect("a history").current();
    let mut histories: Vec<History> =
        std::iter::repeat_with(&mut draw).take(number.unwrap_or(HISTORIES)).collect();
    histories.sort_by_key(|history| history.events.len());
    histories.into_iter().map(play).collect()
}

/// Histories in which no answer is lost.
static PLAYED: LazyLock<Vec<Play>> = LazyLock::new(|| play_all(&history()));

/// Histories in which workers restart while copies of orders to them are under way.
static REBORN: LazyLock<Vec<Play>> = LazyLock::new(|| play_all(&history_of_reborn_workers()));

/// Whether no history has a fault, and what the test is about has happened in one at least.
fn assert_sound(played: &[Play], faults: impl Fn(&Play) -> Vec<String>) {
    let sum = |count: fn(&Play) -> usize| played.iter().map(count).sum::<usize>();
    let (crossed, stopped) = (sum(|play| play.crossed), sum(|play| play.stopped));
    let away = played.iter().map(|play| play.longest_away).max().unwrap_or_default();
    let broken: Vec<_> = played
        .iter()
        .filter_map(|play| Some((faults(play).into_iter().next()?, &play.history)))
        .collect();
    println!(
        "{} of {} histories break: {crossed} orders crossed, {stopped} runs stopped, away for {away} at most",
        broken.len(),
        played.len(),
    );

    assert_ne!(crossed, 0, "no copy has crossed an answer");
    assert_ne!(stopped, 0, "no run was stopped");
    assert!(broken.is_empty(), "{} of {}: {:#?}", broken.len(), played.len(), broken[0]);
}

/// Guards against histories that lose answers, in which orders have to stay open.
#[test]
fn all_orders_of_late_answers_are_answered() {
    let unanswered = |play: &Play| {
        (play.unanswered > 0).then(|| format!("{} without an answer", play.unanswered))
    };

    assert_sound(&PLAYED, |play| unanswered(play).into_iter().collect());
}

#[test]
fn no_order_is_open_once_its_copies_are_answered() {
    assert_sound(&PLAYED, |play| play.open.clone());
}

#[test]
fn no_task_is_away_for_a_copy_that_was_answered() {
    assert_sound(&PLAYED, |play| play.away.clone());
}

#[test]
fn no_task_runs_twice_while_copies_cross_answers() {
    assert_sound(&PLAYED, |play| play.model.violations().to_vec());
}

/// Guards against an order that is closed although a copy of it may be carried out, or has been by a later life of
/// the worker than the one that has listed the end of its run.
#[test]
fn no_task_runs_twice_while_copies_come_in_the_next_life_of_a_worker() {
    assert_sound(&REBORN, |play| play.model.violations().to_vec());
}
