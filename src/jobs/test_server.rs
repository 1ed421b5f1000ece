//! A TCP server for tests, which loses some of its answers.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Barrier,
        atomic::{AtomicU32, Ordering::SeqCst},
    },
};

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

/// Starts a server that gives this answer to each request, except for the `lost` ones, numbered from
/// zero. Returns its address, and the number of requests so far.
pub(super) fn serve(answer: &'static str, lost: &'static [u32]) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the address of a listener");
    let calls = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&calls);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let calls = Arc::clone(&counted);
            std::thread::spawn(move || answer_requests(stream, answer, &calls, lost));
        }
    });
    (address, calls)
}

/// Starts a server that answers no request before `count` of them have come, each on a connection of its own. Returns
/// its address, and the number of requests so far.
pub(super) fn serve_together(answer: &'static str, count: usize) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the address of a listener");
    let (calls, barrier) = (Arc::new(AtomicU32::new(0)), Arc::new(Barrier::new(count)));
    let counted = Arc::clone(&calls);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let (calls, barrier) = (Arc::clone(&counted), Arc::clone(&barrier));
            std::thread::spawn(move || {
                if stream.read(&mut [0; 4_096]).is_ok_and(|count| count > 0) {
                    calls.fetch_add(1, SeqCst);
                    barrier.wait();
                    // The client sees it if this fails.
                    let _ = write!(stream, "{answer}");
                }
            });
        }
    });
    (address, calls)
}

/// Runs a test on a runtime of its own.
pub(super) fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test)
}
