//! Sends a request to a backend server and passes its answer on.
//!
//! A connection carries one exchange at a time and is reused only if the answer was read to its
//! end, so no bytes of one exchange can end up in another.

use std::{
    convert::Infallible,
    fmt,
    future::poll_fn,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Instant,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response,
    body::{Body as _, Frame, Incoming},
};
use hyper_util::rt::TokioIo;
use teaselgap_core::{ByteSize, Timestamp, retry::Failure};
use tokio::net::TcpStream;
use xitca_web::body::{Body, Frame as AnswerFrame, SizeHint};

use crate::{
    clock,
    traffic::{Connection, Permit, VmGate},
};

/// The body of a request to a backend server.
pub(crate) type OutgoingBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Makes a request body from bytes in memory.
pub(crate) fn buffered_body(bytes: Bytes) -> OutgoingBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Why an attempt got no answer, or only a part of one.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub(crate) struct AttemptError {
    /// Whether the backend server may have run the request.
    pub(crate) failure: Failure,
    pub(crate) reason: String,
}

impl AttemptError {
    fn not_run(reason: impl fmt::Display) -> Self {
        Self { failure: Failure::NotRun, reason: reason.to_string() }
    }

    fn unknown(reason: impl fmt::Display) -> Self {
        Self { failure: Failure::Unknown, reason: reason.to_string() }
    }
}

/// Timeout for opening a connection, in milliseconds. It leaves time for a retry before the
/// deadline if a VM is gone.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

async fn connect(vm: &VmGate, deadline: Timestamp) -> Result<Connection, AttemptError> {
    let limit = clock::until(deadline).min(std::time::Duration::from_millis(CONNECT_TIMEOUT_MS));
    let stream = tokio::time::timeout(limit, TcpStream::connect(vm.info.address))
        .await
        .map_err(|_| AttemptError::not_run("connecting timed out"))?
        .map_err(AttemptError::not_run)?;
    stream.set_nodelay(true).map_err(AttemptError::not_run)?;
    let (connection, driver) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(AttemptError::not_run)?;
    // The driver ends with the connection. Its errors also reach the exchange, so they are dropped
    // here.
    tokio::spawn(driver);
    Ok(connection)
}

/// Sends a request to the permit's VM, waits for the head of the answer and records whether the
/// attempt succeeded. The answer holds the permit until its body ends.
pub(crate) async fn exchange(
    permit: Permit,
    req: Request<OutgoingBody>,
    deadline: Timestamp,
) -> Result<Response<Answer>, AttemptError> {
    let vm = Arc::clone(&permit.vm);
    let started = Instant::now();
    let result = send_request(&vm, req, deadline).await;
    let took_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    let succeeded = result.as_ref().is_ok_and(|(_, answer)| !answer.status().is_server_error());
    vm.record_attempt(succeeded, took_us, clock::now());
    let (connection, answer) = result?;
    Ok(answer.map(|incoming| Answer {
        source: Source::Incoming(incoming),
        connection: Some(connection),
        permit: Some(permit),
        deadline: Box::pin(tokio::time::sleep(clock::until(deadline))),
        observer: None,
    }))
}

/// Sends a request on an idle connection, or on a new one if there is none or it has closed.
async fn send_request(
    vm: &VmGate,
    mut req: Request<OutgoingBody>,
    deadline: Timestamp,
) -> Result<(Connection, Response<Incoming>), AttemptError> {
    if let Some(mut connection) = vm.checkout() {
        match try_send(&mut connection, req, deadline).await? {
            SendOutcome::Answered(answer) => return Ok((connection, answer)),
            // The connection closed before anything was written, so it is safe to use a new one.
            SendOutcome::NotSent(unsent) => req = unsent,
        }
    }
    let mut connection = connect(vm, deadline).await?;
    match try_send(&mut connection, req, deadline).await? {
        SendOutcome::Answered(answer) => Ok((connection, answer)),
        SendOutcome::NotSent(_) => {
            Err(AttemptError::not_run("the connection closed before the request was sent"))
        }
    }
}

/// What happened to a request that was given to a connection.
enum SendOutcome {
    /// The head of the answer arrived.
    Answered(Response<Incoming>),
    /// The connection closed before anything was written; the request comes back.
    NotSent(Request<OutgoingBody>),
}

async fn try_send(
    connection: &mut Connection,
    req: Request<OutgoingBody>,
    deadline: Timestamp,
) -> Result<SendOutcome, AttemptError> {
    let exchange = connection.try_send_request(req);
    match tokio::time::timeout(clock::until(deadline), exchange).await {
        Ok(Ok(answer)) => Ok(SendOutcome::Answered(answer)),
        Ok(Err(mut err)) => match err.take_message() {
            Some(req) => Ok(SendOutcome::NotSent(req)),
            None => Err(AttemptError::unknown(err.into_error())),
        },
        Err(_) => Err(AttemptError::unknown("no answer before the deadline")),
    }
}

/// Where the body of an answer comes from.
enum Source {
    /// The backend server, as the body arrives.
    Incoming(Incoming),
    /// Memory; `None` once the body was passed on.
    Buffered(Option<Bytes>),
}

/// Observes the body of an answer while it is passed on.
pub(crate) trait AnswerObserver {
    /// Called with each data frame of the body.
    fn on_data(&mut self, bytes: &Bytes);
    /// Called once when the body ends; `is_complete` is false if it was cut off.
    fn on_end(&mut self, is_complete: bool);
}

/// The body of an answer; it holds its slot and its connection until it ends.
pub(crate) struct Answer {
    source: Source,
    connection: Option<Connection>,
    permit: Option<Permit>,
    deadline: Pin<Box<tokio::time::Sleep>>,
    observer: Option<Box<dyn AnswerObserver>>,
}

impl Answer {
    /// Adds an observer of the body.
    pub(crate) fn with_observer(mut self, observer: Box<dyn AnswerObserver>) -> Self {
        self.observer = Some(observer);
        self
    }

    /// Reads the body into memory if its length is known and at most `limit`; this releases the
    /// slot.
    pub(crate) async fn read_if_small(
        answer: Response<Self>,
        limit: ByteSize,
    ) -> Result<Response<Self>, AttemptError> {
        let (parts, mut body) = answer.into_parts();
        let length = match body.size_hint() {
            SizeHint::Exact(length) if length <= limit.0 => length,
            _ => return Ok(Response::from_parts(parts, body)),
        };
        let mut bytes = BytesMut::with_capacity(usize::try_from(length).unwrap_or(0));
        while let Some(frame) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
            if let AnswerFrame::Data(data) = frame? {
                bytes.extend_from_slice(&data);
            }
        }
        body.source = Source::Buffered(Some(bytes.freeze()).filter(|bytes| !bytes.is_empty()));
        Ok(Response::from_parts(parts, body))
    }

    /// Whether the whole body was passed on.
    fn is_at_end(&self) -> bool {
        match &self.source {
            Source::Incoming(incoming) => incoming.is_end_stream(),
            Source::Buffered(bytes) => bytes.is_none(),
        }
    }

    /// Releases the slot and the connection and tells the observer that the body ended; a second
    /// call does nothing. The connection is kept for reuse only if the body is complete.
    fn finish(&mut self, is_complete: bool) {
        if let Some(permit) = self.permit.take() {
            let connection = self.connection.take();
            if let Some(connection) = connection.filter(|_| is_complete) {
                permit.vm.check_in(connection);
            }
        }
        if let Some(mut observer) = self.observer.take() {
            observer.on_end(is_complete);
        }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        let is_complete = self.is_at_end();
        self.finish(is_complete);
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = AttemptError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<AnswerFrame<Bytes>, AttemptError>>> {
        let this = &mut *self;
        let incoming = match &mut this.source {
            Source::Incoming(incoming) => incoming,
            Source::Buffered(bytes) => {
                let Some(bytes) = bytes.take() else {
                    this.finish(true);
                    return Poll::Ready(None);
                };
                return Poll::Ready(Some(Ok(this.observe_frame(Frame::data(bytes)))));
            }
        };
        let frame = match Pin::new(incoming).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                if this.deadline.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                this.finish(false);
                return Poll::Ready(Some(Err(AttemptError::unknown(
                    "the deadline passed before the answer was complete",
                ))));
            }
        };
        Poll::Ready(match frame {
            None => {
                this.finish(true);
                None
            }
            Some(Err(err)) => {
                this.finish(false);
                Some(Err(AttemptError::unknown(err)))
            }
            Some(Ok(frame)) => Some(Ok(this.observe_frame(frame))),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.is_at_end()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Incoming(incoming) => {
                incoming.size_hint().exact().map_or(SizeHint::Unknown, SizeHint::Exact)
            }
            Source::Buffered(bytes) => SizeHint::Exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
        }
    }
}

impl Answer {
    /// Shows a data frame to the observer and converts any frame to the type of the HTTP server.
    fn observe_frame(&mut self, frame: Frame<Bytes>) -> AnswerFrame<Bytes> {
        match frame.into_data() {
            Ok(bytes) => {
                if let Some(observer) = &mut self.observer {
                    observer.on_data(&bytes);
                }
                AnswerFrame::Data(bytes)
            }
            Err(frame) => AnswerFrame::Trailers(frame.into_trailers().unwrap_or_default()),
        }
    }
}
