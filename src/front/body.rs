//! Bodies of requests: held in memory up to a bound, streamed beyond it.

use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use teaselgap_core::{ByteSize, Timestamp};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use xitca_web::body::{BodyExt, Frame as InFrame, RequestBody};

use crate::{backend::OutBody, clock};

/// A body that could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("the body broke off")]
    Broken,
    #[error("the body did not arrive before the deadline")]
    Slow,
}

/// The start of a body.
pub(crate) enum BodyStart {
    /// All of it.
    Whole(Bytes),
    /// More than the bound.
    Larger { start: Bytes, rest: RequestBody },
}

/// Reads a body up to a bound.
pub(crate) async fn collect(
    mut body: RequestBody,
    bound: ByteSize,
    deadline: Timestamp,
) -> Result<BodyStart, BodyError> {
    let mut start = BytesMut::new();
    loop {
        let next = body.frame();
        let frame = tokio::time::timeout(clock::until(deadline), next).await;
        match frame.map_err(|_| BodyError::Slow)? {
            None => return Ok(BodyStart::Whole(start.freeze())),
            Some(Err(_)) => return Err(BodyError::Broken),
            Some(Ok(InFrame::Data(bytes))) => start.extend_from_slice(&bytes),
            // Trailers of a request that fits are of no use to a backend server.
            Some(Ok(InFrame::Trailers(_))) => {}
        }
        if start.len() as u64 > bound.0 {
            return Ok(BodyStart::Larger { start: start.freeze(), rest: body });
        }
    }
}

/// Pieces that may wait between a caller and a backend server.
const PIECES: usize = 4;

/// Passes a body on as it arrives; beyond the limit it breaks off.
pub(super) fn stream(start: Bytes, rest: RequestBody, limit: ByteSize) -> OutBody {
    let (tx, rx) = mpsc::channel(PIECES);
    // The library's bodies stay on their thread, so a local task reads them.
    tokio::task::spawn_local(pass(Box::pin(rest), start.len() as u64, limit, tx));
    let first = futures_util::stream::once(async move { Ok(Frame::data(start)) });
    StreamBody::new(first.chain(ReceiverStream::new(rx))).boxed_unsync()
}

async fn pass(
    mut rest: Pin<Box<RequestBody>>,
    mut passed: u64,
    limit: ByteSize,
    tx: mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>,
) {
    while let Some(frame) = rest.frame().await {
        let piece = match frame {
            Ok(InFrame::Data(bytes)) => {
                passed += bytes.len() as u64;
                Ok(Frame::data(bytes))
            }
            Ok(InFrame::Trailers(trailers)) => Ok(Frame::trailers(trailers)),
            Err(_) => Err(std::io::Error::other("the caller's body broke off")),
        };
        let over = passed > limit.0;
        let piece = if over { Err(std::io::Error::other("the body is too large")) } else { piece };
        let broken = piece.is_err();
        if tx.send(piece).await.is_err() || broken {
            return;
        }
    }
}
