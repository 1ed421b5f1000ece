//! One exchange with a backend server.
//!
//! A connection carries one exchange at a time and is kept only if the exchange finished in order,
//! so nothing of one exchange can reach another.

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
pub(crate) type OutBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// A body that is held in memory.
pub(crate) fn whole_body(bytes: Bytes) -> OutBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// An attempt that brought no answer.
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

/// Longest wait for a connection, in milliseconds; a VM that is gone must not use up a deadline.
const CONNECT_MS: u64 = 1_000;

async fn connect(vm: &VmGate, deadline: Timestamp) -> Result<Connection, AttemptError> {
    let limit = clock::until(deadline).min(std::time::Duration::from_millis(CONNECT_MS));
    let stream = tokio::time::timeout(limit, TcpStream::connect(vm.info.address))
        .await
        .map_err(|_| AttemptError::not_run("no connection in time"))?
        .map_err(AttemptError::not_run)?;
    stream.set_nodelay(true).map_err(AttemptError::not_run)?;
    let (connection, driver) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(AttemptError::not_run)?;
    // The driver ends with the connection; what it reports reaches the exchange as well.
    tokio::spawn(driver);
    Ok(connection)
}

/// Sends a request and waits for the head of the answer.
pub(crate) async fn exchange(
    permit: Permit,
    req: Request<OutBody>,
    deadline: Timestamp,
) -> Result<Response<Answer>, AttemptError> {
    let vm = Arc::clone(&permit.vm);
    let started = Instant::now();
    let result = attempt(&vm, req, deadline).await;
    let took = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    let good = result.as_ref().is_ok_and(|(_, answer)| !answer.status().is_server_error());
    vm.record(good, took, clock::now());
    let (connection, answer) = result?;
    Ok(answer.map(|incoming| Answer {
        source: Source::Incoming(incoming),
        connection: Some(connection),
        permit: Some(permit),
        deadline: Box::pin(tokio::time::sleep(clock::until(deadline))),
        observer: None,
    }))
}

async fn attempt(
    vm: &VmGate,
    mut req: Request<OutBody>,
    deadline: Timestamp,
) -> Result<(Connection, Response<Incoming>), AttemptError> {
    if let Some(mut connection) = vm.checkout() {
        match send(&mut connection, req, deadline).await? {
            Sent::Answered(answer) => return Ok((connection, answer)),
            // The connection had ended before anything was written; another one may do.
            Sent::Unused(unused) => req = unused,
        }
    }
    let mut connection = connect(vm, deadline).await?;
    match send(&mut connection, req, deadline).await? {
        Sent::Answered(answer) => Ok((connection, answer)),
        Sent::Unused(_) => Err(AttemptError::not_run("the connection closed before the request")),
    }
}

enum Sent {
    Answered(Response<Incoming>),
    Unused(Request<OutBody>),
}

async fn send(
    connection: &mut Connection,
    req: Request<OutBody>,
    deadline: Timestamp,
) -> Result<Sent, AttemptError> {
    let exchange = connection.try_send_request(req);
    match tokio::time::timeout(clock::until(deadline), exchange).await {
        Ok(Ok(answer)) => Ok(Sent::Answered(answer)),
        Ok(Err(mut err)) => match err.take_message() {
            Some(req) => Ok(Sent::Unused(req)),
            None => Err(AttemptError::unknown(err.into_error())),
        },
        Err(_) => Err(AttemptError::unknown("no answer before the deadline")),
    }
}

/// Where the body of an answer comes from.
enum Source {
    /// The backend server, as it sends it.
    Incoming(Incoming),
    /// Memory; taken once.
    Read(Option<Bytes>),
}

/// Observes the body of an answer as it passes.
pub(crate) trait AnswerObserver {
    /// A piece of the body.
    fn data(&mut self, bytes: &Bytes);
    /// The body ended: in order, or by breaking off.
    fn end(&mut self, in_order: bool);
}

/// The body of an answer, which holds on to its slot and connection until it ends.
pub(crate) struct Answer {
    source: Source,
    connection: Option<Connection>,
    permit: Option<Permit>,
    deadline: Pin<Box<tokio::time::Sleep>>,
    observer: Option<Box<dyn AnswerObserver>>,
}

impl Answer {
    /// Has an observer see the body as it passes.
    pub(crate) fn with_observer(mut self, observer: Box<dyn AnswerObserver>) -> Self {
        self.observer = Some(observer);
        self
    }

    /// Reads the body into memory if its length is known and small, which frees the slot.
    pub(crate) async fn read_if_small(
        answer: Response<Self>,
        bound: ByteSize,
    ) -> Result<Response<Self>, AttemptError> {
        let (parts, mut body) = answer.into_parts();
        let length = match body.size_hint() {
            SizeHint::Exact(length) if length <= bound.0 => length,
            _ => return Ok(Response::from_parts(parts, body)),
        };
        let mut bytes = BytesMut::with_capacity(usize::try_from(length).unwrap_or(0));
        while let Some(frame) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
            if let AnswerFrame::Data(data) = frame? {
                bytes.extend_from_slice(&data);
            }
        }
        body.source = Source::Read(Some(bytes.freeze()).filter(|bytes| !bytes.is_empty()));
        Ok(Response::from_parts(parts, body))
    }

    fn is_read(&self) -> bool {
        match &self.source {
            Source::Incoming(incoming) => incoming.is_end_stream(),
            Source::Read(bytes) => bytes.is_none(),
        }
    }

    /// The answer ended; an exchange out of order takes its connection with it.
    fn finish(&mut self, in_order: bool) {
        if let Some(permit) = self.permit.take() {
            let connection = self.connection.take();
            if let Some(connection) = connection.filter(|_| in_order) {
                permit.vm.check_in(connection);
            }
        }
        if let Some(mut observer) = self.observer.take() {
            observer.end(in_order);
        }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        let in_order = self.is_read();
        self.finish(in_order);
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
            Source::Read(bytes) => {
                let Some(bytes) = bytes.take() else {
                    this.finish(true);
                    return Poll::Ready(None);
                };
                return Poll::Ready(Some(Ok(this.pass(Frame::data(bytes)))));
            }
        };
        let frame = match Pin::new(incoming).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                if this.deadline.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                this.finish(false);
                return Poll::Ready(Some(Err(AttemptError::unknown("the deadline passed"))));
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
            Some(Ok(frame)) => Some(Ok(this.pass(frame))),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.is_read()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Incoming(incoming) => {
                incoming.size_hint().exact().map_or(SizeHint::Unknown, SizeHint::Exact)
            }
            Source::Read(bytes) => SizeHint::Exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
        }
    }
}

impl Answer {
    fn pass(&mut self, frame: Frame<Bytes>) -> AnswerFrame<Bytes> {
        match frame.into_data() {
            Ok(bytes) => {
                if let Some(observer) = &mut self.observer {
                    observer.data(&bytes);
                }
                AnswerFrame::Data(bytes)
            }
            Err(frame) => AnswerFrame::Trailers(frame.into_trailers().unwrap_or_default()),
        }
    }
}
