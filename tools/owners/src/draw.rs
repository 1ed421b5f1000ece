//! The trouble of a play, as a function of its seed.

mod recut;
#[cfg(test)]
mod tests;

use self::recut::recut;
use crate::{
    late::{Kind, Lateness},
    links::Way,
    store::Mode,
};

/// A small generator (splitmix64), so that a seed gives the same play everywhere.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x2545_f491_4f6c_dd1d).wrapping_add(0x9e37_79b9))
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low + 1)
    }

    /// As `between`, with small numbers as likely as great ones.
    fn spread(&mut self, low: u64, high: u64) -> u64 {
        let top = self.between(low, high);
        self.between(low, top)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.between(1, 100) <= percent
    }
}

/// A node, resolved when the trouble begins.
#[derive(Clone, Copy, Debug)]
pub enum Who {
    Owner,
    /// The node so many places after the owner.
    Other(usize),
}

/// Where a link of a node leads.
#[derive(Clone, Copy, Debug)]
pub enum To {
    /// The workers whose bits are set.
    Workers(u64),
    Node(Who),
    Nodes,
    Store,
}

/// One trouble. All times are in milliseconds.
#[derive(Clone, Debug)]
pub enum Act {
    /// Jobs of so many work units arrive.
    Burst {
        jobs: u64,
        run_ms: u64,
    },
    /// As `Burst`, but the work units run for longer than their job says.
    Long {
        jobs: u64,
        run_ms: u64,
    },
    /// A job arrives whose work units, so many, only one worker may run.
    Units {
        worker: u64,
        count: u64,
        run_ms: u64,
    },
    Freeze {
        who: Who,
        ms: u64,
    },
    Kill {
        who: Who,
        down_ms: u64,
    },
    /// The node is killed and started at once, and again as soon as it has had this time.
    KillTwice {
        who: Who,
        gap_ms: u64,
    },
    Stop {
        who: Who,
        down_ms: u64,
    },
    /// A link holds back what is under way, and delivers it afterwards.
    Hold {
        who: Who,
        to: To,
        way: Way,
        ms: u64,
    },
    Slow {
        who: Who,
        to: To,
        way: Way,
        latency_ms: u64,
        ms: u64,
    },
    /// The store treats a node in this way.
    Store {
        who: Who,
        mode: Mode,
        ms: u64,
    },
    /// The store is down for all. Leases pause, unless they expire then; the entries of the workers
    /// whose bits are set expire, too.
    Down {
        ms: u64,
        expires: bool,
        entries: u64,
    },
    Crash {
        worker: u64,
        down_ms: u64,
    },
    /// The workers whose bits are set crash together and start again under their ids; their entries
    /// are written this much later.
    Restart {
        workers: u64,
        down_ms: u64,
        entry_ms: u64,
    },
    /// The holds of all nodes for the workers whose bits are set are held back and arrive afterwards;
    /// start orders are not.
    Unheard {
        workers: u64,
        ms: u64,
    },
    /// No node reaches the workers whose bits are set.
    Cut {
        workers: u64,
        ms: u64,
    },
    /// Calls of all nodes to the workers whose bits are set are late.
    Late {
        workers: u64,
        lateness: Lateness,
        ms: u64,
    },
}

pub struct Plan {
    pub nodes: usize,
    pub workers: usize,
    /// Each act with the time at which it begins, in milliseconds from the beginning of the trouble.
    pub acts: Vec<(u64, Act)>,
    /// The longest lease of a worker, in milliseconds.
    pub max_hold_ms: u64,
    pub shows: Shows,
    /// Whether restarted workers are cut off.
    pub has_cuts: bool,
}

/// By what a play shows something. Without it, nothing was played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shows {
    NewOwner,
    /// A late call reached a later life than the one it was sent to.
    LateCall,
    /// A restarted worker was cut off while something ran on it.
    CutRun,
    LateCallOrCutRun,
}

type Scene = fn(&mut Draw, u64);

/// The scenes, each with how often it is drawn.
const SCENES: [(&str, u64, Scene); 16] = [
    ("freeze", 16, freeze),
    ("kill", 8, kill),
    ("stop", 6, stop),
    ("links", 14, links),
    ("store", 12, store),
    ("down", 8, down),
    ("flap", 6, flap),
    ("crash", 8, crash),
    ("split", 5, split),
    ("heir", 5, heir),
    ("alone", 5, alone),
    ("handover", 6, handover),
    ("chain", 6, chain),
    ("sleeper", 10, sleeper),
    ("lapse", 6, lapse),
    ("reborn", 6, reborn),
];

/// The scenes that show something when a late call reaches a next life of its worker. Without an aim they
/// come on top of what a seed draws from the others.
const LATE_SCENES: [(&str, u64, Scene); 3] =
    [("late", 8, late), ("confirmed", 6, confirmed), ("stray", 6, stray)];

/// The scenes that show something when restarted workers are cut off while something runs on them. They are
/// drawn only if they are named.
const CUT_SCENES: [(&str, u64, Scene); 1] = [("recut", 8, recut)];

/// The scenes that never change the owner and show nothing by themselves.
const BESIDE: [&str; 1] = ["crash"];

/// The longest lease of a worker in the plays of all other scenes, in milliseconds.
const MAX_HOLD_MS: u64 = 10_000;

/// One barely above the lease that the owner asks for.
const TIGHT_HOLD_MS: u64 = 6_000;

/// How many workers more there are where some are cut off, so that the others have room for their work.
const SPARE_WORKERS: usize = 3;

/// How many of a hundred seeds play a late scene, too, without an aim.
const LATE_PERCENT: u64 = 50;

impl Plan {
    /// Draws a play whose trouble lasts `span_ms`; only the scenes `aim`, if any are
    /// named, with commas between them.
    pub fn draw(seed: u64, span_ms: u64, aim: Option<&str>) -> Self {
        let mut rng = Rng::new(seed);
        let nodes = rng.between(3, 5) as usize;
        let workers = rng.between(4, 6) as usize;
        let has_cuts = aim.is_some_and(|aim| aim.split(',').any(|scene| has(&CUT_SCENES, scene)));
        let workers = if has_cuts { workers + SPARE_WORKERS } else { workers };
        let (nodes, workers) = (nodes as u64, workers as u64);
        let is_tight = has_cuts && Rng::new(!seed).chance(25);
        let max_hold_ms = if is_tight { TIGHT_HOLD_MS } else { MAX_HOLD_MS };
        let acts = Vec::new();
        let mut draw = Draw { rng, nodes, workers, acts, span_ms, busy_until: 0, max_hold_ms };
        let pace_ms = draw.rng.between(700, 2_200);
        let mut at = 1_500;
        // Trouble lasts for some seconds after it began.
        while at + 4_000 < span_ms {
            let scene = draw.scene(aim);
            scene(&mut draw, at);
            let is_one = aim.is_some_and(|aim| !aim.contains(','));
            let pause = if is_one { 9_000 } else { 2 * pace_ms };
            at = (at + draw.rng.between(pause / 10, pause)).max(draw.busy_until);
        }
        if aim.is_none() {
            draw.rng = Rng::new(!seed);
            draw.add_late_scene(span_ms);
        }
        draw.acts.sort_by_key(|(at, _)| *at);
        Self {
            nodes: nodes as usize,
            workers: workers as usize,
            acts: draw.acts,
            max_hold_ms,
            shows: Shows::by(aim),
            has_cuts,
        }
    }
}

fn has(scenes: &[(&str, u64, Scene)], scene: &str) -> bool {
    scenes.iter().any(|(name, ..)| *name == scene)
}

impl Shows {
    /// By what the scenes that are named show something: by a change of owner, unless all of them are of
    /// other kinds.
    fn by(aim: Option<&str>) -> Self {
        let named =
            |is_wanted: &dyn Fn(&str) -> bool| aim.is_some_and(|aim| aim.split(',').any(is_wanted));
        let is_late = |scene: &str| has(&LATE_SCENES, scene);
        let is_cut = |scene: &str| has(&CUT_SCENES, scene);
        if named(&|scene| !is_late(scene) && !is_cut(scene) && !BESIDE.contains(&scene)) {
            return Self::NewOwner;
        }
        match (named(&is_late), named(&is_cut)) {
            (true, true) => Self::LateCallOrCutRun,
            (true, false) => Self::LateCall,
            (false, true) => Self::CutRun,
            (false, false) => Self::NewOwner,
        }
    }
}

struct Draw {
    rng: Rng,
    nodes: u64,
    workers: u64,
    acts: Vec<(u64, Act)>,
    /// How long the trouble lasts.
    span_ms: u64,
    /// Until when no other scene begins.
    busy_until: u64,
    /// The longest lease of a worker.
    max_hold_ms: u64,
}

impl Draw {
    fn scene(&mut self, aim: Option<&str>) -> Scene {
        let Some(aim) = aim else { return self.pick(&SCENES) };
        let scenes = SCENES.iter().chain(&LATE_SCENES).chain(&CUT_SCENES);
        let scenes = scenes.filter(|(name, ..)| aim.split(',').any(|one| one == *name));
        self.pick(&scenes.copied().collect::<Vec<_>>())
    }

    fn pick(&mut self, scenes: &[(&str, u64, Scene)]) -> Scene {
        let all: u64 = scenes.iter().map(|(_, weight, _)| weight).sum();
        let mut left = self.rng.between(1, all.max(1));
        for (_, weight, scene) in scenes {
            if left <= *weight {
                return *scene;
            }
            left -= weight;
        }
        freeze
    }

    fn add_late_scene(&mut self, span_ms: u64) {
        if self.rng.chance(LATE_PERCENT) {
            let at = self.rng.between(1_500, span_ms.saturating_sub(4_000).max(1_500));
            let scene = self.pick(&LATE_SCENES);
            scene(self, at);
        }
    }

    fn add(&mut self, at: u64, act: Act) {
        self.acts.push((at, act));
    }

    /// The owner, more often than others.
    fn who(&mut self) -> Who {
        if self.rng.chance(65) { Who::Owner } else { self.other() }
    }

    fn other(&mut self) -> Who {
        Who::Other(self.rng.between(1, self.nodes - 1) as usize)
    }

    /// Some workers, at least one.
    fn some_workers(&mut self) -> u64 {
        let all = (1 << self.workers) - 1;
        self.rng.between(1, all)
    }

    fn way(&mut self) -> Way {
        if self.rng.chance(60) { Way::Out } else { Way::Back }
    }

    fn away(&mut self) -> Mode {
        [Mode::Refuse, Mode::Reset, Mode::Silent][self.rng.between(0, 2) as usize]
    }

    /// Work that arrives just before something, so that orders are under way.
    fn burst(&mut self, at: u64) {
        let jobs = self.rng.between(3, 12);
        let run_ms = if self.rng.chance(50) { 600 } else { self.rng.between(4_000, 9_000) };
        let early = self.rng.between(5, 120);
        self.add(at - early, Act::Burst { jobs, run_ms });
    }

    /// Cuts both ways of a link.
    fn cut(&mut self, at: u64, who: Who, to: To, ms: u64) {
        for way in [Way::Out, Way::Back] {
            self.add(at, Act::Hold { who, to, way, ms });
        }
    }
}

fn freeze(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (who, ms) = (draw.who(), draw.rng.spread(100, 12_000));
    draw.add(at, Act::Freeze { who, ms });
}

fn kill(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let down_ms = if draw.rng.chance(50) { 0 } else { draw.rng.spread(50, 5_000) };
    let who = draw.who();
    draw.add(at, Act::Kill { who, down_ms });
}

fn stop(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (who, down_ms) = (draw.who(), draw.rng.spread(0, 3_000));
    draw.add(at, Act::Stop { who, down_ms });
}

fn links(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let who = draw.who();
    let to = match draw.rng.between(0, 9) {
        0..=4 => To::Workers(draw.some_workers()),
        5 => To::Nodes,
        6 => To::Node(draw.other()),
        _ => To::Store,
    };
    let ms = draw.rng.spread(200, 8_000);
    match draw.rng.between(0, 2) {
        0 => draw.cut(at, who, to, ms),
        1 => {
            let way = draw.way();
            draw.add(at, Act::Hold { who, to, way, ms });
        }
        _ => {
            let (way, latency_ms) = (draw.way(), draw.rng.spread(50, 3_000));
            draw.add(at, Act::Slow { who, to, way, latency_ms, ms });
        }
    }
}

fn store(draw: &mut Draw, at: u64) {
    let mode = match draw.rng.between(0, 5) {
        0 => Mode::Mute,
        1 => Mode::Late(draw.rng.spread(300, 4_000)),
        _ => draw.away(),
    };
    let ms = draw.rng.spread(500, 9_000);
    let is_for_many = draw.rng.chance(40);
    for place in 0..draw.nodes {
        let who = if place == 0 { Who::Owner } else { Who::Other(place as usize) };
        if (place == 0 && draw.rng.chance(80)) || (place > 0 && is_for_many && draw.rng.chance(60))
        {
            draw.add(at, Act::Store { who, mode, ms });
        }
    }
}

fn down(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (ms, expires) = (draw.rng.spread(500, 9_000), draw.rng.chance(60));
    let entries = if draw.rng.chance(50) { draw.some_workers() } else { 0 };
    draw.add(at, Act::Down { ms, expires, entries });
}

/// The store is away for 1.5 s, back for 0.3 s, and away again.
fn flap(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (rounds, mode) = (draw.rng.between(2, 4), draw.away());
    let is_for_all = draw.rng.chance(60);
    for place in 0..if is_for_all { draw.nodes } else { 1 } {
        let who = if place == 0 { Who::Owner } else { Who::Other(place as usize) };
        for round in 0..rounds {
            draw.add(at + 1_800 * round, Act::Store { who, mode, ms: 1_500 });
        }
    }
}

fn crash(draw: &mut Draw, at: u64) {
    let (worker, down_ms) = (draw.rng.between(0, draw.workers - 1), draw.rng.spread(50, 5_000));
    draw.add(at, Act::Crash { worker, down_ms });
}

/// Some workers, the owner and a node beside it are cut off from all others and from the store.
fn split(draw: &mut Draw, at: u64) {
    part(draw, at, (6_000, 17_000), None);
}

/// As `split`, but the node beside the owner soon reaches the store again, and the next owner is killed
/// and started at once when it has just claimed the cell.
fn heir(draw: &mut Draw, at: u64) {
    let word_ms = draw.rng.between(3_200, 4_000);
    part(draw, at, (11_000, 15_000), Some(word_ms));
    let kill_at = at + draw.rng.between(2_300, 2_800);
    draw.add(kill_at, Act::Kill { who: Who::Owner, down_ms: 0 });
}

/// All leases expire while the store is down. The owner is back first, claims the cell, and loses the
/// store before any other node has registered again; it and the others reach different workers.
fn alone(draw: &mut Draw, at: u64) {
    let run_ms = draw.rng.between(12_000, 18_000);
    draw.add(at - 800, Act::Burst { jobs: 10, run_ms });
    let (down_ms, ms) = (draw.rng.between(2_200, 3_500), draw.rng.between(11_000, 15_000));
    draw.add(at, Act::Down { ms: down_ms, expires: true, entries: 0 });
    let leave_at = at + down_ms + draw.rng.between(900, 1_500);
    let (mode, back_ms) = (draw.away(), leave_at - at + draw.rng.between(50, 400));
    let all = (1 << draw.workers) - 1;
    let near = draw.rng.between(1, all - 1);
    for place in 1..draw.nodes as usize {
        draw.add(at, Act::Store { who: Who::Other(place), mode: Mode::Refuse, ms: back_ms });
        draw.cut(leave_at, Who::Other(place), To::Workers(near), ms);
    }
    draw.add(leave_at, Act::Store { who: Who::Owner, mode, ms });
    draw.cut(leave_at, Who::Owner, To::Workers(all & !near), ms);
}

/// Cuts off the owner for a time drawn from the range, and the node beside it from the store for
/// `word_ms`, or as long.
fn part(draw: &mut Draw, at: u64, (low, high): (u64, u64), word_ms: Option<u64>) {
    let run_ms = draw.rng.between(12_000, 18_000);
    draw.add(at - 800, Act::Burst { jobs: 10, run_ms });
    let (ms, mode) = (draw.rng.between(low, high), draw.away());
    let beside = draw.rng.between(1, draw.nodes - 1) as usize;
    let all = (1 << draw.workers) - 1;
    let near = draw.rng.between(1, all - 1);
    draw.add(at, Act::Store { who: Who::Owner, mode, ms });
    draw.add(at, Act::Store { who: Who::Other(beside), mode, ms: word_ms.unwrap_or(ms) });
    for place in 0..draw.nodes as usize {
        let is_near = place == 0 || place == beside;
        let who = if place == 0 { Who::Owner } else { Who::Other(place) };
        draw.cut(at, who, To::Workers(if is_near { all & !near } else { near }), ms);
        if is_near {
            continue;
        }
        for near_node in [Who::Owner, Who::Other(beside)] {
            draw.cut(at, near_node, To::Node(who), ms);
            draw.cut(at, who, To::Node(near_node), ms);
        }
    }
}

/// The owner is stopped in order while a link to some workers holds its orders.
fn handover(draw: &mut Draw, at: u64) {
    draw.burst(at + 150);
    let (to, ms) = (To::Workers(draw.some_workers()), draw.rng.between(1_500, 4_000));
    draw.add(at, Act::Hold { who: Who::Owner, to, way: Way::Out, ms });
    let stop_at = at + draw.rng.between(160, 600);
    draw.add(stop_at, Act::Stop { who: Who::Owner, down_ms: 500 });
    if draw.rng.chance(50) {
        let (begin, ms) = (draw.rng.between(1, 300), draw.rng.between(500, 5_000));
        draw.add(stop_at + begin, Act::Freeze { who: Who::Owner, ms });
    }
}

/// The owner is killed twice within a second, while an earlier owner may be frozen.
fn chain(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let is_frozen = draw.rng.chance(60);
    let ms = draw.rng.between(2_500, 9_000);
    if is_frozen {
        draw.add(at, Act::Freeze { who: Who::Owner, ms });
    }
    let kill_at = if is_frozen { at + draw.rng.between(2_200, 4_500) } else { at + 1 };
    draw.burst(kill_at);
    let gap_ms = draw.rng.between(100, 900);
    draw.add(kill_at, Act::KillTwice { who: Who::Owner, gap_ms });
}

/// The owner is frozen in the middle of sending; the next one doesn't reach some of the workers.
fn sleeper(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (ms, to) = (draw.rng.between(1_900, 9_000), To::Workers(draw.some_workers()));
    for place in 1..draw.nodes as usize {
        draw.cut(at, Who::Other(place), to, ms + 800);
    }
    draw.add(at, Act::Freeze { who: Who::Owner, ms });
}

/// Leases and entries end while the store is down; the owner loses its place on its return.
fn lapse(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (ms, entries) = (draw.rng.between(2_000, 7_000), draw.some_workers());
    draw.add(at, Act::Down { ms, expires: true, entries });
    let cut_ms = ms + draw.rng.between(500, 4_000);
    let to = To::Workers(entries);
    if draw.rng.chance(50) {
        draw.cut(at + 200, Who::Owner, to, cut_ms);
    }
    if draw.rng.chance(50) {
        draw.add(at + draw.rng.clone().between(100, ms), Act::Freeze { who: Who::Owner, ms });
    }
}

/// A worker starts again, and its answers are held up so that the owner doesn't know; the owner's next
/// orders reach the new life, and the next owner doesn't reach it.
fn reborn(draw: &mut Draw, at: u64) {
    let worker = draw.rng.between(0, draw.workers - 1);
    let to = To::Workers(1 << worker);
    draw.add(at, Act::Hold { who: Who::Owner, to, way: Way::Back, ms: 2_500 });
    draw.add(at + 5, Act::Crash { worker, down_ms: draw.rng.clone().between(5, 60) });
    let run_ms = draw.rng.between(8_000, 13_000);
    draw.add(at + 100, Act::Burst { jobs: 12, run_ms });
    let end_at = at + draw.rng.between(300, 700);
    for place in 0..draw.nodes as usize {
        let who = if place == 0 { Who::Owner } else { Who::Other(place) };
        draw.cut(end_at, who, to, 12_000);
    }
    let act = match draw.rng.between(0, 2) {
        0 => Act::Stop { who: Who::Owner, down_ms: 500 },
        1 => Act::Kill { who: Who::Owner, down_ms: 0 },
        _ => Act::KillTwice { who: Who::Owner, gap_ms: 400 },
    };
    draw.add(end_at + 1, act);
}

impl Draw {
    /// Makes calls to these workers late, by a seed that is drawn here.
    fn late(&mut self, at: u64, workers: u64, ms: u64, lateness: Lateness) {
        let seed = self.rng.next();
        self.add(at, Act::Late { workers, ms, lateness: Lateness { seed, ..lateness } });
    }

    /// A worker crashes and soon starts again under its id.
    fn rebirth(&mut self, at: u64, worker: u64) {
        let down_ms = self.rng.between(5, 150);
        self.add(at, Act::Crash { worker, down_ms });
    }

    /// The owner can't reach a worker for a moment.
    fn blink(&mut self, at: u64, worker: u64) {
        let ms = self.rng.between(100, 900);
        self.cut(at, Who::Owner, To::Workers(1 << worker), ms);
    }
}

/// For some seconds a share of the calls to some workers is late; these crash and are soon back.
fn late(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (workers, ms) = (draw.some_workers(), draw.rng.between(1_500, 4_000));
    let delay_ms = (2_000, draw.rng.between(2_500, 12_000));
    let percent = draw.rng.spread(5, 50);
    let lateness = Lateness { kinds: Kind::ALL.to_vec(), percent, most: 1_000, delay_ms, seed: 0 };
    draw.late(at, workers, ms, lateness);
    let again = at + draw.rng.between(300, ms);
    draw.burst(again);
    for worker in (0..draw.workers).filter(|worker| workers & (1 << worker) != 0) {
        if draw.rng.chance(70) {
            let crash_at = at + draw.rng.between(400, ms + 1_500);
            draw.rebirth(crash_at, worker);
        }
    }
}

/// A hold that confirms ends is carried out in its worker's next life, just after work units have
/// ended there of which the owner can't hear yet.
fn confirmed(draw: &mut Draw, at: u64) {
    // At the beginning of a play, workers have been idle and are rarely called.
    let at = at + 1_500;
    let worker = draw.rng.between(0, draw.workers - 1);
    draw.add(at, Act::Units { worker, count: 48, run_ms: 120 });
    let (hold_at, most) = (at + draw.rng.between(900, 1_300), draw.rng.between(1, 3));
    let late_ms = draw.rng.between(2_500, 4_500);
    let (kinds, delay_ms) = (vec![Kind::Confirming], (late_ms, late_ms));
    let lateness = Lateness { kinds, percent: 100, most, delay_ms, seed: 0 };
    draw.late(hold_at, 1 << worker, 300, lateness);
    draw.rebirth(hold_at + 400, worker);
    let arrival_at = hold_at + late_ms;
    let units_at = arrival_at - draw.rng.between(350, 900);
    draw.add(units_at, Act::Units { worker, count: 24, run_ms: 150 });
    let blink_at = arrival_at - draw.rng.between(50, 300);
    draw.blink(blink_at, worker);
}

/// Start orders are carried out in their worker's next life, when the work units were done elsewhere.
fn stray(draw: &mut Draw, at: u64) {
    let worker = draw.rng.between(0, draw.workers - 1);
    let (jobs, run_ms) = (draw.rng.between(6, 12), draw.rng.between(150, 600));
    let longest = draw.rng.between(2_500, 9_000);
    let kinds = if draw.rng.chance(60) { vec![Kind::Start] } else { vec![Kind::Start, Kind::Stop] };
    let (percent, most) = (draw.rng.between(50, 100), draw.rng.between(2, 12));
    let lateness = Lateness { kinds, percent, most, delay_ms: (2_000, longest), seed: 0 };
    draw.late(at, 1 << worker, 900, lateness);
    draw.add(at + 20, Act::Burst { jobs, run_ms });
    let crash_at = at + draw.rng.between(200, 1_200);
    draw.rebirth(crash_at, worker);
    if draw.rng.chance(50) {
        let blink_at = at + draw.rng.between(1_900, longest);
        draw.blink(blink_at, worker);
    }
}
