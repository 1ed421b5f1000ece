use super::*;

/// What a worker of 32 cores can do.
const WORKER_MILLI: u64 = 32_000;

/// Two workers, two more on their way, and eight in all if the fleet gives what it can.
fn forecast() -> CapacityForecast {
    let outlook =
        Outlook { coming_milli: 4 * WORKER_MILLI, most_milli: 8 * WORKER_MILLI, lead: Span(2_000) };
    CapacityForecast::from_outlook(2 * WORKER_MILLI, outlook)
}

#[test]
fn work_counts_on_vms_only_from_when_they_have_joined() {
    let forecast = forecast();

    // A second with two workers, a second with four, then eight.
    assert_eq!(forecast.time_for(2 * WORKER_MILLI * 500), Span(500));
    assert_eq!(forecast.time_for(2 * WORKER_MILLI * 1_000), Span(1_000));
    assert_eq!(forecast.time_for(WORKER_MILLI * (2_000 + 4_000)), Span(2_000));
    assert_eq!(forecast.time_for(WORKER_MILLI * (2_000 + 4_000 + 8_000)), Span(3_000));
}

#[test]
fn work_is_never_done_if_no_capacity_is_left_beside_other_work() {
    let forecast = forecast().without(8 * WORKER_MILLI);

    assert!(!forecast.is_positive());
    assert_eq!(forecast.time_for(1), Span(u64::MAX));
    assert_eq!(forecast.time_for(0), Span(0));
}

#[test]
fn a_fleet_that_knows_of_fewer_vms_than_there_are_workers_does_not_shrink_the_forecast() {
    let outlook = Outlook { coming_milli: 0, most_milli: WORKER_MILLI, lead: Span(2_000) };

    let forecast = CapacityForecast::from_outlook(2 * WORKER_MILLI, outlook);

    assert_eq!(forecast.time_for(2 * WORKER_MILLI * 10_000), Span(10_000));
}
