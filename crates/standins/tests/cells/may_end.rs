//! A property test: whatever crashes, leaves, is drained, arrives late or changes its owner, no order
//! ends a long-running task that is at work while too many others of its step are away, and all
//! such tasks run in the end.

use indexmap::IndexMap;
use proptest::prelude::*;
use teaselgap_core::job::{DrainMode, JobId, WorkerId};
use teaselgap_standins::model::{Model, WorkerFaults};

use crate::fixtures::{long_running_job, new_model, queue, task_id};

/// Three racks of four.
const WORKERS: usize = 12;

const RACK: usize = 4;

const JOBS: [JobId; 2] = [JobId(1_000), JobId(1_001)];

const TASKS: u32 = 10;

/// Long enough for each worker that leaves to be emptied, in milliseconds.
const LEAVES_IN_MS: u64 = 3_000;

#[derive(Clone, Debug)]
enum Event {
    /// All workers of a rack crash and start again.
    RackCrash {
        rack: usize,
    },
    WorkerCrash {
        worker: usize,
    },
    /// Neighbouring workers announce that they leave.
    Leave {
        first: usize,
        count: usize,
    },
    /// Neighbouring workers are to be drained, and no others.
    Drain {
        first: usize,
        count: usize,
        stops_all: bool,
    },
    /// Orders to a worker arrive late.
    LateOrders {
        worker: usize,
        starts: u32,
        stops: u32,
        late_ms: u64,
    },
    /// The owner cannot reach a worker.
    Unreachable {
        worker: usize,
        ms: u64,
    },
    OwnerCrash {
        down_ms: u64,
    },
    Handover,
}

fn event() -> impl Strategy<Value = Event> {
    let worker = 0..WORKERS;
    prop_oneof![
        2 => (0..WORKERS / RACK).prop_map(|rack| Event::RackCrash { rack }),
        1 => worker.clone().prop_map(|worker| Event::WorkerCrash { worker }),
        2 => (worker.clone(), 1_usize..5).prop_map(|(first, count)| Event::Leave { first, count }),
        4 => (worker.clone(), 1_usize..4, any::<bool>())
            .prop_map(|(first, count, stops_all)| Event::Drain { first, count, stops_all }),
        1 => (worker.clone(), 0_u32..3, 0_u32..3, 500_u64..6_000).prop_map(
            |(worker, starts, stops, late_ms)| Event::LateOrders { worker, starts, stops, late_ms }
        ),
        1 => (worker, 300_u64..4_000).prop_map(|(worker, ms)| Event::Unreachable { worker, ms }),
        1 => (500_u64..3_000).prop_map(|down_ms| Event::OwnerCrash { down_ms }),
        1 => Just(Event::Handover),
    ]
}

fn id(worker: usize) -> String {
    format!("w{}", worker % WORKERS)
}

fn apply(model: &mut Model, event: &Event) {
    match event {
        Event::RackCrash { rack } => {
            for worker in 0..RACK {
                model.restart_worker(&id(rack * RACK + worker));
            }
        }
        Event::WorkerCrash { worker } => model.restart_worker(&id(*worker)),
        Event::Leave { first, count } => {
            for worker in *first..first + count {
                model.announce_leave(&id(worker), LEAVES_IN_MS);
            }
        }
        Event::Drain { first, count, stops_all } => drain(model, *first..first + count, *stops_all),
        Event::LateOrders { worker, starts, stops, late_ms } => {
            let faults = WorkerFaults {
                late_orders: *starts,
                late_stops: *stops,
                late_ms: *late_ms,
                ..WorkerFaults::default()
            };
            model.set_faults(&id(*worker), faults);
        }
        Event::Unreachable { worker, ms } => model.make_unreachable(&id(*worker), *ms),
        Event::OwnerCrash { down_ms } => {
            model.kill_owner();
            model.run_for(*down_ms);
            model.take_over();
        }
        Event::Handover => {
            model.hand_over();
            model.take_over();
        }
    }
}

fn drain(model: &mut Model, workers: std::ops::Range<usize>, stops_all: bool) {
    let mode = if stops_all { DrainMode::StopAll } else { DrainMode::WaitForRuns };
    let drains: IndexMap<WorkerId, DrainMode> =
        workers.map(|worker| (id(worker).as_str().into(), mode)).collect();
    if let Some(cell) = model.cell_mut() {
        cell.set_drains(drains);
    }
}

/// Ends the workers that have announced that they leave; new instances follow them.
fn replace_leaving_workers(model: &mut Model) {
    for worker in (0..WORKERS).map(id) {
        if model.worker_mut(&worker).entry.is_draining {
            model.restart_worker(&worker);
            model.worker_mut(&worker).entry.is_draining = false;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn no_order_ends_a_task_at_work_while_too_many_others_are_away(
        events in prop::collection::vec((event(), 5_u64..2_500), 1..10),
        max_unavailable in 1_u32..4,
    ) {
        let mut model = new_model(WORKERS);
        for job in JOBS {
            model.submit(job, &queue(), long_running_job(TASKS, max_unavailable));
        }
        model.run_for(5_000);

        for (event, pause) in &events {
            apply(&mut model, event);
            model.run_for(*pause);
        }
        drain(&mut model, 0..0, false);
        model.run_for(LEAVES_IN_MS);
        replace_leaving_workers(&mut model);
        model.run_for(45_000);

        prop_assert_eq!(model.violations(), &[] as &[String]);
        let is_running =
            |task| model.workers().any(|worker| worker.is_running(task));
        for job in JOBS {
            let lost = (0..TASKS).filter(|&index| !is_running(task_id(job, index))).count();
            prop_assert_eq!(lost, 0, "{} tasks of {} are lost", lost, job);
        }
    }
}
