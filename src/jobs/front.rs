//! The HTTP interface for client accounts, and the readiness check for the balancer.

use std::sync::Arc;

use hyper::{
    Method, Request, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER},
    http::request::Parts,
};
use slog::{Logger, info};
use teaselgap_core::{Span, job::JobId};
use teaselgap_platform::{
    config::{Config, Route},
    ingress,
};
use tokio::sync::{mpsc, oneshot};
use xitca_web::{
    body::{RequestBody, ResponseBody},
    http::RequestExt,
};

use super::{
    ask::{CellRequest, Operation, PendingRequest, Reply},
    peer::{BUSY_RETRY_AFTER, NodeRequest},
};
use crate::{
    clock,
    front::body::{self, BodyError, BodyStart},
    metrics::Metrics,
};

/// The time allowed for a request that states none.
const DEFAULT_TIMEOUT: Span = Span(3_000);

/// How long a client should wait before it retries while the node has no configuration yet.
const NO_CONFIG_RETRY_AFTER: Span = Span(1_000);

/// The state that the traffic thread shares with the control thread.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) config: arc_swap::ArcSwapOption<Config>,
    pub(crate) draining: std::sync::atomic::AtomicBool,
    pub(crate) in_flight: std::sync::atomic::AtomicUsize,
    pub(crate) requests: mpsc::Sender<NodeRequest>,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
}

use std::sync::atomic::Ordering::Relaxed;

/// A request as the HTTP library passes it to the handler.
pub(crate) type HttpRequest = Request<RequestExt<RequestBody>>;

/// Counts a request as in flight until dropped.
struct InFlightGuard<'a>(&'a SharedState);

impl<'a> InFlightGuard<'a> {
    fn new(shared: &'a SharedState) -> Self {
        shared.in_flight.fetch_add(1, Relaxed);
        Self(shared)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Relaxed);
    }
}

/// Answers an HTTP request of a client account, the balancer or a metrics collector.
pub(crate) async fn handle(shared: Arc<SharedState>, req: HttpRequest) -> Response<ResponseBody> {
    let (parts, ext) = req.into_parts();
    let (_, body) = ext.replace_body(());
    match parts.uri.path() {
        ingress::READY_PATH => return readiness_response(&shared),
        "/metrics" => {
            return content_response(StatusCode::OK, "text/plain", shared.metrics.encode());
        }
        _ => {}
    }
    let _in_flight = InFlightGuard::new(&shared);
    let mut response = serve(&shared, &parts, body).await;
    if shared.draining.load(Relaxed) {
        // Closing the connection makes the client's next request go to another node.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn readiness_response(shared: &SharedState) -> Response<ResponseBody> {
    let is_ready = shared.config.load().is_some() && !shared.draining.load(Relaxed);
    no_body(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

fn no_body(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::empty());
    *response.status_mut() = status;
    response
}

fn content_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::bytes(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn refusal_response(status: StatusCode, retry_after: Span) -> Response<ResponseBody> {
    let mut response = no_body(status);
    let seconds = retry_after.0.div_ceil(1_000).max(1);
    if let Ok(seconds) = HeaderValue::from_str(&seconds.to_string()) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Finds the route for the request's host with the longest matching path prefix. Returns it and the
/// path after the prefix.
fn find_route<'a>(config: &'a Config, parts: &'a Parts) -> Option<(&'a Route, &'a str)> {
    let host = parts.headers.get(HOST)?.to_str().ok()?;
    let path = parts.uri.path();
    config
        .routes
        .iter()
        .filter(|route| route.host == host)
        .filter_map(|route| Some((route, path.strip_prefix(&*route.prefix)?)))
        .max_by_key(|(route, _)| route.prefix.len())
}

async fn serve(shared: &SharedState, parts: &Parts, body: RequestBody) -> Response<ResponseBody> {
    let Some(config) = shared.config.load_full() else {
        return refusal_response(StatusCode::SERVICE_UNAVAILABLE, NO_CONFIG_RETRY_AFTER);
    };
    let Some((route, rest)) = find_route(&config, parts) else {
        return no_body(StatusCode::NOT_FOUND);
    };
    let Some(queue) = config.queues.get(&route.queue) else {
        return no_body(StatusCode::NOT_FOUND);
    };
    let timeout = parts
        .headers
        .get(ingress::DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(DEFAULT_TIMEOUT, Span);
    let received_at = clock::now();
    let deadline = received_at + timeout;
    let (job, operation) = match parse_operation(&config, parts, rest, body, deadline).await {
        Ok(parsed) => parsed,
        Err(response) => {
            info!(shared.log, "bad request"; "queue" => %route.queue, "path" => parts.uri.path(),
                "status" => response.status().as_u16(), "version" => config.version);
            return response;
        }
    };
    let operation_label = match operation {
        Operation::Submit(_) => "submit",
        Operation::State => "state",
        Operation::Cancel => "cancel",
        Operation::Pending => "pending",
    };
    let request =
        CellRequest { cell: queue.service.clone(), queue: route.queue.clone(), job, operation };
    let (reply, reply_rx) = oneshot::channel();
    let pending = PendingRequest { request, from_peer: false, deadline, reply };
    let reply = if shared.requests.try_send(NodeRequest::Cell(pending)).is_ok() {
        reply_rx.await.unwrap_or(Reply::Uncertain)
    } else {
        info!(shared.log, "refused"; "job" => %job, "queue" => %route.queue,
            "reason" => "too many requests wait at this node",
            "retry_after_ms" => BUSY_RETRY_AFTER.0);
        Reply::Refused { retry_after: BUSY_RETRY_AFTER }
    };
    let response = reply_response(reply);
    let elapsed = clock::now().since(received_at);
    shared.metrics.record_request(
        operation_label,
        status_class(response.status()),
        elapsed.to_std().as_secs_f64(),
    );
    if operation_label != "state" || !response.status().is_success() {
        info!(shared.log, "answered"; "job" => %job, "queue" => %route.queue,
            "request" => operation_label, "status" => response.status().as_u16(),
            "took_ms" => elapsed.0, "patience_ms" => timeout.0, "config_version" => config.version);
    }
    response
}

fn status_class(status: StatusCode) -> &'static str {
    match status.as_u16() {
        200..=299 => "ok",
        410 => "unknown",
        429 | 503 => "refused",
        _ => "failed",
    }
}

/// Parses the job and the operation of a request. Returns the response to an invalid request as
/// error.
async fn parse_operation(
    config: &Config,
    parts: &Parts,
    rest: &str,
    body: RequestBody,
    deadline: teaselgap_core::Timestamp,
) -> Result<(JobId, Operation), Response<ResponseBody>> {
    if rest.is_empty() && parts.method == Method::GET {
        return Ok((JobId(0), Operation::Pending));
    }
    let Ok(job) = rest.parse::<JobId>() else {
        // No job has an invalid id: a query or cancellation is answered as for an unknown job.
        let is_query = matches!(parts.method, Method::GET | Method::DELETE);
        return Err(no_body(if is_query { StatusCode::GONE } else { StatusCode::BAD_REQUEST }));
    };
    match parts.method {
        Method::GET => Ok((job, Operation::State)),
        Method::DELETE => Ok((job, Operation::Cancel)),
        Method::POST => {
            let limit = teaselgap_core::ByteSize(config.max_body_bytes as u64);
            let body = match body::collect(body, limit, deadline).await {
                Ok(BodyStart::Whole(body)) => body,
                Ok(BodyStart::Larger { .. }) => return Err(no_body(StatusCode::PAYLOAD_TOO_LARGE)),
                Err(BodyError::Broken) => return Err(no_body(StatusCode::BAD_REQUEST)),
                Err(BodyError::Slow) => return Err(no_body(StatusCode::REQUEST_TIMEOUT)),
            };
            let spec = ingress::parse_job(&body).map_err(|err| {
                content_response(StatusCode::BAD_REQUEST, "text/plain", format!("{err}\n"))
            })?;
            Ok((job, Operation::Submit(spec)))
        }
        _ => Err(no_body(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

fn reply_response(reply: Reply) -> Response<ResponseBody> {
    const JSON: &str = "application/json";
    match reply {
        Reply::Durable => no_body(StatusCode::OK),
        Reply::Refused { retry_after } | Reply::Closed { retry_after, .. } => {
            refusal_response(StatusCode::SERVICE_UNAVAILABLE, retry_after)
        }
        Reply::State(state) => content_response(StatusCode::OK, JSON, ingress::state_body(state)),
        Reply::Pending(pending) => {
            content_response(StatusCode::OK, JSON, ingress::pending_body(pending))
        }
        Reply::UnknownJob => no_body(StatusCode::GONE),
        // The request may or may not have taken effect; the client may send it again with the same
        // id.
        Reply::NotOwner | Reply::Busy | Reply::Uncertain => no_body(StatusCode::GATEWAY_TIMEOUT),
    }
}
