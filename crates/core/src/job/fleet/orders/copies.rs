//! The copies of orders that were sent to the platform, and what each of them may still do.
//!
//! An answer says something of the copy that it answers. What is planned about the VM may be another
//! order by then, so nothing of a copy is kept in the plan.

use std::{fmt, num::ParseIntError, str::FromStr};

use indexmap::IndexMap;

use super::PlannedOrder;
use crate::{ServiceId, Timestamp, VmId, job::WorkerId};

/// The number of a copy of an order, unique in the owner's term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderNumber(u64);

impl fmt::Display for OrderNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for OrderNumber {
    type Err = ParseIntError;

    /// # Errors
    ///
    /// Returns an error if the text is not a whole number of 64 bits without a sign.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// What an order asks of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetRequest {
    /// Begin the maintenance of the VM for the wave with this number.
    Maintain(u64),
    /// Move the VM to this pool.
    Move(ServiceId),
}

/// A copy of an order about a VM. Only the fleet makes one, and its answer is passed with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOrder {
    number: OrderNumber,
    vm: VmId,
    request: FleetRequest,
}

impl FleetOrder {
    /// The number of this copy.
    #[must_use]
    pub fn number(&self) -> OrderNumber {
        self.number
    }

    /// The VM that the order is about.
    #[must_use]
    pub fn vm(&self) -> &VmId {
        &self.vm
    }

    /// What the order asks.
    #[must_use]
    pub fn request(&self) -> &FleetRequest {
        &self.request
    }
}

/// What is known of the answer to a copy that may still take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    ToCome,
    /// There is none, and the copy may take effect until this time.
    Missing(Timestamp),
}

/// A copy of an order without a definite answer.
#[derive(Clone, Debug)]
pub(in crate::job::fleet) struct SentCopy {
    pub(super) vm: VmId,
    pub(super) request: FleetRequest,
    /// The first copy that was sent for the same plan.
    pub(super) plan: OrderNumber,
    /// The pool of the VM when the copy was sent.
    pub(super) pool: ServiceId,
    /// The worker on the VM when the copy was sent, which it stops.
    pub(super) worker: Option<WorkerId>,
    pub(super) sent_at: Timestamp,
    answer: Answer,
}

impl SentCopy {
    /// The time from which on the copy can't take effect any more.
    pub(super) fn open_until(&self) -> Timestamp {
        match self.answer {
            Answer::ToCome => Timestamp(u64::MAX),
            Answer::Missing(open_until) => open_until,
        }
    }

    /// Whether the copy may still take effect.
    pub(super) fn is_open(&self, now: Timestamp) -> bool {
        now < self.open_until()
    }

    fn is_maintenance(&self) -> bool {
        matches!(self.request, FleetRequest::Maintain(_))
    }

    /// Whether the copy was sent for this plan.
    pub(super) fn is_of(&self, planned: &PlannedOrder) -> bool {
        planned.first_copy == Some(self.plan)
    }
}

/// The copies of this term without a definite answer, as long as they matter.
#[derive(Debug, Default)]
pub(in crate::job::fleet) struct SentCopies {
    /// The number of copies sent in this term.
    sent: u64,
    copies: IndexMap<OrderNumber, SentCopy>,
}

impl SentCopies {
    /// Adds a copy that is sent at `now` for a plan whose first copy this was; `None` makes it the first.
    pub(super) fn send(
        &mut self,
        (vm, request): (VmId, FleetRequest),
        plan: Option<OrderNumber>,
        (pool, worker): (ServiceId, Option<WorkerId>),
        now: Timestamp,
    ) -> FleetOrder {
        if let Some(plan) = plan {
            self.forget_all_closed_but_last(plan, now);
        }
        self.sent += 1;
        let number = OrderNumber(self.sent);
        let copy = SentCopy {
            vm: vm.clone(),
            request: request.clone(),
            plan: plan.unwrap_or(number),
            pool,
            worker,
            sent_at: now,
            answer: Answer::ToCome,
        };
        self.copies.insert(number, copy);
        FleetOrder { number, vm, request }
    }

    /// The copy of this number whose answer is to come.
    pub(super) fn unanswered(&self, number: OrderNumber) -> Option<&SentCopy> {
        self.copies.get(&number).filter(|copy| copy.answer == Answer::ToCome)
    }

    /// Takes out the copy that is answered; `None` if it was answered before.
    pub(super) fn take_answered(&mut self, order: FleetOrder) -> Option<(OrderNumber, SentCopy)> {
        let FleetOrder { number, vm, request } = order;
        self.unanswered(number).filter(|copy| copy.vm == vm && copy.request == request)?;
        Some((number, self.copies.shift_remove(&number)?))
    }

    /// Keeps a copy that gets no answer and may take effect until `open_until`.
    pub(super) fn keep_open(&mut self, number: OrderNumber, copy: SentCopy, open_until: Timestamp) {
        self.copies.insert(number, SentCopy { answer: Answer::Missing(open_until), ..copy });
    }

    /// The copies that may still take effect.
    pub(super) fn open(&self, now: Timestamp) -> impl Iterator<Item = &SentCopy> {
        self.copies.values().filter(move |copy| copy.is_open(now))
    }

    /// The copies of orders about a VM.
    pub(super) fn of_vm<'a>(&'a self, vm_id: &'a VmId) -> impl Iterator<Item = &'a SentCopy> {
        self.copies.values().filter(move |copy| copy.vm == *vm_id)
    }

    /// Whether the answer to an order about a VM is to come.
    pub(in crate::job::fleet) fn awaits_answer(&self, vm_id: &VmId) -> bool {
        self.of_vm(vm_id).any(|copy| copy.answer == Answer::ToCome)
    }

    /// Whether a copy that was sent for this plan may still take effect.
    pub(super) fn has_open_copy(&self, planned: &PlannedOrder, now: Timestamp) -> bool {
        self.copies.values().any(|copy| copy.is_of(planned) && copy.is_open(now))
    }

    /// The time from which on no copy about a VM can take effect; `now` at the earliest.
    pub(super) fn effect_end(&self, vm_id: &VmId, now: Timestamp) -> Timestamp {
        self.of_vm(vm_id).map(SentCopy::open_until).fold(now, Timestamp::max)
    }

    /// Forgets the copies of an order that the platform has carried out, since each of the others only
    /// asks for what is done.
    pub(super) fn close_all(&mut self, vm_id: &VmId, request: &FleetRequest) {
        self.copies.retain(|_, copy| copy.vm != *vm_id || copy.request != *request);
    }

    /// Whether maintenance of a VM was ordered without a definite answer, so that it may be down.
    pub(in crate::job::fleet) fn may_be_maintained(&self, vm_id: &VmId) -> bool {
        self.of_vm(vm_id).any(SentCopy::is_maintenance)
    }

    /// Forgets the copies that can't take effect any more. One may have done so at the last moment, so they are
    /// kept until a list shows the VM for certain; `unlisted` are the VMs of which none does.
    pub(in crate::job::fleet) fn forget_closed(
        &mut self,
        unlisted: &IndexMap<VmId, Timestamp>,
        now: Timestamp,
    ) {
        self.copies.retain(|_, copy| copy.is_open(now) || unlisted.contains_key(&copy.vm));
    }

    /// Forgets the copies of a plan that can't take effect any more, but for the last one: while the
    /// platform is silent, a copy is added with each attempt.
    fn forget_all_closed_but_last(&mut self, plan: OrderNumber, now: Timestamp) {
        let is_closed = |copy: &SentCopy| copy.plan == plan && !copy.is_open(now);
        let closed = self.copies.iter().filter(|(_, copy)| is_closed(copy));
        let last = closed.map(|(number, _)| *number).max();
        self.copies.retain(|number, copy| !is_closed(copy) || Some(*number) == last);
    }
}
