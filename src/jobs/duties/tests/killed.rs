//! A process of a node is killed while it owns several cells, and a later process of the same node registers. A drawn
//! store, with drawn orders of claims, of their answers and of readings of the members.

use std::net::SocketAddr;

use proptest::{prelude::*, strategy::ValueTree};
use teaselgap_core::job::OrderRate;

use super::{super::super::members::MEMBER_PREFIX, *};

const CELLS: [&str; 3] = ["drums", "horns", "strings"];

/// Who is seen under the name of the killed process's node after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Later {
    /// A later process at the same address.
    Process,
    /// The same process, which was only cut off or paused.
    SameProcess,
    /// A process at another address.
    OtherAddress,
    /// One whose clock says that it started before.
    EarlierStart,
}

impl Later {
    /// The record of the owner of which this is seen under the name of its node as `present`.
    fn earlier(self, present: &NodeRecord) -> NodeRecord {
        let Incarnation(number) = present.incarnation;
        let address = present.address;
        let (number, address) = match self {
            Self::Process => (number - 1, address),
            Self::SameProcess => (number, address),
            Self::OtherAddress => (number - 1, SocketAddr::new(address.ip(), address.port() ^ 1)),
            Self::EarlierStart => (number + 1, address),
        };
        NodeRecord { incarnation: Incarnation(number), address, ..present.clone() }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The later process registers, or the same one does so again.
    Register,
    /// It leaves.
    Leave,
    /// The lease of the earlier owner expires.
    Lapse,
    /// This node sends a claim of a cell.
    Claim(usize),
    /// The store executes it.
    Execute(usize),
    /// The answer arrives.
    Answer(usize),
    /// The store is asked for all members, or for what has changed.
    AskAll,
    AskChanges,
    /// The last pages of all members are read.
    ReadPages,
    /// The answer to that arrives.
    Read,
    /// It is lost.
    Fail,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Register),
        1 => Just(Step::Leave),
        1 => Just(Step::Lapse),
        4 => (0..CELLS.len()).prop_map(Step::Claim),
        4 => (0..CELLS.len()).prop_map(Step::Execute),
        4 => (0..CELLS.len()).prop_map(Step::Answer),
        1 => Just(Step::AskAll),
        3 => Just(Step::AskChanges),
        1 => Just(Step::ReadPages),
        4 => Just(Step::Read),
        1 => Just(Step::Fail),
    ]
}

/// The steps of a history, which ends with all claims answered.
fn steps() -> impl Strategy<Value = Vec<Step>> {
    let last = (0..CELLS.len()).flat_map(|cell| [Step::Execute(cell), Step::Answer(cell)]);
    proptest::collection::vec(step(), 0..60).prop_map(move |mut steps| {
        steps.splice(0..0, [Step::AskAll, Step::Read]);
        steps.extend(last.clone());
        steps
    })
}

#[derive(Debug, Default)]
struct DrawnStore {
    items: IndexMap<String, Item>,
    changes: Vec<Change>,
    revision: u64,
}

impl DrawnStore {
    fn put(&mut self, key: &str, record: &NodeRecord) -> u64 {
        self.revision += 1;
        let (value, revision) = (serde_json::to_vec(record).unwrap(), self.revision);
        let item = Item { key: key.to_owned(), value: value.clone(), revision, ..Item::default() };
        self.items.insert(key.to_owned(), item);
        self.changes.push(Change { key: key.to_owned(), value: Some(value.into()), revision });
        revision
    }

    /// Deletes a key if this is its record.
    fn delete(&mut self, key: &str, record: &NodeRecord) {
        let value = serde_json::to_vec(record).unwrap();
        if self.items.get(key).is_some_and(|item| item.value == value) {
            self.revision += 1;
            self.items.swap_remove(key);
            self.changes.push(Change { key: key.to_owned(), value: None, revision: self.revision });
        }
    }

    /// Deletes the keys with this record.
    fn delete_all_of(&mut self, record: &NodeRecord) {
        let keys: Vec<String> = self.items.keys().cloned().collect();
        for key in &keys {
            self.delete(key, record);
        }
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }

    fn all(&self) -> Reading {
        Reading::All(self.items.values().cloned().collect(), self.revision)
    }

    fn changes_after(&self, after: u64) -> Reading {
        let later = self.changes.iter().filter(|change| change.revision > after);
        Reading::Changes(later.cloned().collect(), self.revision)
    }
}

thread_local! {
    /// One node for all histories of a test: each has threads and sockets.
    static NODE: Rc<Node> = node_with_lease(silent_address());
}

/// The node of this process, and the cells of an owner that was lost.
struct History {
    node: Rc<Node>,
    store: DrawnStore,
    /// The owner that was lost.
    earlier: NodeRecord,
    /// Who is seen under its node's name after it.
    present: NodeRecord,
    reading: Option<Reading>,
    /// The epochs of the lost owner's terms, by cell.
    terms: Vec<u64>,
    /// Claims that are under way, by cell: the revision that the key must have.
    sent_claims: IndexMap<usize, u64>,
    /// Claims that the store has executed, by cell: the epoch and the revision before.
    open_claims: IndexMap<usize, (u64, u64)>,
    /// The cells of which this process has read that the lost owner had them.
    seen: IndexSet<usize>,
    has_read_present: bool,
}

impl History {
    /// A history in which the lost owner was on this node, or on another one.
    fn new(later: Later, is_own_node: bool) -> Self {
        let node = NODE.with(Rc::clone);
        *node.members.borrow_mut() = Members::default();
        node.cell_owners.borrow_mut().clear();
        node.ended_terms.borrow_mut().clear();
        let own = own_record(&node);
        let other = NodeRecord {
            node: "n2".parse().unwrap(),
            incarnation: INCARNATION,
            address: ([127, 0, 0, 2], 7_000).into(),
            order_rate: OrderRate(500),
        };
        let present = if is_own_node { own } else { other };
        let earlier = later.earlier(&present);
        let mut store = DrawnStore::default();
        store.put(&member_key(&earlier), &earlier);
        let terms = CELLS.iter().map(|cell| store.put(&key_of(cell), &earlier)).collect();
        let (open_claims, seen) = (IndexMap::new(), IndexSet::new());
        let has_read_present = false;
        Self {
            node,
            store,
            earlier,
            present,
            reading: None,
            terms,
            sent_claims: IndexMap::new(),
            open_claims,
            seen,
            has_read_present,
        }
    }

    fn play(&mut self, step: Step) {
        let is_first = self.node.members.borrow().revision == 0;
        match step {
            Step::Register => {
                self.store.put(&member_key(&self.present), &self.present);
            }
            Step::Leave => self.store.delete(&member_key(&self.present), &self.present),
            Step::Lapse => self.store.delete_all_of(&self.earlier),
            Step::Claim(cell) => self.claim(cell),
            Step::Execute(cell) => self.execute_claim(cell),
            Step::Answer(cell) => {
                if let Some((epoch, before)) = self.open_claims.swap_remove(&cell) {
                    let duty = cell_duty(&CELLS[cell].parse().unwrap());
                    begin_term(&self.node, &duty, (Epoch(epoch), before), Timestamp(0));
                }
            }
            Step::AskAll | Step::AskChanges if self.reading.is_some() => {}
            Step::AskChanges if !is_first => {
                let after = self.node.members.borrow().revision;
                self.reading = Some(self.store.changes_after(after));
            }
            Step::AskAll | Step::AskChanges => {
                self.node.members.borrow_mut().revision = 0;
                self.reading = Some(self.store.all());
            }
            Step::ReadPages => {
                if let Some(Reading::All(items, _)) = &mut self.reading {
                    *items = self.store.items.values().cloned().collect();
                }
            }
            Step::Read => {
                if let Some(reading) = self.reading.take() {
                    self.note(&reading);
                    apply_reading(&self.node, reading);
                }
            }
            Step::Fail => {
                if self.reading.take().is_some() {
                    self.node.members.borrow_mut().revision = 0;
                }
            }
        }
    }

    /// Claims a cell as the node does: one that nobody owns, or an earlier process of this node.
    fn claim(&mut self, cell: usize) {
        let members = self.node.members.borrow();
        let owner = members.owners.get(&cell_duty(&CELLS[cell].parse().unwrap()));
        let is_claimable = owner.is_none_or(|(owner, _)| owner.node == self.node.id);
        let expected = owner.map_or(0, |(_, revision)| *revision);
        let has_claimed = self.open_claims.contains_key(&cell)
            || self.node.cell_owners.borrow().contains_key(CELLS[cell]);
        let may_claim = is_claimable && members.revision > 0 && !has_claimed;
        drop(members);
        if may_claim {
            self.sent_claims.entry(cell).or_insert(expected);
        }
    }

    fn execute_claim(&mut self, cell: usize) {
        let key = key_of(CELLS[cell]);
        let sent = self.sent_claims.swap_remove(&cell);
        if let Some(expected) = sent.filter(|expected| self.store.revision_of(&key) == *expected) {
            let epoch = self.store.put(&key, &own_record(&self.node));
            self.open_claims.insert(cell, (epoch, expected));
        }
    }

    /// Notes what a reading shows.
    fn note(&mut self, reading: &Reading) {
        let shown: Vec<(&str, &[u8])> = match reading {
            Reading::All(items, _) => items.iter().map(|one| (&*one.key, &*one.value)).collect(),
            Reading::Changes(changes, _) => {
                let values = changes.iter().map(|one| (&*one.key, one.value.as_deref()));
                values.filter_map(|(key, value)| Some((key, value?))).collect()
            }
        };
        let earlier = serde_json::to_vec(&self.earlier).unwrap();
        let present = serde_json::to_vec(&self.present).unwrap();
        for (key, value) in shown {
            self.seen.extend(
                (0..CELLS.len()).filter(|cell| key == key_of(CELLS[*cell]) && value == earlier),
            );
            self.has_read_present |= key == member_key(&self.present) && value == present;
        }
    }

    /// The present owners of cells, each with its cell and the term that it was told has ended.
    fn told(&self) -> Vec<(usize, Option<Epoch>)> {
        let owners = self.node.cell_owners.borrow();
        let told =
            |(cell, name): (usize, &&str)| Some((cell, owners.get(*name)?.ended_predecessor()));
        CELLS.iter().enumerate().filter_map(told).collect()
    }

    fn is_own_node(&self) -> bool {
        self.present.node == self.node.id
    }
}

fn key_of(cell: &str) -> String {
    duty_key(&cell_duty(&cell.parse().unwrap()))
}

fn member_key(record: &NodeRecord) -> String {
    format!("{MEMBER_PREFIX}{}", record.node)
}

/// Plays a history; after each step, each owner that can know of the end must have been told, if there was one, and no
/// owner otherwise.
fn judge(later: Later, is_own_node: bool, steps: &[Step]) -> Result<(), TestCaseError> {
    run(async {
        let mut history = History::new(later, is_own_node);
        for step in steps {
            history.play(*step);
            for (cell, told) in history.told() {
                let is_shown = history.is_own_node() || history.has_read_present;
                let is_known = is_shown && history.seen.contains(&cell);
                let must_know = later == Later::Process && is_known;
                let expected = must_know.then_some(Epoch(history.terms[cell]));
                prop_assert_eq!(told, expected, "{} after {:?}", CELLS[cell], step);
            }
        }
        Ok(())
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    /// Guards against inherited jobs that wait for the longest lease although the process that owned the cell is known
    /// to be dead.
    #[test]
    fn a_cell_is_not_told_that_an_earlier_process_of_its_owners_node_was_killed(steps in steps()) {
        judge(Later::Process, true, &steps)?;
    }

    #[test]
    fn a_cell_is_not_told_that_the_process_of_another_node_was_killed(steps in steps()) {
        judge(Later::Process, false, &steps)?;
    }

    /// Guards against tasks that run twice because an owner that may still give orders is taken for ended.
    #[test]
    fn a_cell_is_told_of_the_end_of_a_process_that_was_cut_off_or_may_live(
        later in prop_oneof![
            Just(Later::SameProcess), Just(Later::OtherAddress), Just(Later::EarlierStart)
        ],
        is_own_node in any::<bool>(),
        steps in steps(),
    ) {
        judge(later, is_own_node, &steps)?;
    }
}

/// Guards against histories without owners, which show nothing.
#[test]
fn drawn_histories_seldom_begin_a_term() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let mut owners = [0, 0];
    for (is_own_node, owners) in [true, false].into_iter().zip(&mut owners) {
        for _ in 0..100 {
            let steps = steps().new_tree(&mut runner).unwrap().current();
            *owners += owners_after(is_own_node, &steps);
        }
    }

    assert!(owners[0] > 100 && owners[1] > 20, "{owners:?}");
}

/// Plays a history. Returns the number of cells that this process owns at the end.
fn owners_after(is_own_node: bool, steps: &[Step]) -> usize {
    run(async {
        let mut history = History::new(Later::Process, is_own_node);
        for step in steps {
            history.play(*step);
        }
        history.told().len()
    })
}
