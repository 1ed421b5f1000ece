//! Tests of publishing declarations: concurrent publications, store outages, and generations that
//! never decrease.

use std::time::Duration;

use serde_json::Value;
use teaselgap_standins::{
    caller::{CallResult, call},
    cluster::{Cluster, wait_for},
    store::Faults,
};

use crate::support::{
    config, declarations, preview, run_test, start_cluster, wait_store_unreachable,
};

/// The usual declarations with this normal capacity for `previews`.
fn declarations_with_capacity(normal: u32) -> Vec<Value> {
    let mut all = declarations();
    all[1]["capacity"]["normal"] = normal.into();
    all
}

/// Polls the generation of every node until `workload` completes, and returns the last generation
/// of each node. Panics if a node's generation decreases.
async fn watch_generations(cluster: &Cluster, workload: impl Future<Output = ()>) -> Vec<u64> {
    let mut latest_generations = vec![0; cluster.nodes.len()];
    tokio::pin!(workload);
    loop {
        for (i, node) in cluster.nodes.iter().enumerate() {
            if let Some(generation) = node.generation().await {
                assert!(
                    generation >= latest_generations[i],
                    "the generation of {} decreased to {generation}",
                    node.name
                );
                latest_generations[i] = generation;
            }
        }
        tokio::select! {
            () = &mut workload => return latest_generations,
            () = tokio::time::sleep(Duration::from_millis(20)) => {}
        }
    }
}

/// Also checks that two concurrent publications of the same declarations create one generation.
#[test]
fn a_publication_based_on_an_outdated_generation_is_rejected() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        let one = cluster
            .write_declarations("one", &declarations_with_capacity(9))
            .expect("write the declarations");
        let other = cluster
            .write_declarations("other", &declarations_with_capacity(10))
            .expect("write the declarations");
        let (one, other) = (one.display().to_string(), other.display().to_string());

        let first =
            cluster.command(&["publish", "--expect", "1", &one]).await.expect("the command runs");
        let second =
            cluster.command(&["publish", "--expect", "1", &other]).await.expect("the command runs");

        assert!(first.status.success());
        assert_eq!(second.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&second.stderr).contains("generation 2"));
        let republish = ["publish", other.as_str()];
        let (concurrent_one, concurrent_other) =
            tokio::join!(cluster.command(&republish), cluster.command(&republish));
        let succeeded = [concurrent_one, concurrent_other].into_iter().flatten();
        assert!(succeeded.filter(|output| output.status.success()).count() >= 1);
        wait_for("generation 3 is in force", || async {
            cluster.nodes[0].generation().await == Some(3)
        })
        .await
        .expect("exactly one more generation");
    });
}

#[test]
fn a_publication_succeeds_although_the_store_answer_is_lost() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        cluster.store.set_faults(Faults { lost_answer_rate: 1.0, seed: 3, ..Faults::default() });
        let directory = cluster
            .write_declarations("lost", &declarations_with_capacity(9))
            .expect("write the declarations");

        let output = cluster.command(&["publish", &directory.display().to_string()]).await;

        let output = output.expect("the command runs");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        assert!(String::from_utf8_lossy(&output.stdout).contains("generation 2"));
    });
}

#[test]
fn generations_never_decrease_during_changes_compactions_and_outages() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        let changes = async {
            for normal in 9..13 {
                cluster.publish(&declarations_with_capacity(normal)).await.expect("published");
                cluster.store.compact();
            }
            cluster.store.set_faults(Faults { repeat_events: true, ..Faults::default() });
            cluster.publish(&declarations_with_capacity(13)).await.expect("published");
            cluster.store.set_faults(Faults { down: true, ..Faults::default() });
            wait_store_unreachable(&cluster).await;
            cluster.store.set_faults(Faults::default());
            wait_for("a publication succeeds after the outage", || async {
                cluster.publish(&declarations_with_capacity(14)).await.is_ok()
            })
            .await
            .expect("published");
        };

        let latest_generations = watch_generations(&cluster, changes).await;

        assert!(
            latest_generations.iter().all(|&generation| generation >= 6),
            "{latest_generations:?}"
        );
        for node in &cluster.nodes {
            wait_for("the newest generation is in force", || async {
                node.generation().await == Some(7)
            })
            .await
            .expect("in force");
        }
    });
}

#[test]
fn a_node_partitioned_from_the_store_learns_of_a_change_from_peers() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        cluster.nodes[0].store_proxy.black_hole();
        wait_for("the node reports the store as unreachable", || async {
            cluster.nodes[0].status().await["store_reachable"] == false
        })
        .await
        .expect("noticed");

        let directory = cluster
            .write_declarations("other", &declarations_with_capacity(9))
            .expect("write the declarations");
        let output = cluster.command(&["publish", &directory.display().to_string()]).await;

        assert!(output.expect("the command runs").status.success());
        wait_for("the change is in force", || async {
            cluster.nodes[0].generation().await == Some(2)
        })
        .await
        .expect("in force");
    });
}

#[test]
fn a_node_started_during_a_store_outage_gets_its_state_from_peers_and_serves() {
    run_test(async {
        let mut cluster = start_cluster(config()).await;
        cluster.store.set_faults(Faults { down: true, ..Faults::default() });
        wait_store_unreachable(&cluster).await;

        cluster.add_node("late").await.expect("start a new node");
        cluster.wait_ready().await.expect("ready");
        let late = &cluster.nodes[3];

        assert_eq!(late.generation().await, Some(1));
        wait_for("the new node answers a request", || async {
            call(late.address, &preview("p-late")).await.0 == CallResult::Answered
        })
        .await
        .expect("served");
    });
}
