//! Pages of the node itself: health, readiness, metrics, status.

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
    http::request::Parts,
};
use xitca_web::body::ResponseBody;

use crate::traffic::Shared;

/// The page at this path, if it is one of the node's own.
pub(super) fn answer(shared: &Shared, parts: &Parts) -> Option<Response<ResponseBody>> {
    let page = match parts.uri.path() {
        "/healthz" => page(StatusCode::OK, "text/plain", "alive\n"),
        "/readyz" => ready(shared),
        "/metrics" => page(StatusCode::OK, "text/plain; version=0.0.4", shared.metrics.text()),
        "/-/status" => {
            let mut status = shared.snapshot.load().status.clone();
            // What changes with each request is read now; the rest is as old as the snapshot.
            status["in_flight"] = shared.in_flight().into();
            status["history_waiting_bytes"] = shared.journal.waiting_bytes().into();
            page(StatusCode::OK, "application/json", status.to_string())
        }
        _ => return None,
    };
    Some(page)
}

fn ready(shared: &Shared) -> Response<ResponseBody> {
    if shared.is_draining() {
        return page(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "leaving\n");
    }
    if !shared.snapshot.load().ready {
        return page(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n");
    }
    page(StatusCode::OK, "text/plain", "ready\n")
}

fn page(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::bytes(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
