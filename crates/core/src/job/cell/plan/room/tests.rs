use proptest::{collection::vec, prelude::*};

use super::{
    super::super::super::{JobId, Step, StepId},
    *,
};

const STEP: StepId = StepId { job: JobId(1), occurrence: 0, step: 0 };

fn resources() -> impl Strategy<Value = Resources> {
    (0_u64..4, 0_u64..4, 0_u64..2).prop_map(|(cpu_milli, memory_mb, gpus)| Resources {
        cpu_milli,
        memory_mb,
        gpus,
    })
}

fn candidate() -> impl Strategy<Value = PlacementCandidate> {
    (resources(), any::<bool>()).prop_map(|(free, is_reserved)| PlacementCandidate {
        worker: "w1".into(),
        labels: [].into(),
        capacity: Resources { cpu_milli: 4, memory_mb: 4, gpus: 2 },
        free,
        latency_sensitive_runs: 0,
        best_effort_runs: 0,
        on_probation: false,
        run_count: 0,
        hosts_suspect: false,
        start_room: u32::MAX,
        is_reserved,
        is_disallowed: false,
    })
}

proptest! {
    #[test]
    fn no_candidate_takes_a_step_that_does_not_fit(
        candidates in vec(candidate(), 0..6),
        need in resources(),
    ) {
        let step = Step { count: 1, need, ..Step::default() };

        let chosen = place::choose_candidate(&candidates, &step, (STEP, false), |_, _| 0);

        prop_assert!(chosen.is_none() || Room::of(&candidates).may_fit(&need));
    }
}
