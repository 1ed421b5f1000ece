//! Heads of requests: what a caller must, may and must not say.

use hyper::{
    HeaderMap, Request, StatusCode, Uri,
    header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING},
    http::request::Parts,
};
use rand::RngExt;
use teaselgap_core::{CustomerId, RequestId, ServiceId, Timestamp};

use super::answer::Problem;
use crate::{
    backend::OutBody,
    clock,
    settings::Limits,
    traffic::{Snapshot, VmInfo},
};

pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
pub(super) const REQUEST: &str = "teaselgap-request";
pub(super) const CUSTOMER: &str = "teaselgap-customer";
pub(super) const DEADLINE: &str = "teaselgap-deadline";
pub(super) const OUTCOME: &str = "teaselgap-outcome";

/// Heads of one hop, which are not passed on.
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

/// What the system reads from a request's head.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) service: ServiceId,
    /// Path below the service.
    pub(super) path: String,
    pub(super) id: RequestId,
    /// Tells this arrival of the request from any other.
    pub(super) attempt: u64,
    pub(super) customer: CustomerId,
    pub(super) deadline: Timestamp,
}

impl Head {
    pub(super) fn read(
        parts: &Parts,
        snapshot: &Snapshot,
        limits: &Limits,
    ) -> Result<Self, Problem> {
        let bad = |reason| Problem::not_run(StatusCode::BAD_REQUEST, reason, None);
        let id = match text(&parts.headers, IDEMPOTENCY_KEY) {
            Ok(Some(key)) => key.parse().map_err(|_| bad("idempotency-key-invalid"))?,
            Ok(None) => new_id(),
            Err(()) => return Err(bad("idempotency-key-invalid")),
        };
        let bad = |reason| Problem::not_run(StatusCode::BAD_REQUEST, reason, Some(&id));
        check_framing(&parts.headers).map_err(bad)?;
        let length = text(&parts.headers, CONTENT_LENGTH.as_str()).map_err(|()| bad("length"))?;
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
        let not_found = || Problem::not_run(StatusCode::NOT_FOUND, "unknown-service", Some(&id));
        let service: ServiceId = service.parse().map_err(|_| not_found())?;
        let declaration = snapshot.services.get(&service).ok_or_else(not_found)?;
        let limits = &declaration.declaration.deadline;
        let now = clock::now();
        let deadline = match text(&parts.headers, DEADLINE) {
            Ok(None) => now + limits.default,
            Ok(Some(text)) => {
                let wall = text.parse().map_err(|_| bad("deadline-invalid"))?;
                clock::from_wall(wall).min(now + limits.max)
            }
            Err(()) => return Err(bad("deadline-invalid")),
        };
        let customer = match text(&parts.headers, CUSTOMER) {
            Ok(Some(customer)) => customer.parse().map_err(|_| bad("customer-invalid"))?,
            Ok(None) => "anonymous".parse().map_err(|_| bad("customer-invalid"))?,
            Err(()) => return Err(bad("customer-invalid")),
        };
        let path = format!("/{rest}");
        let attempt = rand::rng().random();
        Ok(Self { service, path, id, attempt, customer, deadline })
    }
}

/// The one value of a head field; `Err` if it stands twice or is not text.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ()> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(());
    }
    first.to_str().map(Some).map_err(|_| ())
}

/// Refuses what two parsers could read differently.
fn check_framing(headers: &HeaderMap) -> Result<(), &'static str> {
    let encodings = headers.get_all(TRANSFER_ENCODING);
    let encoded = encodings.iter().next().is_some();
    if encoded && headers.contains_key(CONTENT_LENGTH) {
        return Err("both-length-and-encoding");
    }
    let chunked_once = encodings.iter().count() == 1
        && encodings.iter().all(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    if encoded && !chunked_once {
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

fn new_id() -> RequestId {
    let random: u128 = rand::rng().random();
    format!("{random:032x}").parse().expect("hexadecimal digits make a name")
}

/// Removes the head fields that concern one hop only.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Head fields as the journal keeps them.
pub(super) fn header_pairs(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
    headers.iter().map(|(name, value)| (name.as_str().to_owned(), text(value))).collect()
}

/// The request as the backend server sees it.
pub(super) fn outgoing_request(
    parts: &Parts,
    head: &Head,
    vm: &VmInfo,
    body: OutBody,
) -> Request<OutBody> {
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
    let left = head.deadline.since(clock::now());
    set(DEADLINE, (clock::wall_ms() + left.0).to_string());
    *req.headers_mut() = headers;
    req
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
        let pairs = pairs.iter().map(|(name, value)| {
            (name.parse::<HeaderName>().unwrap(), value.parse::<HeaderValue>().unwrap())
        });
        let mut headers = HeaderMap::new();
        pairs.for_each(|(name, value)| {
            headers.append(name, value);
        });
        headers
    }

    #[test]
    fn heads_that_two_parsers_could_read_differently_are_refused() {
        let cases: [&[(&str, &str)]; 5] = [
            &[("host", "a"), ("content-length", "1"), ("transfer-encoding", "chunked")],
            &[("host", "a"), ("transfer-encoding", "gzip, chunked")],
            &[("host", "a"), ("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")],
            &[("host", "a"), ("content-length", "1"), ("content-length", "1")],
            &[("host", "a"), ("host", "b")],
        ];

        for case in cases {
            assert!(check_framing(&headers(case)).is_err(), "{case:?}");
        }
        assert_eq!(check_framing(&headers(&[("host", "a"), ("content-length", "1")])), Ok(()));
    }

    #[test]
    fn what_connection_names_is_not_passed_on() {
        let mut headers =
            headers(&[("connection", "x-secret, close"), ("x-secret", "1"), ("a", "b")]);

        strip_hop_by_hop(&mut headers);

        assert_eq!(headers.len(), 1);
    }

    proptest! {
        #[test]
        fn no_head_field_of_one_hop_survives(
            names in prop::collection::vec(prop::sample::select(HOP_BY_HOP.to_vec()), 0..6),
            value in "[ -~]{0,20}",
        ) {
            let mut headers = HeaderMap::new();
            for name in names {
                headers.append(name.parse::<HeaderName>().unwrap(), value.parse().unwrap());
            }
            strip_hop_by_hop(&mut headers);
            for name in HOP_BY_HOP {
                prop_assert!(!headers.contains_key(name));
            }
        }
    }
}
