//! Detects which nodes are alive by direct and indirect probes (SWIM).
//!
//! A node probes one other node in each round. If that node does not answer, a few others probe it
//! indirectly. If none of them gets an answer either, the node becomes suspected, and dead unless
//! the suspicion is refuted in time. The number of messages in a round does not depend on the
//! number of nodes. Probes also carry membership changes as gossip; how often a change is passed on
//! grows with the logarithm of the number of members.
//!
//! The states of a member are totally ordered: first by incarnation, then by refutation, then by
//! the severity of [`State`]. Merging keeps the greater one, and is therefore commutative,
//! associative and idempotent.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use rand::{Rng, RngExt, seq::IndexedRandom};

use crate::{Incarnation, NodeId, Span, Timestamp, ZoneId};

/// The state of a member as seen by this node, in ascending order of severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// The member answers probes, or is new.
    Alive,
    /// The member did not answer a probe, but may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it leaves.
    Left,
}

/// A member of the cluster, as known to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The run of the node's process.
    pub incarnation: Incarnation,
    /// The number of suspicions that the node refuted in this incarnation.
    pub refutation: u64,
    /// The member's state.
    pub state: State,
    /// The address at which its peers reach it.
    pub address: SocketAddr,
    /// The availability zone in which it runs.
    pub zone: ZoneId,
}

impl Member {
    /// The position in the total order by which states are merged.
    fn rank(&self) -> (Incarnation, u64, State) {
        (self.incarnation, self.refutation, self.state)
    }
}

/// The time limits of failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long a suspected member has to refute the suspicion.
    pub suspicion_timeout: Span,
    /// How long a dead or left member is remembered, so that outdated gossip can't revive it.
    pub tombstone_ttl: Span,
    /// How long a refuted suspicion counts against a member.
    pub unreliable_window: Span,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            suspicion_timeout: Span(2_000),
            tombstone_ttl: Span(60_000),
            unreliable_window: Span(20_000),
        }
    }
}

/// The most membership changes that one probe carries.
const MAX_GOSSIP_UPDATES: usize = 16;

/// How often a change is passed on, as a multiple of the binary logarithm of the member count.
const TRANSMISSION_FACTOR: u32 = 3;

/// The number of suspicions refuted within [`Config::unreliable_window`] that makes a member
/// unreliable.
const UNRELIABLE_REFUTATIONS: usize = 2;

/// Records the time of a refutation; keeps only the newest [`UNRELIABLE_REFUTATIONS`].
fn record_refutation(refuted_at: &mut Vec<Timestamp>, now: Timestamp) {
    refuted_at.push(now);
    if refuted_at.len() > UNRELIABLE_REFUTATIONS {
        refuted_at.remove(0);
    }
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    /// When a suspected member becomes dead, or a dead or left member is forgotten.
    deadline: Option<Timestamp>,
    /// How many more times the newest change is passed on.
    transmissions_left: u32,
    /// When the member last refuted suspicions, in ascending order.
    refuted_at: Vec<Timestamp>,
}

/// One node's view of all nodes, itself included.
#[derive(Clone, Debug)]
pub struct Membership {
    self_id: NodeId,
    cfg: Config,
    entries: IndexMap<NodeId, Entry>,
    /// Members that were not yet probed since the queue was last refilled.
    probe_queue: Vec<NodeId>,
}

impl Membership {
    /// Creates a view that contains only this node.
    #[must_use]
    pub fn new(self_id: NodeId, member: Member, cfg: Config) -> Self {
        let entry = Entry {
            member,
            deadline: None,
            transmissions_left: TRANSMISSION_FACTOR,
            refuted_at: Vec::new(),
        };
        let entries = IndexMap::from([(self_id.clone(), entry)]);
        Self { self_id, cfg, entries, probe_queue: Vec::new() }
    }

    /// All remembered members, including those that are dead or left.
    pub fn members(&self) -> impl Iterator<Item = (&NodeId, &Member)> {
        self.entries.iter().map(|(node, entry)| (node, &entry.member))
    }

    /// The member with this id, if it is remembered.
    #[must_use]
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.entries.get(node).map(|entry| &entry.member)
    }

    /// The other members that are alive or suspected.
    pub fn peers(&self) -> impl Iterator<Item = (&NodeId, &Member)> {
        self.members().filter(|(node, m)| **node != self.self_id && m.state <= State::Suspect)
    }

    /// Members that should own no duty: those that are dead or left, and those that refuted several
    /// recent suspicions. The latter can send messages but are not reliably reached by others.
    #[must_use]
    pub fn unreliable(&self, now: Timestamp) -> IndexSet<NodeId> {
        let often_suspected = |entry: &Entry| {
            let recent =
                entry.refuted_at.iter().filter(|at| now < **at + self.cfg.unreliable_window);
            recent.count() >= UNRELIABLE_REFUTATIONS
        };
        let unreliable =
            |entry: &Entry| entry.member.state >= State::Dead || often_suspected(entry);
        let entries = self.entries.iter().filter(|(_, entry)| unreliable(entry));
        entries.map(|(node, _)| node.clone()).collect()
    }

    /// Merges what another node or the store reports of a member; true if it changed this view.
    pub fn merge(&mut self, node: &NodeId, member: Member, now: Timestamp) -> bool {
        if *node == self.self_id {
            return self.refute(&member, now);
        }
        let known = self.entries.get(node).map(|entry| entry.member.rank());
        if known.is_some_and(|known| known >= member.rank()) {
            return false;
        }
        let deadline = match member.state {
            State::Alive => None,
            State::Suspect => Some(now + self.cfg.suspicion_timeout),
            State::Dead | State::Left => Some(now + self.cfg.tombstone_ttl),
        };
        let transmissions_left = self.transmission_limit();
        let mut refuted_at = Vec::new();
        if let Some(known) = self.entries.swap_remove(node)
            && known.member.incarnation == member.incarnation
        {
            refuted_at = known.refuted_at;
            if member.refutation > known.member.refutation {
                record_refutation(&mut refuted_at, now);
            }
        }
        self.entries
            .insert(node.clone(), Entry { member, deadline, transmissions_left, refuted_at });
        true
    }

    /// Refutes a claim about this node that ranks above its own state in the same incarnation.
    fn refute(&mut self, claim: &Member, now: Timestamp) -> bool {
        let transmissions_left = self.transmission_limit();
        let Some(entry) = self.entries.get_mut(&self.self_id) else {
            return false;
        };
        let own = &mut entry.member;
        let same_incarnation = claim.incarnation == own.incarnation;
        if !same_incarnation || claim.rank() <= own.rank() || own.state == State::Left {
            return false;
        }
        own.refutation = claim.refutation + 1;
        entry.transmissions_left = transmissions_left;
        record_refutation(&mut entry.refuted_at, now);
        true
    }

    /// Marks this node as left, for a graceful shutdown.
    pub fn leave(&mut self) {
        let transmissions_left = self.transmission_limit();
        if let Some(entry) = self.entries.get_mut(&self.self_id) {
            entry.member.state = State::Left;
            entry.transmissions_left = transmissions_left;
        }
    }

    /// Marks `node` as suspected after neither the direct nor the indirect probes were answered.
    pub fn suspect(&mut self, node: &NodeId, now: Timestamp) {
        if let Some(member) = self.get(node).filter(|member| member.state == State::Alive) {
            let member = Member { state: State::Suspect, ..member.clone() };
            self.merge(node, member, now);
        }
    }

    /// Marks a suspected `node` as alive after it answered a direct probe.
    ///
    /// This ends the suspicion on this node at once; the node's own refutation ends it elsewhere.
    pub fn confirm_alive(&mut self, node: &NodeId) {
        if let Some(entry) = self.entries.get_mut(node)
            && entry.member.state == State::Suspect
        {
            entry.member.state = State::Alive;
            entry.deadline = None;
        }
    }

    /// Marks suspected members as dead, and forgets dead and left ones, when their deadline passes.
    pub fn expire(&mut self, now: Timestamp) {
        let is_expired = |entry: &Entry| entry.deadline.is_some_and(|deadline| deadline <= now);
        self.entries.retain(|_, entry| entry.member.state <= State::Suspect || !is_expired(entry));
        let expired_suspects = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let dead: Vec<_> =
            expired_suspects.map(|(node, entry)| (node.clone(), entry.member.clone())).collect();
        for (node, member) in dead {
            self.merge(&node, Member { state: State::Dead, ..member }, now);
        }
    }

    /// The next member to probe. Every peer is probed once in random order before any is probed
    /// again.
    pub fn next_target(&mut self, rng: &mut impl Rng) -> Option<NodeId> {
        loop {
            if let Some(node) = self.probe_queue.pop() {
                let present = self.peers().any(|(peer, _)| *peer == node);
                if present {
                    return Some(node);
                }
                continue;
            }
            self.probe_queue = self.peers().map(|(node, _)| node.clone()).collect();
            if self.probe_queue.is_empty() {
                return None;
            }
            for i in (1..self.probe_queue.len()).rev() {
                self.probe_queue.swap(i, rng.random_range(0..=i));
            }
        }
    }

    /// Picks up to `count` members to probe `target` on behalf of this node.
    pub fn indirect_probers(
        &self,
        target: &NodeId,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<NodeId> {
        let alive = self.peers().filter(|(node, m)| *node != target && m.state == State::Alive);
        let nodes: Vec<_> = alive.map(|(node, _)| node.clone()).collect();
        nodes.sample(rng, count).cloned().collect()
    }

    /// The changes to pass on to `to` with the next probe or answer.
    ///
    /// The state of `to` itself comes first unless it is alive, so that a suspected node learns of
    /// the suspicion at once.
    pub fn take_gossip_updates(&mut self, to: &NodeId) -> Vec<(NodeId, Member)> {
        let mut updates = Vec::new();
        if let Some(member) = self.get(to).filter(|member| member.state != State::Alive) {
            updates.push((to.clone(), member.clone()));
        }
        for (node, entry) in &mut self.entries {
            if updates.len() >= MAX_GOSSIP_UPDATES {
                break;
            }
            if entry.transmissions_left > 0 && node != to {
                entry.transmissions_left -= 1;
                updates.push((node.clone(), entry.member.clone()));
            }
        }
        updates
    }

    /// How often a change is passed on.
    fn transmission_limit(&self) -> u32 {
        TRANSMISSION_FACTOR * (usize::BITS - self.entries.len().leading_zeros())
    }
}
