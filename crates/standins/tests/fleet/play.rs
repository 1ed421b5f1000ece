//! Plays a history.

use teaselgap_core::{
    Span, Timestamp,
    job::{FleetRecord, Wave, WorkerId},
};

use crate::{
    cell::{Cells, USUAL_DRAIN_MS},
    draw::Draw,
    history::{History, POOLS, Trouble, VMS, VMS_PER_POOL, VmChange, contains, pool, vm_id},
    judge::{Judge, Reached, Rule},
    owner::{Owner, TICK_INTERVAL, TICKS_PER_LIST, World},
    platform::{CALL_TIMEOUT, MAINTENANCE, MOVE, Platform, TAKEOVER_PAUSE},
};

/// The start of each history.
const START: Timestamp = Timestamp(100_000);

const STEP: Span = Span(20);

/// How far wall clocks may be apart for the fleet.
const WALL_CLOCK_MARGIN: Span = Span(2_500);

/// How long the fleet retries a move without an answer, or waits for a drain before it takes other VMs.
const LONGEST_WAIT_MS: u64 = 10_000;

/// How long a VM that is planned to move may take to drain.
const MOVE_DRAIN_MS: u64 = 4_000;

/// How long a refused order waits.
const RETRY_MS: u64 = 400;

/// How long the API answers, and lists are whole, before a wave must be done: what was open has taken effect and is
/// listed, and each group of `max_down` VMs has moved, drained and had its maintenance, one group after the other.
fn longest_end(history: &History) -> Span {
    let settle = TAKEOVER_PAUSE.0 + CALL_TIMEOUT.0 + WALL_CLOCK_MARGIN.0 + LONGEST_WAIT_MS;
    let tick = TICK_INTERVAL.0 * u64::from(TICKS_PER_LIST + 1);
    let drain = MOVE_DRAIN_MS.max(USUAL_DRAIN_MS);
    let group = drain + MOVE.0 + USUAL_DRAIN_MS + MAINTENANCE.0 + 2 * (tick + RETRY_MS);
    let groups = |vms: u16, max_down: u32| u64::from(vms.count_ones().div_ceil(max_down));
    let groups: u64 = history.waves.iter().map(|(_, wave)| groups(wave.vms, wave.max_down)).sum();
    Span(settle + groups * group)
}

/// A result of a play.
pub(crate) struct Played {
    pub(crate) faults: Vec<(Rule, String)>,
    pub(crate) reached: Reached,
    /// What happened, if it was to be kept.
    pub(crate) log: Vec<String>,
}

struct Play<'a> {
    history: &'a History,
    platform: Platform,
    cells: Cells,
    judge: Judge,
    waves: Vec<Wave>,
    stored: FleetRecord,
    owner: Option<Owner>,
    epoch: u64,
    /// When the next owner begins, and its clock.
    next_owner: Option<(Timestamp, u64)>,
    /// VMs that come back.
    returns: Vec<(Timestamp, usize)>,
}

/// Whether `at`, counted from the start, is in the step that begins now.
fn is_due(at: Span, now: Timestamp) -> bool {
    let elapsed = now.since(START).0;
    (elapsed..elapsed + STEP.0).contains(&at.0)
}

fn is_within(from: Span, length: Span, now: Timestamp) -> bool {
    START + from <= now && now < START + from + length
}

/// Plays a history to its end, and keeps what happened if `keeps_log`.
pub(crate) fn play(history: &History, keeps_log: bool) -> Played {
    let seed = history.seed;
    let mut platform = Platform::new(history.is_fencing, Draw::new(seed));
    for number in 0..VMS {
        platform.join(&vm_id(number), pool((number / VMS_PER_POOL).min(POOLS)), START);
    }
    let mut play = Play {
        history,
        platform,
        cells: Cells::new(Draw::new(seed ^ 1 << 40)),
        judge: Judge::new(keeps_log),
        waves: Vec::new(),
        stored: FleetRecord::default(),
        owner: None,
        epoch: 0,
        next_owner: Some((START, 500)),
        returns: Vec::new(),
    };
    let quiet = history.quiet_from();
    let end = START + quiet.max(history.last_deadline()) + longest_end(history);
    let mut now = START;
    while now < end && !(now > START + quiet && play.judge.all_done(&play.waves)) {
        play.step(now);
        now = now + STEP;
    }
    let reached = play.judge.reached;
    let log = play.judge.take_log();
    Played { faults: play.judge.finish(&play.waves, &play.platform), reached, log }
}

impl Play<'_> {
    fn step(&mut self, now: Timestamp) {
        let troubles = self.history.troubles.iter();
        let troubles = troubles.filter(|(from, length, _)| is_within(*from, *length, now));
        let troubles: Vec<Trouble> = troubles.map(|(.., trouble)| *trouble).collect();
        self.platform.troubles.clone_from(&troubles);
        self.cells.is_slow = troubles.contains(&Trouble::SlowDrains);
        for number in 0..POOLS {
            let mut bursts = self.history.bursts.iter();
            let is_in_burst =
                bursts.any(|(at, burst)| burst.pool == number && is_within(*at, burst.length, now));
            self.cells.set_burst(number, is_in_burst);
        }
        self.ask_for_waves(now);
        self.change_vms(now);
        let answers = self.platform.step(now);
        for effect in self.platform.take_effects() {
            let worker = effect.worker.as_ref();
            let ends_tasks = worker.is_some_and(|worker| self.cells.runs_tasks(worker));
            self.end_worker(worker);
            self.judge.on_effect(&effect, ends_tasks, &self.waves, &self.platform, now);
        }
        self.change_owner(now);
        if let Some(owner) = &mut self.owner {
            let mut world = World {
                platform: &mut self.platform,
                cells: &mut self.cells,
                judge: &mut self.judge,
                waves: &self.waves,
                stored: &mut self.stored,
                troubles: &troubles,
            };
            for answer in answers {
                owner.on_answer(&answer, world.judge, now);
            }
            owner.step(&mut world, now);
        }
        self.cells.step(&self.platform, now);
    }

    fn end_worker(&mut self, worker: Option<&WorkerId>) {
        if let Some(worker) = worker {
            self.cells.end_worker(worker);
        }
    }

    fn ask_for_waves(&mut self, now: Timestamp) {
        for (number, (at, plan)) in self.history.waves.iter().enumerate() {
            if is_due(*at, now) {
                let vms = (0..16).filter(|vm| contains(plan.vms, *vm)).map(vm_id).collect();
                let (max_down, deadline) = (plan.max_down, now + plan.duration);
                self.waves.push(Wave { number: number as u64 + 1, vms, max_down, deadline });
            }
        }
    }

    fn change_vms(&mut self, now: Timestamp) {
        for (at, change) in &self.history.vm_changes {
            if !is_due(*at, now) {
                continue;
            }
            let ended = match *change {
                VmChange::Crash(vm, down) => self.platform.crash(&vm_id(vm), now + down),
                VmChange::Leave(vm) => self.platform.leave(&vm_id(vm), now),
                VmChange::Return(vm, away) => {
                    self.returns.push((now + away, vm));
                    self.platform.leave(&vm_id(vm), now)
                }
                VmChange::Join(vm) => {
                    self.platform.join(&vm_id(vm), pool(0), now);
                    None
                }
            };
            self.end_worker(ended.as_ref());
        }
        for (_, vm) in self.returns.extract_if(.., |(at, _)| *at <= now) {
            self.platform.join(&vm_id(vm), pool(0), now);
        }
    }

    fn change_owner(&mut self, now: Timestamp) {
        let changes = &self.history.owner_changes;
        let due = changes.iter().find(|(at, _)| is_due(*at, now));
        if let Some((_, change)) = due
            && let Some(owner) = self.owner.take()
        {
            self.judge.reached.owner_changes += 1;
            self.platform.end_calls(now);
            if change.is_handover {
                let mut world = World {
                    platform: &mut self.platform,
                    cells: &mut self.cells,
                    judge: &mut self.judge,
                    waves: &self.waves,
                    stored: &mut self.stored,
                    troubles: &[],
                };
                owner.hand_over(&mut world, now);
            }
            self.next_owner = Some((now + change.gap, change.clock_ms));
        }
        if let Some((_, clock_ms)) = self.next_owner.take_if(|(at, _)| *at <= now) {
            self.epoch += 1;
            self.judge.note(now, || format!("owner {} begins", self.epoch));
            let draw = Draw::new(self.history.seed ^ self.epoch << 42);
            self.owner = Some(Owner::new(self.stored.clone(), self.epoch, clock_ms, draw, now));
        }
    }
}
