//! Hostile heads: a clear refusal, and the node goes on.

use std::net::SocketAddr;

use teaselgap_standins::caller::{CallResult, call};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::{cluster, config, preview, run};

async fn send_raw(entry: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry).await.expect("connected");
    // The node may close the connection before it has read everything.
    let _ = stream.write_all(text).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn status(answer: &str) -> u16 {
    answer.split_whitespace().nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

#[test]
fn heads_that_could_smuggle_a_request_are_refused_and_the_node_goes_on() {
    run(async {
        let cluster = cluster(config()).await;
        let entry = cluster.nodes[0].http;
        let long =
            format!("GET /previews/x HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(200_000));
        let cases: Vec<(&str, Vec<u8>)> = vec![
            ("both lengths", b"POST /previews/x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_vec()),
            ("two lengths", b"POST /previews/x HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab".to_vec()),
            ("unknown encoding", b"POST /previews/x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n".to_vec()),
            ("no host", b"GET /previews/x HTTP/1.1\r\n\r\n".to_vec()),
            ("no request", b"\x00\x01\x02garbage\r\n\r\n".to_vec()),
            ("too long a head", long.into_bytes()),
            ("length not a number", b"POST /previews/x HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n".to_vec()),
        ];

        for (name, text) in cases {
            let answer = send_raw(entry, &text).await;
            let code = status(&answer);
            assert!((400..500).contains(&code), "{name}: {answer:?}");
        }

        let (told, _) = call(entry, &preview("after")).await;
        assert_eq!(told, CallResult::Answered);
        assert_eq!(cluster.run_counts().runs.len(), 1, "{:?}", cluster.run_counts().runs);
    });
}

#[test]
fn an_order_too_large_for_the_journal_is_refused_as_not_run() {
    run(async {
        let cluster = cluster(config()).await;
        let mut large = crate::support::order("order-large");
        large.body = vec![b'x'; 600 << 10].into();

        let (told, answer) = call(cluster.nodes[0].http, &large).await;

        assert_eq!(told, CallResult::NotRun);
        assert_eq!(answer.map(|answer| answer.status().as_u16()), Some(413));
    });
}
