use std::collections::{HashSet, VecDeque};

use super::*;

fn pool(name: &str) -> PoolId {
    name.parse().unwrap()
}

fn seen(drained: bool, now: u64) -> VmObservation {
    VmObservation {
        listed_pool: Some(pool("b")),
        live: true,
        maintained: false,
        drained,
        now: Timestamp(now),
        drain_deadline: Timestamp(now + 100),
        return_deadline: Timestamp(now + 1_000),
    }
}

fn written(step: NextStep) -> VmRecord {
    match step {
        NextStep::Write(record) => record,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_move_cordons_drains_and_hands_over_in_this_order() {
    let serving = VmRecord::serving(pool("a"));

    let cordoned = written(next_step(&serving, &seen(false, 0)));
    let waiting = next_step(&cordoned, &seen(false, 50));
    let moved = written(next_step(&cordoned, &seen(true, 60)));

    assert!(!cordoned.takes_requests() && cordoned.pool == pool("a"));
    assert_eq!(waiting, NextStep::Wait);
    assert_eq!(moved, VmRecord::serving(pool("b")));
}

#[test]
fn a_drain_that_takes_too_long_is_given_up_and_cuts_nothing_off() {
    let plan = Plan::Drain { drain_deadline: Timestamp(100) };
    let record = VmRecord { pool: pool("b"), plan };

    let step = next_step(&record, &seen(false, 100));

    assert_eq!(step, NextStep::Write(VmRecord::serving(pool("b"))));
}

#[test]
fn maintenance_is_asked_for_until_the_vm_is_back() {
    let plan = Plan::Maintain { return_deadline: Timestamp(500) };
    let record = VmRecord { pool: pool("b"), plan };
    let back = VmObservation { maintained: true, ..seen(true, 100) };

    assert_eq!(next_step(&record, &seen(true, 100)), NextStep::AskForMaintenance);
    assert_eq!(next_step(&record, &back), NextStep::Write(VmRecord::serving(pool("b"))));
    assert_eq!(next_step(&record, &seen(true, 500)), NextStep::Failed);
}

/// One VM, two pools, each with a keeper that may be replaced or paused at any moment, and one
/// holder in each pool. Explored breadth first.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    record: VmRecord,
    revision: u64,
    keepers: [Keeper; 2],
    /// The holder of each pool occupies a slot of the VM.
    occupied: [bool; 2],
    listed: usize,
    changes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Keeper {
    term: u64,
    /// The record as this keeper last read it.
    known: VmRecord,
    known_revision: u64,
    /// The ledger shows that the holder may occupy a slot.
    lent: bool,
    /// A new keeper does not know what its predecessor lent.
    certain: bool,
    /// A write on its way: the revision it compares and the term it was made under.
    write: Option<(u64, u64, VmRecord)>,
}

const NAMES: [&str; 2] = ["a", "b"];
const MAX_CHANGES: u8 = 5;

fn start() -> World {
    let record = VmRecord::serving(pool("a"));
    let keeper = |lent| Keeper {
        term: 1,
        known: record.clone(),
        known_revision: 1,
        lent,
        certain: true,
        write: None,
    };
    World {
        record: record.clone(),
        revision: 1,
        keepers: [keeper(true), keeper(false)],
        occupied: [true, false],
        listed: 1,
        changes: 0,
    }
}

fn successors(world: &World, wait_for_drain: bool) -> Vec<World> {
    let mut next = Vec::new();
    for (i, name) in NAMES.into_iter().enumerate() {
        let own = pool(name);
        let mut push = |change: &dyn Fn(&mut World)| {
            let mut after = world.clone();
            change(&mut after);
            if after != *world {
                next.push(after);
            }
        };
        // The watch brings the record.
        push(&|w| {
            w.keepers[i].known = w.record.clone();
            w.keepers[i].known_revision = w.revision;
        });
        // The keeper lends a slot of a VM that serves its pool, as far as it knows.
        push(&|w| {
            let keeper = &mut w.keepers[i];
            if keeper.known.pool == own && keeper.known.takes_requests() && keeper.certain {
                keeper.lent = true;
                w.occupied[i] = true;
            }
        });
        // The holder gives the slot back and reports it.
        push(&|w| {
            let keeper = &w.keepers[i];
            let may_keep = keeper.known.pool == own && keeper.known.takes_requests();
            if !may_keep {
                w.occupied[i] = false;
                w.keepers[i].lent = false;
            }
        });
        // Another node becomes keeper; its ledger is uncertain until the holder has reported.
        push(&|w| {
            if w.changes < MAX_CHANGES {
                w.changes += 1;
                let keeper = &mut w.keepers[i];
                keeper.term += 1;
                keeper.lent = false;
                keeper.certain = false;
                keeper.known = w.record.clone();
                keeper.known_revision = w.revision;
            }
        });
        push(&|w| {
            w.keepers[i].certain = true;
            w.keepers[i].lent = w.occupied[i];
        });
        // The keeper derives a step; the write reaches the store any time later.
        push(&|w| {
            let keeper = &mut w.keepers[i];
            if keeper.known.pool != own || keeper.write.is_some() {
                return;
            }
            let drained = keeper.certain && !keeper.lent;
            let observed = VmObservation {
                listed_pool: Some(pool(NAMES[w.listed])),
                ..seen(drained || !wait_for_drain, 0)
            };
            if let NextStep::Write(record) = next_step(&keeper.known, &observed) {
                keeper.write = Some((keeper.known_revision, keeper.term, record));
            }
        });
        push(&|w| {
            if let Some((revision, term, record)) = w.keepers[i].write.take()
                && revision == w.revision
                && term == w.keepers[i].term
            {
                w.record = record;
                w.revision += 1;
            }
        });
        // The platform's list changes its mind.
        push(&|w| {
            if w.changes < MAX_CHANGES {
                w.changes += 1;
                w.listed = i;
            }
        });
    }
    next
}

/// Explores every interleaving; whether the VM is ever used for both pools at once.
fn used_for_both_pools(wait_for_drain: bool) -> bool {
    const MAX_WORLDS: usize = 400_000;
    let mut seen = HashSet::from([start()]);
    let mut queue = VecDeque::from([start()]);
    while let Some(world) = queue.pop_front() {
        if world.occupied == [true, true] {
            return true;
        }
        if world.revision > 6 || seen.len() > MAX_WORLDS {
            continue;
        }
        for after in successors(&world, wait_for_drain) {
            if seen.insert(after.clone()) {
                queue.push_back(after);
            }
        }
    }
    assert!(seen.len() > 1_000, "the search covered {} worlds only", seen.len());
    false
}

#[test]
fn no_interleaving_uses_a_vm_for_two_pools_at_once() {
    assert!(!used_for_both_pools(true));
}

#[test]
fn without_waiting_for_the_drain_the_search_finds_a_vm_used_for_two_pools() {
    assert!(used_for_both_pools(false));
}
