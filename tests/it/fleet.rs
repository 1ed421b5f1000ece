//! VMs that are maintained and moved between pools under load.

use std::{cell::Cell, time::Duration};

use teaselgap_standins::{
    caller::{Call, CallResult, call},
    cluster::{Cluster, wait_for},
};

use crate::support::{Load, assert_promises, cluster, config, run};

const WORK: Duration = Duration::from_millis(20);
const DAY: Duration = Duration::from_hours(24);

/// Grants and requests end soon, so that a drain does not take long.
fn quick() -> teaselgap_standins::cluster::Config {
    let settings = serde_json::json!({"cluster": {"slots_interval": "200ms", "slots_ttl": "1s"}});
    teaselgap_standins::cluster::Config { settings, ..config() }
}

async fn planned_stops(cluster: &Cluster, pool: &str) -> u64 {
    let status = cluster.nodes[0].status().await;
    let pools = status["pools"].as_array().cloned().unwrap_or_default();
    let of_pool = pools.into_iter().find(|one| one["pool"] == pool);
    of_pool.and_then(|one| one["planned_stops"].as_u64()).unwrap_or(0)
}

#[test]
fn every_vm_is_maintained_in_waves_and_nothing_is_cut_off() {
    run(async {
        let cluster = cluster(quick()).await;
        let load = Load::start(cluster.node_addresses(), 8, WORK);
        load.progress(50).await;

        let done = cluster.maintain_on_request(27 * DAY, Duration::from_millis(200));
        let most_out = Cell::new(0);
        wait_for("all VMs are maintained", || async {
            most_out.set(most_out.get().max(planned_stops(&cluster, "shop").await));
            *done.borrow() == cluster.vms.len()
        })
        .await
        .expect("maintained");
        load.progress(100).await;
        let verdict = load.finish(&cluster).await;

        assert_promises(&cluster, &verdict);
        assert_eq!((verdict.cut_off, verdict.unknown), (0, 0), "{verdict:?}");
        assert_eq!(most_out.get(), 1, "the declarations tolerate one VM at a time");
    });
}

#[test]
fn maintenance_goes_on_after_the_death_of_a_keeper() {
    run(async {
        let mut cluster = cluster(quick()).await;
        let load = Load::start(cluster.node_addresses(), 8, WORK);
        load.progress(50).await;
        let done = cluster.maintain_on_request(27 * DAY, Duration::from_millis(200));
        wait_for("the first VM is maintained", || async { *done.borrow() >= 1 })
            .await
            .expect("one");

        let mut keeper = 0;
        for (i, node) in cluster.nodes.iter().enumerate() {
            let status = node.status().await;
            let duties = status["duties"].as_array().cloned().unwrap_or_default();
            if duties.iter().any(|duty| duty == "slots/shop") {
                keeper = i;
            }
        }
        cluster.nodes[keeper].kill().await;
        wait_for("all VMs are maintained", || async { *done.borrow() == cluster.vms.len() })
            .await
            .expect("maintained");
        let verdict = load.finish(&cluster).await;

        assert_promises(&cluster, &verdict);
    });
}

#[test]
fn a_vm_that_moves_between_pools_under_load_serves_one_at_a_time() {
    run(async {
        let mut cluster = cluster(quick()).await;
        let load = Load::start(cluster.node_addresses(), 16, WORK);
        load.progress(100).await;

        // Two VMs go to the other pool, where callers keep the slots busy as well.
        cluster.move_vm(0, "workshop");
        cluster.move_vm(1, "workshop");
        let sheets = Cell::new(0);
        wait_for("the moved VMs serve the other pool", || async {
            let n = sheets.replace(sheets.get() + 1);
            let mut one = Call::new("GET", "/sheets/7", &format!("sheet-{n}"));
            one.work = WORK;
            let (told, _) = call(cluster.nodes[n % 3].http, &one).await;
            assert_ne!(told, CallResult::MixedUp);
            let runs = cluster.workers[0].run_counts().runs;
            runs.keys().any(|id| id.starts_with("sheet"))
        })
        .await
        .expect("moved");
        load.progress(200).await;
        let verdict = load.finish(&cluster).await;

        assert_promises(&cluster, &verdict);
        assert_eq!((verdict.cut_off, verdict.unknown), (0, 0), "{verdict:?}");
    });
}
