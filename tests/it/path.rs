//! Tests of the path from caller to backend server while parts of it fail.

use std::time::Duration;

use teaselgap_standins::{
    caller::{CallResult, call},
    cluster::{self, wait_for},
    vm_list::VmState,
    worker::Mode,
};

use crate::support::{Load, assert_guarantees, config, order, preview, run_test, start_cluster};

/// Time that a worker takes for each request.
const WORK_TIME: Duration = Duration::from_millis(10);

#[test]
fn every_caller_gets_the_complete_answer_to_its_own_request() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, WORK_TIME);

        load.wait_for_requests(400).await;
        let summary = load.finish(&cluster).await;

        assert_guarantees(&cluster, &summary);
        assert_eq!(summary.answered, summary.sent, "{summary:?}");
        assert_eq!(summary.cut_off, 0);
    });
}

#[test]
fn large_bodies_and_answers_are_forwarded_completely() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        let mut large = preview("large");
        large.method = "PUT";
        large.body = vec![b'x'; 3 << 20].into();
        large.answer_bytes = 5 << 20;

        let (result, _) = call(cluster.nodes[0].address, &large).await;

        assert_eq!(result, CallResult::Answered);
    });
}

#[test]
fn an_order_whose_backend_server_dies_before_answering_is_unknown_and_not_retried() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        for worker in &cluster.workers {
            worker.set_mode(Mode::DieBeforeAnswer);
        }

        let (first, _) = call(cluster.nodes[0].address, &order("order-1")).await;
        for worker in &cluster.workers {
            worker.set_mode(Mode::Work);
        }
        let (second, _) = call(cluster.nodes[1].address, &order("order-1")).await;

        assert_eq!((first, second), (CallResult::Unknown, CallResult::Unknown));
        assert_eq!(cluster.run_counts().runs["order-1"], 1);
    });
}

#[test]
fn a_backend_server_that_dies_while_answering_breaks_the_connection_to_the_caller() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        for worker in &cluster.workers {
            worker.set_mode(Mode::DieInAnswer);
        }

        let mut large = preview("p1");
        large.answer_bytes = 1 << 20;

        let (result, answer) = call(cluster.nodes[0].address, &large).await;

        assert_eq!(result, CallResult::Unknown);
        assert!(answer.is_none(), "a truncated answer must not look complete: {answer:?}");
    });
}

#[test]
fn an_idempotent_request_is_retried_on_another_vm() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        cluster.workers[0].set_mode(Mode::DieBeforeAnswer);
        let mut results = Vec::new();
        for i in 0..60 {
            results.push(call(cluster.nodes[i % 3].address, &preview(&format!("p{i}"))).await.0);
        }

        let answered = results.iter().filter(|result| **result == CallResult::Answered).count();
        assert!(answered >= 55, "{answered} of 60 answered");
        assert!(cluster.run_counts().runs.values().any(|&runs| runs > 1), "no request was retried");
    });
}

#[test]
fn a_killed_backend_server_loses_no_order() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, WORK_TIME);
        load.wait_for_requests(100).await;

        cluster.workers[1].kill();
        load.wait_for_requests(400).await;
        let summary = load.finish(&cluster).await;

        assert_guarantees(&cluster, &summary);
        assert!(
            summary.unknown <= 12,
            "more unknown results than requests on the killed worker: {summary:?}"
        );
    });
}

#[test]
fn a_leaving_vm_finishes_its_requests_and_gets_no_new_ones() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, Duration::from_millis(50));
        load.wait_for_requests(100).await;

        cluster.set_vm_state(0, VmState::Leaving);
        let leaving = &cluster.workers[0];
        for node in &cluster.nodes {
            wait_for("the node logs that the VM is leaving", || async {
                !node.log_lines("\"leaving\"").is_empty()
            })
            .await
            .expect("seen");
        }
        wait_for("the VM is idle", || async { leaving.run_counts().running == 0 })
            .await
            .expect("idle");
        let before = leaving.run_counts().runs.len();
        load.wait_for_requests(300).await;
        let after = leaving.run_counts().runs.len();
        let summary = load.finish(&cluster).await;

        assert_guarantees(&cluster, &summary);
        assert_eq!(
            after, before,
            "a request started on the VM after all nodes logged that it is leaving"
        );
        assert_eq!((summary.cut_off, summary.unknown), (0, 0), "{summary:?}");
    });
}

#[test]
fn graceful_shutdown_of_a_node_cuts_off_no_request() {
    run_test(async {
        let mut cluster = start_cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, Duration::from_millis(50));
        load.wait_for_requests(100).await;

        // A load balancer removes the node once it reports that it is not ready.
        let rest = cluster.node_addresses()[1..].to_vec();
        let leaving = cluster.nodes[0].address;
        let (status, ()) = tokio::join!(cluster.nodes[0].stop(), async {
            wait_for("the node reports that it is not ready", || async {
                cluster::get(leaving, "/readyz").await.is_none_or(|(status, _)| status == 503)
            })
            .await
            .expect("not ready");
            load.set_entries(rest);
        });
        load.wait_for_requests(300).await;
        let summary = load.finish(&cluster).await;

        assert_eq!(status.expect("the process exits"), Some(0));
        assert_guarantees(&cluster, &summary);
        assert_eq!((summary.cut_off, summary.unknown), (0, 0), "{summary:?}");
    });
}

#[test]
fn a_worker_that_fails_fast_does_not_attract_requests() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        cluster.workers[0].set_mode(Mode::FailFast);
        let mut failed = 0;
        for i in 0..300 {
            let (result, _) = call(cluster.nodes[i % 3].address, &preview(&format!("p{i}"))).await;
            failed += usize::from(result != CallResult::Answered);
        }

        // An even distribution would send a quarter of the calls, 75, to this worker.
        assert!(failed < 60, "{failed} of 300 calls failed");
    });
}
