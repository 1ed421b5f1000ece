use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::Ordering::SeqCst},
};

use teaselgap_core::{
    Epoch,
    job::{Fence, JobId, TaskId},
};
use teaselgap_platform::client::Connections;

use super::{
    super::{
        repeat::MAX_ORDER_COPIES,
        test_server::{run, serve, serve_together},
    },
    *,
};

const STARTED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"clock_ms\":1} ";

const NO_ROOM: &str =
    "HTTP/1.1 409 Conflict\r\ncontent-length: 30\r\n\r\n{\"clock_ms\":1,\"reason\":\"room\"}";

fn order() -> StartOrder {
    StartOrder {
        task: TaskId { job: JobId(7), occurrence: 0, step: 0, index: 0 },
        attempt: 1,
        spec: Arc::default(),
        lease_end: 6_000,
        checkpoint: None,
        ticket: None,
    }
}

/// Sends a start order to the worker at this address, unless there is an objection. Returns the answer, and whether
/// each copy has been answered.
fn send_copies_to(
    address: SocketAddr,
    objection: impl Fn() -> Option<&'static str>,
) -> (StartOutcome, bool) {
    let client = WorkerClient::new(Rc::new(Connections::default()));
    let target = Target { address, worker: "w0".into() };
    let repeater = Repeater::new(MAX_ORDER_COPIES);
    let permit = || objection().map_or(Ok(Fence::first_of(Epoch(3))), Err);
    let first = Cell::new(None);
    let on_answer = |answer: StartAnswer| first.set(Some(answer.outcome));
    let is_answered = run(send(&repeater, &client, (&target, &order()), permit, on_answer));
    (first.get().expect("an answer"), is_answered)
}

/// Sends a start order to the worker at this address, unless there is an objection.
fn send_to(address: SocketAddr, objection: impl Fn() -> Option<&'static str>) -> StartOutcome {
    send_copies_to(address, objection).0
}

/// Guards against tasks that wait for a time-out, a stop and a list when one answer is lost.
#[test]
fn a_start_order_whose_answer_is_lost_is_settled_by_its_second_copy() {
    let (address, calls) = serve(STARTED, &[0]);

    let outcome = send_to(address, || None);

    assert_eq!(outcome, StartOutcome::StartedRepeated);
    assert_eq!(calls.load(SeqCst), 2);
}

#[test]
fn a_start_order_that_is_answered_is_sent_once() {
    let (address, calls) = serve(STARTED, &[]);

    assert_eq!(send_to(address, || None), StartOutcome::Started);
    assert_eq!(calls.load(SeqCst), 1);
}

#[test]
fn a_refusal_leaves_open_whether_an_unanswered_copy_starts_the_task() {
    let (address, _) = serve(NO_ROOM, &[0]);

    assert_eq!(send_to(address, || None), StartOutcome::Unknown);
}

/// Guards against copies of orders that reach workers after the owner's term.
#[test]
fn no_copy_of_a_start_order_is_sent_once_the_term_has_ended() {
    let (address, calls) = serve(STARTED, &[0, 1, 2]);
    let checks = Cell::new(0);

    // The term ends after the first copy has been sent.
    let is_over = || checks.replace(checks.get() + 1) > 0;
    let outcome = send_to(address, || is_over().then_some("the term is over"));

    assert_eq!(outcome, StartOutcome::Unknown);
    assert_eq!(calls.load(SeqCst), 1);
}

#[test]
fn an_order_that_must_not_leave_is_not_sent_at_all() {
    let (address, calls) = serve(STARTED, &[]);

    let outcome = send_to(address, || Some("another run may be alive"));

    assert_eq!(outcome, StartOutcome::NotSent("another run may be alive"));
    assert_eq!(calls.load(SeqCst), 0);
}

/// Guards against tasks that are away for 15 s after an order of which nothing is under way any more.
#[test]
fn an_order_is_answered_once_each_of_its_copies_is() {
    let (in_time, _) = serve(STARTED, &[]);
    let (refused, _) = serve(NO_ROOM, &[]);
    let (lost, _) = serve(STARTED, &[0]);
    let (crossing, calls) = serve_together(STARTED, 2);

    assert_eq!(send_copies_to(in_time, || None), (StartOutcome::Started, true));
    assert!(send_copies_to(refused, || None).1);
    assert_eq!(send_copies_to(lost, || None), (StartOutcome::StartedRepeated, false));
    assert_eq!(send_copies_to(crossing, || None), (StartOutcome::StartedRepeated, true));
    assert_eq!(calls.load(SeqCst), 2);
}
