use teaselgap_core::{QueueId, job::JobSpec};

use super::*;

/// Serves a node's interface for other nodes. Returns its address and the requests that arrive.
async fn serve_peer() -> (SocketAddr, mpsc::Receiver<NodeRequest>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (requests, request_rx) = request_channel();
    tokio::spawn(serve(listener, requests));
    (address, request_rx)
}

fn cancellation() -> CellRequest {
    let queue: QueueId = "quotes".parse().unwrap();
    CellRequest {
        cell: "drums".parse().unwrap(),
        queue,
        job: JobId(7),
        operation: Operation::Cancel,
    }
}

#[tokio::test]
async fn the_owner_learns_how_much_time_the_caller_has_left() {
    let (address, mut request_rx) = serve_peer().await;
    let peers = Peers::default();
    let request = cancellation();
    let deadline = clock::now() + Span(700);

    let forwarded = peers.forward(address, &request, deadline);
    let received = async {
        let Some(NodeRequest::Cell(pending)) = request_rx.recv().await else {
            panic!("no request to a cell");
        };
        let deadline = pending.deadline;
        pending.reply.send(Reply::Durable).unwrap();
        deadline
    };
    let (reply, owner_deadline) = tokio::join!(forwarded, received);

    assert_eq!(reply, Reply::Durable);
    assert!(owner_deadline <= deadline + Span(50), "{owner_deadline:?} after {deadline:?}");
}

#[tokio::test]
async fn a_request_that_could_not_connect_had_no_effect() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);

    let reply = Peers::default().forward(address, &cancellation(), clock::now() + Span(700)).await;

    assert_eq!(reply, Reply::NotOwner);
}

/// How long a test waits for requests that are to be refused at once.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Forwards `count` requests to a node that answers none. Returns how many were refused at once.
async fn count_refusals(peers: &Peers, address: SocketAddr, count: usize) -> usize {
    let request = cancellation();
    let deadline = clock::now() + Span(5_000);
    let forward = || tokio::time::timeout(REFUSAL_TIME, peers.forward(address, &request, deadline));
    let replies = futures_util::future::join_all((0..count).map(|_| forward())).await;
    replies.iter().filter(|reply| matches!(reply, Ok(Reply::Busy))).count()
}

#[tokio::test]
async fn requests_to_a_node_that_answers_none_are_refused_beyond_a_bound() {
    let (address, _request_rx) = serve_peer().await;

    let refused = count_refusals(&Peers::default(), address, 1_000).await;

    assert!((500..1_000).contains(&refused), "{refused}");
}

#[tokio::test]
async fn a_node_whose_queue_is_full_refuses_requests_at_once() {
    let (address, _request_rx) = serve_peer().await;
    let nodes: Vec<Peers> = (0..40).map(|_| Peers::default()).collect();

    let counts = nodes.iter().map(|peers| count_refusals(peers, address, 25));
    let refused: usize = futures_util::future::join_all(counts).await.into_iter().sum();

    assert!((300..1_000).contains(&refused), "{refused}");
}

#[tokio::test]
async fn a_node_of_an_earlier_version_is_told_that_the_store_was_just_reached_after_a_claim() {
    let (address, mut request_rx) = serve_peer().await;
    let peers = Peers::default();
    let terms = [("cell/drums".to_owned(), Epoch(9))];

    let asked = peers.store_age(address, &terms);
    let received = async {
        let Some(NodeRequest::StoreAge(pending)) = request_rx.recv().await else {
            panic!("no question about the store");
        };
        let word = StoreWord { age: Span(5_000), may_have_claimed: true };
        pending.reply.send(word).expect("a caller that waits");
        pending.terms
    };
    let (word, received) = tokio::join!(asked, received);

    assert_eq!(word, Some(StoreWord { age: Span(0), may_have_claimed: true }));
    assert_eq!(received, terms);
}

#[tokio::test]
async fn the_next_owner_learns_how_a_term_of_another_node_ended() {
    let json =
        r#"{"epoch":8,"earlier_orders_left":"0ms","workers":{"w0":"700ms","w1":null},"starts":[]}"#;
    let report: TermEndReport = serde_json::from_str(json).unwrap();
    let (address, mut request_rx) = serve_peer().await;
    let (peers, cell) = (Peers::default(), "drums".parse().unwrap());

    let asked = peers.term_end(address, &cell, Epoch(9));
    let received = async {
        let Some(NodeRequest::TermEnd(pending)) = request_rx.recv().await else {
            panic!("no question about a term");
        };
        pending.reply.send(vec![report.clone()]).expect("a caller that waits");
        (pending.cell, pending.epoch)
    };
    let (reports, question) = tokio::join!(asked, received);

    assert_eq!(reports, std::slice::from_ref(&report));
    assert_eq!(question, (cell.clone(), Epoch(9)));
}

#[tokio::test]
async fn a_node_that_does_not_answer_in_time_knows_of_no_term() {
    let (address, _request_rx) = serve_peer().await;
    let asked_at = std::time::Instant::now();

    let reports = Peers::default().term_end(address, &"drums".parse().unwrap(), Epoch(9)).await;

    assert_eq!(reports, []);
    assert!(asked_at.elapsed() < 2 * TERM_END_TIMEOUT, "{:?}", asked_at.elapsed());
}

#[test]
fn for_how_long_a_queue_is_closed_reaches_the_node_that_asked() {
    let closed = Reply::Closed { retry_after: Span(3_000), time: Span(700) };
    let refused = Reply::Refused { retry_after: Span(3_000) };
    let submission = Operation::Submit(JobSpec::default());

    for reply in [closed, refused] {
        let wire = reply_to_wire(reply).unwrap();
        assert_eq!(reply_from_wire(&submission, &wire), reply);
    }
}
