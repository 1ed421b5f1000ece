//! Links between two processes: a proxy on loopback that can hold bytes back, and single calls.

#[cfg(test)]
mod tests;

use std::{
    collections::VecDeque,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

use crate::{
    json::Json,
    late::{Chooser, Kind, LateCall},
    names::name,
    ports,
    record::Record,
};

/// The longest time for which bytes are held back, in milliseconds; older ones are lost. A platform
/// may carry a call out seconds late, but not any later.
const MAX_HELD_MS: u64 = 4_000;

/// Bytes that are under way for longer than this count as late, in milliseconds.
const LATE_MS: u64 = 100;

/// How long the answer to a late call is awaited. A hold may wait for 2 s.
const LATE_ANSWER: Duration = Duration::from_secs(3);

const STACK_BYTES: usize = 256 * 1024;

/// A direction of a link, as seen by the process that opens its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Out,
    Back,
}

/// A start order, or a renewal of a lease, as it reached a worker.
#[derive(Clone, Debug)]
pub struct WorkerCall {
    pub at_ms: u64,
    pub worker: String,
    pub fence: u64,
    /// On the worker's clock.
    pub deadline_ms: u64,
    pub is_start: bool,
}

/// What has passed a link.
#[derive(Debug, Default)]
pub struct Passed {
    /// Bytes of callers that links have read and dealt with.
    pub read_bytes: AtomicU64,
    pub late_bytes: AtomicU64,
    pub lost_bytes: AtomicU64,
    /// The calls to workers that arrived.
    pub calls: Mutex<Vec<WorkerCall>>,
    /// Those among them, and stops, that were late.
    pub late_calls: Mutex<Vec<LateCall>>,
}

/// A link: its connections are accepted at `address` and passed on to the target.
pub struct Link {
    label: String,
    pub address: SocketAddr,
    target: SocketAddr,
    /// What makes calls late now.
    chooser: Mutex<Option<Arc<Chooser>>>,
    /// Until when each way holds bytes back, in milliseconds of the record.
    held_until: [AtomicU64; 2],
    /// Until when holds are held back, in milliseconds of the record.
    holds_until: AtomicU64,
    /// How long each way takes for what one read returns, in milliseconds.
    latency_ms: [AtomicU64; 2],
    record: Arc<Record>,
    passed: Arc<Passed>,
}

/// The start orders of a connection that have no answer yet; `None` for other calls.
type Open = Arc<Mutex<VecDeque<Option<String>>>>;

impl Link {
    pub fn start(
        label: String,
        target: SocketAddr,
        record: &Arc<Record>,
        passed: &Arc<Passed>,
    ) -> Option<Arc<Self>> {
        let address = ports::take()?;
        let listener = TcpListener::bind(address).ok()?;
        let link = Arc::new(Self {
            label,
            address,
            target,
            chooser: Mutex::default(),
            held_until: Default::default(),
            holds_until: AtomicU64::default(),
            latency_ms: Default::default(),
            record: Arc::clone(record),
            passed: Arc::clone(passed),
        });
        let accepting = Arc::clone(&link);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = accepting.open(stream);
            }
        })?;
        Some(link)
    }

    /// Holds a way's bytes back for this long.
    pub fn hold(&self, way: Way, ms: u64) {
        self.held_until[way as usize].fetch_max(self.record.now_ms() + ms, SeqCst);
    }

    /// Holds back the holds for a worker for this long, and no other calls.
    pub fn keep_holds(&self, ms: u64) {
        self.holds_until.fetch_max(self.record.now_ms() + ms, SeqCst);
    }

    pub fn set_latency(&self, way: Way, ms: u64) {
        self.latency_ms[way as usize].store(ms, SeqCst);
    }

    /// Makes the calls late that this one chooses, from now on.
    pub fn set_chooser(&self, chooser: &Arc<Chooser>) {
        *self.chooser.lock().unwrap() = Some(Arc::clone(chooser));
    }

    /// Ends what `set_chooser` began, unless another one has taken its place.
    pub fn remove_chooser(&self, chooser: &Arc<Chooser>) {
        let mut current = self.chooser.lock().unwrap();
        if current.as_ref().is_some_and(|current| Arc::ptr_eq(current, chooser)) {
            *current = None;
        }
    }

    fn open(self: &Arc<Self>, near: TcpStream) -> Option<()> {
        let far = TcpStream::connect_timeout(&self.target, Duration::from_secs(1)).ok()?;
        let open = Open::default();
        for way in [Way::Out, Way::Back] {
            let (from, to) = if way == Way::Out { (&near, &far) } else { (&far, &near) };
            let _ = to.set_nodelay(true);
            let (from, to) = (from.try_clone().ok()?, to.try_clone().ok()?);
            let (link, open) = (Arc::clone(self), Arc::clone(&open));
            spawn(move || link.pass(from, to, way, &open))?;
        }
        Some(())
    }

    /// Passes bytes on until the sender has closed the connection or one of them is gone.
    fn pass(self: &Arc<Self>, mut from: TcpStream, mut to: TcpStream, way: Way, open: &Open) {
        let mut bytes = vec![0; 16_384];
        let mut unread = Unread::default();
        while let Ok(count @ 1..) = from.read(&mut bytes) {
            let read_at = self.record.now_ms();
            if !self.await_delivery(way, read_at) {
                self.passed.lost_bytes.fetch_add(count as u64, SeqCst);
                return close(&from, &to);
            }
            let age = self.record.now_ms() - read_at;
            if age > LATE_MS {
                self.passed.late_bytes.fetch_add(count as u64, SeqCst);
            }
            unread.bytes.extend_from_slice(&bytes[..count]);
            let mut due = Vec::new();
            while let Some(message) = unread.take_message() {
                if way == Way::Out && self.hold_up(&message) {
                    return close(&from, &to);
                }
                if way == Way::Out && message.is_hold() {
                    self.await_holds();
                }
                self.note(way, &message, age, open);
                due.extend_from_slice(&message.bytes[message.passed..]);
            }
            // A call can be late only as a whole.
            if way == Way::Back || !self.takes_whole_calls() {
                due.extend_from_slice(unread.take_rest());
            }
            if to.write_all(&due).is_err() {
                break;
            }
            if way == Way::Out {
                self.passed.read_bytes.fetch_add(count as u64, SeqCst);
            }
        }
        let _ = self.await_delivery(way, self.record.now_ms());
        let _ = to.shutdown(Shutdown::Write);
    }

    /// Makes a call late if it is chosen. Returns whether it is.
    fn hold_up(self: &Arc<Self>, message: &Message) -> bool {
        let chooser = self.chooser.lock().unwrap().clone();
        let call = Call::of(message);
        let Some((chooser, kind)) = chooser.zip(call.kind).filter(|_| message.passed == 0) else {
            return false;
        };
        let Some(delay_ms) = chooser.choose(kind) else { return false };
        self.record.note(format!("{}: {} is held up for {delay_ms} ms", self.label, call.text()));
        let (link, bytes, sent_ms) =
            (Arc::clone(self), message.bytes.clone(), self.record.now_ms());
        let deliver = move || {
            thread::sleep(Duration::from_millis(delay_ms));
            link.deliver(&bytes, &call, (kind, sent_ms));
        };
        spawn(deliver).is_some()
    }

    /// Brings a late call to the worker, over a connection of its own.
    fn deliver(&self, bytes: &[u8], call: &Call, (kind, sent_ms): (Kind, u64)) {
        let late = |what: &str| format!("{}: {} comes late, {what}", self.label, call.text());
        let Ok(mut stream) = TcpStream::connect_timeout(&self.target, Duration::from_secs(1))
        else {
            return self.record.note(late("nobody is there"));
        };
        let arrived_ms = self.record.now_ms();
        self.note_call(call, arrived_ms);
        self.record.note(late(&format!("{} ms after it was sent", arrived_ms - sent_ms)));
        let _ = stream.set_read_timeout(Some(LATE_ANSWER));
        let answer = stream.write_all(bytes).ok().and_then(|()| read_message(&mut stream));
        let status = answer.as_ref().map_or(0, Message::status);
        let answer = answer.map_or("no answer".to_owned(), |answer| answer.body);
        self.record.note(late(&format!("answer {status} {answer}")));
        let worker = self.worker();
        let call = LateCall { kind, worker, sent_ms, arrived_ms, status };
        self.passed.late_calls.lock().unwrap().push(call);
    }

    fn keeps_holds(&self) -> bool {
        self.record.now_ms() < self.holds_until.load(SeqCst)
    }

    fn await_holds(&self) {
        while self.keeps_holds() {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Whether calls pass only when all of their bytes are there.
    fn takes_whole_calls(&self) -> bool {
        self.keeps_holds() || self.chooser.lock().unwrap().is_some()
    }

    /// Waits while the way holds bytes back. Returns whether those read at this time arrive.
    fn await_delivery(&self, way: Way, read_at: u64) -> bool {
        let latency = self.latency_ms[way as usize].load(SeqCst);
        thread::sleep(Duration::from_millis(latency));
        while self.record.now_ms() < self.held_until[way as usize].load(SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        self.record.now_ms() <= read_at + MAX_HELD_MS
    }

    /// The worker at the other end.
    fn worker(&self) -> String {
        self.label.rsplit(' ').next().unwrap_or_default().to_owned()
    }

    /// Keeps a call that arrives, if it is a start order or a hold.
    fn note_call(&self, call: &Call, at_ms: u64) {
        let is_start = call.path == name("start");
        if is_start || call.path == name("hold") {
            let (fence, deadline_ms) = (call.number(name("fence")), call.number("deadline_ms"));
            let call = WorkerCall { at_ms, worker: self.worker(), fence, deadline_ms, is_start };
            self.passed.calls.lock().unwrap().push(call);
        }
    }

    /// Records start orders and their answers.
    fn note(&self, way: Way, message: &Message, age: u64, open: &Open) {
        let mut open = open.lock().unwrap();
        if way == Way::Back {
            if let Some(Some(order)) = open.pop_front() {
                let answer = format!("answer {} {} to {order}", message.status(), message.body);
                self.record.note(format!("{}: {answer}", self.label));
            }
            return;
        }
        let call = Call::of(message);
        self.note_call(&call, self.record.now_ms());
        if call.path != name("start") {
            open.push_back(None);
            return;
        }
        let (text, deadline_ms) = (call.run(), call.number("deadline_ms"));
        self.record.note(format!(
            "{}: order {text} until {deadline_ms} on the worker's clock, {age} ms under way",
            self.label
        ));
        open.push_back(Some(text));
    }
}

/// A call as it stands in a message.
struct Call {
    path: String,
    body: Json,
    kind: Option<Kind>,
}

impl Call {
    fn of(message: &Message) -> Self {
        let path = message.head.split(' ').nth(1).unwrap_or_default().to_owned();
        let body = Json::parse(&message.body).unwrap_or(Json::Null);
        let kind = Kind::of(&path, &body);
        Self { path, body, kind }
    }

    fn number(&self, field: &str) -> u64 {
        self.body.number(field).unwrap_or(0)
    }

    fn run(&self) -> String {
        let task = self.body.text("task").unwrap_or_default();
        format!("{task} attempt {} fence {}", self.number("attempt"), self.number(name("fence")))
    }

    fn text(&self) -> String {
        let fence = self.number(name("fence"));
        match self.kind {
            Some(Kind::Start) => format!("order {}", self.run()),
            Some(Kind::Stop) => format!("stop {}", self.run()),
            _ => format!("hold last_seen {} fence {fence}", self.number("last_seen")),
        }
    }
}

fn spawn(work: impl FnOnce() + Send + 'static) -> Option<()> {
    thread::Builder::new().stack_size(STACK_BYTES).spawn(work).ok().map(drop)
}

/// Closes both connections.
fn close(near: &TcpStream, far: &TcpStream) {
    let _ = near.shutdown(Shutdown::Both);
    let _ = far.shutdown(Shutdown::Both);
}

/// Reads an HTTP message; `None` if the connection ends or times out before it is complete.
fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut bytes = vec![0; 16_384];
    let mut unread = Unread::default();
    while let Ok(count @ 1..) = stream.read(&mut bytes) {
        unread.bytes.extend_from_slice(&bytes[..count]);
        if let Some(message) = unread.take_message() {
            return Some(message);
        }
    }
    None
}

/// An HTTP message.
struct Message {
    bytes: Vec<u8>,
    /// How many of the bytes have been passed on.
    passed: usize,
    /// The first line, in lower case.
    head: String,
    body: String,
}

impl Message {
    fn is_hold(&self) -> bool {
        self.head.split(' ').nth(1) == Some(name("hold"))
    }

    fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// The bytes of a way that make no complete message yet.
#[derive(Default)]
struct Unread {
    bytes: Vec<u8>,
    /// How many of them have been passed on.
    passed: usize,
}

impl Unread {
    /// Takes the first complete HTTP message.
    fn take_message(&mut self) -> Option<Message> {
        let end = self.bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.bytes[..end]).to_ascii_lowercase();
        let mut lines = head.lines();
        let first = lines.next().unwrap_or_default().to_owned();
        let length = lines.find_map(|line| line.strip_prefix("content-length:"));
        let length: usize = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        let body = self.bytes.get(end..end + length)?;
        let body = String::from_utf8_lossy(body).into_owned();
        let bytes: Vec<u8> = self.bytes.drain(..end + length).collect();
        let passed = std::mem::take(&mut self.passed);
        Some(Message { bytes, passed, head: first, body })
    }

    /// What has not been passed on yet, which now is.
    fn take_rest(&mut self) -> &[u8] {
        let passed = std::mem::replace(&mut self.passed, self.bytes.len());
        &self.bytes[passed..]
    }
}
