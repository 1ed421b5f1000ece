//! Which nodes are alive, by direct and indirect probes (SWIM).
//!
//! A node probes one other node each round, asks a few others to probe it in its place when it
//! does not answer, then suspects it and, if nobody refutes that in time, takes it for dead. Each
//! round costs a fixed number of messages whatever the number of nodes. What changed travels with
//! the probes, each change a number of times that grows with the logarithm of the members.
//!
//! The state of a member is a point in a total order: a later incarnation wins over an earlier one,
//! then a later refutation, then the graver state. Merging takes the greater, and is therefore
//! commutative, associative and idempotent.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use rand::{Rng, RngExt, seq::IndexedRandom};

use crate::{Incarnation, NodeId, Span, Timestamp, ZoneId};

/// How a member is seen, from lightest to gravest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Answers probes, or is new.
    Alive,
    /// Did not answer; may still refute it.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Said itself that it leaves.
    Left,
}

/// What is known of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Which run of the node's process this is.
    pub incarnation: Incarnation,
    /// Suspicions that the node refuted in this run.
    pub refutation: u64,
    /// How the member is seen.
    pub state: State,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: ZoneId,
}

impl Member {
    fn rank(&self) -> (Incarnation, u64, State) {
        (self.incarnation, self.refutation, self.state)
    }
}

/// The time limits of probing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long a suspected member has to refute it.
    pub suspicion_timeout: Span,
    /// How long a member that is gone is remembered, so that old news can't bring it back.
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

/// The most changes that one probe carries.
const MAX_GOSSIP_UPDATES: usize = 16;

/// How often a change is passed on, as a multiple of the logarithm of the members.
const SPREAD_FACTOR: u32 = 3;

/// Suspicions refuted within [`Config::unreliable_window`] that make a member unreliable.
const UNRELIABLE_REFUTATIONS: usize = 2;

/// Remembers a refutation; only as many as decide are kept.
fn note_refutation(refuted: &mut Vec<Timestamp>, now: Timestamp) {
    refuted.push(now);
    if refuted.len() > UNRELIABLE_REFUTATIONS {
        refuted.remove(0);
    }
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    /// When a suspicion turns into death, or a gone member is forgotten.
    deadline: Option<Timestamp>,
    /// How often the newest change is still to be passed on.
    spread_left: u32,
    /// When the member last refuted suspicions, newest last.
    refuted: Vec<Timestamp>,
}

/// One node's view of all nodes, itself included.
#[derive(Clone, Debug)]
pub struct Membership {
    self_id: NodeId,
    cfg: Config,
    entries: IndexMap<NodeId, Entry>,
    /// Members still to be probed in this round of rounds.
    round: Vec<NodeId>,
}

impl Membership {
    /// A view that holds this node only.
    #[must_use]
    pub fn new(self_id: NodeId, member: Member, cfg: Config) -> Self {
        let entry =
            Entry { member, deadline: None, spread_left: SPREAD_FACTOR, refuted: Vec::new() };
        let entries = IndexMap::from([(self_id.clone(), entry)]);
        Self { self_id, cfg, entries, round: Vec::new() }
    }

    /// All members that are remembered, those that are gone included.
    pub fn members(&self) -> impl Iterator<Item = (&NodeId, &Member)> {
        self.entries.iter().map(|(node, entry)| (node, &entry.member))
    }

    /// What is known of a node.
    #[must_use]
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.entries.get(node).map(|entry| &entry.member)
    }

    /// Other members that are alive or only suspected.
    pub fn peers(&self) -> impl Iterator<Item = (&NodeId, &Member)> {
        self.members().filter(|(node, m)| **node != self.self_id && m.state <= State::Suspect)
    }

    /// Members that should own nothing: those that are gone, and those that were suspected several
    /// times of late although they are alive. The latter can speak but not be spoken to.
    #[must_use]
    pub fn unreliable(&self, now: Timestamp) -> IndexSet<NodeId> {
        let often = |entry: &Entry| {
            let recent = entry.refuted.iter().filter(|at| now < **at + self.cfg.unreliable_window);
            recent.count() >= UNRELIABLE_REFUTATIONS
        };
        let unreliable = |entry: &Entry| entry.member.state >= State::Dead || often(entry);
        let entries = self.entries.iter().filter(|(_, entry)| unreliable(entry));
        entries.map(|(node, _)| node.clone()).collect()
    }

    /// Takes in what another node or the store says of a member; true if that was news.
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
        let spread_left = self.spread();
        let mut refuted = Vec::new();
        if let Some(known) = self.entries.swap_remove(node)
            && known.member.incarnation == member.incarnation
        {
            refuted = known.refuted;
            if member.refutation > known.member.refutation {
                note_refutation(&mut refuted, now);
            }
        }
        self.entries.insert(node.clone(), Entry { member, deadline, spread_left, refuted });
        true
    }

    /// Outbids whatever is said of this node unless it says the same.
    fn refute(&mut self, said: &Member, now: Timestamp) -> bool {
        let spread_left = self.spread();
        let Some(entry) = self.entries.get_mut(&self.self_id) else {
            return false;
        };
        let mine = &mut entry.member;
        let same_life = said.incarnation == mine.incarnation;
        if !same_life || said.rank() <= mine.rank() || mine.state == State::Left {
            return false;
        }
        mine.refutation = said.refutation + 1;
        entry.spread_left = spread_left;
        note_refutation(&mut entry.refuted, now);
        true
    }

    /// This node leaves in order.
    pub fn leave(&mut self) {
        let spread_left = self.spread();
        if let Some(entry) = self.entries.get_mut(&self.self_id) {
            entry.member.state = State::Left;
            entry.spread_left = spread_left;
        }
    }

    /// A probe of `node`, direct and indirect, went unanswered.
    pub fn suspect(&mut self, node: &NodeId, now: Timestamp) {
        if let Some(member) = self.get(node).filter(|member| member.state == State::Alive) {
            let member = Member { state: State::Suspect, ..member.clone() };
            self.merge(node, member, now);
        }
    }

    /// A probe of `node` was answered directly.
    ///
    /// It ends a suspicion here at once; the node's own refutation ends it elsewhere.
    pub fn confirm_alive(&mut self, node: &NodeId) {
        if let Some(entry) = self.entries.get_mut(node)
            && entry.member.state == State::Suspect
        {
            entry.member.state = State::Alive;
            entry.deadline = None;
        }
    }

    /// Turns suspicions whose deadline has passed into deaths and forgets members long gone.
    pub fn expire(&mut self, now: Timestamp) {
        let due = |entry: &Entry| entry.deadline.is_some_and(|deadline| deadline <= now);
        self.entries.retain(|_, entry| entry.member.state <= State::Suspect || !due(entry));
        let suspects = self.entries.iter().filter(|(_, entry)| due(entry));
        let dead: Vec<_> =
            suspects.map(|(node, entry)| (node.clone(), entry.member.clone())).collect();
        for (node, member) in dead {
            self.merge(&node, Member { state: State::Dead, ..member }, now);
        }
    }

    /// The next member to probe: each one once in random order, then anew.
    pub fn next_target(&mut self, rng: &mut impl Rng) -> Option<NodeId> {
        loop {
            if let Some(node) = self.round.pop() {
                let present = self.peers().any(|(peer, _)| *peer == node);
                if present {
                    return Some(node);
                }
                continue;
            }
            self.round = self.peers().map(|(node, _)| node.clone()).collect();
            if self.round.is_empty() {
                return None;
            }
            for i in (1..self.round.len()).rev() {
                self.round.swap(i, rng.random_range(0..=i));
            }
        }
    }

    /// Members that may probe `target` in this node's place.
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

    /// Changes to pass on with the next probe or answer.
    ///
    /// What concerns `to` itself goes along first, so that a suspected node learns of it at once.
    pub fn take_gossip_updates(&mut self, to: &NodeId) -> Vec<(NodeId, Member)> {
        let mut deltas = Vec::new();
        if let Some(member) = self.get(to).filter(|member| member.state != State::Alive) {
            deltas.push((to.clone(), member.clone()));
        }
        for (node, entry) in &mut self.entries {
            if deltas.len() >= MAX_GOSSIP_UPDATES {
                break;
            }
            if entry.spread_left > 0 && node != to {
                entry.spread_left -= 1;
                deltas.push((node.clone(), entry.member.clone()));
            }
        }
        deltas
    }

    fn spread(&self) -> u32 {
        SPREAD_FACTOR * (usize::BITS - self.entries.len().leading_zeros())
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use rand::{SeedableRng, rngs::SmallRng};

    use super::*;

    fn member(incarnation: u64, refutation: u64, state: State) -> Member {
        Member {
            incarnation: Incarnation(incarnation),
            refutation,
            state,
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "z1".parse().unwrap(),
        }
    }

    fn node(i: u8) -> NodeId {
        format!("n{i}").parse().unwrap()
    }

    fn view() -> Membership {
        Membership::new(node(0), member(1, 0, State::Alive), Config::default())
    }

    fn states(view: &Membership) -> Vec<(NodeId, Member)> {
        let mut states: Vec<_> = view.members().map(|(n, m)| (n.clone(), m.clone())).collect();
        states.sort_by(|a, b| a.0.cmp(&b.0));
        states
    }

    fn news() -> impl Strategy<Value = (u8, Member)> {
        let state = prop_oneof![
            Just(State::Alive),
            Just(State::Suspect),
            Just(State::Dead),
            Just(State::Left)
        ];
        (1..4_u8, 1..4_u64, 0..3_u64, state).prop_map(|(i, inc, r, s)| (i, member(inc, r, s)))
    }

    proptest! {
        #[test]
        fn merging_news_in_any_order_and_repeatedly_gives_the_same_view(
            (mut news, shuffled) in prop::collection::vec(news(), 0..12)
                .prop_flat_map(|news| (Just(news.clone()), Just(news).prop_shuffle())),
        ) {
            let mut one = view();
            let mut other = view();
            for (i, member) in shuffled {
                other.merge(&node(i), member, Timestamp(0));
            }
            let again = news.clone();
            news.extend(again);
            for (i, member) in news {
                one.merge(&node(i), member, Timestamp(0));
            }
            prop_assert_eq!(states(&one), states(&other));
        }
    }

    #[test]
    fn a_node_refutes_its_own_suspicion() {
        let mut view = view();

        view.merge(&node(0), member(1, 4, State::Suspect), Timestamp(0));

        assert_eq!(view.get(&node(0)), Some(&member(1, 5, State::Alive)));
    }

    #[test]
    fn an_unrefuted_suspicion_becomes_death_and_a_new_incarnation_comes_back() {
        let mut view = view();
        view.merge(&node(1), member(7, 0, State::Alive), Timestamp(0));
        view.suspect(&node(1), Timestamp(0));

        view.expire(Timestamp(1_999));
        assert_eq!(view.get(&node(1)).unwrap().state, State::Suspect);
        view.expire(Timestamp(2_000));
        assert_eq!(view.get(&node(1)).unwrap().state, State::Dead);
        view.merge(&node(1), member(8, 0, State::Alive), Timestamp(2_001));

        assert_eq!(view.get(&node(1)).unwrap().state, State::Alive);
    }

    #[test]
    fn a_member_that_keeps_refuting_suspicions_is_doubted_for_a_while() {
        let mut view = view();
        view.merge(&node(1), member(1, 0, State::Alive), Timestamp(0));

        view.merge(&node(1), member(1, 1, State::Alive), Timestamp(1_000));
        assert!(view.unreliable(Timestamp(1_000)).is_empty());
        view.merge(&node(1), member(1, 2, State::Alive), Timestamp(4_000));

        assert!(view.unreliable(Timestamp(4_000)).contains(&node(1)));
        assert!(view.unreliable(Timestamp(21_000)).is_empty());
    }

    #[test]
    fn old_news_of_an_earlier_life_changes_nothing() {
        let mut view = view();
        view.merge(&node(1), member(8, 0, State::Alive), Timestamp(0));

        assert!(!view.merge(&node(1), member(7, 9, State::Dead), Timestamp(0)));
    }

    #[test]
    fn each_round_probes_every_peer_once() {
        let mut view = view();
        for i in 1..8 {
            view.merge(&node(i), member(1, 0, State::Alive), Timestamp(0));
        }
        let mut rng = SmallRng::seed_from_u64(7);

        let targets: IndexSet<_> = (0..7).filter_map(|_| view.next_target(&mut rng)).collect();

        assert_eq!(targets.len(), 7);
    }

    #[test]
    fn a_change_is_passed_on_a_bounded_number_of_times() {
        let mut view = view();
        view.merge(&node(1), member(1, 0, State::Alive), Timestamp(0));

        let carried = (0..100).filter(|_| !view.take_gossip_updates(&node(2)).is_empty()).count();

        assert!((3..=9).contains(&carried), "{carried}");
    }
}
