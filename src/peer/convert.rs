//! Conversions between the messages on the wire and the types of the core.

use teaselgap_core::{
    Epoch, Incarnation, NodeId, Slots, Span, VmId,
    membership::{Member, State},
    slots::{
        Report,
        exchange::{Reply, Request},
    },
};
use teaselgap_proto::peer::{
    Member as WireMember, PoolGrants, PoolReport, SlotsReply, SlotsRequest, VmSlots,
    member::State as WireState,
};

pub(crate) fn member_to_wire(node: &NodeId, member: &Member) -> WireMember {
    let state = match member.state {
        State::Alive => WireState::Alive,
        State::Suspect => WireState::Suspect,
        State::Dead => WireState::Dead,
        State::Left => WireState::Left,
    };
    WireMember {
        node: node.to_string(),
        incarnation: member.incarnation.0,
        address: member.address.to_string(),
        zone: member.zone.to_string(),
        state: state.into(),
        refutation: member.refutation,
    }
}

/// Returns `None` for a member that can't be parsed; callers skip it, as it may come from a node of
/// another version.
pub(crate) fn member_from_wire(wire: &WireMember) -> Option<(NodeId, Member)> {
    let state = match wire.state() {
        WireState::Alive => State::Alive,
        WireState::Suspect => State::Suspect,
        WireState::Dead => State::Dead,
        WireState::Left => State::Left,
    };
    let member = Member {
        incarnation: Incarnation(wire.incarnation),
        refutation: wire.refutation,
        state,
        address: wire.address.parse().ok()?,
        zone: wire.zone.parse().ok()?,
    };
    Some((wire.node.parse().ok()?, member))
}

fn slots_to_wire(vm: &VmId, slots: u32) -> VmSlots {
    VmSlots { vm: vm.to_string(), slots }
}

fn slots_from_wire(wire: &[VmSlots]) -> Option<Vec<(VmId, u32)>> {
    wire.iter().map(|vm_slots| Some((vm_slots.vm.parse().ok()?, vm_slots.slots))).collect()
}

pub(crate) fn slots_request_to_wire(req: &Request, store_reachable: bool) -> SlotsRequest {
    let report_to_wire = |(pool, epoch, report): &(_, Epoch, Report)| PoolReport {
        pool: teaselgap_core::PoolId::to_string(pool),
        epoch: epoch.0,
        demand: report.demand,
        ceilings: report.ceilings.iter().map(|(vm, slots)| slots_to_wire(vm, *slots)).collect(),
    };
    SlotsRequest {
        node: req.holder.0.to_string(),
        incarnation: req.holder.1.0,
        zone: req.zone.to_string(),
        sequence: req.sequence,
        acknowledged: req.acknowledged,
        fingerprint: req.fingerprint,
        reports: req.reports.iter().map(report_to_wire).collect(),
        store_reachable,
    }
}

pub(crate) fn slots_request_from_wire(wire: &SlotsRequest) -> Option<Request> {
    let reports = wire.reports.iter().map(|pool_report| {
        let ceilings = slots_from_wire(&pool_report.ceilings)?;
        let report = Report { demand: pool_report.demand, ceilings };
        Some((pool_report.pool.parse().ok()?, Epoch(pool_report.epoch), report))
    });
    Some(Request {
        holder: (wire.node.parse().ok()?, Incarnation(wire.incarnation)),
        zone: wire.zone.parse().ok()?,
        sequence: wire.sequence,
        acknowledged: wire.acknowledged,
        fingerprint: wire.fingerprint,
        reports: reports.collect::<Option<_>>()?,
    })
}

pub(crate) fn slots_reply_to_wire(reply: &Reply) -> SlotsReply {
    let pools = reply.pools.iter().map(|(pool, epoch, grants)| PoolGrants {
        pool: pool.to_string(),
        epoch: epoch.0,
        grants: grants.iter().map(|(vm, slots)| slots_to_wire(vm, slots.0)).collect(),
    });
    SlotsReply {
        resync: reply.resync,
        ttl_ms: u32::try_from(reply.ttl.0).unwrap_or(u32::MAX),
        pools: pools.collect(),
    }
}

pub(crate) fn slots_reply_from_wire(wire: &SlotsReply) -> Option<Reply> {
    let pools = wire.pools.iter().map(|pool| {
        let grants = slots_from_wire(&pool.grants)?;
        let grants = grants.into_iter().map(|(vm, slots)| (vm, Slots(slots))).collect();
        Some((pool.pool.parse().ok()?, Epoch(pool.epoch), grants))
    });
    Some(Reply {
        resync: wire.resync,
        ttl: Span(u64::from(wire.ttl_ms)),
        pools: pools.collect::<Option<_>>()?,
    })
}
