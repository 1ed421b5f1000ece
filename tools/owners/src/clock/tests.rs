use super::{Clock, Clocks, Draw, FAR_MS, LARGE_MS, NEAR_MS};
use crate::json::Json;

const WORKER: &str = "i-00000001";

fn number(body: &str, field: &str) -> Option<u64> {
    Json::parse(body)?.number(field)
}

fn deadline(ms: u64) -> String {
    format!(r#"{{"task":"5c0e7a2100000001.0.0.0","attempt":1,"deadline_ms":{ms}}}"#)
}

#[test]
fn the_shifts_of_calls_and_answers_are_inverse_in_one_life() {
    let last_ms = LARGE_MS + 12_345;
    for life in 0..200 {
        let clock = Draw::of(7, WORKER, life).clock(last_ms);
        for ms in [0, 1, 9_999, 3_600_000] {
            let shown = clock.answer(&format!(r#"{{"clock_ms":{ms}}}"#));
            let shown = number(&shown, "clock_ms").unwrap();
            assert_eq!(shown, clock.first_ms + ms);
            assert_eq!(number(&clock.call(&deadline(shown)), "deadline_ms"), Some(ms));
        }
    }
}

#[test]
fn a_deadline_for_a_former_life_stays_the_number_that_was_sent() {
    let (former, next) = (Clock { first_ms: 5_000 }, Clock { first_ms: 900 });
    let shown = number(&former.answer(r#"{"clock_ms":100}"#), "clock_ms").unwrap();
    let sent = deadline(shown + 2_000);

    assert_eq!(number(&next.call(&sent), "deadline_ms"), Some(7_100 - 900));
    let ahead = Clock { first_ms: 1 << 41 };
    assert_eq!(number(&ahead.call(&sent), "deadline_ms"), Some(0), "it has passed there");
}

#[test]
fn nothing_but_the_field_changes() {
    let clock = Clock { first_ms: 70 };
    let call = r#"{"fence":281474976710657,"last_seen":3,"wait_ms":2000}"#;
    assert_eq!(clock.call(call), call);
    let list =
        r#"{"clock_ms":5,"born":1790000000000,"running":[["a \"b\"",1,"",3,4]],"finished":[]}"#;
    assert_eq!(clock.answer(list), list.replace(":5,", ":75,"));
    assert_eq!(clock.call("no object"), "no object");
}

#[test]
fn draws_of_all_kinds_occur_for_every_worker_and_repeat() {
    for worker in [WORKER, "i-00000002", "i-00000006"] {
        let draws: Vec<Draw> = (0..60).map(|life| Draw::of(3, worker, life)).collect();
        let has = |is_kind: fn(&Draw) -> bool| draws.iter().any(is_kind);
        assert!(has(|draw| matches!(draw, Draw::Small(1..FAR_MS))));
        assert!(has(|draw| matches!(draw, Draw::Large(1..FAR_MS))));
        assert!(has(|draw| matches!(draw, Draw::Ahead(1..FAR_MS))));
        assert!(has(|draw| matches!(draw, Draw::Behind(1..FAR_MS))));
        assert!(has(|draw| matches!(draw, Draw::Inside(0..NEAR_MS))));
        let again: Vec<Draw> = (0..60).map(|life| Draw::of(3, worker, life)).collect();
        assert_eq!(draws, again);
        let other: Vec<Draw> = (0..60).map(|life| Draw::of(4, worker, life)).collect();
        assert_ne!(draws, other);
    }
}

#[test]
fn a_draw_counts_from_what_the_last_clock_showed() {
    let last_ms = 50_000;
    let first = |draw: Draw| draw.clock(last_ms).first_ms;
    let draws = [Draw::Small(8), Draw::Large(8), Draw::Ahead(8), Draw::Behind(8), Draw::Inside(8)];
    assert_eq!(draws.map(first), [8, LARGE_MS + 8, 50_008, 49_992, 50_008]);
    assert_eq!(first(Draw::Behind(50_001)), 0);
}

#[test]
fn clocks_are_drawn_by_the_seed_unless_the_variable_says_otherwise() {
    assert_eq!(Clocks::named(None, 5), Clocks::Drawn(5));
    assert_eq!(Clocks::named(None, 0), Clocks::Drawn(0));
    assert_eq!(Clocks::named(Some("0"), 5), Clocks::AtZero);
    assert_eq!(Clocks::named(Some("9"), 5), Clocks::Drawn(9));
    assert_eq!(Clocks::AtZero.draw(WORKER, 3).clock(700), Clock::default());
}

#[test]
fn most_lives_start_behind_the_one_before_if_that_is_chosen() {
    let clocks = Clocks::OftenBehind(7);
    let is_behind = |life: &u64| matches!(clocks.draw(WORKER, *life), Draw::Behind(_));

    assert!(matches!(clocks.draw(WORKER, 0), Draw::Small(FAR_MS..)), "room for a start behind it");
    let count = (1..201).filter(is_behind).count();
    assert!((130..190).contains(&count), "{count} of 200");
}
