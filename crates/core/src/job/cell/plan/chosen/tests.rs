use super::{
    super::super::super::{LostRun, Resources},
    *,
};

fn lost_run(attempt: u32) -> LostRun {
    LostRun {
        attempt,
        worker: "w0".into(),
        address: None,
        is_crash: true,
        alive_ms: Some(0),
        is_trial: false,
        pause_end_wall_ms: None,
    }
}

fn step(gang: bool) -> Step {
    Step { count: 8, gang, need: Resources::default(), ..Step::default() }
}

fn parts(gang: bool, startable: usize, interrupted: usize) -> Vec<(ChosenTasks, usize)> {
    ChosenTasks::split(&step(gang), startable, interrupted).collect()
}

#[test]
fn an_interrupted_task_does_not_pull_the_others_of_its_step_forward() {
    let parts = parts(false, 8, 1);

    assert_eq!(parts, [(ChosenTasks::Interrupted, 1), (ChosenTasks::All, 7)]);
}

#[test]
fn the_tasks_of_a_gang_are_not_split() {
    let parts = parts(true, 8, 1);

    assert_eq!(parts, [(ChosenTasks::Interrupted, 8)]);
}

#[test]
fn a_step_that_has_not_started_goes_by_its_job() {
    assert_eq!(parts(false, 8, 0), [(ChosenTasks::All, 8)]);
    assert_eq!(parts(true, 8, 0), [(ChosenTasks::All, 8)]);
}

/// Guards against tasks that fail, or crash their workers, again and again before all other work.
#[test]
fn tasks_that_fail_or_have_lost_many_workers_do_not_go_first() {
    let ordered = Task { attempt: 1, ..Task::default() };
    let failed = Task { failures: 1, ..ordered.clone() };
    let mut crashing = ordered.clone();
    crashing.lost_runs = (1..=3).map(lost_run).collect();

    assert!(is_interrupted(&ordered));
    assert!(!is_interrupted(&Task::default()));
    assert!(!is_interrupted(&failed));
    assert!(!is_interrupted(&crashing));
}
