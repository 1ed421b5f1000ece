//! Owners of earlier terms that still act while a later one has the cell: cut off from the store, slow or
//! paused, as far as the adapter permits it.
//!
//! Such an owner decides and sends until its permission ends, or until it learns that a worker has heard
//! of a later owner. What it has sent arrives late, also after that. Nothing that it writes takes effect,
//! because a write is bound to the epoch.

use teaselgap_core::{
    Epoch, Span, Timestamp,
    job::{Action, Cell, WorkerId},
};

use super::{Model, ModelWorker, OWNER_TTL};

/// How an owner goes on that is cut off from the store, with times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Afterlife {
    /// How long it acts at most. It stops earlier if its permission ends: [`OWNER_TTL`] after another
    /// owner has claimed the cell.
    pub acts_for_ms: u64,
    /// How long it is paused first. Its clock goes on.
    pub paused_ms: u64,
    /// How late its calls reach the workers. Those that it decides on at the moment of the cut leave
    /// after the pause, whatever it may do then.
    pub late_ms: u64,
}

/// Which start orders a worker instance may get that were sent to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StrayOrders {
    /// All that are late.
    All,
    /// Those of owners that a later one has succeeded.
    OfEarlierOwners,
    /// None: they are lost with the earlier instance.
    None,
}

/// An owner that still acts although it is cut off from the store.
#[derive(Debug)]
pub(super) struct EarlierOwner {
    pub(super) cell: Cell,
    is_handing_over: bool,
    paused_until: Timestamp,
    permitted_until: Timestamp,
    /// When the next owner claimed the cell, once it has.
    sole_until: Timestamp,
    late_ms: u64,
}

/// The owner that sends a call, and how late the call is on its way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sender {
    pub(super) epoch: Epoch,
    pub(super) late_ms: u64,
}

impl EarlierOwner {
    fn sender(&self) -> Sender {
        Sender { epoch: self.cell.epoch(), late_ms: self.late_ms }
    }

    /// Takes the actions that the owner decides on at `now`.
    fn decide(&mut self, (now, wall_ms): (Timestamp, u64)) -> Vec<Action> {
        self.cell.set_sole_until(self.sole_until);
        if self.is_handing_over {
            self.cell.renew_during_handover(now, self.sole_until);
        } else {
            self.cell.tick(now, wall_ms);
        }
        let mut actions = self.cell.take_actions();
        if self.is_handing_over {
            actions.retain(Action::is_allowed_during_handover);
        }
        actions
    }
}

impl Model {
    /// Cuts the owner off from the store, so that another one may claim the cell. It goes on for a while.
    /// A write that the store has not accepted yet never takes effect.
    pub fn cut_off_owner(&mut self, afterlife: Afterlife) {
        let Some(cell) = self.cell.take() else {
            return;
        };
        let Afterlife { acts_for_ms, paused_ms, late_ms } = afterlife;
        let mut owner = EarlierOwner {
            cell,
            is_handing_over: self.is_handing_over,
            paused_until: self.now + Span(paused_ms),
            permitted_until: self.now + Span(acts_for_ms),
            sole_until: Timestamp(u64::MAX),
            late_ms,
        };
        self.is_handing_over = false;
        self.pending_write = None;
        let time = (self.now, self.wall_ms());
        let sender = Sender { late_ms: late_ms + paused_ms, ..owner.sender() };
        let actions = owner.decide(time);
        self.earlier_owners.push(owner);
        for action in actions {
            self.perform(sender, action);
        }
    }

    /// Cuts the present owner off from a worker for good, also when a later one has the cell. Later owners
    /// reach it.
    pub fn cut_owner_off_from(&mut self, worker: &str) {
        self.cut_off_from.insert((self.epoch, worker.into()));
    }

    /// Lets the owner record its handover and cuts it off from the store before it can delete the key of
    /// its duty, and before it learns that the record is durable. Meanwhile it only renews leases.
    pub fn cut_off_owner_in_handover(&mut self, afterlife: Afterlife) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        if let Some(cell) = &mut self.cell {
            cell.hand_over(now, wall_ms);
        }
        self.is_handing_over = true;
        while self.cell.as_ref().is_some_and(|cell| !cell.is_log_idle()) {
            self.run_for(1);
        }
        self.cut_off_owner(afterlife);
    }

    /// Begins the term of a process that has started under the name and address of the latest owner, which
    /// has ended.
    pub fn take_over_after_restart(&mut self) {
        let ended = self.epoch;
        self.term_ends.forget(ended);
        self.take_over();
        let now = self.now;
        if let Some(cell) = &mut self.cell {
            cell.on_predecessor_ended(ended, now);
        }
    }

    /// Sets which start orders a worker instance may get that were sent to an earlier one.
    pub fn allow_stray_orders(&mut self, stray_orders: StrayOrders) {
        self.stray_orders = stray_orders;
    }

    /// Whether a worker gets a start order of this term that was sent to the instance of this number.
    pub(super) fn may_deliver_start(&self, id: &WorkerId, epoch: Epoch, instance: u64) -> bool {
        let is_stray = self.workers.get(id).map(ModelWorker::instance) != Some(instance);
        let is_allowed = match self.stray_orders {
            StrayOrders::All => true,
            StrayOrders::OfEarlierOwners => epoch < self.epoch,
            StrayOrders::None => false,
        };
        is_allowed || !is_stray
    }

    /// Makes the store lose the entry of a worker, which writes it again after `ms`.
    pub fn lapse_entry(&mut self, id: &str, ms: u64) {
        self.lapsed_entries.insert(id.into(), self.now + Span(ms));
    }

    pub(super) fn has_entry(&self, id: &WorkerId) -> bool {
        self.lapsed_entries.get(id).is_none_or(|until| self.now >= *until)
    }

    /// Limits what earlier owners may do once another one has claimed the cell.
    pub(super) fn limit_earlier_owners(&mut self) {
        let latest = self.now + OWNER_TTL;
        for owner in &mut self.earlier_owners {
            owner.permitted_until = owner.permitted_until.min(latest);
            owner.sole_until = owner.sole_until.min(self.now);
        }
    }

    /// Lets the earlier owners that are permitted to decide and send.
    pub(super) fn tick_earlier_owners(&mut self) {
        let time = (self.now, self.wall_ms());
        // A paused one ends its term when it goes on.
        let ends =
            |owner: &mut EarlierOwner| time.0 > owner.permitted_until.max(owner.paused_until);
        for owner in self.earlier_owners.extract_if(.., ends) {
            self.term_ends.keep(&owner.cell, time.0);
        }
        let mut actions = Vec::new();
        let may_act = |owner: &&mut EarlierOwner| {
            time.0 >= owner.paused_until && time.0 <= owner.permitted_until
        };
        for owner in self.earlier_owners.iter_mut().filter(may_act) {
            let sender = owner.sender();
            actions.extend(owner.decide(time).into_iter().map(|action| (sender, action)));
        }
        for (sender, action) in actions {
            self.perform(sender, action);
        }
    }

    /// Ends the owner of an earlier term, which has learned of a later one.
    pub(super) fn end_earlier_owner(&mut self, epoch: Epoch) {
        let ends = |owner: &mut EarlierOwner| owner.cell.epoch() == epoch;
        for owner in self.earlier_owners.extract_if(.., ends) {
            self.term_ends.keep(&owner.cell, self.now);
        }
    }

    /// Returns the present owner as the sender of a call.
    pub(super) fn present_sender(&self) -> Sender {
        Sender { epoch: self.epoch, late_ms: 0 }
    }

    /// Returns the owner of a term as the sender of a call; `None` if it may not act.
    pub(super) fn sender_of(&self, epoch: Epoch) -> Option<Sender> {
        let earlier = self.earlier_owners.iter().find(|owner| owner.cell.epoch() == epoch);
        let is_present = epoch == self.epoch && self.cell.is_some();
        let may_act = |owner: &&EarlierOwner| self.now <= owner.permitted_until;
        let earlier = earlier.filter(may_act).map(EarlierOwner::sender);
        earlier.or_else(|| is_present.then(|| self.present_sender()))
    }

    /// Returns when a paused owner goes on; `None` if that of this term isn't paused.
    pub(super) fn paused_until(&self, epoch: Epoch) -> Option<Timestamp> {
        let owner = self.earlier_owners.iter().find(|owner| owner.cell.epoch() == epoch)?;
        (self.now < owner.paused_until).then_some(owner.paused_until)
    }

    /// Returns the cell at the owner of a term that still acts.
    pub(super) fn cell_of(&mut self, epoch: Epoch) -> Option<&mut Cell> {
        let earlier = self.earlier_owners.iter_mut().map(|owner| &mut owner.cell);
        self.cell.iter_mut().chain(earlier).find(|cell| cell.epoch() == epoch)
    }
}
