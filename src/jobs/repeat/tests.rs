use std::{
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering::SeqCst},
    },
    time::Instant,
};

use teaselgap_platform::client::Connections;
use tokio::sync::Notify;

use super::{
    super::test_server::{run, serve},
    *,
};

/// Starts a store that gives this answer to each call, except for the `lost` ones, numbered from
/// zero. Returns a client for it, and the number of calls.
fn store(answer: &'static str, lost: &'static [u32]) -> (Store, Arc<AtomicU32>) {
    let (address, calls) = serve(answer, lost);
    (Store::new(address, Rc::new(Connections::default())), calls)
}

const WRITTEN: &str = "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"revision\":5}";

const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// Guards against writes that wait for a lost answer until the call times out, after 1.5 s.
#[test]
fn a_write_whose_answer_is_lost_is_done_before_the_call_times_out() {
    let (store, _) = store(WRITTEN, &[0]);
    let started = Instant::now();

    let result = run(Repeater::new(MAX_STORE_COPIES).transact(&store, &Transaction::default()));

    assert_eq!(result, Ok(Outcome::Done(5)));
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
}

#[test]
fn a_call_is_sent_a_bounded_number_of_times() {
    let (store, calls) = store(WRITTEN, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);

    let result = run(Repeater::new(MAX_STORE_COPIES).transact(&store, &Transaction::default()));

    assert!(matches!(result, Err(StoreError::Uncertain(_))), "{result:?}");
    assert_eq!(calls.load(SeqCst), MAX_STORE_COPIES);
}

#[test]
fn a_refused_call_is_not_repeated() {
    let (store, calls) = store(BUSY, &[]);

    let result = run(Repeater::new(MAX_STORE_COPIES).transact(&store, &Transaction::default()));

    assert!(matches!(result, Err(StoreError::Unavailable(_))), "{result:?}");
    assert_eq!(calls.load(SeqCst), 1);
}

#[test]
fn a_call_may_have_taken_effect_if_one_copy_was_lost_and_the_others_refused() {
    let (store, _) = store(BUSY, &[0]);

    let result = run(Repeater::new(MAX_STORE_COPIES).transact(&store, &Transaction::default()));

    assert!(matches!(result, Err(StoreError::Uncertain(_))), "{result:?}");
}

/// What becomes of a copy of a call.
#[derive(Clone, Copy)]
enum CopyResult {
    Now(u32),
    Never,
    /// The result comes once this many copies have been sent.
    OnceSent(u32, u32),
}

/// A result that settles a call, one that leaves its effect open, and a refusal.
const DEFINITE: u32 = 1;
const UNCERTAIN: u32 = 0;
const REFUSED: u32 = 2;

/// Makes a call whose copies have these results.
fn call_with_results(results: &[CopyResult]) -> Repeated<u32> {
    let sent = Cell::new(0);
    let is_sent = Notify::new();
    let call = || {
        let copy = results[sent.replace(sent.get() + 1) as usize];
        is_sent.notify_waiters();
        let (sent, is_sent) = (&sent, &is_sent);
        async move {
            match copy {
                CopyResult::Now(result) => result,
                CopyResult::Never => std::future::pending().await,
                CopyResult::OnceSent(count, result) => {
                    while sent.get() < count {
                        is_sent.notified().await;
                    }
                    result
                }
            }
        }
    };
    let is_definite = |result: &u32| *result == DEFINITE;
    let is_uncertain = |result: &u32| *result == UNCERTAIN;
    run(Repeater::new(MAX_ORDER_COPIES).call(call, is_definite, is_uncertain))
}

#[test]
fn a_result_tells_whether_another_copy_may_be_executed_later() {
    let only_copy = call_with_results(&[CopyResult::Now(DEFINITE)]);
    let second_copy = call_with_results(&[CopyResult::Never, CopyResult::Now(DEFINITE)]);

    assert_eq!(only_copy, Repeated { result: DEFINITE, has_open_copy: false });
    assert_eq!(second_copy, Repeated { result: DEFINITE, has_open_copy: true });
}

#[test]
fn a_refusal_does_not_count_while_another_copy_may_be_executed() {
    // The first copy gets no answer in its time, which ends after the others are refused.
    let refused = CopyResult::Now(REFUSED);
    let result = call_with_results(&[CopyResult::OnceSent(3, UNCERTAIN), refused, refused]);

    assert_eq!(result, Repeated { result: UNCERTAIN, has_open_copy: false });
}

/// Number of orders that are sent at once to a link that passes one each [`LINK_STEP`].
const QUEUED_ORDERS: u32 = 40;

/// Time that an order takes on a narrow link.
const LINK_STEP: Duration = Duration::from_millis(10);

/// Sends orders at once, each answered after the number of steps that its place in the link's queue says; the first copy
/// of the one at `lost` gets no answer. Returns how many copies beyond the first were sent.
fn copies_of_queued_orders(lost: Option<u32>) -> u64 {
    let repeater = Repeater::for_orders();
    let order = async |place: u32| {
        let copies = Cell::new(0);
        let call = || {
            let is_lost = copies.replace(copies.get() + 1) == 0 && lost == Some(place);
            async move {
                if is_lost {
                    std::future::pending::<()>().await;
                }
                tokio::time::sleep(LINK_STEP * place).await;
                DEFINITE
            }
        };
        let is_definite = |result: &u32| *result == DEFINITE;
        repeater.call(call, is_definite, |result| *result == UNCERTAIN).await
    };
    run(async {
        for _ in 0..8 {
            order(1).await;
        }
        let queued: FuturesUnordered<_> = (1..=QUEUED_ORDERS).map(&order).collect();
        queued.collect::<Vec<_>>().await;
    });
    repeater.repeats()
}

/// Guards against second copies of orders that wait in this node's own link: each makes the link slower, and the end of its
/// task wait for 15 s.
#[test]
fn orders_that_wait_in_the_link_are_hardly_sent_again() {
    let copies = copies_of_queued_orders(None);

    // A busy machine may stop this test for longer than answers are apart.
    assert!(copies <= u64::from(QUEUED_ORDERS) / 4, "{copies} copies of {QUEUED_ORDERS} orders");
}

#[test]
fn an_order_that_is_lost_among_others_is_sent_again() {
    let copies = copies_of_queued_orders(Some(3));

    assert!(copies >= 1, "{copies} copies");
}
