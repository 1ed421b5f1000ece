use super::{forecast::LateWork, *};

const NOW: Timestamp = Timestamp(10_000);

/// The capacity of four workers of 32 cores.
const CAPACITY_MILLI: u64 = 128_000;

fn supply(arriving_milli: u64) -> Supply {
    let capacity = CapacityForecast::constant(CAPACITY_MILLI);
    Supply { capacity, arriving_milli, is_growing: false }
}

/// A job that fills one of the workers for 800 ms and may take 1,880 ms.
fn candidate() -> Candidate {
    Candidate {
        order: (0, Timestamp(11_080)),
        work: 32_000 * 800,
        critical_path: Span(800),
        objective: Span(1_880),
    }
}

/// Work that can be on time, ahead of the candidate, and that takes the workers this long.
fn backlog(length: Span) -> Backlog {
    let mut backlog = Backlog::default();
    backlog.add((0, Timestamp(10_500)), CAPACITY_MILLI * length.0);
    backlog
}

#[test]
fn a_job_that_can_start_in_time_is_accepted() {
    let wait = refused_wait(&backlog(Span(600)), supply(CAPACITY_MILLI * 2), candidate(), NOW);

    assert_eq!(wait, None);
}

#[test]
fn a_job_that_is_late_is_refused_while_arriving_jobs_need_all_capacity() {
    let wait = refused_wait(&backlog(Span(1_200)), supply(CAPACITY_MILLI), candidate(), NOW);

    assert_eq!(wait, Some(Span(1_400)));
}

#[test]
fn a_job_that_is_late_but_not_overdue_is_accepted() {
    let wait = refused_wait(&backlog(Span(4_600)), supply(0), candidate(), NOW);

    assert_eq!(wait, None);
}

#[test]
fn a_job_that_would_be_overdue_is_refused() {
    let wait = refused_wait(&backlog(Span(4_800)), supply(0), candidate(), NOW);

    assert_eq!(wait, Some(Span(5_000)));
}

#[test]
fn jobs_that_start_later_do_not_count() {
    let mut backlog = backlog(Span(100));
    backlog.add((0, Timestamp(12_000)), CAPACITY_MILLI * 50_000);
    backlog.add((1, Timestamp(10_000)), CAPACITY_MILLI * 50_000);

    assert_eq!(refused_wait(&backlog, supply(CAPACITY_MILLI), candidate(), NOW), None);
}

/// Adds a late job that must start within `time_left`.
fn add_late_job(backlog: &mut Backlog, time_left: Span) {
    backlog.late.push(LateWork {
        order: (0, Timestamp(5_000)),
        latest_useful_start: NOW + time_left,
        remaining: Span(800),
        work: 32_000 * 800,
    });
}

#[test]
fn while_workers_are_joining_only_the_backlog_counts() {
    let growing = Supply { is_growing: true, ..supply(CAPACITY_MILLI * 2) };
    let mut late_backlog = backlog(Span(300));
    add_late_job(&mut late_backlog, Span(1_000));

    assert_eq!(refused_wait(&late_backlog, growing, candidate(), NOW), None);
    assert_eq!(refused_wait(&backlog(Span(4_600)), growing, candidate(), NOW), None);
    assert!(refused_wait(&backlog(Span(4_800)), growing, candidate(), NOW).is_some());
}

#[test]
fn late_jobs_with_much_time_left_do_not_count() {
    let mut backlog = backlog(Span(300));
    add_late_job(&mut backlog, Span(4_000));

    assert_eq!(refused_wait(&backlog, supply(CAPACITY_MILLI), candidate(), NOW), None);
}

#[test]
fn a_job_that_would_make_an_accepted_one_overdue_is_refused() {
    let mut backlog = backlog(Span(300));
    add_late_job(&mut backlog, Span(1_000));

    let wait = refused_wait(&backlog, supply(CAPACITY_MILLI), candidate(), NOW);

    assert_eq!(wait, Some(Span(500)));
}

#[test]
fn no_job_is_refused_for_one_that_is_overdue_anyway() {
    let mut backlog = backlog(Span(300));
    add_late_job(&mut backlog, Span(200));

    assert_eq!(refused_wait(&backlog, supply(CAPACITY_MILLI), candidate(), NOW), None);
}

#[test]
fn callers_are_spread_over_twice_the_time_that_the_backlog_needs() {
    let spans: Vec<u64> = (0..4).map(|id| retry_after(JobId(id), Span(2_500)).0).collect();

    assert_eq!(spans, [3_000, 4_000, 5_000, 6_000]);
}

#[test]
fn a_job_is_accepted_while_nothing_waits() {
    let huge_job = Candidate { work: CAPACITY_MILLI * 60_000, ..candidate() };

    let wait = refused_wait(&Backlog::default(), supply(CAPACITY_MILLI * 2), huge_job, NOW);

    assert_eq!(wait, None);
}
