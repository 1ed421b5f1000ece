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
    /// The result comes once that of the call has been passed on.
    OncePassedOn(u32),
}

/// A result that settles a call, one that leaves its effect open, and a refusal.
const DEFINITE: u32 = 1;
const UNCERTAIN: u32 = 0;
const REFUSED: u32 = 2;

/// The copies of a call, with the results that they have.
struct Copies<'a> {
    results: &'a [CopyResult],
    sent: Cell<u32>,
    is_sent: Notify,
    is_passed_on: Notify,
}

impl<'a> Copies<'a> {
    fn new(results: &'a [CopyResult]) -> Self {
        Self { results, sent: Cell::new(0), is_sent: Notify::new(), is_passed_on: Notify::new() }
    }

    /// Sends the next copy.
    fn send(&self) -> impl Future<Output = u32> {
        let copy = self.results[self.sent.replace(self.sent.get() + 1) as usize];
        self.is_sent.notify_waiters();
        async move {
            match copy {
                CopyResult::Now(result) => result,
                CopyResult::Never => std::future::pending().await,
                CopyResult::OnceSent(count, result) => {
                    while self.sent.get() < count {
                        self.is_sent.notified().await;
                    }
                    result
                }
                CopyResult::OncePassedOn(result) => {
                    self.is_passed_on.notified().await;
                    result
                }
            }
        }
    }
}

const IS_DEFINITE: fn(&u32) -> bool = |result| *result == DEFINITE;

const IS_UNCERTAIN: fn(&u32) -> bool = |result| *result == UNCERTAIN;

/// Makes a call whose copies have these results.
fn call_with_results(results: &[CopyResult]) -> Repeated<u32> {
    let copies = Copies::new(results);
    run(Repeater::new(MAX_ORDER_COPIES).call(|| copies.send(), IS_DEFINITE, IS_UNCERTAIN))
}

/// Makes a call whose copies have these results. Returns what is passed on, and whether all copies have results.
fn call_all_with_results(results: &[CopyResult]) -> (Repeated<u32>, bool) {
    let (copies, first) = (Copies::new(results), Cell::new(None));
    let repeater = Repeater::new(MAX_ORDER_COPIES);
    let on_result = |result| {
        first.set(Some(result));
        copies.is_passed_on.notify_one();
    };
    let call = repeater.call_all(|| copies.send(), IS_DEFINITE, IS_UNCERTAIN, on_result);
    let is_answered = run(call);
    (first.get().expect("a result"), is_answered)
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

/// Guards against orders that count as open although each of their copies has been answered.
#[test]
fn no_copy_of_a_call_is_open_once_each_has_a_result() {
    let crossing = |second| [CopyResult::OnceSent(2, DEFINITE), CopyResult::OncePassedOn(second)];
    let repeated = Repeated { result: DEFINITE, has_open_copy: true };

    assert_eq!(call_all_with_results(&crossing(DEFINITE)), (repeated, true));
    assert_eq!(call_all_with_results(&crossing(REFUSED)), (repeated, true));
    assert_eq!(call_all_with_results(&crossing(UNCERTAIN)), (repeated, false));
}

#[test]
fn a_copy_that_got_no_result_stays_open_whatever_comes_of_the_others() {
    let lost_first = [CopyResult::OnceSent(2, UNCERTAIN), CopyResult::OnceSent(3, REFUSED)];
    let settled = [lost_first[0], lost_first[1], CopyResult::OnceSent(3, DEFINITE)];
    let refused = [lost_first[0], lost_first[1], CopyResult::Now(REFUSED)];

    let open = Repeated { result: DEFINITE, has_open_copy: true };
    let uncertain = Repeated { result: UNCERTAIN, has_open_copy: false };
    assert_eq!(call_all_with_results(&settled), (open, false));
    assert_eq!(call_all_with_results(&refused), (uncertain, false));
}

#[test]
fn a_call_is_answered_if_its_only_copy_or_all_copies_are() {
    let started = [CopyResult::Now(DEFINITE)];
    let refused = [CopyResult::Now(REFUSED)];
    let refused_first = [CopyResult::OnceSent(3, DEFINITE), CopyResult::Now(REFUSED)];
    let refused_first = [refused_first[0], refused_first[1], CopyResult::Now(REFUSED)];

    let definite = Repeated { result: DEFINITE, has_open_copy: false };
    assert_eq!(call_all_with_results(&started), (definite, true));
    assert!(call_all_with_results(&refused).1);
    assert!(call_all_with_results(&refused_first).1);
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
        repeater.call(call, IS_DEFINITE, IS_UNCERTAIN).await
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
