//! The state of a wave in the store, whatever becomes of the calls that write it.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use teaselgap_core::job::WaveBasis;
use teaselgap_platform::config;

use super::*;

/// What a store does with a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It is carried out and answered.
    Answered,
    /// It is refused.
    Refused,
    /// It gets no answer, and is carried out only by [`TestStore::carry_out_late`].
    Late,
}

#[derive(Debug, Default)]
struct Contents {
    revision: u64,
    /// Value in base64 and revision of each key.
    items: HashMap<String, (String, u64)>,
    /// What becomes of the next transactions that write a value with this text; the others are answered.
    fates: Vec<(&'static str, Fate)>,
    late: Vec<Value>,
}

impl Contents {
    /// Carries out a transaction if its conditions hold, and returns status and body of the answer.
    fn carry_out(&mut self, txn: &Value) -> (u16, Value) {
        let expected = txn["expected"].as_array().unwrap();
        let current = |key: &Value| self.items.get(key.as_str().unwrap());
        let holds = |row: &Value| {
            current(&row["key"]).map_or(0, |(_, revision)| *revision)
                == row["revision"].as_u64().unwrap()
        };
        if !expected.iter().all(holds) {
            let item = |row: &Value| {
                let (value, revision) = current(&row["key"])?;
                Some(json!({"key": row["key"], "value": value, "revision": revision}))
            };
            let items: Vec<Value> = expected.iter().filter_map(item).collect();
            return (412, json!({ "items": items }));
        }
        self.revision += 1;
        for put in txn["puts"].as_array().unwrap() {
            let (key, value) = (put["key"].as_str().unwrap(), put["value"].as_str().unwrap());
            self.items.insert(key.to_owned(), (value.to_owned(), self.revision));
        }
        (200, json!({ "revision": self.revision }))
    }

    fn fate(&mut self, txn: &Value) -> Fate {
        let value = txn["puts"][0]["value"].as_str().unwrap();
        let value = String::from_utf8(STANDARD.decode(value).unwrap()).unwrap();
        let place = self.fates.iter().position(|(text, _)| value.contains(text));
        place.map_or(Fate::Answered, |place| self.fates.remove(place).1)
    }
}

/// A store that carries out some transactions late.
#[derive(Clone, Debug)]
struct TestStore {
    address: SocketAddr,
    contents: Arc<Mutex<Contents>>,
}

impl TestStore {
    /// Starts a store in which the fleet is owned in [`EPOCH`].
    fn start(fates: Vec<(&'static str, Fate)>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let items = HashMap::from([(own_duty(EPOCH).key, (String::new(), EPOCH.0))]);
        let contents = Contents { revision: EPOCH.0, items, fates, late: Vec::new() };
        let store = Self { address, contents: Arc::new(Mutex::new(contents)) };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let store = served.clone();
                std::thread::spawn(move || store.answer(stream));
            }
        });
        store
    }

    /// Answers the calls of one connection, until one of them gets no answer.
    fn answer(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(txn) = read_body(&mut reader) {
            let mut contents = self.contents.lock().unwrap();
            let (status, body) = match contents.fate(&txn) {
                Fate::Answered => contents.carry_out(&txn),
                Fate::Refused => (503, json!({})),
                Fate::Late => {
                    contents.late.push(txn);
                    drop(contents);
                    // The connection stays open, and returns nothing further.
                    let _ = reader.read_to_end(&mut Vec::new());
                    return;
                }
            };
            drop(contents);
            let body = body.to_string();
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            if write!(writer, "{head}{body}").is_err() {
                return;
            }
        }
    }

    fn set(&self, fates: Vec<(&'static str, Fate)>) {
        self.contents.lock().unwrap().fates = fates;
    }

    /// Whether a call has come that gets no answer.
    fn has_late_calls(&self) -> bool {
        !self.contents.lock().unwrap().late.is_empty()
    }

    /// Carries out what got no answer; returns how many transactions that were.
    fn carry_out_late(&self) -> usize {
        let mut contents = self.contents.lock().unwrap();
        let late = std::mem::take(&mut contents.late);
        for txn in &late {
            contents.carry_out(txn);
        }
        late.len()
    }

    /// The value of a key and its revision.
    fn value(&self, key: &str) -> Option<(Vec<u8>, u64)> {
        let contents = self.contents.lock().unwrap();
        let (value, revision) = contents.items.get(key)?;
        Some((STANDARD.decode(value).unwrap(), *revision))
    }

    /// Whether the operator reads this state of wave 1.
    fn shows(&self, finished: bool) -> bool {
        let (key, value) = config::wave_status(1, finished);
        self.value(&key).is_some_and(|(shown, _)| shown == value)
    }
}

/// Reads a request and returns its body, or `None` at the end of the connection.
fn read_body(reader: &mut BufReader<TcpStream>) -> Option<Value> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line.is_empty() {
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            return serde_json::from_slice(&body).ok();
        }
    }
}

/// An owner of the fleet that writes to this store.
fn owner_at(store: &TestStore) -> Rc<FleetOwner> {
    Rc::new(fleet_owner(&node(&[], store.address)))
}

async fn report(owner: &Rc<FleetOwner>, finished: bool) {
    let basis = WaveBasis::default();
    Rc::clone(owner).execute(FleetAction::ReportWave { wave: 1, finished, basis }).await;
}

#[test]
fn a_late_copy_of_running_replaces_succeeded() {
    let store = TestStore::start(vec![("running", Fate::Late)]);

    test_server::run(async {
        let owner = owner_at(&store);
        report(&owner, false).await;
        report(&owner, true).await;
    });
    let is_written = store.shows(true);
    let late = store.carry_out_late();

    assert!(is_written);
    assert_eq!(late, 1);
    assert!(store.shows(true));
}

#[test]
fn a_refused_write_of_running_is_made_up_for_after_succeeded() {
    // The first write is refused, and sent again after a pause, four times.
    let store = TestStore::start(vec![("running", Fate::Refused); 4]);

    test_server::run(async {
        let owner = owner_at(&store);
        tokio::join!(report(&owner, false), report(&owner, true));
    });

    assert!(store.shows(true));
}

#[test]
fn an_unanswered_succeeded_replaces_the_running_that_the_store_shows() {
    let store = TestStore::start(Vec::new());

    test_server::run(async {
        let owner = owner_at(&store);
        report(&owner, false).await;
        // More than the copies of one call.
        store.set(vec![("succeeded", Fate::Late); 4]);
        let goes_on = async {
            while !store.has_late_calls() {
                tokio::task::yield_now().await;
            }
            report(&owner, false).await;
        };
        tokio::join!(report(&owner, true), goes_on);
    });
    let late = store.carry_out_late();

    assert_eq!(late, 4);
    assert!(store.shows(false));
}

#[test]
fn the_next_owner_writes_over_what_an_earlier_one_wrote() {
    let store = TestStore::start(Vec::new());
    let (key, _) = config::wave_status(1, false);

    let written = test_server::run(async {
        report(&owner_at(&store), true).await;
        let written = store.value(&key);
        let next = owner_at(&store);
        report(&next, true).await;
        let again = store.value(&key);
        report(&next, false).await;
        (written, again)
    });

    assert_eq!(written.0, written.1, "the state is there already, and isn't written again");
    assert!(store.shows(false));
}

#[test]
fn a_state_is_written_once_another_node_owns_the_fleet() {
    let store = TestStore::start(Vec::new());
    store.contents.lock().unwrap().items.insert(own_duty(EPOCH).key, (String::new(), EPOCH.0 + 1));

    let is_term_over = test_server::run(async {
        let owner = owner_at(&store);
        report(&owner, true).await;
        owner.is_term_over.get()
    });

    assert!(is_term_over);
    assert!(!store.shows(true));
}
