//! Which VMs count as gone: those that several lists in a row lack.
//!
//! A list may be older than a VM that joins, and its pages are no snapshot, so one list that lacks a
//! VM is weak evidence. What rests on VMs that are gone waits longer instead.

use indexmap::IndexMap;

use super::{Fleet, Vm, Wave};
use crate::{Span, Timestamp, VmId};

/// The fewest lists in a row that lack a VM which counts as gone.
const FEWEST_LISTS_WITHOUT: u32 = 3;

/// The least time between the asking for the first and for the last of these lists, so that lists which
/// follow each other at once, or are served from the same moment for a while, don't suffice.
const LEAST_ABSENCE: Span = Span(5_000);

/// Lists in a row that lack a VM.
#[derive(Clone, Copy, Debug, Default)]
struct ListsWithout {
    count: u32,
    /// When the latest of them was asked for.
    asked: Timestamp,
    /// The time from which on a list must be asked for to show that the VM is gone.
    gone_from: Timestamp,
}

impl ListsWithout {
    fn add(&mut self, asked: Timestamp) {
        if self.count == 0 {
            self.gone_from = asked + LEAST_ABSENCE;
        }
        self.count = self.count.saturating_add(1);
        self.asked = asked;
    }

    fn is_enough(self) -> bool {
        self.count >= FEWEST_LISTS_WITHOUT && self.asked >= self.gone_from
    }
}

/// What the platform's lists of VMs in this term tell of VMs that the latest one lacks.
#[derive(Debug, Default)]
pub(super) struct ListHistory {
    /// The latest lists in a row that tell which VMs are missing. They lack each VM that is not in
    /// `later` and not in the latest list.
    lists: ListsWithout,
    /// The shorter rows of VMs that were listed, or named by a new wave, since the first of `lists`.
    later: IndexMap<VmId, ListsWithout>,
}

impl ListHistory {
    /// Adds the list that was asked for at `asked` and follows `previous`.
    ///
    /// A list that is empty or has unreadable entries does not tell which VMs are missing: after it,
    /// all rows start anew.
    pub(super) fn add(
        &mut self,
        previous: &IndexMap<VmId, Vm>,
        list: &IndexMap<VmId, Vm>,
        has_unreadable_entries: bool,
        asked: Timestamp,
    ) {
        if list.is_empty() || has_unreadable_entries {
            *self = Self::default();
            return;
        }
        self.lists.add(asked);
        for vm_id in previous.keys().filter(|vm_id| !list.contains_key(*vm_id)) {
            self.later.entry(vm_id.clone()).or_default();
        }
        self.later.retain(|vm_id, lists| {
            lists.add(asked);
            // Once a shorter row is long enough, `lists` is, too.
            !list.contains_key(vm_id) && !lists.is_enough()
        });
    }

    /// Starts the row of a VM that a new wave names anew: the wave may be younger than the latest list.
    fn restart(&mut self, vm_id: &VmId) {
        self.later.insert(vm_id.clone(), ListsWithout::default());
    }

    /// Whether a VM that the latest list lacks counts as gone.
    fn is_gone(&self, vm_id: &VmId) -> bool {
        self.later.get(vm_id).unwrap_or(&self.lists).is_enough()
    }
}

impl Fleet {
    /// Forgets what earlier lists tell of the VMs of a new wave.
    pub(super) fn await_vms(&mut self, wave: &Wave) {
        for vm_id in &wave.vms {
            self.list_history.restart(vm_id);
        }
    }

    /// Whether a VM of a wave is not listed, has not begun its maintenance, and may be listed again.
    pub(super) fn awaits_vm(&self, wave: &Wave) -> bool {
        let begun = self.record.begun.get(&wave.number);
        wave.vms.iter().any(|vm_id| {
            !self.vms.contains_key(vm_id)
                && begun.is_none_or(|begun| !begun.contains(vm_id))
                && !self.list_history.is_gone(vm_id)
        })
    }
}
