//! What a scene is made of.

use crate::{late::Lateness, links::Way, store::Mode};

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
    /// Waits until long work runs on one of the workers whose bits are set, which get some if there is none,
    /// but no longer than this. All acts after it are put off by as long.
    AwaitWork {
        workers: u64,
        ms: u64,
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
