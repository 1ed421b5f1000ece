//! What is drawn: the VMs, the waves, the load of the pools, the owners, and the trouble.

use proptest::prelude::*;
use teaselgap_core::{ServiceId, Span, VmId};

/// The time within which all events and troubles of a history begin, in milliseconds.
const TROUBLED_MS: u64 = 20_000;

/// The longest time for which a VM may be missing from the platform's lists before one shows it.
pub(crate) const LONGEST_GAP: Span = Span(4_000);

/// The longest time without an owner, or for which a VM is down or away, in milliseconds.
const LONGEST_AWAY_MS: u64 = 6_000;

/// The shortest time until a VM is back under the same name, in milliseconds: one that is replaced sooner can't be
/// distinguished from its predecessor before a list shows it.
const SHORTEST_RETURN_MS: u64 = 3_000;

/// The longest drain of a worker while trouble makes drains slow, in milliseconds.
pub(crate) const LONGEST_DRAIN_MS: u64 = 6_000;

/// The number of VMs in each pool with a queue.
pub(crate) const VMS_PER_POOL: usize = 3;

/// The number of pools with a queue.
pub(crate) const POOLS: usize = 2;

/// The number of VMs at the start: those of the pools with a queue, and two on standby.
pub(crate) const VMS: usize = POOLS * VMS_PER_POOL + 2;

/// The number of VMs that may join later.
const JOINING_VMS: usize = 2;

/// What is drawn beside waves and load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Answers that are late or do not come; lists are whole.
    LateAnswers,
    /// Lists that lack VMs; answers come at once.
    ListGaps,
    /// Lists that are late or refused.
    OldLists,
    /// Orders that are carried out late, and lists that lack VMs.
    LateOrdersAndGaps,
    /// Orders that are carried out late or refused; a refusal may follow a call without an answer.
    LateOrdersAndRefusals,
    /// Orders that are carried out late, and owners that change.
    LateOrdersAndOwners,
    /// Everything.
    All,
}

/// How the platform, the cells or the store behave for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// Orders are carried out at once and answered late, up to some time after the call has ended.
    LateAnswers,
    /// Orders are carried out at once, and many calls get no answer.
    LostAnswers,
    /// Orders are carried out late, some after their calls have ended.
    LateExecution,
    /// Some orders never reach the platform.
    LostOrders,
    /// The answer to an order comes twice, or after its call has ended, too.
    DoubleAnswers,
    /// Orders are refused for now.
    Refusals,
    /// Lists are read page by page, and answered late.
    SlowLists,
    /// Lists are refused.
    NoLists,
    /// Lists lack the VMs whose numbers are in this set.
    Gap(u16),
    /// Lists are empty.
    EmptyLists,
    /// Some entries of lists cannot be read.
    UnreadableEntries,
    /// Cells answer late.
    LateReports,
    /// Cells do not answer, or their answers are lost.
    SilentCells,
    /// Drains take long.
    SlowDrains,
    /// Records are written late.
    SlowStore,
}

impl Trouble {
    fn longest_ms(self) -> u64 {
        match self {
            Self::Gap(_) | Self::EmptyLists => LONGEST_GAP.0,
            _ => 8_000,
        }
    }
}

/// A change of the platform's VMs.
#[derive(Clone, Copy, Debug)]
pub(crate) enum VmChange {
    /// The VM is down for this time.
    Crash(usize, Span),
    /// The VM leaves for good.
    Leave(usize),
    /// The VM leaves, and comes back after this time under the same name.
    Return(usize, Span),
    /// A new VM joins the first pool.
    Join(usize),
}

/// A change of the owner of the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerChange {
    /// Whether the owner hands over; otherwise it is lost.
    pub(crate) is_handover: bool,
    /// Time until the next owner begins.
    pub(crate) gap: Span,
    /// The wall clock of the next owner minus that of the others, in milliseconds, plus 500.
    pub(crate) clock_ms: u64,
}

/// A maintenance wave that is asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WavePlan {
    /// The numbers of its VMs, as a set.
    pub(crate) vms: u16,
    pub(crate) max_down: u32,
    /// Time to begin the maintenance of all VMs.
    pub(crate) duration: Span,
}

/// A time in which a pool needs all its VMs and one more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burst {
    pub(crate) pool: usize,
    pub(crate) length: Span,
}

/// A drawn history. Each event has its time, counted from the start.
#[derive(Clone, Debug)]
pub(crate) struct History {
    /// Seed of what is drawn for each single call and task.
    pub(crate) seed: u64,
    pub(crate) is_fencing: bool,
    pub(crate) waves: Vec<(Span, WavePlan)>,
    pub(crate) bursts: Vec<(Span, Burst)>,
    pub(crate) troubles: Vec<(Span, Span, Trouble)>,
    pub(crate) vm_changes: Vec<(Span, VmChange)>,
    pub(crate) owner_changes: Vec<(Span, OwnerChange)>,
}

pub(crate) fn vm_id(number: usize) -> VmId {
    format!("m{number}").parse().unwrap()
}

/// Whether a set of numbers contains the number.
pub(crate) fn contains(set: u16, number: usize) -> bool {
    set >> number & 1 == 1
}

/// The pool with this number; the last one is the standby pool.
pub(crate) fn pool(number: usize) -> ServiceId {
    let name = if number == POOLS { "spare".to_owned() } else { format!("desk-{number}") };
    name.parse().unwrap()
}

impl History {
    /// When the last wave is asked for, and all trouble is over.
    pub(crate) fn quiet_from(&self) -> Span {
        let ends = self.troubles.iter().map(|(at, length, _)| at.0 + length.0);
        Span(ends.max().unwrap_or_default().max(TROUBLED_MS + LONGEST_AWAY_MS))
    }

    /// The last deadline of a wave.
    pub(crate) fn last_deadline(&self) -> Span {
        let deadlines = self.waves.iter().map(|(at, wave)| at.0 + wave.duration.0);
        Span(deadlines.max().unwrap_or_default())
    }
}

fn time() -> impl Strategy<Value = Span> {
    (0..TROUBLED_MS).prop_map(Span)
}

fn span(ms: std::ops::Range<u64>) -> impl Strategy<Value = Span> {
    ms.prop_map(Span)
}

fn any_vms() -> impl Strategy<Value = u16> {
    1_u16..1 << (VMS + JOINING_VMS)
}

fn gap() -> impl Strategy<Value = Trouble> {
    let one = (0..VMS).prop_map(|number| Trouble::Gap(1 << number));
    prop_oneof![3 => one, 2 => any_vms().prop_map(Trouble::Gap), 1 => Just(Trouble::EmptyLists)]
}

fn late_answer() -> impl Strategy<Value = Trouble> {
    prop_oneof![Just(Trouble::LateAnswers), Just(Trouble::LostAnswers)]
}

fn other_trouble() -> impl Strategy<Value = Trouble> {
    prop::sample::select(vec![
        Trouble::LateExecution,
        Trouble::LostOrders,
        Trouble::DoubleAnswers,
        Trouble::Refusals,
        Trouble::SlowLists,
        Trouble::NoLists,
        Trouble::UnreadableEntries,
        Trouble::LateReports,
        Trouble::SilentCells,
        Trouble::SlowDrains,
        Trouble::SlowStore,
    ])
}

fn troubles(kind: Kind) -> impl Strategy<Value = Vec<(Span, Span, Trouble)>> {
    let trouble = match kind {
        Kind::LateAnswers => late_answer().boxed(),
        Kind::ListGaps => gap().boxed(),
        Kind::OldLists => prop::sample::select(vec![Trouble::NoLists, Trouble::SlowLists]).boxed(),
        Kind::LateOrdersAndGaps => prop_oneof![Just(Trouble::LateExecution), gap()].boxed(),
        Kind::LateOrdersAndRefusals => {
            prop::sample::select(vec![Trouble::LateExecution, Trouble::Refusals]).boxed()
        }
        Kind::LateOrdersAndOwners => Just(Trouble::LateExecution).boxed(),
        Kind::All => prop_oneof![1 => late_answer(), 1 => gap(), 3 => other_trouble()].boxed(),
    };
    let one = (time(), 300_u64..8_000, trouble)
        .prop_map(|(from, ms, trouble)| (from, Span(ms.min(trouble.longest_ms())), trouble));
    // Late answers meet another plan only where several come together.
    prop::collection::vec(one, if kind == Kind::LateAnswers { 4..12 } else { 1..8 })
}

fn vm_change() -> impl Strategy<Value = VmChange> {
    let vm = || 0..VMS;
    prop_oneof![
        3 => (vm(), span(500..LONGEST_AWAY_MS)).prop_map(|(vm, down)| VmChange::Crash(vm, down)),
        1 => vm().prop_map(VmChange::Leave),
        1 => (vm(), span(SHORTEST_RETURN_MS..LONGEST_AWAY_MS)).prop_map(|(vm, away)| VmChange::Return(vm, away)),
        1 => (VMS..VMS + JOINING_VMS).prop_map(VmChange::Join),
    ]
}

fn owner_change() -> impl Strategy<Value = OwnerChange> {
    (any::<bool>(), prop_oneof![0_u64..100, 100_u64..4_000], 0_u64..1_000).prop_map(
        |(is_handover, gap, clock_ms)| OwnerChange { is_handover, gap: Span(gap), clock_ms },
    )
}

/// Draws histories of the kind.
pub(crate) fn history(kind: Kind) -> impl Strategy<Value = History> {
    let wave = (any_vms(), 1_u32..4, span(6_000..25_000))
        .prop_map(|(vms, max_down, duration)| WavePlan { vms, max_down, duration });
    let burst = (0..POOLS, span(1_000..8_000)).prop_map(|(pool, length)| Burst { pool, length });
    // A move without an answer must be under way as a wave begins.
    let (waves, bursts) = if kind == Kind::LateAnswers { (2..7, 4..14) } else { (1..4, 1..8) };
    let most = if kind == Kind::All { 4 } else { 1 };
    let owners = match kind {
        Kind::All => 0..3,
        Kind::LateOrdersAndOwners => 1..4,
        _ => 0..1,
    };
    (
        any::<u64>(),
        any::<bool>(),
        prop::collection::vec((time(), wave), waves),
        prop::collection::vec((time(), burst), bursts),
        troubles(kind),
        prop::collection::vec((time(), vm_change()), 0..most),
        prop::collection::vec((time(), owner_change()), owners),
    )
        .prop_map(
            |(seed, is_fencing, waves, bursts, troubles, vm_changes, mut owner_changes)| {
                owner_changes.sort_by_key(|(at, _)| *at);
                History { seed, is_fencing, waves, bursts, troubles, vm_changes, owner_changes }
            },
        )
}
