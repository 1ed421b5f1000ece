//! Explores the journal and its ownership breadth first: two nodes, one partition, one request that
//! reaches both nodes, with pauses, lapses, lost answers and crashes in every order.

use std::collections::{HashSet, VecDeque};

use indexmap::IndexMap;

use super::{
    Action, Config, Partition, Record, Segment, Span, Token, Verdict, WriteResult, recover,
    tests::intent,
};

const NODES: usize = 2;
const MAX_TERMS: u64 = 3;
const MAX_SEGMENTS: usize = 4;

/// What the store checks when it takes a segment in.
#[derive(Clone, Copy, PartialEq)]
enum Fence {
    /// The term stands and the number is free.
    TermAndNumber,
    /// Neither: the segment replaces what is there.
    Off,
}

#[derive(Clone)]
struct Node {
    /// The partition as this node sees it, with the term that it believes in.
    owner: Option<(u64, Partition)>,
    /// Writes and reads that are on their way to the store.
    calls: Vec<(u64, Call)>,
    /// The caller's request waits at this node.
    asking: Asking,
    crashed: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Call {
    Write(Segment),
    ReadBack(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Asking {
    NotYet,
    Waiting,
    /// The node was told to send the request, and has.
    Sent,
    /// The caller was told that the request was not run.
    ToldNotRun,
    /// The caller was told to ask again.
    Other,
}

#[derive(Clone)]
struct World {
    term: u64,
    owner: Option<usize>,
    segments: IndexMap<u64, Segment>,
    nodes: Vec<Node>,
    runs: u32,
}

impl World {
    fn start() -> Self {
        let node = Node { owner: None, calls: Vec::new(), asking: Asking::NotYet, crashed: false };
        Self { term: 0, owner: None, segments: IndexMap::new(), nodes: vec![node; NODES], runs: 0 }
    }

    fn key(&self) -> String {
        let nodes = self.nodes.iter().map(|node| {
            let owner = node.owner.as_ref().map(|(term, p)| {
                (*term, p.next, p.stopped, p.entries.clone(), p.pending.len(), p.writing.clone())
            });
            format!("{owner:?}{:?}{:?}{}", node.calls, node.asking, node.crashed)
        });
        let nodes: Vec<_> = nodes.collect();
        format!("{}{:?}{:?}{nodes:?}{}", self.term, self.owner, self.segments, self.runs)
    }

    /// Carries out what the partition at `i` asks for.
    fn perform(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            let term = self.nodes[i].owner.as_ref().map_or(0, |(term, _)| *term);
            match action {
                Action::Write(segment) => self.nodes[i].calls.push((term, Call::Write(segment))),
                Action::ReadBack(n) => self.nodes[i].calls.push((term, Call::ReadBack(n))),
                Action::Answer(Token(asker), verdict) => self.answer(asker, &verdict),
                Action::Durable(_) => {}
                Action::Stop => self.nodes[i].owner = None,
            }
        }
    }

    fn answer(&mut self, asker: u64, verdict: &Verdict) {
        let asker = &mut self.nodes[usize::try_from(asker).unwrap()];
        if asker.crashed || asker.asking != Asking::Waiting {
            return;
        }
        asker.asking = match verdict {
            Verdict::Recorded => Asking::Sent,
            Verdict::Refused => Asking::ToldNotRun,
            _ => Asking::Other,
        };
        if *verdict == Verdict::Recorded {
            self.runs += 1;
        }
    }

    /// One node's partition handles an event.
    fn drive(&mut self, i: usize, act: impl FnOnce(&mut Partition, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        if let Some((_, partition)) = &mut self.nodes[i].owner {
            act(partition, &mut actions);
        }
        self.perform(i, actions);
    }

    fn store_takes(&mut self, term: u64, segment: &Segment, fence: Fence) -> WriteResult {
        let free = !self.segments.contains_key(&segment.sequence);
        if fence == Fence::TermAndNumber && !(term == self.term && free) {
            return WriteResult::Fenced;
        }
        self.segments.insert(segment.sequence, segment.clone());
        WriteResult::Done
    }

    /// A caller that was told `not run` must not find that its request ran under that attempt.
    fn violated(&self) -> bool {
        self.runs > 1
    }
}

fn config() -> Config {
    Config { conclusion_delay: Span(0), ..Config::default() }
}

fn successors(world: &World, fence: Fence) -> Vec<World> {
    let mut next = Vec::new();
    let mut push = |change: &dyn Fn(&mut World)| {
        let mut after = world.clone();
        change(&mut after);
        next.push(after);
    };
    for i in 0..NODES {
        let node = &world.nodes[i];
        if node.crashed {
            continue;
        }
        // The store gives the duty to this node; the former owner may be paused and see nothing.
        if world.term < MAX_TERMS && world.owner != Some(i) {
            push(&|w| {
                w.term += 1;
                w.owner = Some(i);
                let mut segments: Vec<_> = w.segments.values().cloned().collect();
                segments.sort_by_key(|segment| segment.sequence);
                let first_free = segments.last().map_or(1, |segment| segment.sequence + 1);
                let entries = recover(IndexMap::new(), segments);
                let nonce = w.term * 1_000;
                let partition = Partition::new(config(), first_free, entries, nonce);
                w.nodes[i].owner = Some((w.term, partition));
            });
        }
        // The caller's request arrives and is taken to whoever believes to be the owner.
        if node.asking == Asking::NotYet {
            for owner in 0..NODES {
                if world.nodes[owner].owner.is_some() && !world.nodes[owner].crashed {
                    push(&|w| {
                        w.nodes[i].asking = Asking::Waiting;
                        let asker = i as u64;
                        w.drive(owner, |p, out| {
                            p.submit_intent(Token(asker), intent("a", asker), out);
                        });
                    });
                }
            }
        }
        // A call reaches the store; its answer comes back or is lost.
        if let Some((term, call)) = node.calls.first().cloned() {
            for lost in [false, true] {
                push(&|w| {
                    w.nodes[i].calls.remove(0);
                    match &call {
                        Call::Write(segment) if w.segments.len() <= MAX_SEGMENTS => {
                            let written = w.store_takes(term, segment, fence);
                            let told = if lost { WriteResult::Uncertain } else { written };
                            w.drive(i, |p, out| p.handle_write_result(segment.sequence, told, out));
                        }
                        Call::Write(_) => {}
                        Call::ReadBack(n) if !lost => {
                            let nonce = w.segments.get(n).map(|segment| segment.nonce);
                            w.drive(i, |p, out| p.handle_read_back(*n, nonce, out));
                        }
                        Call::ReadBack(_) => w.nodes[i].calls.push((term, call.clone())),
                    }
                });
            }
        }
        push(&|w| w.nodes[i].crashed = true);
    }
    next
}

/// Explores every interleaving; whether the request ran twice in any, and how many were seen.
fn explore(fence: Fence) -> (bool, usize) {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([World::start()]);
    while let Some(world) = queue.pop_front() {
        if world.violated() {
            return (true, seen.len());
        }
        for after in successors(&world, fence) {
            if seen.insert(after.key()) {
                queue.push_back(after);
            }
        }
    }
    (false, seen.len())
}

#[test]
fn no_interleaving_runs_a_request_twice() {
    let (violated, seen) = explore(Fence::TermAndNumber);

    assert!(!violated);
    assert!(seen > 1_000, "the search covered {seen} worlds only");
}

#[test]
fn without_the_fence_the_search_finds_a_request_that_ran_twice() {
    assert!(explore(Fence::Off).0);
}

#[test]
fn a_segment_that_was_refused_holds_the_intent_and_then_its_withdrawal() {
    let mut partition = Partition::new(config(), 1, IndexMap::new(), 1);
    let mut out = Vec::new();
    partition.submit_intent(Token(0), intent("a", 0), &mut out);
    let Some(Action::Write(segment)) = out.first().cloned() else { panic!("{out:?}") };

    partition.handle_write_result(1, WriteResult::Uncertain, &mut out);
    partition.handle_read_back(1, Some(segment.nonce), &mut out);

    let Some(Action::Write(second)) = out.last() else { panic!("{out:?}") };
    assert!(matches!(second.records[..], [Record::Conclusion(_)]));
}
