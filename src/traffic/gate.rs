//! One VM as traffic threads see it.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use teaselgap_core::{
    RackId, Slots, Span, Timestamp, VmId, ZoneId,
    eject::{self, Health},
    route::Candidate,
};

/// What the VM list says of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct VmInfo {
    pub(crate) id: VmId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneId,
    pub(crate) rack: RackId,
}

/// An idle connection to a backend server.
pub(crate) type Connection = hyper::client::conn::http1::SendRequest<crate::backend::OutBody>;

/// A VM's slots, connections and record at this node.
pub(crate) struct VmGate {
    pub(crate) info: VmInfo,
    local: bool,
    /// When this node first saw the VM.
    added: Timestamp,
    /// Slots held in the upper half, slots in use in the lower one.
    slots: AtomicU64,
    leaving: AtomicBool,
    latency_us: AtomicU64,
    health: Mutex<Health>,
    idle: Mutex<Vec<Connection>>,
}

impl fmt::Debug for VmGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (held, in_use) = unpack(self.slots.load(Ordering::Acquire));
        write!(f, "VmGate({}, {in_use} of {held})", self.info.id)
    }
}

const HALF: u32 = 32;

fn pack(held: u32, in_use: u32) -> u64 {
    u64::from(held) << HALF | u64::from(in_use)
}

fn unpack(word: u64) -> (u32, u32) {
    let half = |n: u64| u32::try_from(n & u64::from(u32::MAX)).unwrap_or(u32::MAX);
    (half(word >> HALF), half(word))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl VmGate {
    pub(crate) fn new(info: VmInfo, local: bool, added: Timestamp) -> Self {
        Self {
            info,
            local,
            added,
            slots: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            latency_us: AtomicU64::new(0),
            health: Mutex::default(),
            idle: Mutex::default(),
        }
    }

    /// Takes a free slot; false if there is none.
    pub(crate) fn acquire(&self) -> bool {
        let taken = self.slots.fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
            let (held, in_use) = unpack(word);
            (in_use < held).then(|| pack(held, in_use + 1))
        });
        taken.is_ok()
    }

    /// Gives a slot back.
    pub(crate) fn release(&self) {
        self.slots.fetch_sub(1, Ordering::AcqRel);
    }

    /// Changes how many slots this node holds; those in use beyond it are given back as they end.
    pub(crate) fn set_held(&self, held: Slots) {
        let _ = self.slots.fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
            Some(pack(held.0, unpack(word).1))
        });
        let mut idle = lock(&self.idle);
        idle.truncate(held.0 as usize);
    }

    /// Slots held and in use.
    pub(crate) fn slots(&self) -> (u32, u32) {
        unpack(self.slots.load(Ordering::Acquire))
    }

    /// The most slots that this node may occupy until it holds more.
    pub(crate) fn ceiling(&self) -> u32 {
        let (held, in_use) = self.slots();
        held.max(in_use)
    }

    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Notes how an attempt went.
    pub(crate) fn record(&self, succeeded: bool, took_us: u64, now: Timestamp) {
        lock(&self.health).record(&eject::Config::default(), succeeded, now);
        if succeeded {
            let mean = self.latency_us.load(Ordering::Relaxed);
            let next = if mean == 0 { took_us } else { mean - mean / 8 + took_us / 8 };
            self.latency_us.store(next.max(1), Ordering::Relaxed);
        }
    }

    /// Lets a judge see the record.
    pub(crate) fn health(&self) -> MutexGuard<'_, Health> {
        lock(&self.health)
    }

    /// The VM as the routing policy sees it.
    pub(crate) fn candidate(&self, warm_up: Span, now: Timestamp) -> Candidate {
        let (held, in_use) = self.slots();
        let health = lock(&self.health);
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of a warm-up")]
        let warm_up_share = match warm_up.0 {
            0 => 1.0,
            whole => (now.since(self.added).0 as f64 / whole as f64).min(1.0),
        };
        Candidate {
            held: Slots(held),
            in_use: Slots(in_use),
            latency_us: self.latency_us.load(Ordering::Relaxed),
            success_rate: health.success_rate(),
            local: self.local,
            excluded: self.is_leaving() || health.is_ejected(now),
            warm_up_share,
        }
    }

    /// An idle connection that is still open.
    pub(crate) fn checkout(&self) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        while let Some(connection) = idle.pop() {
            if !connection.is_closed() && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose exchange finished in order, if a slot is held for it.
    pub(crate) fn check_in(&self, connection: Connection) {
        let (held, _) = self.slots();
        let mut idle = lock(&self.idle);
        if !connection.is_closed() && !self.is_leaving() && idle.len() < held as usize {
            idle.push(connection);
        }
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use super::*;

    fn gate() -> VmGate {
        let info = VmInfo {
            id: "vm1".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "z1".parse().unwrap(),
            rack: "r1".parse().unwrap(),
        };
        VmGate::new(info, true, Timestamp(0))
    }

    #[test]
    fn a_smaller_grant_lets_running_requests_end_and_admits_no_more() {
        let gate = gate();
        gate.set_held(Slots(2));
        assert!(gate.acquire() && gate.acquire());

        gate.set_held(Slots(1));

        assert_eq!(gate.ceiling(), 2);
        gate.release();
        assert!(!gate.acquire());
        gate.release();
        assert!(gate.acquire());
    }

    #[test]
    fn threads_never_take_more_than_is_held() {
        let gate = Arc::new(gate());
        gate.set_held(Slots(5));

        let threads: Vec<_> = (0..8)
            .map(|_| {
                let gate = Arc::clone(&gate);
                std::thread::spawn(move || (0..100).filter(|_| gate.acquire()).count())
            })
            .collect();
        let taken: usize = threads.into_iter().map(|thread| thread.join().unwrap()).sum();

        assert_eq!(taken, 5);
    }
}
