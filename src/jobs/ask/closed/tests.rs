use teaselgap_core::job::JobId;

use super::*;

const NOW: Timestamp = Timestamp(10_000);

fn owner(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn queue(name: &str) -> QueueId {
    name.parse().unwrap()
}

fn request(queue_name: &str, operation: Operation) -> CellRequest {
    let cell = "shop".parse().unwrap();
    CellRequest { cell, queue: queue(queue_name), job: JobId(3), operation }
}

fn job() -> CellRequest {
    request("quotes", Operation::Submit(JobSpec::default()))
}

/// The queue `quotes` is closed by the owner at port 1, for this time from `NOW` on.
fn closed_for(time: Span) -> ClosedQueues {
    let mut closed = ClosedQueues::default();
    closed.close((owner(1), &queue("quotes")), time, NOW);
    closed
}

#[test]
fn a_job_that_the_owner_would_refuse_is_not_passed_on() {
    let closed = closed_for(Span(800));

    assert_eq!(closed.refused_for(owner(1), &job(), NOW + Span(799)), Some(Span(2_000)));
    assert_eq!(closed.refused_for(owner(1), &job(), NOW + Span(800)), None);
}

#[test]
fn jobs_of_other_queues_and_of_later_owners_are_passed_on() {
    let closed = closed_for(Span(800));

    let other_queue = request("archive", Operation::Submit(JobSpec::default()));

    assert_eq!(closed.refused_for(owner(1), &other_queue, NOW), None);
    assert_eq!(closed.refused_for(owner(2), &job(), NOW), None);
}

#[test]
fn questions_and_cancellations_are_passed_on_while_a_queue_is_closed() {
    let closed = closed_for(Span(800));

    for operation in [Operation::State, Operation::Cancel, Operation::Pending] {
        assert_eq!(closed.refused_for(owner(1), &request("quotes", operation), NOW), None);
    }
}

#[test]
fn a_job_that_is_always_accepted_is_passed_on_while_its_queue_is_closed() {
    let closed = closed_for(Span(800));
    let schedule =
        teaselgap_core::job::Schedule { first_wall_ms: 1, period: Span(1_000), occurrences: 2 };
    let scheduled = JobSpec { schedule: Some(schedule), ..JobSpec::default() };
    let step = teaselgap_core::job::Step { long_running: true, ..Default::default() };
    let lasting = JobSpec { steps: vec![step], ..JobSpec::default() };

    for spec in [scheduled, lasting] {
        let request = request("quotes", Operation::Submit(spec));
        assert_eq!(closed.refused_for(owner(1), &request, NOW), None);
    }
}

#[test]
fn a_queue_is_never_closed_for_longer_than_the_bound() {
    let closed = closed_for(Span(60_000));

    assert!(closed.refused_for(owner(1), &job(), NOW + Span(1_999)).is_some());
    assert_eq!(closed.refused_for(owner(1), &job(), NOW + MAX_CLOSED_TIME), None);
}

#[test]
fn what_an_owner_says_later_does_not_open_a_queue_sooner() {
    let mut closed = closed_for(Span(1_500));

    closed.close((owner(1), &queue("quotes")), Span(100), NOW + Span(200));

    assert!(closed.refused_for(owner(1), &job(), NOW + Span(1_000)).is_some());
}
