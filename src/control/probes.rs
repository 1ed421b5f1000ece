//! Failure detection by probes, the gossip that probes carry, and the exchange of control items
//! between nodes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use slog::{info, warn};
use teaselgap_core::{NodeId, Timestamp, membership::State};
use teaselgap_proto::peer::{
    ProbeForReply, ProbeForRequest, ProbeReply, ProbeRequest, PullReply, PullRequest,
};
use tokio::sync::oneshot;

use super::{Control, Event, PeerCall, cache};
use crate::peer::{PeerClients, member_from_wire, member_to_wire};

/// Most nodes that are asked to probe a member that did not answer.
const MAX_INDIRECT_PROBERS: usize = 2;

/// Number of nodes that this one tells of its shutdown directly; gossip informs the others.
const LEAVE_ANNOUNCEMENTS: usize = 16;

/// Longest wait for a reply with another node's control items.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

impl Control {
    /// Probes the next member; if no other member is known, pulls from the peers in the settings.
    pub(super) fn probe_next_member(&mut self) {
        let Some(target) = self.members.next_target(&mut self.rng) else {
            self.pull_from_seeds();
            return;
        };
        self.probe_node(target);
    }

    /// Pulls control items from the peers in the settings, if this node has no control items yet.
    fn pull_from_seeds(&mut self) {
        if !self.cache.is_filled() {
            let seeds = self.cfg.shared.settings.peers.clone();
            for seed in seeds {
                self.pull_from(seed);
            }
        }
    }

    /// Sends a direct probe to a member; the result comes as an event.
    fn probe_node(&mut self, target: NodeId) {
        let Some(address) = self.members.get(&target).map(|member| member.address) else {
            return;
        };
        let req = self.probe_request(&target);
        let timeout = self.cfg.shared.settings.cluster.probe_timeout.to_std();
        let (peers, tx) = (Arc::clone(&self.peers), self.tx.clone());
        tokio::task::spawn_local(async move {
            let reply = send_probe(&peers, address, req, timeout).await;
            let event = match reply {
                Some(reply) => Event::ProbeEnded { node: target, reply: Some(reply) },
                None => Event::DirectProbeFailed { node: target },
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

    /// Asks other members to probe one that did not answer a direct probe.
    pub(super) fn on_probe_failed(&mut self, node: NodeId) {
        let Some(address) = self.members.get(&node).map(|member| member.address) else {
            return;
        };
        self.peers.forget(address);
        let probers = self.members.indirect_probers(&node, MAX_INDIRECT_PROBERS, &mut self.rng);
        let addresses: Vec<SocketAddr> = probers
            .iter()
            .filter_map(|prober| self.members.get(prober).map(|member| member.address))
            .collect();
        let timeout = self.cfg.shared.settings.cluster.probe_timeout.to_std() * 2;
        let (peers, tx) = (Arc::clone(&self.peers), self.tx.clone());
        tokio::task::spawn_local(async move {
            let indirect_probes = addresses.into_iter().map(|address| {
                let req = ProbeForRequest { target: node.to_string() };
                let client = peers.get(address);
                async move {
                    let reply = tokio::time::timeout(timeout, client?.probe_for(req)).await;
                    reply.ok()?.ok().map(|reply| reply.get_ref().reached)
                }
            });
            let replies = futures_util::future::join_all(indirect_probes).await;
            let reached = replies.into_iter().flatten().any(|reached| reached);
            let reply = reached.then(ProbeReply::default);
            let _ = tx.send(Event::ProbeEnded { node, reply });
        });
    }

    /// Handles the end of a probe: confirms that the member is alive, or suspects it if there
    /// is no reply.
    pub(super) fn on_probe_reply(
        &mut self,
        node: &NodeId,
        reply: Option<ProbeReply>,
        now: Timestamp,
    ) {
        let Some(reply) = reply else {
            let state = self.members.get(node).map(|member| member.state);
            if state == Some(State::Alive) {
                warn!(self.log, "node suspected"; "suspect" => %node);
            }
            self.members.suspect(node, now);
            return;
        };
        self.members.confirm_alive(node);
        self.merge_deltas(&reply.deltas, now);
        self.pull_if_behind(node, reply.revision);
    }

    /// Merges the membership changes that a probe or its reply carried.
    fn merge_deltas(&mut self, deltas: &[teaselgap_proto::peer::Member], now: Timestamp) {
        for (node, member) in deltas.iter().filter_map(member_from_wire) {
            let state = member.state;
            if self.members.merge(&node, member, now) && state >= State::Dead {
                info!(self.log, "node dead or left"; "gone" => %node,
                    "left" => state == State::Left);
            }
        }
    }

    /// Pulls control items from `node` if its copy is newer than this node's.
    fn pull_if_behind(&mut self, node: &NodeId, revision: u64) {
        if revision <= self.cache.revision() {
            return;
        }
        if let Some(member) = self.members.get(node) {
            self.pull_from(member.address);
        }
    }

    /// Requests the control items that are newer than this node's copy; the reply comes as an
    /// event.
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
            let _ = tx.send(Event::PullEnded(reply));
        });
    }

    /// Applies the control items of a reply.
    pub(super) fn on_pull_reply(&mut self, reply: Option<PullReply>, now: Timestamp) {
        if let Some(reply) = reply {
            self.apply_changes(cache::changes_from_reply(reply), now);
        }
    }

    /// Answers a call from another node.
    pub(super) fn answer_peer(&mut self, call: PeerCall, now: Timestamp) {
        // Sending fails if the caller no longer waits, and then no reply is needed.
        match call {
            PeerCall::Probe(req, reply) => {
                let _ = reply.send(self.answer_probe(&req, now));
            }
            PeerCall::ProbeFor(req, reply) => self.answer_probe_for(&req, reply),
            PeerCall::Pull(req, reply) => {
                let _ = reply.send(self.cache.items_since(req.since));
            }
            PeerCall::Slots(req, reply) => {
                if let Some(slots_reply) = self.answer_slots(&req, now) {
                    let _ = reply.send(slots_reply);
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

    /// Merges the gossip of a probe and replies with this node's.
    fn answer_probe(&mut self, req: &ProbeRequest, now: Timestamp) -> ProbeReply {
        self.merge_deltas(&req.deltas, now);
        let Ok(from) = req.from.parse::<NodeId>() else {
            return ProbeReply::default();
        };
        self.pull_if_behind(&from, req.revision);
        let deltas = self.members.take_gossip_updates(&from);
        ProbeReply {
            revision: self.cache.revision(),
            deltas: deltas.iter().map(|(node, member)| member_to_wire(node, member)).collect(),
        }
    }

    /// Probes a member on behalf of the caller and replies whether it answered.
    fn answer_probe_for(&mut self, req: &ProbeForRequest, reply: oneshot::Sender<ProbeForReply>) {
        let target = req.target.parse::<NodeId>().ok();
        let member = target.as_ref().and_then(|target| self.members.get(target));
        let Some((target, address)) = target.as_ref().zip(member.map(|member| member.address))
        else {
            let _ = reply.send(ProbeForReply { reached: false });
            return;
        };
        let req = self.probe_request(target);
        let timeout = self.cfg.shared.settings.cluster.probe_timeout.to_std();
        let peers = Arc::clone(&self.peers);
        tokio::task::spawn_local(async move {
            let reached = send_probe(&peers, address, req, timeout).await.is_some();
            let _ = reply.send(ProbeForReply { reached });
        });
    }

    /// Probes members so that they learn by gossip that this node leaves. An event tells when they
    /// have replied or the time for it has passed.
    pub(super) fn announce_leaving(&mut self) {
        let targets: Vec<(NodeId, SocketAddr)> = self
            .members
            .peers()
            .take(LEAVE_ANNOUNCEMENTS)
            .map(|(node, member)| (node.clone(), member.address))
            .collect();
        let timeout = self.cfg.shared.settings.cluster.probe_timeout.to_std();
        let probes: Vec<_> = targets
            .into_iter()
            .map(|(node, address)| {
                let (req, peers) = (self.probe_request(&node), Arc::clone(&self.peers));
                async move { send_probe(&peers, address, req, timeout).await }
            })
            .collect();
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            futures_util::future::join_all(probes).await;
            let _ = tx.send(Event::LeaveAnnounced);
        });
    }
}

/// Sends a probe and waits for its reply; `None` on an error or a timeout.
async fn send_probe(
    peers: &PeerClients,
    address: SocketAddr,
    req: ProbeRequest,
    timeout: Duration,
) -> Option<ProbeReply> {
    let mut client = peers.get(address)?;
    let reply = tokio::time::timeout(timeout, client.probe(req)).await;
    reply.ok()?.ok().map(tonic::Response::into_inner)
}
