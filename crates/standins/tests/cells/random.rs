//! A property test: under any sequence of faults, no task runs twice at the same time, no accepted
//! job is lost, and long-running tasks run again in the end.

use proptest::prelude::*;
use teaselgap_core::job::{JobEnd, JobId, JobState};
use teaselgap_standins::model::{Model, WorkerFaults};

use crate::fixtures::{job_spec, long_running_job, new_model, queue, state, step, task_id};

const WORKERS: usize = 3;

const LONG_RUNNING_JOB: JobId = JobId(1_000);

const LONG_RUNNING_TASKS: u32 = 4;

/// A fault or a planned event, injected between two submissions.
#[derive(Clone, Debug)]
enum Fault {
    OwnerCrash {
        down_ms: u64,
    },
    Handover,
    /// The worker can reach neither the owner nor the store.
    Partition {
        worker: usize,
        ms: u64,
    },
    /// The owner cannot reach the worker, which can still reach the store.
    Unreachable {
        worker: usize,
        ms: u64,
    },
    WorkerRestart {
        worker: usize,
    },
    /// All long-running tasks on the worker fail.
    LongRunningFailures {
        worker: usize,
    },
    /// Start orders to the worker arrive late, or their answers are lost.
    FaultyOrders {
        worker: usize,
        lost_answers: u32,
        late_orders: u32,
        late_ms: u64,
        lost_stops: u32,
        late_stops: u32,
    },
    StoreOutage {
        ms: u64,
    },
    Wait {
        ms: u64,
    },
}

fn fault() -> impl Strategy<Value = Fault> {
    let worker = 0..WORKERS;
    prop_oneof![
        (2_000_u64..3_000).prop_map(|down_ms| Fault::OwnerCrash { down_ms }),
        Just(Fault::Handover),
        (worker.clone(), 500_u64..9_000).prop_map(|(worker, ms)| Fault::Partition { worker, ms }),
        (worker.clone(), 500_u64..9_000).prop_map(|(worker, ms)| Fault::Unreachable { worker, ms }),
        worker.clone().prop_map(|worker| Fault::WorkerRestart { worker }),
        worker.clone().prop_map(|worker| Fault::LongRunningFailures { worker }),
        (worker, 0_u32..3, 0_u32..3, 1_000_u64..9_000, 0_u32..3, 0_u32..3).prop_map(
            |(worker, lost_answers, late_orders, late_ms, lost_stops, late_stops)| {
                Fault::FaultyOrders {
                    worker,
                    lost_answers,
                    late_orders,
                    late_ms,
                    lost_stops,
                    late_stops,
                }
            }
        ),
        (500_u64..4_000).prop_map(|ms| Fault::StoreOutage { ms }),
        (100_u64..2_000).prop_map(|ms| Fault::Wait { ms }),
    ]
}

fn apply(model: &mut Model, fault: &Fault) {
    let worker_id = |worker: &usize| format!("w{worker}");
    match fault {
        Fault::OwnerCrash { down_ms } => {
            model.kill_owner();
            model.run_for(*down_ms);
            model.take_over();
        }
        Fault::Handover => {
            model.hand_over();
            model.take_over();
        }
        Fault::Partition { worker, ms } => {
            let now = model.now();
            model.worker_mut(&worker_id(worker)).partition_for(now, *ms);
        }
        Fault::Unreachable { worker, ms } => model.make_unreachable(&worker_id(worker), *ms),
        Fault::WorkerRestart { worker } => {
            model.restart_worker(&worker_id(worker));
        }
        Fault::LongRunningFailures { worker } => {
            let now = model.now();
            model.worker_mut(&worker_id(worker)).fail_endless_runs(now);
        }
        Fault::FaultyOrders {
            worker,
            lost_answers,
            late_orders,
            late_ms,
            lost_stops,
            late_stops,
        } => {
            let faults = WorkerFaults {
                lost_answers: *lost_answers,
                late_orders: *late_orders,
                late_ms: *late_ms,
                lost_stops: *lost_stops,
                late_stops: *late_stops,
                late_holds: 0,
            };
            model.set_faults(&worker_id(worker), faults);
        }
        Fault::StoreOutage { ms } => {
            model.set_store_available(false);
            model.run_for(*ms);
            model.set_store_available(true);
        }
        Fault::Wait { ms } => model.run_for(*ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn no_task_runs_twice_and_no_job_is_lost(
        faults in prop::collection::vec((fault(), 50_u64..1_500), 1..8),
        task_count in 1_u32..6,
        estimate_ms in 200_u64..3_000,
    ) {
        let mut model = new_model(WORKERS);
        let mut accepted = Vec::new();
        let long_running = long_running_job(LONG_RUNNING_TASKS, 1);
        let long_running = model.submit(LONG_RUNNING_JOB, &queue(), long_running);
        for (number, (fault, pause)) in (1..).zip(&faults) {
            let id = JobId(number);
            let token = model.submit(
                id,
                &queue(),
                job_spec(vec![step(task_count, 4_000, estimate_ms)]),
            );
            model.run_for(*pause);
            if model.answer(token).is_some() {
                accepted.push(id);
            }
            apply(&mut model, fault);
        }

        model.run_for(45_000);

        prop_assert_eq!(model.violations(), &[] as &[String]);
        for id in accepted {
            // None of its runs ends failed, so that no job may be shown as failed.
            prop_assert_eq!(state(&model, id), Some(JobState::Ended(JobEnd::Succeeded)), "{}", id);
        }
        let is_running = |index| {
            let task = task_id(LONG_RUNNING_JOB, index);
            model.workers().any(|worker| worker.is_running(task))
        };
        let lost = (0..LONG_RUNNING_TASKS).filter(|&index| !is_running(index)).count();
        prop_assert!(model.answer(long_running).is_none() || lost == 0, "{} lost", lost);
    }
}
