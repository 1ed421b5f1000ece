//! The node's own pages: health, readiness, metrics and status.

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
    http::request::Parts,
};
use xitca_web::body::ResponseBody;

use crate::traffic::TrafficState;

/// The page at the request's path; `None` if the path is not one of the node's own.
pub(super) fn answer(shared: &TrafficState, parts: &Parts) -> Option<Response<ResponseBody>> {
    let page = match parts.uri.path() {
        "/healthz" => page(StatusCode::OK, "text/plain", "alive\n"),
        "/readyz" => readiness(shared),
        "/metrics" => page(StatusCode::OK, "text/plain; version=0.0.4", shared.metrics.encode()),
        "/-/status" => {
            let mut status = shared.snapshot.load().status.clone();
            // Values that change with each request are read now; the others come from the snapshot.
            status["in_flight"] = shared.in_flight().into();
            status["history_waiting_bytes"] = shared.journal.waiting_bytes().into();
            page(StatusCode::OK, "application/json", status.to_string())
        }
        _ => return None,
    };
    Some(page)
}

/// Whether a load balancer may send requests to this node.
fn readiness(shared: &TrafficState) -> Response<ResponseBody> {
    if shared.is_draining() {
        return page(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "leaving\n");
    }
    if !shared.snapshot.load().ready {
        return page(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n");
    }
    page(StatusCode::OK, "text/plain", "ready\n")
}

fn page(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::bytes(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
