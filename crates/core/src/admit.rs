//! Which waiting request is served next, and which is refused early.
//!
//! One queue stands for one pool at one node. Services below their declared share go first, the
//! neediest first, so that every service keeps its share whoever floods; what is left goes by
//! urgency. Within a service customers take turns, and the order within a customer turns to newest
//! first while the queue can't all be served in time, because the oldest would only be answered
//! too late. A request that can't make its deadline is refused when it arrives, not after waiting.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{CustomerId, ServiceId, Span, Timestamp, declare::Urgency};

/// A number that the caller chooses for a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request that wants a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Names the request in answers.
    pub ticket: Ticket,
    /// On whose behalf it is made.
    pub customer: CustomerId,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// When it arrived.
    pub arrived: Timestamp,
}

/// What the queue knows of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Declared normal capacity, which is the weight of its share.
    pub normal: u32,
    /// How urgent its requests are.
    pub urgency: Urgency,
    /// Most requests of one customer that may wait.
    pub waiting_per_customer: u32,
}

/// Why a request is refused without having been run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The service is not known to this queue.
    #[error("the service is not known here")]
    UnknownService,
    /// The customer has too many requests waiting.
    #[error("too many requests of this customer are waiting")]
    CustomerLimit,
    /// The request could not be answered in time.
    #[error("the request could not be answered before its deadline")]
    TooLate,
    /// The queue is full.
    #[error("too many requests are waiting")]
    Full,
}

/// Most requests that may wait in one service's queue.
const MAX_WAITING: usize = 4_096;

/// How many times the expected wait a request's deadline must leave.
const ADMISSION_MARGIN: u64 = 2;

/// A queue is overloaded once its oldest request has waited this part of its time.
const OVERLOAD_DIVISOR: u64 = 2;

#[derive(Clone, Debug)]
struct ServiceQueue {
    share: Share,
    in_use: u32,
    waiting: usize,
    /// Customers take turns in the order of this map; the next one is at `turn`.
    customers: IndexMap<CustomerId, VecDeque<WaitingRequest>>,
    turn: usize,
    /// Moving mean of the time for which a request occupies a slot, in microseconds.
    service_time_us: u64,
}

/// The requests that wait for one pool's slots at one node.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    services: IndexMap<ServiceId, ServiceQueue>,
    /// Slots that this node holds in the pool.
    held: u32,
}

impl Queue {
    /// Declares a service or changes its share.
    pub fn set_share(&mut self, service: &ServiceId, share: Share) {
        if let Some(queue) = self.services.get_mut(service) {
            queue.share = share;
            return;
        }
        let queue = ServiceQueue {
            share,
            in_use: 0,
            waiting: 0,
            customers: IndexMap::new(),
            turn: 0,
            service_time_us: 0,
        };
        self.services.insert(service.clone(), queue);
    }

    /// Says how many slots this node holds.
    pub fn set_held(&mut self, held: u32) {
        self.held = held;
    }

    /// Requests that wait now.
    #[must_use]
    pub fn len(&self) -> usize {
        self.services.values().map(|queue| queue.waiting).sum()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.values().all(|queue| queue.waiting == 0)
    }

    /// Slots that could be used now: those in use and one for each waiting request.
    #[must_use]
    pub fn demand(&self) -> u32 {
        let in_use: u32 = self.services.values().map(|queue| queue.in_use).sum();
        in_use.saturating_add(u32::try_from(self.len()).unwrap_or(u32::MAX))
    }

    /// Adds a request, or says why it is refused.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; the request was not and will not be run.
    pub fn enqueue(&mut self, service: &ServiceId, waiting: WaitingRequest) -> Result<(), Refusal> {
        self.check(service, &waiting)?;
        let queue = self.services.get_mut(service).ok_or(Refusal::UnknownService)?;
        queue.waiting += 1;
        queue.customers.entry(waiting.customer.clone()).or_default().push_back(waiting);
        Ok(())
    }

    /// Says whether a request would be let in now.
    ///
    /// # Errors
    ///
    /// The [`Refusal`] that [`Queue::enqueue`] would give.
    pub fn check(&self, service: &ServiceId, waiting: &WaitingRequest) -> Result<(), Refusal> {
        let held = self.held;
        let total: u32 = self.services.values().map(|queue| queue.share.normal).sum();
        let queue = self.services.get(service).ok_or(Refusal::UnknownService)?;
        if queue.waiting >= MAX_WAITING {
            return Err(Refusal::Full);
        }
        let own = queue.customers.get(&waiting.customer).map_or(0, VecDeque::len);
        if own >= queue.share.waiting_per_customer as usize {
            return Err(Refusal::CustomerLimit);
        }
        // The estimate is of a mean, so a request is let in only if it leaves as much time again.
        let expected = queue.expected_wait(held, total, own);
        if waiting.arrived + Span(expected.0 * ADMISSION_MARGIN) >= waiting.deadline {
            return Err(Refusal::TooLate);
        }
        Ok(())
    }

    /// Counts a slot that a service takes.
    pub fn on_start(&mut self, service: &ServiceId) {
        if let Some(queue) = self.services.get_mut(service) {
            queue.in_use += 1;
        }
    }

    /// Counts a slot that a service gives back after `took_us` microseconds.
    pub fn on_finish(&mut self, service: &ServiceId, took_us: u64) {
        if let Some(queue) = self.services.get_mut(service) {
            queue.in_use = queue.in_use.saturating_sub(1);
            queue.service_time_us = match queue.service_time_us {
                0 => took_us,
                mean => mean - mean / 8 + took_us / 8,
            };
        }
    }

    /// Takes out a request whose caller went away; true if it was still waiting.
    pub fn remove(&mut self, service: &ServiceId, customer: &CustomerId, ticket: Ticket) -> bool {
        let Some(queue) = self.services.get_mut(service) else {
            return false;
        };
        let Some(line) = queue.customers.get_mut(customer) else {
            return false;
        };
        let Some(i) = line.iter().position(|waiting| waiting.ticket == ticket) else {
            return false;
        };
        line.remove(i);
        queue.waiting -= 1;
        true
    }

    /// The request that gets the next free slot. Those that can't be answered in time any more are
    /// moved to `too_late`.
    pub fn dequeue(
        &mut self,
        now: Timestamp,
        too_late: &mut Vec<Ticket>,
    ) -> Option<(ServiceId, WaitingRequest)> {
        loop {
            let service = self.neediest()?;
            let (name, queue) = self.services.get_index_mut(service)?;
            let Some(waiting) = queue.take(now) else {
                continue;
            };
            let expected = Span(queue.service_time_us / 1_000);
            if now + expected < waiting.deadline {
                return Some((name.clone(), waiting));
            }
            too_late.push(waiting.ticket);
        }
    }

    fn neediest(&self) -> Option<usize> {
        let total: u32 = self.services.values().map(|queue| queue.share.normal).sum();
        let fill = |queue: &ServiceQueue| {
            let share =
                f64::from(queue.share.normal) / f64::from(total.max(1)) * f64::from(self.held);
            f64::from(queue.in_use) / share.max(f64::MIN_POSITIVE)
        };
        let waiting = self.services.values().enumerate().filter(|(_, queue)| queue.waiting > 0);
        let key = |queue: &ServiceQueue| {
            let fill = fill(queue);
            // Below its share a service goes first whatever its urgency.
            (fill < 1.0, if fill < 1.0 { Urgency::Batch } else { queue.share.urgency }, -fill)
        };
        waiting
            .max_by(|(_, a), (_, b)| {
                let (a, b) = (key(a), key(b));
                (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
            })
            .map(|(i, _)| i)
    }
}

impl ServiceQueue {
    /// How long a request that arrives now would wait for its turn.
    ///
    /// Customers take turns, so it waits for the others' one request each for each of its own.
    fn expected_wait(&self, held: u32, total_share: u32, own: usize) -> Span {
        if self.service_time_us == 0 {
            return Span(0);
        }
        let active = self.customers.values().filter(|line| !line.is_empty()).count();
        let ahead = self.waiting.min((own + 1) * active.max(1)) as u64;
        let slots = u64::from(held) * u64::from(self.share.normal) / u64::from(total_share.max(1));
        Span((ahead / slots.max(1) + 1) * self.service_time_us / 1_000)
    }

    fn take(&mut self, now: Timestamp) -> Option<WaitingRequest> {
        let count = self.customers.len();
        for _ in 0..count {
            let i = self.turn % count;
            self.turn = (i + 1) % count;
            let line = &mut self.customers[i];
            let overloaded = line.front().is_some_and(|oldest| {
                let allowed = oldest.deadline.since(oldest.arrived).0 / OVERLOAD_DIVISOR;
                now.since(oldest.arrived).0 > allowed
            });
            let waiting = if overloaded { line.pop_back() } else { line.pop_front() };
            if waiting.is_some() {
                self.waiting -= 1;
                self.forget_idle();
                return waiting;
            }
        }
        self.waiting = 0;
        None
    }

    /// Keeps the map of customers no larger than the number that wait, give or take a factor.
    fn forget_idle(&mut self) {
        const SLACK: usize = 64;
        if self.customers.len() > 2 * self.waiting + SLACK {
            self.customers.retain(|_, line| !line.is_empty());
            self.turn = 0;
        }
    }
}

#[cfg(test)]
mod tests;
