//! Request bodies: read into memory up to a limit, streamed if larger.

use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use teaselgap_core::{ByteSize, Timestamp};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use xitca_web::body::{BodyExt, Frame as InFrame, RequestBody};

use crate::{backend::OutgoingBody, clock};

/// Why a request body could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The connection failed, or the body was malformed.
    #[error("the body was cut off or malformed")]
    Broken,
    /// The request's deadline passed first.
    #[error("the body did not arrive before the deadline")]
    Slow,
}

/// A request body that was read up to a limit.
pub(crate) enum BodyStart {
    /// The whole body.
    Whole(Bytes),
    /// A body larger than the limit: the part that was read, and the rest.
    Larger { start: Bytes, rest: RequestBody },
}

/// Reads a body into memory until it ends or exceeds `limit`.
pub(crate) async fn collect(
    mut body: RequestBody,
    limit: ByteSize,
    deadline: Timestamp,
) -> Result<BodyStart, BodyError> {
    let mut start = BytesMut::new();
    loop {
        let next_frame = body.frame();
        let frame = tokio::time::timeout(clock::until(deadline), next_frame).await;
        match frame.map_err(|_| BodyError::Slow)? {
            None => return Ok(BodyStart::Whole(start.freeze())),
            Some(Err(_)) => return Err(BodyError::Broken),
            Some(Ok(InFrame::Data(bytes))) => start.extend_from_slice(&bytes),
            // A body that fits is sent without trailers, which a backend server does not need.
            Some(Ok(InFrame::Trailers(_))) => {}
        }
        if start.len() as u64 > limit.0 {
            return Ok(BodyStart::Larger { start: start.freeze(), rest: body });
        }
    }
}

/// Maximum number of frames that wait to be sent to a backend server while a body is streamed.
const MAX_QUEUED_FRAMES: usize = 4;

/// Makes a body that is sent while the rest of it arrives; it fails once it exceeds `limit`.
pub(super) fn stream(start: Bytes, rest: RequestBody, limit: ByteSize) -> OutgoingBody {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
    // Request bodies of the HTTP server are not `Send`, so a task on this thread reads the rest.
    tokio::task::spawn_local(forward(Box::pin(rest), start.len() as u64, limit, tx));
    let first = futures_util::stream::once(async move { Ok(Frame::data(start)) });
    StreamBody::new(first.chain(ReceiverStream::new(rx))).boxed_unsync()
}

/// Reads the rest of a body and sends its frames to `tx`; `total_bytes` starts as the number of
/// bytes already read.
async fn forward(
    mut rest: Pin<Box<RequestBody>>,
    mut total_bytes: u64,
    limit: ByteSize,
    tx: mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>,
) {
    while let Some(frame) = rest.frame().await {
        let outgoing = match frame {
            Ok(InFrame::Data(bytes)) => {
                total_bytes += bytes.len() as u64;
                Ok(Frame::data(bytes))
            }
            Ok(InFrame::Trailers(trailers)) => Ok(Frame::trailers(trailers)),
            Err(_) => Err(std::io::Error::other("the body could not be read from the caller")),
        };
        let exceeds_limit = total_bytes > limit.0;
        let outgoing = if exceeds_limit {
            Err(std::io::Error::other("the body exceeds the size limit"))
        } else {
            outgoing
        };
        let is_error = outgoing.is_err();
        if tx.send(outgoing).await.is_err() || is_error {
            return;
        }
    }
}
