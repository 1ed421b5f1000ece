//! Probes between nodes, what travels with them, and copies taken from each other.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use slog::{info, warn};
use teaselgap_core::{NodeId, Timestamp, membership::State};
use teaselgap_proto::peer::{
    ProbeForReply, ProbeForRequest, ProbeReply, ProbeRequest, PullReply, PullRequest,
};
use tokio::sync::oneshot;

use super::{Control, Event, PeerCall, cache};
use crate::peer::{PeerClients, member_from_wire, member_to_wire};

/// Nodes that are asked to probe one that did not answer.
const INDIRECT_PROBERS: usize = 2;

/// Nodes that are told at once that this one leaves.
const TOLD_OF_LEAVING: usize = 3;

/// Longest wait for another node's control items.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

impl Control {
    /// Probes the next node.
    pub(super) fn probe(&mut self) {
        let Some(target) = self.members.next_target(&mut self.rng) else {
            self.probe_a_seed();
            return;
        };
        self.probe_node(target);
    }

    /// A node that knows nobody asks those that its settings name.
    fn probe_a_seed(&mut self) {
        if !self.cache.is_filled() {
            let seeds = self.cfg.shared.settings.peers.clone();
            for seed in seeds {
                self.pull_from(seed);
            }
        }
    }

    fn probe_node(&mut self, target: NodeId) {
        let Some(address) = self.members.get(&target).map(|member| member.address) else {
            return;
        };
        let req = self.probe_request(&target);
        let limit = self.cfg.shared.settings.cluster.probe_timeout.to_std();
        let (peers, tx) = (Arc::clone(&self.peers), self.tx.clone());
        tokio::task::spawn_local(async move {
            let reply = send_probe(&peers, address, req, limit).await;
            let event = match reply {
                Some(reply) => Event::Probed { node: target, reply: Some(reply) },
                None => Event::ProbeFailed { node: target },
            };
            let _ = tx.send(event);
        });
    }

    fn probe_request(&mut self, target: &NodeId) -> ProbeRequest {
        let deltas = self.members.take_gossip_updates(target);
        ProbeRequest {
            from: self.own_incarnation().node.to_string(),
            revision: self.cache.revision(),
            deltas: deltas.iter().map(|(node, member)| member_to_wire(node, member)).collect(),
        }
    }

    /// Asks others to probe a node that did not answer.
    pub(super) fn on_probe_failed(&mut self, node: NodeId) {
        let Some(address) = self.members.get(&node).map(|member| member.address) else {
            return;
        };
        self.peers.forget(address);
        let probers = self.members.indirect_probers(&node, INDIRECT_PROBERS, &mut self.rng);
        let addresses: Vec<SocketAddr> = probers
            .iter()
            .filter_map(|prober| self.members.get(prober).map(|member| member.address))
            .collect();
        let limit = self.cfg.shared.settings.cluster.probe_timeout.to_std() * 2;
        let (peers, tx) = (Arc::clone(&self.peers), self.tx.clone());
        tokio::task::spawn_local(async move {
            let asks = addresses.into_iter().map(|address| {
                let req = ProbeForRequest { target: node.to_string() };
                let client = peers.get(address);
                async move {
                    let reply = tokio::time::timeout(limit, client?.probe_for(req)).await;
                    reply.ok()?.ok().map(|reply| reply.get_ref().reached)
                }
            });
            let answers = futures_util::future::join_all(asks).await;
            let reached = answers.into_iter().flatten().any(|reached| reached);
            let reply = reached.then(ProbeReply::default);
            let _ = tx.send(Event::Probed { node, reply });
        });
    }

    pub(super) fn on_probe_reply(
        &mut self,
        node: &NodeId,
        reply: Option<ProbeReply>,
        now: Timestamp,
    ) {
        let Some(reply) = reply else {
            let known = self.members.get(node).map(|member| member.state);
            if known == Some(State::Alive) {
                warn!(self.log, "node suspected"; "suspect" => %node);
            }
            self.members.suspect(node, now);
            return;
        };
        self.members.confirm_alive(node);
        self.merge_deltas(&reply.deltas, now);
        self.compare_revision(node, reply.revision);
    }

    fn merge_deltas(&mut self, deltas: &[teaselgap_proto::peer::Member], now: Timestamp) {
        for (node, member) in deltas.iter().filter_map(member_from_wire) {
            let state = member.state;
            if self.members.merge(&node, member, now) && state >= State::Dead {
                info!(self.log, "node gone"; "gone" => %node, "left" => state == State::Left);
            }
        }
    }

    /// A node that knows more than the store told this one is asked for it.
    fn compare_revision(&mut self, node: &NodeId, revision: u64) {
        if revision <= self.cache.revision() {
            return;
        }
        if let Some(member) = self.members.get(node) {
            self.pull_from(member.address);
        }
    }

    pub(super) fn pull_from(&self, address: SocketAddr) {
        let since = self.cache.revision();
        let (peers, tx) = (Arc::clone(&self.peers), self.tx.clone());
        tokio::task::spawn_local(async move {
            let Some(mut client) = peers.get(address) else {
                return;
            };
            let call = client.pull(PullRequest { since });
            let reply = tokio::time::timeout(PULL_TIMEOUT, call).await;
            let reply = reply.ok().and_then(Result::ok).map(tonic::Response::into_inner);
            if reply.is_none() {
                peers.forget(address);
            }
            let _ = tx.send(Event::Pulled(reply));
        });
    }

    pub(super) fn on_pull_reply(&mut self, reply: Option<PullReply>, now: Timestamp) {
        if let Some(reply) = reply {
            self.apply_changes(cache::changes(reply), now);
        }
    }

    pub(super) fn answer_peer(&mut self, call: PeerCall, now: Timestamp) {
        // A caller that went away needs no answer.
        match call {
            PeerCall::Probe(req, reply) => {
                let _ = reply.send(self.answer_probe(&req, now));
            }
            PeerCall::ProbeFor(req, reply) => self.answer_probe_for(&req, reply),
            PeerCall::Pull(req, reply) => {
                let _ = reply.send(self.cache.since(req.since));
            }
            PeerCall::Slots(req, reply) => {
                if let Some(answer) = self.answer_slots(&req, now) {
                    let _ = reply.send(answer);
                }
            }
            PeerCall::Status(reply) => {
                let _ = reply.send(self.status_reply(now));
            }
            PeerCall::Explain(req, reply) => {
                let _ = reply.send(self.explain(&req.name, now));
            }
        }
    }

    fn answer_probe(&mut self, req: &ProbeRequest, now: Timestamp) -> ProbeReply {
        self.merge_deltas(&req.deltas, now);
        let Ok(from) = req.from.parse::<NodeId>() else {
            return ProbeReply::default();
        };
        self.compare_revision(&from, req.revision);
        let deltas = self.members.take_gossip_updates(&from);
        ProbeReply {
            revision: self.cache.revision(),
            deltas: deltas.iter().map(|(node, member)| member_to_wire(node, member)).collect(),
        }
    }

    fn answer_probe_for(&mut self, req: &ProbeForRequest, reply: oneshot::Sender<ProbeForReply>) {
        let target = req.target.parse::<NodeId>().ok();
        let member = target.as_ref().and_then(|target| self.members.get(target));
        let Some((target, address)) = target.as_ref().zip(member.map(|member| member.address))
        else {
            let _ = reply.send(ProbeForReply { reached: false });
            return;
        };
        let req = self.probe_request(target);
        let limit = self.cfg.shared.settings.cluster.probe_timeout.to_std();
        let peers = Arc::clone(&self.peers);
        tokio::task::spawn_local(async move {
            let reached = send_probe(&peers, address, req, limit).await.is_some();
            let _ = reply.send(ProbeForReply { reached });
        });
    }

    /// Tells a few nodes that this one has left.
    pub(super) fn announce_leaving(&mut self) {
        let targets: Vec<NodeId> =
            self.members.peers().take(TOLD_OF_LEAVING).map(|(node, _)| node.clone()).collect();
        for target in targets {
            self.probe_node(target);
        }
    }
}

async fn send_probe(
    peers: &PeerClients,
    address: SocketAddr,
    req: ProbeRequest,
    limit: Duration,
) -> Option<ProbeReply> {
    let mut client = peers.get(address)?;
    let reply = tokio::time::timeout(limit, client.probe(req)).await;
    reply.ok()?.ok().map(tonic::Response::into_inner)
}
