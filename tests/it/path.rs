//! The whole path while parts of it fail.

use std::time::Duration;

use teaselgap_standins::{
    caller::{CallResult, call},
    cluster::{self, wait_for},
    vm_list::VmState,
    worker::Mode,
};

use crate::support::{Load, assert_promises, cluster, config, order, preview, run};

const WORK: Duration = Duration::from_millis(10);

#[test]
fn every_caller_gets_its_own_whole_answer() {
    run(async {
        let cluster = cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, WORK);

        load.progress(400).await;
        let verdict = load.finish(&cluster).await;

        assert_promises(&cluster, &verdict);
        assert_eq!(verdict.answered, verdict.sent, "{verdict:?}");
        assert_eq!(verdict.cut_off, 0);
    });
}

#[test]
fn large_answers_and_bodies_pass_whole() {
    run(async {
        let cluster = cluster(config()).await;
        let mut large = preview("large");
        large.method = "PUT";
        large.body = vec![b'x'; 3 << 20].into();
        large.answer_bytes = 5 << 20;

        let (told, _) = call(cluster.nodes[0].http, &large).await;

        assert_eq!(told, CallResult::Answered);
    });
}

#[test]
fn a_backend_that_dies_before_its_answer_leaves_an_order_unknown_and_not_run_again() {
    run(async {
        let cluster = cluster(config()).await;
        for worker in &cluster.workers {
            worker.set_mode(Mode::DieBeforeAnswer);
        }

        let (first, _) = call(cluster.nodes[0].http, &order("order-1")).await;
        for worker in &cluster.workers {
            worker.set_mode(Mode::Work);
        }
        let (second, _) = call(cluster.nodes[1].http, &order("order-1")).await;

        assert_eq!((first, second), (CallResult::Unknown, CallResult::Unknown));
        assert_eq!(cluster.run_counts().runs["order-1"], 1);
    });
}

#[test]
fn a_backend_that_dies_in_its_answer_is_passed_on_as_a_broken_connection() {
    run(async {
        let cluster = cluster(config()).await;
        for worker in &cluster.workers {
            worker.set_mode(Mode::DieInAnswer);
        }

        let mut large = preview("p1");
        large.answer_bytes = 1 << 20;

        let (told, answer) = call(cluster.nodes[0].http, &large).await;

        assert_eq!(told, CallResult::Unknown);
        assert!(answer.is_none(), "a broken answer must not look whole: {answer:?}");
    });
}

#[test]
fn an_idempotent_request_is_repeated_on_another_vm() {
    run(async {
        let cluster = cluster(config()).await;
        cluster.workers[0].set_mode(Mode::DieBeforeAnswer);
        let mut told = Vec::new();
        for i in 0..60 {
            told.push(call(cluster.nodes[i % 3].http, &preview(&format!("p{i}"))).await.0);
        }

        let answered = told.iter().filter(|told| **told == CallResult::Answered).count();
        assert!(answered >= 55, "{answered} of 60 answered");
        assert!(cluster.run_counts().runs.values().any(|&runs| runs > 1), "nothing was repeated");
    });
}

#[test]
fn a_backend_that_is_gone_gets_no_order_lost() {
    run(async {
        let cluster = cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, WORK);
        load.progress(100).await;

        cluster.workers[1].kill();
        load.progress(400).await;
        let verdict = load.finish(&cluster).await;

        assert_promises(&cluster, &verdict);
        assert!(verdict.unknown <= 12, "only what was running there: {verdict:?}");
    });
}

#[test]
fn a_leaving_vm_finishes_its_requests_and_gets_no_new_ones() {
    run(async {
        let cluster = cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, Duration::from_millis(50));
        load.progress(100).await;

        cluster.set_vm_state(0, VmState::Leaving);
        let leaving = &cluster.workers[0];
        for node in &cluster.nodes {
            wait_for("the node sees the VM leave", || async {
                !node.log_lines("\"leaving\"").is_empty()
            })
            .await
            .expect("seen");
        }
        wait_for("the VM is idle", || async { leaving.run_counts().running == 0 })
            .await
            .expect("idle");
        let before = leaving.run_counts().runs.len();
        load.progress(300).await;
        let after = leaving.run_counts().runs.len();
        let verdict = load.finish(&cluster).await;

        assert_promises(&cluster, &verdict);
        assert_eq!(after, before, "new work after the VM was seen leaving");
        assert_eq!((verdict.cut_off, verdict.unknown), (0, 0), "{verdict:?}");
    });
}

#[test]
fn a_node_that_is_told_to_stop_cuts_nothing_off() {
    run(async {
        let mut cluster = cluster(config()).await;
        let load = Load::start(cluster.node_addresses(), 12, Duration::from_millis(50));
        load.progress(100).await;

        // A balancer takes the node out once it says that it is not ready.
        let rest = cluster.node_addresses()[1..].to_vec();
        let leaving = cluster.nodes[0].http;
        let (status, ()) = tokio::join!(cluster.nodes[0].stop(), async {
            wait_for("not ready", || async {
                cluster::get(leaving, "/readyz").await.is_none_or(|(status, _)| status == 503)
            })
            .await
            .expect("not ready");
            load.set_entries(rest);
        });
        load.progress(300).await;
        let verdict = load.finish(&cluster).await;

        assert_eq!(status.expect("it ends"), Some(0));
        assert_promises(&cluster, &verdict);
        assert_eq!((verdict.cut_off, verdict.unknown), (0, 0), "{verdict:?}");
    });
}

#[test]
fn a_worker_that_fails_everything_at_once_does_not_attract_work() {
    run(async {
        let cluster = cluster(config()).await;
        cluster.workers[0].set_mode(Mode::FailFast);
        let mut failed = 0;
        for i in 0..300 {
            let (told, _) = call(cluster.nodes[i % 3].http, &preview(&format!("p{i}"))).await;
            failed += usize::from(told != CallResult::Answered);
        }

        // A fair share would be a quarter: 75.
        assert!(failed < 60, "{failed} of 300 went to the failing worker");
    });
}
