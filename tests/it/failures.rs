//! Tests with nodes that are killed, paused, replaced or partitioned.

use std::{
    cell::Cell,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use teaselgap_standins::{
    caller::{Call, CallResult, call},
    cluster::{Cluster, Config, wait_for},
    store::Faults,
};
use tokio::sync::watch;

use crate::support::{Load, assert_guarantees, config, order, run_test, start_cluster};

/// Time that a worker takes for each request.
const WORK_TIME: Duration = Duration::from_millis(10);

fn seven_node_config() -> Config {
    Config { nodes: 7, ..config() }
}

#[test]
fn a_node_killed_under_load_loses_no_request_and_runs_no_order_twice() {
    run_test(async {
        let mut cluster = start_cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, WORK_TIME);
        load.wait_for_requests(100).await;

        cluster.nodes[0].kill().await;
        load.wait_for_requests(400).await;
        let summary = load.finish(&cluster).await;

        assert_guarantees(&cluster, &summary);
        assert!(summary.answered > 400, "{summary:?}");
    });
}

#[test]
fn duties_of_a_killed_node_are_taken_over() {
    run_test(async {
        let mut cluster = start_cluster(seven_node_config()).await;
        let owner = find_journal_owner(&cluster).await;

        cluster.nodes[owner].kill().await;

        let others: Vec<usize> = (0..7).filter(|&i| i != owner).collect();
        wait_for("the other nodes own all duties", || async {
            let mut duties = 0;
            for &i in &others {
                let status = cluster.nodes[i].status().await;
                duties += status["duties"].as_array().map_or(0, Vec::len);
            }
            duties == 4
        })
        .await
        .expect("taken over");
        wait_for("orders are recorded again", || async {
            let (result, _) = call(cluster.nodes[others[0]].address, &order("after")).await;
            result == CallResult::Answered
        })
        .await
        .expect("answered");
    });
}

/// Returns the index of a node that owns a journal partition.
pub(crate) async fn find_journal_owner(cluster: &Cluster) -> usize {
    for (i, node) in cluster.nodes.iter().enumerate() {
        let status = node.status().await;
        let duties = status["duties"].as_array().cloned().unwrap_or_default();
        if duties.iter().any(|duty| duty.as_str().is_some_and(|duty| duty.starts_with("journal"))) {
            return i;
        }
    }
    panic!("no node owns a journal partition");
}

#[test]
fn an_owner_paused_past_its_lease_expiry_runs_no_order_twice() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        let owner = find_journal_owner(&cluster).await;
        let load = Load::start(cluster.node_addresses(), 12, WORK_TIME);
        load.wait_for_requests(100).await;

        cluster.nodes[owner].pause();
        let others: Vec<_> = (0..3).filter(|&i| i != owner).collect();
        wait_for("the other nodes own all duties", || async {
            let mut duties = 0;
            for &i in &others {
                let status = cluster.nodes[i].status().await;
                duties += status["duties"].as_array().map_or(0, Vec::len);
            }
            duties == 4
        })
        .await
        .expect("taken over");
        cluster.nodes[owner].resume();
        load.wait_for_requests(400).await;
        let summary = load.finish(&cluster).await;

        assert_guarantees(&cluster, &summary);
    });
}

#[test]
fn replacing_all_nodes_under_load_cuts_off_no_request() {
    run_test(async {
        let mut cluster = start_cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 8, WORK_TIME);
        load.wait_for_requests(100).await;

        for i in 0..3 {
            let others: Vec<_> =
                (0..3).filter(|&j| j != i).map(|j| cluster.nodes[j].address).collect();
            load.set_entries(others);
            let status = cluster.nodes[i].stop().await.expect("the process exits");
            assert_eq!(status, Some(0));
            cluster.replace_node(i).await.expect("start a new node");
            cluster.wait_ready().await.expect("ready");
            cluster.wait_slots().await.expect("slots");
            load.set_entries(cluster.node_addresses());
            load.wait_for_requests(100).await;
        }
        let summary = load.finish(&cluster).await;

        assert_guarantees(&cluster, &summary);
        assert_eq!((summary.cut_off, summary.unknown), (0, 0), "{summary:?}");
    });
}

/// A store that tells of a write at once, and answers it only after a while. Segments that are
/// written as their partition is handed over are thus in the journal before their writer knows.
fn slow_answers() -> Faults {
    Faults { answer_latency_ms: 100, ..Faults::default() }
}

/// Sends orders to the nodes until `stop` is true, and counts those that are answered. Returns those that were reported as not run.
async fn send_orders(
    caller: usize,
    entries: Vec<SocketAddr>,
    answered: Arc<AtomicUsize>,
    stop: watch::Receiver<bool>,
) -> Vec<Call> {
    let mut not_run = Vec::new();
    for n in 0.. {
        if *stop.borrow() {
            break;
        }
        let request = order(&format!("order-{caller}-{n}"));
        let (result, _) = call(entries[(caller + n) % entries.len()], &request).await;
        answered.fetch_add(usize::from(result == CallResult::Answered), SeqCst);
        if result == CallResult::NotRun {
            not_run.push(request);
        }
    }
    not_run
}

/// Changes the owners of the journal's partitions while orders are sent to `entries`, and asserts
/// that each order that was reported as not run is answered when it is sent again.
async fn assert_refused_orders_can_be_sent_again(
    cluster: &mut Cluster,
    entries: Vec<SocketAddr>,
    change_owners: impl AsyncFnOnce(&mut Cluster),
) {
    const CALLERS: usize = 12;
    /// Enough that each caller has orders under way all the time.
    const MIN_ANSWERED: usize = 3 * CALLERS;
    cluster.store.set_faults(slow_answers());
    let stop = watch::Sender::new(false);
    let answered = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let answered = Arc::clone(&answered);
            tokio::spawn(send_orders(caller, entries.clone(), answered, stop.subscribe()))
        })
        .collect();
    wait_for("orders are answered", || async { answered.load(SeqCst) >= MIN_ANSWERED })
        .await
        .expect("answered");
    change_owners(cluster).await;
    stop.send_replace(true);
    let mut refused = Vec::new();
    for caller in callers {
        refused.extend(caller.await.expect("a caller task ends without a panic"));
    }
    cluster.store.set_faults(Faults::default());
    let probe_count = Cell::new(0);
    for &entry in &entries {
        // Consecutive orders fall into different partitions.
        wait_for("orders are recorded again", || async {
            let mut answered = true;
            for _ in 0..4 {
                let n = probe_count.replace(probe_count.get() + 1);
                let (result, _) = call(entry, &order(&format!("probe-{n}"))).await;
                answered &= result == CallResult::Answered;
            }
            answered
        })
        .await
        .expect("answered");
    }

    let again = refused.iter().enumerate().map(async |(i, request)| {
        let last = Cell::new(CallResult::NotRun);
        // A partition may change its owner once more, so an order may be refused once more.
        wait_for("an order has a result", || async {
            last.set(call(entries[i % entries.len()], request).await.0);
            last.get() != CallResult::NotRun
        })
        .await
        .expect("not refused for good");
        (request.id.clone(), last.get())
    });
    let again = futures_util::future::join_all(again).await;

    let left_open: Vec<_> =
        again.iter().filter(|(_, result)| *result != CallResult::Answered).collect();
    assert!(left_open.is_empty(), "{} of {}: {left_open:?}", left_open.len(), refused.len());
    let runs = cluster.run_counts().runs;
    let doubled: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(doubled.is_empty(), "{doubled:?}");
}

#[test]
fn an_order_that_was_refused_as_its_owner_stopped_can_be_sent_again() {
    run_test(async {
        let mut cluster = start_cluster(config()).await;
        let owner = find_journal_owner(&cluster).await;
        let others = (0..3).filter(|&i| i != owner).map(|i| cluster.nodes[i].address).collect();

        assert_refused_orders_can_be_sent_again(&mut cluster, others, async |cluster| {
            let status = cluster.nodes[owner].stop().await.expect("the process exits");
            assert_eq!(status, Some(0));
        })
        .await;
    });
}

#[test]
fn an_order_that_was_refused_as_its_owner_handed_over_can_be_sent_again() {
    run_test(async {
        let mut cluster = start_cluster(config()).await;
        let owner = find_journal_owner(&cluster).await;
        let others: Vec<_> =
            (0..3).filter(|&i| i != owner).map(|i| cluster.nodes[i].address).collect();
        let status = cluster.nodes[owner].stop().await.expect("the process exits");
        assert_eq!(status, Some(0));
        wait_for("the other nodes own all duties", || async {
            let mut duties = 0;
            for i in (0..3).filter(|&i| i != owner) {
                let status = cluster.nodes[i].status().await;
                duties += status["duties"].as_array().map_or(0, Vec::len);
            }
            duties == 4
        })
        .await
        .expect("taken over");

        // The other nodes hand over to the new one what the stopped one owned.
        assert_refused_orders_can_be_sent_again(&mut cluster, others, async |cluster| {
            cluster.replace_node(owner).await.expect("start a new node");
            wait_for("the new node owns a journal partition", || async {
                let duties = cluster.nodes[owner].status().await["duties"].to_string();
                duties.contains("journal/")
            })
            .await
            .expect("handed over");
        })
        .await;
    });
}

#[test]
fn a_node_that_is_stopped_is_given_none_of_its_duties_back() {
    run_test(async {
        let mut cluster = start_cluster(config()).await;
        let owner = find_journal_owner(&cluster).await;
        let name = cluster.nodes[owner].name.clone();
        let other = (owner + 1) % 3;
        let earlier = cluster.nodes[other].log_lines("new duty term").len();

        let status = cluster.nodes[owner].stop().await.expect("the process exits");

        assert_eq!(status, Some(0));
        wait_for("the other nodes own all duties", || async {
            let mut duties = 0;
            for i in (0..3).filter(|&i| i != owner) {
                let status = cluster.nodes[i].status().await;
                duties += status["duties"].as_array().map_or(0, Vec::len);
            }
            duties == 4
        })
        .await
        .expect("taken over");
        let terms = cluster.nodes[other].log_lines("new duty term");
        let given_back = format!("\"owner\":\"{name}\"");
        let given_back = terms[earlier..].iter().filter(|line| line.contains(&given_back)).count();
        assert_eq!(given_back, 0, "of {} terms since the stop", terms.len() - earlier);
    });
}

#[test]
fn a_node_whose_answers_to_peers_are_lost_breaks_no_guarantee() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, WORK_TIME);
        load.wait_for_requests(100).await;

        // Calls of its peers reach the node but its answers are lost; its own calls succeed.
        cluster.nodes[0].peer_proxy.set(|faults| faults.drop_answers = true);
        load.wait_for_requests(400).await;
        cluster.nodes[0].peer_proxy.clear_faults();
        cluster.nodes[0].peer_proxy.cut_connections();
        load.wait_for_requests(200).await;
        let summary = load.finish(&cluster).await;

        assert_guarantees(&cluster, &summary);
    });
}

#[test]
fn a_node_partitioned_from_the_store_breaks_no_guarantee() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, WORK_TIME);
        load.wait_for_requests(100).await;

        cluster.nodes[0].store_proxy.black_hole();
        load.wait_for_requests(400).await;
        cluster.nodes[0].store_proxy.clear_faults();
        cluster.nodes[0].store_proxy.cut_connections();
        load.wait_for_requests(400).await;
        let summary = load.finish(&cluster).await;

        assert_guarantees(&cluster, &summary);
    });
}
