use super::*;

fn lost(attempt: u32, alive_ms: Option<u64>, (is_crash, is_trial): (bool, bool)) -> LostRun {
    LostRun {
        attempt,
        worker: "w0".into(),
        address: None,
        is_crash,
        alive_ms,
        is_trial,
        pause_end_wall_ms: None,
    }
}

fn task_with(lost_runs: Vec<LostRun>) -> Task {
    Task { lost_runs, ..Task::default() }
}

/// The users allow two starts after the third crash, and a job to be given up after the second.
#[test]
fn only_the_crash_of_a_trial_gives_a_task_up() {
    let crashes = |trials: &[bool]| {
        let crash = |(attempt, is_trial): (u32, &bool)| lost(attempt, Some(0), (true, *is_trial));
        task_with((1..).zip(trials).map(crash).collect())
    };

    assert!(!crashes(&[false; 3]).is_deadly());
    assert!(crashes(&[false; 3]).is_on_trial(false));
    assert!(crashes(&[false, false, false, true]).is_deadly());
    assert!(!crashes(&[false; 2]).is_on_trial(false));
    assert!(crashes(&[false; 2]).is_on_trial(true));
    assert!(crashes(&[false, false, true]).is_deadly());
}

#[test]
fn crashes_after_the_start_never_give_a_task_up() {
    let survived = (1..60).map(|attempt| lost(attempt, Some(SURVIVAL.0), (true, true)));

    let task = task_with(survived.collect());

    assert!(!task.is_on_trial(true));
    assert!(!task.is_deadly());
}

#[test]
fn losses_that_earlier_builds_recorded_accuse_no_task() {
    let old = r#"{"attempt":1,"worker":"w0","is_crash":true}"#;

    let old: LostRun = serde_json::from_str(old).unwrap();

    assert_eq!(old, lost(1, None, (true, false)));
    assert!(!is_at_start(&old));
}

/// Silence is no crash, but two trials that are lost without a trace are enough.
#[test]
fn silent_workers_count_only_beside_known_crashes() {
    let silent = |attempt, is_trial| lost(attempt, Some(0), (false, is_trial));
    let crash = |attempt| lost(attempt, Some(0), (true, false));

    let only_silent: Vec<_> = (1..60).map(|attempt| silent(attempt, attempt > 3)).collect();
    let one_trial = vec![crash(1), crash(2), crash(3), silent(4, true)];
    let two_trials = vec![crash(1), crash(2), crash(3), silent(4, true), silent(5, true)];

    assert!(!task_with(only_silent).is_deadly());
    assert!(!task_with(one_trial).is_deadly());
    assert!(task_with(two_trials).is_deadly());
}
