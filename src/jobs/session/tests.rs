use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
};

use teaselgap_core::{Epoch, ServiceId};

use super::{
    super::{
        test_node::{node, serves, silent_address},
        test_server,
    },
    *,
};

/// Guards against a node that never registers because the store was silent as it began to.
#[test]
fn a_registration_that_the_store_never_answers_is_waited_for_for_ever() {
    let result = test_server::run(async {
        let node = node(&[], silent_address());
        tokio::time::timeout(Duration::from_secs(6), register(&node)).await
    });

    assert!(matches!(result, Ok(Err(StoreError::Uncertain(_)))), "{result:?}");
}

/// An empty store, which answers while the flag is not set. Returns its address and the flag.
fn store_that_falls_silent() -> (SocketAddr, Arc<AtomicBool>) {
    const EMPTY: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let is_silent = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&is_silent);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let flag = Arc::clone(&flag);
            std::thread::spawn(move || {
                let mut buf = [0; 4_096];
                while stream.read(&mut buf).is_ok_and(|count| count > 0) {
                    if !flag.load(SeqCst) && stream.write_all(EMPTY).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, is_silent)
}

/// Guards against a stopping node that is killed before it has ended its lease, as it waits for the logs of
/// its cells one after the other.
#[test]
fn a_store_that_is_silent_is_waited_for_once_for_each_cell_of_a_stopping_node() {
    let services: Vec<ServiceId> =
        ["a", "b", "c", "d"].iter().map(|name| name.parse().unwrap()).collect();

    let (was_serving, is_over) = test_server::run(async {
        let test = async {
            let (store, is_silent) = store_that_falls_silent();
            let node = node(&services, store);
            node.lease.set(5, clock::now() + Span(60_000));
            for service in &services {
                host::start(&node, service.clone(), Epoch(9), 0);
            }
            let was_serving = serves(&node, &services).await;
            is_silent.store(true, SeqCst);
            let handover = tokio::time::timeout(Duration::from_secs(4), hand_over(&node));
            (was_serving, handover.await.is_ok())
        };
        tokio::task::LocalSet::new().run_until(test).await
    });

    assert!(was_serving);
    assert!(is_over);
}
