//! The network link of the owner's node: a limited rate and a queue in each direction.

#[cfg(test)]
mod tests;

use teaselgap_core::{Span, Timestamp, job::LinkRate};

use super::{Call, Reply};

/// Bytes of headers of a call or of an answer, from TCP to HTTP.
const HEADER_BYTES: u64 = 250;

/// Bytes of the fields of a call's body beside those that vary.
const BODY_BYTES: u64 = 100;

/// Bytes of one entry in a worker's list of runs or of run ends.
const LIST_ENTRY_BYTES: u64 = 50;

const MICROS_PER_MILLI: u64 = 1_000;

/// What the calls of one kind and their answers have taken on the owner's link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallTraffic {
    /// Number of calls that were sent.
    pub calls: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// The bytes of their answers.
    pub answer_bytes: u64,
}

/// What the calls of owners to workers have taken on their links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Start orders with all copies.
    pub starts: CallTraffic,
    /// Stop orders.
    pub stops: CallTraffic,
    /// Holds.
    pub holds: CallTraffic,
}

impl Traffic {
    /// Returns the bytes that owners have sent.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.starts.sent_bytes + self.stops.sent_bytes + self.holds.sent_bytes
    }

    /// Returns the bytes that owners have received.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.starts.answer_bytes + self.stops.answer_bytes + self.holds.answer_bytes
    }

    pub(super) fn record_call(&mut self, call: &Call) {
        let traffic = match call {
            Call::Start(_) | Call::RepeatedStart(_) => &mut self.starts,
            Call::Stop { .. } => &mut self.stops,
            Call::Hold { .. } | Call::PendingHold { .. } => &mut self.holds,
        };
        traffic.calls += 1;
        traffic.sent_bytes += call.bytes();
    }

    pub(super) fn record_answer(&mut self, reply: &Reply) {
        let traffic = match reply {
            Reply::Started(..) => &mut self.starts,
            Reply::Stopped(..) => &mut self.stops,
            Reply::Held(..) | Reply::Outranked => &mut self.holds,
            Reply::Advice(..) => return,
        };
        traffic.answer_bytes += reply.bytes();
    }
}

/// A link on which messages wait for those before them.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    rate: LinkRate,
    outbound: Queue,
    inbound: Queue,
}

/// The messages that wait in one direction, as the time when the last of them has been sent.
#[derive(Clone, Copy, Debug, Default)]
struct Queue {
    busy_until_us: u64,
}

impl Queue {
    fn push(&mut self, bytes: u64, rate: LinkRate, now: Timestamp) -> Timestamp {
        let start_us = self.busy_until_us.max(now.0 * MICROS_PER_MILLI);
        self.busy_until_us = start_us + bytes * 1_000_000 / rate.0;
        Timestamp(self.busy_until_us.div_ceil(MICROS_PER_MILLI))
    }
}

impl Link {
    /// Creates an idle link with this rate in each direction, in megabits per second.
    #[must_use]
    pub fn new(mbps: u64) -> Self {
        let rate = LinkRate(mbps * 1_000_000 / 8);
        Self { rate, outbound: Queue::default(), inbound: Queue::default() }
    }

    /// Returns the rate in each direction.
    #[must_use]
    pub fn rate(&self) -> LinkRate {
        self.rate
    }

    /// Queues a message that the owner sends, and returns how long it takes to pass the link.
    pub(super) fn send(&mut self, bytes: u64, now: Timestamp) -> Span {
        self.outbound.push(bytes, self.rate, now).since(now)
    }

    /// Queues a message to the owner, and returns how long it takes to pass the link.
    pub(super) fn receive(&mut self, bytes: u64, now: Timestamp) -> Span {
        self.inbound.push(bytes, self.rate, now).since(now)
    }
}

/// Returns the size of a call or an answer whose body has no parts that vary.
pub(super) fn small_message_bytes() -> u64 {
    HEADER_BYTES + BODY_BYTES
}

impl Call {
    /// Returns the size of the call.
    pub(super) fn bytes(&self) -> u64 {
        let payload = match self {
            Self::Start(order) | Self::RepeatedStart(order) => order.spec.payload.len() as u64,
            Self::Stop { .. } | Self::Hold { .. } | Self::PendingHold { .. } => 0,
        };
        small_message_bytes() + payload
    }
}

impl Reply {
    /// Returns the size of the answer.
    pub(super) fn bytes(&self) -> u64 {
        let entries = match self {
            Self::Held(_, Some(report)) => report.running.len() + report.ends.len(),
            _ => 0,
        };
        small_message_bytes() + entries as u64 * LIST_ENTRY_BYTES
    }
}
