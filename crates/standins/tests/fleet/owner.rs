//! The owner of the fleet during one term, as `src/jobs/fleet.rs` runs it.

use indexmap::{IndexMap, IndexSet};
use teaselgap_core::{
    ServiceId, Span, Timestamp,
    job::{
        Fleet, FleetAction, FleetConfig, FleetOrder, FleetRecord, InstructionNumber, Load,
        ORDER_SEND_WINDOW, OrderOutcome, Wave, WorkerId,
    },
};

use crate::{
    cell::{Cells, Drains},
    draw::Draw,
    history::{POOLS, Trouble, pool},
    judge::Judge,
    orders::enter_outcome,
    platform::{Answer, CALL_TIMEOUT, ListCall, MAINTENANCE, MOVE, Platform, TAKEOVER_PAUSE},
};

/// The pause between two ticks.
pub(crate) const TICK_INTERVAL: Span = Span(200);

/// The number of ticks from one reading of the list of VMs to the next.
pub(crate) const TICKS_PER_LIST: u32 = 3;

/// How long a cell's answer is waited for.
const INSTRUCTION_TIMEOUT: Span = Span(1_000);

/// The wall clock at the start, in milliseconds.
const WALL_MS: u64 = 1_700_000_000_000;

/// The wall clock of an owner at `now`, in milliseconds.
pub(crate) fn wall_ms(now: Timestamp, clock_ms: u64) -> u64 {
    WALL_MS + now.0 + clock_ms
}

/// An instruction to a cell.
#[derive(Debug)]
struct Instruction {
    number: InstructionNumber,
    cell: ServiceId,
    drains: Drains,
    arrives: Option<Timestamp>,
    answered: Option<Timestamp>,
    ends: Timestamp,
    report: Option<(Load, Vec<WorkerId>)>,
}

/// What the owner does.
#[derive(Debug)]
enum Phase {
    Pauses(Timestamp),
    ReadsList(ListCall),
    /// Instructs the cells; with the workers to be drained in pools without a cell, and the time of the start.
    Instructs(Vec<Instruction>, IndexMap<ServiceId, Drains>, Timestamp),
}

/// A record that is being written.
#[derive(Debug)]
struct Saving {
    done: Timestamp,
    record: FleetRecord,
    orders: Vec<FleetOrder>,
    send_deadline: Timestamp,
}

/// An order whose outcome is to come.
#[derive(Debug)]
struct OpenCall {
    order: FleetOrder,
    ends: Timestamp,
    is_over: bool,
}

/// What the owner is given in each step.
pub(crate) struct World<'a> {
    pub(crate) platform: &'a mut Platform,
    pub(crate) cells: &'a mut Cells,
    pub(crate) judge: &'a mut Judge,
    pub(crate) waves: &'a [Wave],
    /// The record as it is stored.
    pub(crate) stored: &'a mut FleetRecord,
    pub(crate) troubles: &'a [Trouble],
}

/// The owner of the fleet.
#[derive(Debug)]
pub(crate) struct Owner {
    fleet: Fleet,
    epoch: u64,
    ticks: u32,
    /// The number of waves that it knows.
    waves: usize,
    phase: Phase,
    saving: Option<Saving>,
    calls: IndexMap<u64, OpenCall>,
    clock_ms: u64,
    draw: Draw,
}

impl Owner {
    pub(crate) fn new(
        record: FleetRecord,
        epoch: u64,
        clock_ms: u64,
        draw: Draw,
        now: Timestamp,
    ) -> Self {
        let config = FleetConfig {
            takeover_pause: TAKEOVER_PAUSE,
            maintenance_duration: MAINTENANCE,
            move_duration: MOVE,
            worker_entry_ttl: Span(6_000),
        };
        let mut fleet = Fleet::new(config, record, (now, wall_ms(now, clock_ms)));
        fleet.set_standby_pools(IndexSet::from([pool(POOLS)]));
        let phase = Phase::Pauses(now);
        let (saving, calls) = (None, IndexMap::new());
        Self { fleet, epoch, ticks: 0, waves: 0, phase, saving, calls, clock_ms, draw }
    }

    /// Ends the term: returns the record that a handover stores, once the last one is written.
    pub(crate) fn hand_over(mut self, world: &mut World<'_>, now: Timestamp) {
        // Orders that wait for this record are not sent any more.
        if let Some(saving) = self.saving.take() {
            *world.stored = saving.record;
        }
        *world.stored = self.fleet.handover_record(now, wall_ms(now, self.clock_ms));
    }

    pub(crate) fn step(&mut self, world: &mut World<'_>, now: Timestamp) {
        self.finish_saving(world, now);
        self.end_calls(world.judge, now);
        let phase = std::mem::replace(&mut self.phase, Phase::Pauses(now));
        self.phase = match phase {
            Phase::Pauses(until) if now < until => Phase::Pauses(until),
            Phase::Pauses(_) if self.ticks.is_multiple_of(TICKS_PER_LIST) => {
                Phase::ReadsList(world.platform.list(now))
            }
            Phase::Pauses(_) => self.begin_instructions(world, now),
            Phase::ReadsList(mut list) => match world.platform.read_pages(&mut list, now) {
                None => Phase::ReadsList(list),
                Some(is_answered) => {
                    if is_answered {
                        world.judge.on_list(&list.vms, world.waves, world.platform);
                        let age = now.since(list.asked).0;
                        world.judge.note(now, || {
                            let vms = list.vms.iter();
                            let vms =
                                vms.map(|vm| format!("{} {:?} in {}", vm.id, vm.state, vm.pool));
                            format!(
                                "list of {age} ms before: {}",
                                vms.collect::<Vec<_>>().join(", ")
                            )
                        });
                        self.fleet.set_vms(list.vms, list.has_unreadable, list.asked);
                    }
                    self.begin_instructions(world, now)
                }
            },
            Phase::Instructs(instructions, others, started) => {
                self.instruct(world, instructions, others, started, now)
            }
        };
    }

    fn begin_instructions(&mut self, world: &mut World<'_>, now: Timestamp) -> Phase {
        self.ticks = self.ticks.wrapping_add(1);
        // A known one is ignored.
        self.fleet.add_waves(world.waves[self.waves..].to_vec());
        self.waves = world.waves.len();
        let mut drains = self.fleet.drain_requests(now);
        let is_late = world.troubles.contains(&Trouble::LateReports);
        let is_silent = world.troubles.contains(&Trouble::SilentCells);
        let (draw, fleet) = (&mut self.draw, &mut self.fleet);
        let instructions = world.cells.names().into_iter().map(|cell| {
            let most = if is_late { INSTRUCTION_TIMEOUT.0 / 2 } else { 10 };
            let arrives = now + draw.span(1, most);
            let answered = arrives + draw.span(1, most);
            let arrives = (!is_silent || draw.happens(50)).then_some(arrives);
            let answered = (!is_silent || draw.happens(30)).then_some(answered);
            let drains = drains.shift_remove(&cell).unwrap_or_default();
            Instruction {
                number: fleet.on_instruction(&cell, &drains),
                drains,
                cell,
                arrives,
                answered: answered.filter(|_| arrives.is_some()),
                ends: now + INSTRUCTION_TIMEOUT,
                report: None,
            }
        });
        let instructions = instructions.collect();
        Phase::Instructs(instructions, drains, now)
    }

    fn instruct(
        &mut self,
        world: &mut World<'_>,
        mut instructions: Vec<Instruction>,
        others: IndexMap<ServiceId, Drains>,
        started: Timestamp,
        now: Timestamp,
    ) -> Phase {
        instructions.retain_mut(|instruction| {
            let Instruction { number, cell, drains, arrives, answered, ends, report } = instruction;
            if arrives.is_some_and(|at| at <= now) {
                *arrives = None;
                *report = Some(world.cells.instruct(cell, self.epoch, drains.clone(), now));
            }
            if answered.is_some_and(|at| at <= now)
                && let Some((load, drained)) = report.take()
            {
                self.fleet.on_instruction_answered(cell, *number, (load, drained), now);
                return false;
            }
            now < *ends
        });
        if !instructions.is_empty() {
            return Phase::Instructs(instructions, others, started);
        }
        for (pool, drains) in others {
            self.fleet.on_pool_without_cell(&pool, drains, started);
        }
        self.tick(world, now);
        Phase::Pauses(now + TICK_INTERVAL)
    }

    fn tick(&mut self, world: &mut World<'_>, now: Timestamp) {
        if self.saving.is_some() {
            return;
        }
        self.fleet.tick(now);
        for action in self.fleet.take_actions() {
            match action {
                FleetAction::Save(record, orders) => {
                    let is_slow = world.troubles.contains(&Trouble::SlowStore);
                    let most = if is_slow { 1_500 } else { 20 };
                    let done = now + self.draw.span(1, most);
                    let send_deadline = now + ORDER_SEND_WINDOW;
                    self.saving = Some(Saving { done, record: *record, orders, send_deadline });
                }
                FleetAction::ReportWave { wave, finished, .. } => {
                    world.judge.on_report(wave, finished, world.waves, world.platform, now);
                }
                _ => {}
            }
        }
    }

    /// Sends the orders whose record is durable now.
    fn finish_saving(&mut self, world: &mut World<'_>, now: Timestamp) {
        let Some(saving) = self.saving.take_if(|saving| saving.done <= now) else {
            return;
        };
        *world.stored = saving.record;
        for order in saving.orders {
            if now > saving.send_deadline {
                self.enter(&order, OrderOutcome::Busy, world.judge, now);
                continue;
            }
            world.judge.note(now, || format!("sent: {order:?}"));
            let call = world.platform.send(&order, self.epoch, now);
            self.calls.insert(call, OpenCall { order, ends: now + CALL_TIMEOUT, is_over: false });
        }
    }

    fn enter(
        &mut self,
        order: &FleetOrder,
        outcome: OrderOutcome,
        judge: &mut Judge,
        now: Timestamp,
    ) {
        judge.note(now, || {
            let planned = self.fleet.planned_request(order.vm());
            format!("{outcome:?} to {order:?}, planned: {planned:?}")
        });
        judge.on_answer(order, &self.fleet);
        enter_outcome(&mut self.fleet, order, outcome, now);
    }

    /// Enters an answer. One that comes a second time, or after its call has ended, is entered if the platform gives
    /// such answers: the fleet has to bear a second answer to the same order.
    pub(crate) fn on_answer(&mut self, answer: &Answer, judge: &mut Judge, now: Timestamp) {
        let is_taken = |call: &&mut OpenCall| !call.is_over || answer.is_doubled;
        let Some(call) = self.calls.get_mut(&answer.call).filter(is_taken) else {
            return;
        };
        call.is_over = true;
        let order = call.order.clone();
        self.enter(&order, answer.outcome, judge, now);
    }

    /// Ends the calls that have got no answer in time.
    fn end_calls(&mut self, judge: &mut Judge, now: Timestamp) {
        let ended = self.calls.values_mut().filter(|call| !call.is_over && call.ends <= now);
        let ended = ended.map(|call| {
            call.is_over = true;
            call.order.clone()
        });
        for order in ended.collect::<Vec<_>>() {
            self.enter(&order, OrderOutcome::Unknown, judge, now);
        }
    }
}
