//! Faults in any order: no task ever runs twice, and no accepted job is lost.

use proptest::prelude::*;
use teaselgap_core::job::{JobEnd, JobId, JobState};
use teaselgap_standins::model::{Model, WorkerFaults};

use crate::fixtures::{job_spec, new_model, queue, state, step};

const WORKERS: usize = 3;

/// Something that goes wrong, or right.
#[derive(Clone, Debug)]
enum Fault {
    Kill { down_ms: u64 },
    HandOver,
    Dark { worker: usize, duration_ms: u64 },
    Cut { worker: usize, duration_ms: u64 },
    Rebirth { worker: usize },
    Astray { worker: usize, lost: u32, late: u32, late_ms: u64 },
    StoreDown { duration_ms: u64 },
    Calm { ms: u64 },
}

fn fault() -> impl Strategy<Value = Fault> {
    let worker = 0..WORKERS;
    prop_oneof![
        (2_000_u64..3_000).prop_map(|down_ms| Fault::Kill { down_ms }),
        Just(Fault::HandOver),
        (worker.clone(), 500_u64..9_000)
            .prop_map(|(worker, duration_ms)| Fault::Dark { worker, duration_ms }),
        (worker.clone(), 500_u64..9_000)
            .prop_map(|(worker, duration_ms)| Fault::Cut { worker, duration_ms }),
        worker.clone().prop_map(|worker| Fault::Rebirth { worker }),
        (worker, 0_u32..3, 0_u32..3, 1_000_u64..9_000).prop_map(|(worker, lost, late, late_ms)| {
            Fault::Astray { worker, lost, late, late_ms }
        }),
        (500_u64..4_000).prop_map(|duration_ms| Fault::StoreDown { duration_ms }),
        (100_u64..2_000).prop_map(|ms| Fault::Calm { ms }),
    ]
}

fn apply(model: &mut Model, fault: &Fault) {
    let name = |worker: &usize| format!("w{worker}");
    match fault {
        Fault::Kill { down_ms } => {
            model.kill_owner();
            model.run_for(*down_ms);
            model.take_over();
        }
        Fault::HandOver => {
            model.hand_over();
            model.take_over();
        }
        Fault::Dark { worker, duration_ms } => {
            let now = model.now();
            model.worker_mut(&name(worker)).partition_for(now, *duration_ms);
        }
        Fault::Cut { worker, duration_ms } => model.make_unreachable(&name(worker), *duration_ms),
        Fault::Rebirth { worker } => {
            let (now, wall_ms) = (model.now(), model.wall_ms());
            model.worker_mut(&name(worker)).restart(now, wall_ms);
        }
        Fault::Astray { worker, lost, late, late_ms } => {
            let faults =
                WorkerFaults { lost_answers: *lost, late_orders: *late, late_ms: *late_ms };
            model.set_faults(&name(worker), faults);
        }
        Fault::StoreDown { duration_ms } => {
            model.set_store_available(false);
            model.run_for(*duration_ms);
            model.set_store_available(true);
        }
        Fault::Calm { ms } => model.run_for(*ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn no_task_runs_twice_and_no_job_is_lost(
        faults in prop::collection::vec((fault(), 50_u64..1_500), 1..8),
        width in 1_u32..6,
        ms in 200_u64..3_000,
    ) {
        let mut model = new_model(WORKERS);
        let mut accepted = Vec::new();
        for (number, (fault, pause)) in (1..).zip(&faults) {
            let id = JobId(number);
            let token = model.submit(id, &queue(), job_spec(vec![step(width, 4_000, ms)]));
            model.run_for(*pause);
            if model.answer(token).is_some() {
                accepted.push(id);
            }
            apply(&mut model, fault);
        }

        model.run_for(45_000);

        prop_assert_eq!(model.violations(), &[] as &[String]);
        for id in accepted {
            prop_assert_eq!(state(&model, id), Some(JobState::Ended(JobEnd::Succeeded)));
        }
    }
}
