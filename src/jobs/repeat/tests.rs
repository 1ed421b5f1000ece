use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering::SeqCst},
    },
    time::Instant,
};

use teaselgap_platform::client::Connections;

use super::*;

/// Answers the requests of a connection, except for those whose number is in `lost`. A connection
/// on which an answer is lost returns nothing further.
fn answer_requests(mut stream: TcpStream, answer: &str, calls: &AtomicU32, lost: &[u32]) {
    let mut buf = [0; 4_096];
    let mut is_silent = false;
    while stream.read(&mut buf).is_ok_and(|count| count > 0) {
        is_silent |= lost.contains(&calls.fetch_add(1, SeqCst));
        if !is_silent && write!(stream, "{answer}").is_err() {
            return;
        }
    }
}

/// Starts a store that gives this answer to each call, except for the `lost` ones, numbered from
/// zero. Returns a client for it, and the number of calls.
fn store(answer: &'static str, lost: &'static [u32]) -> (Store, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&calls);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let calls = Arc::clone(&counted);
            std::thread::spawn(move || answer_requests(stream, answer, &calls, lost));
        }
    });
    (Store::new(address, Rc::new(Connections::default())), calls)
}

const WRITTEN: &str = "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"revision\":5}";

const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(test)
}

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

/// Makes a call whose copies have these results, each after this many milliseconds.
fn call_with_results(results: &[(u64, u32)]) -> Repeated<u32> {
    let next = Cell::new(0);
    let call = || {
        let (ms, result) = results[next.replace(next.get() + 1)];
        async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            result
        }
    };
    let (is_definite, is_uncertain) = (|result: &u32| *result == 1, |result: &u32| *result == 0);
    run(Repeater::new(MAX_ORDER_COPIES).call(call, is_definite, is_uncertain))
}

#[test]
fn a_result_tells_whether_another_copy_may_be_executed_later() {
    let only_copy = call_with_results(&[(1, 1)]);
    let second_copy = call_with_results(&[(5_000, 0), (1, 1)]);

    assert_eq!(only_copy, Repeated { result: 1, has_open_copy: false });
    assert_eq!(second_copy, Repeated { result: 1, has_open_copy: true });
}

#[test]
fn a_refusal_does_not_count_while_another_copy_may_be_executed() {
    // The first copy gets no answer in its time; the second is refused, the third too.
    let result = call_with_results(&[(900, 0), (1, 2), (1, 2)]);

    assert_eq!(result, Repeated { result: 0, has_open_copy: false });
}
