//! What the control thread publishes: the snapshot for the traffic threads, the node's status, and
//! explanations of the state of services and VMs.

use std::{collections::HashMap, sync::Arc};

use serde_json::{Value, json};
use teaselgap_core::{PoolId, Span, Timestamp, duty::DutyId, slots::HeldSlots};
use teaselgap_proto::peer::{ExplainReply, StatusReply};

use super::Control;
use crate::{
    peer::member_to_wire,
    traffic::{Service, Snapshot},
};

/// Longest time between two updates of the published view, in milliseconds.
const VIEW_UPDATE_INTERVAL: Span = Span(500);

impl Control {
    /// Publishes the snapshot that the traffic threads use, and updates the metrics.
    pub(super) fn publish_view(&mut self, now: Timestamp) {
        self.next_view_update = now + VIEW_UPDATE_INTERVAL;
        let declarations: Vec<_> = self.catalog.declarations().cloned().collect();
        let mut services = indexmap::IndexMap::new();
        for declaration in declarations {
            let Some(pool) = self.pools.get(&declaration.pool).map(Arc::clone) else {
                continue;
            };
            let budget = self.retry_budget(&declaration.service);
            let id = declaration.service.clone();
            services.insert(id, Service { declaration, pool, budget });
        }
        let status = self.status(now);
        let peers = self.members.peers().count();
        // A term is one continuous ownership of a duty, so this is the number of duties owned.
        let owned = self.duties.owned_terms(now).count();
        let generation = self.catalog.generation();
        self.cfg.shared.metrics.record_control_state(generation.0, owned, peers + 1);
        self.cfg.shared.snapshot.store(Arc::new(Snapshot {
            services,
            ready: self.is_ready(),
            registered: self.duties.registered().collect(),
            store_reachable: self.cfg.store.is_reachable(),
            status,
        }));
    }

    /// Whether this node has read the control items, from the store or from another node, and the
    /// VM list, so that it can serve requests.
    fn is_ready(&self) -> bool {
        self.cache.is_filled() && self.vm_list_seen
    }

    /// The status that this node shows over HTTP.
    fn status(&self, now: Timestamp) -> Value {
        let members = self.members.members().map(|(node, member)| {
            json!({
                "node": node,
                "incarnation": member.incarnation,
                "state": format!("{:?}", member.state).to_lowercase(),
                "peer": member.address,
                "zone": member.zone,
            })
        });
        let duties: Vec<String> =
            self.duties.owned_terms(now).map(|(duty, _)| duty.to_string()).collect();
        // A VM's record says that it takes no new requests only if the VM is to be drained,
        // maintained or moved, so its absence is planned.
        let mut planned_stops: HashMap<&PoolId, u32> = HashMap::new();
        for stored in self.records.values().filter(|stored| !stored.record.takes_requests()) {
            *planned_stops.entry(&stored.record.pool).or_default() += 1;
        }
        let pools = self.pools.iter().map(|(id, pool)| {
            let vms = pool.vms();
            let accepting_vms = vms.values().filter(|vm| !vm.is_leaving()).count();
            let (held, in_use) = vms
                .values()
                .map(|vm| vm.slots())
                .fold((0, 0), |sum, slots| (sum.0 + slots.0, sum.1 + slots.1));
            json!({
                "pool": id, "vms": vms.len(), "lendable": accepting_vms,
                "grants_end_ms": self.held_slots.get(id).map(HeldSlots::deadline),
                "planned_stops": planned_stops.get(id).copied().unwrap_or(0),
                "held": held, "in_use": in_use,
                "waiting": pool.waiting(),
            })
        });
        json!({
            "node": self.own_incarnation().node,
            "incarnation": self.own_incarnation().incarnation,
            "generation": self.catalog.generation(),
            "refused": self.refused_generation.as_ref().map(|(generation, reason)| {
                json!({"generation": generation, "reason": reason})
            }),
            "ready": self.is_ready(),
            "store_reachable": self.cfg.store.is_reachable(),
            "members": members.collect::<Vec<_>>(),
            "duties": duties,
            "pools": pools.collect::<Vec<_>>(),
        })
    }

    /// The status that this node sends to other nodes and to commands.
    pub(super) fn status_reply(&self, now: Timestamp) -> StatusReply {
        let refused = self.refused_generation.as_ref();
        let refused = refused.map(|(generation, reason)| format!("{generation}: {reason}"));
        StatusReply {
            node: self.own_incarnation().node.to_string(),
            incarnation: self.own_incarnation().incarnation.0,
            generation: self.catalog.generation().0,
            refused: refused.unwrap_or_default(),
            members: self.members.members().map(|(n, m)| member_to_wire(n, m)).collect(),
            duties: self.duties.owned_terms(now).map(|(duty, _)| duty.to_string()).collect(),
            store_reachable: self.cfg.store.is_reachable(),
            ready: self.is_ready(),
        }
    }

    /// Explains the placement and the state of the service or VM of this name.
    pub(super) fn explain(&self, name: &str, now: Timestamp) -> ExplainReply {
        let answer = self
            .explain_service(name, now)
            .or_else(|| self.explain_vm(name, now))
            .unwrap_or_else(|| json!({"unknown": name}));
        ExplainReply { answer: answer.to_string().into() }
    }

    fn explain_service(&self, name: &str, now: Timestamp) -> Option<Value> {
        let declaration = self.catalog.get(name)?;
        let duty = DutyId::Slots(declaration.pool.clone());
        let owner = self.duties.owner(&duty).map(
            |(node_incarnation, epoch)| json!({"node": node_incarnation.node, "epoch": epoch}),
        );
        let pool = self.pools.get(&declaration.pool);
        let vms = pool.map(|pool| pool.vms());
        let vms: Vec<Value> = vms
            .iter()
            .flat_map(|vms| vms.values())
            .map(|gate| {
                let (held, in_use) = gate.slots();
                json!({
                    "vm": gate.info.id, "zone": gate.info.zone, "rack": gate.info.rack,
                    "held": held, "in_use": in_use, "leaving": gate.is_leaving(),
                    "ejected": gate.health().is_ejected(now),
                })
            })
            .collect();
        Some(json!({
            "service": name,
            "because": "its declaration names the pool, and the keeper of the pool lends the slots",
            "generation": self.catalog.generation(),
            "declaration": **declaration,
            "keeper": owner,
            "waiting": pool.map(|pool| pool.waiting()),
            "vms": vms,
        }))
    }

    fn explain_vm(&self, name: &str, now: Timestamp) -> Option<Value> {
        let vm = self.fleet.get(name)?;
        let gate = self.gates.get(name);
        let record = self.records.get(name).map(|stored| &stored.record);
        let services = self.catalog.declarations();
        let services = services
            .filter(|declaration| record.is_some_and(|record| record.pool == declaration.pool));
        Some(json!({
            "vm": name,
            "because": "its record in the store names the pool, whatever the VM list says",
            "pool": record.map(|record| &record.pool),
            "plan": record.map(|record| &record.plan),
            "listed_pool": vm.pool,
            "state": format!("{:?}", vm.state).to_lowercase(),
            "services": services.map(|declaration| &declaration.service).collect::<Vec<_>>(),
            "held_here": gate.map(|gate| gate.slots().0),
            "in_use_here": gate.map(|gate| gate.slots().1),
            "ejected_here": gate.map(|gate| gate.health().is_ejected(now)),
        }))
    }
}
