//! Simulated backend servers that count the requests they ran.
//!
//! A worker answers a request with the request's id, a line feed and the request's body, so that a
//! caller can check that the answer belongs to its request. Two request headers control it:
//! `standin-work-ms` sets how long the work takes, and `standin-answer-bytes` how many bytes of
//! padding the answer gets.

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

/// How a worker handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Runs the request and answers it.
    #[default]
    Work,
    /// Answers with status 500 at once, without running the request.
    FailFast,
    /// Runs the request and closes the connection without an answer.
    DieBeforeAnswer,
    /// Runs the request and closes the connection in the middle of the answer.
    DieInAnswer,
    /// Starts the request and never answers it.
    Hang,
}

/// A worker's own counts of requests and connections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Number of runs of each request, by request id.
    pub runs: HashMap<String, u32>,
    /// Ids of requests whose connection closed while they ran.
    pub cut_off: Vec<String>,
    /// Number of requests that are running.
    pub running: u32,
    /// Highest number of requests that ran concurrently.
    pub peak_running: u32,
    /// Number of open connections.
    pub connections: u32,
    /// Highest number of connections that were open at once.
    pub peak_connections: u32,
}

impl RunCounts {
    /// Number of requests that ran more than once.
    #[must_use]
    pub fn doubled(&self) -> usize {
        self.runs.values().filter(|&&runs| runs > 1).count()
    }
}

/// Adds up the counts of several workers; each peak is the highest of any single worker.
#[must_use]
pub fn sum_counts(run_counts: impl IntoIterator<Item = RunCounts>) -> RunCounts {
    let mut sum = RunCounts::default();
    for counts in run_counts {
        for (id, runs) in counts.runs {
            *sum.runs.entry(id).or_default() += runs;
        }
        sum.cut_off.extend(counts.cut_off);
        sum.running += counts.running;
        sum.connections += counts.connections;
        sum.peak_running = sum.peak_running.max(counts.peak_running);
        sum.peak_connections = sum.peak_connections.max(counts.peak_connections);
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

/// Controls a running worker.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Address at which the worker listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: tokio::sync::watch::Sender<bool>,
    reboots: tokio::sync::watch::Sender<u64>,
}

impl Handle {
    /// Returns the worker's counts so far.
    #[must_use]
    pub fn run_counts(&self) -> RunCounts {
        lock(&self.shared.run_counts).clone()
    }

    /// Changes how the worker handles new requests.
    pub fn set_mode(&self, mode: Mode) {
        *lock(&self.shared.mode) = mode;
    }

    /// Closes all connections at once, as a reboot does, and keeps accepting new ones.
    pub fn disconnect(&self) {
        self.reboots.send_modify(|count| *count += 1);
    }

    /// Closes the listener and all connections at once.
    pub fn kill(&self) {
        self.stop.send_replace(true);
    }
}

/// Starts a worker that listens on `address`.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn start(address: SocketAddr) -> std::io::Result<Handle> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared::default());
    let (stop, mut stopped) = tokio::sync::watch::channel(false);
    let (reboots, mut rebooted) = tokio::sync::watch::channel(0);
    let server_shared = Arc::clone(&shared);
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => break,
                },
                () = wait_until_true(&mut stopped) => break,
                Ok(()) = rebooted.changed() => {
                    connections.shutdown().await;
                    continue;
                }
                Some(_) = connections.join_next() => continue,
            };
            let _ = stream.set_nodelay(true);
            connections.spawn(serve(TokioIo::new(stream), Arc::clone(&server_shared)));
        }
        connections.shutdown().await;
    });
    Ok(Handle { address, shared, stop, reboots })
}

async fn wait_until_true(flag: &mut tokio::sync::watch::Receiver<bool>) {
    // Dropping the last handle stops the worker too.
    let _ = flag.wait_for(|flag| *flag).await;
}

/// Counts a connection as open until dropped.
struct Connection(Arc<Shared>);

impl Connection {
    fn open(shared: &Arc<Shared>) -> Self {
        let mut counts = lock(&shared.run_counts);
        counts.connections += 1;
        counts.peak_connections = counts.peak_connections.max(counts.connections);
        Self(Arc::clone(shared))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        lock(&self.0.run_counts).connections -= 1;
    }
}

/// Counts a request as running until dropped, and as cut off if it has not finished by then.
struct Run {
    shared: Arc<Shared>,
    id: String,
    finished: bool,
}

impl Run {
    fn start(shared: &Arc<Shared>, id: &str) -> Self {
        let mut counts = lock(&shared.run_counts);
        *counts.runs.entry(id.to_owned()).or_default() += 1;
        counts.running += 1;
        counts.peak_running = counts.peak_running.max(counts.running);
        Self { shared: Arc::clone(shared), id: id.to_owned(), finished: false }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut counts = lock(&self.shared.run_counts);
        counts.running -= 1;
        if !self.finished {
            counts.cut_off.push(self.id.clone());
        }
    }
}

async fn serve(io: TokioIo<tokio::net::TcpStream>, shared: Arc<Shared>) {
    let connection = Connection::open(&shared);
    let service = service_fn(move |req| handle_request(Arc::clone(&shared), req));
    let _ = hyper::server::conn::http1::Builder::new().serve_connection(io, service).await;
    drop(connection);
}

fn numeric_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

async fn handle_request(
    shared: Arc<Shared>,
    req: Request<Incoming>,
) -> Result<Response<http::Body>, std::io::Error> {
    let mode = *lock(&shared.mode);
    let (head, body) = req.into_parts();
    let id = head.headers.get("teaselgap-request").and_then(|value| value.to_str().ok());
    let id = id.unwrap_or("unnamed").to_owned();
    if mode == Mode::FailFast {
        return Ok(http::json_response(StatusCode::INTERNAL_SERVER_ERROR, &"failed by mode"));
    }
    let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
    let mut run = Run::start(&shared, &id);
    if let Some(ms) = numeric_header(&head.headers, "standin-work-ms") {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
    if mode == Mode::Hang {
        std::future::pending::<()>().await;
    }
    let padding = numeric_header(&head.headers, "standin-answer-bytes").unwrap_or(0);
    let mut answer = id.into_bytes();
    answer.push(b'\n');
    answer.extend_from_slice(&body);
    answer.resize(answer.len() + usize::try_from(padding).unwrap_or(0), b'.');
    run.finished = true;
    drop(run);
    match mode {
        Mode::DieBeforeAnswer => Err(std::io::Error::other("died by mode")),
        Mode::DieInAnswer => Ok(truncated_answer(answer)),
        _ => Ok(Response::new(http::full_body(answer))),
    }
}

/// Creates an answer whose `content-length` is the full length but whose body fails after the first
/// half, which closes the connection.
fn truncated_answer(answer: Vec<u8>) -> Response<http::Body> {
    let len = answer.len();
    let half = Bytes::from(answer).slice(..len / 2);
    let frames = futures_util::stream::iter([Ok(Frame::data(half))])
        .chain(futures_util::stream::once(async { Err(std::io::Error::other("died by mode")) }));
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    response.headers_mut().insert("content-length", len.into());
    response
}
