use std::sync::Arc;

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
