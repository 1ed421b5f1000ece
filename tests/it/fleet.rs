//! Tests of VM maintenance and of moves of VMs between pools under load.

use std::{cell::Cell, time::Duration};

use teaselgap_standins::{
    caller::{Call, CallResult, call},
    cluster::{Cluster, wait_for},
};

use crate::support::{Load, assert_guarantees, config, run_test, start_cluster};

/// Time that a worker takes for each request.
const WORK_TIME: Duration = Duration::from_millis(20);
const DAY: Duration = Duration::from_hours(24);

/// Configuration with short slot grants and frequent renewals, so that a drain does not take long.
fn config_with_short_grants() -> teaselgap_standins::cluster::Config {
    let settings = serde_json::json!({"cluster": {"slots_interval": "200ms", "slots_ttl": "1s"}});
    teaselgap_standins::cluster::Config { settings, ..config() }
}

/// Number of planned stops in the pool, as the first node reports it.
async fn planned_stops(cluster: &Cluster, pool: &str) -> u64 {
    let status = cluster.nodes[0].status().await;
    let pools = status["pools"].as_array().cloned().unwrap_or_default();
    let matching = pools.into_iter().find(|entry| entry["pool"] == pool);
    matching.and_then(|entry| entry["planned_stops"].as_u64()).unwrap_or(0)
}

#[test]
fn maintenance_waves_reach_every_vm_and_cut_off_no_request() {
    run_test(async {
        let cluster = start_cluster(config_with_short_grants()).await;
        let load = Load::start(cluster.node_addresses(), 8, WORK_TIME);
        load.wait_for_requests(50).await;

        let maintained_count = cluster.maintain_on_request(27 * DAY, Duration::from_millis(200));
        let max_planned_stops = Cell::new(0);
        wait_for("all VMs are maintained", || async {
            max_planned_stops
                .set(max_planned_stops.get().max(planned_stops(&cluster, "shop").await));
            *maintained_count.borrow() == cluster.vms.len()
        })
        .await
        .expect("maintained");
        load.wait_for_requests(100).await;
        let summary = load.finish(&cluster).await;

        assert_guarantees(&cluster, &summary);
        assert_eq!((summary.cut_off, summary.unknown), (0, 0), "{summary:?}");
        assert_eq!(
            max_planned_stops.get(),
            1,
            "the declarations allow maintenance of one VM at a time"
        );
    });
}

#[test]
fn maintenance_continues_after_the_owner_of_the_pool_is_killed() {
    run_test(async {
        let mut cluster = start_cluster(config_with_short_grants()).await;
        let load = Load::start(cluster.node_addresses(), 8, WORK_TIME);
        load.wait_for_requests(50).await;
        let maintained_count = cluster.maintain_on_request(27 * DAY, Duration::from_millis(200));
        wait_for("the first VM is maintained", || async { *maintained_count.borrow() >= 1 })
            .await
            .expect("one VM is maintained");

        let mut owner = 0;
        for (i, node) in cluster.nodes.iter().enumerate() {
            let status = node.status().await;
            let duties = status["duties"].as_array().cloned().unwrap_or_default();
            if duties.iter().any(|duty| duty == "slots/shop") {
                owner = i;
            }
        }
        cluster.nodes[owner].kill().await;
        wait_for("all VMs are maintained", || async {
            *maintained_count.borrow() == cluster.vms.len()
        })
        .await
        .expect("maintained");
        let summary = load.finish(&cluster).await;

        assert_guarantees(&cluster, &summary);
    });
}

#[test]
fn a_vm_moved_between_pools_under_load_serves_one_pool_at_a_time() {
    run_test(async {
        let mut cluster = start_cluster(config_with_short_grants()).await;
        let load = Load::start(cluster.node_addresses(), 16, WORK_TIME);
        load.wait_for_requests(100).await;

        // Two VMs move to the other pool, whose slots callers use as well.
        cluster.move_vm(0, "workshop");
        cluster.move_vm(1, "workshop");
        let sheet_count = Cell::new(0);
        wait_for("the first moved VM serves the other pool", || async {
            let n = sheet_count.replace(sheet_count.get() + 1);
            let mut sheet = Call::new("GET", "/sheets/7", &format!("sheet-{n}"));
            sheet.work = WORK_TIME;
            let (result, _) = call(cluster.nodes[n % 3].address, &sheet).await;
            assert_ne!(result, CallResult::MixedUp);
            let runs = cluster.workers[0].run_counts().runs;
            runs.keys().any(|id| id.starts_with("sheet"))
        })
        .await
        .expect("moved");
        load.wait_for_requests(200).await;
        let summary = load.finish(&cluster).await;

        assert_guarantees(&cluster, &summary);
        assert_eq!((summary.cut_off, summary.unknown), (0, 0), "{summary:?}");
    });
}
