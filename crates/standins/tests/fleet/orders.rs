//! The only place that enters the outcome of an order, and what an order asks for.

use teaselgap_core::{
    Timestamp,
    job::{Fleet, FleetOrder, OrderOutcome},
};

use teaselgap_core::VmId;
pub(crate) use teaselgap_core::job::FleetRequest as Request;

/// The VM that an order is about, and what it asks for.
pub(crate) fn parts(order: &FleetOrder) -> (VmId, Request) {
    (order.vm().clone(), order.request().clone())
}

/// Passes the outcome of an order to the fleet.
pub(crate) fn enter_outcome(
    fleet: &mut Fleet,
    order: &FleetOrder,
    outcome: OrderOutcome,
    now: Timestamp,
) {
    fleet.on_order_outcome(order.clone(), outcome, now);
}
