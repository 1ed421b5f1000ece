use std::sync::Arc;

use teaselgap_core::route::{self, Policy};

use super::*;

fn gate() -> VmGate {
    let info = VmInfo {
        id: "vm1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        rack: "r1".parse().unwrap(),
    };
    VmGate::new(info, true, Timestamp(0))
}

#[test]
fn a_smaller_grant_lets_running_requests_end_and_admits_no_more() {
    let gate = gate();
    gate.set_held(Slots(2));
    assert!(gate.acquire() && gate.acquire());

    gate.set_held(Slots(1));

    assert_eq!(gate.ceiling(), 2);
    gate.release();
    assert!(!gate.acquire());
    gate.release();
    assert!(gate.acquire());
}

#[test]
fn threads_never_acquire_more_slots_than_are_held() {
    let gate = Arc::new(gate());
    gate.set_held(Slots(5));

    let threads: Vec<_> = (0..8)
        .map(|_| {
            let gate = Arc::clone(&gate);
            std::thread::spawn(move || (0..100).filter(|_| gate.acquire()).count())
        })
        .collect();
    let acquired: usize = threads.into_iter().map(|thread| thread.join().unwrap()).sum();

    assert_eq!(acquired, 5);
}

/// How often each VM is picked by a client that sends one request each 100 ms for 30 s, if all answer in
/// 20 ms by now.
fn picks_under_little_load(gates: &[VmGate], start: Timestamp) -> Vec<u32> {
    const ANSWER_US: u64 = 20_000;
    let mut picks = vec![0; gates.len()];
    for n in 0..300 {
        let now = start + Span(100 * n);
        let candidates: Vec<_> = gates.iter().map(|gate| gate.candidate(Span(0), now)).collect();
        let picked = route::pick(Policy::Weighted, &candidates, &mut rand::rng()).unwrap();
        picks[picked] += 1;
        gates[picked].record_attempt(true, ANSWER_US, now);
    }
    picks
}

#[test]
fn a_vm_that_was_slow_once_is_tried_again_under_little_load() {
    let gates = [gate(), gate()];
    for (gate, took_us) in gates.iter().zip([200_000, 20_000]) {
        gate.set_held(Slots(2));
        gate.record_attempt(true, took_us, Timestamp(0));
    }

    let picks = picks_under_little_load(&gates, Timestamp(100));

    assert!(picks[0] >= 2, "{picks:?}");
}

#[test]
fn a_vm_that_stays_slow_gets_few_requests_under_little_load() {
    let gates = [gate(), gate()];
    for gate in &gates {
        gate.set_held(Slots(2));
    }
    let mut slow = 0;
    for n in 0..300 {
        let now = Timestamp(100 * n);
        let candidates: Vec<_> = gates.iter().map(|gate| gate.candidate(Span(0), now)).collect();
        let picked = route::pick(Policy::Weighted, &candidates, &mut rand::rng()).unwrap();
        slow += u32::from(picked == 0);
        gates[picked].record_attempt(true, if picked == 0 { 200_000 } else { 20_000 }, now);
    }

    assert!(slow <= 6, "{slow}");
}

/// Guards against a VM that seems quick because it has answered nothing for long.
#[test]
fn a_vm_that_hangs_gets_no_more_requests_once_its_mean_latency_has_expired() {
    const ANSWER_US: u64 = 200_000;
    let gates = [gate(), gate()];
    for gate in &gates {
        gate.set_held(Slots(50));
        gate.record_attempt(true, ANSWER_US, Timestamp(0));
    }
    // Those to the first VM get no answer, so that they keep their slots.
    let mut hung = [0; 3];
    for n in 0..300 {
        let now = Timestamp(100 * n);
        let candidates: Vec<_> = gates.iter().map(|gate| gate.candidate(Span(0), now)).collect();
        let picked = route::pick(Policy::Weighted, &candidates, &mut rand::rng()).unwrap();
        if picked == 0 {
            assert!(gates[0].acquire());
            hung[usize::try_from(now.0 / 10_000).unwrap()] += 1;
        } else {
            gates[1].record_attempt(true, ANSWER_US, now);
        }
    }

    assert!(hung[1] + hung[2] <= hung[0], "{hung:?}");
}
