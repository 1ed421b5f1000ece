use super::*;

fn lost_run(attempt: u32, is_crash: bool) -> LostRun {
    LostRun {
        attempt,
        worker: "w0".into(),
        address: None,
        is_crash,
        alive_ms: Some(0),
        is_trial: false,
        pause_end_wall_ms: None,
    }
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

    assert_eq!(task.crashes(), 3);
    assert!(task.crashes_workers());
    assert_eq!(task.lost_runs.len(), MAX_LOST_RUNS);
}

/// Guards both against a task that crashes a worker every few seconds and against one that is never
/// started again.
#[test]
fn pauses_grow_with_each_lost_worker_up_to_a_bound() {
    let pauses_ms = [0, 1, 2, 3, 4, 5, 6, 1_000].map(|losses| pause_after(losses).0);

    assert_eq!(pauses_ms, [0, 0, 0, 2_500, 5_000, 10_000, 10_000, 10_000]);
}

/// Guards a task that has survived its start against the pause after a trial without an outcome.
#[test]
fn only_a_lost_trial_that_was_not_shown_alive_makes_the_pause_longer() {
    let trial =
        |alive_ms| LostRun { alive_ms: Some(alive_ms), is_trial: true, ..lost_run(1, true) };

    let lost = task_with_lost_runs([trial(0)]).pause_after_loss(Timestamp(1_000));
    let survived = task_with_lost_runs([trial(SURVIVAL.0)]).pause_after_loss(Timestamp(1_000));

    assert_eq!(lost, Some(MAX_PAUSE));
    assert_eq!(survived, None);
}

#[test]
fn a_pause_ends_once_the_losses_turn_out_to_be_groundless() {
    let mut task = task_with_lost_runs((1..=3).map(|attempt| lost_run(attempt, false)));
    let pause = task.pause_after_loss(Timestamp(1_000));

    task.lost_runs.pop();
    task.end_groundless_pause();

    assert_eq!(pause, Some(FIRST_PAUSE));
    assert_eq!(task.paused_until, Timestamp::default());
}
