//! Forecasts of bursts, and the VMs that pools get for them.

use super::*;

fn bursts(began: &[(&str, u64)]) -> BurstHistory {
    let mut bursts = BurstHistory::default();
    for (name, wall_ms) in began {
        bursts.record(&pool(name), *wall_ms);
    }
    bursts
}

fn pools(names: &[&str]) -> Vec<ServiceId> {
    names.iter().map(|name| pool(name)).collect()
}

const LEAD: Span = Span(2_000);

#[test]
fn the_burst_of_the_only_pool_without_one_is_forecast_before_it_begins() {
    let all = pools(&["a", "b", "c"]);
    let bursts = bursts(&[("b", 10_000), ("a", 18_500), ("b", 18_600)]);
    let first_round = self::bursts(&[("b", 10_000), ("a", 18_500)]);

    assert_eq!(first_round.due_pools(&all, LEAD, 24_000), [] as [&ServiceId; 0]);
    assert_eq!(first_round.due_pools(&all, LEAD, 25_500), [&all[2]]);
    assert_eq!(bursts.due_pools(&all[..2], LEAD, 18_700), [] as [&ServiceId; 0]);
}

#[test]
fn a_known_order_of_bursts_is_forecast_beyond_the_next_burst() {
    let all = pools(&["a", "b", "c"]);
    let bursts = bursts(&[("a", 10_000), ("b", 20_000), ("c", 30_000), ("a", 40_000)]);

    assert_eq!(bursts.due_pools(&all, LEAD, 48_500), [&all[1]]);
    // The burst of b was not recorded: all processes were down.
    assert_eq!(bursts.due_pools(&all, LEAD, 58_500), [&all[2]]);
    assert_eq!(bursts.due_pools(&all, LEAD, 54_000), [] as [&ServiceId; 0]);
}

#[test]
fn a_pool_whose_burst_is_forecast_gets_the_vms_that_the_operator_gave_it() {
    let record = FleetRecord {
        given: IndexMap::from([(pool("desk"), 6), (pool("spare"), 2)]),
        bursts: bursts(&[("shop", 1_000), ("yard", 5_000)]),
        ..FleetRecord::default()
    };
    let mut fleet = fleet_with_record(record);
    for name in ["shop", "yard", "desk"] {
        fleet.on_cell_report(&pool(name), Load::default(), Vec::new(), Timestamp(7_000));
    }

    fleet.tick(Timestamp(7_500));
    let moved = moves(&fleet.take_actions());

    assert_eq!(moved.len(), 2, "{moved:?}");
    assert!(moved.iter().all(|(_, to)| *to == pool("desk")));
}
