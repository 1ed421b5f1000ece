//! The judge of a history. It knows what the platform did, which workers ran tasks, and what the operator reads of the
//! waves; nothing of the fleet's state.

use indexmap::{IndexMap, IndexSet};
use teaselgap_core::{
    Span, Timestamp, VmId,
    job::{Fleet, FleetOrder, Vm, VmState, Wave},
};

use crate::{
    orders::{Request, parts},
    platform::{Effect, Platform},
};

/// How long a VM must have been there for a wave's report to count it: long enough for a list to show it.
const LISTED_FOR: Span = Span(10_000);

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// A wave that is said to be done has no VM that stays and has not begun its maintenance.
    Done,
    /// Never more than `max_down` VMs of a wave are down for it.
    MaxDown,
    /// No order ends tasks.
    Drained,
    /// Each wave is done in the end.
    InTheEnd,
}

/// How many times something happened that the histories are drawn for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reached {
    /// Answers that met another plan than their own.
    pub(crate) other_plans: u32,
    /// Lists without any of a wave's VMs that were there and had not begun.
    pub(crate) missing_last: u32,
    /// Changes of the owner.
    pub(crate) owner_changes: u32,
    /// Orders that took effect on a VM with a worker that ran no tasks.
    pub(crate) drained_orders: u32,
}

/// The judge.
#[derive(Debug, Default)]
pub(crate) struct Judge {
    begun: IndexSet<(u64, VmId)>,
    /// The state of each wave as the operator reads it.
    reported: IndexMap<u64, bool>,
    /// VMs that had not begun when their wave was said to be done, with the time since which they were there.
    suspects: Vec<(u64, VmId, Timestamp, Timestamp)>,
    faults: Vec<(Rule, String)>,
    pub(crate) reached: Reached,
    /// What happened, if it is to be shown.
    log: Option<Vec<String>>,
}

impl Judge {
    pub(crate) fn new(keeps_log: bool) -> Self {
        Self { log: keeps_log.then(Vec::new), ..Self::default() }
    }

    pub(crate) fn take_log(&mut self) -> Vec<String> {
        self.log.take().unwrap_or_default()
    }

    /// Notes what happened.
    pub(crate) fn note(&mut self, now: Timestamp, event: impl FnOnce() -> String) {
        if let Some(log) = &mut self.log {
            log.push(format!("{} {}", now.0, event()));
        }
    }

    fn open<'a>(
        &'a self,
        wave: &'a Wave,
        platform: &'a Platform,
    ) -> impl Iterator<Item = &'a VmId> {
        let begun = |id: &VmId| self.begun.contains(&(wave.number, id.clone()));
        wave.vms.iter().filter(move |id| platform.vms.contains_key(*id) && !begun(id))
    }

    pub(crate) fn on_effect(
        &mut self,
        effect: &Effect,
        ends_tasks: bool,
        waves: &[Wave],
        platform: &Platform,
        now: Timestamp,
    ) {
        let Effect { vm, request, worker } = effect;
        self.note(now, || format!("{request:?} of {vm} takes effect, ends {worker:?}"));
        self.reached.drained_orders += u32::from(worker.is_some() && !ends_tasks);
        if ends_tasks {
            let fault = format!("{request:?} of {vm} ends tasks at {}", now.0);
            self.faults.push((Rule::Drained, fault));
        }
        let Request::Maintain(number) = *request else {
            return;
        };
        self.begun.insert((number, vm.clone()));
        let is_down = |id: &&VmId| {
            platform.vms.get(*id).is_some_and(|present| {
                present.vm.state == VmState::Maintenance && present.wave == Some(number)
            })
        };
        for wave in waves.iter().filter(|wave| wave.number == number) {
            let down = wave.vms.iter().filter(is_down).count();
            if down > wave.max_down as usize {
                let max_down = wave.max_down;
                let fault =
                    format!("{down} of {max_down} VMs are down for wave {number} at {}", now.0);
                self.faults.push((Rule::MaxDown, fault));
            }
        }
    }

    pub(crate) fn on_report(
        &mut self,
        number: u64,
        finished: bool,
        waves: &[Wave],
        platform: &Platform,
        now: Timestamp,
    ) {
        self.note(now, || format!("wave {number} is reported, finished: {finished}"));
        self.reported.insert(number, finished);
        for wave in waves.iter().filter(|wave| finished && wave.number == number) {
            let open = self.open(wave, platform);
            let since = open.map(|id| (id.clone(), platform.vms[id].since));
            let settled: Vec<_> = since.filter(|(_, at)| *at + LISTED_FOR <= now).collect();
            let suspects = settled.into_iter().map(|(id, since)| (number, id, since, now));
            self.suspects.extend(suspects);
        }
    }

    pub(crate) fn on_answer(&mut self, order: &FleetOrder, fleet: &Fleet) {
        let (vm, request) = parts(order);
        let planned = fleet.planned_request(&vm);
        if planned.is_some_and(|planned| *planned != request) {
            self.reached.other_plans += 1;
        }
    }

    pub(crate) fn on_list(&mut self, listed: &[Vm], waves: &[Wave], platform: &Platform) {
        let is_listed = |id: &VmId| listed.iter().any(|vm| vm.id == *id);
        let lacks_all = |wave: &&Wave| {
            let mut open = self.open(wave, platform).peekable();
            open.peek().is_some() && !open.any(is_listed)
        };
        let lacking = waves.iter().filter(lacks_all).count();
        self.reached.missing_last += u32::try_from(lacking).unwrap();
    }

    pub(crate) fn all_done(&self, waves: &[Wave]) -> bool {
        waves.iter().all(|wave| self.reported.get(&wave.number) == Some(&true))
    }

    /// Ends the history and returns all faults.
    pub(crate) fn finish(mut self, waves: &[Wave], platform: &Platform) -> Vec<(Rule, String)> {
        for (wave, id, since, at) in std::mem::take(&mut self.suspects) {
            let stays = platform.vms.get(&id).is_some_and(|present| present.since == since);
            if stays {
                let fault =
                    format!("wave {wave} is said to be done at {}; {id} hasn't begun", at.0);
                self.faults.push((Rule::Done, fault));
            }
        }
        for wave in waves.iter().filter(|wave| self.reported.get(&wave.number) != Some(&true)) {
            let fault = format!("wave {} isn't done at the end", wave.number);
            self.faults.push((Rule::InTheEnd, fault));
        }
        self.faults
    }
}
