//! Model checks the journal and the ownership of its partitions by breadth-first search: two nodes,
//! one partition and one request that reaches both nodes, with pauses, lease expiries, lost answers
//! and crashes in every order.

use std::collections::{HashSet, VecDeque};

use indexmap::IndexMap;

use super::{
    Action, Config, Partition, Record, Segment, Span, Token, Verdict, WriteResult, recover,
    tests::intent,
};

const NODES: usize = 2;
const MAX_TERMS: u64 = 3;
const MAX_SEGMENTS: usize = 4;

/// What the store checks before it writes a segment.
#[derive(Clone, Copy, PartialEq)]
enum Fence {
    /// The writer's term has not ended and the number is free.
    TermAndNumber,
    /// Nothing: the segment replaces any segment with the same number.
    Off,
}

#[derive(Clone)]
struct Node {
    /// The partition as this node sees it, with the term that the node believes to own; `None` if
    /// it does not believe to be the owner.
    owner: Option<(u64, Partition)>,
    /// Writes and reads that have not reached the store, with the term in which they were issued.
    calls: Vec<(u64, Call)>,
    /// The state of the caller whose request arrives at this node.
    caller: CallerState,
    crashed: bool,
}

/// A call of the store.
#[derive(Clone, Debug, PartialEq)]
enum Call {
    Write(Segment),
    ReadBack(u64),
}

/// What became of the caller's request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallerState {
    NotYet,
    Waiting,
    /// The node was told to send the request and has sent it.
    Sent,
    /// The caller was told that the request was not run.
    ToldNotRun,
    /// The request was known already, or its id was used with another body.
    Other,
}

#[derive(Clone)]
struct SystemState {
    term: u64,
    owner: Option<usize>,
    segments: IndexMap<u64, Segment>,
    nodes: Vec<Node>,
    /// How often a node sent the request.
    runs: u32,
}

impl SystemState {
    fn start() -> Self {
        let node =
            Node { owner: None, calls: Vec::new(), caller: CallerState::NotYet, crashed: false };
        Self { term: 0, owner: None, segments: IndexMap::new(), nodes: vec![node; NODES], runs: 0 }
    }

    /// Equal for equal states; identifies the states that were visited.
    fn key(&self) -> String {
        let nodes = self.nodes.iter().map(|node| {
            let owner = node.owner.as_ref().map(|(term, p)| {
                (
                    *term,
                    p.next_sequence,
                    p.stopped,
                    p.entries.clone(),
                    p.pending.len(),
                    p.in_flight.clone(),
                )
            });
            format!("{owner:?}{:?}{:?}{}", node.calls, node.caller, node.crashed)
        });
        let nodes: Vec<_> = nodes.collect();
        format!("{}{:?}{:?}{nodes:?}{}", self.term, self.owner, self.segments, self.runs)
    }

    /// Carries out the actions of the partition at node `i`.
    fn perform(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            let term = self.nodes[i].owner.as_ref().map_or(0, |(term, _)| *term);
            match action {
                Action::Write(segment) => self.nodes[i].calls.push((term, Call::Write(segment))),
                Action::ReadBack(n) => self.nodes[i].calls.push((term, Call::ReadBack(n))),
                Action::Answer(Token(node), verdict) => self.answer(node, &verdict),
                Action::Durable(_) => {}
                Action::Stop => self.nodes[i].owner = None,
            }
        }
    }

    /// Delivers a verdict to the node that submitted the intent.
    fn answer(&mut self, submitter: u64, verdict: &Verdict) {
        let submitter = &mut self.nodes[usize::try_from(submitter).unwrap()];
        if submitter.crashed || submitter.caller != CallerState::Waiting {
            return;
        }
        submitter.caller = match verdict {
            Verdict::Recorded => CallerState::Sent,
            Verdict::Refused => CallerState::ToldNotRun,
            _ => CallerState::Other,
        };
        if *verdict == Verdict::Recorded {
            self.runs += 1;
        }
    }

    /// Lets the partition at node `i` handle an event, if the node believes to be the owner.
    fn step(&mut self, i: usize, handle_event: impl FnOnce(&mut Partition, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        if let Some((_, partition)) = &mut self.nodes[i].owner {
            handle_event(partition, &mut actions);
        }
        self.perform(i, actions);
    }

    fn write_to_store(&mut self, term: u64, segment: &Segment, fence: Fence) -> WriteResult {
        let free = !self.segments.contains_key(&segment.sequence);
        if fence == Fence::TermAndNumber && !(term == self.term && free) {
            return WriteResult::Fenced;
        }
        self.segments.insert(segment.sequence, segment.clone());
        WriteResult::Done
    }

    /// Whether the request ran more than once. A caller that was told `not run` ignores any later
    /// verdict, so its request cannot run under that attempt.
    fn is_violated(&self) -> bool {
        self.runs > 1
    }
}

fn config() -> Config {
    Config { conclusion_delay: Span(0), ..Config::default() }
}

/// All states that one event can lead to.
fn successors(state: &SystemState, fence: Fence) -> Vec<SystemState> {
    let mut next = Vec::new();
    let mut add_successor = |change: &dyn Fn(&mut SystemState)| {
        let mut successor = state.clone();
        change(&mut successor);
        next.push(successor);
    };
    for i in 0..NODES {
        let node = &state.nodes[i];
        if node.crashed {
            continue;
        }
        // The store grants the duty to this node; the former owner may be paused and not notice.
        if state.term < MAX_TERMS && state.owner != Some(i) {
            add_successor(&|w| {
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
        // The caller's request arrives and is forwarded to a node that believes to be the owner.
        if node.caller == CallerState::NotYet {
            for owner in 0..NODES {
                if state.nodes[owner].owner.is_some() && !state.nodes[owner].crashed {
                    add_successor(&|w| {
                        w.nodes[i].caller = CallerState::Waiting;
                        let id = i as u64;
                        w.step(owner, |p, out| {
                            p.submit_intent(Token(id), intent("a", id), out);
                        });
                    });
                }
            }
        }
        // A call reaches the store; its answer arrives or is lost.
        if let Some((term, call)) = node.calls.first().cloned() {
            for answer_lost in [false, true] {
                add_successor(&|w| {
                    w.nodes[i].calls.remove(0);
                    match &call {
                        Call::Write(segment) if w.segments.len() <= MAX_SEGMENTS => {
                            let written = w.write_to_store(term, segment, fence);
                            let reply = if answer_lost { WriteResult::Uncertain } else { written };
                            w.step(i, |p, out| p.handle_write_result(segment.sequence, reply, out));
                        }
                        Call::Write(_) => {}
                        Call::ReadBack(n) if !answer_lost => {
                            let nonce = w.segments.get(n).map(|segment| segment.nonce);
                            w.step(i, |p, out| p.handle_read_back(*n, nonce, out));
                        }
                        Call::ReadBack(_) => w.nodes[i].calls.push((term, call.clone())),
                    }
                });
            }
        }
        add_successor(&|w| w.nodes[i].crashed = true);
    }
    next
}

/// Explores every interleaving. Returns whether the request ran more than once in any of them, and
/// how many states were visited.
fn explore(fence: Fence) -> (bool, usize) {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([SystemState::start()]);
    while let Some(state) = queue.pop_front() {
        if state.is_violated() {
            return (true, seen.len());
        }
        for successor in successors(&state, fence) {
            if seen.insert(successor.key()) {
                queue.push_back(successor);
            }
        }
    }
    (false, seen.len())
}

#[test]
fn no_interleaving_runs_a_request_twice() {
    let (is_violated, seen) = explore(Fence::TermAndNumber);

    assert!(!is_violated);
    assert!(seen > 1_000, "the search visited only {seen} states");
}

#[test]
fn without_fencing_the_search_finds_a_request_that_ran_twice() {
    assert!(explore(Fence::Off).0);
}

#[test]
fn an_intent_that_was_refused_but_written_is_concluded_as_not_run() {
    let mut partition = Partition::new(config(), 1, IndexMap::new(), 1);
    let mut out = Vec::new();
    partition.submit_intent(Token(0), intent("a", 0), &mut out);
    let Some(Action::Write(segment)) = out.first().cloned() else { panic!("{out:?}") };

    partition.handle_write_result(1, WriteResult::Uncertain, &mut out);
    partition.handle_read_back(1, Some(segment.nonce), &mut out);

    let Some(Action::Write(second)) = out.last() else { panic!("{out:?}") };
    assert!(matches!(second.records[..], [Record::Conclusion(_)]));
}
