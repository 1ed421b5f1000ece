use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    time::Duration,
};

use slog::{Discard, o};
use tokio::task::LocalSet;

use super::*;

const LEASE: u64 = 7;

/// Answers each request on a connection with this status, and reports it.
fn answer_requests(mut stream: TcpStream, status: &str, calls: &Sender<()>) {
    let mut buf = [0; 4_096];
    while let Ok(count) = stream.read(&mut buf) {
        let is_sent = count > 0
            && calls.send(()).is_ok()
            && write!(stream, "HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\n{{}}").is_ok();
        if !is_sent {
            return;
        }
    }
}

/// Starts a store that answers every call with this status. Returns its address and its calls.
fn store(status: &'static str) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (calls, calls_rx) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let calls = calls.clone();
            std::thread::spawn(move || answer_requests(stream, status, &calls));
        }
    });
    (address, calls_rx)
}

/// Runs a test on a control thread whose node holds [`LEASE`].
fn on_control_thread(store: SocketAddr, max_stall: Span, test: impl FnOnce(&LeaseRenewer)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let cfg = RenewalConfig { store, ttl: Span(400), max_stall };
    LocalSet::new().block_on(&runtime, async move {
        let renewer = LeaseRenewer::start(cfg, Logger::root(Discard, o!())).unwrap();
        renewer.record_progress();
        renewer.set(LEASE, clock::now() + cfg.ttl);
        tokio::task::yield_now().await;
        test(&renewer);
    });
}

/// Longer than any test waits for a call that comes.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn the_lease_is_renewed_while_the_control_thread_is_busy() {
    let (address, calls) = store("200 OK");

    on_control_thread(address, Span(60_000), |renewer| {
        let granted_until = renewer.valid_until();

        // Waiting here keeps the control thread from running anything else.
        let received: Vec<_> = (0..6).map(|_| calls.recv_timeout(CALL_TIMEOUT)).collect();

        assert_eq!(received, [Ok(()); 6]);
        assert!(renewer.valid_until() > granted_until);
    });
}

#[test]
fn the_lease_is_not_renewed_for_a_control_thread_that_hangs() {
    let (address, calls) = store("200 OK");

    on_control_thread(address, Span(300), |_| {
        let pause = Duration::from_secs(1);
        let end = (0..20).find_map(|_| calls.recv_timeout(pause).err());

        assert_eq!(end, Some(RecvTimeoutError::Timeout));
    });
}

/// Waits until a renewal has shown that the store has lost the lease.
fn wait_for_loss(renewer: &LeaseRenewer, calls: &Receiver<()>) {
    calls.recv_timeout(CALL_TIMEOUT).unwrap();
    let deadline = std::time::Instant::now() + CALL_TIMEOUT;
    while renewer.lease().is_some() && std::time::Instant::now() < deadline {
        std::thread::yield_now();
    }
}

#[test]
fn a_lease_that_the_store_has_lost_is_reported_once() {
    let (address, calls) = store("404 Not Found");

    on_control_thread(address, Span(60_000), |renewer| {
        wait_for_loss(renewer, &calls);

        assert_eq!(renewer.lease(), None);
        assert_eq!(renewer.poll(), LeaseStatus::Expired);
        assert_eq!(renewer.poll(), LeaseStatus::Missing);
    });
}

#[test]
fn the_end_of_a_lease_is_reported_although_a_new_one_was_set() {
    let (address, calls) = store("404 Not Found");

    on_control_thread(address, Span(60_000), |renewer| {
        wait_for_loss(renewer, &calls);
        let valid_until = renewer.valid_until();
        renewer.set(LEASE + 1, clock::now() + Span(400));

        assert!(valid_until <= clock::now());
        assert_eq!(renewer.poll(), LeaseStatus::Expired);
        assert_eq!(renewer.poll(), LeaseStatus::Held(LEASE + 1));
    });
}

/// How long the slow store takes for each answer; longer than the interval between two renewals.
const LINK_DELAY: Duration = Duration::from_millis(1_100);

/// Starts a store whose answers wait for this long in the node's link. The answers to the handshakes of new
/// connections don't.
fn slow_store(delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut buf = [0; 4_096];
                while stream.read(&mut buf).is_ok_and(|count| count > 0) {
                    let answer_at = std::time::Instant::now() + delay;
                    while std::time::Instant::now() < answer_at {
                        std::thread::park_timeout(answer_at - std::time::Instant::now());
                    }
                    if write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{{}}").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against an owner that loses its lease because a large answer fills its link: the answers to its
/// renewals come, but later than the next renewal is due.
#[test]
fn a_lease_is_kept_whose_renewals_are_answered_later_than_the_next_one_is_due() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let cfg =
        RenewalConfig { store: slow_store(LINK_DELAY), ttl: Span(2_000), max_stall: Span(60_000) };
    let watched = Duration::from_secs(6);

    let lapse = runtime.block_on(async {
        let renewer = LeaseRenewer::start(cfg, Logger::root(Discard, o!())).unwrap();
        renewer.record_progress();
        renewer.set(LEASE, clock::now() + cfg.ttl);
        let mut interval = tokio::time::interval(Duration::from_millis(5));
        let until_lapse = async {
            while clock::now() < renewer.valid_until() {
                interval.tick().await;
            }
        };
        tokio::time::timeout(watched, until_lapse).await
    });

    assert!(lapse.is_err(), "the lease ran out");
}

#[test]
fn an_answer_to_an_earlier_renewal_does_not_shorten_the_lease() {
    let mut state = LeaseState { lease: Some(LEASE), ..LeaseState::default() };

    apply(&mut state, LEASE, &Ok(()), Timestamp(5_000));
    apply(&mut state, LEASE, &Ok(()), Timestamp(4_500));

    assert_eq!(state.valid_until, Timestamp(5_000));
}
