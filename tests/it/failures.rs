//! Tests with nodes that are killed, paused, replaced or partitioned.

use std::time::Duration;

use teaselgap_standins::{
    caller::{CallResult, call},
    cluster::{Config, wait_for},
};

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
pub(crate) async fn find_journal_owner(cluster: &teaselgap_standins::cluster::Cluster) -> usize {
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
