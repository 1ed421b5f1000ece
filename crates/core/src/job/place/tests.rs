use std::cell::Cell as StdCell;

use super::*;

const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 65_536, gpus: 0 };

const STEP: StepId = StepId { job: JobId(1), occurrence: 0, step: 0 };

fn candidate(number: usize, free_cpu_milli: u64) -> PlacementCandidate {
    PlacementCandidate {
        worker: format!("w{number}").as_str().into(),
        labels: vec!["a".to_owned(), "rack-1".to_owned()].into(),
        capacity: CAPACITY,
        free: Resources { cpu_milli: free_cpu_milli, ..CAPACITY },
        latency_sensitive_runs: 0,
        best_effort_runs: 0,
        on_probation: false,
        run_count: 0,
        hosts_suspect: false,
        start_room: u32::MAX,
        is_reserved: false,
        is_disallowed: false,
    }
}

fn step() -> Step {
    let need = Resources { cpu_milli: 1_000, memory_mb: 1_000, gpus: 0 };
    Step { count: 8, need, ..Step::default() }
}

#[test]
fn runs_are_counted_only_on_candidates_with_room() {
    let mut candidates: Vec<_> = (0..100).map(|number| candidate(number, 0)).collect();
    candidates.push(candidate(100, 1_000));
    let counted = StdCell::new(0);
    let count = |_: &WorkerId, _| {
        counted.set(counted.get() + 1);
        0
    };

    let chosen = choose_candidate(&candidates, &step(), (STEP, false), count);

    assert_eq!(chosen, Some(100));
    assert!(counted.get() <= 2, "the runs on {} workers were counted", counted.get());
}

#[test]
fn no_runs_are_counted_for_a_reservation_without_a_limit_per_worker() {
    let mut candidates: Vec<_> = (0..100).map(|number| candidate(number, 0)).collect();
    let counted = StdCell::new(0);
    let count = |_: &WorkerId, _| {
        counted.set(counted.get() + 1);
        0
    };

    reserve_candidate(&mut candidates, &step(), STEP, count);

    assert_eq!(candidates.iter().filter(|candidate| candidate.is_reserved).count(), 1);
    assert_eq!(counted.get(), 0, "the runs on {} workers were counted", counted.get());
}

/// Places a gang of three tasks, of which the last may start on one worker only.
fn place_bound_gang(bound_to: &str, candidates: &[PlacementCandidate]) -> Option<Vec<usize>> {
    let gang = Step { count: 3, gang: true, ..step() };
    let allows = |task: u32, worker: &WorkerId| task != 2 || worker.as_str() == bound_to;
    choose_gang(candidates, &gang, STEP, |_, _| 0, allows)
}

#[test]
fn other_members_of_a_gang_leave_room_for_the_one_that_is_bound_to_a_worker() {
    let candidates = [candidate(0, 1_000), candidate(1, 1_000), candidate(2, 1_000)];

    let placed = place_bound_gang("w0", &candidates);

    assert_eq!(placed, Some(vec![1, 2, 0]));
}

#[test]
fn a_gang_shares_the_rack_of_the_worker_to_which_a_member_is_bound() {
    let mut candidates = [candidate(0, 9_000), candidate(1, 9_000)];
    candidates[1].labels = vec!["a".to_owned(), "rack-2".to_owned()].into();

    let placed = place_bound_gang("w1", &candidates);

    assert_eq!(placed, Some(vec![1, 1, 1]));
}

#[test]
fn no_member_of_a_gang_starts_while_one_may_start_nowhere() {
    let candidates = [candidate(0, 9_000), candidate(1, 9_000)];

    let placed = place_bound_gang("w2", &candidates);

    assert_eq!(placed, None);
}
