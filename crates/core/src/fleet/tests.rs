use std::collections::{HashSet, VecDeque};

use super::*;

fn pool(name: &str) -> PoolId {
    name.parse().unwrap()
}

fn observation(drained: bool, now: u64) -> VmObservation {
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
fn a_move_cordons_then_drains_then_hands_over() {
    let serving = VmRecord::serving(pool("a"));

    let cordoned = written(next_step(&serving, &observation(false, 0)));
    let waiting = next_step(&cordoned, &observation(false, 50));
    let moved = written(next_step(&cordoned, &observation(true, 60)));

    assert!(!cordoned.takes_requests() && cordoned.pool == pool("a"));
    assert_eq!(waiting, NextStep::Wait);
    assert_eq!(moved, VmRecord::serving(pool("b")));
}

#[test]
fn a_drain_past_its_deadline_is_cancelled() {
    let plan = Plan::Drain { drain_deadline: Timestamp(100) };
    let record = VmRecord { pool: pool("b"), plan };

    let step = next_step(&record, &observation(false, 100));

    assert_eq!(step, NextStep::Write(VmRecord::serving(pool("b"))));
}

#[test]
fn maintenance_is_asked_for_until_the_vm_is_back() {
    let plan = Plan::Maintain { return_deadline: Timestamp(500) };
    let record = VmRecord { pool: pool("b"), plan };
    let back = VmObservation { maintained: true, ..observation(true, 100) };

    assert_eq!(next_step(&record, &observation(true, 100)), NextStep::AskForMaintenance);
    assert_eq!(next_step(&record, &back), NextStep::Write(VmRecord::serving(pool("b"))));
    assert_eq!(next_step(&record, &observation(true, 500)), NextStep::Failed);
}

/// One VM and two pools, each with one holder and an owner that may be replaced or paused at any
/// time; explored breadth-first.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SystemState {
    record: VmRecord,
    revision: u64,
    owners: [PoolOwner; 2],
    /// Whether the holder of each pool occupies a slot of the VM.
    occupied: [bool; 2],
    listed: usize,
    changes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PoolOwner {
    term: u64,
    /// The record as the owner last read it.
    known: VmRecord,
    known_revision: u64,
    /// Whether the ledger shows that the holder may occupy a slot.
    granted: bool,
    /// Whether the ledger is complete; a new owner does not know its predecessor's grants.
    certain: bool,
    /// A write that has not reached the store: the revision that it expects, its term and the new
    /// record.
    write: Option<(u64, u64, VmRecord)>,
}

const NAMES: [&str; 2] = ["a", "b"];
const MAX_CHANGES: u8 = 5;

fn start() -> SystemState {
    let record = VmRecord::serving(pool("a"));
    let owner = |granted| PoolOwner {
        term: 1,
        known: record.clone(),
        known_revision: 1,
        granted,
        certain: true,
        write: None,
    };
    SystemState {
        record: record.clone(),
        revision: 1,
        owners: [owner(true), owner(false)],
        occupied: [true, false],
        listed: 1,
        changes: 0,
    }
}

fn next_states(state: &SystemState, wait_for_drain: bool) -> Vec<SystemState> {
    let mut next = Vec::new();
    for (i, name) in NAMES.into_iter().enumerate() {
        let own = pool(name);
        let mut push = |change: &dyn Fn(&mut SystemState)| {
            let mut after = state.clone();
            change(&mut after);
            if after != *state {
                next.push(after);
            }
        };
        // The owner's watch delivers the record.
        push(&|s| {
            s.owners[i].known = s.record.clone();
            s.owners[i].known_revision = s.revision;
        });
        // The owner grants a slot of the VM if, as far as it knows, the VM serves its pool.
        push(&|s| {
            let owner = &mut s.owners[i];
            if owner.known.pool == own && owner.known.takes_requests() && owner.certain {
                owner.granted = true;
                s.occupied[i] = true;
            }
        });
        // The holder releases the slot and reports that.
        push(&|s| {
            let owner = &s.owners[i];
            let may_keep = owner.known.pool == own && owner.known.takes_requests();
            if !may_keep {
                s.occupied[i] = false;
                s.owners[i].granted = false;
            }
        });
        // Another node takes over as owner; its ledger is uncertain until the holder has reported.
        push(&|s| {
            if s.changes < MAX_CHANGES {
                s.changes += 1;
                let owner = &mut s.owners[i];
                owner.term += 1;
                owner.granted = false;
                owner.certain = false;
                owner.known = s.record.clone();
                owner.known_revision = s.revision;
            }
        });
        push(&|s| {
            s.owners[i].certain = true;
            s.owners[i].granted = s.occupied[i];
        });
        // The owner derives its next step; the write reaches the store at any later time.
        push(&|s| {
            let owner = &mut s.owners[i];
            if owner.known.pool != own || owner.write.is_some() {
                return;
            }
            let drained = owner.certain && !owner.granted;
            let observed = VmObservation {
                listed_pool: Some(pool(NAMES[s.listed])),
                ..observation(drained || !wait_for_drain, 0)
            };
            if let NextStep::Write(record) = next_step(&owner.known, &observed) {
                owner.write = Some((owner.known_revision, owner.term, record));
            }
        });
        push(&|s| {
            if let Some((revision, term, record)) = s.owners[i].write.take()
                && revision == s.revision
                && term == s.owners[i].term
            {
                s.record = record;
                s.revision += 1;
            }
        });
        // The platform's list puts the VM into another pool.
        push(&|s| {
            if s.changes < MAX_CHANGES {
                s.changes += 1;
                s.listed = i;
            }
        });
    }
    next
}

/// Explores every interleaving; returns true if the VM is ever used for both pools at once.
fn used_for_both_pools(wait_for_drain: bool) -> bool {
    const MAX_STATES: usize = 400_000;
    let mut seen = HashSet::from([start()]);
    let mut queue = VecDeque::from([start()]);
    while let Some(state) = queue.pop_front() {
        if state.occupied == [true, true] {
            return true;
        }
        if state.revision > 6 || seen.len() > MAX_STATES {
            continue;
        }
        for after in next_states(&state, wait_for_drain) {
            if seen.insert(after.clone()) {
                queue.push_back(after);
            }
        }
    }
    assert!(seen.len() > 1_000, "the search covered only {} states", seen.len());
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
