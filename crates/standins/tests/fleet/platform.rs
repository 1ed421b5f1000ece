//! A stand-in for the platform's VM API in virtual time.

use indexmap::{IndexMap, IndexSet};
use teaselgap_core::{
    ServiceId, Span, Timestamp, VmId,
    job::{FleetOrder, OrderOutcome, Resources, Vm, VmState, WorkerId},
};

use crate::{
    draw::Draw,
    history::{LONGEST_GAP, POOLS, Trouble, pool},
    orders::{Request, parts},
};

/// How long a call waits for its answer.
pub(crate) const CALL_TIMEOUT: Span = Span(1_500);

/// How long an order may take effect after its call has ended. The page gives no bound ("A call that receives no
/// response may have been executed"); this is what the fleet waits for.
pub(crate) const TAKEOVER_PAUSE: Span = Span(3_000);

pub(crate) const MAINTENANCE: Span = Span(2_000);

pub(crate) const MOVE: Span = Span(1_500);

/// Processor capacity of a VM, in thousandths of a core.
pub(crate) const VM_CPU_MILLI: u64 = 64_000;

/// The number of pages of a list that is read slowly.
const PAGES: usize = 3;

/// A VM as it is.
#[derive(Clone, Debug)]
pub(crate) struct PlatformVm {
    pub(crate) vm: Vm,
    /// Since when the platform has had it.
    pub(crate) since: Timestamp,
    /// When its state ends, unless it is up.
    until: Timestamp,
    /// The wave that it is down for.
    pub(crate) wave: Option<u64>,
    /// The largest fencing token of an order about it.
    token: u64,
}

/// An order that has taken effect.
#[derive(Clone, Debug)]
pub(crate) struct Effect {
    pub(crate) vm: VmId,
    pub(crate) request: Request,
    /// The worker that it ended.
    pub(crate) worker: Option<WorkerId>,
}

/// An order on its way to the platform.
#[derive(Clone, Debug)]
struct Sent {
    call: u64,
    order: FleetOrder,
    token: u64,
    executed_at: Timestamp,
    /// Whether it is refused for now.
    is_refused: bool,
    answer_after: Option<Span>,
    again_after: Option<Span>,
}

/// An answer to an order on its way to the caller.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) call: u64,
    pub(crate) outcome: OrderOutcome,
    /// Whether it is entered even if the call has an outcome.
    pub(crate) is_doubled: bool,
    at: Timestamp,
}

/// A list of VMs that has been asked for.
#[derive(Clone, Debug)]
pub(crate) struct ListCall {
    pub(crate) asked: Timestamp,
    /// When each page is read.
    reads: Vec<Timestamp>,
    answered: Timestamp,
    fails: bool,
    pub(crate) vms: Vec<Vm>,
    pub(crate) has_unreadable: bool,
}

/// The platform's VMs, and the calls on their way to it and back.
#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) vms: IndexMap<VmId, PlatformVm>,
    /// All VMs that have ever been there, in the order of the lists.
    order: IndexSet<VmId>,
    begun: IndexSet<(u64, VmId)>,
    sent: Vec<Sent>,
    answers: Vec<Answer>,
    effects: Vec<Effect>,
    /// Since when lists have lacked each VM that is there.
    missing_since: IndexMap<VmId, Timestamp>,
    pub(crate) troubles: Vec<Trouble>,
    is_fencing: bool,
    draw: Draw,
    calls: u64,
    workers: u64,
}

impl Platform {
    pub(crate) fn new(is_fencing: bool, draw: Draw) -> Self {
        Self {
            vms: IndexMap::new(),
            order: IndexSet::new(),
            begun: IndexSet::new(),
            sent: Vec::new(),
            answers: Vec::new(),
            effects: Vec::new(),
            missing_since: IndexMap::new(),
            troubles: Vec::new(),
            is_fencing,
            draw,
            calls: 0,
            workers: 0,
        }
    }

    fn has(&self, trouble: Trouble) -> bool {
        self.troubles.contains(&trouble)
    }

    fn new_worker(&mut self, to: &ServiceId) -> Option<WorkerId> {
        self.workers += 1;
        (*to != pool(POOLS)).then(|| format!("w{}", self.workers).as_str().into())
    }

    /// Adds a VM, unless it is there.
    pub(crate) fn join(&mut self, id: &VmId, to: ServiceId, now: Timestamp) {
        if self.vms.contains_key(id) {
            return;
        }
        let worker = self.new_worker(&to);
        let capacity = Resources { cpu_milli: VM_CPU_MILLI, memory_mb: 131_072, gpus: 0 };
        let zone = "tartu".parse().unwrap();
        let vm = Vm { id: id.clone(), pool: to, state: VmState::Up, zone, capacity, worker };
        let present = PlatformVm { vm, since: now, until: now, wave: None, token: 0 };
        self.order.insert(id.clone());
        self.vms.insert(id.clone(), present);
    }

    /// Takes a VM away, and returns its worker. Orders under way to it end with it: no owner could know that the VM which
    /// comes back under its name is another one. "It returns 400 if there is no such machine".
    pub(crate) fn leave(&mut self, id: &VmId, now: Timestamp) -> Option<WorkerId> {
        for sent in self.sent.iter_mut().filter(|sent| sent.order.vm() == id) {
            sent.executed_at = now;
        }
        self.vms.shift_remove(id)?.vm.worker
    }

    /// Lets a VM that is up crash, and returns its worker.
    pub(crate) fn crash(&mut self, id: &VmId, until: Timestamp) -> Option<WorkerId> {
        let present = self.vms.get_mut(id)?;
        if present.vm.state != VmState::Up {
            return None;
        }
        present.vm.state = VmState::Down;
        present.until = until;
        present.vm.worker.take()
    }

    /// Takes an order, and returns the number of the call.
    pub(crate) fn send(&mut self, order: &FleetOrder, token: u64, now: Timestamp) -> u64 {
        self.calls += 1;
        let mut way = self.draw.span(1, 20);
        let mut answer_after = Some(self.draw.span(1, 20));
        if self.has(Trouble::LateAnswers) {
            answer_after = Some(self.draw.span(300, 3_000));
        }
        if self.has(Trouble::LostAnswers) && self.draw.happens(60) {
            answer_after = None;
        }
        if self.has(Trouble::LateExecution) {
            way = self.draw.span(0, CALL_TIMEOUT.0 + TAKEOVER_PAUSE.0);
        }
        let is_doubled = self.has(Trouble::DoubleAnswers) && self.draw.happens(50);
        let again_after = is_doubled.then(|| self.draw.span(0, 6_000));
        let is_refused = self.has(Trouble::Refusals) && self.draw.happens(50);
        if self.has(Trouble::LostOrders) && self.draw.happens(50) {
            return self.calls;
        }
        let call = self.calls;
        let (order, executed_at) = (order.clone(), now + way);
        let sent = Sent { call, order, token, executed_at, is_refused, answer_after, again_after };
        self.sent.push(sent);
        call
    }

    /// Ends the calls of an owner that sends no more.
    pub(crate) fn end_calls(&mut self, now: Timestamp) {
        self.answers.clear();
        for sent in &mut self.sent {
            sent.executed_at = sent.executed_at.min(now + TAKEOVER_PAUSE);
            (sent.answer_after, sent.again_after) = (None, None);
        }
    }

    /// Carries out what is due, and returns the answers that arrive.
    pub(crate) fn step(&mut self, now: Timestamp) -> Vec<Answer> {
        let ended = |present: &PlatformVm| present.vm.state != VmState::Up && present.until <= now;
        let ended: Vec<VmId> = self
            .vms
            .iter()
            .filter(|(_, present)| ended(present))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            let to = self.vms[&id].vm.pool.clone();
            let worker = self.new_worker(&to);
            let present = &mut self.vms[&id];
            present.vm.state = VmState::Up;
            present.vm.worker = worker;
            present.wave = None;
        }
        let (due, sent): (Vec<_>, Vec<_>) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|sent: &Sent| sent.executed_at <= now);
        self.sent = sent;
        for sent in due {
            let outcome =
                if sent.is_refused { OrderOutcome::Busy } else { self.execute(&sent, now) };
            for after in [sent.answer_after, sent.again_after].into_iter().flatten() {
                let is_doubled = sent.again_after.is_some();
                self.answers.push(Answer { call: sent.call, outcome, is_doubled, at: now + after });
            }
        }
        let (due, answers) =
            std::mem::take(&mut self.answers).into_iter().partition(|answer| answer.at <= now);
        self.answers = answers;
        due
    }

    /// "It returns 409 with `reason` set to `fence` (only where `enforce_fencing` is true), `busy` (not up, leaving)
    /// or `wave`"; "The call also returns 200 if the operation is already done".
    fn execute(&mut self, sent: &Sent, now: Timestamp) -> OrderOutcome {
        let (id, request) = parts(&sent.order);
        let Some(present) = self.vms.get_mut(&id) else {
            return OrderOutcome::Invalid;
        };
        if self.is_fencing && sent.token < present.token {
            return OrderOutcome::Busy;
        }
        present.token = present.token.max(sent.token);
        let is_done = match &request {
            Request::Move(to) => present.vm.pool == *to,
            Request::Maintain(wave) => self.begun.contains(&(*wave, id.clone())),
        };
        if is_done {
            return OrderOutcome::Accepted;
        }
        if present.vm.state != VmState::Up {
            return OrderOutcome::Busy;
        }
        let worker = present.vm.worker.take();
        match &request {
            Request::Move(to) => {
                present.vm.pool = to.clone();
                present.vm.state = VmState::Moving;
                present.until = now + MOVE;
            }
            Request::Maintain(wave) => {
                self.begun.insert((*wave, id.clone()));
                present.wave = Some(*wave);
                present.vm.state = VmState::Maintenance;
                present.until = now + MAINTENANCE;
            }
        }
        self.effects.push(Effect { vm: id, request, worker });
        OrderOutcome::Accepted
    }

    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes a call for the list of VMs.
    pub(crate) fn list(&mut self, now: Timestamp) -> ListCall {
        let mut reads = vec![now + self.draw.span(1, 10)];
        let is_slow = self.has(Trouble::SlowLists);
        if is_slow {
            reads = vec![now + self.draw.span(0, 700)];
            for _ in 1..PAGES {
                let last = reads[reads.len() - 1];
                reads.push(last + self.draw.span(0, 700));
            }
        }
        let is_late = is_slow || self.has(Trouble::LateAnswers);
        let most = if is_late { CALL_TIMEOUT.0 / 2 } else { 10 };
        let answered = reads[reads.len() - 1] + self.draw.span(1, most);
        ListCall {
            asked: now,
            reads,
            answered,
            fails: self.has(Trouble::NoLists),
            vms: Vec::new(),
            has_unreadable: false,
        }
    }

    /// Reads the pages of a list that are due. Returns whether its answer has come, and was none.
    pub(crate) fn read_pages(&mut self, list: &mut ListCall, now: Timestamp) -> Option<bool> {
        let pages = list.reads.len();
        let is_empty = self.has(Trouble::EmptyLists);
        let is_in_gap = |number: usize| {
            self.troubles.iter().any(|trouble| match trouble {
                Trouble::Gap(vms) => crate::history::contains(*vms, number),
                _ => false,
            })
        };
        for (page, at) in list.reads.iter_mut().enumerate().filter(|(_, at)| **at <= now) {
            // Read once.
            *at = Timestamp(u64::MAX);
            let on_page = self.order.iter().enumerate();
            let on_page = on_page.filter(|(place, _)| place * pages / self.order.len() == page);
            for (_, id) in on_page {
                let number = id.as_str()[1..].parse().unwrap_or(0);
                let Some(present) = self.vms.get(id).filter(|_| !is_empty) else {
                    continue;
                };
                if is_in_gap(number) {
                    // Gaps of one VM that meet are one.
                    let since = *self.missing_since.entry(id.clone()).or_insert(now);
                    if now < since + LONGEST_GAP {
                        continue;
                    }
                }
                if !list.fails {
                    self.missing_since.swap_remove(id);
                }
                if self.troubles.contains(&Trouble::UnreadableEntries) && self.draw.happens(20) {
                    list.has_unreadable = true;
                } else {
                    list.vms.push(present.vm.clone());
                }
            }
        }
        (list.answered <= now).then_some(!list.fails)
    }
}
