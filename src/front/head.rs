//! Reads and checks the heads of requests, and builds the heads of those sent to backend servers.

#[cfg(test)]
mod tests;

use hyper::{
    HeaderMap, Request, StatusCode, Uri,
    header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING},
    http::request::Parts,
};
use rand::RngExt;
use teaselgap_core::{CustomerId, RequestId, ServiceId, Timestamp};

use super::answer::Problem;
use crate::{
    backend::OutgoingBody,
    clock,
    settings::Limits,
    traffic::{Snapshot, VmInfo},
};

/// Header field with the id of the request, chosen by the caller.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header field with the id of the request, chosen by the caller or by this node.
pub(super) const REQUEST: &str = "teaselgap-request";
/// Header field with the customer on whose behalf the request is made.
pub(super) const CUSTOMER: &str = "teaselgap-customer";
/// Header field with the deadline, in milliseconds since the Unix epoch.
pub(super) const DEADLINE: &str = "teaselgap-deadline";
/// Header field of an answer that says whether the request ran.
pub(super) const OUTCOME: &str = "teaselgap-outcome";

/// Hop-by-hop header fields, which concern one connection only and are not passed on.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// The parts of a request's head that this node acts on.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) service: ServiceId,
    /// The path without its first segment, which is the service.
    pub(super) path: String,
    pub(super) id: RequestId,
    /// A random number that distinguishes this arrival of the request from any other.
    pub(super) attempt: u64,
    pub(super) customer: CustomerId,
    pub(super) deadline: Timestamp,
}

impl Head {
    /// Reads and checks the head of a request; an error is the answer that refuses it.
    pub(super) fn read(
        parts: &Parts,
        snapshot: &Snapshot,
        limits: &Limits,
    ) -> Result<Self, Problem> {
        let bad_request = |reason| Problem::not_run(StatusCode::BAD_REQUEST, reason, None);
        let id = match single_value(&parts.headers, IDEMPOTENCY_KEY) {
            Ok(Some(key)) => key.parse().map_err(|_| bad_request("idempotency-key-invalid"))?,
            Ok(None) => random_id(),
            Err(()) => return Err(bad_request("idempotency-key-invalid")),
        };
        let bad_request = |reason| Problem::not_run(StatusCode::BAD_REQUEST, reason, Some(&id));
        check_framing(&parts.headers).map_err(bad_request)?;
        let length = single_value(&parts.headers, CONTENT_LENGTH.as_str())
            .map_err(|()| bad_request("length"))?;
        let length: u64 = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        if length > limits.body.0 {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(Problem::not_run(status, "body-too-large", Some(&id)));
        }
        if !snapshot.ready {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Problem::not_run(status, "node-not-ready", Some(&id)));
        }
        let path = parts.uri.path().strip_prefix('/').unwrap_or_default();
        let (service, rest) = path.split_once('/').unwrap_or((path, ""));
        let unknown_service =
            || Problem::not_run(StatusCode::NOT_FOUND, "unknown-service", Some(&id));
        let service: ServiceId = service.parse().map_err(|_| unknown_service())?;
        let service_entry = snapshot.services.get(&service).ok_or_else(unknown_service)?;
        let deadline_rule = &service_entry.declaration.deadline;
        let now = clock::now();
        let deadline = match single_value(&parts.headers, DEADLINE) {
            Ok(None) => now + deadline_rule.default,
            Ok(Some(text)) => {
                let wall_ms = text.parse().map_err(|_| bad_request("deadline-invalid"))?;
                clock::from_wall(wall_ms).min(now + deadline_rule.max)
            }
            Err(()) => return Err(bad_request("deadline-invalid")),
        };
        let customer = match single_value(&parts.headers, CUSTOMER) {
            Ok(Some(customer)) => customer.parse().map_err(|_| bad_request("customer-invalid"))?,
            Ok(None) => "anonymous".parse().map_err(|_| bad_request("customer-invalid"))?,
            Err(()) => return Err(bad_request("customer-invalid")),
        };
        let path = format!("/{rest}");
        let attempt = rand::rng().random();
        Ok(Self { service, path, id, attempt, customer, deadline })
    }
}

/// The value of a header field that may occur once; `Err` if it occurs more often or is not visible
/// ASCII text.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ()> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(());
    }
    first.to_str().map(Some).map_err(|_| ())
}

/// Checks that all parsers agree on where the request ends and which host it is for. A request that
/// they read differently could smuggle another one past this node.
fn check_framing(headers: &HeaderMap) -> Result<(), &'static str> {
    let encodings = headers.get_all(TRANSFER_ENCODING);
    let has_encoding = encodings.iter().next().is_some();
    if has_encoding && headers.contains_key(CONTENT_LENGTH) {
        return Err("both-length-and-encoding");
    }
    let is_chunked_once = encodings.iter().count() == 1
        && encodings.iter().all(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    if has_encoding && !is_chunked_once {
        return Err("unknown-transfer-encoding");
    }
    if headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
        return Err("two-lengths");
    }
    if headers.get_all(HOST).iter().count() != 1 {
        return Err("not-one-host");
    }
    Ok(())
}

/// An id for a request whose caller chose none.
fn random_id() -> RequestId {
    let random: u128 = rand::rng().random();
    format!("{random:032x}").parse().expect("32 hexadecimal digits are a valid request id")
}

/// Removes the hop-by-hop header fields, including those that `Connection` names.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_options {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Header fields in the form in which the journal stores them.
pub(super) fn header_pairs(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
    headers.iter().map(|(name, value)| (name.as_str().to_owned(), text(value))).collect()
}

/// Builds the request that is sent to the backend server on `vm`.
pub(super) fn outgoing_request(
    parts: &Parts,
    head: &Head,
    vm: &VmInfo,
    body: OutgoingBody,
) -> Request<OutgoingBody> {
    let mut req = Request::new(body);
    req.method_mut().clone_from(&parts.method);
    let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    *req.uri_mut() = target.parse().unwrap_or_else(|_| Uri::from_static("/"));
    let mut headers = parts.headers.clone();
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set("host", vm.address.to_string());
    set(REQUEST, head.id.to_string());
    set(IDEMPOTENCY_KEY, head.id.to_string());
    set(CUSTOMER, head.customer.to_string());
    let remaining = head.deadline.since(clock::now());
    set(DEADLINE, (clock::wall_ms() + remaining.0).to_string());
    *req.headers_mut() = headers;
    req
}
