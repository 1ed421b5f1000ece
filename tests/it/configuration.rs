//! Declarations in force: racing operators, outages, monotony.

use std::time::Duration;

use serde_json::Value;
use teaselgap_standins::{
    caller::{CallResult, call},
    cluster::{Cluster, wait_for},
    store::Faults,
};

use crate::support::{cluster, config, declarations, outage_noticed, preview, run};

fn with_normal(normal: u32) -> Vec<Value> {
    let mut all = declarations();
    all[1]["capacity"]["normal"] = normal.into();
    all
}

/// Notes the generations that nodes show until the test drops it; panics if one goes back.
async fn watch_generations(cluster: &Cluster, until: impl Future<Output = ()>) -> Vec<u64> {
    let mut seen = vec![0; cluster.nodes.len()];
    tokio::pin!(until);
    loop {
        for (i, node) in cluster.nodes.iter().enumerate() {
            if let Some(generation) = node.generation().await {
                assert!(generation >= seen[i], "{} went back to {generation}", node.name);
                seen[i] = generation;
            }
        }
        tokio::select! {
            () = &mut until => return seen,
            () = tokio::time::sleep(Duration::from_millis(20)) => {}
        }
    }
}

#[test]
fn of_two_racing_operators_the_second_is_told_and_overwrites_nothing() {
    run(async {
        let cluster = cluster(config()).await;
        let one = cluster.write_declarations("one", &with_normal(9)).expect("written");
        let other = cluster.write_declarations("other", &with_normal(10)).expect("written");
        let (one, other) = (one.display().to_string(), other.display().to_string());

        let first = cluster.command(&["publish", "--expect", "1", &one]).await.expect("it runs");
        let second = cluster.command(&["publish", "--expect", "1", &other]).await.expect("it runs");

        assert!(first.status.success());
        assert_eq!(second.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&second.stderr).contains("generation 2"));
        let again = ["publish", other.as_str()];
        let (racing_one, racing_other) =
            tokio::join!(cluster.command(&again), cluster.command(&again));
        let succeeded = [racing_one, racing_other].into_iter().flatten();
        assert!(succeeded.filter(|output| output.status.success()).count() >= 1);
        wait_for("generation 3", || async { cluster.nodes[0].generation().await == Some(3) })
            .await
            .expect("exactly one more generation");
    });
}

#[test]
fn a_publication_whose_answer_was_lost_is_settled() {
    run(async {
        let cluster = cluster(config()).await;
        cluster.store.set_faults(Faults { lost_answer_rate: 1.0, seed: 3, ..Faults::default() });
        let directory = cluster.write_declarations("lost", &with_normal(9)).expect("written");

        let output = cluster.command(&["publish", &directory.display().to_string()]).await;

        let output = output.expect("it runs");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        assert!(String::from_utf8_lossy(&output.stdout).contains("generation 2"));
    });
}

#[test]
fn generations_never_go_back_through_changes_compactions_and_outages() {
    run(async {
        let cluster = cluster(config()).await;
        let changes = async {
            for normal in 9..13 {
                cluster.publish(&with_normal(normal)).await.expect("published");
                cluster.store.compact();
            }
            cluster.store.set_faults(Faults { repeat_events: true, ..Faults::default() });
            cluster.publish(&with_normal(13)).await.expect("published");
            cluster.store.set_faults(Faults { down: true, ..Faults::default() });
            outage_noticed(&cluster).await;
            cluster.store.set_faults(Faults::default());
            wait_for("published after the outage", || async {
                cluster.publish(&with_normal(14)).await.is_ok()
            })
            .await
            .expect("published");
        };

        let seen = watch_generations(&cluster, changes).await;

        assert!(seen.iter().all(|&generation| generation >= 6), "{seen:?}");
        for node in &cluster.nodes {
            wait_for("the newest generation", || async { node.generation().await == Some(7) })
                .await
                .expect("in force");
        }
    });
}

#[test]
fn a_node_that_the_store_does_not_reach_hears_of_a_change_from_others() {
    run(async {
        let cluster = cluster(config()).await;
        cluster.nodes[0].store.black_hole();
        wait_for("the cut is noticed", || async {
            cluster.nodes[0].status().await["store_reachable"] == false
        })
        .await
        .expect("noticed");

        let directory = cluster.write_declarations("other", &with_normal(9)).expect("written");
        let output = cluster.command(&["publish", &directory.display().to_string()]).await;

        assert!(output.expect("it runs").status.success());
        wait_for("the change is in force", || async {
            cluster.nodes[0].generation().await == Some(2)
        })
        .await
        .expect("in force");
    });
}

#[test]
fn a_node_started_while_the_store_is_down_takes_state_from_others_and_serves() {
    run(async {
        let mut cluster = cluster(config()).await;
        cluster.store.set_faults(Faults { down: true, ..Faults::default() });
        outage_noticed(&cluster).await;

        cluster.add_node("late").await.expect("a new node");
        cluster.wait_ready().await.expect("ready");
        let late = &cluster.nodes[3];

        assert_eq!(late.generation().await, Some(1));
        wait_for("it serves", || async {
            call(late.http, &preview("p-late")).await.0 == CallResult::Answered
        })
        .await
        .expect("served");
    });
}
