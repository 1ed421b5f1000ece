//! Refusals by fencing tokens that an owner may take for those by its own later calls.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use teaselgap_core::{
    Epoch, Span, Timestamp,
    job::{
        Action, Cell, CellConfig, EndKind, Fence, FencedCall, HoldReport, JobId, ListedRun,
        LogEvent, RecoveredLog, RunEnd, StartAnswer, StartOrder, StartOutcome, TaskId, TermClaim,
        Token,
    },
};
use teaselgap_standins::model::{Afterlife, Model, OWNER_TTL, cell_config};

use crate::fixtures::{
    job_spec, new_model_with_valid_late_orders, queue, queue_config, service, step, worker,
};

const JOB: JobId = JobId(7);

const CANCELLED: JobId = JobId(8);

/// Longer than an earlier owner is permitted to act, in milliseconds.
const LONG_MS: u64 = 15_000;

/// Time within which an owner that a worker has refused for a later one ends, in milliseconds. It holds a
/// worker with runs every 60 ms, and one that has refused a start order at once.
const NOTICE_MS: u64 = 500;

fn refused_starts(model: &Model) -> usize {
    let is_refusal = |event: &&LogEvent| matches!(event, LogEvent::StartFailed { reason, .. } if reason.contains("outranked"));
    model.log_events().iter().filter(is_refusal).count()
}

/// Guards against an owner that takes the refusals of its holds by a later owner for those by its own start
/// orders, and goes on for as long as it has tasks to start.
#[test]
fn an_owner_with_tasks_to_start_ends_once_a_worker_has_refused_it_for_a_later_one() {
    let (mut spans, mut refused) = (Vec::new(), 0);
    for (tasks, cut_ms) in [(100, 10), (400, 10), (400, 200), (1_000, 10), (1_000, 200)] {
        let mut model = new_model_with_valid_late_orders(1);
        model.run_for(OWNER_TTL.0);
        model.submit(JOB, &queue(), job_spec(vec![step(tasks, 1_000, 300)]));
        model.run_for(cut_ms);
        model.cut_off_owner(Afterlife { acts_for_ms: LONG_MS, paused_ms: 0, late_ms: 0 });
        model.take_over();

        // The later owner orders nothing before this time is over, so that all refusals are of the earlier one.
        let (mut first, mut last) = (None, None);
        for _ in 0..OWNER_TTL.0 / 5 {
            let before = refused_starts(&model);
            model.run_for(5);
            if refused_starts(&model) > before {
                first = first.or(Some(model.now()));
                last = Some(model.now());
            }
        }
        let span = first.zip(last).map_or(Span(0), |(first, last)| last.since(first));
        println!(
            "{tasks} tasks, cut after {cut_ms}: {} starts refused within {} ms",
            refused_starts(&model),
            span.0
        );
        spans.push(span.0);
        refused += refused_starts(&model);
    }

    assert!(refused > 0, "nothing was refused");
    assert!(spans.iter().all(|span| *span <= NOTICE_MS), "{spans:?}");
}

/// Reading of the old life's clock at the beginning, and the start of each life.
const OLD_CLOCK_MS: u64 = 400_000;
const OLD_LIFE: u64 = 1;
const NEXT_LIFE: u64 = 1_700_000_020_000;

fn report(clock_ms: u64, started_wall_ms: u64) -> HoldReport {
    HoldReport {
        clock_ms,
        started_wall_ms,
        running: Vec::new(),
        ends: Vec::new(),
        is_complete: true,
    }
}

/// A cell whose calls a test answers itself. Writes of its log are durable at once.
struct ByHand {
    cell: Cell,
    now: u64,
}

impl ByHand {
    fn new() -> Self {
        Self::with_config(cell_config())
    }

    fn with_config(cfg: CellConfig) -> Self {
        let mut cell = Cell::new(
            cfg,
            (service(), Epoch(3)),
            RecoveredLog::default(),
            &TermClaim::unseen(Timestamp(10_000)),
            (Timestamp(10_000), 1_700_000_010_000),
        );
        cell.set_queues(IndexMap::from([(queue(), queue_config())]));
        Self { cell, now: 10_000 }
    }

    /// Lets the owner decide after 5 ms, and returns what it has decided on.
    fn tick(&mut self) -> Vec<Action> {
        self.now += 5;
        let now = Timestamp(self.now);
        self.cell.tick(now, 1_700_000_000_000 + self.now);
        if let Some(write) = self.cell.take_write(now) {
            self.cell.on_segment_written(write.sequence, now);
        }
        self.cell.take_actions()
    }

    fn clock(&self) -> u64 {
        OLD_CLOCK_MS + self.now - 10_000
    }
}

/// Guards against an owner that holds its start orders back once the first segment of its term is durable,
/// until each worker has answered another hold.
#[test]
fn the_first_durable_segment_of_a_term_holds_no_start_order_back() {
    const WRITE_TURNS: u64 = 4;
    let mut owner = ByHand::new();
    let id = worker(0).entry.id;
    owner.cell.update_workers(vec![worker(0).entry], true, Timestamp(owner.now));
    let time = (Timestamp(owner.now), 1_700_000_000_000 + owner.now);
    owner.cell.submit(Token(1), (JOB, queue()), job_spec(vec![step(1, 1_000, 300)]), time);
    let mut writes = Vec::new();
    let (mut is_durable, mut has_started) = (false, false);

    for turn in 0..40 {
        owner.now += 5;
        let now = Timestamp(owner.now);
        owner.cell.tick(now, 1_700_000_000_000 + owner.now);
        writes.extend(owner.cell.take_write(now).map(|write| (turn + WRITE_TURNS, write.sequence)));
        if let Some((_, sequence)) = writes.pop_if(|(at, _)| *at <= turn) {
            owner.cell.on_segment_written(sequence, now);
            is_durable = true;
        }
        for action in owner.cell.take_actions() {
            match action {
                // No hold after that is answered.
                Action::Hold { .. } if !is_durable => {
                    let answer = report(owner.clock(), OLD_LIFE);
                    owner.cell.on_hold_answer(&id, now, Some(answer), now);
                }
                Action::Start(..) => has_started = true,
                _ => {}
            }
        }
    }

    assert!(is_durable);
    assert!(has_started);
}

/// Guards against start orders that wait as long as a hold may wait for a run to end.
#[test]
fn the_hold_after_a_refused_one_is_answered_at_once() {
    let mut owner = ByHand::new();
    let id = worker(0).entry.id;
    owner.cell.update_workers(vec![worker(0).entry], true, Timestamp(owner.now));
    let time = (Timestamp(owner.now), 1_700_000_000_000 + owner.now);
    owner.cell.submit(Token(1), (JOB, queue()), job_spec(vec![step(1, 1_000, 60_000)]), time);
    let mut running = Vec::new();
    let (mut is_refused, mut next_wait) = (false, None);

    for _ in 0..400 {
        for action in owner.tick() {
            let now = Timestamp(owner.now);
            match action {
                Action::Start(_, order) => {
                    let run = (order.task, order.attempt);
                    running.push(ListedRun {
                        task: order.task,
                        attempt: order.attempt,
                        checkpoint: None,
                        progress_percent: 1,
                        tail_ms_or_cpu: 0,
                    });
                    owner.cell.on_start_answer(&id, run, StartOutcome::Started, now);
                }
                Action::Hold { wait, .. } if is_refused => next_wait = next_wait.or(Some(wait)),
                Action::Hold { wait, .. } if wait > Span(0) => {
                    is_refused = true;
                    owner.cell.on_hold_outranked(&id, now);
                }
                Action::Hold { .. } => {
                    let list =
                        HoldReport { running: running.clone(), ..report(owner.clock(), OLD_LIFE) };
                    owner.cell.on_hold_answer(&id, now, Some(list), now);
                }
                _ => {}
            }
        }
    }

    assert_eq!(next_wait, Some(Span(0)));
}

enum Event {
    Hold { fence: Fence, lease_end: Option<u64>, last_seen: u64, sent: u64 },
    Start { fence: Fence, order: StartOrder },
    Held { fence: Fence, sent: u64, report: Option<HoldReport> },
    Started { run: (TaskId, u32), outcome: StartOutcome },
}

/// A worker that takes `hold_ms` to get a hold and 1 ms to get a start order, as if each hold took a new
/// connection.
#[derive(Default)]
struct Far {
    fence: Fence,
    runs: Vec<(TaskId, u32, u64)>,
    ends: Vec<RunEnd>,
    ended: u64,
    lease_end: u64,
}

/// What a play of an owner and a far worker shows.
#[derive(Debug, Default)]
struct Shown {
    holds: u32,
    refused_holds: u32,
    starts: u32,
    refused_starts: u32,
    /// The longest time from the first refusal of a hold since one was answered to the next answer.
    longest_refusal: u64,
    least_lease: Option<u64>,
    lapsed: usize,
}

#[expect(clippy::too_many_lines, reason = "a play, one event after the other")]
fn play(hold_ms: u64, (tasks, cpu_milli, ms): (u32, u64, u64)) -> Shown {
    let mut owner = ByHand::new();
    let id = worker(0).entry.id;
    owner.cell.update_workers(vec![worker(0).entry], true, Timestamp(owner.now));
    let mut far = Far::default();
    let mut events: BTreeMap<(u64, u64), Event> = BTreeMap::new();
    let mut count = 0;
    let mut shown = Shown::default();
    let mut refused_since = None;
    for turn in 0..4_000_u64 {
        if turn == 100 {
            let time = (Timestamp(owner.now), 1_700_000_000_000 + owner.now);
            owner.cell.submit(
                Token(1),
                (JOB, queue()),
                job_spec(vec![step(tasks, cpu_milli, ms)]),
                time,
            );
        }
        let actions = owner.tick();
        let now = owner.now;
        for action in actions {
            count += 1;
            match action {
                Action::Hold { lease_end, last_seen, fence, .. } => {
                    events.insert(
                        (now + hold_ms, count),
                        Event::Hold { fence, lease_end, last_seen, sent: now },
                    );
                }
                Action::Start(_, order) => {
                    let fence = owner.cell.fence_call(&id, FencedCall::Start);
                    events.insert((now + 1, count), Event::Start { fence, order });
                }
                _ => {}
            }
        }
        while let Some(entry) = events.first_entry() {
            let at = entry.key().0;
            if at > now + 4 {
                break;
            }
            let event = entry.remove();
            count += 1;
            let clock = OLD_CLOCK_MS + at - 10_000;
            let (over, alive): (Vec<_>, Vec<_>) =
                far.runs.drain(..).partition(|run| run.2 <= clock);
            far.runs = alive;
            for (task, attempt, _) in over {
                far.ended += 1;
                far.ends.push(RunEnd {
                    number: far.ended,
                    task,
                    attempt,
                    kind: EndKind::Done,
                    checkpoint: None,
                });
            }
            if !far.runs.is_empty() {
                let left = far.lease_end.saturating_sub(clock);
                shown.least_lease = Some(shown.least_lease.map_or(left, |least| least.min(left)));
                if left == 0 {
                    shown.lapsed += far.runs.len();
                    far.runs.clear();
                }
            }
            match event {
                Event::Hold { fence, lease_end, last_seen, sent } => {
                    shown.holds += 1;
                    let report = (fence >= far.fence).then(|| {
                        far.fence = fence;
                        far.lease_end =
                            far.lease_end.max(lease_end.unwrap_or(0).min(clock + 6_000));
                        far.ends.retain(|end| end.number > last_seen);
                        let running = far.runs.iter().map(|&(task, attempt, _)| ListedRun {
                            task,
                            attempt,
                            checkpoint: None,
                            progress_percent: 50,
                            tail_ms_or_cpu: 0,
                        });
                        HoldReport {
                            clock_ms: clock,
                            started_wall_ms: OLD_LIFE,
                            running: running.collect(),
                            ends: far.ends.iter().take(500).cloned().collect(),
                            is_complete: far.ends.len() < 500,
                        }
                    });
                    events.insert((at + 1, count), Event::Held { fence, sent, report });
                }
                Event::Start { fence, order } => {
                    shown.starts += 1;
                    let run = (order.task, order.attempt);
                    let outcome = if fence < far.fence {
                        shown.refused_starts += 1;
                        StartOutcome::Outranked
                    } else {
                        far.fence = fence;
                        far.lease_end = far.lease_end.max(order.lease_end.min(clock + 6_000));
                        far.runs.push((order.task, order.attempt, clock + ms));
                        StartOutcome::Started
                    };
                    events.insert((at + 1, count), Event::Started { run, outcome });
                }
                Event::Held { fence, sent, report } => {
                    if report.is_none() {
                        shown.refused_holds += 1;
                        refused_since = refused_since.or(Some(at));
                        assert!(
                            owner.cell.is_outranked(&id, fence),
                            "an own refusal is taken for a later owner's"
                        );
                        owner.cell.on_hold_outranked(&id, Timestamp(at));
                    } else {
                        let refusal = refused_since.take().map_or(0, |since| at - since);
                        shown.longest_refusal = shown.longest_refusal.max(refusal);
                        owner.cell.on_hold_answer(&id, Timestamp(sent), report, Timestamp(at));
                    }
                }
                Event::Started { run, outcome } => {
                    owner.cell.on_start_answer(&id, run, outcome, Timestamp(at));
                }
            }
        }
    }
    shown
}

/// Guards against holds that start orders outrank again and again, so that ends are not read and leases
/// lapse.
#[test]
fn start_orders_that_overtake_holds_keep_no_worker_from_answering() {
    let (mut refusals, mut refused) = (Vec::new(), 0);
    for hold_ms in [1, 3, 8, 20] {
        for tasks in [(400, 1_000, 300), (3_000, 100, 300), (6_000, 20, 300), (6_000, 20, 5_000)] {
            let shown = play(hold_ms, tasks);
            println!("holds take {hold_ms} ms, {tasks:?}: {shown:?}");
            assert_eq!(shown.lapsed, 0);
            refusals.push(shown.longest_refusal);
            refused += shown.refused_holds;
        }
    }
    assert!(refused > 0, "nothing was refused");
    // A worker counts as silent after 2,500 ms, and its lease is renewed after half of 5,500 ms.
    assert!(refusals.iter().all(|refusal| *refusal <= 2_500), "refused for {refusals:?}");
}

/// The lease that an owner grants, and the longest one of a worker, in milliseconds.
const LEASE_MS: u64 = 6_000;
const MAX_LEASE_MS: u64 = 10_000;

/// Guards against a run that outlives what the owner knows of its lease, because a hold for the life before
/// has prolonged it in the next one.
#[test]
fn a_hold_that_was_decided_on_before_a_restart_was_known_prolongs_no_lease_of_the_next_life() {
    let without = overlap_after_restart(false);
    let with = overlap_after_restart(true);

    assert_eq!((without, with), (0, 0), "milliseconds of two runs at once");
}

/// Plays a restart that becomes known between the moment when a hold is decided on and that when it leaves, if
/// `leaves` is set. Returns for how long the run of the next life goes on after its task has started elsewhere.
#[expect(clippy::too_many_lines, reason = "a play, one event after the other")]
fn overlap_after_restart(leaves: bool) -> u64 {
    let (lease, max_lease) = (Span(LEASE_MS), Span(MAX_LEASE_MS));
    let mut owner = ByHand::with_config(CellConfig { lease, max_lease, ..cell_config() });
    let id = worker(0).entry.id;
    owner.cell.update_workers(vec![worker(0).entry], true, Timestamp(owner.now));
    // The next life: its birth, the highest token that it has seen, its lease and its run.
    let mut born = None;
    let (mut seen, mut lease_end) = (Fence::default(), 0_u64);
    let mut run: Option<(TaskId, u32)> = None;
    let (mut is_stopped, mut under_way, mut is_cut_off) = (false, None, false);
    let mut first: Option<(TaskId, u32)> = None;
    let mut cut_at = u64::MAX;
    for turn in 0..12_000 {
        // No lease of an owner before this one goes on then. The first job is cancelled, and its run's stop
        // gets no answer, so that two holds may be under way.
        if turn == 3_000 {
            let spec = job_spec(vec![step(1, 1_000, 60_000)]);
            let time = (Timestamp(owner.now), 1_700_000_000_000 + owner.now);
            owner.cell.submit(Token(1), (CANCELLED, queue()), spec, time);
        }
        if turn == 3_100 {
            owner.cell.cancel(Token(2), CANCELLED, Timestamp(owner.now));
        }
        if turn == 3_105 {
            let spec = job_spec(vec![step(1, 1_000, 60_000)]);
            let time = (Timestamp(owner.now), 1_700_000_000_000 + owner.now);
            owner.cell.submit(Token(3), (JOB, queue()), spec, time);
        }
        // The worker's list has settled what is known of the earlier life by then.
        is_cut_off |= owner.now >= cut_at;
        if is_cut_off && turn % 100 == 0 {
            let entry = worker(1).entry;
            owner.cell.update_workers(vec![entry], true, Timestamp(owner.now));
        }
        for action in owner.tick() {
            let at = Timestamp(owner.now);
            match action {
                Action::Start(to, _) if to != id => {
                    let end = born.unwrap_or(0) + lease_end;
                    println!("starts elsewhere at {}, the lease ends at {end}", owner.now);
                    return end.saturating_sub(owner.now);
                }
                Action::Hold { worker: to, .. } if to != id => {
                    let answer = report(owner.clock(), OLD_LIFE);
                    owner.cell.on_hold_answer(&to, at, Some(answer), at);
                }
                Action::Start(_, order) => {
                    let fence = owner.cell.fence_call(&id, FencedCall::Start);
                    let named = (order.task, order.attempt);
                    if let Some(born) = born {
                        assert!(fence >= seen);
                        (seen, run, cut_at) = (fence, Some(named), owner.now + 600);
                        let clock = owner.now - born;
                        lease_end = lease_end.max(order.lease_end.min(clock + MAX_LEASE_MS));
                        println!(
                            "starts at {}, lease sent until {}",
                            owner.now,
                            born + order.lease_end
                        );
                        let outcome = StartOutcome::Started;
                        let answer =
                            StartAnswer { outcome, clock_ms: Some(clock), last_sent: Some(at) };
                        owner.cell.on_start_answer(&id, named, answer, at);
                    } else {
                        if named.0.job == JOB {
                            // The worker is about to restart.
                            owner.cell.on_start_answer(
                                &id,
                                named,
                                StartOutcome::Refused("room"),
                                at,
                            );
                            continue;
                        }
                        first = Some(named);
                        let clock_ms = Some(owner.clock());
                        let outcome = StartOutcome::Started;
                        let answer = StartAnswer { outcome, clock_ms, last_sent: Some(at) };
                        owner.cell.on_start_answer(&id, named, answer, at);
                    }
                }
                Action::Stop(_, task, attempt) => {
                    owner.cell.fence_call(&id, FencedCall::Run);
                    is_stopped = true;
                    let is_confirmed = born.is_some() && !is_cut_off;
                    owner.cell.on_stop_answer(&id, (task, attempt), is_confirmed, (at, at));
                }
                Action::Hold { lease_end: asked, fence, .. } => {
                    if is_stopped && under_way.is_none() {
                        under_way = Some(at);
                        continue;
                    }
                    if let (Some(sent), None) = (under_way, born) {
                        // This hold's task has not run yet when the answer to the first one comes.
                        let (life, answer) = (owner.now - 20, report(20, NEXT_LIFE));
                        born = Some(life);
                        owner.cell.on_hold_answer(&id, sent, Some(answer), at);
                        if !leaves {
                            continue;
                        }
                    }
                    // The host asks at the moment of sending.
                    if owner.cell.is_outranked(&id, fence) {
                        owner.cell.on_hold_not_sent(&id, at);
                        continue;
                    }
                    let clock = born.map_or(owner.clock(), |born| owner.now - born);
                    if fence < seen || is_cut_off {
                        owner.cell.on_hold_answer(&id, at, None, at);
                        continue;
                    }
                    if born.is_some() {
                        seen = fence;
                        lease_end = lease_end.max(asked.unwrap_or(0).min(clock + MAX_LEASE_MS));
                    }
                    let started = if born.is_some() { NEXT_LIFE } else { OLD_LIFE };
                    let listed = if born.is_none() { first } else { run };
                    let running = listed.map(|(task, attempt)| ListedRun {
                        task,
                        attempt,
                        checkpoint: None,
                        progress_percent: 1,
                        tail_ms_or_cpu: 0,
                    });
                    let running = running.into_iter().collect();
                    let answer = HoldReport { running, ..report(clock, started) };
                    owner.cell.on_hold_answer(&id, at, Some(answer), at);
                }
                _ => {}
            }
        }
    }
    panic!("stopped {is_stopped}, {under_way:?}, born {born:?}, {run:?}, lease {lease_end}");
}
