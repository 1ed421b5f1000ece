//! The trouble of a play, as a function of its seed.

mod act;
mod late_calls;
mod nodes;
mod open;
mod parted;
mod recut;
mod rng;
mod store;
#[cfg(test)]
mod tests;
mod workers;

pub use self::{
    act::{Act, To, Who},
    rng::Rng,
};
use self::{
    late_calls::{confirmed, late, stray},
    nodes::{chain, freeze, handover, kill, links, sleeper, stop},
    open::{kept, lists, new_room},
    parted::{alone, heir, split},
    recut::recut,
    store::{down, flap, lapse, store},
    workers::{crash, reborn},
};
use crate::{links::Way, store::Mode, variant::Variant};

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
    /// How workers act where the pages leave it open, if not as in other plays.
    pub variant: Option<Variant>,
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
    /// The way in which the workers act had an effect.
    Effect,
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

/// The scenes in which workers act in ways that the pages leave open. They are drawn only if they are named.
const OPEN_SCENES: [(&str, u64, Scene); 6] = [
    ("kept", 6, kept),
    ("late_clock", 6, lists),
    ("old_lists", 6, lists),
    ("missing_run", 6, lists),
    ("missing_vm", 6, lists),
    ("new_room", 6, new_room),
];

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
            variant: open::variant(seed, aim),
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
        if aim == Some("new_room") {
            return Self::Effect;
        }
        let is_late = |scene: &str| has(&LATE_SCENES, scene) || scene == "kept";
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
        let scenes = SCENES.iter().chain(&LATE_SCENES).chain(&CUT_SCENES).chain(&OPEN_SCENES);
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
