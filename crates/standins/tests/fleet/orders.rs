//! The only place that takes an order of the fleet apart, and that enters its outcome.

use teaselgap_core::{
    ServiceId, Timestamp, VmId,
    job::{Fleet, FleetOrder, OrderOutcome},
};

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Request {
    /// Maintenance for the wave with this number.
    Maintain(u64),
    /// A move to this pool.
    Move(ServiceId),
}

/// The VM that an order is about, and what it asks for.
pub(crate) fn parts(order: &FleetOrder) -> (VmId, Request) {
    match order {
        FleetOrder::Maintain(vm, wave) => (vm.clone(), Request::Maintain(*wave)),
        FleetOrder::Move(vm, pool) => (vm.clone(), Request::Move(pool.clone())),
    }
}

/// Passes the outcome of an order to the fleet.
pub(crate) fn enter_outcome(
    fleet: &mut Fleet,
    order: &FleetOrder,
    outcome: OrderOutcome,
    now: Timestamp,
) {
    let (vm, _) = parts(order);
    fleet.on_order_outcome(&vm, outcome, now);
}
