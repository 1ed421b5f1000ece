//! The slots of a VM that this node may use, with the VM's idle connections and its health.

#[cfg(test)]
mod tests;

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

/// The properties of a VM in the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct VmInfo {
    pub(crate) id: VmId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneId,
    pub(crate) rack: RackId,
}

/// How long after the last answer of a VM its mean latency counts. After that the VM is tried again, as
/// it may be quicker by now.
const LATENCY_VALIDITY: Span = Span(10_000);

/// A connection to a backend server.
pub(crate) type Connection = hyper::client::conn::http1::SendRequest<crate::backend::OutgoingBody>;

/// This node's slots on a VM, its idle connections to it, and the results of its attempts there.
pub(crate) struct VmGate {
    pub(crate) info: VmInfo,
    /// Whether the VM is in this node's availability zone.
    local: bool,
    /// When the VM's warm-up started: when this node first saw the VM, or zero, which means that
    /// the VM is warm already.
    warm_up_start: Timestamp,
    /// The number of slots held in the upper 32 bits, of those in use in the lower 32 bits.
    slots: AtomicU64,
    leaving: AtomicBool,
    /// Exponential moving average of the latency of successful attempts; 0 before the first one.
    latency_us: AtomicU64,
    /// Until when that average says how quick the VM is, in milliseconds of the monotonic clock.
    latency_expiry_ms: AtomicU64,
    health: Mutex<Health>,
    idle: Mutex<Vec<Connection>>,
}

impl fmt::Debug for VmGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (held, in_use) = unpack(self.slots.load(Ordering::Acquire));
        write!(f, "VmGate({}, {in_use} of {held})", self.info.id)
    }
}

/// Position of the number of slots held in the packed word, in bits.
const HELD_SHIFT: u32 = 32;

fn pack(held: u32, in_use: u32) -> u64 {
    u64::from(held) << HELD_SHIFT | u64::from(in_use)
}

fn unpack(word: u64) -> (u32, u32) {
    let half = |n: u64| u32::try_from(n & u64::from(u32::MAX)).unwrap_or(u32::MAX);
    (half(word >> HELD_SHIFT), half(word))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl VmGate {
    pub(crate) fn new(info: VmInfo, local: bool, warm_up_start: Timestamp) -> Self {
        Self {
            info,
            local,
            warm_up_start,
            slots: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            latency_us: AtomicU64::new(0),
            latency_expiry_ms: AtomicU64::new(0),
            health: Mutex::default(),
            idle: Mutex::default(),
        }
    }

    /// Occupies a free slot; false if there is none.
    pub(crate) fn acquire(&self) -> bool {
        let acquired = self.slots.fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
            let (held, in_use) = unpack(word);
            (in_use < held).then(|| pack(held, in_use + 1))
        });
        acquired.is_ok()
    }

    /// Frees an occupied slot.
    pub(crate) fn release(&self) {
        self.slots.fetch_sub(1, Ordering::AcqRel);
    }

    /// Sets how many slots this node holds. Requests that occupy more are not interrupted; no new
    /// one starts until the number in use is below `held`.
    pub(crate) fn set_held(&self, held: Slots) {
        let _ = self.slots.fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
            Some(pack(held.0, unpack(word).1))
        });
        let mut idle = lock(&self.idle);
        idle.truncate(held.0 as usize);
    }

    /// The number of slots held, and the number in use.
    pub(crate) fn slots(&self) -> (u32, u32) {
        unpack(self.slots.load(Ordering::Acquire))
    }

    /// The most slots that this node can occupy until it is granted more.
    pub(crate) fn ceiling(&self) -> u32 {
        let (held, in_use) = self.slots();
        held.max(in_use)
    }

    /// Sets whether the VM is leaving its pool; such a VM gets no new requests.
    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Records the result and the duration of an attempt.
    pub(crate) fn record_attempt(&self, succeeded: bool, took_us: u64, now: Timestamp) {
        lock(&self.health).record(&eject::Config::default(), succeeded, now);
        if succeeded {
            let mean = self.mean_latency_us(now);
            let next = if mean == 0 { took_us } else { mean - mean / 8 + took_us / 8 };
            self.latency_us.store(next.max(1), Ordering::Relaxed);
            self.latency_expiry_ms.store((now + LATENCY_VALIDITY).0, Ordering::Relaxed);
        }
    }

    /// The mean latency of recent attempts, in microseconds; 0 if there were none.
    fn mean_latency_us(&self, now: Timestamp) -> u64 {
        let is_valid = now.0 < self.latency_expiry_ms.load(Ordering::Relaxed);
        if is_valid { self.latency_us.load(Ordering::Relaxed) } else { 0 }
    }

    /// Locks the VM's success rate and ejections, and returns them.
    pub(crate) fn health(&self) -> MutexGuard<'_, Health> {
        lock(&self.health)
    }

    /// The VM as a candidate for the routing policy.
    pub(crate) fn candidate(&self, warm_up: Span, now: Timestamp) -> Candidate {
        let (held, in_use) = self.slots();
        let health = lock(&self.health);
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of a warm-up")]
        let warm_up_share = match warm_up.0 {
            0 => 1.0,
            warm_up_ms => (now.since(self.warm_up_start).0 as f64 / warm_up_ms as f64).min(1.0),
        };
        Candidate {
            held: Slots(held),
            in_use: Slots(in_use),
            // One that is being asked has no more than the measurement before.
            latency_us: match in_use {
                0 => self.mean_latency_us(now),
                _ => self.latency_us.load(Ordering::Relaxed),
            },
            success_rate: health.success_rate(),
            local: self.local,
            excluded: self.is_leaving() || health.is_ejected(now),
            warm_up_share,
        }
    }

    /// Takes an idle connection that is still open; `None` if there is none.
    pub(crate) fn checkout(&self) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        while let Some(connection) = idle.pop() {
            if !connection.is_closed() && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse. It is closed instead if the VM is leaving or if there are
    /// already as many idle connections as slots held. Its last answer must have been read to the
    /// end.
    pub(crate) fn check_in(&self, connection: Connection) {
        let (held, _) = self.slots();
        let mut idle = lock(&self.idle);
        if !connection.is_closed() && !self.is_leaving() && idle.len() < held as usize {
            idle.push(connection);
        }
    }
}
