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
fn ambiguous_framing_is_refused() {
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
fn header_fields_named_by_connection_are_removed() {
    let mut headers = headers(&[("connection", "x-secret, close"), ("x-secret", "1"), ("a", "b")]);

    strip_hop_by_hop(&mut headers);

    assert_eq!(headers.len(), 1);
}

proptest! {
    #[test]
    fn hop_by_hop_header_fields_are_removed(
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
