//! A small HTTP/1.1 server and client for this crate.

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, task::JoinHandle};

/// A boxed response body, complete or streamed.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// Creates a body from bytes that are all in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// Creates a JSON response. Its body is empty if `value` can't be serialised.
///
/// # Panics
///
/// Never: the only header is a valid constant.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full_body(body))
        .expect("the header is valid")
}

/// Serves HTTP/1.1 on `address` and returns the bound address and the server's task.
///
/// If `address` has port 0, the operating system chooses a port. Aborting the task closes the
/// listener; open connections stay open.
///
/// # Errors
///
/// If the address can't be bound.
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
                // Clients may close a connection at any time, so an error here is not a failure.
                let _ =
                    hyper::server::conn::http1::Builder::new().serve_connection(io, service).await;
            });
        }
    });
    Ok((address, task))
}

/// Sends one request over a new connection and reads the complete response.
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
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(to_io_error)?;
    let driver = tokio::spawn(connection);
    let answer = async {
        let answer = sender.send_request(req).await.map_err(to_io_error)?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.map_err(to_io_error)?.to_bytes();
        Ok(Response::from_parts(head, body))
    };
    let answer = answer.await;
    driver.abort();
    answer
}

fn to_io_error(err: hyper::Error) -> std::io::Error {
    std::io::Error::other(err)
}
