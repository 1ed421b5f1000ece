use super::*;

fn lost_run(attempt: u32, is_crash: bool) -> LostRun {
    LostRun { attempt, worker: "w0".into(), address: None, is_crash }
}

fn task_with_lost_runs(lost_runs: impl IntoIterator<Item = LostRun>) -> Task {
    let mut task = Task::default();
    lost_runs.into_iter().for_each(|lost| task.remember_lost_run(lost));
    task
}

#[test]
fn a_run_that_is_known_to_have_crashed_later_counts_once() {
    let lost_runs = [lost_run(1, false), lost_run(1, true), lost_run(1, true), lost_run(2, true)];

    let task = task_with_lost_runs(lost_runs);

    assert!(!task.crashes_workers());
    assert_eq!(task.lost_runs, [lost_run(1, true), lost_run(2, true)]);
}

/// Guards against losses that nothing explained and that leave no room for crashes.
#[test]
fn crashes_count_however_many_losses_were_never_explained() {
    let unexplained = (1..=20).map(|attempt| lost_run(attempt, false));
    let crashes = (21..=23).map(|attempt| lost_run(attempt, true));

    let task = task_with_lost_runs(unexplained.chain(crashes));

    assert!(task.crashes_workers());
    assert_eq!(task.lost_runs.len(), MAX_LOST_RUNS);
}
