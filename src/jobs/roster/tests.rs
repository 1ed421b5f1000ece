use teaselgap_platform::client::Connections;

use super::{super::test_server, *};

const WALL_MS: u64 = 1_700_000_000_000;

/// A list of some 350 workers.
const LIST_BYTES: usize = 130_000;

#[test]
fn on_a_fast_link_the_list_is_read_at_the_usual_interval() {
    assert_eq!(regular_pause(LIST_BYTES, 1_000.0), POLL_INTERVAL);
}

#[test]
fn reading_the_list_takes_a_small_share_of_a_slow_link() {
    let transfer = transfer_time(LIST_BYTES, 10.0);

    assert!(transfer * 10 <= transfer + regular_pause(LIST_BYTES, 10.0));
    assert!(transfer * 4 <= transfer + shortest_pause(LIST_BYTES, 10.0));
}

fn entry(key: &str, value: &str) -> Item {
    Item { key: key.to_owned(), value: value.as_bytes().to_vec(), ..Item::default() }
}

#[test]
fn odd_entries_leave_the_others_in_use_and_are_counted() {
    let sound = |id: &str| {
        let value = r#"{"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready"}"#;
        entry(&format!("{WORKERS_PREFIX}{id}"), value)
    };
    let nested = "[".repeat(100_000);
    let odd_port = r#"{"service":"s","address":"10.0.0.1:70000","zone":"a","state":"ready"}"#;
    let items = [sound("i-1"), entry("x", &nested), entry("y", odd_port), sound("i-2")];

    let (workers, unreadable) = parse_workers(&items, WALL_MS);

    assert_eq!(workers["s"].len(), 2);
    assert!(unreadable.is_some_and(|(first, count)| first.key == "x" && count == 2));
}

/// Guards against a worker whose answers all count as outdated because another writer once left an
/// entry under its id with a number too large.
#[test]
fn an_entry_whose_start_lies_in_the_future_names_no_worker() {
    let started_at = |id: &str, born: u64| {
        let value = format!(
            r#"{{"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","born":{born}}}"#
        );
        entry(&format!("{WORKERS_PREFIX}{id}"), &value)
    };
    let clock_difference_ms = 5_000;
    let items = [started_at("i-1", u64::MAX), started_at("i-2", WALL_MS + clock_difference_ms)];

    let (workers, unreadable) = parse_workers(&items, WALL_MS);

    assert_eq!(workers["s"].iter().map(|one| one.id.as_str()).collect::<Vec<_>>(), ["i-2"]);
    assert!(unreadable.is_some_and(|(first, count)| first.key.ends_with("i-1") && count == 1));
}

/// Guards against a cell without workers for as long as the largest page takes on a narrow link, because
/// one answer of the store is lost.
#[test]
fn a_list_without_an_answer_holds_up_the_next_one_for_as_long_as_the_largest_page_takes() {
    const EMPTY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 42\r\n\r\n{\"items\":[],\"has_more\":false,\"at_rev\":123}";
    let (address, calls) = test_server::serve(EMPTY, &[0]);

    let is_read = test_server::run(async {
        let store = Store::new(address, Rc::new(Connections::default()));
        let mut reader = ListReader::new(2.0);
        let until_read = async { while reader.read(&store).await.is_err() {} };
        tokio::time::timeout(Duration::from_secs(6), until_read).await.is_ok()
    });

    assert!(is_read);
    assert_eq!(calls.load(std::sync::atomic::Ordering::SeqCst), 2);
}

/// Guards against a list that is never read because it takes longer on the link than a short one.
#[test]
fn a_long_list_is_given_up_before_it_has_passed_a_slow_link() {
    let long_list_bytes = 400_000;

    for link_mbps in [2.0, 10.0, 1_000.0] {
        let transfer = transfer_time(long_list_bytes, link_mbps);
        let timeout = list_timeout(long_list_bytes, link_mbps).current();

        assert!(timeout >= LIST_TIMEOUT.min(store::page_timeout(link_mbps)));
        assert!(timeout >= (transfer * 4).min(store::page_timeout(link_mbps)), "{link_mbps}");
    }
}

/// Guards against a configuration that misses its bound as the list takes a part of a narrow link, and against a
/// list that is never read because of it.
#[test]
fn the_list_waits_for_a_large_answer_but_not_for_ever() {
    const STUCK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n{";
    let (address, _) = test_server::serve(STUCK, &[]);
    let traffic = std::sync::Arc::new(Traffic::default());
    let connections = Connections::new(std::sync::Arc::clone(&traffic));
    let store = Store::new(address, Rc::new(connections));

    let (waited, was_idle) = test_server::run(async {
        let idle_since = clock::now();
        wait_for_large_answer(&traffic).await;
        let was_idle = clock::now().since(idle_since) < Span(100);
        let follow = async {
            loop {
                // Each answer stops after its first byte, and the next one follows.
                let _ = store.watch(store::OPERATOR_PREFIX, 1, Duration::ZERO).await;
            }
        };
        let wait = async {
            while !traffic.is_large_answer_arriving() {
                tokio::task::yield_now().await;
            }
            let since = clock::now();
            wait_for_large_answer(&traffic).await;
            clock::now().since(since)
        };
        tokio::select! {
            never = follow => never,
            waited = wait => (waited, was_idle),
        }
    });

    assert!(was_idle);
    assert!(waited >= Span(1_000), "{waited:?}");
    assert!(waited <= Span(MAX_LARGE_ANSWER_WAIT.0 + 500), "{waited:?}");
}
