//! Stand-ins for backend servers, which count what they ran.
//!
//! A worker answers any request with the request's id, a line feed and the request's body, so that
//! a caller can tell whether the answer is its own. Request heads steer it: `standin-work-ms` is
//! how long the work takes, `standin-answer-bytes` pads the answer.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Frame, Incoming},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, task::JoinSet};

use crate::http;

/// How a worker behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// It works.
    #[default]
    Work,
    /// It answers 500 at once, without running anything.
    FailFast,
    /// It runs the request and closes the connection without an answer.
    DieBeforeAnswer,
    /// It runs the request and closes the connection in the middle of the answer.
    DieInAnswer,
    /// It accepts requests and never answers.
    Hang,
}

/// What a worker did, counted by itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// How often each request was run, by id.
    pub runs: HashMap<String, u32>,
    /// Requests whose connection went away while they ran.
    pub cut_off: Vec<String>,
    /// Requests that run now.
    pub running: u32,
    /// The most that ever ran side by side.
    pub peak_running: u32,
    /// Connections that are open now.
    pub connections: u32,
    /// The most that were ever open at once.
    pub peak_connections: u32,
}

impl RunCounts {
    /// Requests that were run more than once.
    #[must_use]
    pub fn doubled(&self) -> usize {
        self.runs.values().filter(|&&runs| runs > 1).count()
    }
}

/// The sum of the run counts of several workers; peaks are those of the busiest worker.
#[must_use]
pub fn sum_counts(tallies: impl IntoIterator<Item = RunCounts>) -> RunCounts {
    let mut sum = RunCounts::default();
    for tally in tallies {
        for (id, runs) in tally.runs {
            *sum.runs.entry(id).or_default() += runs;
        }
        sum.cut_off.extend(tally.cut_off);
        sum.running += tally.running;
        sum.connections += tally.connections;
        sum.peak_running = sum.peak_running.max(tally.peak_running);
        sum.peak_connections = sum.peak_connections.max(tally.peak_connections);
    }
    sum
}

#[derive(Debug, Default)]
struct Shared {
    run_counts: Mutex<RunCounts>,
    mode: Mutex<Mode>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running worker.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Where the worker listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: tokio::sync::watch::Sender<bool>,
    reboots: tokio::sync::watch::Sender<u64>,
}

impl Handle {
    /// What the worker counted so far.
    #[must_use]
    pub fn run_counts(&self) -> RunCounts {
        lock(&self.shared.run_counts).clone()
    }

    /// Changes how the worker behaves from now on.
    pub fn set_mode(&self, mode: Mode) {
        *lock(&self.shared.mode) = mode;
    }

    /// Closes all connections at once, as a reboot does; new ones are taken afterwards.
    pub fn disconnect(&self) {
        self.reboots.send_modify(|count| *count += 1);
    }

    /// Closes the listener and all connections at once.
    pub fn kill(&self) {
        self.stop.send_replace(true);
    }
}

/// Starts a worker on a loopback port.
///
/// # Errors
///
/// If no port can be opened.
pub async fn start(address: SocketAddr) -> std::io::Result<Handle> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared::default());
    let (stop, mut stopped) = tokio::sync::watch::channel(false);
    let (reboots, mut rebooted) = tokio::sync::watch::channel(0);
    let accepting = Arc::clone(&shared);
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => break,
                },
                () = until_true(&mut stopped) => break,
                Ok(()) = rebooted.changed() => {
                    connections.shutdown().await;
                    continue;
                }
                Some(_) = connections.join_next() => continue,
            };
            let _ = stream.set_nodelay(true);
            connections.spawn(serve(TokioIo::new(stream), Arc::clone(&accepting)));
        }
        connections.shutdown().await;
    });
    Ok(Handle { address, shared, stop, reboots })
}

async fn until_true(flag: &mut tokio::sync::watch::Receiver<bool>) {
    // A handle that is gone stops the worker as well.
    let _ = flag.wait_for(|flag| *flag).await;
}

/// Counts a connection as long as it lives.
struct Connection(Arc<Shared>);

impl Connection {
    fn open(shared: &Arc<Shared>) -> Self {
        let mut tally = lock(&shared.run_counts);
        tally.connections += 1;
        tally.peak_connections = tally.peak_connections.max(tally.connections);
        Self(Arc::clone(shared))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        lock(&self.0.run_counts).connections -= 1;
    }
}

/// Counts a request as long as it runs, and as cut off unless it was finished.
struct Run {
    shared: Arc<Shared>,
    id: String,
    finished: bool,
}

impl Run {
    fn start(shared: &Arc<Shared>, id: &str) -> Self {
        let mut tally = lock(&shared.run_counts);
        *tally.runs.entry(id.to_owned()).or_default() += 1;
        tally.running += 1;
        tally.peak_running = tally.peak_running.max(tally.running);
        Self { shared: Arc::clone(shared), id: id.to_owned(), finished: false }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut tally = lock(&self.shared.run_counts);
        tally.running -= 1;
        if !self.finished {
            tally.cut_off.push(self.id.clone());
        }
    }
}

async fn serve(io: TokioIo<tokio::net::TcpStream>, shared: Arc<Shared>) {
    let connection = Connection::open(&shared);
    let service = service_fn(move |req| work(Arc::clone(&shared), req));
    let _ = hyper::server::conn::http1::Builder::new().serve_connection(io, service).await;
    drop(connection);
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

async fn work(
    shared: Arc<Shared>,
    req: Request<Incoming>,
) -> Result<Response<http::Body>, std::io::Error> {
    let mode = *lock(&shared.mode);
    let (head, body) = req.into_parts();
    let id = head.headers.get("teaselgap-request").and_then(|value| value.to_str().ok());
    let id = id.unwrap_or("unnamed").to_owned();
    if mode == Mode::FailFast {
        return Ok(http::json(StatusCode::INTERNAL_SERVER_ERROR, &"failed by mode"));
    }
    let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
    let mut run = Run::start(&shared, &id);
    if let Some(ms) = number(&head.headers, "standin-work-ms") {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
    if mode == Mode::Hang {
        std::future::pending::<()>().await;
    }
    let padding = number(&head.headers, "standin-answer-bytes").unwrap_or(0);
    let mut answer = id.into_bytes();
    answer.push(b'\n');
    answer.extend_from_slice(&body);
    answer.resize(answer.len() + usize::try_from(padding).unwrap_or(0), b'.');
    run.finished = true;
    drop(run);
    match mode {
        Mode::DieBeforeAnswer => Err(std::io::Error::other("died by mode")),
        Mode::DieInAnswer => Ok(broken_answer(answer)),
        _ => Ok(Response::new(http::full(answer))),
    }
}

/// An answer that promises its whole length and breaks off after the first half.
fn broken_answer(answer: Vec<u8>) -> Response<http::Body> {
    let len = answer.len();
    let half = Bytes::from(answer).slice(..len / 2);
    let frames = futures_util::stream::iter([Ok(Frame::data(half))])
        .chain(futures_util::stream::once(async { Err(std::io::Error::other("died by mode")) }));
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    response.headers_mut().insert("content-length", len.into());
    response
}
