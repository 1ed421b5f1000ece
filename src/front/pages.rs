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
            let status = shared.snapshot.load().status.to_string();
            page(StatusCode::OK, "application/json", status)
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
