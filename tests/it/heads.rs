//! Tests with oversized requests and with malformed heads, some of which could be used for request
//! smuggling: the node refuses them with a 4xx status and keeps serving.

use std::net::SocketAddr;

use teaselgap_standins::caller::{CallResult, call};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::{config, preview, run_test, start_cluster};

/// Sends raw bytes to a node and returns everything that it answers.
async fn send_raw(entry: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry).await.expect("connect to the node");
    // The node may close the connection before it has read everything.
    let _ = stream.write_all(text).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Status code of a raw HTTP answer, or 0 if it has none.
fn parse_status(answer: &str) -> u16 {
    answer.split_whitespace().nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

#[test]
fn malformed_or_ambiguous_heads_are_refused_and_the_node_keeps_serving() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        let entry = cluster.nodes[0].address;
        let oversized =
            format!("GET /previews/x HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(200_000));
        let cases: Vec<(&str, Vec<u8>)> = vec![
            ("content-length and transfer-encoding", b"POST /previews/x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_vec()),
            ("two content-length headers", b"POST /previews/x HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab".to_vec()),
            ("unknown transfer-encoding", b"POST /previews/x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n".to_vec()),
            ("no host header", b"GET /previews/x HTTP/1.1\r\n\r\n".to_vec()),
            ("not HTTP", b"\x00\x01\x02garbage\r\n\r\n".to_vec()),
            ("oversized head", oversized.into_bytes()),
            ("content-length not a number", b"POST /previews/x HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n".to_vec()),
        ];

        for (name, text) in cases {
            let answer = send_raw(entry, &text).await;
            let code = parse_status(&answer);
            assert!((400..500).contains(&code), "{name}: {answer:?}");
        }

        let (result, _) = call(entry, &preview("after")).await;
        assert_eq!(result, CallResult::Answered);
        assert_eq!(cluster.run_counts().runs.len(), 1, "{:?}", cluster.run_counts().runs);
    });
}

#[test]
fn an_order_too_large_for_the_journal_is_refused_as_not_run() {
    run_test(async {
        let cluster = start_cluster(config()).await;
        let mut large = crate::support::order("order-large");
        large.body = vec![b'x'; 600 << 10].into();

        let (result, answer) = call(cluster.nodes[0].address, &large).await;

        assert_eq!(result, CallResult::NotRun);
        assert_eq!(answer.map(|answer| answer.status().as_u16()), Some(413));
    });
}
