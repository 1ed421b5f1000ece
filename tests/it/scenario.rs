//! Scripted scenarios in a small test language: `testdata/*.scenario`.

use std::fmt::Write as _;

use datadriven::TestCase;
use teaselgap_standins::{
    caller::{CallResult, call},
    cluster::{Cluster, wait_for},
    store::Faults,
    vm_list::VmState,
    worker::Mode,
};

use crate::support::{cluster, config, order, preview, runtime};

/// What a directive of a scenario does; its answer is compared with the file.
async fn perform(cluster: &mut Cluster, case: &TestCase) -> String {
    let argument = |name: &str| case.args.get(name).and_then(|values| values.first()).cloned();
    let number =
        |name: &str| argument(name).and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
    match case.directive.as_str() {
        "call" => {
            let id = argument("id").unwrap_or_default();
            let service = argument("service").unwrap_or_default();
            let one = if service == "orders" { order(&id) } else { preview(&id) };
            let (told, answer) = call(cluster.nodes[number("node")].http, &one).await;
            let status = answer.map_or(0, |answer| answer.status().as_u16());
            format!("{told:?} {status}\n")
        }
        "worker" => {
            let mode = match argument("mode").unwrap_or_default().as_str() {
                "work" => Mode::Work,
                "fail-fast" => Mode::FailFast,
                "die-before-answer" => Mode::DieBeforeAnswer,
                "die-in-answer" => Mode::DieInAnswer,
                "hang" => Mode::Hang,
                other => return format!("no mode is called {other}\n"),
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
            let left = if state == VmState::Live { number("count") } else { 0 };
            wait_for("the nodes see the VMs", || async {
                let mut seen = true;
                for node in &cluster.nodes {
                    seen &= node.status().await["pools"][0]["lendable"] == left;
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
                wait_for("the store's state is noticed", || async {
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
            // Waits until a call is answered, as a caller that tries again would.
            let id = argument("id").unwrap_or_default();
            let service = argument("service").unwrap_or_default();
            let one = if service == "orders" { order(&id) } else { preview(&id) };
            let entry = cluster.nodes[number("node")].http;
            let answered = wait_for("an answer", || async {
                call(entry, &one).await.0 == CallResult::Answered
            });
            format!("{}\n", if answered.await.is_ok() { "answered" } else { "never answered" })
        }
        "runs" => {
            let tally = cluster.run_counts();
            let mut out = String::new();
            for id in argument("ids").unwrap_or_default().split('+') {
                let runs = tally.runs.get(id).copied().unwrap_or(0);
                writeln!(out, "{id}: {runs}").expect("a string");
            }
            out
        }
        other => format!("no directive is called {other}\n"),
    }
}

#[test]
fn scenarios_go_as_their_files_say() {
    let directory = format!("{}/testdata/scenarios", env!("CARGO_MANIFEST_DIR"));
    datadriven::walk(&directory, |file| {
        let runtime = runtime();
        let mut cluster = runtime.block_on(cluster(config()));
        file.run(|case| runtime.block_on(perform(&mut cluster, case)));
    });
}
