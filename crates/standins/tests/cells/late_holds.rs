//! Holds that a worker carries out late, in an instance that was not meant.

use teaselgap_core::job::{JobEnd, JobId, JobState};
use teaselgap_standins::model::WorkerFaults;

use crate::fixtures::{job_spec, new_model_with_valid_late_orders, queue, state, step};

const FIRST: JobId = JobId(7);

const SECOND: JobId = JobId(8);

const SUCCEEDED: Option<JobState> = Some(JobState::Ended(JobEnd::Succeeded));

/// Time from the late hold to the restart of its worker, in milliseconds.
const RESTART_AFTER_MS: u64 = 400;

/// Time from the submission of the second job until its worker can't be reached, in milliseconds.
const CUT_AFTER_MS: u64 = 120;

/// Guards against ends that a late hold confirms before any owner has read them.
#[test]
fn a_late_hold_confirms_no_end_in_the_next_life_of_its_worker() {
    for late_ms in (2_500..=4_500).step_by(500) {
        for early_ms in (350..=600).step_by(50) {
            for cut_ms in [100, 300, 900] {
                let mut model = new_model_with_valid_late_orders(1);
                model.count_every_start();
                model.submit(FIRST, &queue(), job_spec(vec![step(20, 4_000, 150)]));
                model.run_for(500);
                let faults = WorkerFaults { late_holds: 1, late_ms, ..WorkerFaults::default() };
                model.set_faults("w0", faults);
                model.run_for(RESTART_AFTER_MS);
                model.restart_worker("w0");

                model.run_for(late_ms - early_ms - RESTART_AFTER_MS);
                model.submit(SECOND, &queue(), job_spec(vec![step(16, 4_000, 200)]));
                model.run_for(CUT_AFTER_MS);
                model.make_unreachable("w0", cut_ms);
                model.run_for(20_000);

                let case = format!("late by {late_ms}, {early_ms} early, cut for {cut_ms}");
                assert_eq!(state(&model, SECOND), SUCCEEDED, "{case}");
                assert_eq!(model.violations(), [] as [&str; 0], "{case}");
            }
        }
    }
}
