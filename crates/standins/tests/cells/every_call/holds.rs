//! Holds of an earlier life of their worker: those that confirm ends, and those that renew a lease.

use indexmap::IndexMap;
use teaselgap_core::{Span, Timestamp, job::JobId};
use teaselgap_standins::model::{CallKind, Fate, Model};

use super::history::{
    Arrival, LONG_MS, OLD_MS, OwnerChange, Played, assert_holds, grid, use_no_more,
};
use crate::fixtures::{job_spec, new_model_with_valid_late_orders, queue, step};

const FIRST: JobId = JobId(7);

const SECOND: JobId = JobId(8);

/// Time from the first job to the restart of its worker, in milliseconds.
const RESTART_MS: u64 = 700;

/// Time from the first job to the second one, in milliseconds.
const SECOND_JOB_MS: u64 = 2_500;

/// Time from the second job to the trouble, in milliseconds: its run has begun.
const TROUBLE_AFTER_MS: u64 = 120;

/// What keeps the owner from reading an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// It doesn't reach the worker for this time, in milliseconds.
    Cut(u64),
    /// It ends or is paused, and the next one claims the cell after this time, in milliseconds.
    OwnerChange(OwnerChange, u64),
}

impl Trouble {
    fn happen(self, model: &mut Model) {
        match self {
            Self::None => {}
            Self::Cut(ms) => model.make_unreachable("w0", ms),
            Self::OwnerChange(change, gap_ms) => change.happen(model, gap_ms),
        }
    }
}

/// Runs to a time after `begin`, in milliseconds, if it isn't over.
fn run_to(model: &mut Model, begin: Timestamp, ms: u64) {
    let left = (begin + Span(ms)).since(model.now());
    model.run_for(left.0);
}

/// One worker. The hold that confirms the end of the first job's task reaches the next life while, or
/// after, that runs the second job's.
#[derive(Debug)]
struct ConfirmHistory {
    trouble: Trouble,
    /// When the hold comes, after the second job, in milliseconds.
    arrives_after_ms: u64,
}

impl ConfirmHistory {
    fn play(&self) -> Played {
        let mut model = new_model_with_valid_late_orders(1);
        model.count_every_start();
        let begin = model.now();
        let late_until = begin + Span(SECOND_JOB_MS + self.arrives_after_ms);
        model.script_fates("w0", CallKind::Confirm, &[Fate::Late(late_until)]);
        model.submit(FIRST, &queue(), job_spec(vec![step(1, 4_000, 150)]));
        run_to(&mut model, begin, RESTART_MS);
        model.drop_fates("w0");
        model.restart_worker("w0");
        run_to(&mut model, begin, SECOND_JOB_MS);

        model.submit(SECOND, &queue(), job_spec(vec![step(1, 4_000, 200)]));
        model.run_for(TROUBLE_AFTER_MS);
        self.trouble.happen(&mut model);
        run_to(&mut model, begin, SECOND_JOB_MS + self.arrives_after_ms);

        Played::to_end(self, model, &[SECOND])
    }
}

fn play_confirms(troubles: &[Trouble]) -> Vec<Played> {
    let wide: Vec<u64> = (50..=1_500).step_by(50).collect();
    let mut played = Vec::new();
    for &trouble in troubles {
        for arrives_after_ms in grid(&[50, 250, 300, 400, 700, 1_000], &wide) {
            played.push(ConfirmHistory { trouble, arrives_after_ms }.play());
        }
    }
    played
}

#[test]
fn a_hold_confirms_no_end_of_the_next_life_that_its_owner_has_not_read() {
    let cuts =
        grid(&[100, 300, 900], &[50, 100, 300, 600, 900, 2_000]).into_iter().map(Trouble::Cut);

    let played = play_confirms(&[Trouble::None].into_iter().chain(cuts).collect::<Vec<_>>());

    assert_holds(&played, Arrival::AfterFirstCall);
}

#[test]
fn a_hold_of_an_earlier_owner_confirms_no_end_of_the_next_life_that_none_has_read() {
    let gaps = grid(&[300, 900], &[0, 100, 300, 600, 900, 2_000]);
    let of_gap = |gap_ms| OwnerChange::ALL.map(|change| Trouble::OwnerChange(change, gap_ms));

    let played = play_confirms(&gaps.into_iter().flat_map(of_gap).collect::<Vec<_>>());

    assert_holds(&played, Arrival::AfterFirstCall);
}

/// Two workers. A hold that renews the lease of the first one reaches its next life, which the owner
/// doesn't reach any more and whose task it starts elsewhere.
#[derive(Debug)]
struct LeaseHistory {
    owner_change: Option<OwnerChange>,
    /// When the hold comes, after the cut, in milliseconds.
    arrives_after_ms: u64,
}

impl LeaseHistory {
    fn play(&self) -> Played {
        let mut model = new_model_with_valid_late_orders(2);
        model.count_every_start();
        model.run_for(OLD_MS);
        use_no_more(&mut model, &"w1".into());
        let begin = model.now();
        let late_until = begin + Span(SECOND_JOB_MS + self.arrives_after_ms);
        model.submit(FIRST, &queue(), job_spec(vec![step(1, 4_000, 14_000)]));
        run_to(&mut model, begin, 200);
        model.script_fates("w0", CallKind::Renew, &[Fate::Late(late_until)]);
        run_to(&mut model, begin, RESTART_MS);
        model.drop_fates("w0");
        model.restart_worker("w0");
        run_to(&mut model, begin, SECOND_JOB_MS);

        model.cell_mut().expect("an owner").set_drains(IndexMap::new());
        model.make_unreachable("w0", LONG_MS);
        if let Some(change) = self.owner_change {
            change.happen(&mut model, 0);
        }
        run_to(&mut model, begin, SECOND_JOB_MS + self.arrives_after_ms);

        Played::to_end(self, model, &[FIRST])
    }
}

fn play_leases(owner_changes: &[Option<OwnerChange>]) -> Vec<Played> {
    let wide: Vec<u64> = (250..=9_500).step_by(250).collect();
    let mut played = Vec::new();
    for &owner_change in owner_changes {
        for arrives_after_ms in grid(&[500, 2_000, 4_000, 5_000, 8_000], &wide) {
            played.push(LeaseHistory { owner_change, arrives_after_ms }.play());
        }
    }
    played
}

#[test]
fn a_hold_renews_no_lease_of_the_next_life_that_its_owner_takes_for_expired() {
    let played = play_leases(&[None]);

    assert_holds(&played, Arrival::AfterFirstCall);
}

#[test]
fn a_hold_of_an_earlier_owner_renews_no_lease_that_the_present_one_takes_for_expired() {
    let played = play_leases(&OwnerChange::ALL.map(Some));

    assert_holds(&played, Arrival::AfterFirstCall);
}
