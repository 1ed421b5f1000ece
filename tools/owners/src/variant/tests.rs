use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use super::{Variant, name};
use crate::{
    http::{Handler, Reply, Request},
    json::Json,
};

/// A worker that answers each call with this body, and keeps the last call.
fn worker(body: &'static str) -> (Handler, Arc<Mutex<String>>) {
    let last_call = Arc::new(Mutex::new(String::new()));
    let kept = Arc::clone(&last_call);
    let handler: Handler = Arc::new(move |request: Request| {
        *kept.lock().unwrap() = request.body;
        Reply::Answer(200, body.to_owned())
    });
    (handler, last_call)
}

/// A body with the platform's name of the fence number.
fn with_names(body: &str) -> String {
    body.replace(r#""fence""#, &format!("\"{}\"", name("fence")))
}

fn call(worker: &Handler, what: &str, body: &str) -> Json {
    let path = name(what).to_owned();
    let body = with_names(body);
    let request = Request { path, query: Vec::new(), headers: Vec::new(), body };
    match worker(request) {
        Reply::Answer(200, body) => Json::parse(&body).expect("an object"),
        _ => panic!("no answer"),
    }
}

const ENDS: &str = r#"{"clock_ms":1000,"running":[],"finished":[[1,"a",1,"done",""],[2,"b",1,"done",""],[3,"c",1,"done",""]]}"#;

const RUNS: &str =
    r#"{"clock_ms":1000,"running":[["a",1,"",0,100],["b",1,"",0,100]],"finished":[]}"#;

#[test]
fn a_kept_confirmation_swallows_later_ends_of_its_life() {
    let (plain, last_call) = worker(ENDS);
    let life = Variant::KeptConfirmation.of_life(1, plain);

    call(&life, "hold", r#"{"fence":5,"last_seen":2}"#);
    let answer = call(&life, "hold", r#"{"fence":6,"last_seen":0}"#);

    assert_eq!(answer.list("finished").len(), 1);
    let sent = Json::parse(&last_call.lock().unwrap()).unwrap();
    assert_eq!(sent.number("last_seen"), Some(2));
}

#[test]
fn a_hold_with_a_lower_fence_number_confirms_nothing() {
    let (plain, _) = worker(ENDS);
    let life = Variant::KeptConfirmation.of_life(1, plain);

    call(&life, "start", r#"{"fence":7}"#);
    call(&life, "hold", r#"{"fence":5,"last_seen":2}"#);
    let answer = call(&life, "hold", r#"{"fence":7,"last_seen":0}"#);

    assert_eq!(answer.list("finished").len(), 3);
}

#[test]
fn a_late_clock_is_read_before_the_answer() {
    let (plain, _) = worker(RUNS);
    let life = Variant::LateClock { ms: 40 }.of_life(1, plain);
    for _ in 0..5 {
        let asked = Instant::now();

        let answer = call(&life, "hold", "{}");

        let late_ms = answer.number("clock_ms").unwrap() - 1_000;
        assert!(late_ms <= 40);
        assert!(asked.elapsed() >= Duration::from_millis(late_ms));
        assert_eq!(answer.list("running").len(), 2);
    }
}

#[test]
fn old_lists_are_those_of_an_earlier_answer() {
    let bodies = Mutex::new(vec![RUNS, ENDS]);
    let plain: Handler =
        Arc::new(move |_| Reply::Answer(200, bodies.lock().unwrap().pop().unwrap().to_owned()));
    let life = Variant::OldLists { ms: 60_000 }.of_life(1, plain);

    assert_eq!(call(&life, "hold", "{}").list("finished").len(), 3);
    let answer = call(&life, "hold", "{}");

    assert_eq!((answer.list("finished").len(), answer.list("running").len()), (3, 0));
}

#[test]
fn some_readings_lack_one_vm_and_holds_stay() {
    let (plain, _) =
        worker(r#"{"machines":[{"id":"a"},{"id":"b"}],"running":[1,2],"finished":[]}"#);
    let life = Variant::MissingVm { percent: 50 }.of_life(1, plain);

    let counts: Vec<usize> =
        (0..100).map(|_| call(&life, "machines", "").list("machines").len()).collect();

    assert!(counts.contains(&1) && counts.contains(&2));
    assert_eq!(call(&life, "hold", "{}").list("machines").len(), 2);
}

#[test]
fn some_answers_lack_one_run() {
    let (plain, _) = worker(RUNS);
    let life = Variant::MissingRun { percent: 50 }.of_life(1, plain);

    let counts: Vec<usize> =
        (0..100).map(|_| call(&life, "hold", "{}").list("running").len()).collect();

    assert!(counts.contains(&1) && counts.contains(&2));
    assert!(counts.iter().all(|count| (1..=2).contains(count)));
}

#[test]
fn a_life_with_less_room_refuses_starts_beyond_it() {
    let (plain, last_call) = worker(
        r#"{"clock_ms":1000,"running":[["a",1,"",0,1000],["b",1,"",0,2000]],"finished":[]}"#,
    );
    let mut life = None;
    Variant::start_life(4_000, || {
        life = Some(Variant::NewRoom { percent: 25 }.of_life(1, Arc::clone(&plain)));
    });
    let life = life.unwrap();
    let start = |task: &str, cpu: u64| {
        let body = format!(
            r#"{{"task":"{task}","attempt":1,"spec":"ms=100 cpu={cpu}","fence":7,"deadline_ms":5000}}"#
        );
        let (path, body) = (name("start").to_owned(), with_names(&body));
        match life(Request { path, query: Vec::new(), headers: Vec::new(), body }) {
            Reply::Answer(status, body) => (status, Json::parse(&body).unwrap()),
            Reply::Close => panic!("no answer"),
        }
    };

    assert_eq!(start("c", 1_000).0, 200);
    assert_eq!(start("a", 4_000).0, 200, "it is there");
    let (status, refusal) = start("c", 1_001);

    assert_eq!((status, refusal.text("reason")), (409, Some("room")));
    let hold = Json::parse(&last_call.lock().unwrap()).unwrap();
    assert_eq!(hold.number("deadline_ms"), Some(5_000), "the lease is taken from it");
    assert_eq!(Variant::NewRoom { percent: 25 }.room(0, 16_000), 16_000);
    assert_eq!(Variant::NewRoom { percent: 25 }.room(1, 16_000), 4_000);
}
