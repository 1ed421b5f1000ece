use indexmap::IndexMap;

use super::*;
use crate::Incarnation;

pub(super) fn node_incarnation(i: u64) -> NodeIncarnation {
    NodeIncarnation { node: format!("n{i}").parse().unwrap(), incarnation: Incarnation(1) }
}

pub(super) fn intent(id: &str, arrival: u64) -> Intent {
    Intent {
        id: id.parse().unwrap(),
        attempt: arrival,
        at_most_once: true,
        customer: "c".parse().unwrap(),
        service: "orders".parse().unwrap(),
        at: node_incarnation(arrival),
        time_ms: 1,
        method: "POST".to_owned(),
        path: "/".to_owned(),
        head: Vec::new(),
        body: vec![1, 2, 3],
        truncated: false,
        fingerprint: 7,
    }
}

pub(super) fn concluded(id: &str, kind: OutcomeKind) -> Arc<Conclusion> {
    Arc::new(conclusion(id, kind))
}

fn conclusion(id: &str, kind: OutcomeKind) -> Conclusion {
    Conclusion {
        id: id.parse().unwrap(),
        attempt: 1,
        customer: "c".parse().unwrap(),
        time_ms: 2,
        outcome: Outcome::without_answer(kind),
    }
}

fn partition() -> Partition {
    Partition::new(
        Config { conclusion_delay: Span(0), ..Config::default() },
        1,
        IndexMap::new(),
        100,
    )
}

/// The actions that a call of the partition emits.
fn emitted(call: impl FnOnce(&mut Vec<Action>)) -> Vec<Action> {
    let mut out = Vec::new();
    call(&mut out);
    out
}

fn written_segment(actions: &[Action]) -> &Segment {
    match actions.iter().find(|action| matches!(action, Action::Write(_))) {
        Some(Action::Write(segment)) => segment,
        _ => panic!("no write in {actions:?}"),
    }
}

#[test]
fn an_intent_is_answered_only_after_its_segment_is_written() {
    let mut partition = partition();

    let before = emitted(|out| partition.submit_intent(Token(1), intent("a", 1), out));
    let after = emitted(|out| partition.handle_write_result(1, WriteResult::Done, out));

    assert_eq!(before.len(), 1);
    assert_eq!(after, [Action::Answer(Token(1), Verdict::Recorded)]);
}

#[test]
fn records_that_arrive_during_a_write_go_into_the_next_segment() {
    let mut partition = partition();
    emitted(|out| partition.submit_intent(Token(0), intent("first", 1), out));

    for i in 1..=50 {
        let out =
            emitted(|out| partition.submit_intent(Token(i), intent(&format!("r{i}"), 1), out));
        assert_eq!(out, []);
    }
    let next = emitted(|out| partition.handle_write_result(1, WriteResult::Done, out));

    assert_eq!(written_segment(&next).records.len(), 50);
}

#[test]
fn a_second_arrival_is_never_told_to_send() {
    let mut partition = partition();
    emitted(|out| partition.submit_intent(Token(1), intent("a", 1), out));

    let during = emitted(|out| partition.submit_intent(Token(2), intent("a", 2), out));
    emitted(|out| partition.handle_write_result(1, WriteResult::Done, out));
    emitted(|out| partition.conclude(None, concluded("a", OutcomeKind::Ran), out));
    let after = emitted(|out| partition.submit_intent(Token(3), intent("a", 2), out));

    assert_eq!(during, [Action::Answer(Token(2), Verdict::Open(node_incarnation(1)))]);
    let outcome = Outcome::without_answer(OutcomeKind::Ran);
    assert_eq!(after, [Action::Answer(Token(3), Verdict::Concluded(outcome))]);
}

#[test]
fn the_conclusion_of_one_arrival_does_not_conclude_another() {
    let mut partition = partition();
    emitted(|out| partition.submit_intent(Token(1), intent("a", 1), out));
    emitted(|out| partition.handle_write_result(1, WriteResult::Done, out));

    let other = Conclusion { attempt: 2, ..conclusion("a", OutcomeKind::NotRun) };
    emitted(|out| partition.conclude(None, Arc::new(other), out));
    let second = emitted(|out| partition.submit_intent(Token(2), intent("a", 2), out));

    assert_eq!(second, [Action::Answer(Token(2), Verdict::Open(node_incarnation(1)))]);
}

#[test]
fn an_id_that_is_used_again_with_another_body_is_a_mismatch() {
    let mut partition = partition();
    emitted(|out| partition.submit_intent(Token(1), intent("a", 1), out));

    let other = Intent { fingerprint: 8, ..intent("a", 1) };
    let out = emitted(|out| partition.submit_intent(Token(2), other, out));

    assert_eq!(out, [Action::Answer(Token(2), Verdict::Mismatch)]);
}

#[test]
fn a_request_that_certainly_did_not_run_may_be_retried() {
    let mut partition = partition();
    emitted(|out| partition.submit_intent(Token(1), intent("a", 1), out));
    emitted(|out| partition.handle_write_result(1, WriteResult::Done, out));
    emitted(|out| partition.conclude(None, concluded("a", OutcomeKind::NotRun), out));
    emitted(|out| partition.handle_write_result(2, WriteResult::Done, out));

    let retried = emitted(|out| partition.submit_intent(Token(2), intent("a", 2), out));

    assert_eq!(written_segment(&retried).sequence, 3);
}

#[test]
fn a_segment_is_not_written_twice_if_the_answer_to_its_write_is_lost() {
    let mut partition = partition();
    let first = emitted(|out| partition.submit_intent(Token(1), intent("a", 1), out));
    let nonce = written_segment(&first).nonce;

    let after_lost_answer =
        emitted(|out| partition.handle_write_result(1, WriteResult::Uncertain, out));
    let after_read_back = emitted(|out| partition.handle_read_back(1, Some(nonce), out));

    let refused = Action::Answer(Token(1), Verdict::Refused);
    assert_eq!(after_lost_answer, [refused, Action::ReadBack(1)]);
    let withdrawn = written_segment(&after_read_back);
    assert_eq!(withdrawn.sequence, 2);
    assert_eq!(
        withdrawn.records,
        [Record::Conclusion(Arc::new(Conclusion {
            time_ms: 1,
            ..conclusion("a", OutcomeKind::NotRun)
        }))]
    );
}

#[test]
fn after_a_lost_answer_a_failed_or_fenced_retry_leaves_the_result_uncertain() {
    for second in [WriteResult::Failed, WriteResult::Fenced] {
        let mut partition = partition();
        let first = emitted(|out| partition.submit_intent(Token(1), intent("a", 1), out));
        let nonce = written_segment(&first).nonce;
        emitted(|out| partition.handle_write_result(1, WriteResult::Uncertain, out));
        emitted(|out| partition.handle_read_back(1, None, out));

        let after_second_attempt = emitted(|out| partition.handle_write_result(1, second, out));
        let after_read_back = emitted(|out| partition.handle_read_back(1, Some(nonce), out));

        assert_eq!(after_second_attempt, [Action::ReadBack(1)]);
        assert_eq!(written_segment(&after_read_back).sequence, 2);
    }
}

#[test]
fn a_segment_of_another_writer_under_the_same_number_ends_the_term() {
    let mut partition = partition();
    emitted(|out| partition.submit_intent(Token(1), intent("a", 1), out));
    emitted(|out| partition.handle_write_result(1, WriteResult::Uncertain, out));

    let out = emitted(|out| partition.handle_read_back(1, Some(999), out));
    let after_stop = emitted(|out| partition.submit_intent(Token(2), intent("b", 1), out));

    assert_eq!(out, [Action::Stop]);
    assert_eq!(after_stop, [Action::Answer(Token(2), Verdict::Refused)]);
}

#[test]
fn a_failed_write_refuses_all_waiting_calls_and_an_intent_may_be_retried() {
    let mut partition = partition();
    emitted(|out| partition.submit_intent(Token(1), intent("a", 1), out));
    emitted(|out| partition.conclude(Some(Token(2)), concluded("z", OutcomeKind::Ran), out));

    let failed = emitted(|out| partition.handle_write_result(1, WriteResult::Failed, out));
    let retried = emitted(|out| partition.submit_intent(Token(3), intent("a", 2), out));

    let refused = |token| Action::Answer(Token(token), Verdict::Refused);
    assert_eq!(failed, [refused(1), refused(2)]);
    assert_eq!(written_segment(&retried).sequence, 1);
}

#[test]
fn an_idempotent_request_is_recorded_each_time_it_arrives() {
    let mut partition = partition();
    let record = || Record::Intent(Arc::new(Intent { at_most_once: false, ..intent("a", 1) }));

    emitted(|out| partition.append(Token(1), record(), out));
    let first = emitted(|out| partition.handle_write_result(1, WriteResult::Done, out));
    let second = emitted(|out| partition.append(Token(2), record(), out));

    assert_eq!(first, [Action::Answer(Token(1), Verdict::Recorded)]);
    assert_eq!(written_segment(&second).records, [record()]);
}

#[test]
fn a_conclusion_waits_for_an_intent_no_longer_than_its_delay() {
    let mut partition = Partition::new(Config::default(), 1, IndexMap::new(), 100);
    emitted(|out| partition.advance(Timestamp(1_000), out));

    let alone = emitted(|out| partition.conclude(None, concluded("a", OutcomeKind::Ran), out));
    let with_intent = emitted(|out| partition.submit_intent(Token(1), intent("b", 1), out));
    emitted(|out| partition.handle_write_result(1, WriteResult::Done, out));
    let next = emitted(|out| partition.conclude(None, concluded("b", OutcomeKind::Ran), out));
    let after_delay = emitted(|out| partition.advance(Timestamp(1_100), out));

    assert_eq!((alone.len(), next.len()), (0, 0));
    assert_eq!(written_segment(&with_intent).records.len(), 2);
    assert_eq!(written_segment(&after_delay).records.len(), 1);
}

#[test]
fn a_segment_stays_within_its_size_limit() {
    let cfg = Config { max_bytes: 2_000, conclusion_delay: Span(0), ..Config::default() };
    let mut partition = Partition::new(cfg, 1, IndexMap::new(), 1);
    emitted(|out| partition.submit_intent(Token(0), intent("first", 1), out));
    for i in 1..=20 {
        emitted(|out| partition.submit_intent(Token(i), intent(&format!("r{i}"), 1), out));
    }

    let next = emitted(|out| partition.handle_write_result(1, WriteResult::Done, out));

    let size: usize = written_segment(&next).records.iter().map(Record::size).sum();
    assert!(size <= 2_000 && size > 1_000, "{size}");
}

#[test]
fn recovery_from_a_snapshot_equals_recovery_from_all_segments() {
    let records = |from: u64| {
        (from..from + 10).map(move |i| Segment {
            sequence: i,
            nonce: i,
            records: vec![
                Record::Intent(Arc::new(intent(&format!("r{i}"), 1))),
                Record::Conclusion(concluded(&format!("r{}", i / 2), OutcomeKind::Ran)),
            ],
        })
    };

    let from_all_segments = recover(IndexMap::new(), records(0).chain(records(10)));
    let entries_of_snapshot = recover(IndexMap::new(), records(0));

    assert_eq!(recover(entries_of_snapshot, records(10)), from_all_segments);
}

#[test]
fn request_histories_are_joined_and_ordered_by_time() {
    let early = Intent { time_ms: 5, ..intent("b", 1) };
    let late = Intent { time_ms: 9, ..intent("a", 1) };
    let records = [
        Record::Intent(Arc::new(late)),
        Record::Intent(Arc::new(early)),
        Record::Conclusion(concluded("b", OutcomeKind::Ran)),
    ];

    let histories = request_histories(records);

    let ids: Vec<_> = histories.iter().map(|history| history.intent.id.as_str()).collect();
    assert_eq!(ids, ["b", "a"]);
    assert!(histories[0].conclusion.is_some() && histories[1].conclusion.is_none());
}
