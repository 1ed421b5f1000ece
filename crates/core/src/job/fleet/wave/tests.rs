//! Waves beside load: how many VMs are taken and when, over one or several owners.

mod listing;

use indexmap::{IndexMap, IndexSet};

use super::*;
use crate::job::{
    FleetConfig, FleetRecord, FleetRequest, OrderOutcome, Vm, fleet::tests as fixtures,
};

use fixtures::{config, load, maintained_vms, moves, orders, pool, saved, vm, vm_id, worker};

/// How long a VM of a pool takes to drain in these tests.
const DRAIN: Span = Span(3_000);

/// The interval between two ticks of the fleet.
const TICK: Span = Span(200);

fn wave(vms: std::ops::Range<usize>, max_down: u32, deadline: Timestamp) -> Wave {
    Wave { number: 1, vms: vms.map(vm_id).collect(), max_down, deadline }
}

/// A platform of VMs in one pool and on standby.
struct Replay {
    fleet: Fleet,
    vms: Vec<Vm>,
    /// Cores that the pool's jobs need.
    required_cores: u64,
    now: Timestamp,
    /// When each VM is back from its maintenance.
    back_at: IndexMap<VmId, Timestamp>,
    /// When each VM has joined its new pool.
    joins_at: IndexMap<VmId, Timestamp>,
    /// Since when each worker is to be drained.
    draining_since: IndexMap<WorkerId, Timestamp>,
    /// When the maintenance of each VM began.
    begun_at: IndexMap<VmId, Timestamp>,
    /// The workers that never drain.
    silent: IndexSet<WorkerId>,
    /// Whether the cell of the pool reports nothing.
    is_cell_silent: bool,
    /// Whether each worker has long-running tasks.
    hosts_long_running: bool,
    maintenance: Span,
    most_down: usize,
    most_away: usize,
}

impl Replay {
    fn new(in_use: usize, standby: usize, required_cores: u64) -> Self {
        let (desk, spare) = (pool("desk"), pool("spare"));
        let pool_of = |number: usize| if number < in_use { &desk } else { &spare };
        let vms: Vec<Vm> =
            (0..in_use + standby).map(|number| vm(number, pool_of(number))).collect();
        let mut fleet = Fleet::new(config(), FleetRecord::default(), (Timestamp(1_000), 1_000));
        fleet.set_standby_pools(IndexSet::from([spare]));
        Self {
            fleet,
            vms,
            required_cores,
            now: Timestamp(4_000),
            back_at: IndexMap::new(),
            joins_at: IndexMap::new(),
            draining_since: IndexMap::new(),
            begun_at: IndexMap::new(),
            silent: IndexSet::new(),
            is_cell_silent: false,
            hosts_long_running: false,
            maintenance: config().maintenance_duration,
            most_down: 0,
            most_away: 0,
        }
    }

    fn run_until(&mut self, end: Timestamp) {
        while self.now < end {
            self.now = self.now + TICK;
            self.tick();
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        self.back_at.retain(|_, at| now < *at);
        self.joins_at.retain(|_, at| now < *at);
        for vm in &mut self.vms {
            vm.state = match () {
                () if self.back_at.contains_key(&vm.id) => VmState::Maintenance,
                () if self.joins_at.contains_key(&vm.id) => VmState::Moving,
                () => VmState::Up,
            };
        }
        self.fleet.set_vms(self.vms.clone(), false, now);
        let drains = self.fleet.drain_requests(now).shift_remove(&pool("desk")).unwrap_or_default();
        self.draining_since.retain(|id, _| drains.contains_key(id));
        for id in drains.keys() {
            self.draining_since.entry(id.clone()).or_insert(now);
        }
        let is_drained = |(id, since): &(&WorkerId, &Timestamp)| {
            !self.silent.contains(*id) && now >= **since + DRAIN
        };
        let drained: Vec<WorkerId> =
            self.draining_since.iter().filter(is_drained).map(|(id, _)| id.clone()).collect();
        let in_use = self.vms.iter().filter(|vm| vm.pool == pool("desk"));
        let in_use: Vec<WorkerId> = in_use.filter_map(|vm| vm.worker.clone()).collect();
        let capacity_milli = in_use.len() as u64 * 64_000;
        let spare = in_use.into_iter().filter(|id| !drains.contains_key(id)).collect();
        let report = Load {
            spare,
            short_running_workers: if self.hosts_long_running { 0 } else { u32::MAX },
            floor_workers: 1,
            capacity_milli,
            ..load(self.required_cores, 1)
        };
        if !self.is_cell_silent {
            self.fleet.on_cell_report(&pool("desk"), report, drained, now);
        }
        self.fleet.tick(now);
        let actions = self.fleet.take_actions();
        for order in orders(&actions) {
            self.fleet.on_order_outcome(order, OrderOutcome::Accepted, now);
        }
        for (vm_id, to) in moves(&actions) {
            self.joins_at.insert(vm_id.clone(), now + Span(1_500));
            self.vms.iter_mut().filter(|vm| vm.id == vm_id).for_each(|vm| vm.pool = to.clone());
        }
        for vm_id in maintained_vms(&actions) {
            self.back_at.insert(vm_id.clone(), now + self.maintenance);
            self.begun_at.insert(vm_id, now);
        }
        self.most_down = self.most_down.max(self.back_at.len());
        let is_draining = |vm: &&Vm| {
            let since = vm.worker.as_ref().and_then(|id| self.draining_since.get(id));
            since.is_some() && !self.begun_at.contains_key(&vm.id)
        };
        let draining = self.vms.iter().filter(is_draining).count();
        self.most_away = self.most_away.max(self.back_at.len() + draining);
    }

    fn in_time(&self, deadline: Timestamp) -> usize {
        self.begun_at.values().filter(|at| **at <= deadline).count()
    }
}

const DEADLINE: Timestamp = Timestamp(34_000);

#[test]
fn while_pools_lack_vms_a_wave_takes_only_as_many_as_it_needs_to_be_in_time() {
    // The pool has 40 VMs of 64 cores and asks for far more.
    let mut replay = Replay::new(40, 0, 6_000);
    replay.fleet.add_waves(vec![wave(0..40, 20, DEADLINE)]);

    replay.run_until(DEADLINE);

    assert_eq!(replay.in_time(DEADLINE), 40);
    // Each VM is away for five seconds: with all times known beforehand, seven at once would do in
    // the 28 seconds in which maintenance can begin.
    assert!(replay.most_away <= 2 * 7, "{} away", replay.most_away);
}

#[test]
fn a_wave_is_in_time_whatever_the_load_and_never_over_its_maximum() {
    for (in_use, standby, required_cores) in [(40, 0, 6_000), (30, 10, 100), (4, 36, 6_000)] {
        let mut replay = Replay::new(in_use, standby, required_cores);
        replay.fleet.add_waves(vec![wave(0..40, 12, DEADLINE)]);

        replay.run_until(DEADLINE);

        assert_eq!(replay.in_time(DEADLINE), 40, "{in_use} in use");
        assert!(replay.most_down <= 12, "{} down", replay.most_down);
    }
}

#[test]
fn standby_vms_have_their_maintenance_at_once_while_no_pool_lacks_vms() {
    let mut replay = Replay::new(4, 12, 100);
    replay.fleet.add_waves(vec![wave(4..16, 12, DEADLINE)]);

    replay.run_until(Timestamp(6_000));

    assert_eq!(replay.begun_at.len(), 12);
}

/// Returns a fleet of four VMs in use and four on standby, at the start of a later term.
fn fleet_with_record(record: FleetRecord, wall_ms: u64) -> Fleet {
    let mut fleet = Fleet::new(config(), record, (Timestamp(0), wall_ms));
    let (desk, spare) = (pool("desk"), pool("spare"));
    let vms = (0..4).map(|number| vm(number, &desk));
    fleet.set_vms(
        vms.chain((4..8).map(|number| vm(number, &spare))).collect(),
        false,
        Timestamp(0),
    );
    fleet.set_standby_pools(IndexSet::from([spare]));
    fleet
}

fn complete_record() -> FleetRecord {
    FleetRecord { is_complete: true, ..FleetRecord::default() }
}

#[test]
fn maintenance_that_the_previous_owner_ordered_counts_towards_the_maximum() {
    let mut first = fleet_with_record(complete_record(), 1_000);
    first.add_waves(vec![wave(4..5, 1, DEADLINE)]);
    first.tick(Timestamp(100));
    let record = saved(&first.take_actions());

    // The order is still on its way, and the platform lists the VM as up.
    let mut next = fleet_with_record(record, 1_500);
    next.add_waves(vec![wave(4..8, 1, DEADLINE)]);
    next.tick(Timestamp(100));
    let at_once = maintained_vms(&next.take_actions());
    next.tick(Timestamp(4_000));
    let on_old_list = maintained_vms(&next.take_actions());
    let vms = next.vms.values().cloned().collect();
    next.set_vms(vms, false, Timestamp(4_100));
    next.tick(Timestamp(4_200));
    let on_new_list = maintained_vms(&next.take_actions());

    assert_eq!(at_once, []);
    assert_eq!(on_old_list, []);
    assert_eq!(on_new_list.len(), 1);
}

#[test]
fn a_vm_that_moves_does_not_count_as_down_for_its_wave() {
    let mut fleet = fleet_with_record(complete_record(), 1_000);
    let arrived = |cores| Load { arrived_jobs: 40, ..load(6_000, cores) };
    fleet.on_cell_report(&pool("desk"), arrived(1), Vec::new(), Timestamp(50));
    fleet.on_cell_report(&pool("desk"), arrived(900), Vec::new(), Timestamp(90));
    fleet.tick(Timestamp(100));
    let actions = fleet.take_actions();
    let moved = moves(&actions);
    assert_eq!(moved.len(), orders(&actions).len());
    for order in orders(&actions) {
        fleet.on_order_outcome(order, OrderOutcome::Accepted, Timestamp(120));
    }
    fleet.add_waves(vec![wave(0..8, 1, Timestamp(8_000))]);

    fleet.tick(Timestamp(200));
    let drains = fleet.drain_requests(Timestamp(200));
    let drained = drains[&pool("desk")].keys().cloned().collect();
    fleet.on_cell_report(&pool("desk"), arrived(900), drained, Timestamp(300));
    fleet.tick(Timestamp(400));
    let maintained = maintained_vms(&fleet.take_actions());

    assert_eq!(moved.len(), 4);
    assert_eq!(maintained.len(), 1);
}

#[test]
fn a_vm_that_is_drained_for_a_move_has_its_maintenance_first() {
    let mut fleet = fleet_with_record(complete_record(), 1_000);
    for step in 0..12_u64 {
        let now = Timestamp(100 + step * TICK.0);
        fleet.on_cell_report(&pool("desk"), load(0, 1), Vec::new(), now);
        fleet.tick(now);
    }
    fleet.take_actions();
    let leaving = fleet.drain_requests(Timestamp(2_400))[&pool("desk")].clone();
    let chosen: Vec<usize> =
        (0..4).filter(|&number| leaving.contains_key(&worker(number))).collect();

    let drained = leaving.keys().cloned().collect();
    fleet.on_cell_report(&pool("desk"), load(0, 1), drained, Timestamp(2_500));
    fleet.waves.insert(1, wave(0..4, 4, DEADLINE));
    let orders = fleet.take_due_orders(Timestamp(2_600));

    assert_eq!(chosen.len(), 2);
    assert_eq!(*orders[0].vm(), vm_id(chosen[0]));
    assert_eq!(*orders[0].request(), FleetRequest::Maintain(1));
}

#[test]
fn a_deadline_that_an_earlier_owner_knew_counts() {
    let mut first = fleet_with_record(complete_record(), 1_000);
    first.add_waves(vec![wave(0..4, 2, Timestamp(20_000))]);
    first.tick(Timestamp(100));
    let record = saved(&first.take_actions());

    // The next owner started ten seconds later, and reads the wave as if it were new.
    let mut next = fleet_with_record(record, 11_000);
    next.add_waves(vec![wave(0..4, 2, Timestamp(20_000))]);

    assert_eq!(next.deadline(&next.waves[&1]), Timestamp(10_000));
}

#[test]
fn the_pace_follows_from_the_time_left() {
    let at_once =
        |useful_ms| least_at_once(100, Span(5_000), Span(useful_ms + SLOW_DRAIN_RESERVE.0));

    assert_eq!(least_at_once(0, Span(5_000), Span(10_000)), 0);
    assert!((10..=11).contains(&at_once(50_000)));
    assert!(at_once(20_000) > 2 * at_once(50_000));
    assert!(at_once(0) >= 100);
}

/// Guards against a wave that stands still because a worker never answers its cell, so that no order about
/// its VM may be sent.
#[test]
fn a_worker_that_never_drains_holds_back_the_other_vms_of_its_wave() {
    let mut replay = Replay::new(10, 0, 640);
    replay.silent = IndexSet::from([worker(0)]);
    replay.fleet.add_waves(vec![wave(0..10, 1, Timestamp(94_000))]);

    replay.run_until(Timestamp(94_000));

    assert_eq!(replay.in_time(Timestamp(94_000)), 9);
    assert_eq!(replay.most_down, 1);
}

/// Guards against tasks that are stopped for a wave which has time enough, because some VMs don't drain.
#[test]
fn workers_that_never_drain_make_their_wave_seem_late() {
    let deadline = Timestamp(304_000);
    let mut replay = Replay::new(40, 0, 2_560);
    replay.silent = (0..3).map(worker).collect();
    replay.fleet.add_waves(vec![wave(0..40, 4, deadline)]);
    let mut was_late = false;

    while replay.now < Timestamp(204_000) {
        replay.tick();
        replay.now = replay.now + TICK;
        was_late |= replay.fleet.is_late(1, replay.now);
    }

    assert!(!was_late);
}

/// Guards against a pool whose VMs are all drained at once when its cell is heard again.
#[test]
fn a_wave_takes_ever_more_vms_of_a_pool_whose_cell_is_silent() {
    let mut replay = Replay::new(10, 0, 640);
    replay.fleet.add_waves(vec![wave(0..10, 2, Timestamp(94_000))]);
    replay.is_cell_silent = true;

    replay.run_until(Timestamp(64_000));

    assert!(replay.most_away <= 2, "{}", replay.most_away);
}

/// Guards against a wave that stands still because the cell of one pool is silent for ever.
#[test]
fn a_silent_cell_holds_back_the_vms_of_other_pools() {
    let mut replay = Replay::new(10, 4, 640);
    replay.fleet.add_waves(vec![wave(0..14, 1, Timestamp(94_000))]);
    replay.is_cell_silent = true;

    replay.run_until(Timestamp(94_000));

    assert_eq!(replay.in_time(Timestamp(94_000)), 4);
}

/// Guards against a pool that loses more and more VMs to a wave whose maintenance takes long: those that
/// are drained and wait for a place are no reason to drain others.
#[test]
fn vms_that_wait_for_their_turn_make_a_wave_drain_ever_more() {
    let maintenance = Span(40_000);
    let cfg = FleetConfig { maintenance_duration: maintenance, ..config() };
    let mut replay = Replay::new(40, 0, 2_560);
    replay.fleet = Fleet::new(cfg, FleetRecord::default(), (Timestamp(1_000), 1_000));
    replay.maintenance = maintenance;
    replay.fleet.add_waves(vec![wave(0..40, 2, Timestamp(204_000))]);

    replay.run_until(Timestamp(124_000));

    assert!(replay.most_away <= 4, "{}", replay.most_away);
    assert_eq!(replay.most_down, 2);
}

/// Guards against a pool that loses VMs to a wave because long-running tasks may be stopped one after the
/// other only.
#[test]
fn a_vm_with_long_running_tasks_holds_its_wave_back_for_too_short_or_too_long() {
    let mut replay = Replay::new(10, 0, 640);
    replay.hosts_long_running = true;
    replay.silent = IndexSet::from([worker(0)]);
    replay.fleet.add_waves(vec![wave(0..10, 1, Timestamp(124_000))]);

    replay.run_until(Timestamp(33_000));
    let early = replay.most_away;
    replay.run_until(Timestamp(124_000));

    assert_eq!(early, 1);
    assert_eq!(replay.in_time(Timestamp(124_000)), 9);
}

/// Guards against a pool that loses all its workers to a wave because none of them drains: a worker that is to
/// drain takes no more tasks, and none of them gets its maintenance.
#[test]
fn workers_that_never_drain_make_a_wave_drain_all_of_their_pool() {
    let mut replay = Replay::new(10, 0, 640);
    replay.silent = (0..10).map(worker).collect();
    replay.fleet.add_waves(vec![wave(0..10, 2, Timestamp(94_000))]);

    replay.run_until(Timestamp(94_000));

    assert!(replay.most_away < 10, "{} of 10 away, 2 at most may be down", replay.most_away);
}
