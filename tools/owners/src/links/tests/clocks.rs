use std::time::{Duration, Instant};

use super::{MAX_HOLD_MS, Play, TASK, WORKER, await_end, restart, runner_with, start_elsewhere};
use crate::{
    clock::{Clocks, Draw},
    json::Json,
    judge,
    late::{self, Kind},
    trouble,
};

/// Longer than any test takes, and less than the clocks of two lives are apart, in milliseconds.
const MARGIN_MS: u64 = 100_000;

/// The clocks of a worker whose first life has a large one and whose second life draws such a value.
fn clocks(is_wanted: impl Fn(Draw) -> bool) -> Clocks {
    let is_meant = |clocks: &Clocks| {
        matches!(clocks.draw(WORKER, 0), Draw::Large(_)) && is_wanted(clocks.draw(WORKER, 1))
    };
    (1..).map(Clocks::Drawn).find(is_meant).unwrap()
}

/// What the worker's clock shows.
fn clock_ms(play: &Play) -> u64 {
    let (status, body) = play.ask("pace", r#""attempt":1"#).expect("an answer");
    assert_eq!(status, 200);
    Json::parse(&body).and_then(|body| body.number("clock_ms")).expect("a clock")
}

fn start_until(play: &Play, deadline_ms: u64) -> Option<u16> {
    let spec = r#""attempt":1,"spec":"ms=60000 cpu=1000""#;
    play.call("start", &format!(r#""task":"{TASK}",{spec},"deadline_ms":{deadline_ms}"#))
}

/// The status that the next life answers to a start that was sent to the life before.
fn status_in_next_life(clocks: Clocks) -> u16 {
    let (play, worker) = runner_with(clocks);
    let deadline_ms = clock_ms(&play) + 9_000;
    play.delay_next(Kind::Start, 300);
    assert_eq!(start_until(&play, deadline_ms), None);
    restart(&worker);

    play.await_late_call();

    assert!(play.has_reached_later_life());
    assert_eq!(play.passed.calls.lock().unwrap()[0].deadline_ms, deadline_ms);
    play.late_calls()[0].status
}

#[test]
fn a_late_deadline_is_measured_on_the_clock_of_the_life_that_carries_the_call_out() {
    let ahead = clocks(|draw| matches!(draw, Draw::Ahead(MARGIN_MS..)));
    let small = clocks(|draw| matches!(draw, Draw::Small(_)));
    let behind = clocks(|draw| matches!(draw, Draw::Behind(MARGIN_MS..)));
    let inside = clocks(|draw| matches!(draw, Draw::Inside(_)));

    let statuses = [ahead, small, behind, inside].map(status_in_next_life);

    assert_eq!(statuses, [409, 200, 200, 200]);
    assert_eq!(status_in_next_life(Clocks::AtZero), 200);
}

#[test]
fn a_worker_keeps_time_on_the_clock_that_it_shows() {
    let (play, worker) = runner_with(clocks(|draw| matches!(draw, Draw::Ahead(MARGIN_MS..))));
    restart(&worker);
    let shown = clock_ms(&play);

    assert_eq!(start_until(&play, shown), Some(409), "this deadline has passed");
    assert_eq!(start_until(&play, shown + 700), Some(200));

    assert!(clock_ms(&play) - shown < 700);
    let renewed = play.call("hold", &format!(r#""last_seen":0,"deadline_ms":{}"#, shown + 1_500));
    assert_eq!(renewed, Some(200));
    await_end(&worker);
    assert!(clock_ms(&play) - shown >= 1_500, "the lease lapses then");
}

#[test]
fn each_life_is_recorded_with_where_its_clock_starts() {
    let (play, worker) = runner_with(clocks(|draw| matches!(draw, Draw::Ahead(MARGIN_MS..))));
    let former = clock_ms(&play);
    let goes_on = || clock_ms(&play) >= former + 20;
    assert!(trouble::await_until(Duration::from_secs(5), goes_on));
    let restarted = Instant::now();

    restart(&worker);

    let events = play.record.events();
    let births = late::births(&events);
    let text = play.record.to_text();
    assert_eq!(text.lines().filter(|line| line.contains("its next clock starts at")).count(), 2);
    assert!(text.contains("Ahead("), "{text}");
    let [(first_birth, _), (second_birth, _)] = births[..] else { panic!("{births:?}") };
    let first_ms = late::first_clock_ms(&events, second_birth, WORKER);
    assert!(first_ms >= former + MARGIN_MS);
    let shown = clock_ms(&play);
    assert!((first_ms..=first_ms + restarted.elapsed().as_millis() as u64).contains(&shown));
    assert!(late::first_clock_ms(&events, first_birth, WORKER) <= former);
    assert_eq!(late::first_clock_ms(&events, second_birth, "i-00000002"), 0);
}

#[test]
fn the_judge_counts_leases_on_the_clock_of_the_life() {
    let (play, worker) = runner_with(clocks(|draw| matches!(draw, Draw::Ahead(MARGIN_MS..))));
    restart(&worker);
    let shown = clock_ms(&play);
    assert_eq!(start_until(&play, shown + 1_000), Some(200));
    let lapses_at = play.record.now_ms() + 1_100;
    assert!(trouble::await_until(Duration::from_secs(5), || play.record.now_ms() > lapses_at));

    start_elsewhere(&play);

    assert_eq!(play.breaches(), Vec::<String>::new());
    let calls: Vec<_> = play.passed.calls.lock().unwrap().clone();
    let longer = calls.into_iter().map(|mut call| {
        call.deadline_ms += 9_000;
        call
    });
    assert_eq!(judge::twice(&play.record, &longer.collect::<Vec<_>>(), MAX_HOLD_MS).len(), 1);
}
