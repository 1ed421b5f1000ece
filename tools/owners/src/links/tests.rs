mod clocks;

use std::{
    sync::{Arc, Mutex, atomic::Ordering::SeqCst},
    time::Duration,
};

use super::{Link, Passed};
use crate::{
    clock::Clocks,
    http::{self, Reply, Request, Server},
    judge,
    late::{self, Chooser, Kind, LateCall, Lateness},
    names::name,
    ports,
    record::{Event, Record},
    store::Store,
    trouble,
    worker::{Setup, Worker},
    world,
};

/// The longest lease of a worker, in milliseconds.
const MAX_HOLD_MS: u64 = 10_000;

const LIMIT: Duration = Duration::from_secs(10);

const WORKER: &str = "i-00000001";

const TASK: &str = "5c0e7a2100000001.0.0.0";

/// A link to a worker, and what has passed it.
struct Play {
    record: Arc<Record>,
    passed: Arc<Passed>,
    link: Arc<Link>,
}

impl Play {
    fn new(record: &Arc<Record>, target: std::net::SocketAddr) -> Self {
        let (record, passed) = (Arc::clone(record), Arc::new(Passed::default()));
        let label = format!("node 0 -> {WORKER}");
        let link = Link::start(label, target, &record, &passed).expect("a free port");
        Self { record, passed, link }
    }

    /// Makes the next call of a kind late.
    fn delay_next(&self, kind: Kind, delay_ms: u64) -> Arc<Chooser> {
        let (kinds, delay_ms) = (vec![kind], (delay_ms, delay_ms));
        let lateness = Lateness { kinds, percent: 100, most: 1, delay_ms, seed: 1 };
        let chooser = Arc::new(Chooser::new(&lateness));
        self.link.set_chooser(&chooser);
        chooser
    }

    /// Returns the status of the answer, if there is one.
    fn call(&self, what: &str, fields: &str) -> Option<u16> {
        self.ask(what, fields).map(|(status, _)| status)
    }

    /// Returns the answer, if there is one.
    fn ask(&self, what: &str, fields: &str) -> Option<(u16, String)> {
        let body = format!(r#"{{"{}":7,{fields}}}"#, name("fence"));
        let call = ("POST", name(what), "worker");
        http::call(self.link.address, call, &body, Duration::from_secs(5))
    }

    fn start(&self, task: &str, run_ms: u64) -> Option<u16> {
        let spec = format!(r#""task":"{task}","attempt":1,"spec":"ms={run_ms} cpu=1000""#);
        self.call("start", &format!(r#"{spec},"deadline_ms":60000"#))
    }

    fn late_calls(&self) -> Vec<LateCall> {
        self.passed.late_calls.lock().unwrap().clone()
    }

    fn await_late_call(&self) {
        assert!(trouble::await_until(LIMIT, || !self.late_calls().is_empty()), "none has arrived");
    }

    fn has_reached_later_life(&self) -> bool {
        late::has_reached_later_life(&self.late_calls(), &late::births(&self.record.events()))
    }

    fn breaches(&self) -> Vec<String> {
        judge::twice(&self.record, &self.passed.calls.lock().unwrap(), MAX_HOLD_MS)
    }
}

/// A worker that only keeps the bodies of its calls.
fn keeper() -> (Play, Arc<Mutex<Vec<String>>>, Server) {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let kept = Arc::clone(&seen);
    let keep = move |request: Request| {
        kept.lock().unwrap().push(request.body);
        Reply::Answer(200, "{}".to_owned())
    };
    let server = Server::start(ports::take().expect("a free port"), Arc::new(keep)).unwrap();
    let play = Play::new(&Arc::new(Record::new()), server.address);
    (play, seen, server)
}

/// A worker of the review's that runs what it is told to.
fn runner() -> (Play, Arc<Worker>) {
    runner_with(Clocks::AtZero)
}

fn runner_with(clocks: Clocks) -> (Play, Arc<Worker>) {
    let record = Arc::new(Record::new());
    let store = Arc::new(Store::new(1, &record));
    let setup = Setup {
        id: WORKER.to_owned(),
        service: "shop".to_owned(),
        cpu: 16_000,
        mem_mb: 1_024,
        max_hold_ms: MAX_HOLD_MS,
        stop_ms: 200,
        heartbeat_ms: 1_500,
    };
    let worker = Worker::with_clocks(clocks, setup, Arc::clone(&record), Arc::clone(&store));
    worker.start(Duration::ZERO);
    worker.tick();
    let address = world::address(&store, &worker).expect("an entry");
    (Play::new(&record, address), worker)
}

fn restart(worker: &Arc<Worker>) {
    worker.crash();
    worker.start(Duration::ZERO);
}

fn await_end(worker: &Worker) {
    let has_ended = || {
        worker.tick();
        worker.unconfirmed_ends() == 1
    };
    assert!(trouble::await_until(LIMIT, has_ended), "the run has not ended");
}

fn start_elsewhere(play: &Play) {
    let life = ("i-00000002".to_owned(), 2);
    play.record.add(Event::Started { life, task: TASK.to_owned(), attempt: 2 });
}

#[test]
fn a_late_call_gets_no_answer_and_arrives_once() {
    let (play, seen, _server) = keeper();
    play.delay_next(Kind::Start, 700);
    let sent_ms = play.record.now_ms();

    let status = play.start(TASK, 20);

    assert_eq!(status, None);
    assert_eq!(*seen.lock().unwrap(), Vec::<String>::new());
    play.await_late_call();
    assert_eq!(seen.lock().unwrap().len(), 1);
    assert!(seen.lock().unwrap()[0].contains(TASK));
    let calls = play.passed.calls.lock().unwrap();
    assert_eq!(calls.len(), 1);
    assert!(calls[0].at_ms >= sent_ms + 700, "the judge hears of it when it arrives");
    assert!(calls[0].is_start && calls[0].worker == WORKER && calls[0].deadline_ms == 60_000);
}

#[test]
fn only_as_many_calls_of_the_chosen_kind_are_late() {
    let (play, seen, _server) = keeper();
    let chooser = play.delay_next(Kind::Confirming, 50);

    let others = [
        play.start(TASK, 20),
        play.call("stop", r#""attempt":1"#),
        play.call("pace", r#""attempt":1"#),
        play.call("hold", r#""last_seen":0,"deadline_ms":9000"#),
    ];
    let late = play.call("hold", r#""last_seen":4,"deadline_ms":9000"#);
    let next = play.call("hold", r#""last_seen":5,"deadline_ms":9000"#);

    assert_eq!(others, [Some(200); 4]);
    assert_eq!((late, next), (None, Some(200)));
    play.await_late_call();
    assert_eq!(seen.lock().unwrap().len(), 6);
    play.link.remove_chooser(&chooser);
    let chooser = play.delay_next(Kind::Stop, 50);
    play.link.remove_chooser(&chooser);
    assert_eq!(play.call("stop", r#""attempt":1"#), Some(200));
}

#[test]
fn holds_that_are_kept_arrive_later_than_a_start_that_is_sent_after_them() {
    let (play, seen, _server) = keeper();
    let play = Arc::new(play);
    play.link.keep_holds(800);
    let kept_until = play.record.now_ms() + 800;
    let caller = Arc::clone(&play);
    let hold =
        std::thread::spawn(move || caller.call("hold", r#""last_seen":0,"deadline_ms":9000"#));
    let is_read =
        || play.passed.read_bytes.load(SeqCst) > 0 || play.record.now_ms() + 500 > kept_until;
    assert!(trouble::await_until(LIMIT, is_read));

    assert_eq!(play.start(TASK, 20), Some(200));

    assert_eq!(hold.join().unwrap(), Some(200));
    let calls = play.passed.calls.lock().unwrap().clone();
    assert!(calls[0].is_start && !calls[1].is_start, "{calls:?}");
    assert!(calls[1].at_ms + 5 >= kept_until, "the judge hears of it when it arrives");
    assert!(seen.lock().unwrap()[0].contains(TASK));
}

#[test]
fn a_call_that_is_sent_in_parts_is_late_as_a_whole() {
    use std::io::{Read as _, Write as _};
    let (play, seen, _server) = keeper();
    play.delay_next(Kind::Stop, 50);
    let mut stream = std::net::TcpStream::connect(play.link.address).unwrap();
    let head = format!("POST {} HTTP/1.1\r\nContent-Length: 13\r\n\r\n", name("stop"));

    stream.write_all(head.as_bytes()).unwrap();
    let read = || play.passed.read_bytes.load(SeqCst) as usize >= head.len();
    assert!(trouble::await_until(LIMIT, read), "the first part isn't read");
    stream.write_all(br#"{"attempt":1}"#).unwrap();

    assert_eq!(stream.read(&mut [0; 16]).unwrap_or(0), 0);
    play.await_late_call();
    assert_eq!(*seen.lock().unwrap(), [r#"{"attempt":1}"#]);
}

#[test]
fn what_a_late_hold_confirms_in_the_next_life_counts_as_noted() {
    let (play, worker) = runner();
    assert_eq!(play.start("5c0e7a2100000002.0.0.0", 20), Some(200));
    await_end(&worker);
    play.delay_next(Kind::Confirming, 2_000);
    assert_eq!(play.call("hold", r#""last_seen":1"#), None);
    restart(&worker);
    assert_eq!(play.start(TASK, 20), Some(200));
    await_end(&worker);
    assert!(!play.has_reached_later_life());

    play.await_late_call();
    start_elsewhere(&play);

    assert_eq!(worker.unconfirmed_ends(), 0);
    assert!(play.has_reached_later_life());
    let breaches = play.breaches();
    assert_eq!(breaches.len(), 1);
    assert!(breaches[0].contains("after attempt 1 was done on i-00000001"), "{}", breaches[0]);
}

#[test]
fn a_late_start_counts_as_a_run_of_the_next_life() {
    let (play, worker) = runner();
    play.delay_next(Kind::Start, 300);
    assert_eq!(play.start(TASK, 60_000), None);
    restart(&worker);

    play.await_late_call();
    start_elsewhere(&play);

    assert!(play.has_reached_later_life());
    let breaches = play.breaches();
    assert_eq!(breaches.len(), 1);
    assert!(breaches[0].contains("while attempt 1 runs on i-00000001"), "{}", breaches[0]);
    assert!(breaches[0].contains("attempt 1 fence 7 comes late"), "{}", breaches[0]);
}

#[test]
fn a_late_hold_renews_the_lease_that_the_judge_counts() {
    let (play, worker) = runner();
    let run =
        format!(r#""task":"{TASK}","attempt":1,"spec":"ms=60000 cpu=1000","deadline_ms":2000"#);
    play.delay_next(Kind::Lease, 300);
    assert_eq!(play.call("hold", r#""last_seen":0,"deadline_ms":9000"#), None);
    restart(&worker);
    assert_eq!(play.call("start", &run), Some(200));
    play.await_late_call();
    let lapses_at = play.record.now_ms() + 2_100;
    assert!(trouble::await_until(LIMIT, || play.record.now_ms() > lapses_at));

    start_elsewhere(&play);

    assert_eq!(play.breaches().len(), 1);
    play.passed.calls.lock().unwrap().retain(|call| call.is_start);
    assert_eq!(play.breaches(), Vec::<String>::new(), "without it the lease has ended");
}

#[test]
fn late_calls_are_counted_by_kind_and_by_the_life_in_which_they_are_carried_out() {
    let call = |kind, (sent_ms, arrived_ms): (u64, u64), status| {
        let worker = WORKER.to_owned();
        LateCall { kind, worker, sent_ms, arrived_ms, status }
    };
    let calls = [
        call(Kind::Start, (900, 1_100), 200),
        call(Kind::Start, (900, 1_100), 409),
        call(Kind::Start, (1_001, 1_100), 200),
        call(Kind::Confirming, (900, 999), 200),
        call(Kind::Lease, (900, 1_100), 0),
    ];
    let births = [(1_000, (WORKER.to_owned(), 1)), (950, ("i-00000002".to_owned(), 2))];

    let text = late::summary(&calls, &births);

    assert!(text.contains("starts 2 of 3 (in a later life 1 of 2)"), "{text}");
    assert!(text.contains("holds with last_seen 1 of 1 (in a later life 0 of 0)"), "{text}");
    assert!(text.contains("holds with a lease only 0 of 1 (in a later life 0 of 1)"), "{text}");
    assert!(text.contains("stops 0 of 0 (in a later life 0 of 0)"), "{text}");
    assert!(!text.contains("none reached"), "{text}");
    let refused = late::summary(&calls[1..], &births);
    assert!(!refused.contains("none reached"), "a refusal there shows something, too: {refused}");
    let text = late::summary(&calls[2..], &births);
    assert!(text.contains("none reached a later life"), "{text}");
}
