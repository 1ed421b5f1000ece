//! Tests of calls that come late in an instance of a worker which nobody hears, after other calls were sent or
//! the store has listed it.

use indexmap::IndexMap;
use teaselgap_core::{
    Span, Timestamp,
    job::{DrainMode, JobId, JobSpec, LogEvent, TaskId, WorkerId},
};
use teaselgap_standins::model::{CallKind, ClockDraw, Fate, LateCall, Model};

use crate::fixtures::{job_spec, long_running_job, new_model, queue, step, task_id};

/// The longest lease of the workers, in milliseconds. The owner asks for 5.5 s.
const LONGEST_LEASE_MS: u64 = 10_000;

/// Longer than each wait for an order and a lease, in milliseconds.
const LONG_MS: u64 = 40_000;

/// Time for which the owner has heard of a worker when its entry counts, in milliseconds.
const SETTLED_MS: u64 = 12_000;

/// How long the owner counts on an unanswered call, in milliseconds.
const CALL_LIFETIME_MS: u64 = 15_000;

/// Time from an order to its last copy in the model, in milliseconds.
const REPEAT_MS: u64 = 60;

/// Time from the restart of a worker until it can be reached, in milliseconds.
const REACHABLE_MS: u64 = 10;

/// How long a task that lasts may be away, in milliseconds: 6 s, and 3 s until that counts as lost.
const LASTING_AWAY_MS: u64 = 9_000;

const JOB: JobId = JobId(7);
const OTHER_JOB: JobId = JobId(8);

/// Creates a model of two workers that accept long leases and have been heard for long. The next instance of each
/// has a clock that is far behind.
fn settled_model() -> Model {
    let mut model = new_model(2);
    model.count_every_start();
    model.set_longest_lease(LONGEST_LEASE_MS);
    for id in ["w0", "w1"] {
        model.worker_mut(id).next_clock = Some(ClockDraw::Behind(1_000_000));
    }
    model.kill_owner();
    model.take_over();
    model.run_for(SETTLED_MS);
    model
}

/// Orders a long task of whose order no copy is answered before it comes `late_ms` after it. Returns the worker
/// and when the order was sent; the task runs there by its next attempt.
fn start_beside_open_order(model: &mut Model, late_ms: u64) -> (WorkerId, Timestamp) {
    let late = Fate::Late(model.now() + Span(late_ms));
    for id in ["w0", "w1"] {
        model.script_fates(id, CallKind::Start, &[late, late]);
    }
    let task = task_id(JOB, 0);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, LONG_MS)]));
    assert!(model.run_until(1_000, |model| model.ordered_worker(task).is_some()));
    let (ordered, worker) = (model.now(), model.ordered_worker(task).unwrap());
    for id in ["w0", "w1"].into_iter().filter(|id| *id != worker.as_str()) {
        model.drop_fates(id);
    }
    assert!(model.run_until(5_000, |model| runs_at(model, task).contains(&worker)));
    (worker, ordered)
}

/// Returns the workers on which a task runs.
fn runs_at(model: &Model, task: TaskId) -> Vec<WorkerId> {
    let running = model.workers().filter(|worker| worker.is_running(task));
    running.map(|worker| worker.entry.id.clone()).collect()
}

/// Runs until a moment.
fn run_to(model: &mut Model, at: Timestamp) {
    model.run_for(at.since(model.now()).0);
}

/// Restarts a worker in place, and cuts it off from the owner for good. The store lists the entry of before for
/// `kept_ms`.
fn restart_unheard(model: &mut Model, worker: &WorkerId, kept_ms: u64) {
    model.keep_entry(worker.as_str(), kept_ms);
    model.restart_worker_at(worker.as_str(), model.wall_ms(), REACHABLE_MS);
    model.make_unreachable(worker.as_str(), 3 * LONG_MS);
}

fn has_restarted(model: &Model) -> bool {
    let is_restart =
        |event: &LogEvent| matches!(event, LogEvent::Worker { change: "restarted", .. });
    model.log_events().iter().any(is_restart)
}

/// Whether a worker has left an order of a job without an answer.
fn is_noted(model: &Model, job: JobId, worker: &WorkerId) -> bool {
    let is_of_job = |event: &LogEvent| {
        let LogEvent::StartOpen { run, .. } = event else {
            return false;
        };
        run.task.job == job && run.worker == *worker
    };
    model.log_events().iter().any(is_of_job)
}

/// Guards against a task that starts elsewhere while a late copy of its order has begun it in an instance that
/// nobody hears, because another order got no answer once this one had expired.
#[test]
fn an_expired_order_is_waited_for_although_a_later_one_is_noted() {
    for noted_ms in [100, 200, 400, 550] {
        let mut model = settled_model();
        let late_ms = CALL_LIFETIME_MS - 100;
        let (worker, ordered) = start_beside_open_order(&mut model, late_ms);
        let expiry = ordered + Span(REPEAT_MS + CALL_LIFETIME_MS);

        run_to(&mut model, Timestamp(expiry.0 + noted_ms - 600 - REPEAT_MS));
        model.script_fates(worker.as_str(), CallKind::Start, &[Fate::CallLost; 8]);
        model.submit(OTHER_JOB, &queue(), job_spec(vec![step(8, 3_500, LONG_MS)]));
        model.run_for(20);
        restart_unheard(&mut model, &worker, 3 * LONG_MS);
        run_to(&mut model, expiry);
        let was_noted = is_noted(&model, OTHER_JOB, &worker);
        model.run_for(LONG_MS);

        assert!(!was_noted && is_noted(&model, OTHER_JOB, &worker), "{noted_ms}");
        assert_eq!(model.violations(), [] as [&str; 0], "{noted_ms}");
    }
}

/// The same if the store lists that instance only once the order has expired, so that the runs of the one before
/// are known to have ended.
#[test]
fn an_expired_order_is_waited_for_although_its_worker_is_listed_as_restarted() {
    let mut broken = Vec::new();
    let mut listed = 0;
    for before_ms in [200, 1_000, 2_000, 3_000] {
        for after_ms in [100, 600, 1_200, 3_000] {
            let mut model = settled_model();
            let (worker, ordered) = start_beside_open_order(&mut model, CALL_LIFETIME_MS - 100);
            let expiry = ordered + Span(REPEAT_MS + CALL_LIFETIME_MS);

            run_to(&mut model, Timestamp(expiry.0 - 100 - before_ms));
            restart_unheard(&mut model, &worker, before_ms + 100 + after_ms);
            run_to(&mut model, expiry);
            let was_known = has_restarted(&model);
            model.run_for(LONG_MS);
            listed += u32::from(!was_known && has_restarted(&model));

            if !model.violations().is_empty() {
                broken.push((before_ms, after_ms, model.violations().to_vec()));
            }
        }
    }

    println!("{} broken, {listed} listed after the expiry", broken.len());
    assert!(listed > 0);
    assert!(broken.is_empty(), "{broken:?}");
}

/// The same if another order was noted as unanswered between the expiry and that.
#[test]
fn an_expired_order_is_waited_for_although_a_later_one_is_noted_before_its_worker_is_listed_as_restarted()
 {
    let mut broken = Vec::new();
    let mut listed = 0;
    for noted_ms in [100, 200, 400, 550] {
        for after_ms in [1_000, 3_000, 6_000] {
            let mut model = settled_model();
            let (worker, ordered) = start_beside_open_order(&mut model, CALL_LIFETIME_MS - 100);
            let expiry = ordered + Span(REPEAT_MS + CALL_LIFETIME_MS);

            run_to(&mut model, Timestamp(expiry.0 + noted_ms - 600 - REPEAT_MS));
            model.script_fates(worker.as_str(), CallKind::Start, &[Fate::CallLost; 8]);
            model.submit(OTHER_JOB, &queue(), job_spec(vec![step(8, 3_500, LONG_MS)]));
            model.run_for(20);
            let kept_ms = expiry.since(model.now()).0 + after_ms;
            restart_unheard(&mut model, &worker, kept_ms);
            run_to(&mut model, expiry + Span(after_ms));
            let was_known = has_restarted(&model) || !is_noted(&model, OTHER_JOB, &worker);
            model.run_for(LONG_MS);
            listed += u32::from(!was_known && has_restarted(&model));

            if !model.violations().is_empty() {
                broken.push((noted_ms, after_ms, model.violations().to_vec()));
            }
        }
    }

    println!("{} broken, {listed} listed after the other one was noted", broken.len());
    assert!(listed > 0);
    assert!(broken.is_empty(), "{broken:?}");
}

/// Orders tasks on a worker that has been restarted without its owner's knowledge. The store lists the entry of
/// before for `kept_ms`.
fn order_on_restarted(model: &mut Model, kept_ms: u64, spec: JobSpec) {
    model.keep_entry("w0", kept_ms);
    model.restart_worker_at("w0", model.wall_ms(), REACHABLE_MS);
    model.run_for(REACHABLE_MS);
    // The hold that follows the orders leaves before their answers arrive.
    model.delay_answers("w0", [58; 8]);
    let late = Fate::Late(model.now() + Span(8_000));
    model.script_fates("w0", CallKind::Renew, &[late]);
    model.submit(JOB, &queue(), spec);
}

fn long_job() -> JobSpec {
    job_spec(vec![step(4, 4_000, LONG_MS)])
}

/// Returns how many calls of a kind `w0` has got late.
fn late_calls(model: &Model, kind: CallKind) -> usize {
    let is_late = |call: &&LateCall| call.worker.as_str() == "w0" && call.kind == kind;
    model.late_calls().iter().filter(is_late).count()
}

/// Plays such orders, and a worker that is cut off from its owner as soon as it has answered them. Each hold leaves
/// `sending_ms` after it was decided on. Returns what was broken, and in how many histories the hold came late.
fn cut_off_after_orders(kept_ms: u64, sending_ms: u64) -> (Vec<(u64, Vec<String>)>, usize) {
    let mut broken = Vec::new();
    let mut late = 0;
    for cut_ms in 40..80 {
        let mut model = settled_model();
        model.set_sending_delay(sending_ms);

        order_on_restarted(&mut model, kept_ms, long_job());
        model.run_for(cut_ms);
        model.make_unreachable("w0", 3 * LONG_MS);
        model.run_for(LONG_MS);
        late += late_calls(&model, CallKind::Renew);

        if !model.violations().is_empty() {
            broken.push((cut_ms, model.violations().to_vec()));
        }
    }
    println!("{} broken, {late} late holds", broken.len());
    (broken, late)
}

/// Guards against a task that starts elsewhere while it runs in an instance which has answered its order and was
/// cut off at once, and whose lease a late hold to the one before has prolonged.
#[test]
fn a_late_hold_prolongs_the_lease_of_an_instance_that_has_answered_an_order_only() {
    let (broken, late) = cut_off_after_orders(3 * LONG_MS, 0);

    assert!(late > 0);
    assert!(broken.is_empty(), "{broken:?}");
}

/// The same if the store lists that instance.
#[test]
fn a_late_hold_prolongs_the_lease_of_an_instance_that_has_answered_an_order_and_is_listed() {
    let (broken, late) = cut_off_after_orders(50, 0);

    assert!(late > 0);
    assert!(broken.is_empty(), "{broken:?}");
}

/// The same if each hold leaves 1 ms after it was decided on, as it may on any node: it is sent by a task of its own.
#[test]
fn a_late_hold_that_left_after_it_was_decided_on_prolongs_a_lease_all_the_same() {
    let (broken, late) = cut_off_after_orders(3 * LONG_MS, 1);

    assert!(late > 0);
    assert!(broken.is_empty(), "{broken:?}");
}

/// The same if the owner is lost with that, and the next one never hears the worker.
#[test]
fn a_late_hold_of_a_lost_owner_prolongs_the_lease_of_an_instance_that_nobody_hears() {
    let mut broken = Vec::new();
    let mut late = 0;
    for cut_ms in 40..80 {
        let mut model = settled_model();

        order_on_restarted(&mut model, 3 * LONG_MS, long_job());
        model.run_for(cut_ms);
        model.kill_owner();
        model.make_unreachable("w0", 3 * LONG_MS);
        model.run_for(200);
        model.take_over();
        model.run_for(LONG_MS);
        late += late_calls(&model, CallKind::Renew);

        if !model.violations().is_empty() {
            broken.push((cut_ms, model.violations().to_vec()));
        }
    }

    println!("{} broken, {late} late holds", broken.len());
    assert!(late > 0);
    assert!(broken.is_empty(), "{broken:?}");
}

/// Whether a run of the task is booked on the worker when its owner changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Booked {
    Run,
    /// The worker is drained, so that the task can't start there.
    Nothing,
}

/// Guards against a next owner that starts a task elsewhere because the order, a copy of which has begun it in an
/// instance that nobody hears, had expired when the cell was handed over.
#[test]
fn the_next_owner_waits_for_an_order_that_had_expired_at_the_handover() {
    let mut broken = Vec::new();
    for booked in [Booked::Run, Booked::Nothing] {
        for after_ms in [100, 1_000, 3_000, 6_000] {
            let mut model = settled_model();
            let (worker, ordered) = start_beside_open_order(&mut model, CALL_LIFETIME_MS - 100);
            let expiry = ordered + Span(REPEAT_MS + CALL_LIFETIME_MS);
            if booked == Booked::Nothing {
                let drains = IndexMap::from([(worker.clone(), DrainMode::StopAll)]);
                model.cell_mut().expect("an owner").set_drains(drains);
                model.run_for(3_000);
            }

            run_to(&mut model, Timestamp(expiry.0 - 1_000));
            restart_unheard(&mut model, &worker, 3 * LONG_MS);
            run_to(&mut model, expiry + Span(after_ms));
            model.hand_over();
            model.take_over();
            model.run_for(LONG_MS);

            if !model.violations().is_empty() {
                broken.push((booked, after_ms, model.violations().to_vec()));
            }
        }
    }

    println!("{} broken of 8", broken.len());
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against an answer that was given before an order expired and came after that.
#[test]
fn an_answer_asked_for_before_an_order_expired_says_nothing_of_the_next_instance() {
    let mut broken = Vec::new();
    for before_ms in [400, 450, 500] {
        let mut model = settled_model();
        let (worker, ordered) = start_beside_open_order(&mut model, CALL_LIFETIME_MS);
        let expiry = ordered + Span(REPEAT_MS + CALL_LIFETIME_MS);
        let drains = IndexMap::from([(worker.clone(), DrainMode::StopAll)]);
        model.cell_mut().expect("an owner").set_drains(drains);
        model.run_for(3_000);

        // Each hold of an open order's worker follows 250 ms after the one before.
        run_to(&mut model, Timestamp(expiry.0 - before_ms));
        model.delay_answers(worker.as_str(), [550; 1]);
        run_to(&mut model, Timestamp(expiry.0 - 120));
        restart_unheard(&mut model, &worker, 3 * LONG_MS);
        model.run_for(LONG_MS);

        if !model.violations().is_empty() {
            broken.push((before_ms, model.violations().to_vec()));
        }
    }

    println!("{} broken of 3", broken.len());
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against a task that starts elsewhere while it runs in an instance in which a late copy of its order has
/// begun it, and whose lease a late hold to the one before has prolonged.
#[test]
fn a_late_hold_prolongs_the_lease_of_an_instance_in_which_a_late_copy_has_begun_a_task() {
    let mut broken = Vec::new();
    for hold_ms in [2_000, 6_000, 10_000] {
        let mut model = settled_model();
        let (worker, ordered) = start_beside_open_order(&mut model, CALL_LIFETIME_MS - 100);
        let expiry = ordered + Span(REPEAT_MS + CALL_LIFETIME_MS);

        run_to(&mut model, Timestamp(expiry.0 - 2_000));
        model.script_fates(worker.as_str(), CallKind::Renew, &[Fate::Late(expiry + Span(hold_ms))]);
        model.run_for(500);
        restart_unheard(&mut model, &worker, 3 * LONG_MS);
        model.run_for(2 * LONG_MS);

        if !model.violations().is_empty() {
            broken.push((hold_ms, model.violations().to_vec()));
        }
    }

    println!("{} broken of 3", broken.len());
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards a task that lasts against a wait for an order that has expired: it may not be away for that long.
#[test]
fn a_task_that_lasts_waits_for_no_expired_order_of_a_worker_that_is_listed_as_restarted() {
    for after_ms in [100, 1_000] {
        let mut model = settled_model();
        for id in ["w0", "w1"] {
            model.script_fates(id, CallKind::Start, &[Fate::CallLost; 2]);
        }
        let task = task_id(JOB, 0);
        model.submit(JOB, &queue(), long_running_job(1, 1));
        assert!(model.run_until(1_000, |model| model.ordered_worker(task).is_some()));
        let (ordered, worker) = (model.now(), model.ordered_worker(task).unwrap());
        for id in ["w0", "w1"].into_iter().filter(|id| *id != worker.as_str()) {
            model.drop_fates(id);
        }
        assert!(model.run_until(5_000, |model| runs_at(model, task).contains(&worker)));
        let expiry = ordered + Span(REPEAT_MS + CALL_LIFETIME_MS);

        // No answer is asked for after the expiry.
        run_to(&mut model, Timestamp(expiry.0 - 50));
        restart_unheard(&mut model, &worker, 50 + after_ms);
        let starts = model.start_count(task);
        let runs_again = model.run_until(LASTING_AWAY_MS, |model| model.start_count(task) > starts);

        assert!(runs_again, "{after_ms}");
        assert_eq!(model.violations(), [] as [&str; 0], "{after_ms}");
    }
}

/// Guards a task that lasts against a wait for a hold without an answer.
#[test]
fn a_task_that_lasts_waits_for_no_late_hold() {
    let mut waited = Vec::new();
    let mut late = 0;
    for cut_ms in 75..130 {
        let mut model = settled_model();

        order_on_restarted(&mut model, 3 * LONG_MS, long_running_job(4, 4));
        model.run_for(cut_ms);
        model.make_unreachable("w0", 3 * LONG_MS);
        let began = model.now();
        let tasks = (0..4).map(|index| task_id(JOB, index));
        let tasks: Vec<TaskId> =
            tasks.filter(|task| runs_at(&model, *task).contains(&"w0".into())).collect();
        let run_again = |model: &Model| tasks.iter().all(|task| model.start_count(*task) > 1);
        assert!(model.run_until(LONG_MS, run_again), "{cut_ms}");
        waited.push(model.now().since(began).0);
        late += late_calls(&model, CallKind::Renew);
    }

    println!("{waited:?}, {late} late holds");
    assert!(late > 0);
    assert!(waited.iter().all(|ms| *ms <= LONGEST_LEASE_MS * 103 / 100 + 1_000), "{waited:?}");
}

/// A silent worker's run, answered only at the second copy of its order: the first one may still begin it in an
/// instance that nobody hears.
#[test]
fn a_late_first_copy_begins_a_task_anew_that_the_second_one_has_started() {
    for late_ms in [2_000, 6_000, 10_000, 14_000] {
        let mut model = settled_model();
        let late = Fate::Late(model.now() + Span(late_ms));
        for id in ["w0", "w1"] {
            model.script_fates(id, CallKind::Start, &[late]);
        }
        let task = task_id(JOB, 0);
        model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, LONG_MS)]));
        assert!(model.run_until(1_000, |model| !runs_at(model, task).is_empty()));
        let worker = runs_at(&model, task).remove(0);
        model.run_for(1_000);

        restart_unheard(&mut model, &worker, 3 * LONG_MS);
        model.run_for(LONG_MS);

        assert_eq!(model.violations(), [] as [&str; 0], "{late_ms}");
    }
}

/// How long after its last run a task that lasts counts as lost, in milliseconds.
const LOST_MS: u64 = 9_000;

/// For how long a task that lasts is away whose order's copy was lost and has expired, and whose worker restarts
/// `after_ms` after that, is never heard again, and is listed `kept_ms` later.
fn lasting_away_ms(after_ms: u64, kept_ms: u64) -> u64 {
    let mut model = settled_model();
    let task = task_id(JOB, 0);
    for id in ["w0", "w1"] {
        model.script_fates(id, CallKind::Start, &[Fate::CallLost; 2]);
    }
    model.submit(JOB, &queue(), long_running_job(1, 0));
    assert!(model.run_until(5_000, |model| model.ordered_worker(task).is_some()));
    let ordered = model.now();
    for id in ["w0", "w1"] {
        model.drop_fates(id);
    }
    assert!(model.run_until(CALL_LIFETIME_MS, |model| !runs_at(model, task).is_empty()));
    run_to(&mut model, ordered + Span(REPEAT_MS + CALL_LIFETIME_MS + after_ms));
    let [worker] = runs_at(&model, task).try_into().expect("one run");

    restart_unheard(&mut model, &worker, kept_ms);
    let lost = model.now();
    assert!(model.run_until(LONG_MS, |model| !runs_at(model, task).is_empty()));
    model.now().since(lost).0
}

/// Guards against a task that lasts and waits for what an expired order may have begun.
#[test]
fn a_task_that_lasts_is_not_lost_although_its_worker_is_listed_as_restarted_after_its_order_expired()
 {
    let mut away = Vec::new();
    for after_ms in [100, 1_000, 3_000, 6_000, 9_000] {
        away.extend(
            [100, 600, 3_000]
                .map(|kept_ms| (lasting_away_ms(after_ms, kept_ms), after_ms, kept_ms)),
        );
    }

    let too_long = away.iter().filter(|one| one.0 > LOST_MS).count();
    println!("too long in {too_long} of {}: {away:?}", away.len());
    assert_eq!(too_long, 0, "{away:?}");
}
