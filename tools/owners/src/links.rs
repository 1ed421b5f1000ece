//! Links between two processes: a proxy on loopback that can hold bytes back.

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

use crate::{json::Json, names::name, ports, record::Record};

/// The longest time for which bytes are held back, in milliseconds; older ones are lost. A platform
/// may carry a call out seconds late, but not any later.
const MAX_HELD_MS: u64 = 4_000;

/// Bytes that are under way for longer than this count as late, in milliseconds.
const LATE_MS: u64 = 100;

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
    pub late_bytes: AtomicU64,
    pub lost_bytes: AtomicU64,
    /// The calls to workers that arrived.
    pub calls: Mutex<Vec<WorkerCall>>,
}

/// A link: its connections are accepted at `address` and passed on to the target.
pub struct Link {
    label: String,
    pub address: SocketAddr,
    /// Until when each way holds bytes back, in milliseconds of the record.
    held_until: [AtomicU64; 2],
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
            held_until: Default::default(),
            latency_ms: Default::default(),
            record: Arc::clone(record),
            passed: Arc::clone(passed),
        });
        let accepting = Arc::clone(&link);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = accepting.open(stream, target);
            }
        })?;
        Some(link)
    }

    /// Holds a way's bytes back for this long.
    pub fn hold(&self, way: Way, ms: u64) {
        self.held_until[way as usize].fetch_max(self.record.now_ms() + ms, SeqCst);
    }

    pub fn set_latency(&self, way: Way, ms: u64) {
        self.latency_ms[way as usize].store(ms, SeqCst);
    }

    fn open(self: &Arc<Self>, near: TcpStream, target: SocketAddr) -> Option<()> {
        let far = TcpStream::connect_timeout(&target, Duration::from_secs(1)).ok()?;
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
    fn pass(&self, mut from: TcpStream, mut to: TcpStream, way: Way, open: &Open) {
        let mut bytes = vec![0; 16_384];
        let mut message = Vec::new();
        while let Ok(count @ 1..) = from.read(&mut bytes) {
            let read_at = self.record.now_ms();
            if !self.await_delivery(way, read_at) {
                self.passed.lost_bytes.fetch_add(count as u64, SeqCst);
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            let age = self.record.now_ms() - read_at;
            if age > LATE_MS {
                self.passed.late_bytes.fetch_add(count as u64, SeqCst);
            }
            message.extend_from_slice(&bytes[..count]);
            while let Some((head, body)) = take_message(&mut message) {
                self.note(way, &head, &body, age, open);
            }
            if to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = self.await_delivery(way, self.record.now_ms());
        let _ = to.shutdown(Shutdown::Write);
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

    /// Records start orders and their answers.
    fn note(&self, way: Way, head: &str, body: &str, age: u64, open: &Open) {
        let mut open = open.lock().unwrap();
        if way == Way::Back {
            if let Some(Some(order)) = open.pop_front() {
                let status = head.split(' ').nth(1).unwrap_or_default();
                self.record.note(format!("{}: answer {status} {body} to {order}", self.label));
            }
            return;
        }
        let path = head.split(' ').nth(1).unwrap_or_default();
        let is_start = path == name("start");
        if !is_start && path != name("hold") {
            open.push_back(None);
            return;
        }
        let call = Json::parse(body).unwrap_or(Json::Null);
        let number = |field| call.number(field).unwrap_or(0);
        let (fence, deadline_ms) = (number(name("fence")), number("deadline_ms"));
        let worker = self.label.rsplit(' ').next().unwrap_or_default().to_owned();
        let at_ms = self.record.now_ms();
        let passed = WorkerCall { at_ms, worker, fence, deadline_ms, is_start };
        self.passed.calls.lock().unwrap().push(passed);
        if !is_start {
            open.push_back(None);
            return;
        }
        let task = call.text("task").unwrap_or_default();
        let text = format!("{task} attempt {} fence {fence}", number("attempt"));
        self.record.note(format!(
            "{}: order {text} until {deadline_ms} on the worker's clock, {age} ms under way",
            self.label
        ));
        open.push_back(Some(text));
    }
}

fn spawn(work: impl FnOnce() + Send + 'static) -> Option<()> {
    thread::Builder::new().stack_size(STACK_BYTES).spawn(work).ok().map(drop)
}

/// Takes the first complete HTTP message from the bytes: its first line and its body.
fn take_message(bytes: &mut Vec<u8>) -> Option<(String, String)> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let mut lines = head.lines();
    let first = lines.next().unwrap_or_default().to_owned();
    let length = lines.find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
    let body = bytes.get(end..end + length)?;
    let body = String::from_utf8_lossy(body).into_owned();
    bytes.drain(..end + length);
    Some((first, body))
}
