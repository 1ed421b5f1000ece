use proptest::prelude::*;

use super::{
    super::{InstanceOrder::*, Worker, tests::worker},
    *,
};
use crate::job::{EndKind, JobId};

/// When the lists are read that come before the one that is placed.
const READ: Timestamp = Timestamp(100_000);

/// When a list is asked for after these had been read, and while the last one was on its way.
const ASKED_SINCE: Timestamp = Timestamp(100_001);
const ASKED_BEFORE: Timestamp = Timestamp(99_990);

fn task(job: u64) -> TaskId {
    TaskId { job: JobId(job), occurrence: 0, step: 0, index: 0 }
}

/// A list of ends, each with its number and its job.
fn list(ends: &[(u64, u64)], is_complete: bool) -> HoldReport {
    let end = |&(number, job): &(u64, u64)| RunEnd {
        number,
        task: task(job),
        attempt: 1,
        kind: EndKind::Done,
        checkpoint: None,
    };
    let ends = ends.iter().map(end).collect();
    HoldReport { clock_ms: 1, started_wall_ms: 5, running: Vec::new(), ends, is_complete }
}

fn all(ends: &[(u64, u64)]) -> HoldReport {
    list(ends, true)
}

/// A worker of which these lists were read one after the other, the last one at `READ`, after calls that named the
/// numbers before them.
fn worker_with(lists: &[(u64, HoldReport)]) -> Worker {
    let mut worker = worker();
    for ((named, report), later) in lists.iter().zip((0..lists.len() as u64).rev()) {
        let now = Timestamp(READ.0 - 20 * later);
        worker.read_ends.name(*named);
        worker.read_ends.read(report, (Timestamp(now.0 - 15), now));
    }
    worker
}

#[test]
fn a_list_that_the_same_instance_may_give_is_of_that_one() {
    let listed = [(0, all(&[(1, 7), (2, 8)]))];
    let confirmed = [(0, all(&[(1, 7), (2, 8)])), (2, all(&[]))];
    let half = [(0, all(&[(1, 7), (2, 8)])), (1, all(&[(2, 8)]))];
    for (lists, next) in [
        (&[] as &[_], all(&[])),
        (&[], all(&[(40, 7)])),
        (&listed, all(&[(1, 7), (2, 8)])),
        (&listed, all(&[(1, 7), (2, 8), (3, 9)])),
        (&listed, list(&[(1, 7)], false)),
        (&confirmed, all(&[])),
        (&confirmed, all(&[(3, 7)])),
        (&half, all(&[(2, 8), (3, 9)])),
    ] {
        let worker = worker_with(lists);

        for sent in [ASKED_SINCE, ASKED_BEFORE] {
            assert_eq!(worker.place_list(&next, sent), Same, "{next:?} after {lists:?}");
        }
    }
}

#[test]
fn a_list_that_the_same_instance_cannot_give_is_of_a_later_one() {
    let listed = [(0, all(&[(1, 7), (2, 8)]))];
    let confirmed = [(0, all(&[(1, 7), (2, 8)])), (2, all(&[]))];
    let half = [(0, all(&[(1, 7), (2, 8)])), (1, all(&[(2, 8)]))];
    for (lists, next) in [
        // An end that nobody has confirmed is gone.
        (&listed as &[_], all(&[])),
        (&listed, all(&[(1, 7)])),
        (&half, all(&[])),
        // Another end has its number.
        (&listed, all(&[(1, 9), (2, 8)])),
        (&listed, list(&[(1, 9)], false)),
        // A number that is forgotten is listed again.
        (&confirmed, all(&[(1, 9)])),
        (&confirmed, all(&[(1, 9), (2, 10), (3, 11)])),
        (&half, all(&[(1, 9), (2, 8)])),
    ] {
        let worker = worker_with(lists);

        let (since, before) =
            (worker.place_list(&next, ASKED_SINCE), worker.place_list(&next, ASKED_BEFORE));

        assert_eq!((since, before), (Later, Open), "{next:?} after {lists:?}");
    }
}

/// A call that got no answer may have been carried out, so that the ends which it named may be gone.
#[test]
fn an_end_that_a_call_has_named_may_be_gone_or_still_there() {
    let mut worker = worker_with(&[(0, all(&[(1, 7), (2, 8)]))]);
    worker.read_ends.name(2);

    for next in [all(&[]), all(&[(1, 7), (2, 8)]), all(&[(3, 9)])] {
        assert_eq!(worker.place_list(&next, ASKED_SINCE), Same, "{next:?}");
    }
}

#[test]
fn a_list_that_was_cut_off_says_nothing_of_what_it_lacks() {
    let lists = [(0, list(&[(1, 7), (2, 8)], false)), (0, list(&[(1, 7)], false))];
    let worker = worker_with(&lists);

    assert_eq!(worker.place_list(&list(&[], false), ASKED_SINCE), Same);
    assert_eq!(worker.place_list(&all(&[(1, 7), (2, 8), (3, 9)]), ASKED_SINCE), Same);
    assert_eq!(worker.place_list(&all(&[(1, 7), (2, 9)]), ASKED_SINCE), Later);
}

#[test]
fn what_was_asked_for_before_namesakes_were_told_apart_is_asked_for_again() {
    let mut worker = worker();
    worker.read_ends = ListedEnds::of_namesake(READ);

    assert_eq!(worker.place_list(&all(&[(9, 7)]), ASKED_BEFORE), Open);
    assert_eq!(worker.place_list(&all(&[(9, 7)]), READ), Open);
    assert_eq!(worker.place_list(&all(&[(9, 7)]), ASKED_SINCE), Same);
}

/// Guards against a restart that is none: of two calls on the way, the one that was carried out first is answered
/// last.
#[test]
fn a_list_that_a_newer_one_has_overtaken_proves_nothing() {
    let mut worker = worker_with(&[(0, all(&[(1, 7)]))]);
    let overtaken = HoldReport { clock_ms: 1, ..all(&[]) };
    worker.listed_clock_ms = 2;
    assert_eq!(worker.place_list(&overtaken, ASKED_BEFORE), Same);

    // It shows the same millisecond, and a call on the way has named the end by now.
    worker.listed_clock_ms = 1;
    worker.read_ends.name(1);
    worker.read_ends.read(&overtaken, (ASKED_BEFORE, READ));

    assert_eq!(worker.place_list(&all(&[(1, 7)]), ASKED_SINCE), Same);
    assert_eq!(worker.place_list(&all(&[]), ASKED_SINCE), Same);
}

/// The most ends in a list of the worker that is played.
const PAGE: usize = 4;

/// How far a hold has come.
#[derive(Clone, Debug)]
enum Stage {
    Decided,
    Sent(Timestamp),
    Answered(Timestamp, HoldReport),
}

/// One instance of a worker, and its owner with the holds under way.
struct Play {
    now: Timestamp,
    worker: Worker,
    last_end: u64,
    forgotten: u64,
    last_read: u64,
    /// Whether a list that is cut off names the last ends; otherwise it names the first ones. The pages don't say which.
    lists_last: bool,
    holds: Vec<(u64, Stage)>,
}

/// What happens next in a play; the numbers say to which hold, or how far.
#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u64),
    End,
    Decide(u64),
    Send(usize),
    CarryOut(usize),
    Hear(usize),
    Lose(usize),
}

impl Play {
    fn new(lists_last: bool) -> Self {
        let (now, worker) = (Timestamp(1_000), worker());
        Self { now, worker, last_end: 0, forgotten: 0, last_read: 0, lists_last, holds: Vec::new() }
    }

    /// The list of the worker now. Its clock shows whole milliseconds.
    fn list(&self) -> HoldReport {
        let mut ends: Vec<_> = (self.forgotten + 1..=self.last_end).map(|end| (end, end)).collect();
        if self.lists_last {
            ends.drain(..ends.len().saturating_sub(PAGE));
        }
        ends.truncate(PAGE);
        HoldReport { clock_ms: self.now.0, ..list(&ends, ends.len() < PAGE) }
    }

    /// Handles an answer as `Cell::on_hold_answer` does, and returns how the worker is placed.
    fn hear(&mut self, sent: Timestamp, report: &HoldReport) -> InstanceOrder {
        let order = self.worker.place_list(report, sent);
        if order == Same && report.clock_ms >= self.worker.listed_clock_ms {
            self.worker.listed_clock_ms = report.clock_ms;
            self.worker.read_ends.read(report, (sent, self.now));
            self.last_read =
                report.ends.iter().map(|end| end.number).max().unwrap_or(0).max(self.last_read);
        }
        order
    }

    /// Takes a step, if it can be taken now. Returns how the worker is placed if an answer is heard.
    fn step(&mut self, step: Step) -> Option<InstanceOrder> {
        let pick = |index: usize, holds: &[_]| index.checked_rem(holds.len());
        match step {
            Step::Wait(ms) => self.now = self.now + crate::Span(ms),
            Step::End => self.last_end += 1,
            Step::Decide(back) => {
                let named = self.last_read.saturating_sub(back);
                self.worker.read_ends.name(named);
                self.holds.push((named, Stage::Decided));
            }
            Step::Send(index) => {
                let index = pick(index, &self.holds)?;
                if matches!(self.holds[index].1, Stage::Decided) {
                    self.holds[index].1 = Stage::Sent(self.now);
                }
            }
            Step::CarryOut(index) => {
                let index = pick(index, &self.holds)?;
                let (named, Stage::Sent(sent)) = self.holds[index].clone() else { return None };
                self.forgotten = self.forgotten.max(named.min(self.last_end));
                self.holds[index].1 = Stage::Answered(sent, self.list());
            }
            Step::Hear(index) => {
                let index = pick(index, &self.holds)?;
                let (_, Stage::Answered(sent, report)) = self.holds[index].clone() else {
                    return None;
                };
                self.holds.remove(index);
                return Some(self.hear(sent, &report));
            }
            // It is never sent, or its answer is lost.
            Step::Lose(index) => {
                let index = pick(index, &self.holds)?;
                if !matches!(self.holds[index].1, Stage::Sent(_)) {
                    self.holds.remove(index);
                }
            }
        }
        None
    }
}

fn play_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..3_u64).prop_map(Step::Wait),
        3 => Just(Step::End),
        4 => (0..3_u64).prop_map(Step::Decide),
        5 => (0..8_usize).prop_map(Step::Send),
        5 => (0..8_usize).prop_map(Step::CarryOut),
        5 => (0..8_usize).prop_map(Step::Hear),
        1 => (0..8_usize).prop_map(Step::Lose),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    /// Guards against one instance that is taken for two, whatever holds overtake each other, wait at the owner, are
    /// carried out late, or are lost, and however many fall into one millisecond. A hold that leaves next tells.
    #[test]
    fn one_instance_is_never_taken_for_two(
        lists_last in any::<bool>(),
        steps in proptest::collection::vec(play_step(), 1..120),
    ) {
        let mut play = Play::new(lists_last);
        for step in steps {
            let order = play.step(step);
            prop_assert_ne!(order, Some(Later), "{:?}", step);
        }

        play.step(Step::Wait(1));
        let sent = play.now;
        let report = play.list();

        prop_assert_eq!(play.hear(sent, &report), Same);
    }
}
