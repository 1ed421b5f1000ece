//! Scripted scenarios in a small test language, read from `testdata/scenarios`.

use std::fmt::Write as _;

use datadriven::TestCase;
use teaselgap_standins::{
    caller::{CallResult, call},
    cluster::{Cluster, wait_for},
    store::Faults,
    vm_list::VmState,
    worker::Mode,
};

use crate::support::{build_runtime, config, order, preview, start_cluster};

/// Runs one directive of a scenario and returns its output, which is compared with the file.
async fn run_directive(cluster: &mut Cluster, case: &TestCase) -> String {
    let argument = |name: &str| case.args.get(name).and_then(|values| values.first()).cloned();
    let number =
        |name: &str| argument(name).and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
    match case.directive.as_str() {
        "call" => {
            let id = argument("id").unwrap_or_default();
            let service = argument("service").unwrap_or_default();
            let request = if service == "orders" { order(&id) } else { preview(&id) };
            let (result, answer) = call(cluster.nodes[number("node")].address, &request).await;
            let status = answer.map_or(0, |answer| answer.status().as_u16());
            format!("{result:?} {status}\n")
        }
        "worker" => {
            let mode = match argument("mode").unwrap_or_default().as_str() {
                "work" => Mode::Work,
                "fail-fast" => Mode::FailFast,
                "die-before-answer" => Mode::DieBeforeAnswer,
                "die-in-answer" => Mode::DieInAnswer,
                "hang" => Mode::Hang,
                other => return format!("unknown worker mode: {other}\n"),
            };
            for worker in &cluster.workers {
                worker.set_mode(mode);
            }
            String::new()
        }
        "vm" => {
            let state = match argument("state").unwrap_or_default().as_str() {
                "leaving" => VmState::Leaving,
                "gone" => VmState::Gone,
                _ => VmState::Live,
            };
            for i in 0..number("count") {
                cluster.set_vm_state(i, state);
            }
            let expected = if state == VmState::Live { number("count") } else { 0 };
            wait_for("the nodes see the new state of the VMs", || async {
                let mut seen = true;
                for node in &cluster.nodes {
                    seen &= node.status().await["pools"][0]["lendable"] == expected;
                }
                seen
            })
            .await
            .expect("seen");
            String::new()
        }
        "store" => {
            let down = argument("state").as_deref() == Some("down");
            cluster.store.set_faults(Faults { down, ..Faults::default() });
            for node in &cluster.nodes {
                wait_for("the node sees the new state of the store", || async {
                    node.status().await["store_reachable"] == !down
                })
                .await
                .expect("noticed");
            }
            String::new()
        }
        "kill" => {
            cluster.nodes[number("node")].kill().await;
            String::new()
        }
        "eventually" => {
            // Retries the call until it is answered or the wait times out.
            let id = argument("id").unwrap_or_default();
            let service = argument("service").unwrap_or_default();
            let request = if service == "orders" { order(&id) } else { preview(&id) };
            let entry = cluster.nodes[number("node")].address;
            let answered = wait_for("the call is answered", || async {
                call(entry, &request).await.0 == CallResult::Answered
            });
            format!("{}\n", if answered.await.is_ok() { "answered" } else { "never answered" })
        }
        "runs" => {
            let counts = cluster.run_counts();
            let mut out = String::new();
            for id in argument("ids").unwrap_or_default().split('+') {
                let runs = counts.runs.get(id).copied().unwrap_or(0);
                writeln!(out, "{id}: {runs}").expect("writing to a string succeeds");
            }
            out
        }
        other => format!("unknown directive: {other}\n"),
    }
}

#[test]
fn scenarios_produce_the_expected_output() {
    let directory = format!("{}/testdata/scenarios", env!("CARGO_MANIFEST_DIR"));
    datadriven::walk(&directory, |file| {
        let runtime = build_runtime();
        let mut cluster = runtime.block_on(start_cluster(config()));
        file.run(|case| runtime.block_on(run_directive(&mut cluster, case)));
    });
}
