//! Which instance of a worker a statement about it names, and which of two instances is the later one.
//!
//! The start time that a statement carries names an instance. It doesn't order instances, because it is
//! of the wall clock, which may be set back. The worker's monotonic clock doesn't either: it starts anew
//! with each instance, but nobody says where. One instance's clock goes on at its rate, so that a reading
//! out of that range is of another one, whatever its name; a reading within it proves nothing. Two instances of
//! one name may still be told apart by the ends that they list (`listed_ends.rs`).
//!
//! The order follows from calls alone: an answer that was asked for once the known instance had answered,
//! and is not of it, is of a later one. If the calls overlap, the worker is asked again. An entry in the
//! store says only that its instance has existed: it may have been written late, and stays until its
//! successor is written. So the worker is asked. Only if it doesn't answer, and nothing that an earlier
//! instance wrote can appear any more, the entry counts.

#[cfg(test)]
mod tests;

use super::{CLOCK_DRIFT_PERCENT, CLOCK_MARGIN, ClockReading, OtherInstance, Worker, WorkerEntry};
use crate::{Span, Timestamp};

/// Maximum number of earlier instances of a worker that are remembered.
const MAX_EARLIER_INSTANCES: usize = 8;

/// Percentage by which a worker's clock certainly is not slower than true time.
const MAX_DRIFT_PERCENT: u64 = CLOCK_DRIFT_PERCENT + 1;

/// Longest time after which a write to the store that got no answer may still be carried out.
const LATE_WRITE_LIFETIME: Span = Span(10_000);

/// How the instance that a statement names stands to the newest one that the owner knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::job) enum InstanceOrder {
    /// It is that instance.
    Same,
    /// It came before; the statement changes nothing.
    Earlier,
    /// It came after, so the newest known one has ended.
    Later,
    /// The worker must be asked again.
    Open,
}

impl InstanceOrder {
    /// The name of the order in the log.
    fn as_str(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Earlier => "earlier",
            Self::Later => "later",
            Self::Open => "open",
        }
    }
}

/// An entry in the store that names an instance which may be earlier or later than the newest known
/// one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::job) struct OpenEntry {
    pub(in crate::job) entry: WorkerEntry,
    /// When the owner first read it.
    pub(in crate::job) read_at: Timestamp,
}

/// What the owner knows of the instances of a worker besides the newest one.
#[derive(Clone, Debug, Default)]
pub(in crate::job) struct Instances {
    /// The start times of earlier instances, in milliseconds since the Unix epoch, the latest last.
    earlier: Vec<u64>,
    /// The latest entry that could not be placed.
    pub(in crate::job) open_entry: Option<OpenEntry>,
    /// Whether the store has listed the newest instance's own entry when no write of an earlier one
    /// could be carried out any more. An entry that names another instance is of a later one then.
    is_entry_settled: bool,
    /// When the newest instance's first answer came. Every earlier instance had ended then.
    answered_since: Option<Timestamp>,
}

impl Instances {
    fn add_earlier(&mut self, started_wall_ms: u64) {
        self.earlier.retain(|earlier| *earlier != started_wall_ms);
        if self.earlier.len() >= MAX_EARLIER_INSTANCES {
            self.earlier.remove(0);
        }
        self.earlier.push(started_wall_ms);
    }
}

impl ClockReading {
    /// Whether the clock of this reading's instance may show `other_ms` in an answer to a call that was
    /// sent at `sent` and answered by `now`. Each of the two readings was taken at any time between its
    /// call and its answer, and the clock may be slow, never fast, nor stop. This node's clock is right.
    fn may_go_on_to(&self, other_ms: u64, (sent, now): (Timestamp, Timestamp)) -> bool {
        let slowest = |elapsed: Span| elapsed.0 * (100 - MAX_DRIFT_PERCENT) / 100;
        let least = (self.worker_ms + slowest(sent.since(self.at)))
            .saturating_sub(self.at.since(sent).0 + CLOCK_MARGIN.0);
        let most = self.worker_ms + now.since(self.asked).0 + CLOCK_MARGIN.0;
        (least..=most).contains(&other_ms)
    }
}

impl Worker {
    /// Whether a statement names the newest known instance. One that names none counts as if it did.
    pub(in crate::job) fn is_newest_instance(&self, started_wall_ms: u64) -> bool {
        started_wall_ms == 0 || self.started_wall_ms == 0 || started_wall_ms == self.started_wall_ms
    }

    /// Places the instance that has answered a call sent at `sent`, with this reading of its clock.
    pub(in crate::job) fn place_answer(
        &self,
        started_wall_ms: u64,
        clock_ms: u64,
        (sent, now): (Timestamp, Timestamp),
    ) -> InstanceOrder {
        let is_same_name = self.is_newest_instance(started_wall_ms);
        let Some(known) = self.clock else {
            // Only an entry has named the newest known instance, which may have ended since.
            return match (is_same_name, sent >= self.known_since) {
                (true, _) => InstanceOrder::Same,
                (false, true) => InstanceOrder::Later,
                (false, false) => InstanceOrder::Open,
            };
        };
        if is_same_name && known.may_go_on_to(clock_ms, (sent, now)) {
            InstanceOrder::Same
        } else if sent > known.at {
            InstanceOrder::Later
        } else {
            InstanceOrder::Open
        }
    }

    /// Places the instance that an entry in the store names.
    pub(in crate::job) fn place_entry(&self, started_wall_ms: u64) -> InstanceOrder {
        if self.is_newest_instance(started_wall_ms) {
            InstanceOrder::Same
        } else if self.instances.earlier.contains(&started_wall_ms) {
            InstanceOrder::Earlier
        } else if self.instances.is_entry_settled && self.hold_failures > 0 {
            InstanceOrder::Later
        } else {
            InstanceOrder::Open
        }
    }

    /// Records that the newest known instance has answered a call sent at `sent`, and how it names itself. An
    /// open entry that was read before is of an earlier instance.
    pub(in crate::job) fn on_newest_instance_answered(
        &mut self,
        started_wall_ms: u64,
        (sent, now): (Timestamp, Timestamp),
    ) {
        if self.started_wall_ms == 0 {
            self.started_wall_ms = started_wall_ms;
        }
        self.instances.answered_since.get_or_insert(now);
        let is_settled = |open: &mut OpenEntry| open.read_at <= sent;
        if let Some(open) = self.instances.open_entry.take_if(is_settled) {
            self.instances.add_earlier(open.entry.started_wall_ms);
        }
    }

    /// Records that the store lists the newest known instance's own entry.
    pub(in crate::job) fn on_own_entry(&mut self, started_wall_ms: u64, now: Timestamp) {
        if self.started_wall_ms == 0 {
            self.started_wall_ms = started_wall_ms;
        }
        let is_settled = |since: Timestamp| now > since + LATE_WRITE_LIFETIME;
        self.instances.is_entry_settled |= self.instances.answered_since.is_some_and(is_settled);
    }

    /// Keeps an entry that could not be placed until the worker answers, which is asked at once.
    pub(in crate::job) fn keep_open_entry(&mut self, entry: WorkerEntry, now: Timestamp) {
        let open = self.instances.open_entry.take();
        let known = open.filter(|open| open.entry.started_wall_ms == entry.started_wall_ms);
        if known.is_none() {
            // Those in flight may have been lost with the earlier of the two instances.
            self.holds_in_flight = 0;
        }
        let read_at = known.map_or(now, |open| open.read_at);
        self.instances.open_entry = Some(OpenEntry { entry, read_at });
        self.next_hold = self.next_hold.min(now);
    }

    /// What is known of the instances once a later one than this has been seen.
    pub(in crate::job) fn instances_before_next(&self, next_start_wall_ms: u64) -> Instances {
        let mut next =
            Instances { earlier: self.instances.earlier.clone(), ..Instances::default() };
        next.earlier.retain(|earlier| *earlier != next_start_wall_ms);
        if self.started_wall_ms != 0 && self.started_wall_ms != next_start_wall_ms {
            next.add_earlier(self.started_wall_ms);
        }
        next
    }

    /// Whether the newest known instance's clock may show this in an answer to a call that was sent at
    /// `sent` and answered by `now`. If not, the answer is of another instance.
    pub(in crate::job) fn may_show(
        &self,
        clock_ms: u64,
        (sent, now): (Timestamp, Timestamp),
    ) -> bool {
        self.clock.is_some_and(|clock| clock.may_go_on_to(clock_ms, (sent, now)))
    }

    /// What the log says of a statement that names another instance than the newest known one; `None`
    /// if it names that one.
    pub(in crate::job) fn other_instance(
        &self,
        source: &'static str,
        (started_wall_ms, clock_ms): (u64, Option<u64>),
        order: InstanceOrder,
        now: Timestamp,
    ) -> Option<OtherInstance> {
        let is_other = order != InstanceOrder::Same || !self.is_newest_instance(started_wall_ms);
        is_other.then(|| OtherInstance {
            worker: self.entry.id.clone(),
            source,
            started_wall_ms,
            known_started_wall_ms: self.started_wall_ms,
            clock_ms,
            known_clock: self.clock.map(|clock| (clock.worker_ms, now.since(clock.at))),
            lease_end_sent_ms: self.last_lease_end_sent,
            verdict: order.as_str(),
        })
    }
}
