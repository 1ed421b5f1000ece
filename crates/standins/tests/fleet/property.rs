//! The rules, over histories that are drawn from `PROPTEST_RNG_SEED`. `FLEET_HISTORIES` sets their number.

use std::cell::Cell;

use proptest::test_runner::{TestCaseError, TestError, TestRunner};

use super::{
    history::{Kind, history},
    judge::{Reached, Rule},
    play::play,
};

/// The number of histories of each test.
const HISTORIES: u32 = 200;

fn runner() -> TestRunner {
    let cases = std::env::var("FLEET_HISTORIES").ok().and_then(|number| number.parse().ok());
    TestRunner::new(proptest::test_runner::Config {
        cases: cases.unwrap_or(HISTORIES),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Default::default()
    })
}

/// Plays histories of a kind until one breaks one of the rules, and returns what they reached.
///
/// # Panics
///
/// Panics with the number of the history that breaks a rule, and the smallest one that was found to break it.
fn check(kind: Kind, rules: &[Rule]) {
    let (played, first_fault) = (Cell::new(0_u32), Cell::new(None));
    let result = runner().run(&history(kind), |history| {
        played.set(played.get() + 1);
        let faults = play(&history).faults;
        match faults.into_iter().find(|(rule, _)| rules.contains(rule)) {
            None => Ok(()),
            Some((_, fault)) => {
                first_fault.set(first_fault.get().or(Some(played.get())));
                Err(TestCaseError::fail(fault))
            }
        }
    });
    match result {
        Ok(()) => {}
        Err(TestError::Fail(fault, history)) => {
            let number = first_fault.get().unwrap_or_default();
            panic!("history {number} breaks a rule; the smallest: {fault}\n{history:?}")
        }
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}

#[test]
fn no_wave_is_done_by_the_late_answer_to_a_move() {
    check(Kind::LateAnswers, &[Rule::Done]);
}

#[test]
fn no_wave_is_done_by_a_list_that_lacks_its_last_vm() {
    check(Kind::ListGaps, &[Rule::Done]);
}

#[test]
fn no_wave_is_done_with_a_vm_that_has_not_begun() {
    check(Kind::All, &[Rule::Done]);
}

#[test]
fn no_more_vms_of_a_wave_are_down_than_it_allows() {
    check(Kind::All, &[Rule::MaxDown]);
}

#[test]
fn no_order_ends_tasks_that_are_not_drained() {
    check(Kind::All, &[Rule::Drained]);
}

#[test]
fn each_wave_is_done_in_the_end() {
    check(Kind::All, &[Rule::InTheEnd]);
}

#[test]
fn the_histories_reach_what_they_are_drawn_for() {
    let (reached, answered_late, missed) =
        (Cell::new(Reached::default()), Cell::new(0_u32), Cell::new(0_u32));

    let result = runner().run(&history(Kind::All), |history| {
        let played = play(&history).reached;
        answered_late.set(answered_late.get() + u32::from(played.other_plans > 0));
        missed.set(missed.get() + u32::from(played.missing_last > 0));
        let mut sum = reached.get();
        sum.other_plans += played.other_plans;
        sum.missing_last += played.missing_last;
        sum.owner_changes += played.owner_changes;
        reached.set(sum);
        Ok(())
    });

    result.unwrap();
    println!("{:?}, in {} and {} histories", reached.get(), answered_late.get(), missed.get());
    assert!(answered_late.get() > 0, "no answer meets another plan");
    assert!(missed.get() > 0, "no list lacks all open VMs of a wave");
    assert!(reached.get().owner_changes > 0, "no owner changes");
}
