//! A small HTTP server for the stand-ins' own pages.

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, task::JoinHandle};

/// A body of any shape.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// A whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// A JSON answer.
///
/// # Panics
///
/// Never: the head is a constant.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full(body))
        .expect("a constant head")
}

/// Serves HTTP/1.1 on a loopback port that the system picks, until the task is aborted.
///
/// # Errors
///
/// If no port can be opened.
pub async fn serve<F, Fut>(
    address: SocketAddr,
    handler: F,
) -> std::io::Result<(SocketAddr, JoinHandle<()>)>
where
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    let task = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = Arc::clone(&handler);
            let service = service_fn(move |req| {
                let answer = handler(req);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            tokio::spawn(async move {
                let io = TokioIo::new(stream);
                // An error here is a client that went away, which is its own affair.
                let _ =
                    hyper::server::conn::http1::Builder::new().serve_connection(io, service).await;
            });
        }
    });
    Ok((address, task))
}

/// Sends one request and reads the whole answer.
///
/// # Errors
///
/// If the connection or the exchange fails.
pub async fn fetch(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, std::io::Error> {
    let stream = tokio::net::TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(broken)?;
    let driver = tokio::spawn(connection);
    let answer = async {
        let answer = sender.send_request(req).await.map_err(broken)?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.map_err(broken)?.to_bytes();
        Ok(Response::from_parts(head, body))
    };
    let answer = answer.await;
    driver.abort();
    answer
}

fn broken(err: hyper::Error) -> std::io::Error {
    std::io::Error::other(err)
}
