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
