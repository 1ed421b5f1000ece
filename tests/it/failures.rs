//! Nodes that die, pause, are replaced or cut off.

use std::time::Duration;

use teaselgap_standins::{
    caller::{CallResult, call},
    cluster::{Config, wait_for},
};

use crate::support::{Load, assert_promises, cluster, config, order, run};

const WORK: Duration = Duration::from_millis(10);

fn seven() -> Config {
    Config { nodes: 7, ..config() }
}

#[test]
fn a_node_killed_under_load_loses_and_doubles_nothing() {
    run(async {
        let mut cluster = cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, WORK);
        load.progress(100).await;

        cluster.nodes[0].kill().await;
        load.progress(400).await;
        let verdict = load.finish(&cluster).await;

        assert_promises(&cluster, &verdict);
        assert!(verdict.answered > 400, "{verdict:?}");
    });
}

#[test]
fn duties_of_a_killed_node_are_taken_over() {
    run(async {
        let mut cluster = cluster(seven()).await;
        let owner = journal_owner(&cluster).await;

        cluster.nodes[owner].kill().await;

        let rest: Vec<usize> = (0..7).filter(|&i| i != owner).collect();
        wait_for("all duties owned by the others", || async {
            let mut duties = 0;
            for &i in &rest {
                let status = cluster.nodes[i].status().await;
                duties += status["duties"].as_array().map_or(0, Vec::len);
            }
            duties == 4
        })
        .await
        .expect("taken over");
        wait_for("orders are recorded again", || async {
            let (told, _) = call(cluster.nodes[rest[0]].http, &order("after")).await;
            told == CallResult::Answered
        })
        .await
        .expect("answered");
    });
}

/// The index of a node that owns a journal partition.
pub(crate) async fn journal_owner(cluster: &teaselgap_standins::cluster::Cluster) -> usize {
    for (i, node) in cluster.nodes.iter().enumerate() {
        let status = node.status().await;
        let duties = status["duties"].as_array().cloned().unwrap_or_default();
        if duties.iter().any(|duty| duty.as_str().is_some_and(|duty| duty.starts_with("journal"))) {
            return i;
        }
    }
    panic!("nobody owns the journal");
}

#[test]
fn an_owner_paused_past_its_lease_and_resumed_doubles_nothing() {
    run(async {
        let cluster = cluster(config()).await;
        let owner = journal_owner(&cluster).await;
        let load = Load::start(cluster.node_addresses(), 12, WORK);
        load.progress(100).await;

        cluster.nodes[owner].pause();
        let others: Vec<_> = (0..3).filter(|&i| i != owner).collect();
        wait_for("the paused node's duties are owned elsewhere", || async {
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
        load.progress(400).await;
        let verdict = load.finish(&cluster).await;

        assert_promises(&cluster, &verdict);
    });
}

#[test]
fn all_nodes_replaced_one_after_another_under_load() {
    run(async {
        let mut cluster = cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 8, WORK);
        load.progress(100).await;

        for i in 0..3 {
            let rest: Vec<_> = (0..3).filter(|&j| j != i).map(|j| cluster.nodes[j].http).collect();
            load.set_entries(rest);
            let status = cluster.nodes[i].stop().await.expect("it ends");
            assert_eq!(status, Some(0));
            cluster.replace_node(i).await.expect("a new node");
            cluster.wait_ready().await.expect("ready");
            cluster.wait_slots().await.expect("slots");
            load.set_entries(cluster.node_addresses());
            load.progress(100).await;
        }
        let verdict = load.finish(&cluster).await;

        assert_promises(&cluster, &verdict);
        assert_eq!((verdict.cut_off, verdict.unknown), (0, 0), "{verdict:?}");
    });
}

#[test]
fn a_node_that_others_cannot_reach_harms_nobody() {
    run(async {
        let cluster = cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, WORK);
        load.progress(100).await;

        // Others' calls reach it, its answers get lost; its own calls go through.
        cluster.nodes[0].peer.set(|faults| faults.drop_answers = true);
        load.progress(400).await;
        cluster.nodes[0].peer.clear_faults();
        cluster.nodes[0].peer.cut_connections();
        load.progress(200).await;
        let verdict = load.finish(&cluster).await;

        assert_promises(&cluster, &verdict);
    });
}

#[test]
fn a_node_cut_off_from_the_store_harms_nobody() {
    run(async {
        let cluster = cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, WORK);
        load.progress(100).await;

        cluster.nodes[0].store.black_hole();
        load.progress(400).await;
        cluster.nodes[0].store.clear_faults();
        cluster.nodes[0].store.cut_connections();
        load.progress(400).await;
        let verdict = load.finish(&cluster).await;

        assert_promises(&cluster, &verdict);
    });
}
