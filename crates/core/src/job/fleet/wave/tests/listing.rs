//! Waves whose VMs are missing from lists of the platform.

use proptest::prelude::*;

use super::*;

/// Waits for VMs that lists lack: the fewest lists, and the least time from the first to the last.
const FEWEST_LISTS: u64 = 3;
const LEAST_TIME: Span = Span(5_000);

/// The interval between two lists of VMs.
const LIST: Span = Span(600);

/// A fleet beside the lists of VMs that it is shown: VMs 0 to 3, which are in use and not drained, or some of them.
struct Lists {
    fleet: Fleet,
    now: Timestamp,
    /// The last state of the wave that was reported.
    is_finished: Option<bool>,
}

impl Lists {
    /// A fleet that has seen one list with all VMs, and a wave.
    fn new(record: FleetRecord, wave: Wave) -> Self {
        let mut lists = Self::at_start(record, 1_000);
        lists.show(&[0, 1, 2, 3], false);
        lists.fleet.add_waves(vec![wave]);
        lists
    }

    /// A fleet at the start of an owner's term, which has seen no list. The owner's clock begins at zero, and at
    /// `wall_ms` of the wall clock.
    fn at_start(record: FleetRecord, wall_ms: u64) -> Self {
        let fleet = Fleet::new(config(), record, (Timestamp(0), wall_ms));
        Self { fleet, now: Timestamp(0), is_finished: None }
    }

    /// Shows a list with these VMs, `LIST` after the one before; returns what is emitted then.
    fn show(&mut self, vms: &[usize], has_unreadable_entries: bool) -> Vec<FleetAction> {
        self.show_after(LIST, vms, has_unreadable_entries)
    }

    fn show_after(
        &mut self,
        pause: Span,
        vms: &[usize],
        has_unreadable_entries: bool,
    ) -> Vec<FleetAction> {
        self.now = self.now + pause;
        let listed = vms.iter().map(|&number| vm(number, &pool("desk"))).collect();
        self.fleet.set_vms(listed, has_unreadable_entries, self.now);
        self.tick()
    }

    fn tick(&mut self) -> Vec<FleetAction> {
        self.fleet.tick(self.now);
        let actions = self.fleet.take_actions();
        for action in &actions {
            if let FleetAction::ReportWave { wave: 1, finished, .. } = action {
                self.is_finished = Some(*finished);
            }
        }
        actions
    }

    fn is_done(&self) -> bool {
        self.is_finished == Some(true)
    }

    /// Shows lists without VM 0 until the wave is done; returns how many, and the time from the first to the last.
    fn lists_until_done(&mut self) -> (u64, Span) {
        let first = self.now + LIST;
        for count in 1..100 {
            self.show(&[1, 2, 3], false);
            if self.is_done() {
                return (count, self.now.since(first));
            }
        }
        panic!("not done after 100 lists");
    }
}

/// A wave of VM 0.
fn wave_of_one() -> Wave {
    wave(0..1, 1, DEADLINE)
}

/// Whether that many lists over this time are as many as it takes, and not one too many.
fn is_just_enough((count, time): (u64, Span)) -> bool {
    count >= FEWEST_LISTS && time >= LEAST_TIME && time.0 < LEAST_TIME.0 + LIST.0
}

#[test]
fn a_wave_is_done_by_one_list_that_lacks_its_last_vm() {
    let mut lists = Lists::new(complete_record(), wave_of_one());
    lists.show(&[0, 1, 2, 3], false);

    lists.show(&[1, 2, 3], false);
    let once_missing = lists.is_finished;
    lists.show(&[0, 1, 2, 3], false);

    assert_eq!(once_missing, Some(false));
    assert_eq!(lists.is_finished, Some(false));
}

#[test]
fn a_wave_is_done_once_its_last_vm_counts_as_gone_and_not_a_list_earlier() {
    let mut lists = Lists::new(complete_record(), wave_of_one());
    lists.show(&[0, 1, 2, 3], false);

    assert!(is_just_enough(lists.lists_until_done()));
}

#[test]
fn a_wave_is_done_by_two_lists_that_are_far_apart() {
    let mut lists = Lists::new(complete_record(), wave_of_one());

    lists.show(&[1, 2, 3], false);
    lists.show_after(Span(60_000), &[1, 2, 3], false);
    let after_two = lists.is_done();
    lists.show(&[1, 2, 3], false);

    assert!(!after_two);
    assert!(lists.is_done());
}

#[test]
fn a_vm_that_no_list_of_the_term_has_shown_ends_its_wave_at_once() {
    let mut lists = Lists::new(complete_record(), wave(9..10, 1, DEADLINE));

    assert!(is_just_enough(lists.lists_until_done()));
}

#[test]
fn lists_from_before_a_wave_was_known_end_it() {
    let mut lists = Lists::new(complete_record(), wave_of_one());
    for _ in 0..20 {
        lists.show(&[0, 1, 2, 3], false);
    }
    lists.fleet.add_waves(vec![Wave { number: 2, ..wave(9..10, 1, DEADLINE) }]);

    let actions = lists.tick();

    let is_done = |action: &FleetAction| {
        matches!(action, FleetAction::ReportWave { wave: 2, finished: true, .. })
    };
    assert!(!actions.iter().any(is_done));
}

#[test]
fn a_list_that_shows_the_vm_starts_the_wait_anew() {
    let mut lists = Lists::new(complete_record(), wave_of_one());
    for _ in 0..8 {
        lists.show(&[1, 2, 3], false);
    }

    lists.show(&[0, 1, 2, 3], false);

    assert!(is_just_enough(lists.lists_until_done()));
}

#[test]
fn a_list_that_says_nothing_counts_as_one_without_the_vm() {
    let says_nothing: [(&[usize], bool); 2] = [(&[], false), (&[1, 2, 3], true)];
    for (vms, has_unreadable_entries) in says_nothing {
        let mut lists = Lists::new(complete_record(), wave_of_one());
        for _ in 0..8 {
            lists.show(&[1, 2, 3], false);
        }

        for _ in 0..20 {
            lists.show(vms, has_unreadable_entries);
        }
        let meanwhile = lists.is_done();

        assert!(!meanwhile, "{vms:?}");
        assert!(is_just_enough(lists.lists_until_done()), "{vms:?}");
    }
}

/// In place of a test of that name that took one list without the VM for its end.
#[test]
fn a_wave_is_not_done_while_its_vm_may_be_an_unreadable_entry_of_the_list() {
    let mut lists = Lists::new(complete_record(), wave(9..10, 1, DEADLINE));

    for _ in 0..20 {
        lists.show(&[0, 1, 2, 3], true);
    }
    let while_unreadable = lists.is_done();

    assert!(!while_unreadable);
    assert!(is_just_enough(lists.lists_until_done()));
}

#[test]
fn vms_that_a_list_lacks_make_their_wave_take_others_faster() {
    let step = |vms: &[usize], has_unreadable_entries: bool, wave: Wave| {
        let mut lists = Lists::new(complete_record(), wave);
        let actions = lists.show(vms, has_unreadable_entries);
        let step = |action: &FleetAction| match action {
            FleetAction::LogWaveStep(step) => Some(*step),
            _ => None,
        };
        actions.iter().find_map(step)
    };
    let tight = Timestamp(14_000);

    let alone = step(&[0, 1], false, wave(0..2, 4, tight));

    assert!(alone.is_some());
    assert_eq!(step(&[0, 1], false, wave(0..20, 4, tight)), alone);
    assert_eq!(step(&[0, 1], true, wave(0..20, 4, tight)), alone);
}

/// The record of an owner that took the wave of VM 0 for done, as the VM counted as gone.
fn record_of_done_wave() -> FleetRecord {
    let mut lists = Lists::new(complete_record(), wave_of_one());
    for _ in 0..100 {
        let actions = lists.show(&[1, 2, 3], false);
        if lists.is_done() {
            return saved(&actions);
        }
    }
    panic!("not done after 100 lists");
}

#[test]
fn a_wave_stays_done_although_a_vm_that_has_not_begun_is_listed_again() {
    let mut lists = Lists::new(complete_record(), wave_of_one());
    lists.lists_until_done();
    lists.fleet.set_standby_pools(IndexSet::from([pool("desk")]));

    let actions = lists.show(&[0, 1, 2, 3], false);

    assert_eq!(lists.is_finished, Some(false));
    assert_eq!(saved(&actions).finished, IndexSet::new());
    assert_eq!(maintained_vms(&actions), [vm_id(0)]);
}

#[test]
fn a_wave_that_an_earlier_owner_took_for_done_stays_done_although_a_vm_has_not_begun() {
    let mut next = Lists::new(record_of_done_wave(), wave_of_one());
    next.fleet.set_standby_pools(IndexSet::from([pool("desk")]));

    let actions = next.show(&[0, 1, 2, 3], false);

    assert_eq!(next.is_finished, Some(false));
    assert_eq!(maintained_vms(&actions), [vm_id(0)]);
}

#[test]
fn a_wave_that_an_earlier_owner_took_for_done_runs_again_as_its_vm_is_still_missing() {
    let mut next = Lists::at_start(record_of_done_wave(), 11_000);
    next.fleet.add_waves(vec![wave_of_one()]);

    next.show(&[1, 2, 3], false);

    assert_eq!(next.is_finished, Some(true));
}

#[test]
fn a_wave_that_goes_on_has_lost_the_deadline_that_an_earlier_owner_knew() {
    // The next owner started ten seconds later, and reads the wave as if it were new.
    let mut next = Lists::at_start(record_of_done_wave(), 11_000);
    next.fleet.add_waves(vec![wave_of_one()]);

    next.show(&[0, 1, 2, 3], false);

    assert_eq!(next.is_finished, Some(false));
    assert_eq!(next.fleet.deadline(&next.fleet.waves[&1]), Timestamp(24_000));
}

/// Builds before dropped the deadline of a wave that was done.
#[test]
fn a_done_wave_in_the_record_of_a_build_before_stays_done_or_has_no_deadline() {
    let record = r#"{"begun":{"2":["m9"]},"finished":[1],"is_complete":true}"#;
    let record: FleetRecord = serde_json::from_str(record).unwrap();
    let mut next = Lists::at_start(record, 11_000);
    next.fleet.add_waves(vec![wave_of_one()]);

    let actions = next.show(&[0, 1, 2, 3], false);

    assert_eq!(next.is_finished, Some(false));
    assert_eq!(next.fleet.deadline(&next.fleet.waves[&1]), DEADLINE);
    assert_eq!(saved(&actions).deadlines, IndexMap::from([(1, 11_000 + DEADLINE.0)]));
}

#[test]
fn a_wave_that_goes_on_says_so_once() {
    let mut lists = Lists::new(complete_record(), wave_of_one());
    lists.lists_until_done();

    let mut actions = Vec::new();
    for _ in 0..20 {
        actions.extend(lists.show(&[0, 1, 2, 3], false));
        actions.extend(lists.show(&[1, 2, 3], false));
    }

    let said = |action: FleetAction| match action {
        FleetAction::LogReopenedWave(reopened) => Some(reopened),
        _ => None,
    };
    let said: Vec<ReopenedWave> = actions.into_iter().filter_map(said).collect();
    assert_eq!(said, [ReopenedWave { wave: 1, pending: 1, vm: Some(vm_id(0)) }]);
}

/// A list in a drawn history, and the pause before it.
#[derive(Clone, Copy, Debug)]
struct DrawnList {
    pause: Span,
    /// Whether it shows VM 0, the only one of the wave.
    shows_vm: bool,
    is_empty: bool,
    has_unreadable_entries: bool,
}

impl DrawnList {
    fn lacks_vm(&self) -> bool {
        !self.shows_vm && !self.is_empty && !self.has_unreadable_entries
    }

    fn lists_vm(&self) -> bool {
        self.shows_vm && !self.is_empty
    }
}

fn drawn_list() -> impl Strategy<Value = DrawnList> {
    let parts = (100..7_000_u64, 0..100_u32, 0..100_u32, 0..100_u32);
    parts.prop_map(|(pause_ms, shown, empty, unreadable)| DrawnList {
        pause: Span(pause_ms),
        shows_vm: shown < 15,
        is_empty: empty < 5,
        has_unreadable_entries: unreadable < 5,
    })
}

/// Whether the latest of these lists, each with the time when it was asked for, show that VM 0 is gone.
fn is_gone_by(lists: &[(Timestamp, DrawnList)]) -> bool {
    let row = lists.iter().rev().take_while(|(_, list)| list.lacks_vm());
    let asked: Vec<Timestamp> = row.map(|(asked, _)| *asked).collect();
    match (asked.first(), asked.last()) {
        (Some(last), Some(first)) => {
            asked.len() as u64 >= FEWEST_LISTS && last.since(*first) >= LEAST_TIME
        }
        _ => false,
    }
}

proptest! {
    /// What is reported after each list, beside what the whole history of lists says.
    #[test]
    fn lists_drawn_at_random_end_a_wave_too_early_or_too_late(
        before in prop::collection::vec(drawn_list(), 0..12),
        after in prop::collection::vec(drawn_list(), 1..60),
    ) {
        let mut lists = Lists::at_start(complete_record(), 1_000);
        let show = |lists: &mut Lists, list: &DrawnList| {
            let vms: &[usize] = match () {
                () if list.is_empty => &[],
                () if list.shows_vm => &[0, 1, 2, 3],
                () => &[1, 2, 3],
            };
            lists.show_after(list.pause, vms, list.has_unreadable_entries);
        };
        for list in &before {
            show(&mut lists, list);
        }
        lists.fleet.add_waves(vec![wave_of_one()]);

        let mut history = Vec::new();
        let mut is_done = false;
        for list in &after {
            show(&mut lists, list);
            history.push((lists.now, *list));

            is_done = (is_done || is_gone_by(&history)) && !list.lists_vm();
            prop_assert_eq!(lists.is_done(), is_done, "after {} lists", history.len());
        }
    }
}
