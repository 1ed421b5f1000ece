//! Which waiting request is served next, and which is refused on arrival.
//!
//! Each node has one queue per pool. Services that use less than their declared share go first,
//! starting with the one that uses the smallest part of its share, so a service keeps its share
//! while others flood the pool. The remaining slots are assigned by urgency. Within a service,
//! customers are served round-robin. A customer's requests are served oldest first, but newest
//! first while they are overloaded, because the oldest would then be answered only after their
//! deadlines. A request that can't meet its deadline is refused on arrival, not after waiting.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{CustomerId, ServiceId, Span, Timestamp, declare::Urgency};

/// Identifies a waiting request; the caller chooses the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Identifies the request when it is dequeued, removed or dropped.
    pub ticket: Ticket,
    /// The customer on whose behalf the request is made.
    pub customer: CustomerId,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// When the request arrived at this node.
    pub arrived: Timestamp,
}

/// A service's weight, urgency and limit in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Declared normal capacity, in slots; the weight by which services share the slots held.
    pub normal: u32,
    /// How urgent the service's requests are.
    pub urgency: Urgency,
    /// Maximum number of waiting requests of one customer.
    pub waiting_per_customer: u32,
}

/// Why a request is refused without being run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No policy was set for the service in this queue.
    #[error("the service is not known here")]
    UnknownService,
    /// The customer already has its maximum number of waiting requests.
    #[error("too many requests of this customer are waiting")]
    CustomerLimit,
    /// The expected response time is too long for the request's deadline.
    #[error("the request could not be answered before its deadline")]
    TooLate,
    /// The service already has its maximum number of waiting requests.
    #[error("too many requests are waiting")]
    Full,
}

/// Maximum number of waiting requests of one service.
const MAX_WAITING: usize = 4_096;

/// A request is admitted only if its deadline is more than this many expected response times away.
const ADMISSION_MARGIN: u64 = 2;

/// A customer's requests count as overloaded once the oldest has waited for more than this fraction
/// (one divided by the constant) of the time from its arrival to its deadline.
const OVERLOAD_DIVISOR: u64 = 2;

#[derive(Clone, Debug)]
struct ServiceQueue {
    policy: ServicePolicy,
    in_use: u32,
    waiting: usize,
    /// Waiting requests of each customer, served round-robin in the order of this map.
    customers: IndexMap<CustomerId, VecDeque<WaitingRequest>>,
    /// Index in `customers` of the next customer to be served.
    next_customer: usize,
    /// Exponential moving average of the time for which a request occupies a slot; 0 until the
    /// first request has finished.
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
    /// Adds a service or changes its policy.
    pub fn set_policy(&mut self, service: &ServiceId, policy: ServicePolicy) {
        if let Some(queue) = self.services.get_mut(service) {
            queue.policy = policy;
            return;
        }
        let queue = ServiceQueue {
            policy,
            in_use: 0,
            waiting: 0,
            customers: IndexMap::new(),
            next_customer: 0,
            service_time_us: 0,
        };
        self.services.insert(service.clone(), queue);
    }

    /// Sets how many slots of the pool this node holds.
    pub fn set_held(&mut self, held: u32) {
        self.held = held;
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.services.values().map(|queue| queue.waiting).sum()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.values().all(|queue| queue.waiting == 0)
    }

    /// Number of slots that this node could use now: those in use plus one per waiting request.
    #[must_use]
    pub fn demand(&self) -> u32 {
        let in_use: u32 = self.services.values().map(|queue| queue.in_use).sum();
        in_use.saturating_add(u32::try_from(self.len()).unwrap_or(u32::MAX))
    }

    /// Adds a request, or refuses it.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]: the request was not added and will not be run.
    pub fn enqueue(&mut self, service: &ServiceId, request: WaitingRequest) -> Result<(), Refusal> {
        self.check(service, &request)?;
        let queue = self.services.get_mut(service).ok_or(Refusal::UnknownService)?;
        queue.waiting += 1;
        queue.customers.entry(request.customer.clone()).or_default().push_back(request);
        Ok(())
    }

    /// Checks whether a request would be admitted now.
    ///
    /// # Errors
    ///
    /// The [`Refusal`] that [`Queue::enqueue`] would return.
    pub fn check(&self, service: &ServiceId, request: &WaitingRequest) -> Result<(), Refusal> {
        let held = self.held;
        let total: u32 = self.services.values().map(|queue| queue.policy.normal).sum();
        let queue = self.services.get(service).ok_or(Refusal::UnknownService)?;
        if queue.waiting >= MAX_WAITING {
            return Err(Refusal::Full);
        }
        let waiting_of_customer = queue.customers.get(&request.customer).map_or(0, VecDeque::len);
        if waiting_of_customer >= queue.policy.waiting_per_customer as usize {
            return Err(Refusal::CustomerLimit);
        }
        // The estimate is a mean, so the deadline must leave as much time again.
        let expected = queue.expected_response_time(held, total, waiting_of_customer);
        if request.arrived + Span(expected.0 * ADMISSION_MARGIN) >= request.deadline {
            return Err(Refusal::TooLate);
        }
        Ok(())
    }

    /// Records that a request of the service occupies a slot.
    pub fn on_start(&mut self, service: &ServiceId) {
        if let Some(queue) = self.services.get_mut(service) {
            queue.in_use += 1;
        }
    }

    /// Records that a request of the service released its slot after `took_us` microseconds.
    pub fn on_finish(&mut self, service: &ServiceId, took_us: u64) {
        if let Some(queue) = self.services.get_mut(service) {
            queue.in_use = queue.in_use.saturating_sub(1);
            queue.service_time_us = match queue.service_time_us {
                0 => took_us,
                mean => mean - mean / 8 + took_us / 8,
            };
        }
    }

    /// Removes a request whose caller no longer waits; returns true if it was still queued.
    pub fn remove(&mut self, service: &ServiceId, customer: &CustomerId, ticket: Ticket) -> bool {
        let Some(queue) = self.services.get_mut(service) else {
            return false;
        };
        let Some(requests) = queue.customers.get_mut(customer) else {
            return false;
        };
        let Some(i) = requests.iter().position(|request| request.ticket == ticket) else {
            return false;
        };
        requests.remove(i);
        queue.waiting -= 1;
        true
    }

    /// Removes and returns the request that gets the next free slot. Requests that can no longer be
    /// answered before their deadlines are dropped, and their tickets are added to `too_late`.
    pub fn dequeue(
        &mut self,
        now: Timestamp,
        too_late: &mut Vec<Ticket>,
    ) -> Option<(ServiceId, WaitingRequest)> {
        loop {
            let service = self.select_service()?;
            let (name, queue) = self.services.get_index_mut(service)?;
            let Some(request) = queue.pop_next(now) else {
                continue;
            };
            let expected = Span(queue.service_time_us / 1_000);
            if now + expected < request.deadline {
                return Some((name.clone(), request));
            }
            too_late.push(request.ticket);
        }
    }

    /// Index of the service that gets the next free slot, among those with waiting requests.
    fn select_service(&self) -> Option<usize> {
        let total: u32 = self.services.values().map(|queue| queue.policy.normal).sum();
        let utilization = |queue: &ServiceQueue| {
            let share =
                f64::from(queue.policy.normal) / f64::from(total.max(1)) * f64::from(self.held);
            f64::from(queue.in_use) / share.max(f64::MIN_POSITIVE)
        };
        let candidates = self.services.values().enumerate().filter(|(_, queue)| queue.waiting > 0);
        let key = |queue: &ServiceQueue| {
            let utilization = utilization(queue);
            // A service below its share goes first, whatever its urgency.
            (
                utilization < 1.0,
                if utilization < 1.0 { Urgency::Batch } else { queue.policy.urgency },
                -utilization,
            )
        };
        candidates
            .max_by(|(_, a), (_, b)| {
                let (a, b) = (key(a), key(b));
                (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
            })
            .map(|(i, _)| i)
    }
}

impl ServiceQueue {
    /// Expected time until a request that arrives now has been served, for a customer that already
    /// has `waiting_of_customer` requests waiting.
    ///
    /// Customers are served round-robin, so one request of every other customer is served before
    /// each request of this customer.
    fn expected_response_time(
        &self,
        held: u32,
        total_share: u32,
        waiting_of_customer: usize,
    ) -> Span {
        if self.service_time_us == 0 {
            return Span(0);
        }
        let active = self.customers.values().filter(|requests| !requests.is_empty()).count();
        let requests_ahead = self.waiting.min((waiting_of_customer + 1) * active.max(1)) as u64;
        let slots = u64::from(held) * u64::from(self.policy.normal) / u64::from(total_share.max(1));
        Span((requests_ahead / slots.max(1) + 1) * self.service_time_us / 1_000)
    }

    /// Removes and returns the next request of the customer whose turn it is.
    fn pop_next(&mut self, now: Timestamp) -> Option<WaitingRequest> {
        let count = self.customers.len();
        for _ in 0..count {
            let i = self.next_customer % count;
            self.next_customer = (i + 1) % count;
            let requests = &mut self.customers[i];
            let is_overloaded = requests.front().is_some_and(|oldest| {
                let allowed = oldest.deadline.since(oldest.arrived).0 / OVERLOAD_DIVISOR;
                now.since(oldest.arrived).0 > allowed
            });
            let request = if is_overloaded { requests.pop_back() } else { requests.pop_front() };
            if request.is_some() {
                self.waiting -= 1;
                self.remove_idle_customers();
                return request;
            }
        }
        self.waiting = 0;
        None
    }

    /// Removes customers without waiting requests once the map has more than `SLACK` customers
    /// beyond twice the number of waiting requests.
    fn remove_idle_customers(&mut self) {
        const SLACK: usize = 64;
        if self.customers.len() > 2 * self.waiting + SLACK {
            self.customers.retain(|_, requests| !requests.is_empty());
            self.next_customer = 0;
        }
    }
}

#[cfg(test)]
mod tests;
